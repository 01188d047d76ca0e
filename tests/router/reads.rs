//! The read path: which replicas are fresh enough, and when the primary serves.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_replica_whose_known_position_is_too_old_gets_no_bounded_read() {
    let mut rig = Rig::new(settings(), 2);
    rig.introduce(1, true, FRESH);
    rig.introduce(2, false, 400 * MS);
    for _ in 0..20 {
        let (id, sent) = rig.ask(READ, 2_000 * MS, None);
        assert_eq!(sends(&sent, id), [endpoint(1)]);
        rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    }
    rig.introduce(2, false, 10 * MS);
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(2)], "a fresh replica spares the primary");
}

#[test]
fn a_session_read_sees_its_own_write() {
    let mut rig = Rig::new(settings(), 2);
    rig.introduce(1, true, FRESH);
    rig.introduce(2, false, 200 * MS);
    let (id, sent) = rig.ask(OWN, 2_000 * MS, Some(100 * MS));
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    let (id, sent) = rig.ask(OWN, 2_000 * MS, Some(250 * MS));
    assert_eq!(sends(&sent, id), [endpoint(2)]);
}

#[test]
fn a_checking_replica_never_heard_of_is_tried() {
    let mut s = settings();
    s.replication_lag_policy = Some(ReplicationLagPolicy::Reject);
    let mut rig = Rig::new(s, 2);
    rig.introduce(1, true, FRESH);
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(2)]);
    let back = rig.answer(id, 0, 2, AttemptOutcome::Misdirected, Some(false), 900 * MS);
    assert_eq!(sends(&back, id), [endpoint(1)], "a miss moves on, here to the primary");
}

#[test]
fn reads_that_fall_back_on_the_primary_leave_it_room_for_writes() {
    let mut rig = Rig::new(settings(), 2);
    rig.introduce(1, true, FRESH);
    let reads = (0..20).filter(|_| {
        let (id, sent) = rig.ask(READ, 2_000 * MS, None);
        !sends(&sent, id).is_empty()
    });
    assert!((1..8).contains(&reads.count()));
    let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
}

#[test]
fn a_read_of_the_present_is_never_sent_to_a_replica_that_answers_from_old_data() {
    let mut s = settings();
    s.classes[READ].consistency = Some(Consistency::Strong);
    let mut rig = Rig::new(s, 3);
    rig.introduce(1, true, FRESH);
    rig.introduce(2, false, FRESH);
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    let next = rig.answer(id, 0, 1, AttemptOutcome::Misdirected, Some(false), FRESH);
    assert!(sends(&next, id).is_empty(), "held until a primary is known");
    rig.introduce(3, true, FRESH);
    let freed = rig.pass(700 * MS);
    assert!(sends(&freed, id).iter().all(|m| *m == endpoint(3)));
}

#[test]
fn a_remembered_write_is_seen_by_its_sessions_next_read() {
    let mut s = settings();
    s.session_tracking = Some(SessionTracking::Remembered);
    let mut rig = Rig::new(s, 2);
    rig.introduce(1, true, FRESH);
    rig.introduce(2, false, 50 * MS);
    let (read, sent) = rig.ask(OWN, 2_000 * MS, None);
    assert_eq!(sends(&sent, read), [endpoint(2)], "no write remembered: any replica");
    let (id, _) = rig.ask(WRITE, 2_000 * MS, None);
    rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    let (read, sent) = rig.ask(OWN, 2_000 * MS, None);
    assert_eq!(sends(&sent, read), [endpoint(1)]);
}

#[test]
fn a_read_without_a_fresh_replica_asks_one_and_leaves_the_primary_alone() {
    let mut s = settings();
    s.may_probe = Some(true);
    let mut rig = Rig::new(s, 3);
    rig.introduce(1, true, FRESH);
    rig.now += 1_000 * MS;
    let (id, done) = rig.ask(READ, 2_000 * MS, None);
    let asked =
        done.iter().filter_map(|a| if let Action::Probe { endpoint } = a { Some(*endpoint) } else { None });
    let asked: Vec<EndpointId> = asked.collect();
    assert!(asked.len() == 1 && asked[0] != endpoint(1) && sends(&done, id).is_empty());
    let (other, done) = rig.ask(READ, 2_000 * MS, None);
    assert!(done.is_empty(), "a second read waits for the probe under way");
    let position = rig.now.as_secs_f64();
    let report = LoadReport { count: 2, values: [position, 0.0, 0.0, 0.0] };
    let freed = rig.event(Event::ProbeFinished { endpoint: asked[0], ok: true, took: MS, report });
    assert_eq!((sends(&freed, id), sends(&freed, other)), (vec![asked[0]], vec![asked[0]]));
    rig.now += 1_000 * MS;
    let (id, _) = rig.ask(READ, 2_000 * MS, None);
    assert_eq!(sends(&rig.pass(60 * MS), id), [endpoint(1)], "an unanswered probe holds nobody up");
}

#[test]
fn reads_leave_a_primary_alone_that_answers_late() {
    let mut s = settings();
    s.pooler_count = Some(100);
    let mut rig = Rig::new(s, 2);
    rig.introduce(1, true, FRESH);
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)], "no replica is known to be fresh");
    rig.now += 450 * MS;
    rig.took = 450 * MS;
    rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    rig.now += 10_000 * MS;
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert!(sends(&sent, id).is_empty(), "what it bears is for writes");
    let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
}

#[test]
fn a_checking_replica_that_trailed_by_seconds_is_left_alone_for_as_long() {
    let mut s = settings();
    s.replication_lag_policy = Some(ReplicationLagPolicy::Reject);
    let mut rig = Rig::new(s, 3);
    rig.introduce(1, true, FRESH);
    for n in [2, 3] {
        let (id, _) = rig.ask(READ, 2_000 * MS, None);
        rig.answer(id, 0, n, AttemptOutcome::Misdirected, Some(false), 3_000 * MS);
        rig.answer(id, 1, 3, AttemptOutcome::Misdirected, Some(false), 3_000 * MS);
        rig.answer(id, 2, 1, AttemptOutcome::Served, Some(true), FRESH);
    }
    rig.now += 1_000 * MS;
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)], "a miss for all that is known");
    rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    rig.now += 3_000 * MS;
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert_ne!(sends(&sent, id), [endpoint(1)], "a read finds out whether it has caught up");
}
