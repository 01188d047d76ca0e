use super::*;
use crate::routing::Class;

/// Guards against a write without a key that runs twice.
#[test]
fn a_request_without_a_key_takes_the_unsafe_twin_of_its_class() {
    let keyed = Class { idempotency: Some(Idempotency::Keyed), ..Class::default() };
    let mut settings = Settings { classes: vec![Class::default(), keyed], ..Settings::default() };
    let classes = Classes::new(vec!["read".into(), "write".into()], &mut settings);
    assert_eq!((classes.find("read", true), classes.find("read", false)), (Some(0), Some(0)));
    assert_eq!((classes.find("write", true), classes.find("write", false)), (Some(1), Some(2)));
    assert_eq!(classes.find("other", true), None);
    assert_eq!(settings.classes[2].idempotency, Some(Idempotency::NonIdempotent));
}
