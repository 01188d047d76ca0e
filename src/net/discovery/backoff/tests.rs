//! Timeouts of calls to discovery, and pauses after failures.

use super::*;

fn overloaded() -> DiscoveryError {
    DiscoveryError::Overloaded { status: "503".to_string() }
}

/// Guards against a tier of poolers that all repeat their calls at the same time after discovery rejected them for lack
/// of capacity, and so keep it overloaded.
#[test]
fn rejected_poolers_spread_their_next_calls() {
    let mut limits = Limits::for_sockets(64);
    let first_pauses = |limits: &Limits, error: &DiscoveryError| -> Vec<Duration> {
        (0..100).map(|seed| Backoff::new(limits, seed * 7919).record_failure(error)).collect()
    };
    limits.spread_discovery_calls(Some(100));
    let mut pauses = first_pauses(&limits, &overloaded());
    pauses.sort();
    // At most 25 of the 100 calls fall into any tenth of the spread.
    let tenth = limits.discovery_spread / 10;
    let calls_within_tenth = pauses
        .iter()
        .map(|first| pauses.iter().filter(|other| (*first..*first + tenth).contains(other)).count());
    assert!(calls_within_tenth.max().unwrap() <= 25, "{pauses:?}");
    let mean = pauses.iter().sum::<Duration>() / 100;
    let share = mean.as_secs_f64() / limits.discovery_spread.as_secs_f64();
    assert!((0.4..0.6).contains(&share), "{mean:?}");
    // After other failures discovery is called again soon, but not by all poolers at once.
    let mut pauses = first_pauses(&limits, &DiscoveryError::TimedOut);
    pauses.sort();
    assert!(pauses[99] < Duration::from_millis(100) && pauses[99] > pauses[0] + Duration::from_millis(20));
    limits.spread_discovery_calls(Some(1));
    let alone = first_pauses(&limits, &overloaded());
    assert!(
        alone.iter().max().unwrap() <= &Duration::from_millis(200),
        "a single pooler does not need the spread"
    );
    limits.spread_discovery_calls(Some(60_000));
    assert!(
        limits.discovery_spread + limits.discovery_timeout <= Duration::from_secs(6),
        "the spread and the timeout fit into the time within which discovery must have responded again"
    );
}

/// Guards against a call that waits for a whole watch although discovery has recovered: after a failure watches are
/// short. After a response, or at another address, the usual times apply again.
#[test]
fn after_a_failure_watches_are_short_and_timeouts_grow() {
    let limits = Limits::for_sockets(64);
    let mut backoff = Backoff::new(&limits, 1);
    let watch_timeout = limits.discovery_watch_timeout;
    let usual_times = CallTimes { watch_timeout, timeout: watch_timeout + limits.discovery_timeout };
    assert_eq!(backoff.call_times(Some(limits.discovery_watch_timeout)), usual_times);
    // Discovery may have to respond to other poolers before it sends the whole list.
    assert_eq!(backoff.call_times(None).timeout, limits.discovery_timeout_after_failure);
    let answer_timeouts: Vec<Duration> = (0..4)
        .map(|_| {
            backoff.record_failure(&DiscoveryError::TimedOut);
            let times = backoff.call_times(Some(limits.discovery_watch_timeout));
            assert_eq!(times.watch_timeout, limits.discovery_recheck_timeout);
            times.timeout - times.watch_timeout
        })
        .collect();
    assert!(
        answer_timeouts.is_sorted()
            && answer_timeouts[0] == limits.discovery_timeout
            && answer_timeouts[3] == limits.discovery_timeout_after_failure,
        "{answer_timeouts:?}"
    );
    backoff.reset();
    assert_eq!(
        backoff.call_times(Some(limits.discovery_watch_timeout)).watch_timeout,
        limits.discovery_watch_timeout
    );
    assert!(
        backoff.record_failure(&DiscoveryError::TimedOut) < limits.discovery_backoff.min * 2,
        "the pauses are short again"
    );
}
