//! The Raft state that storage holds, and the writes that update it.

use crate::ids::NodeId;
use crate::store::codec;
use crate::store::records::{Configuration, EntryId, HardState, LogEntry, SnapshotRecord};
use crate::store::state_machine::ClusterState;
use thiserror::Error;

/// The persistent state of a node, which it must load after a restart before it participates in the consensus.
///
/// Invariants: the entries follow the compaction point without a gap; the snapshot is at or after that point, and at
/// or before the last entry; the commit index is at or before the last entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RaftPersistentState {
    /// The term, the vote in that term, and the commit index.
    pub hard_state: HardState,
    /// The replicated state after some entry. Entries up to that one are not applied again after a restart.
    pub snapshot: SnapshotRecord,
    /// The last entry that compaction has dropped.
    pub compacted: EntryId,
    /// The entries after `compacted`.
    pub entries: Vec<LogEntry>,
}

/// A write to storage that must be synced before the node sends the messages that depend on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RaftWrite {
    /// The term, vote and commit index, if any of them changed.
    pub hard_state: Option<HardState>,
    /// Entries to append. They replace all stored entries from the index of the first one on.
    pub entries: Vec<LogEntry>,
    /// A new snapshot, which replaces the stored one.
    pub snapshot: Option<SnapshotRecord>,
    /// The new compaction point. Stored entries up to it are removed.
    pub compacted: Option<EntryId>,
}

/// Why a persistent state cannot be used. The node then discards its identity and starts as a new node.
#[derive(Debug, Error)]
pub enum InvalidRaftState {
    /// The replicated state in the snapshot cannot be decoded.
    #[error("the snapshot cannot be decoded")]
    SnapshotFormat,
    /// The log ends before the commit index or before the snapshot's entry.
    #[error("the log ends before the last committed entry")]
    TooShort,
    /// Entries are missing between others or before the first one.
    #[error("the log has gaps")]
    Gap,
    /// An entry is of an unknown kind.
    #[error("a log entry is of an unknown kind")]
    EntryFormat,
    /// The `raft` crate rejects the state.
    #[error("{0}")]
    Library(#[from] raft::Error),
}

impl RaftWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == RaftWrite::default()
    }
}

impl RaftPersistentState {
    /// The persistent state of the only node of a new fleet: a snapshot at index 1 of term 1, as if an entry had been
    /// committed there.
    pub fn found_fleet(state: &ClusterState, id: NodeId) -> RaftPersistentState {
        RaftPersistentState::single_voter(state, id, EntryId { term: 1, index: 1 })
    }

    /// The persistent state of the only node of a fleet that continues from `state`. The snapshot gets the index and
    /// the term after those of `last`, so that no earlier entry can be mistaken for an entry of the new fleet.
    pub fn force_new_fleet(state: &ClusterState, id: NodeId, last: EntryId) -> RaftPersistentState {
        RaftPersistentState::single_voter(state, id, EntryId { term: last.term + 1, index: last.index + 1 })
    }

    fn single_voter(state: &ClusterState, id: NodeId, at: EntryId) -> RaftPersistentState {
        let configuration = Configuration { voters: vec![id], ..Configuration::default() };
        RaftPersistentState {
            hard_state: HardState { term: at.term, vote: NodeId::NONE, commit: at.index },
            snapshot: SnapshotRecord {
                index: at.index,
                term: at.term,
                configuration,
                state: codec::encode(state),
            },
            compacted: at,
            entries: Vec::new(),
        }
    }

    /// The write that replaces the whole consensus state in storage with this one.
    pub fn full_write(&self) -> RaftWrite {
        RaftWrite {
            hard_state: Some(self.hard_state),
            entries: self.entries.clone(),
            snapshot: Some(self.snapshot.clone()),
            compacted: Some(self.compacted),
        }
    }

    /// Applies a write to this state in the same way as storage does.
    pub fn apply_write(&mut self, write: &RaftWrite) {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.clone();
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(write.entries.iter().cloned());
        }
        if let Some(compacted) = write.compacted {
            self.compacted = compacted;
            self.entries.retain(|entry| entry.index > compacted.index);
        }
    }

    /// Whether the node belongs to no fleet yet.
    pub fn is_new(&self) -> bool {
        self.snapshot.index == 0
    }

    /// The last entry of the log. If all entries were dropped, that is the last dropped one.
    pub fn last_entry(&self) -> EntryId {
        match self.entries.last() {
            Some(entry) if entry.index > self.compacted.index => entry.id(),
            _ => self.compacted,
        }
    }

    /// Checks the invariants. Does not check whether the entries and the replicated state can be decoded.
    ///
    /// # Errors
    ///
    /// The log ends too early, or has a gap.
    pub(super) fn check_log(&self) -> Result<(), InvalidRaftState> {
        if self.last_entry().index < self.hard_state.commit.max(self.snapshot.index) {
            return Err(InvalidRaftState::TooShort);
        }
        if self.snapshot.index < self.compacted.index {
            return Err(InvalidRaftState::Gap);
        }
        let mut previous = self.compacted.index;
        for entry in &self.entries {
            if entry.index != previous + 1 {
                return Err(InvalidRaftState::Gap);
            }
            previous = entry.index;
        }
        Ok(())
    }
}
