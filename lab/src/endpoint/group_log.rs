//! The replicated log of a group, as far as positions tell of it.

use crate::{LogPosition, Timestamp};
use std::time::Duration;

/// Commits that a group lost together with its power, since they were not on its disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostCommits {
    /// The last commit that is still there.
    pub after: LogPosition,
    /// The last commit that is lost.
    pub up_to: LogPosition,
    /// When they were lost.
    pub lost_at: Timestamp,
}

impl LostCommits {
    /// Whether a commit at this position is among the lost ones.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.after < position && position <= self.up_to
    }
}

/// The log of one group, shared by its endpoints.
#[derive(Default)]
pub(super) struct GroupLog {
    /// Positions of the commits, ascending.
    commits: Vec<LogPosition>,
    /// After a loss of commits the log stands here until the next commit.
    rolled_back_to: Option<LogPosition>,
    lost: Vec<LostCommits>,
}

impl GroupLog {
    /// Appends a commit and returns its position, which is the present unless an earlier commit has it.
    pub(super) fn commit(&mut self, present: LogPosition) -> LogPosition {
        let position = self.commits.last().map_or(present, |last| present.max(last.next()));
        self.commits.push(position);
        self.rolled_back_to = None;
        position
    }

    /// Up to where a primary's data is complete.
    pub(super) fn primary_position(&self, present: LogPosition) -> LogPosition {
        let last = self.commits.last().copied().unwrap_or(present);
        self.rolled_back_to.unwrap_or(present.max(last))
    }

    /// Up to where a replica's data is complete.
    pub(super) fn replica_position(&self, present: LogPosition, replication_lag: Duration) -> LogPosition {
        let applied = present - replication_lag;
        self.rolled_back_to.map_or(applied, |end| end.min(applied))
    }

    /// Loses the commits of the last `unsynced` before the last one.
    pub(super) fn lose_tail(&mut self, unsynced: Duration) {
        let Some(last) = self.commits.last().copied() else { return };
        if unsynced.is_zero() {
            return;
        }
        let cut = last - unsynced;
        self.commits.retain(|commit| *commit <= cut);
        let after = self.commits.last().copied().unwrap_or(cut);
        self.lost.push(LostCommits { after, up_to: last, lost_at: Timestamp::now() });
        self.rolled_back_to = Some(after);
    }

    /// All commits that were lost.
    pub(super) fn lost(&self) -> &[LostCommits] {
        &self.lost
    }
}
