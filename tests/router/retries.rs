//! When a request may be sent again, and what ends an attempt.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn an_unsafe_write_that_may_have_run_is_neither_resent_nor_refused() {
    for outcome in [AttemptOutcome::Error, AttemptOutcome::Reset, AttemptOutcome::TimedOut] {
        let mut rig = Rig::new(settings(), 3);
        let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
        let end = rig.answer(id, 0, 1, outcome, None, FRESH);
        assert!(failed(&end, id) && !refused(&end, id) && sends(&end, id).is_empty());
    }
}

#[test]
fn a_keyed_write_is_resent_only_within_its_window() {
    let keyed = || {
        let mut s = settings();
        s.classes[WRITE].idempotency = Some(Idempotency::Keyed);
        s
    };
    let mut rig = Rig::new(keyed(), 3);
    let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
    rig.now += 1_000 * MS;
    let again = rig.answer(id, 0, 1, AttemptOutcome::Error, Some(true), FRESH);
    assert_eq!(sends(&again, id), [endpoint(1)], "once more, to the same primary");
    let end = rig.answer(id, 1, 1, AttemptOutcome::Error, Some(true), FRESH);
    assert!(sends(&end, id).is_empty() && failed(&end, id), "a second error is laid to the request");
    let mut rig = Rig::new(keyed(), 3);
    let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
    rig.now += 3_000 * MS;
    let end = rig.answer(id, 0, 1, AttemptOutcome::Error, Some(true), FRESH);
    assert!(sends(&end, id).is_empty() && failed(&end, id) && !refused(&end, id));
}

#[test]
fn late_outcomes_unknown_ids_and_empty_lists_are_harmless() {
    let mut rig = Rig::new(settings(), 0);
    let (id, _) = rig.ask(WRITE, 1_000 * MS, None);
    assert!(refused(&rig.pass(1_100 * MS), id));
    rig.answer(id, 0, 1, AttemptOutcome::Served, Some(true), FRESH);
    rig.answer(RequestId(999), 3, 9, AttemptOutcome::Error, None, FRESH);
    rig.event(Event::RequestCancelled { id: RequestId(12345) });
    rig.event(Event::TimerFired { timer: 99 });
    rig.event(Event::PeerMessage { from: 1, bytes: vec![1, 2, 3] });
    rig.event(Event::ResponseStarted { id: RequestId(5), attempt: 0, endpoint: endpoint(4) });
    rig.list(ListKind::Failed, Vec::new());
}

#[test]
fn what_an_impatient_client_left_behind_is_cancelled() {
    let mut rig = Rig::new(settings(), 2);
    rig.introduce(1, true, FRESH);
    let (id, _) = rig.ask(ANY, 2_000 * MS, None);
    let left = rig.event(Event::RequestCancelled { id });
    assert_eq!(left.first(), Some(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn a_key_known_in_one_zone_only_is_not_resent_in_another() {
    let mut s = settings();
    s.classes[WRITE].idempotency = Some(Idempotency::Keyed);
    s.classes[WRITE].key_scope = Some(KeyScope::Zone);
    let mut rig = Rig::new(s, 1);
    rig.list(ListKind::Delta, vec![EndpointEntry { zone: ZoneId(1), ..entry(2) }]);
    let (id, _) = rig.ask(WRITE, 2_000 * MS, None);
    rig.answer(id, 0, 1, AttemptOutcome::Reset, None, FRESH);
    rig.introduce(2, true, FRESH);
    assert!(sends(&rig.pass(1_500 * MS), id).iter().all(|m| *m == endpoint(1)));
}

#[test]
fn an_expired_key_is_not_sent_again_by_the_timer() {
    let mut s = settings();
    s.classes[WRITE].idempotency = Some(Idempotency::Keyed);
    s.classes[WRITE].key_window = Some(700 * MS);
    let mut rig = Rig::new(s, 3);
    let (id, _) = rig.ask(WRITE, 5_000 * MS, None);
    rig.now += 300 * MS;
    rig.answer(id, 0, 1, AttemptOutcome::Reset, None, FRESH);
    rig.answer(id, 1, 1, AttemptOutcome::ConnectFailed, None, FRESH);
    for (attempt, n) in [(2, 2), (3, 3)] {
        rig.answer(id, attempt, n, AttemptOutcome::Misdirected, Some(false), FRESH);
    }
    let all = rig.pass(2_000 * MS);
    assert!(sends(&all, id).len() <= 1 && failed(&all, id), "at 500 ms at most, never after 700");
}

/// Guards against a connection that fell silent: its host answers all others, and must not be taken for slow.
#[test]
fn an_attempt_that_is_overtaken_by_far_is_called_off_and_repeated_once() {
    let mut rig = Rig::new(settings(), 2);
    rig.serve(WRITE, 3);
    rig.introduce(2, false, FRESH);
    let (silent, sent) = rig.ask(READ, 5_000 * MS, None);
    assert_eq!(sends(&sent, silent), [endpoint(2)]);
    let from = rig.log.len();
    for _ in 0..60 {
        rig.introduce(2, false, FRESH);
        let (id, sent) = rig.ask(READ, 2_000 * MS, None);
        let to = sends(&sent, id);
        rig.pass(20 * MS);
        to.iter().for_each(|to| {
            drop(rig.answer(id, 0, to.ip[3], AttemptOutcome::Served, Some(*to == endpoint(1)), FRESH))
        });
    }
    let off = |a: &&Action| matches!(a, Action::Cancel { id, attempt: 0 } if *id == silent);
    assert_eq!(rig.log[from..].iter().filter(off).count(), 1);
    rig.took = 1_200 * MS;
    let again = rig.answer(silent, 0, 2, AttemptOutcome::Cancelled, None, FRESH);
    assert_eq!(sends(&again, silent).len(), 1, "repeated: it is a read");
    let sent: Vec<_> = (0..4).flat_map(|_| rig.ask(READ, 2_000 * MS, None).1).collect();
    assert!(sent.iter().filter(|a| matches!(a, Action::Send { .. })).count() >= 4, "its window is as it was");
}
