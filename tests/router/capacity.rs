//! How much an endpoint is given when it responds late, fails or rejects work.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_member_that_turns_everything_away_does_not_draw_all_reads() {
    let mut rig = Rig::new(settings(), 3);
    for n in 1..=3 {
        rig.introduce(n, n == 1, FRESH);
    }
    let mut to_full = 0;
    for _ in 0..100 {
        let (id, sent) = rig.ask(ANY, 2_000 * MS, None);
        let to = sends(&sent, id)[0];
        to_full += usize::from(to == endpoint(3));
        let outcome = if to == endpoint(3) { AttemptOutcome::Overloaded } else { AttemptOutcome::Served };
        rig.answer(id, 0, to.ip[3], outcome, Some(to == endpoint(1)), FRESH);
        rig.pass(10 * MS);
    }
    assert!((1..15).contains(&to_full), "{to_full} of 100 reads went to the member that is always full");
}

#[test]
fn a_tenants_bad_requests_do_not_shut_out_a_sound_member() {
    let mut s = settings();
    s.replication_lag_policy = Some(ReplicationLagPolicy::Reject);
    let mut rig = Rig::new(s, 2);
    rig.introduce(1, true, FRESH);
    for n in 0..40 {
        let (id, sent) = rig.ask(ANY, 2_000 * MS, None);
        assert_eq!(sends(&sent, id), [endpoint(2)], "every other request errs, whoever answers");
        let outcome = if n % 2 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Served };
        rig.answer(id, 0, 2, outcome, Some(false), FRESH);
        if n % 2 == 0 {
            rig.answer(id, 1, 1, AttemptOutcome::Error, Some(true), FRESH);
        }
        rig.now += 10 * MS;
    }
}

#[test]
fn a_member_that_answers_late_rests_between_the_attempts_of_one_of_many_drivers() {
    let mut s = settings();
    s.pooler_count = Some(100);
    let mut rig = Rig::new(s, 1);
    rig.introduce(1, true, FRESH);
    for _ in 0..6 {
        let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
        assert_eq!(sends(&sent, id), [endpoint(1)]);
        rig.now += 450 * MS;
        rig.took = 450 * MS;
        rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
        rig.now += 5_000 * MS;
    }
    let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
    rig.now += 450 * MS;
    rig.took = 450 * MS;
    rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
    assert!(sends(&sent, id).is_empty());
    let sent = rig.pass(300 * MS);
    assert!(sends(&sent, id).is_empty(), "it rests longer than one service time");
}

/// Guards against a host, a primary above all, that is left alone for one connection that broke.
#[test]
fn a_connection_that_breaks_does_not_exclude_its_member() {
    let mut s = settings();
    s.classes[WRITE].idempotency = Some(Idempotency::Keyed);
    s.classes[WRITE].key_window = Some(700 * MS);
    let mut rig = Rig::new(s, 3);
    for _ in 0..4 {
        let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
        assert_eq!(sends(&sent, id), [endpoint(1)]);
        let again = rig.answer(id, 0, 1, AttemptOutcome::Reset, None, FRESH);
        assert_eq!(sends(&again, id), [endpoint(1)], "sent again there at once");
        rig.answer(id, 1, 1, AttemptOutcome::Served, Some(true), FRESH);
    }
    // Several with no answer between are laid to the member.
    let ids: Vec<_> = (0..3).map(|_| rig.ask(WRITE, 5_000 * MS, None).0).collect();
    let sent: Vec<_> =
        ids.iter().map(|id| rig.answer(*id, 0, 1, AttemptOutcome::Reset, None, FRESH)).collect();
    let last = sends(&sent[2], ids[2]);
    assert!(!last.contains(&endpoint(1)), "{last:?}");
}

#[test]
fn an_attempt_left_unanswered_closes_the_window_against_what_one_of_many_drivers_used() {
    let mut s = settings();
    s.pooler_count = Some(100);
    let mut rig = Rig::new(s, 1);
    rig.introduce(1, true, FRESH);
    for outcome in [AttemptOutcome::Served, AttemptOutcome::TimedOut] {
        let (id, sent) = rig.ask(WRITE, 450 * MS, None);
        assert_eq!(sends(&sent, id), [endpoint(1)]);
        rig.now += 450 * MS;
        rig.took = if outcome == AttemptOutcome::Served { 20 * MS } else { 450 * MS };
        rig.answer(id, 0, 1, outcome, Some(true), FRESH);
        rig.now += 2_000 * MS;
    }
    let (id, sent) = rig.ask(WRITE, 5_000 * MS, None);
    assert!(sends(&sent, id).is_empty(), "its member may be buried: pauses longer than those before");
}
