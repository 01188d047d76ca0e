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
    assert!(rejected(&end, id), "it never ran: a retry by the client is harmless");
}

#[test]
fn a_read_behind_a_long_queue_is_rejected_at_once() {
    let mut harness = RouterHarness::new(settings(), 1);
    harness.report_state(1, Role::Primary, FRESH);
    let rejections = (0..60).filter(|_| {
        let (id, done) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        rejected(&done, id)
    });
    assert!(rejections.count() > 0, "sixty reads at once on one endpoint cannot all be in time");
}

/// Guards against clients that wait in vain: half of a client's time must be left for another pooler.
#[test]
fn a_queued_request_that_no_endpoint_received_is_rejected_while_half_of_its_time_is_left() {
    let mut harness = RouterHarness::new(settings(), 3);
    let (sent_before, _) = harness.request(WRITE, 2_000 * MS, None);
    for (attempt, from) in [(0, 1), (1, 2), (2, 3)] {
        harness.finish_attempt(
            sent_before,
            attempt,
            from,
            AttemptOutcome::Misdirected,
            Some(Role::Replica),
            FRESH,
        );
    }
    let (queued, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, queued).is_empty());
    let early = harness.advance(900 * MS);
    assert!(!rejected(&early, queued), "a write stays queued while it still has a prospect");
    let half = harness.advance(100 * MS);
    assert!(
        rejected(&half, queued) && !rejected(&half, sent_before),
        "one that an endpoint may have received stays queued"
    );
    // The same holds where its attempts found no connection, also where that is known late.
    let mut harness = RouterHarness::new(settings(), 1);
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness.advance(1_200 * MS);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    assert!(rejected(&harness.advance(10 * MS), id));
}

/// Guards against requests of a pooler with little traffic that stay queued until their deadline, although their
/// endpoint accepts attempts again: a pause and a slow-start bucket end with time, and no other event may come.
#[test]
fn a_queued_request_is_sent_once_its_endpoint_accepts_attempts_without_another_event() {
    let one_of_many = || {
        let mut settings = settings();
        settings.pooler_count = Some(100);
        let mut harness = RouterHarness::new(settings, 1);
        harness.report_state(1, Role::Primary, FRESH);
        harness
    };
    let mut pausing = one_of_many();
    let (id, _) = pausing.request(WRITE, 5_000 * MS, None);
    pausing.now += 450 * MS;
    pausing.latency = 450 * MS;
    pausing.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    pausing.now += 10 * MS;
    let (id, sent) = pausing.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    pausing.latency = 200 * MS;
    pausing.now += 200 * MS;
    pausing.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let mut cold = one_of_many();
    cold.serve_requests(WRITE, 40);
    cold.update_list(ListKind::Delta, vec![EndpointEntry { started_at: Some(cold.now), ..entry(1) }]);
    for (mut harness, why) in [(pausing, "it pauses"), (cold, "its bucket is not full")] {
        let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
        assert!(sent_to(&sent, id).is_empty(), "{why}");
        assert_eq!(sent_to(&harness.advance(900 * MS), id), [endpoint(1)], "{why}");
    }
}
