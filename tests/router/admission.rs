//! The queue: which requests wait, and which are rejected.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_queued_write_is_rejected_before_its_clients_deadline() {
    let mut harness = RouterHarness::new(settings(), 2);
    let (id, _) = harness.request(WRITE, 400 * MS, None);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    harness.finish_attempt(id, 1, 2, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    let end = harness.advance(400 * MS);
    assert!(rejected(&end, id), "it never ran: coming back is harmless");
}

#[test]
fn a_read_behind_a_long_queue_is_rejected_at_once() {
    let mut harness = RouterHarness::new(settings(), 1);
    harness.report_state(1, Role::Primary, FRESH);
    let refusals = (0..60).filter(|_| {
        let (id, done) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        rejected(&done, id)
    });
    assert!(refusals.count() > 0, "sixty reads at once on one member cannot all be in time");
}

/// Guards against clients that are kept waiting in vain: half of its time must be left for another way.
#[test]
fn a_queued_request_that_no_endpoint_received_is_rejected_while_half_of_its_time_is_left() {
    let mut harness = RouterHarness::new(settings(), 3);
    let (scout, _) = harness.request(WRITE, 2_000 * MS, None);
    for (attempt, from) in [(0, 1), (1, 2), (2, 3)] {
        harness.finish_attempt(scout, attempt, from, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    }
    let (held, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, held).is_empty());
    let early = harness.advance(900 * MS);
    assert!(!rejected(&early, held), "a write is held while it still has a prospect");
    let half = harness.advance(100 * MS);
    assert!(rejected(&half, held) && !rejected(&half, scout), "one that a member has had is held on");
    // One whose attempts found no connection is such a one too, also where that comes to light late.
    let mut harness = RouterHarness::new(settings(), 1);
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness.advance(1_200 * MS);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    assert!(rejected(&harness.advance(10 * MS), id));
}

/// Guards against requests of a driver that sees few, held until their time is over while the member that they
/// wait for has long been open: a rest and a cold budget end by the clock, and nothing else may happen.
#[test]
fn a_queued_request_is_sent_once_its_endpoint_accepts_attempts_without_another_event() {
    let driver = || {
        let mut settings = settings();
        settings.pooler_count = Some(100);
        let mut harness = RouterHarness::new(settings, 1);
        harness.report_state(1, Role::Primary, FRESH);
        harness
    };
    let mut rests = driver();
    let (id, _) = rests.request(WRITE, 5_000 * MS, None);
    rests.now += 450 * MS;
    rests.latency = 450 * MS;
    rests.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    rests.now += 10 * MS;
    let (id, sent) = rests.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    rests.latency = 200 * MS;
    rests.now += 200 * MS;
    rests.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let mut cold = driver();
    cold.serve_requests(WRITE, 40);
    cold.update_list(ListKind::Delta, vec![EndpointEntry { started_at: Some(cold.now), ..entry(1) }]);
    for (mut harness, why) in [(rests, "it rests"), (cold, "its budget is not full")] {
        let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
        assert!(sent_to(&sent, id).is_empty(), "{why}");
        assert_eq!(sent_to(&harness.advance(900 * MS), id), [endpoint(1)], "{why}");
    }
}
