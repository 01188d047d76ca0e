//! The read path: which replicas are fresh enough, and when the primary serves.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_replica_whose_last_known_position_is_too_old_gets_no_bounded_read() {
    let mut harness = RouterHarness::new(settings(), 2);
    harness.report_state(1, Role::Primary, FRESH);
    harness.report_state(2, Role::Replica, 400 * MS);
    for _ in 0..20 {
        let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        assert_eq!(sent_to(&sent, id), [endpoint(1)]);
        harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    }
    harness.report_state(2, Role::Replica, 10 * MS);
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)], "a fresh replica is preferred to the primary");
}

#[test]
fn a_session_read_reflects_the_last_write_of_its_session() {
    let mut harness = RouterHarness::new(settings(), 2);
    harness.report_state(1, Role::Primary, FRESH);
    harness.report_state(2, Role::Replica, 200 * MS);
    let (id, sent) = harness.request(SESSION_READ, 2_000 * MS, Some(100 * MS));
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    let (id, sent) = harness.request(SESSION_READ, 2_000 * MS, Some(250 * MS));
    assert_eq!(sent_to(&sent, id), [endpoint(2)]);
}

#[test]
fn a_replica_that_rejects_stale_reads_is_tried_before_it_has_responded() {
    let mut settings = settings();
    settings.replication_lag_policy = Some(ReplicationLagPolicy::Reject);
    let mut harness = RouterHarness::new(settings, 2);
    harness.report_state(1, Role::Primary, FRESH);
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)]);
    let retry = harness.finish_attempt(id, 0, 2, AttemptOutcome::Misdirected, Some(Role::Replica), 900 * MS);
    assert_eq!(
        sent_to(&retry, id),
        [endpoint(1)],
        "a rejected read is retried elsewhere, here at the primary"
    );
}

#[test]
fn reads_that_fall_back_to_the_primary_leave_capacity_for_writes() {
    let mut harness = RouterHarness::new(settings(), 2);
    harness.report_state(1, Role::Primary, FRESH);
    let reads = (0..20).filter(|_| {
        let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        !sent_to(&sent, id).is_empty()
    });
    assert!((1..8).contains(&reads.count()));
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
}

#[test]
fn a_strong_read_is_never_sent_to_a_replica_that_serves_stale_data() {
    let mut settings = settings();
    settings.classes[BOUNDED_READ].consistency = Some(Consistency::Strong);
    let mut harness = RouterHarness::new(settings, 3);
    harness.report_state(1, Role::Primary, FRESH);
    harness.report_state(2, Role::Replica, FRESH);
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    let retry = harness.finish_attempt(id, 0, 1, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    assert!(sent_to(&retry, id).is_empty(), "queued until a primary is known");
    harness.report_state(3, Role::Primary, FRESH);
    let released = harness.advance(700 * MS);
    assert!(sent_to(&released, id).iter().all(|to| *to == endpoint(3)));
}

#[test]
fn a_session_read_reflects_a_write_that_the_router_remembers() {
    let mut settings = settings();
    settings.session_tracking = Some(SessionTracking::Remembered);
    let mut harness = RouterHarness::new(settings, 2);
    harness.report_state(1, Role::Primary, FRESH);
    harness.report_state(2, Role::Replica, 50 * MS);
    let (read, sent) = harness.request(SESSION_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, read), [endpoint(2)], "no write is remembered, so any replica may serve");
    let (id, _) = harness.request(WRITE, 2_000 * MS, None);
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let (read, sent) = harness.request(SESSION_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, read), [endpoint(1)]);
}

