//! Positions that a group has lost: its primary went back behind them. No I/O.
//!
//! A host that lost its power may have lost what it had not synced. A session that wrote such a commit is told so:
//! older data would pass for its own, and so would newer data in which its write is missing.

use crate::routing::{GroupId, LogPosition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Breaks that are remembered for a group; the oldest go.
const BREAKS: usize = 16;

/// Commits after `from` up to `to` are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogRollback {
    /// The group.
    pub group: GroupId,
    /// The position to which its primary went back.
    pub from: LogPosition,
    /// When the question went out that it answered with that position: no commit of before can be later, and none
    /// after it is earlier, as far as the clocks of hosts are right.
    pub to: LogPosition,
}

/// All breaks that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRollbacks(BTreeMap<GroupId, Vec<LogRollback>>);

impl LogRollbacks {
    /// Whether nothing is new in a break.
    pub fn is_known(&self, one: LogRollback) -> bool {
        self.0.get(&one.group).is_some_and(|known| known.iter().any(|b| b.from == one.from && b.to >= one.to))
    }

    /// Notes a break; true: it was not known. One that was noticed by several daemons is one.
    pub fn record(&mut self, new: LogRollback) -> bool {
        if new.to <= new.from {
            return false;
        }
        let known = self.0.entry(new.group).or_default();
        if let Some(old) = known.iter_mut().find(|b| b.from == new.from) {
            // At the later time the host still stood there.
            let later = new.to > old.to;
            old.to = old.to.max(new.to);
            return later;
        }
        known.push(new);
        known.sort_unstable();
        if known.len() > BREAKS {
            known.remove(0);
        }
        true
    }

    /// Whether a commit at this position was lost: the position behind which its group went back.
    pub fn lost(&self, group: GroupId, commit: LogPosition) -> Option<LogPosition> {
        let known = self.0.get(&group)?;
        known.iter().find(|b| b.from < commit && commit <= b.to).map(|b| b.from)
    }

    /// All of them.
    pub fn all(&self) -> Vec<LogRollback> {
        self.0.values().flatten().copied().collect()
    }
}

#[cfg(test)]
mod tests {
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
            !breaks.record(LogRollback { to: at(5), ..one })
                && breaks.record(LogRollback { to: at(10), ..one })
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
}
