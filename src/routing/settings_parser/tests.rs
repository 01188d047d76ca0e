//! Settings read from pairs.

use super::*;

#[test]
fn reads_what_is_stated_and_leaves_the_rest_absent() {
    let s = parse(
        "services.count=2\nservices.0.target=0.25\nservices.1.repeat=by_key\nservices.1.group=cell\n\
         family-info.consistency=lag_bound,mutate\nfamily-info.max-age=0.5,0.0\nsome.new-key=7\n",
    )
    .unwrap();
    assert_eq!(s.classes[0].latency_objective, Some(TimeDelta::from_millis(250)));
    assert_eq!(s.classes[0].max_age, Some(TimeDelta::from_millis(500)));
    assert_eq!(s.classes[0].consistency, Some(Consistency::Bounded));
    assert_eq!(s.classes[1].idempotency, Some(Idempotency::Keyed));
    assert_eq!(s.classes[1].key_scope, Some(KeyScope::Group));
    assert_eq!(s.classes[1].latency_objective, None);
    assert_eq!(s.may_probe, None);
}

#[test]
fn a_value_that_does_not_parse_is_named() {
    assert!(parse("step=soon").unwrap_err().contains("step=soon"));
    assert!(parse("no equals sign").unwrap_err().contains("line 1"));
}
