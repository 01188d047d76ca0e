//! The endpoint list: which endpoints may be used, and when the state of removed endpoints and of sessions is deleted.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_draining_or_removed_endpoint_gets_no_new_attempts() {
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
        "no retry before the delay is over"
    );
    assert!(harness.advance(600 * MS).contains(&Action::Subscribe { on: true }));
}

#[test]
fn poolers_whose_subscriptions_fail_together_retry_at_different_times() {
    let mut settings = settings();
    settings.must_subscribe = Some(true);
    let retried_early = (0..20).filter(|seed| {
        let mut harness = RouterHarness::seeded(settings.clone(), 2, *seed);
        harness.update_list(ListKind::Failed, Vec::new());
        harness.advance(750 * MS).contains(&Action::Subscribe { on: true })
    });
    assert!((4..17).contains(&retried_early.count()), "about half of them in the first half of the jitter");
}

#[test]
fn an_unlisted_endpoint_is_still_used_if_only_a_draining_entry_takes_it_out_of_use() {
    let mut settings = settings();
    settings.keep_unlisted_endpoints = Some(true);
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
fn the_state_of_removed_endpoints_and_old_sessions_is_deleted() {
    let mut settings = settings();
    settings.session_tracking = Some(SessionTracking::Remembered);
    settings.classes[WRITE].latency_objective = Some(10_000 * MS);
    let mut harness = RouterHarness::new(settings, 2);
    let entry_in_own_group = |n: u16, availability| {
        let endpoint = EndpointId { ip: [10, 1, (n >> 8) as u8, n as u8], port: 1 };
        EndpointEntry { endpoint, availability, group: GroupId(u32::from(n)), ..entry(0) }
    };
    for n in 0..500 {
        harness.now += 2_000 * MS;
        harness.update_list(
            ListKind::Delta,
            vec![entry_in_own_group(n, Availability::Gone), entry_in_own_group(n + 1, Availability::Ready)],
        );
        let TableSizes { endpoints, groups, .. } = harness.router.table_sizes();
        assert!(
            endpoints <= 20 && groups <= 20,
            "{endpoints} endpoints and {groups} groups after {n} replacements"
        );
    }
    // The state of an endpoint with an attempt in flight is kept until the attempt has its outcome.
    let (id, sent) = harness.request(WRITE, 60_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness
        .update_list(ListKind::Delta, vec![EndpointEntry { availability: Availability::Gone, ..entry(1) }]);
    harness.now += 50_000 * MS;
    harness.update_list(ListKind::Delta, Vec::new());
    let actions = harness.finish_attempt(id, 0, 1, AttemptOutcome::Error, None, FRESH);
    assert!(failed(&actions, id), "its request gets a final answer");
    harness.update_list(ListKind::Delta, Vec::new());
    let (id, sent) = harness.request(WRITE, 5_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)], "after the removed primary, the next on the ring");
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
        assert_eq!(sent_to(&sent, id), [endpoint(2)], "session {session}");
        harness.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    }
    let TableSizes { requests, sessions, .. } = harness.router.table_sizes();
    assert!(requests == 0 && sessions <= 50_000, "{requests} requests, {sessions} sessions");
}

/// How often endpoint 3, which rejects everything, gets a read within a second.
fn reads_sent_to_rejecting(harness: &mut RouterHarness) -> usize {
    let mut sent_to_rejecting = 0;
    for _ in 0..100 {
        let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
        let to = sent_to(&sent, id)[0];
        let is_rejected = to == endpoint(3);
        sent_to_rejecting += usize::from(is_rejected);
        let outcome = if is_rejected { AttemptOutcome::Overloaded } else { AttemptOutcome::Served };
        harness.finish_attempt(id, 0, to.ip[3], outcome, Some(Role::primary_if(to == endpoint(1))), FRESH);
        harness.advance(10 * MS);
    }
    sent_to_rejecting
}

#[test]
fn an_endpoint_that_rejects_work_while_the_list_is_unconfirmed_is_avoided() {
    let mut harness = RouterHarness::new(settings(), 3);
    for n in 1..=3 {
        harness.report_state(n, Role::primary_if(n == 1), FRESH);
    }
    harness.update_list(ListKind::Unconfirmed, Vec::new());
    assert_eq!(reads_sent_to_rejecting(&mut harness), 1, "the first one shows that it rejects work");
    harness.update_list(ListKind::Delta, Vec::new());
    assert!(reads_sent_to_rejecting(&mut harness) > 1, "the list confirms that it is in service");
}

#[test]
fn the_last_replica_is_not_avoided_because_it_rejects_a_read() {
    let mut harness = RouterHarness::new(settings(), 2);
    for n in 1..=2 {
        harness.report_state(n, Role::primary_if(n == 1), FRESH);
    }
    harness.update_list(ListKind::Unconfirmed, Vec::new());
    let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)]);
    harness.finish_attempt(id, 0, 2, AttemptOutcome::Overloaded, Some(Role::Replica), FRESH);
    harness.finish_attempt(id, 1, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    harness.advance(600 * MS);
    let (id, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)], "it was ejected for the typical latency only");
}
