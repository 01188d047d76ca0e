use super::*;
use crate::engine::classes::IdempotencyKey;
use crate::routing::{Class, Idempotency, Settings};

/// Guards against a keyless variant being listed as a class of its own, and against a class being left out until its
/// first request.
#[test]
fn every_class_is_listed_once_and_counts_requests_with_and_without_a_key() {
    let class = |idempotency| Class { idempotency: Some(idempotency), ..Class::default() };
    let mut settings = Settings {
        classes: vec![class(Idempotency::Keyed), class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let classes = Classes::new(vec!["write".into(), "read".into()], &mut settings);
    let metrics = Metrics::new(&classes);
    for key in [IdempotencyKey::Present, IdempotencyKey::Absent] {
        metrics.record_outcome(classes.find("write", key).unwrap(), RequestOutcome::Success);
    }
    let keyless = classes.find("write", IdempotencyKey::Absent).unwrap();
    metrics.record_outcome(keyless, RequestOutcome::Error);
    metrics.record_outcome(99, RequestOutcome::Error);
    metrics.record_dispatch();
    let text = metrics.statsd_text(Gauges { concurrent: 3, targets: 5, disabled: 1 });
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
