//! The log in memory, as the library reads it.

use crate::store::codec;
use crate::store::records::{Configuration, EntryId, HardState, SnapshotRecord};
use crate::store::state_machine::ClusterState;
use raft::{GetEntriesContext, RaftState, Storage, StorageError, eraftpb};
use std::collections::VecDeque;

/// The log in memory, as the library reads it.
pub(super) struct MemoryLog {
    pub(super) hard_state: HardState,
    pub(super) configuration: Configuration,
    pub(super) compacted: EntryId,
    pub(super) entries: VecDeque<eraftpb::Entry>,
    pub(super) bytes: usize,
    pub(super) state: ClusterState,
    pub(super) applied: u64,
    pub(super) applied_term: u64,
}

impl MemoryLog {
    pub(super) fn last(&self) -> u64 {
        self.entries.back().map_or(self.compacted.index, |e| e.index)
    }

    pub(super) fn at(&self, index: u64) -> Option<&eraftpb::Entry> {
        let place = index.checked_sub(self.compacted.index + 1)?;
        self.entries.get(place as usize)
    }

    pub(super) fn append(&mut self, entries: Vec<eraftpb::Entry>) {
        if let Some(first) = entries.first() {
            while self.entries.back().is_some_and(|e| e.index >= first.index) {
                self.bytes -= self.entries.pop_back().map_or(0, |e| size(&e));
            }
        }
        self.bytes += entries.iter().map(size).sum::<usize>();
        self.entries.extend(entries);
    }

    pub(super) fn record(&self) -> SnapshotRecord {
        SnapshotRecord {
            index: self.applied,
            term: self.applied_term,
            configuration: self.configuration.clone(),
            state: codec::encode(&self.state),
        }
    }

    pub(super) fn restore(&mut self, record: &SnapshotRecord, state: ClusterState) {
        (self.applied, self.applied_term) = (record.index, record.term);
        (self.configuration, self.state) = (record.configuration.clone(), state);
        self.compacted = record.last_entry();
        self.entries.clear();
        self.bytes = 0;
    }
}

pub(super) fn size(e: &eraftpb::Entry) -> usize {
    e.data.len() + e.context.len() + 32
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut hard = eraftpb::HardState {
            term: self.hard_state.term,
            vote: self.hard_state.vote.0,
            ..Default::default()
        };
        hard.commit = self.hard_state.commit.max(self.applied);
        Ok(RaftState { hard_state: hard, conf_state: self.configuration.state() })
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
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let (most, mut held) = (max_size.into().unwrap_or(u64::MAX) as usize, 0);
        let mut found = Vec::new();
        for index in low..high {
            let Some(entry) = self.at(index) else { return Err(StorageError::Unavailable.into()) };
            held += size(entry);
            // One at least, or nothing would ever go on.
            if held > most && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index == self.applied && self.applied_term > 0 {
            return Ok(self.applied_term);
        }
        if index < self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        self.at(index).map(|e| e.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, wanted: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        if self.applied < wanted || self.applied == 0 {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.record().snapshot())
    }
}
