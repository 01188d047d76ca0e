//! The write path: the believed primary and the search for another.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_miss_moves_a_write_along_the_ring_in_sorted_order() {
    let mut rig = Rig::new(settings(), 4);
    let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)]);
    let second = rig.answer(id, 0, 1, AttemptOutcome::Misdirected, Some(false), FRESH);
    assert_eq!(sends(&second, id), [endpoint(2)]);
    let third = rig.answer(id, 1, 2, AttemptOutcome::ConnectFailed, None, FRESH);
    assert_eq!(sends(&third, id), [endpoint(3)]);
}

#[test]
fn after_a_round_of_misses_a_write_is_held_and_a_role_releases_it() {
    let mut rig = Rig::new(settings(), 3);
    let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
    rig.answer(id, 0, 1, AttemptOutcome::Misdirected, Some(false), FRESH);
    rig.answer(id, 1, 2, AttemptOutcome::Misdirected, Some(false), FRESH);
    let held = rig.answer(id, 2, 3, AttemptOutcome::Misdirected, Some(false), FRESH);
    assert!(sends(&held, id).is_empty() && !refused(&held, id) && !failed(&held, id));
    rig.now += 100 * MS;
    let (read, sent) = rig.ask(ANY, 2_000 * MS, None);
    let to = sends(&sent, read)[0];
    let released = rig.answer(read, 0, to.ip[3], AttemptOutcome::Served, Some(true), FRESH);
    assert_eq!(sends(&released, id), [to]);
}

#[test]
fn the_timer_tries_one_further_member_for_one_held_write() {
    let mut rig = Rig::new(settings(), 3);
    let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
    for (attempt, from) in [(0, 1), (1, 2), (2, 3)] {
        rig.answer(id, attempt, from, AttemptOutcome::Misdirected, Some(false), FRESH);
    }
    let (other, now) = rig.ask(WRITE, 5_000 * MS, None);
    assert!(sends(&now, other).is_empty(), "a second write must not walk the ring too");
    let later = rig.pass(520 * MS);
    assert_eq!(sends(&later, id).len() + sends(&later, other).len(), 1);
}

#[test]
fn a_hung_primary_takes_no_further_unsafe_writes() {
    let mut rig = Rig::new(settings(), 3);
    rig.introduce(1, true, FRESH);
    rig.ask(WRITE, 5_000 * MS, None);
    rig.ask(WRITE, 5_000 * MS, None);
    rig.pass(600 * MS);
    let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
    assert!(sends(&sent, id).is_empty(), "held: the primary has answered nothing it was given");
}

/// Guards against a group whose writes are refused for good: its primary is well, but two connections fell silent.
#[test]
fn a_suspect_primary_is_asked_again_once_nothing_is_out_there() {
    let mut rig = Rig::new(settings(), 3);
    rig.serve(WRITE, 1);
    rig.pass(10 * MS);
    let out: Vec<_> = (0..2).map(|_| rig.ask(WRITE, 2_000 * MS, None).0).collect();
    rig.pass(1_000 * MS);
    let (held, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert!(sends(&sent, held).is_empty(), "it takes work and answers nothing");
    out.iter().for_each(|id| drop(rig.answer(*id, 0, 1, AttemptOutcome::TimedOut, None, FRESH)));
    for n in [2, 3] {
        rig.introduce(n, false, FRESH);
    }
    let later = rig.pass(600 * MS);
    assert_eq!(sends(&later, held), [endpoint(1)], "the timer asks it");
    rig.answer(held, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    let (next, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, next), [endpoint(1)]);
}
