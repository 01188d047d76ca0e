//! The replicated log of a group, reduced to the positions of its commits.

use crate::{LogPosition, Timestamp};
use std::time::Duration;

/// A range of commits that a group lost in a loss of power because they were not on its disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostCommits {
    /// The position of the last commit that was kept; exclusive.
    pub after: LogPosition,
    /// The position of the last commit that was lost; inclusive.
    pub up_to: LogPosition,
    /// When the commits were lost.
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
    /// The position of the log from a loss of commits until the next commit.
    rolled_back_to: Option<LogPosition>,
    lost: Vec<LostCommits>,
}

impl GroupLog {
    /// Appends a commit and returns its position: `present`, or the one after the last commit if that is not earlier.
    pub(super) fn commit(&mut self, present: LogPosition) -> LogPosition {
        let position = self.commits.last().map_or(present, |last| present.max(last.next()));
        self.commits.push(position);
        self.rolled_back_to = None;
        position
    }

    /// The position up to which a primary's data is complete.
    pub(super) fn primary_position(&self, present: LogPosition) -> LogPosition {
        let last = self.commits.last().copied().unwrap_or(present);
        self.rolled_back_to.unwrap_or(present.max(last))
    }

    /// The position up to which a replica's data is complete.
    pub(super) fn replica_position(&self, present: LogPosition, replication_lag: Duration) -> LogPosition {
        let applied = present - replication_lag;
        self.rolled_back_to.map_or(applied, |end| end.min(applied))
    }

    /// Discards the commits made within `unsynced` before the last one, which is discarded too.
    pub(super) fn lose_unsynced_commits(&mut self, unsynced: Duration) {
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

    /// The commits lost so far, one range for each loss.
    pub(super) fn lost(&self) -> &[LostCommits] {
        &self.lost
    }
}
