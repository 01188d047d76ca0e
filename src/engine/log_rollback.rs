//! Ranges of a group's log that were lost because its primary went back behind them. No I/O.
//!
//! An endpoint that lost power may have lost commits that it had not synced. A session that names a lost commit must
//! be told so: older data would pass for data that contains its write, and newer data without the write would too.

use crate::routing::{GroupId, LogPosition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bounds the memory of a group's rollbacks, and the messages that carry them to peers: the one with the lowest
/// position is forgotten first.
const MAX_ROLLBACKS_PER_GROUP: usize = 16;

/// Commits of a group after `from`, up to and including `to`, are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogRollback {
    /// The group.
    pub group: GroupId,
    /// The position to which its primary went back.
    pub from: LogPosition,
    /// When the request was sent that the primary answered with `from`. As far as the endpoints' clocks are right,
    /// every commit from before the rollback is earlier than this, and every commit after it is later.
    pub to: LogPosition,
}

/// All known rollbacks, by group and ordered by position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRollbacks(BTreeMap<GroupId, Vec<LogRollback>>);

impl LogRollbacks {
    /// Whether a known rollback covers this one.
    pub fn is_known(&self, rollback: LogRollback) -> bool {
        let covers = |known: &LogRollback| known.from == rollback.from && known.to >= rollback.to;
        self.0.get(&rollback.group).is_some_and(|known| known.iter().any(covers))
    }

    /// Records a rollback; whether it adds anything to what was known. Rollbacks to the same position are one that
    /// several processes noticed at different times.
    pub fn record(&mut self, rollback: LogRollback) -> bool {
        if rollback.to <= rollback.from {
            return false;
        }
        let known = self.0.entry(rollback.group).or_default();
        if let Some(same) = known.iter_mut().find(|known| known.from == rollback.from) {
            // The endpoint still stood at that position at the later time.
            let extends = rollback.to > same.to;
            same.to = same.to.max(rollback.to);
            return extends;
        }
        known.push(rollback);
        known.sort_unstable();
        if known.len() > MAX_ROLLBACKS_PER_GROUP {
            known.remove(0);
        }
        true
    }

    /// Whether the commit at this position was lost: the position to which its group went back.
    pub fn lost(&self, group: GroupId, commit: LogPosition) -> Option<LogPosition> {
        let known = self.0.get(&group)?;
        let rollback = known.iter().find(|rollback| rollback.from < commit && commit <= rollback.to)?;
        Some(rollback.from)
    }

    /// All known rollbacks.
    pub fn all(&self) -> Vec<LogRollback> {
        self.0.values().flatten().copied().collect()
    }
}

#[cfg(test)]
mod tests;
