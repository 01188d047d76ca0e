//! How many attempts an endpoint gets that has just started.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_restarted_endpoint_is_not_overloaded() {
    let mut harness = RouterHarness::new(settings(), 3);
    // The router first measures the rate that warm endpoints serve.
    harness.serve_requests(EVENTUAL_READ, 400);
    let restarted = EndpointEntry { started_at: Some(harness.now), ..entry(3) };
    harness.update_list(ListKind::Delta, vec![restarted]);
    let to_cold = harness.serve_requests(EVENTUAL_READ, 300).iter().filter(|to| **to == endpoint(3)).count();
    assert!((1..60).contains(&to_cold), "{to_cold} of 300 attempts were sent to the cold endpoint");
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
    assert!(to_cold < 10, "{to_cold} of 100 poolers sent to the cold endpoint at once");
}

/// Guards against a slow-start budget that charges a cheap write as much as the slowest read. A cold primary would then
/// get so few writes that its group's writes are rejected although it has capacity. The attempts of all classes
/// together must stay within the budget.
#[test]
fn a_class_with_short_latency_uses_less_of_a_slow_start_budget() {
    let writes_sent = |read_latency_ms: i64, write_latency_ms: i64| {
        let mut settings = settings();
        settings.pooler_count = Some(100);
        let mut harness = RouterHarness::new(settings, 2);
        harness.report_state(1, Role::Primary, FRESH);
        // Reads go to the replica and writes to the primary until the router has measured the latency of both.
        for _ in 0..200 {
            for (class, to, latency_ms) in [(EVENTUAL_READ, 2, read_latency_ms), (WRITE, 1, write_latency_ms)]
            {
                let (id, actions) = harness.request(class, 2_000 * MS, None);
                assert_eq!(sent_to(&actions, id), [endpoint(to)]);
                harness.advance(15 * MS);
                harness.latency = latency_ms * MS;
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
        let restarted = vec![cold(1), cold(2)];
        harness.update_list(ListKind::Delta, restarted);
        let mut sent = 0;
        for _ in 0..100 {
            let (id, at_once) = harness.request(WRITE, 300 * MS, None);
            let later = harness.advance(50 * MS);
            if let Some(to) = sent_to(&at_once, id).first().or(sent_to(&later, id).first()) {
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
    let (short_writes, long_writes) = (writes_sent(200, 20), writes_sent(20, 200));
    assert!(
        short_writes > 50 && long_writes < 20,
        "{short_writes} short writes and {long_writes} long ones were sent"
    );
}
