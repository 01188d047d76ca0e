use super::*;

const READ: &str = "/* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */ \
                    SELECT payload FROM entries WHERE ref = '7f3a'";

#[test]
fn only_the_wait_changes_on_the_way() {
    let s = parse(READ).unwrap();
    assert_eq!(
        (s.class.as_str(), s.client_timeout, s.group),
        ("basket", TimeDelta::from_micros(480_000), GroupId(2))
    );
    assert_eq!((s.after, s.key.as_str()), (Some(LogPosition::from_micros(1_767_225_600_123_000)), "7f3a"));
    assert_eq!(s.with_wait(TimeDelta::from_micros(93_700)), READ.replace("d=480", "d=93"));
}

#[test]
fn what_is_out_of_form_is_refused_with_its_reason() {
    for (text, why) in [
        ("SELECT 1", "no comment"),
        ("/* id=1,c=a,d=1,cluster=1", "does not end"),
        ("/* id=1,c=a,d=-1,cluster=1 */ SELECT 1", "d=\"-1\""),
        ("/* id=1,c=a,d=5,cluster=x */ SELECT 1", "cluster"),
        ("/* id=1,c=a,cluster=1 */ SELECT 1", "how long"),
        ("/* c=a,d=5,cluster=1 */ SELECT 1", "no id"),
        ("/* id=1,c=a,d=5,cluster=1 */ ", "no statement"),
        ("/* id=1,c=a,d=5,cluster=1,after=99999999999999999999 */ SELECT 1", "after"),
    ] {
        let error = parse(text).unwrap_err();
        assert!(error.contains(why), "{text}: {error}");
    }
}
