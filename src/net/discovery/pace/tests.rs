//! The pace of calls, by what the responses show.

use super::*;

fn list(coverage: ListCoverage) -> EndpointUpdate {
    EndpointUpdate { version: 1, coverage, entries: Vec::new() }
}

fn respond(pace: &mut Pace<'_>, coverage: ListCoverage, late_by: Duration) {
    let watch_timeout = pace.watch_timeout();
    let took = watch_timeout + late_by;
    pace.record_response(TimedResponse { list: &list(coverage), watch_timeout, took, is_unchanged: true });
}

/// Guards against calls at full pace to a discovery that responds late, rejects calls or sends whole lists.
#[test]
fn a_discovery_under_load_is_called_less_often() {
    let limits = Limits::for_sockets(64);
    let mut pace = Pace::new(&limits, 1);
    assert_eq!(pace.watch_timeout(), limits.discovery_short_watch_timeout);
    assert_eq!(pace.overdue_after(), limits.discovery_probe_interval);

    respond(&mut pace, ListCoverage::Changes, Duration::from_millis(800));
    assert_eq!(pace.watch_timeout(), limits.discovery_short_watch_timeout, "it may have been down");
    assert_eq!(pace.overdue_after(), Duration::from_millis(1_600));
    respond(&mut pace, ListCoverage::Changes, Duration::from_millis(700));
    assert_eq!(pace.watch_timeout(), limits.discovery_watch_timeout);
    assert_eq!(pace.overdue_after(), Duration::from_millis(1_400));
    respond(&mut pace, ListCoverage::Changes, Duration::from_millis(2));
    assert_eq!(pace.watch_timeout(), limits.discovery_short_watch_timeout);

    pace.record_overload();
    assert_eq!(pace.watch_timeout(), limits.discovery_watch_timeout);
    assert_eq!(pace.overdue_after(), limits.discovery_timeout);
    respond(&mut pace, ListCoverage::Complete, Duration::ZERO);
    assert_eq!(pace.watch_timeout(), limits.discovery_watch_timeout, "each response is a whole list");
    pace.reset();
    assert_eq!(pace.watch_timeout(), limits.discovery_short_watch_timeout);
}

/// Guards against a watch that is answered by a change and taken for a late response, or for an early one.
#[test]
fn a_change_during_a_watch_does_not_affect_the_pace() {
    let limits = Limits::for_sockets(64);
    let mut pace = Pace::new(&limits, 1);
    pace.record_overload();
    let changes = list(ListCoverage::Changes);
    let watch_timeout = pace.watch_timeout();
    let took = watch_timeout / 2;
    pace.record_response(TimedResponse { list: &changes, watch_timeout, took, is_unchanged: false });
    assert_eq!(pace.overdue_after(), limits.discovery_timeout);
}

/// Guards against a drain that is received after the grace because a probe came too late, and against poolers that
/// probe in lockstep.
#[test]
fn probes_are_frequent_and_spread() {
    let limits = Limits::for_sockets(64);
    let intervals: Vec<Duration> = (0..100).map(|seed| Pace::new(&limits, seed).probe_interval()).collect();
    let (shortest, longest) = (intervals.iter().min().unwrap(), intervals.iter().max().unwrap());
    assert!(*longest <= limits.discovery_probe_interval, "{longest:?}");
    assert!(*longest - *shortest > limits.discovery_probe_interval / 8, "{shortest:?} to {longest:?}");
}
