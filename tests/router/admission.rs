//! The queue: which requests wait, and which are rejected.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_held_write_is_refused_before_its_client_leaves() {
    let mut rig = Rig::new(settings(), 2);
    let (id, _) = rig.ask(WRITE, 400 * MS, None);
    rig.answer(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    rig.answer(id, 1, 2, AttemptOutcome::Misdirected, Some(false), FRESH);
    let end = rig.pass(400 * MS);
    assert!(refused(&end, id), "it never ran: coming back is harmless");
}

#[test]
fn a_read_behind_a_long_queue_is_refused_at_once() {
    let mut rig = Rig::new(settings(), 1);
    rig.introduce(1, true, FRESH);
    let refusals = (0..60).filter(|_| {
        let (id, done) = rig.ask(READ, 2_000 * MS, None);
        refused(&done, id)
    });
    assert!(refusals.count() > 0, "sixty reads at once on one member cannot all be in time");
}

/// Guards against clients that are kept waiting in vain: half of its time must be left for another way.
#[test]
fn a_held_request_that_no_member_has_had_is_refused_while_half_of_its_time_is_left() {
    let mut rig = Rig::new(settings(), 3);
    let (scout, _) = rig.ask(WRITE, 2_000 * MS, None);
    for (attempt, from) in [(0, 1), (1, 2), (2, 3)] {
        rig.answer(scout, attempt, from, AttemptOutcome::Misdirected, Some(false), FRESH);
    }
    let (held, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert!(sends(&sent, held).is_empty());
    let early = rig.pass(900 * MS);
    assert!(!refused(&early, held), "a write is held while it still has a prospect");
    let half = rig.pass(100 * MS);
    assert!(refused(&half, held) && !refused(&half, scout), "one that a member has had is held on");
    // One whose attempts found no connection is such a one too, also where that comes to light late.
    let mut rig = Rig::new(settings(), 1);
    let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    rig.pass(1_200 * MS);
    rig.answer(id, 0, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    assert!(refused(&rig.pass(10 * MS), id));
}

/// Guards against requests of a driver that sees few, held until their time is over while the member that they
/// wait for has long been open: a rest and a cold budget end by the clock, and nothing else may happen.
#[test]
fn a_held_request_goes_once_its_member_opens_though_nothing_else_happens() {
    let driver = || {
        let mut s = settings();
        s.pooler_count = Some(100);
        let mut rig = Rig::new(s, 1);
        rig.introduce(1, true, FRESH);
        rig
    };
    let mut rests = driver();
    let (id, _) = rests.ask(WRITE, 5_000 * MS, None);
    rests.now += 450 * MS;
    rests.took = 450 * MS;
    rests.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    rests.now += 10 * MS;
    let (id, sent) = rests.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    rests.took = 200 * MS;
    rests.now += 200 * MS;
    rests.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    let mut cold = driver();
    cold.serve(WRITE, 40);
    cold.list(ListKind::Delta, vec![EndpointEntry { started_at: Some(cold.now), ..entry(1) }]);
    for (mut rig, why) in [(rests, "it rests"), (cold, "its budget is not full")] {
        let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
        assert!(sends(&sent, id).is_empty(), "{why}");
        assert_eq!(sends(&rig.pass(900 * MS), id), [endpoint(1)], "{why}");
    }
}
