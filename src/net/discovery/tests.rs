//! When discovery is called again.

use super::*;

/// Guards against poolers of a tier that come back together to a discovery that has no room for them, and so
/// keep it that way.
#[test]
fn a_tier_that_was_refused_together_spreads_its_calls() {
    let mut limits = Limits::for_sockets(64);
    let busy = io::Error::from(io::ErrorKind::ResourceBusy);
    let calls = |limits: &Limits, e: &io::Error| -> Vec<Duration> {
        (0..100).map(|seed| Pace::new(limits, seed * 7919).failed(e)).collect()
    };
    limits.spread_discovery_calls(Some(100));
    let mut at = calls(&limits, &busy);
    at.sort();
    // A tenth of the time in which discovery must have been asked again.
    let moment = limits.discovery_spread / 10;
    let most = at.iter().map(|a| at.iter().filter(|b| **b >= *a && **b < *a + moment).count());
    assert!(most.max().unwrap() <= 25, "{at:?}");
    let mean = at.iter().sum::<Duration>() / 100;
    let share = mean.as_secs_f64() / limits.discovery_spread.as_secs_f64();
    assert!((0.4..0.6).contains(&share), "{mean:?}");
    // One that is silent or noisy is called again soon, but not by all in the same moment.
    let silent = io::Error::from(io::ErrorKind::TimedOut);
    let mut soon = calls(&limits, &silent);
    soon.sort();
    assert!(soon[99] < Duration::from_millis(100) && soon[99] > soon[0] + Duration::from_millis(20));
    limits.spread_discovery_calls(Some(1));
    assert!(calls(&limits, &busy).iter().max().unwrap() <= &Duration::from_millis(200), "nobody else calls");
    limits.spread_discovery_calls(Some(60_000));
    assert!(
        limits.discovery_spread + limits.discovery_timeout <= Duration::from_secs(6),
        "within the time in which it must have been asked again and have answered"
    );
}

/// Guards against calls that say nothing for as long as a watch may, while discovery has come back: after a failure an
/// answer is wanted at once, and after an answer, or at another address, all is as before.
#[test]
fn after_a_failure_calls_are_short_and_grow() {
    let limits = Limits::for_sockets(64);
    let mut pace = Pace::new(&limits, 1);
    let silent = io::Error::from(io::ErrorKind::TimedOut);
    assert_eq!(
        pace.next(true),
        (limits.discovery_watch_timeout, limits.discovery_watch_timeout + limits.discovery_timeout)
    );
    // The whole list may wait behind the calls of others.
    assert_eq!(pace.next(false).1, limits.discovery_timeout_after_failure);
    let times: Vec<Duration> = (0..4)
        .map(|_| {
            pace.failed(&silent);
            let (wait, time) = pace.next(true);
            assert_eq!(wait, limits.discovery_recheck_timeout);
            time - wait
        })
        .collect();
    assert!(
        times.is_sorted()
            && times[0] == limits.discovery_timeout
            && times[3] == limits.discovery_timeout_after_failure,
        "{times:?}"
    );
    pace.succeeded();
    assert_eq!(pace.next(true).0, limits.discovery_watch_timeout);
    assert!(pace.failed(&silent) < limits.discovery_backoff.0 * 2, "the pause begins anew");
}
