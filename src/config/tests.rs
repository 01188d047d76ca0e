//! Times that have to fit together.

use super::*;

/// Guards against an end that comes after SIGKILL, and against one that leaves clients alone for nothing.
#[test]
fn the_end_comes_before_the_kill_and_only_one_that_is_alone_serves_on() {
    let limits = Limits::for_sockets(64);
    let micros = [-5, 1, 400_000, 930_000, 2_500_000, i64::MAX].map(|n| Some(TimeDelta::from_micros(n)));
    for client_timeout in std::iter::once(None).chain(micros) {
        let (lame, end) = limits.ending(client_timeout, true);
        let (least, most) = (TimeDelta::from_millis(450), TimeDelta::from_secs(3));
        let deadline = client_timeout.unwrap_or(TimeDelta::ZERO).clamp(least, most).to_duration();
        assert!(end < deadline + Duration::from_millis(700), "{client_timeout:?}");
        assert!(
            lame >= limits.shutdown_accept_period && lame + limits.final_answer_margin < end,
            "{client_timeout:?}"
        );
        assert_eq!(
            limits.ending(client_timeout, false),
            (limits.shutdown_accept_period, end),
            "{client_timeout:?}"
        );
    }
    assert!(limits.ending(Some(TimeDelta::from_millis(2_500)), true).0 > Duration::from_secs(2));
}

/// Guards against sends to a host that drains, where the watch that had to tell it fell silent: whatever
/// discovery has to tell counts as told 6 s later.
#[test]
fn a_watch_that_fell_silent_is_noticed_in_time() {
    let limits = Limits::for_sockets(64);
    let noticed = limits.discovery_watch
        + limits.discovery_timeout
        + limits.discovery_backoff.0
        + limits.discovery_timeout;
    assert!(noticed < Duration::from_secs(5), "{noticed:?}");
}

/// Guards against a drain that counts as told while the pooler still waits to call again: a call may just have
/// begun when discovery can be reached once more, is given up, and the longest pause follows.
#[test]
fn a_change_is_heard_within_six_seconds_of_any_call_that_failed() {
    let mut limits = Limits::for_sockets(64);
    for poolers in [None, Some(1), Some(30), Some(300), Some(u32::MAX)] {
        limits.tier(poolers);
        let given_up = (limits.discovery_watch + limits.discovery_timeout)
            .max(limits.discovery_timeout_after_failure)
            + limits.discovery_backoff.1 * 3 / 2;
        // A call that is refused is over when discovery has no room: it could not be reached before.
        let refused = limits.discovery_spread.max(limits.discovery_backoff.1 * 3 / 2);
        let heard = given_up.max(refused) + limits.discovery_timeout;
        assert!(heard <= Duration::from_secs(6), "{poolers:?}: {heard:?}");
    }
}

/// Guards against an end that follows what a client claims, where the settings say how long any may wait.
#[test]
fn the_longest_deadline_of_the_classes_bounds_the_end() {
    let class = |ms: Option<i64>| Class { deadline: ms.map(TimeDelta::from_millis), ..Class::default() };
    let drain = |classes: &[Class]| {
        let mut limits = Limits::for_sockets(64);
        limits.deadlines_at_most(classes);
        limits.shutdown_deadline
    };
    let usual = Limits::for_sockets(64).shutdown_deadline;
    assert_eq!(drain(&[class(Some(500)), class(Some(700))]), Duration::from_millis(700));
    assert_eq!(drain(&[class(Some(60_000))]), usual);
    assert_eq!(drain(&[class(Some(500)), class(None)]), usual, "one does not say");
    assert_eq!(drain(&[]), usual);
}
