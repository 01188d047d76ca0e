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
mod tests;
