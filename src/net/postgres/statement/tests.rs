//! Forwarding of valid statements, and rejection of invalid routing comments.

use super::*;

const READ: &str = "/* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */ \
                    SELECT payload FROM entries WHERE ref = '7f3a'";

#[test]
fn only_the_timeout_changes_in_the_forwarded_statement() {
    let statement: Statement = READ.parse().unwrap();
    assert_eq!(
        (statement.class.as_str(), statement.client_timeout, statement.group),
        ("basket", TimeDelta::from_micros(480_000), GroupId(2))
    );
    assert_eq!(
        (statement.required_position, statement.session_key.as_str()),
        (Some(LogPosition::from_micros(1_767_225_600_123_000)), "7f3a")
    );
    assert_eq!(statement.with_timeout(TimeDelta::from_micros(93_700)), READ.replace("d=480", "d=93"));
}

#[test]
fn malformed_comments_are_rejected_with_their_reason() {
    for (text, reason) in [
        ("SELECT 1", "no comment"),
        ("/* id=1,c=a,d=1,cluster=1", "does not end"),
        ("/* id=1,c=a,d=-1,cluster=1 */ SELECT 1", "d=\"-1\""),
        ("/* id=1,c=a,d=5,cluster=x */ SELECT 1", "cluster"),
        ("/* id=1,c=a,cluster=1 */ SELECT 1", "how long"),
        ("/* c=a,d=5,cluster=1 */ SELECT 1", "no id"),
        ("/* id=1,c=a,d=5,cluster=1 */ ", "no statement"),
        ("/* id=1,c=a,d=5,cluster=1,after=99999999999999999999 */ SELECT 1", "after"),
    ] {
        let error = text.parse::<Statement>().unwrap_err().to_string();
        assert!(error.contains(reason), "{text}: {error}");
    }
}
