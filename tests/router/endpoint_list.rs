//! The endpoint list: which endpoints may be used, and what is forgotten.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_draining_or_gone_member_gets_nothing_new() {
    for availability in [Availability::Draining, Availability::Gone] {
        let mut rig = Rig::new(settings(), 2);
        rig.list(ListKind::Delta, vec![EndpointEntry { availability, ..entry(2) }]);
        for _ in 0..20 {
            let (id, sent) = rig.ask(ANY, 2_000 * MS, None);
            assert_eq!(sends(&sent, id), [endpoint(1)]);
            rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
        }
    }
}

#[test]
fn a_list_that_must_be_asked_for_is_subscribed_to_again_after_a_failure() {
    let mut s = settings();
    s.must_subscribe = Some(true);
    let mut rig = Rig::new(s, 2);
    assert!(rig.log.contains(&Action::Subscribe { on: true }));
    rig.list(ListKind::Failed, Vec::new());
    assert!(!rig.pass(400 * MS).contains(&Action::Subscribe { on: true }), "not at once");
    assert!(rig.pass(600 * MS).contains(&Action::Subscribe { on: true }));
}

#[test]
fn drivers_that_the_list_failed_together_do_not_come_back_together() {
    let mut s = settings();
    s.must_subscribe = Some(true);
    let early = (0..20).filter(|seed| {
        let mut rig = Rig::seeded(s.clone(), 2, *seed);
        rig.list(ListKind::Failed, Vec::new());
        rig.pass(750 * MS).contains(&Action::Subscribe { on: true })
    });
    assert!((4..17).contains(&early.count()), "about half of them by the middle of the span");
}

#[test]
fn where_only_a_stated_drain_binds_a_member_that_left_the_list_is_still_used() {
    let mut s = settings();
    s.only_stated_drain_binds = Some(true);
    let mut rig = Rig::new(s, 1);
    rig.list(ListKind::Full, Vec::new());
    let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    rig.list(ListKind::Delta, vec![EndpointEntry { availability: Availability::Draining, ..entry(1) }]);
    let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert!(sends(&sent, id).is_empty());
}

#[test]
fn a_fresh_driver_probes_each_member_in_service_once() {
    let mut s = settings();
    s.may_probe = Some(true);
    let mut rig = Rig::new(s, 3);
    let probes = |rig: &Rig| rig.log.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    assert_eq!(probes(&rig), 3);
    rig.list(ListKind::Delta, vec![EndpointEntry { availability: Availability::Draining, ..entry(2) }]);
    rig.pass(2_000 * MS);
    assert_eq!(probes(&rig), 3);
}

/// Guards against memory that grows with every host that was replaced and every session that ever wrote.
#[test]
fn members_that_are_gone_and_old_sessions_are_forgotten() {
    let mut s = settings();
    s.session_tracking = Some(SessionTracking::Remembered);
    s.classes[WRITE].latency_objective = Some(10_000 * MS);
    let mut rig = Rig::new(s, 2);
    let host = |n: u16, availability| {
        let endpoint = EndpointId { ip: [10, 1, (n >> 8) as u8, n as u8], port: 1 };
        EndpointEntry { endpoint, availability, group: GroupId(u32::from(n)), ..entry(0) }
    };
    for n in 0..500 {
        rig.now += 2_000 * MS;
        rig.list(ListKind::Delta, vec![host(n, Availability::Gone), host(n + 1, Availability::Ready)]);
        let RetainedState { endpoints, groups, .. } = rig.router.retained();
        assert!(endpoints <= 20 && groups <= 20, "{endpoints} members, {groups} groups after {n}");
    }
    // A member with an attempt out is kept until that is settled.
    let (id, sent) = rig.ask(WRITE, 60_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    rig.list(ListKind::Delta, vec![EndpointEntry { availability: Availability::Gone, ..entry(1) }]);
    rig.now += 50_000 * MS;
    rig.list(ListKind::Delta, Vec::new());
    let end = rig.answer(id, 0, 1, AttemptOutcome::Error, None, FRESH);
    assert!(failed(&end, id), "its request gets its final answer");
    rig.list(ListKind::Delta, Vec::new());
    let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(2)], "the believed primary is forgotten, the ring goes on");
    rig.answer(id, 0, 2, AttemptOutcome::Served, Some(true), FRESH);
    for session in 0..60_000 {
        rig.now += MS;
        let id = RequestId(1_000_000 + session);
        let ask = IncomingRequest {
            id,
            class: WRITE,
            group: GroupId(1),
            session,
            client_timeout: 5_000 * MS,
            ..IncomingRequest::default()
        };
        let sent = rig.event(Event::Request(ask));
        assert_eq!(sends(&sent, id), [endpoint(2)], "{session}");
        rig.answer(id, 0, 2, AttemptOutcome::Served, Some(true), FRESH);
    }
    let RetainedState { requests, sessions, .. } = rig.router.retained();
    assert!(requests == 0 && sessions <= 50_000, "{requests} requests, {sessions} sessions");
}
