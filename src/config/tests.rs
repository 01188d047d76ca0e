//! Relations between limits that must hold together.

use super::*;

/// Guards against a shutdown that SIGKILL interrupts, and against a pooler without peers that stops serving too early.
#[test]
fn the_process_exits_before_sigkill_and_only_a_pooler_without_peers_serves_longer() {
    let limits = Limits::for_sockets(64);
    let micros = [-5, 1, 400_000, 930_000, 2_500_000, i64::MAX].map(|n| Some(TimeDelta::from_micros(n)));
    for client_timeout in std::iter::once(None).chain(micros) {
        let ShutdownTimes { accept_period, total } = limits.shutdown_times_without_peers(client_timeout);
        let (shortest, longest) = (TimeDelta::from_millis(450), TimeDelta::from_secs(3));
        let deadline = client_timeout.unwrap_or(TimeDelta::ZERO).clamp(shortest, longest).to_duration();
        assert!(total < deadline + Duration::from_millis(700), "{client_timeout:?}");
        assert!(
            accept_period >= limits.shutdown_accept_period
                && accept_period + limits.final_answer_margin < total,
            "{client_timeout:?}"
        );
        assert_eq!(
            limits.shutdown_times(client_timeout),
            ShutdownTimes { accept_period: limits.shutdown_accept_period, total },
            "{client_timeout:?}"
        );
    }
    let long_request = Some(TimeDelta::from_millis(2_500));
    assert!(limits.shutdown_times_without_peers(long_request).accept_period > Duration::from_secs(2));
}

/// Guards against attempts on a draining endpoint because the watch that should have reported the drain gets no answer.
/// A change must be in use 6 s after discovery received it.
#[test]
fn a_silent_watch_is_detected_within_five_seconds() {
    let limits = Limits::for_sockets(64);
    let detected_after = limits.discovery_watch_timeout
        + limits.discovery_timeout
        + limits.discovery_backoff.min
        + limits.discovery_timeout;
    assert!(detected_after < Duration::from_secs(5), "{detected_after:?}");
}

/// Guards against a pooler that receives a drain more than 6 s after discovery can be reached again, because it still
/// waits to repeat its call. In the worst case a call starts just before discovery becomes reachable again, times out,
/// and the longest backoff follows.
#[test]
fn a_change_is_received_within_six_seconds_of_any_failed_call() {
    let mut limits = Limits::for_sockets(64);
    for poolers in [None, Some(1), Some(30), Some(300), Some(u32::MAX)] {
        limits.spread_discovery_calls(poolers);
        let timed_out = (limits.discovery_watch_timeout + limits.discovery_timeout)
            .max(limits.discovery_timeout_after_failure)
            + limits.discovery_backoff.max * 3 / 2;
        // A rejected call ends at once: discovery was reachable but had no capacity.
        let rejected = limits.discovery_spread.max(limits.discovery_backoff.max * 3 / 2);
        let received = timed_out.max(rejected) + limits.discovery_timeout;
        assert!(received <= Duration::from_secs(6), "{poolers:?}: {received:?}");
    }
}

/// Guards against a tier whose watches and probes overload the one discovery that its poolers share, and against a lone
/// pooler that notices an outage late because of that.
#[test]
fn a_shared_discovery_is_called_at_a_bounded_rate() {
    const CALLS_PER_SECOND: f64 = 200.0;
    let own = Limits::for_sockets(64);
    for poolers in [1, 2, 20, 21, 100, 399, 400] {
        let mut limits = Limits::for_sockets(64);
        limits.share_discovery(Some(poolers));
        let interval = limits.discovery_probe_interval;
        assert_eq!(limits.discovery_short_watch_timeout, interval);
        assert!(
            f64::from(poolers) / interval.as_secs_f64() <= CALLS_PER_SECOND + 1e-6,
            "{poolers}: {interval:?}"
        );
        assert!(poolers > 20 || interval == own.discovery_probe_interval, "{poolers}: {interval:?}");
    }
    let mut limits = Limits::for_sockets(64);
    limits.share_discovery(Some(u32::MAX));
    assert_eq!(limits.discovery_probe_interval, own.discovery_watch_timeout);
}

/// Guards against a shutdown that lasts as long as a client's timeout although the settings limit all deadlines.
#[test]
fn the_longest_deadline_of_the_classes_bounds_the_shutdown() {
    let millis = |millis: i64| Some(TimeDelta::from_millis(millis));
    let shutdown_deadline = |deadlines: &[Option<TimeDelta>]| {
        let mut limits = Limits::for_sockets(64);
        limits.bound_shutdown_by_deadlines(deadlines.iter().copied());
        limits.shutdown_deadline
    };
    let default = Limits::for_sockets(64).shutdown_deadline;
    assert_eq!(shutdown_deadline(&[millis(500), millis(700)]), Duration::from_millis(700));
    assert_eq!(shutdown_deadline(&[millis(60_000)]), default);
    assert_eq!(shutdown_deadline(&[millis(500), None]), default, "one class has no deadline");
    assert_eq!(shutdown_deadline(&[]), default);
}
