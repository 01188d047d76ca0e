//! The queue: which requests are queued, and which are rejected.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_queued_write_is_rejected_before_its_client_gives_up() {
    let mut harness = RouterHarness::new(settings(), 2);
    let (id, _) = harness.request(WRITE, 400 * MS, None);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    harness.finish_attempt(id, 1, 2, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    let actions = harness.advance(400 * MS);
    assert!(rejected(&actions, id), "it did not run, so the client may safely retry it");
}

#[test]
fn a_read_behind_a_long_queue_is_rejected_at_once() {
    let mut harness = RouterHarness::new(settings(), 1);
    harness.report_state(1, Role::Primary, FRESH);
    let rejections = (0..60).filter(|_| {
        let (id, actions) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        rejected(&actions, id)
    });
    assert!(rejections.count() > 0, "one endpoint cannot serve sixty simultaneous reads in time");
}

/// Guards against requests that stay queued until their client gives up. Half of the client's timeout must be left for
/// a retry at another pooler.
#[test]
fn a_queued_request_that_no_endpoint_received_is_rejected_after_half_of_its_timeout() {
    let mut harness = RouterHarness::new(settings(), 3);
    let (received, _) = harness.request(WRITE, 2_000 * MS, None);
    for (attempt, from) in [(0, 1), (1, 2), (2, 3)] {
        harness.finish_attempt(
            received,
            attempt,
            from,
            AttemptOutcome::Misdirected,
            Some(Role::Replica),
            FRESH,
        );
    }
    let (queued, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, queued).is_empty());
    let before_half = harness.advance(900 * MS);
    assert!(!rejected(&before_half, queued), "a write stays queued during the first half of its timeout");
    let after_half = harness.advance(100 * MS);
    assert!(
        rejected(&after_half, queued) && !rejected(&after_half, received),
        "a write that an endpoint may have received stays queued"
    );
    // The same applies to a request whose attempts could not connect, even if this is reported only later.
    let mut harness = RouterHarness::new(settings(), 1);
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness.advance(1_200 * MS);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    assert!(rejected(&harness.advance(10 * MS), id));
}

/// Guards against requests that stay queued until their deadline at a pooler with little traffic. Their endpoint
/// accepts attempts again when a pause ends or a slow-start bucket fills, but no event announces that.
#[test]
fn a_queued_request_is_sent_without_another_event_once_its_endpoint_accepts_attempts() {
    let one_of_many_poolers = || {
        let mut settings = settings();
        settings.pooler_count = Some(100);
        let mut harness = RouterHarness::new(settings, 1);
        harness.report_state(1, Role::Primary, FRESH);
        harness
    };
    let mut pausing = one_of_many_poolers();
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
    let mut cold = one_of_many_poolers();
    cold.serve_requests(WRITE, 40);
    cold.update_list(ListKind::Delta, vec![EndpointEntry { started_at: Some(cold.now), ..entry(1) }]);
    for (mut harness, case) in [(pausing, "pause between attempts"), (cold, "slow-start bucket not full")] {
        let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
        assert!(sent_to(&sent, id).is_empty(), "{case}");
        assert_eq!(sent_to(&harness.advance(900 * MS), id), [endpoint(1)], "{case}");
    }
}
