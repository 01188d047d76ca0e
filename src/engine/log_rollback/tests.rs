use super::*;
use crate::routing::TimeDelta;

const GROUP: GroupId = GroupId(1);
const OTHER_GROUP: GroupId = GroupId(2);

fn at(micros: i64) -> LogPosition {
    LogPosition::from_micros(micros)
}

/// A simulated log that loses its most recent commits from time to time.
struct History {
    now: LogPosition,
    /// Commits that have not been lost.
    kept: Vec<LogPosition>,
    lost: Vec<LogPosition>,
    /// The rollbacks as several processes detected them, possibly several times each.
    noticed: Vec<LogRollback>,
}

fn random_history(rng: &mut fastrand::Rng) -> History {
    let mut history = History { now: at(1_000_000), kept: Vec::new(), lost: Vec::new(), noticed: Vec::new() };
    for _ in 0..60 {
        history.now = history.now + TimeDelta::from_micros(rng.i64(1..50_000));
        if rng.u8(..10) > 0 {
            history.kept.push(history.now);
            continue;
        }
        let remaining = history.kept.len().saturating_sub(rng.usize(0..5));
        let from = if remaining == 0 { at(0) } else { history.kept[remaining - 1] };
        history.lost.extend(history.kept.drain(remaining..));
        let first = LogRollback { group: GROUP, from, to: history.now + TimeDelta::from_micros(1) };
        history.now = history.now + TimeDelta::from_micros(10);
        history.noticed.push(first);
        if rng.bool() {
            let to = history.now + TimeDelta::from_millis(40);
            history.noticed.push(LogRollback { to, ..first });
        }
        history.now = history.now + TimeDelta::from_millis(50);
    }
    history
}

/// Guards against a lost commit being reported as kept, and a kept one as lost. Randomized with fixed seeds: several
/// processes detect the same rollbacks, which are recorded in any order.
#[test]
fn lost_commits_are_reported_and_kept_ones_are_not() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut history = random_history(&mut rng);
        rng.shuffle(&mut history.noticed);
        let mut rollbacks = LogRollbacks::default();
        for rollback in &history.noticed {
            rollbacks.record(*rollback);
        }
        for commit in history.lost.iter().filter(|_| rollbacks.all().len() < MAX_ROLLBACKS_PER_GROUP) {
            assert!(rollbacks.rolled_back_to(GROUP, *commit).is_some(), "seed {seed}: {commit:?} is lost");
        }
        for commit in &history.kept {
            assert_eq!(rollbacks.rolled_back_to(GROUP, *commit), None, "seed {seed}: {commit:?} is kept");
        }
        assert_eq!(rollbacks.rolled_back_to(OTHER_GROUP, history.now), None);
    }
}

#[test]
fn rollbacks_are_bounded_and_recorded_once() {
    let mut rollbacks = LogRollbacks::default();
    let rollback = LogRollback { group: GROUP, from: at(5), to: at(9) };
    assert!(!rollbacks.is_known(rollback));
    assert!(
        rollbacks.record(rollback)
            && rollbacks.is_known(rollback)
            && !rollbacks.record(rollback)
            && !rollbacks.record(LogRollback { to: at(8), ..rollback })
    );
    assert!(
        !rollbacks.record(LogRollback { to: at(5), ..rollback })
            && rollbacks.record(LogRollback { to: at(10), ..rollback })
    );
    assert_eq!(
        (
            rollbacks.rolled_back_to(GROUP, at(5)),
            rollbacks.rolled_back_to(GROUP, at(10)),
            rollbacks.rolled_back_to(GROUP, at(11))
        ),
        (None, Some(at(5)), None)
    );
    for n in 0..100 {
        rollbacks.record(LogRollback { group: GROUP, from: at(n * 10), to: at(n * 10 + 5) });
    }
    assert_eq!(
        (rollbacks.all().len(), rollbacks.rolled_back_to(GROUP, at(3))),
        (MAX_ROLLBACKS_PER_GROUP, None)
    );
}
