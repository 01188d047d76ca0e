//! The log and the replicated state in memory, which the `raft` crate reads through its `Storage` trait.

use crate::store::codec;
use crate::store::raft_node::persistent_state::{InvalidRaftState, RaftPersistentState};
use crate::store::records::{Configuration, EntryId, HardState, LogEntry, SnapshotRecord};
use crate::store::state_machine::ClusterState;
use raft::{GetEntriesContext, RaftState, Storage, StorageError, eraftpb};
use std::collections::VecDeque;

/// Approximate memory of an entry besides its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The size of the log in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// The total size of the entries: their payloads plus a fixed overhead for each.
    pub bytes: usize,
    /// The number of entries.
    pub entries: usize,
}

/// The log after the compaction point, and the replicated state after the last applied entry.
pub(super) struct MemoryLog {
    pub(super) hard_state: HardState,
    pub(super) configuration: Configuration,
    /// The last entry that compaction has dropped.
    pub(super) compacted: EntryId,
    /// The entries after it.
    pub(super) entries: VecDeque<eraftpb::Entry>,
    /// The total size of `entries`, as in [`LogSize::bytes`].
    bytes: usize,
    pub(super) state: ClusterState,
    /// The last entry that is applied to `state`.
    pub(super) applied: EntryId,
}

impl MemoryLog {
    /// Loads the log from its persistent state.
    ///
    /// # Errors
    ///
    /// The persistent state violates an invariant, or cannot be decoded.
    pub(super) fn new(persisted: RaftPersistentState) -> Result<MemoryLog, InvalidRaftState> {
        let state = if persisted.is_new() {
            ClusterState::default()
        } else {
            ClusterState::decode(&persisted.snapshot.state).ok_or(InvalidRaftState::SnapshotFormat)?
        };
        persisted.check_log()?;
        let applied = persisted.snapshot.last_entry();
        let mut log = MemoryLog {
            hard_state: persisted.hard_state,
            configuration: persisted.snapshot.configuration,
            compacted: persisted.compacted,
            entries: VecDeque::new(),
            bytes: 0,
            state,
            applied,
        };
        for entry in persisted.entries {
            let entry = LogEntry::into_raft(entry).ok_or(InvalidRaftState::EntryFormat)?;
            log.bytes += size_of_entry(&entry);
            log.entries.push_back(entry);
        }
        Ok(log)
    }

    pub(super) fn size(&self) -> LogSize {
        LogSize { bytes: self.bytes, entries: self.entries.len() }
    }

    fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.compacted.index, |entry| entry.index)
    }

    fn entry(&self, index: u64) -> Option<&eraftpb::Entry> {
        let position = index.checked_sub(self.compacted.index + 1)?;
        self.entries.get(position as usize)
    }

    /// Appends entries. They replace all entries from the index of the first one on.
    pub(super) fn append(&mut self, entries: &[eraftpb::Entry]) {
        if let Some(first) = entries.first() {
            while self.entries.back().is_some_and(|entry| entry.index >= first.index) {
                self.bytes -= self.entries.pop_back().map_or(0, |entry| size_of_entry(&entry));
            }
        }
        for entry in entries {
            self.bytes += size_of_entry(entry);
            self.entries.push_back(entry.clone());
        }
    }

    /// A snapshot of the replicated state after the last applied entry.
    pub(super) fn snapshot_record(&self) -> SnapshotRecord {
        SnapshotRecord {
            index: self.applied.index,
            term: self.applied.term,
            configuration: self.configuration.clone(),
            state: codec::encode(&self.state),
        }
    }

    /// Replaces the log and the state with a leader's snapshot. `state` is the decoded state of `record`.
    pub(super) fn restore(&mut self, record: &SnapshotRecord, state: ClusterState) {
        self.applied = record.last_entry();
        self.configuration = record.configuration.clone();
        self.state = state;
        self.compacted = record.last_entry();
        self.entries.clear();
        self.bytes = 0;
    }

    /// If the log exceeds the limit, drops applied entries until it is within half of the limit. Dropping only down to
    /// the limit would write a snapshot for each further entry. Returns whether any entry was dropped.
    pub(super) fn compact(&mut self, limit: LogSize) -> bool {
        if self.bytes <= limit.bytes && self.entries.len() <= limit.entries {
            return false;
        }
        let previously_compacted = self.compacted;
        while self.bytes > limit.bytes / 2 || self.entries.len() > limit.entries / 2 {
            match self.entries.front() {
                Some(first) if first.index <= self.applied.index => {
                    self.compacted = EntryId { term: first.term, index: first.index };
                }
                _ => break,
            }
            self.bytes -= self.entries.pop_front().map_or(0, |entry| size_of_entry(&entry));
        }
        self.compacted != previously_compacted
    }
}

fn size_of_entry(entry: &eraftpb::Entry) -> usize {
    entry.data.len() + entry.context.len() + ENTRY_OVERHEAD_BYTES
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let hard_state = eraftpb::HardState {
            term: self.hard_state.term,
            vote: self.hard_state.vote.0,
            commit: self.hard_state.commit.max(self.applied.index),
            ..Default::default()
        };
        Ok(RaftState { hard_state, conf_state: self.configuration.to_raft() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let max_bytes = max_size.into().unwrap_or(u64::MAX) as usize;
        let mut total_bytes = 0;
        let mut entries = Vec::new();
        for index in low..high {
            let Some(entry) = self.entry(index) else { return Err(StorageError::Unavailable.into()) };
            total_bytes += size_of_entry(entry);
            // At least one entry is returned. Otherwise a follower could never receive an entry that exceeds the
            // limit.
            if total_bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index == self.applied.index && self.applied.term > 0 {
            return Ok(self.applied.term);
        }
        if index < self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        self.entry(index).map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(MemoryLog::last_index(self))
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        if self.applied.index < request_index || self.applied.index == 0 {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot_record().to_raft())
    }
}
