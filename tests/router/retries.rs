//! When a request may be retried, and when an attempt is cancelled.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn an_unsafe_write_that_may_have_run_is_neither_retried_nor_rejected() {
    for outcome in [AttemptOutcome::Error, AttemptOutcome::Reset, AttemptOutcome::TimedOut] {
        let mut harness = RouterHarness::new(settings(), 3);
        let (id, _) = harness.request(WRITE, 5_000 * MS, None);
        let actions = harness.finish_attempt(id, 0, 1, outcome, None, FRESH);
        assert!(failed(&actions, id) && !rejected(&actions, id) && sent_to(&actions, id).is_empty());
    }
}

#[test]
fn a_keyed_write_is_retried_only_within_its_key_window() {
    let keyed_writes = || {
        let mut settings = settings();
        settings.classes[WRITE].idempotency = Some(Idempotency::Keyed);
        settings
    };
    let mut harness = RouterHarness::new(keyed_writes(), 3);
    let (id, _) = harness.request(WRITE, 5_000 * MS, None);
    harness.now += 1_000 * MS;
    let retry = harness.finish_attempt(id, 0, 1, AttemptOutcome::Error, Some(Role::Primary), FRESH);
    assert_eq!(sent_to(&retry, id), [endpoint(1)], "retried once, at the same primary");
    let end = harness.finish_attempt(id, 1, 1, AttemptOutcome::Error, Some(Role::Primary), FRESH);
    assert!(sent_to(&end, id).is_empty() && failed(&end, id), "a second error is attributed to the request");
    let mut harness = RouterHarness::new(keyed_writes(), 3);
    let (id, _) = harness.request(WRITE, 5_000 * MS, None);
    harness.now += 3_000 * MS;
    let end = harness.finish_attempt(id, 0, 1, AttemptOutcome::Error, Some(Role::Primary), FRESH);
    assert!(sent_to(&end, id).is_empty() && failed(&end, id) && !rejected(&end, id));
}

#[test]
fn late_outcomes_unknown_ids_and_empty_lists_are_ignored() {
    let mut harness = RouterHarness::new(settings(), 0);
    let (id, _) = harness.request(WRITE, 1_000 * MS, None);
    assert!(rejected(&harness.advance(1_100 * MS), id));
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    harness.finish_attempt(RequestId(999), 3, 9, AttemptOutcome::Error, None, FRESH);
    harness.handle(Event::RequestCancelled { id: RequestId(12345) });
    harness.handle(Event::TimerFired { timer: 99 });
    harness.handle(Event::PeerMessage { from: 1, bytes: vec![1, 2, 3] });
    harness.handle(Event::ResponseStarted { id: RequestId(5), attempt: 0, endpoint: endpoint(4) });
    harness.update_list(ListKind::Failed, Vec::new());
}

#[test]
fn open_attempts_of_a_cancelled_request_are_cancelled() {
    let mut harness = RouterHarness::new(settings(), 2);
    harness.report_state(1, Role::Primary, FRESH);
    let (id, _) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
    let actions = harness.handle(Event::RequestCancelled { id });
    assert_eq!(actions.first(), Some(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn a_write_whose_key_is_known_in_only_one_zone_is_not_retried_in_another() {
    let mut settings = settings();
    settings.classes[WRITE].idempotency = Some(Idempotency::Keyed);
    settings.classes[WRITE].key_scope = Some(KeyScope::Zone);
    let mut harness = RouterHarness::new(settings, 1);
    harness.update_list(ListKind::Delta, vec![EndpointEntry { zone: ZoneId(1), ..entry(2) }]);
    let (id, _) = harness.request(WRITE, 2_000 * MS, None);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Reset, None, FRESH);
    harness.report_state(2, Role::Primary, FRESH);
    assert!(sent_to(&harness.advance(1_500 * MS), id).iter().all(|to| *to == endpoint(1)));
}

#[test]
fn the_discovery_timer_does_not_retry_a_write_with_an_expired_key() {
    let mut settings = settings();
    settings.classes[WRITE].idempotency = Some(Idempotency::Keyed);
    settings.classes[WRITE].key_window = Some(700 * MS);
    let mut harness = RouterHarness::new(settings, 3);
    let (id, _) = harness.request(WRITE, 5_000 * MS, None);
    harness.now += 300 * MS;
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Reset, None, FRESH);
    harness.finish_attempt(id, 1, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    for (attempt, n) in [(2, 2), (3, 3)] {
        harness.finish_attempt(id, attempt, n, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    }
    let actions = harness.advance(2_000 * MS);
    assert!(
        sent_to(&actions, id).len() <= 1 && failed(&actions, id),
        "the timer may retry it at 500 ms, but not after its key expired at 700 ms"
    );
}

/// Guards against a request that is stuck on a silent connection while its endpoint answers all others. The endpoint
/// must not be treated as slow because of it.
#[test]
fn an_attempt_that_many_later_ones_overtake_is_cancelled_and_retried_once() {
    let mut harness = RouterHarness::new(settings(), 2);
    harness.serve_requests(WRITE, 3);
    harness.report_state(2, Role::Replica, FRESH);
    let (stuck, sent) = harness.request(BOUNDED_READ, 5_000 * MS, None);
    assert_eq!(sent_to(&sent, stuck), [endpoint(2)]);
    let first_action = harness.actions.len();
    for _ in 0..60 {
        harness.report_state(2, Role::Replica, FRESH);
        let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        let to = sent_to(&sent, id);
        harness.advance(20 * MS);
        to.iter().for_each(|to| {
            drop(harness.finish_attempt(
                id,
                0,
                to.ip[3],
                AttemptOutcome::Served,
                Some(Role::primary_if(*to == endpoint(1))),
                FRESH,
            ))
        });
    }
    let cancels = |action: &&Action| matches!(action, Action::Cancel { id, attempt: 0 } if *id == stuck);
    assert_eq!(harness.actions[first_action..].iter().filter(cancels).count(), 1);
    harness.latency = 1_200 * MS;
    let retry = harness.finish_attempt(stuck, 0, 2, AttemptOutcome::Cancelled, None, FRESH);
    assert_eq!(sent_to(&retry, stuck).len(), 1, "retried, since reads are idempotent");
    let sent: Vec<_> = (0..4).flat_map(|_| harness.request(BOUNDED_READ, 2_000 * MS, None).1).collect();
    assert!(
        sent.iter().filter(|action| matches!(action, Action::Send { .. })).count() >= 4,
        "the concurrency limit of its endpoint was not decreased"
    );
}
