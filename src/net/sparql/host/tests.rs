use super::*;

/// Guards against stale answers: a replica proves its position with each answer, or the answer is dropped.
#[test]
fn only_a_position_told_with_the_answer_proves_it_current() {
    let at = LogPosition::from_micros;
    let told = |primary, position| Some(ReplicaStatus { primary, position: at(position) });
    assert!(current(None, None));
    assert!(!current(None, Some(at(5))));
    assert!(current(told(true, 0), Some(at(5))));
    assert!(current(told(false, 5), Some(at(5))));
    assert!(!current(told(false, 4), Some(at(5))));
    assert!(!current(told(false, 0), Some(at(-5))));
}

/// Guards against a primary that lost a session's write and answers it with older data.
#[test]
fn a_primary_that_lacks_a_sessions_write_is_seen() {
    let at = LogPosition::from_micros;
    let told = |primary, position| Some(ReplicaStatus { primary, position: at(position) });
    assert_eq!(lacks(told(true, 4_000), Some(at(5_000))), Some(at(4_000)));
    assert_eq!(lacks(told(true, 5_000), Some(at(5_000))), None);
    assert_eq!(lacks(told(true, 4_000), None), None);
    // It tells no position; and a replica is only behind.
    assert_eq!(
        (lacks(told(true, 0), Some(at(5))), lacks(told(false, 4), Some(at(5))), lacks(None, Some(at(5)))),
        (None, None, None)
    );
}

/// Guards against a name in an operator's file that writes headers of its own.
#[test]
fn a_daemons_name_reaches_hosts_as_one_word() {
    assert_eq!(via("b-1.z"), "1.1 b-1.z");
    assert_eq!(via("b 1\r\nHost: x"), "1.1 b1Hostx");
    assert_eq!(via("\u{e9}"), "1.1 brookpass");
}

#[test]
fn each_status_has_its_outcome() {
    for (status, wanted) in [
        (200, AttemptOutcome::Served),
        (204, AttemptOutcome::Served),
        (400, AttemptOutcome::Served),
        (406, AttemptOutcome::Served),
        (408, AttemptOutcome::Error),
        (412, AttemptOutcome::Misdirected),
        (421, AttemptOutcome::Misdirected),
        (429, AttemptOutcome::Overloaded),
        (503, AttemptOutcome::Overloaded),
        (500, AttemptOutcome::Error),
        (301, AttemptOutcome::Error),
    ] {
        assert_eq!(outcome(status), wanted, "{status}");
    }
}