#[test]
fn a_read_without_a_fresh_replica_waits_for_a_probe_before_it_uses_the_primary() {
    let mut settings = settings();
    settings.may_probe = Some(true);
    let mut harness = RouterHarness::new(settings, 3);
    harness.report_state(1, Role::Primary, FRESH);
    harness.now += 1_000 * MS;
    let (id, actions) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    let probed = actions
        .iter()
        .filter_map(|action| if let Action::Probe { endpoint } = action { Some(*endpoint) } else { None });
    let probed: Vec<EndpointId> = probed.collect();
    assert!(probed.len() == 1 && probed[0] != endpoint(1) && sent_to(&actions, id).is_empty());
    let (other, actions) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert!(actions.is_empty(), "a second read waits for the probe that is in flight");
    let position = harness.now.as_secs_f64();
    let report = LoadReport { count: 2, values: [position, 0.0, 0.0, 0.0] };
    let released = harness.handle(Event::ProbeFinished { endpoint: probed[0], ok: true, took: MS, report });
    assert_eq!((sent_to(&released, id), sent_to(&released, other)), (vec![probed[0]], vec![probed[0]]));
    harness.now += 1_000 * MS;
    let (id, _) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(
        sent_to(&harness.advance(60 * MS), id),
        [endpoint(1)],
        "the read goes to the primary when its probe stays unanswered"
    );
}

#[test]
fn a_primary_that_responds_late_gets_no_reads() {
    let mut settings = settings();
    settings.pooler_count = Some(100);
    let mut harness = RouterHarness::new(settings, 2);
    harness.report_state(1, Role::Primary, FRESH);
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)], "no replica is known to be fresh");
    harness.now += 450 * MS;
    harness.latency = 450 * MS;
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    harness.now += 10_000 * MS;
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "its capacity is reserved for writes");
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
}

#[test]
fn a_replica_that_rejects_stale_reads_gets_none_for_as_long_as_it_lagged() {
    let mut settings = settings();
    settings.replication_lag_policy = Some(ReplicationLagPolicy::Reject);
    let mut harness = RouterHarness::new(settings, 3);
    harness.report_state(1, Role::Primary, FRESH);
    for n in [2, 3] {
        let (id, _) = harness.request(BOUNDED_READ, 2_000 * MS, None);
        harness.finish_attempt(id, 0, n, AttemptOutcome::Misdirected, Some(Role::Replica), 3_000 * MS);
        harness.finish_attempt(id, 1, 3, AttemptOutcome::Misdirected, Some(Role::Replica), 3_000 * MS);
        harness.finish_attempt(id, 2, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    }
    harness.now += 1_000 * MS;
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)], "by its last known lag, a replica would reject it");
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    harness.now += 3_000 * MS;
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_ne!(sent_to(&sent, id), [endpoint(1)], "a read shows whether the replica has caught up");
}

/// Guards against a stale read whose connection takes long to establish: the position that proves its data fresh enough
/// does so only up to a time. The expiry says nothing against the endpoint.
#[test]
fn a_bounded_read_is_routed_again_if_the_proof_of_freshness_expires_before_it_is_sent() {
    let mut harness = RouterHarness::new(settings(), 2);
    harness.report_state(1, Role::Primary, FRESH);
    harness.report_state(2, Role::Replica, 100 * MS);
    let fresh_until_of = |sent: &[Action]| {
        let target = |action: &Action| match action {
            Action::Send { endpoint, fresh_until, .. } => Some((*endpoint, *fresh_until)),
            _ => None,
        };
        sent.iter().find_map(target).unwrap()
    };
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    // Of the 300 ms that the class allows, 100 ms are over; the report and the bound are rounded to milliseconds.
    assert_eq!(fresh_until_of(&sent), (endpoint(2), Some(harness.now + 198 * MS)));
    harness.now += 199 * MS;
    let sent = harness.finish_attempt(id, 0, 2, AttemptOutcome::FreshnessExpired, None, FRESH);
    assert_eq!(fresh_until_of(&sent), (endpoint(1), None), "a confirmed primary is always fresh enough");
    harness.finish_attempt(id, 1, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    harness.report_state(2, Role::Replica, FRESH);
    let (_, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(fresh_until_of(&sent).0, endpoint(2), "the endpoint is used again once it has caught up");
    let (_, sent) = harness.request(EVENTUAL_READ, 2_000 * MS, None);
    assert_eq!(fresh_until_of(&sent).1, None, "data of any age will do");
}
