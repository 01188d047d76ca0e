use super::*;
use crate::routing::{Class, Idempotency, Settings};

/// Guards against a keyed class that is told as two, and against classes that are missing until they are asked.
#[test]
fn every_class_of_the_settings_is_told_once_with_both_kinds_of_its_requests() {
    let class = |repeat| Class { idempotency: Some(repeat), ..Class::default() };
    let mut settings = Settings {
        classes: vec![class(Idempotency::Keyed), class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let classes = Classes::new(vec!["write".into(), "read".into()], &mut settings);
    let metrics = Metrics::new(&classes);
    for keyed in [true, false] {
        metrics.ended(classes.find("write", keyed).unwrap(), RequestOutcome::Success);
    }
    metrics.ended(classes.find("write", false).unwrap(), RequestOutcome::Error);
    metrics.ended(99, RequestOutcome::Error);
    metrics.dispatched();
    let text = metrics.text(Gauges { concurrent: 3, targets: 5, disabled: 1 });
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "svc.success.write:2|c",
            "svc.overload.write:0|c",
            "svc.error.write:1|c",
            "svc.success.read:0|c",
            "svc.overload.read:0|c",
            "svc.error.read:0|c",
            "svc.dispatches:1|c",
            "svc.concurrent:3|g",
            "svc.targets:5|g",
            "svc.targets_disabled:1|g",
        ]
    );
}
