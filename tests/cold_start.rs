//! The load that all poolers of a tier together put on an endpoint that has just started.

mod common;

use brookpass::routing::*;
use common::*;

const POOLERS: u32 = 30;
/// Requests per second that a warm endpoint can serve; the tier sends it 80 % of that.
const CAPACITY_PER_S: f64 = 18.75;
const OVERLOAD_WINDOW: TimeDelta = TimeDelta::from_secs(1);
const WARM_UP: TimeDelta = TimeDelta::from_secs(16);
const COLD_CAPACITY: f64 = 0.25;
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Duration of every attempt.
const LATENCY: TimeDelta = TimeDelta::from_millis(20);
/// The burst: a request every 100 ms over 2.5 s.
const BURST_STEPS: i64 = 500;
const BURST_STEP: TimeDelta = TimeDelta::from_millis(5);
const STEPS_PER_REQUEST: i64 = 20;

fn tier_settings() -> Settings {
    Settings {
        pooler_count: Some(POOLERS),
        // With a single class, every request counts as average work.
        classes: vec![settings().classes[EVENTUAL_READ].clone()],
        may_hedge: Some(false),
        cold_capacity: Some(COLD_CAPACITY),
        warm_up: Some(WARM_UP),
        overload_multiple: Some(OVERLOAD_MULTIPLE),
        overload_window: Some(OVERLOAD_WINDOW),
        ..settings()
    }
}

/// A pooler that has measured two warm endpoints. Each seed starts at a different time.
fn warmed_pooler(seed: u64) -> RouterHarness {
    let mut harness = RouterHarness::seeded(tier_settings(), 2, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    harness.advance(rng.i64(1..1_000) * MS);
    for _ in 0..30 {
        let (id, sent) = harness.request(0, 2_000 * MS, None);
        let to = sent_to(&sent, id)[0];
        harness.advance(LATENCY);
        let role = Role::primary_if(to == endpoint(1));
        harness.finish_attempt(id, 0, to.ip[3], AttemptOutcome::Served, Some(role), FRESH);
        harness.advance(980 * MS);
    }
    harness
}

/// Restarts the second endpoint, drains the first one and, after a pause of `idle`, sends one pooler a burst of
/// requests. Returns the times, counted from the restart, at which it sent attempts to the restarted endpoint.
fn send_times_after_restart(seed: u64, idle: TimeDelta) -> Vec<TimeDelta> {
    let mut harness = warmed_pooler(seed);
    let restarted_at = harness.now;
    let draining = EndpointEntry { availability: Availability::Draining, ..entry(1) };
    let restarted = EndpointEntry { started_at: Some(restarted_at), ..entry(2) };
    harness.update_list(ListKind::Delta, vec![draining, restarted]);
    harness.advance(idle);

    let mut actions_seen = harness.actions.len();
    let mut send_times = Vec::new();
    let mut in_flight: Vec<(Timestamp, RequestId)> = Vec::new();
    for step in 0..BURST_STEPS {
        if step % STEPS_PER_REQUEST == 0 {
            harness.request(0, 2_000 * MS, None);
        }
        harness.advance(BURST_STEP);
        for action in &harness.actions[actions_seen..] {
            if let Action::Send { id, endpoint: to, .. } = action {
                assert_eq!(*to, endpoint(2), "no other endpoint is in service");
                send_times.push(harness.now - restarted_at);
                in_flight.push((harness.now + LATENCY, *id));
            }
        }
        actions_seen = harness.actions.len();
        let (ended, remaining) = in_flight.into_iter().partition(|(ends_at, _)| *ends_at <= harness.now);
        in_flight = remaining;
        for (_, id) in ended {
            harness.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Replica), FRESH);
        }
    }
    send_times
}

/// The most attempts that a cold endpoint may get in an overload window that begins `from` after its restart: its
/// capacity in that window, plus a tolerance for random variation.
fn max_sends_in_window(from: TimeDelta) -> f64 {
    let progress = (from.as_micros_f64() / WARM_UP.as_micros_f64()).min(1.0);
    let warmth = COLD_CAPACITY + (1.0 - COLD_CAPACITY) * progress;
    let capacity = CAPACITY_PER_S * warmth * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW.as_secs_f64();
    capacity + 2.0 * capacity.sqrt() + 2.0
}

/// Guards against poolers that each save up their share of less than one request until it is a whole request: in a
/// burst after a pause, all of them together would exceed the capacity of a cold endpoint.
#[test]
fn thirty_poolers_together_stay_within_a_cold_endpoints_capacity_after_a_pause() {
    for idle in [TimeDelta::ZERO, 500 * MS, 1_000 * MS, 3_000 * MS, 6_000 * MS] {
        let poolers = 0..u64::from(POOLERS);
        let mut times: Vec<TimeDelta> =
            poolers.flat_map(|seed| send_times_after_restart(seed, idle)).collect();
        times.sort_unstable();
        assert!(
            times.len() > 10,
            "the cold endpoint is used: {} sends after {} us",
            times.len(),
            idle.as_micros()
        );
        for (n, from) in times.iter().enumerate() {
            let sends = times[n..].iter().take_while(|at| **at < *from + OVERLOAD_WINDOW).count();
            let limit = max_sends_in_window(*from);
            assert!(
                sends as f64 <= limit,
                "{sends} sends within a second from {} us on; the limit is {limit:.1}",
                from.as_micros()
            );
        }
    }
}
