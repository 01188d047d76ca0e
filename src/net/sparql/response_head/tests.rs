//! What a response means, by its status and by what the host states about itself.

use super::*;

/// Guards against stale answers: a replica proves its position with each response, or the response is dropped.
#[test]
fn only_a_position_in_the_same_response_proves_it_recent() {
    let at = LogPosition::from_micros;
    let stated = |primary, position| Some(ReplicaStatus { primary, position: at(position) });
    assert!(is_recent_enough(None, None));
    assert!(!is_recent_enough(None, Some(at(5))));
    assert!(is_recent_enough(stated(true, 0), Some(at(5))));
    assert!(is_recent_enough(stated(false, 5), Some(at(5))));
    assert!(!is_recent_enough(stated(false, 4), Some(at(5))));
    assert!(!is_recent_enough(stated(false, 0), Some(at(-5))));
}

/// Guards against a primary that lost a session's write and answers it with older data.
#[test]
fn a_primary_that_lacks_a_sessions_write_is_detected() {
    let at = LogPosition::from_micros;
    let stated = |primary, position| Some(ReplicaStatus { primary, position: at(position) });
    assert_eq!(rolled_back_to(stated(true, 4_000), Some(at(5_000))), Some(at(4_000)));
    assert_eq!(rolled_back_to(stated(true, 5_000), Some(at(5_000))), None);
    assert_eq!(rolled_back_to(stated(true, 4_000), None), None);
    // The first states no position, the second is a replica, which is only behind.
    assert_eq!(
        (
            rolled_back_to(stated(true, 0), Some(at(5))),
            rolled_back_to(stated(false, 4), Some(at(5))),
            rolled_back_to(None, Some(at(5)))
        ),
        (None, None, None)
    );
}

#[test]
fn each_status_has_its_outcome() {
    for (status, expected) in [
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
        assert_eq!(attempt_outcome(status), expected, "{status}");
    }
}
