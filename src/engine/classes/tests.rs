use super::*;

/// Guards against a write without a key being retried and run twice.
#[test]
fn a_request_without_a_key_uses_the_non_idempotent_variant_of_its_class() {
    let keyed = Class { idempotency: Some(Idempotency::Keyed), ..Class::default() };
    let mut settings = Settings { classes: vec![Class::default(), keyed], ..Settings::default() };
    let classes = Classes::new(vec!["read".into(), "write".into()], &mut settings);
    let find =
        |name| (classes.find(name, IdempotencyKey::Present), classes.find(name, IdempotencyKey::Absent));
    assert_eq!(find("read"), (Some(0), Some(0)));
    assert_eq!(find("write"), (Some(1), Some(2)));
    assert_eq!(classes.find("other", IdempotencyKey::Present), None);
    assert_eq!(settings.classes[2].idempotency, Some(Idempotency::NonIdempotent));
}
