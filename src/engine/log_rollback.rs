//! Ranges of a group's log that were lost because its primary went back to an earlier position. No I/O.
//!
//! An endpoint that loses power may lose commits that it had not synced to disk. A session that refers to a lost commit
//! must receive an error. Otherwise its client would assume that data without its write, older or newer, contains the
//! write.

use crate::routing::{GroupId, LogPosition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limits the number of rollbacks kept for a group, and thereby the size of the messages that carry them to peers. The
/// rollback with the lowest position is dropped first.
const MAX_ROLLBACKS_PER_GROUP: usize = 16;

/// The loss of all commits of a group after `from`, up to and including `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogRollback {
    /// The group whose commits were lost.
    pub group: GroupId,
    /// The position to which the group's primary went back.
    pub from: LogPosition,
    /// A position that every commit made after the rollback exceeds, and no commit made before it, as far as that is
    /// known: when the primary had started, by a lower bound for its clock.
    pub to: LogPosition,
}

/// All known rollbacks, keyed by group and ordered by position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRollbacks(BTreeMap<GroupId, Vec<LogRollback>>);

impl LogRollbacks {
    /// Whether a known rollback already covers this one.
    pub fn is_known(&self, rollback: LogRollback) -> bool {
        let covers = |known: &LogRollback| known.from == rollback.from && known.to >= rollback.to;
        self.0.get(&rollback.group).is_some_and(|known| known.iter().any(covers))
    }

    /// Records a rollback; returns whether it adds to what was known. Rollbacks to the same position are the same
    /// rollback, which several processes detected at different times.
    pub fn record(&mut self, rollback: LogRollback) -> bool {
        if rollback.to <= rollback.from {
            return false;
        }
        let known = self.0.entry(rollback.group).or_default();
        if let Some(same) = known.iter_mut().find(|known| known.from == rollback.from) {
            // The endpoint was still at that position when the later request was sent.
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

    /// The position to which the group went back, if the commit at this position was lost; `None` if it was not, or if
    /// rounding alone may place it after the end of the log.
    pub fn rolled_back_to(&self, group: GroupId, commit: LogPosition) -> Option<LogPosition> {
        let known = self.0.get(&group)?;
        let rollback = known.iter().find(|rollback| rollback.from.lacks(commit) && commit <= rollback.to)?;
        Some(rollback.from)
    }

    /// All known rollbacks, ordered by group and position.
    pub fn all(&self) -> Vec<LogRollback> {
        self.0.values().flatten().copied().collect()
    }
}

#[cfg(test)]
mod tests;
