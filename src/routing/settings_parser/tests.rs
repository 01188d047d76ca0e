//! Settings parsed from text, and the error messages for operators.

use super::*;

#[test]
fn configured_settings_are_parsed_and_the_others_stay_absent() {
    let settings = parse(
        "services.count=2\nservices.0.target=0.25\nservices.1.repeat=by_key\nservices.1.group=cell\n\
         family-info.consistency=lag_bound,mutate\nfamily-info.max-age=0.5,0.0\nsome.new-key=7\n",
    )
    .unwrap();
    assert_eq!(settings.classes[0].latency_objective, Some(TimeDelta::from_millis(250)));
    assert_eq!(settings.classes[0].max_age, Some(TimeDelta::from_millis(500)));
    assert_eq!(settings.classes[0].consistency, Some(Consistency::Bounded));
    assert_eq!(settings.classes[1].idempotency, Some(Idempotency::Keyed));
    assert_eq!(settings.classes[1].key_scope, Some(KeyScope::Group));
    assert_eq!(settings.classes[1].latency_objective, None);
    assert_eq!(settings.may_probe, None);
}

#[test]
fn the_error_names_a_value_that_does_not_parse() {
    assert!(parse("step=soon").unwrap_err().to_string().contains("step=soon"));
    assert!(parse("no equals sign").unwrap_err().to_string().contains("line 1"));
}

/// Guards against changes of error messages that operators and their tools match.
#[test]
fn error_texts_name_the_path_and_the_value() {
    for (text, expected) in [
        ("step=1\n\nno equals sign", "settings: line 3 has no '='"),
        ("step=soon", "settings: step=soon does not parse"),
        ("limits.probes=yes", "settings: limits.probes=yes does not parse"),
        ("services.count=-1", "settings: services.count=-1 does not parse"),
        ("services.count=65537", "settings: services.count=65537 is too many"),
        ("services.count=1\nservices.0.worth=NaN", "settings: services.0.worth=NaN is not a finite number"),
        ("fees.waste=infinity", "settings: fees.waste=inf is not a finite number"),
        ("services.count=1\nfamily-info.max-age=old", "settings: family-info.max-age does not parse"),
    ] {
        assert_eq!(parse(text).unwrap_err().to_string(), expected);
    }
}
