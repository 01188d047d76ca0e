//! What an endpoint that has just started is given.

use crate::common::*;
use brookpass::routing::*;

#[test]
fn a_restarted_member_is_not_flooded() {
    let mut rig = Rig::new(settings(), 3);
    // What warm members bear is learned before.
    rig.serve(ANY, 400);
    let restarted = EndpointEntry { started_at: Some(rig.now), ..entry(3) };
    rig.list(ListKind::Delta, vec![restarted]);
    let to_cold = rig.serve(ANY, 300).iter().filter(|m| **m == endpoint(3)).count();
    assert!((1..60).contains(&to_cold), "{to_cold} of 300 sends went to the cold member");
}

#[test]
fn a_hundred_drivers_together_do_not_push_a_restarted_member_over() {
    let mut to_cold = 0;
    for seed in 0..100 {
        let mut s = settings();
        s.pooler_count = Some(100);
        let mut rig = Rig::seeded(s, 2, seed);
        let restarted = EndpointEntry { started_at: Some(rig.now), ..entry(2) };
        rig.list(ListKind::Delta, vec![restarted]);
        let (id, sent) = rig.ask(ANY, 2_000 * MS, None);
        to_cold += sends(&sent, id).iter().filter(|m| **m == endpoint(2)).count();
    }
    assert!(to_cold < 10, "{to_cold} of 100 drivers sent to it at once");
}

/// Guards against a cold primary that is given as few writes as if each were the heaviest read: its group's writes are
/// refused while it has room. What is sent in all stays within its budget of work.
#[test]
fn a_light_class_uses_less_of_a_cold_budget() {
    let sent = |read: i64, write: i64| {
        let mut s = settings();
        s.pooler_count = Some(100);
        let mut rig = Rig::new(s, 2);
        rig.introduce(1, true, FRESH);
        // Reads go to the replica, writes to the primary, until it is known how long each takes.
        for _ in 0..200 {
            for (class, to, took) in [(ANY, 2, read), (WRITE, 1, write)] {
                let (id, now) = rig.ask(class, 2_000 * MS, None);
                assert_eq!(sends(&now, id), [endpoint(to)]);
                rig.pass(15 * MS);
                rig.took = took * MS;
                rig.answer(id, 0, to, AttemptOutcome::Served, Some(to == 1), FRESH);
            }
        }
        let cold = |n| EndpointEntry { started_at: Some(rig.now), ..entry(n) };
        let both = vec![cold(1), cold(2)];
        rig.list(ListKind::Delta, both);
        let mut sent = 0;
        for _ in 0..100 {
            let (id, now) = rig.ask(WRITE, 300 * MS, None);
            let later = rig.pass(50 * MS);
            if let Some(to) = sends(&now, id).first().or(sends(&later, id).first()) {
                sent += 1;
                rig.answer(id, 0, to.ip[3], AttemptOutcome::Served, Some(to.ip[3] == 1), FRESH);
            }
        }
        sent
    };
    let (light, heavy) = (sent(200, 20), sent(20, 200));
    assert!(light > 50 && heavy < 20, "{light} light writes, {heavy} heavy ones");
}
