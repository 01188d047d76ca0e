//! The write path: the believed primary, and the search for another one.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_misdirected_write_is_retried_along_the_ring_in_sorted_order() {
    let mut harness = RouterHarness::new(settings(), 4);
    let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    let second = harness.finish_attempt(id, 0, 1, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    assert_eq!(sent_to(&second, id), [endpoint(2)]);
    let third = harness.finish_attempt(id, 1, 2, AttemptOutcome::ConnectFailed, None, FRESH);
    assert_eq!(sent_to(&third, id), [endpoint(3)]);
}

#[test]
fn after_a_round_without_a_primary_a_write_is_queued_until_an_endpoint_reports_its_role() {
    let mut harness = RouterHarness::new(settings(), 3);
    let (id, _) = harness.request(WRITE, 5_000 * MS, None);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    harness.finish_attempt(id, 1, 2, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    let queued = harness.finish_attempt(id, 2, 3, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    assert!(sent_to(&queued, id).is_empty() && !rejected(&queued, id) && !failed(&queued, id));
    harness.now += 100 * MS;
    let (read, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
    let to = sent_to(&sent, read)[0];
    let released =
        harness.finish_attempt(read, 0, to.ip[3], AttemptOutcome::Served, Some(Role::Primary), FRESH);
    assert_eq!(sent_to(&released, id), [to]);
}

#[test]
fn the_discovery_timer_tries_one_more_endpoint_for_one_queued_write() {
    let mut harness = RouterHarness::new(settings(), 3);
    let (id, _) = harness.request(WRITE, 5_000 * MS, None);
    for (attempt, from) in [(0, 1), (1, 2), (2, 3)] {
        harness.finish_attempt(id, attempt, from, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    }
    let (other, actions) = harness.request(WRITE, 5_000 * MS, None);
    assert!(sent_to(&actions, other).is_empty(), "a second write must not search along the ring too");
    let later = harness.advance(520 * MS);
    assert_eq!(sent_to(&later, id).len() + sent_to(&later, other).len(), 1);
}

#[test]
fn an_unresponsive_primary_gets_no_more_unsafe_writes() {
    let mut harness = RouterHarness::new(settings(), 3);
    harness.report_state(1, Role::Primary, FRESH);
    harness.request(WRITE, 5_000 * MS, None);
    harness.request(WRITE, 5_000 * MS, None);
    harness.advance(600 * MS);
    let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "queued, since the primary does not respond to its attempts");
}

/// Guards against a group whose writes are rejected forever although its primary is healthy, because attempts on two
/// silent connections made the primary suspected.
#[test]
fn a_suspected_primary_is_tried_again_once_it_has_nothing_in_flight() {
    let mut harness = RouterHarness::new(settings(), 3);
    harness.serve_requests(WRITE, 1);
    harness.advance(10 * MS);
    let unanswered: Vec<_> = (0..2).map(|_| harness.request(WRITE, 2_000 * MS, None).0).collect();
    harness.advance(1_000 * MS);
    let (queued, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, queued).is_empty(), "the primary does not respond to its attempts");
    unanswered
        .iter()
        .for_each(|id| drop(harness.finish_attempt(*id, 0, 1, AttemptOutcome::TimedOut, None, FRESH)));
    for n in [2, 3] {
        harness.report_state(n, Role::Replica, FRESH);
    }
    let later = harness.advance(600 * MS);
    assert_eq!(sent_to(&later, queued), [endpoint(1)], "the discovery timer tries it");
    harness.finish_attempt(queued, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let (next, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, next), [endpoint(1)]);
}
