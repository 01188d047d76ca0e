//! The consensus state that storage holds, and writes to it.

use crate::ids::NodeId;
use crate::store::codec;
use crate::store::records::{Configuration, EntryId, HardState, LogEntry, SnapshotRecord};
use crate::store::state_machine::ClusterState;
use thiserror::Error;

/// The persistent state of a node: what it must find again after a crash before it takes part in the consensus.
///
/// Invariants: the entries follow the compaction point without a gap; the snapshot lies at or after that point, and at
/// or before the last entry; the commit index lies at or before the last entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RaftPersistentState {
    /// The term, the vote in it, and the commit index.
    pub hard_state: HardState,
    /// The replicated state up to an entry. Entries up to there are not applied again.
    pub snapshot: SnapshotRecord,
    /// The last entry that compaction has dropped.
    pub compacted: EntryId,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

/// What has to be synced before a node sends what depends on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RaftWrite {
    /// The term, vote and commit index, where they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append. Stored entries from the first one's index on are replaced.
    pub entries: Vec<LogEntry>,
    /// The replicated state up to an entry.
    pub snapshot: Option<SnapshotRecord>,
    /// The last entry that is dropped; entries up to it are removed.
    pub compacted: Option<EntryId>,
}

/// Why a persistent state cannot be used. The node gives up its identity and continues as a new one.
#[derive(Debug, Error)]
pub enum InvalidRaftState {
    /// The replicated state in the snapshot cannot be decoded.
    #[error("the state is out of form")]
    SnapshotFormat,
    /// Entries that were committed, or that the snapshot contains, are missing.
    #[error("the log ends before what was agreed")]
    TooShort,
    /// Entries are missing between others, or before the first one.
    #[error("the log has gaps")]
    Gap,
    /// An entry is of an unknown kind.
    #[error("an entry is out of form")]
    EntryFormat,
    /// The consensus library refuses the state.
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
    /// The state of the only node of a new fleet: a snapshot at entry 1 of term 1, as if that entry had been
    /// committed.
    pub fn found_fleet(state: &ClusterState, id: NodeId) -> RaftPersistentState {
        RaftPersistentState::single_voter(state, id, EntryId { term: 1, index: 1 })
    }

    /// The state of the only node of a fleet that continues from a replicated state. The snapshot takes the index and
    /// the term after `last`, so that nothing of before can be taken for an entry of the new fleet.
    pub fn force_new_fleet(state: &ClusterState, id: NodeId, last: EntryId) -> RaftPersistentState {
        RaftPersistentState::single_voter(state, id, EntryId { term: last.term + 1, index: last.index + 1 })
    }

    fn single_voter(state: &ClusterState, id: NodeId, at: EntryId) -> RaftPersistentState {
        let configuration = Configuration { voters: vec![id], ..Configuration::default() };
        RaftPersistentState {
            hard_state: HardState { term: at.term, vote: NodeId::NOBODY, commit: at.index },
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

    /// The write that puts all of this into storage, in place of what is there.
    pub fn full_write(&self) -> RaftWrite {
        RaftWrite {
            hard_state: Some(self.hard_state),
            entries: self.entries.clone(),
            snapshot: Some(self.snapshot.clone()),
            compacted: Some(self.compacted),
        }
    }

    /// Changes this as storage changes with a write.
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

    /// The last entry, held or dropped.
    pub fn last_entry(&self) -> EntryId {
        match self.entries.last() {
            Some(entry) if entry.index > self.compacted.index => entry.id(),
            _ => self.compacted,
        }
    }

    /// Checks the invariants, except that entries and the replicated state can be decoded.
    ///
    /// # Errors
    ///
    /// The log is too short, or has a gap.
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
