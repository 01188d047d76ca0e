//! What all drivers of a tier together send to a member that has just started.

mod common;

use brookpass::routing::*;
use common::*;

const DRIVERS: u32 = 30;
/// Requests a second that a warm member bears; the tier asks eight tenths of that of each.
const CAPACITY: f64 = 18.75;
const WINDOW: TimeDelta = TimeDelta::from_secs(1);
const WARM_UP: TimeDelta = TimeDelta::from_secs(16);
const COLD_SHARE: f64 = 0.25;
const MULTIPLE: f64 = 4.0;

fn tier() -> Settings {
    Settings {
        pooler_count: Some(DRIVERS),
        // All requests are of one kind: each is of mean work.
        classes: vec![settings().classes[EVENTUAL_READ].clone()],
        may_hedge: Some(false),
        cold_capacity: Some(COLD_SHARE),
        warm_up: Some(WARM_UP),
        overload_multiple: Some(MULTIPLE),
        overload_window: Some(WINDOW),
        ..settings()
    }
}

/// One driver that has seen what two warm members bear, and then: the second one restarts, the first one leaves, and
/// after `idle` a burst of requests comes. When it sent to the restarted member, counted from its start.
fn sent_by(seed: u64, idle: TimeDelta) -> Vec<TimeDelta> {
    let mut harness = RouterHarness::seeded(tier(), 2, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    harness.advance(rng.i64(1..1_000) * MS);
    for _ in 0..30 {
        let (id, sent) = harness.request(0, 2_000 * MS, None);
        let to = sent_to(&sent, id)[0];
        harness.advance(20 * MS);
        harness.finish_attempt(
            id,
            0,
            to.ip[3],
            AttemptOutcome::Served,
            Some(Role::primary_if(to == endpoint(1))),
            FRESH,
        );
        harness.advance(980 * MS);
    }
    let started = harness.now;
    let leaves = EndpointEntry { availability: Availability::Draining, ..entry(1) };
    harness
        .update_list(ListKind::Delta, vec![leaves, EndpointEntry { started_at: Some(started), ..entry(2) }]);
    harness.advance(idle);
    let from = harness.actions.len();
    let mut times = Vec::new();
    let mut seen = from;
    let mut out: Vec<(Timestamp, RequestId, u8)> = Vec::new();
    for step in 0..500 {
        if step % 20 == 0 {
            harness.request(0, 2_000 * MS, None);
        }
        harness.advance(5 * MS);
        for action in harness.actions[seen..].iter().cloned() {
            if let Action::Send { id, endpoint: to, .. } = action {
                assert_eq!(to, endpoint(2), "nobody else is in service");
                times.push(harness.now - started);
                out.push((harness.now + 20 * MS, id, 0));
            }
        }
        seen = harness.actions.len();
        let (due, rest) = out.into_iter().partition(|(at, ..)| *at <= harness.now);
        out = rest;
        for (_, id, attempt) in due {
            harness.finish_attempt(id, attempt, 2, AttemptOutcome::Served, Some(Role::Replica), FRESH);
        }
        seen = seen.min(harness.actions.len());
    }
    times
}

/// Guards against a share of less than one request that becomes one for each driver: what each has saved up adds up
/// to more than a cold member bears, whenever a burst comes after a pause.
#[test]
fn thirty_poolers_together_send_no_more_than_a_cold_endpoint_bears_after_a_pause() {
    for idle in [TimeDelta::ZERO, 500 * MS, 1_000 * MS, 3_000 * MS, 6_000 * MS] {
        let mut all: Vec<TimeDelta> = (0..u64::from(DRIVERS)).flat_map(|seed| sent_by(seed, idle)).collect();
        all.sort_unstable();
        assert!(all.len() > 10, "it is used: {} sends after {} us", all.len(), idle.as_micros());
        for (n, from) in all.iter().enumerate() {
            let within = all[n..].iter().take_while(|at| **at < *from + WINDOW).count();
            let warmth =
                COLD_SHARE + (1.0 - COLD_SHARE) * (from.as_micros_f64() / WARM_UP.as_micros_f64()).min(1.0);
            let bears = CAPACITY * warmth * MULTIPLE * WINDOW.as_secs_f64();
            let most = bears + 2.0 * bears.sqrt() + 2.0;
            assert!(
                within as f64 <= most,
                "{within} within a second from {} us on; {most:.1} is the most",
                from.as_micros()
            );
        }
    }
}
