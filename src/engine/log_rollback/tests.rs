use super::*;
use crate::routing::TimeDelta;

const G: GroupId = GroupId(1);

fn at(micros: i64) -> LogPosition {
    LogPosition::from_micros(micros)
}

/// Guards against a lost commit that passes for one that is there, and a kept one that is told as lost. Seeded: a
/// log that loses its tail now and then, breaks noticed by several in any order.
#[test]
fn what_was_lost_is_told_and_what_is_there_is_not() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut now, mut log, mut lost) = (at(1_000_000), Vec::new(), Vec::new());
        let mut found = Vec::new();
        for _ in 0..60 {
            now = now + TimeDelta::from_micros(rng.i64(1..50_000));
            if rng.u8(..10) > 0 {
                log.push(now);
                continue;
            }
            let left = log.len().saturating_sub(rng.usize(0..5));
            let from = if left == 0 { at(0) } else { log[left - 1] };
            lost.extend(log.drain(left..));
            let first = LogRollback { group: G, from, to: now + TimeDelta::from_micros(1) };
            now = now + TimeDelta::from_micros(10);
            found.push(first);
            if rng.bool() {
                found.push(LogRollback { to: now + TimeDelta::from_millis(40), ..first });
            }
            now = now + TimeDelta::from_millis(50);
        }
        rng.shuffle(&mut found);
        let mut breaks = LogRollbacks::default();
        for b in &found {
            breaks.record(*b);
        }
        for commit in lost.iter().filter(|_| breaks.all().len() < BREAKS) {
            assert!(breaks.lost(G, *commit).is_some(), "seed {seed}: {commit:?} is gone");
        }
        for commit in &log {
            assert_eq!(breaks.lost(G, *commit), None, "seed {seed}: {commit:?} is there");
        }
        assert_eq!(breaks.lost(GroupId(2), now), None);
    }
}

#[test]
fn breaks_are_bounded_and_noted_once() {
    let mut breaks = LogRollbacks::default();
    let one = LogRollback { group: G, from: at(5), to: at(9) };
    assert!(!breaks.is_known(one));
    assert!(
        breaks.record(one)
            && breaks.is_known(one)
            && !breaks.record(one)
            && !breaks.record(LogRollback { to: at(8), ..one })
    );
    assert!(
        !breaks.record(LogRollback { to: at(5), ..one }) && breaks.record(LogRollback { to: at(10), ..one })
    );
    assert_eq!(
        (breaks.lost(G, at(5)), breaks.lost(G, at(10)), breaks.lost(G, at(11))),
        (None, Some(at(5)), None)
    );
    for n in 0..100 {
        breaks.record(LogRollback { group: G, from: at(n * 10), to: at(n * 10 + 5) });
    }
    assert_eq!((breaks.all().len(), breaks.lost(G, at(3))), (BREAKS, None));
}
