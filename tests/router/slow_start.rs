//! What an endpoint that has just started is given.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_restarted_endpoint_is_not_flooded() {
    let mut harness = RouterHarness::new(settings(), 3);
    // First it learns what warm endpoints serve.
    harness.serve_requests(EVENTUAL_READ, 400);
    let restarted = EndpointEntry { started_at: Some(harness.now), ..entry(3) };
    harness.update_list(ListKind::Delta, vec![restarted]);
    let to_cold = harness.serve_requests(EVENTUAL_READ, 300).iter().filter(|to| **to == endpoint(3)).count();
    assert!((1..60).contains(&to_cold), "{to_cold} of 300 attempts went to the cold endpoint");
}

#[test]
fn a_hundred_poolers_together_do_not_overload_a_restarted_endpoint() {
    let mut to_cold = 0;
    for seed in 0..100 {
        let mut settings = settings();
        settings.pooler_count = Some(100);
        let mut harness = RouterHarness::seeded(settings, 2, seed);
        let restarted = EndpointEntry { started_at: Some(harness.now), ..entry(2) };
        harness.update_list(ListKind::Delta, vec![restarted]);
        let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
        to_cold += sent_to(&sent, id).iter().filter(|to| **to == endpoint(2)).count();
    }
    assert!(to_cold < 10, "{to_cold} of 100 poolers sent to it at once");
}

/// Guards against a cold primary that is given as few writes as if each were the heaviest read: its group's writes are
/// rejected while it has capacity. All that is sent stays within its budget of work.
#[test]
fn a_light_class_uses_less_of_a_slow_start_budget() {
    let sent = |read: i64, write: i64| {
        let mut settings = settings();
        settings.pooler_count = Some(100);
        let mut harness = RouterHarness::new(settings, 2);
        harness.report_state(1, Role::Primary, FRESH);
        // Reads go to the replica, writes to the primary, until the router knows how long each takes.
        for _ in 0..200 {
            for (class, to, took) in [(EVENTUAL_READ, 2, read), (WRITE, 1, write)] {
                let (id, now) = harness.request(class, 2_000 * MS, None);
                assert_eq!(sent_to(&now, id), [endpoint(to)]);
                harness.advance(15 * MS);
                harness.latency = took * MS;
                harness.finish_attempt(
                    id,
                    0,
                    to,
                    AttemptOutcome::Served,
                    Some(Role::primary_if(to == 1)),
                    FRESH,
                );
            }
        }
        let cold = |n| EndpointEntry { started_at: Some(harness.now), ..entry(n) };
        let both = vec![cold(1), cold(2)];
        harness.update_list(ListKind::Delta, both);
        let mut sent = 0;
        for _ in 0..100 {
            let (id, now) = harness.request(WRITE, 300 * MS, None);
            let later = harness.advance(50 * MS);
            if let Some(to) = sent_to(&now, id).first().or(sent_to(&later, id).first()) {
                sent += 1;
                harness.finish_attempt(
                    id,
                    0,
                    to.ip[3],
                    AttemptOutcome::Served,
                    Some(Role::primary_if(to.ip[3] == 1)),
                    FRESH,
                );
            }
        }
        sent
    };
    let (light, heavy) = (sent(200, 20), sent(20, 200));
    assert!(light > 50 && heavy < 20, "{light} light writes, {heavy} heavy ones");
}
