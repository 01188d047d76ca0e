//! The endpoint list: which endpoints may be used, and what is forgotten.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_draining_or_removed_endpoint_gets_nothing_new() {
    for availability in [Availability::Draining, Availability::Gone] {
        let mut harness = RouterHarness::new(settings(), 2);
        harness.update_list(ListKind::Delta, vec![EndpointEntry { availability, ..entry(2) }]);
        for _ in 0..20 {
            let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
            assert_eq!(sent_to(&sent, id), [endpoint(1)]);
            harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
        }
    }
}

#[test]
fn a_failed_subscription_is_retried_with_a_delay() {
    let mut settings = settings();
    settings.must_subscribe = Some(true);
    let mut harness = RouterHarness::new(settings, 2);
    assert!(harness.actions.contains(&Action::Subscribe { on: true }));
    harness.update_list(ListKind::Failed, Vec::new());
    assert!(
        !harness.advance(400 * MS).contains(&Action::Subscribe { on: true }),
        "not before the delay is over"
    );
    assert!(harness.advance(600 * MS).contains(&Action::Subscribe { on: true }));
}

#[test]
fn poolers_whose_subscriptions_fail_together_retry_at_different_times() {
    let mut settings = settings();
    settings.must_subscribe = Some(true);
    let early = (0..20).filter(|seed| {
        let mut harness = RouterHarness::seeded(settings.clone(), 2, *seed);
        harness.update_list(ListKind::Failed, Vec::new());
        harness.advance(750 * MS).contains(&Action::Subscribe { on: true })
    });
    assert!((4..17).contains(&early.count()), "about half of them by the middle of the span");
}

#[test]
fn where_only_a_stated_drain_binds_an_endpoint_that_left_the_list_is_still_used() {
    let mut settings = settings();
    settings.only_stated_drain_binds = Some(true);
    let mut harness = RouterHarness::new(settings, 1);
    harness.update_list(ListKind::Full, Vec::new());
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness.update_list(
        ListKind::Delta,
        vec![EndpointEntry { availability: Availability::Draining, ..entry(1) }],
    );
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty());
}

#[test]
fn a_new_pooler_probes_each_endpoint_in_service_once() {
    let mut settings = settings();
    settings.may_probe = Some(true);
    let mut harness = RouterHarness::new(settings, 3);
    let probes = |harness: &RouterHarness| {
        harness.actions.iter().filter(|action| matches!(action, Action::Probe { .. })).count()
    };
    assert_eq!(probes(&harness), 3);
    harness.update_list(
        ListKind::Delta,
        vec![EndpointEntry { availability: Availability::Draining, ..entry(2) }],
    );
    harness.advance(2_000 * MS);
    assert_eq!(probes(&harness), 3);
}

/// Guards against memory that grows with every endpoint that was replaced and every session that ever wrote.
#[test]
fn removed_endpoints_and_old_sessions_are_forgotten() {
    let mut settings = settings();
    settings.session_tracking = Some(SessionTracking::Remembered);
    settings.classes[WRITE].latency_objective = Some(10_000 * MS);
    let mut harness = RouterHarness::new(settings, 2);
    let host = |n: u16, availability| {
        let endpoint = EndpointId { ip: [10, 1, (n >> 8) as u8, n as u8], port: 1 };
        EndpointEntry { endpoint, availability, group: GroupId(u32::from(n)), ..entry(0) }
    };
    for n in 0..500 {
        harness.now += 2_000 * MS;
        harness.update_list(
            ListKind::Delta,
            vec![host(n, Availability::Gone), host(n + 1, Availability::Ready)],
        );
        let RetainedState { endpoints, groups, .. } = harness.router.retained();
        assert!(endpoints <= 20 && groups <= 20, "{endpoints} endpoints, {groups} groups after {n}");
    }
    // An endpoint with an attempt in flight is kept until that has its outcome.
    let (id, sent) = harness.request(WRITE, 60_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness
        .update_list(ListKind::Delta, vec![EndpointEntry { availability: Availability::Gone, ..entry(1) }]);
    harness.now += 50_000 * MS;
    harness.update_list(ListKind::Delta, Vec::new());
    let end = harness.finish_attempt(id, 0, 1, AttemptOutcome::Error, None, FRESH);
    assert!(failed(&end, id), "its request gets its final answer");
    harness.update_list(ListKind::Delta, Vec::new());
    let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)], "the believed primary is forgotten, the ring goes on");
    harness.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    for session in 0..60_000 {
        harness.now += MS;
        let id = RequestId(1_000_000 + session);
        let request = IncomingRequest {
            id,
            class: WRITE,
            group: GroupId(1),
            session,
            client_timeout: 5_000 * MS,
            ..IncomingRequest::default()
        };
        let sent = harness.handle(Event::Request(request));
        assert_eq!(sent_to(&sent, id), [endpoint(2)], "{session}");
        harness.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    }
    let RetainedState { requests, sessions, .. } = harness.router.retained();
    assert!(requests == 0 && sessions <= 50_000, "{requests} requests, {sessions} sessions");
}
