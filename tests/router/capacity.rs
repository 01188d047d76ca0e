//! How many attempts an endpoint gets when it responds late, fails or rejects work.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn an_endpoint_that_rejects_everything_does_not_attract_all_reads() {
    let mut harness = RouterHarness::new(settings(), 3);
    for n in 1..=3 {
        harness.report_state(n, Role::primary_if(n == 1), FRESH);
    }
    let mut sent_to_overloaded = 0;
    for _ in 0..100 {
        let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
        let to = sent_to(&sent, id)[0];
        sent_to_overloaded += usize::from(to == endpoint(3));
        let outcome = if to == endpoint(3) { AttemptOutcome::Overloaded } else { AttemptOutcome::Served };
        harness.finish_attempt(id, 0, to.ip[3], outcome, Some(Role::primary_if(to == endpoint(1))), FRESH);
        harness.advance(10 * MS);
    }
    assert!(
        (1..15).contains(&sent_to_overloaded),
        "{sent_to_overloaded} of 100 reads were sent to the endpoint that is always overloaded"
    );
}

#[test]
fn failing_requests_of_one_tenant_do_not_eject_a_healthy_endpoint() {
    let mut settings = settings();
    settings.replication_lag_policy = Some(ReplicationLagPolicy::Reject);
    let mut harness = RouterHarness::new(settings, 2);
    harness.report_state(1, Role::Primary, FRESH);
    for n in 0..40 {
        let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
        assert_eq!(sent_to(&sent, id), [endpoint(2)], "every second request fails at any endpoint");
        let outcome = if n % 2 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Served };
        harness.finish_attempt(id, 0, 2, outcome, Some(Role::Replica), FRESH);
        if n % 2 == 0 {
            harness.finish_attempt(id, 1, 1, AttemptOutcome::Error, Some(Role::Primary), FRESH);
        }
        harness.now += 10 * MS;
    }
}

#[test]
fn one_of_many_poolers_pauses_between_attempts_to_an_endpoint_that_responds_late() {
    let mut settings = settings();
    settings.pooler_count = Some(100);
    let mut harness = RouterHarness::new(settings, 1);
    harness.report_state(1, Role::Primary, FRESH);
    for _ in 0..6 {
        let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
        assert_eq!(sent_to(&sent, id), [endpoint(1)]);
        harness.now += 450 * MS;
        harness.latency = 450 * MS;
        harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
        harness.now += 5_000 * MS;
    }
    let (id, _) = harness.request(WRITE, 5_000 * MS, None);
    harness.now += 450 * MS;
    harness.latency = 450 * MS;
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty());
    let sent = harness.advance(300 * MS);
    assert!(sent_to(&sent, id).is_empty(), "the pause is longer than one service time");
}

/// Guards against the ejection of an endpoint, above all of a primary, because a single connection broke.
#[test]
fn one_broken_connection_does_not_eject_its_endpoint() {
    let mut settings = settings();
    settings.classes[WRITE].idempotency = Some(Idempotency::Keyed);
    settings.classes[WRITE].key_window = Some(700 * MS);
    let mut harness = RouterHarness::new(settings, 3);
    for _ in 0..4 {
        let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
        assert_eq!(sent_to(&sent, id), [endpoint(1)]);
        let retry = harness.finish_attempt(id, 0, 1, AttemptOutcome::Reset, None, FRESH);
        assert_eq!(sent_to(&retry, id), [endpoint(1)], "retried at once at the same endpoint");
        harness.finish_attempt(id, 1, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    }
    // Several broken connections without a response in between are attributed to the endpoint.
    let ids: Vec<_> = (0..3).map(|_| harness.request(WRITE, 5_000 * MS, None).0).collect();
    let retries: Vec<_> =
        ids.iter().map(|id| harness.finish_attempt(*id, 0, 1, AttemptOutcome::Reset, None, FRESH)).collect();
    let last_retry = sent_to(&retries[2], ids[2]);
    assert!(!last_retry.contains(&endpoint(1)), "{last_retry:?}");
}

#[test]
fn an_unanswered_attempt_decreases_the_limit_below_the_concurrency_that_one_of_many_poolers_used() {
    let mut settings = settings();
    settings.pooler_count = Some(100);
    let mut harness = RouterHarness::new(settings, 1);
    harness.report_state(1, Role::Primary, FRESH);
    for outcome in [AttemptOutcome::Served, AttemptOutcome::TimedOut] {
        let (id, sent) = harness.request(WRITE, 450 * MS, None);
        assert_eq!(sent_to(&sent, id), [endpoint(1)]);
        harness.now += 450 * MS;
        harness.latency = if outcome == AttemptOutcome::Served { 20 * MS } else { 450 * MS };
        harness.finish_attempt(id, 0, 1, outcome, Some(Role::Primary), FRESH);
        harness.now += 2_000 * MS;
    }
    let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
    assert!(
        sent_to(&sent, id).is_empty(),
        "its endpoint may be overloaded, so the pause is longer than the time between earlier attempts"
    );
}
