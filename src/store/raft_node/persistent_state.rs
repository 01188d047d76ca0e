//! What the disk holds of the consensus.

use crate::ids::NodeId;
use crate::store::codec;
use crate::store::records::{Configuration, EntryId, HardState, LogEntry, SnapshotRecord};
use crate::store::state_machine::ClusterState;

/// What a disk holds of the agreement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RaftPersistentState {
    /// The votes.
    pub hard_state: HardState,
    /// A state, entries up to which need not be applied again.
    pub snapshot: SnapshotRecord,
    /// The last entry that is no longer held, and its term.
    pub compacted: EntryId,
    /// Those after it.
    pub entries: Vec<LogEntry>,
}

/// What must be on the disk before the rest of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RaftWrite {
    /// The votes, where they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append; what the disk has from the first one on is replaced.
    pub entries: Vec<LogEntry>,
    /// A whole state.
    pub snapshot: Option<SnapshotRecord>,
    /// The last entry that is dropped, and its term.
    pub compacted: Option<EntryId>,
}

impl RaftWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == RaftWrite::default()
    }
}

impl RaftPersistentState {
    /// The disk of the only member of a new fleet.
    pub fn found_fleet(state: &ClusterState, id: NodeId) -> RaftPersistentState {
        let conf = Configuration { voters: vec![id], ..Configuration::default() };
        RaftPersistentState {
            hard_state: HardState { term: 1, vote: NodeId::NOBODY, commit: 1 },
            snapshot: SnapshotRecord { index: 1, term: 1, configuration: conf, state: codec::encode(state) },
            compacted: EntryId { term: 1, index: 1 },
            entries: Vec::new(),
        }
    }

    /// The disk of the only member of a fleet that goes on from a state, after this entry and term.
    pub fn force_new_fleet(state: &ClusterState, id: NodeId, last: EntryId) -> RaftPersistentState {
        let (index, term) = (last.index + 1, last.term + 1);
        let mut image = RaftPersistentState::found_fleet(state, id);
        image.hard_state = HardState { term, vote: NodeId::NOBODY, commit: index };
        (image.snapshot.index, image.snapshot.term) = (index, term);
        image.compacted = EntryId { term, index };
        image
    }

    /// The write that puts all of it on an empty disk, or in the place of what is there.
    pub fn full_write(&self) -> RaftWrite {
        RaftWrite {
            hard_state: Some(self.hard_state),
            entries: self.entries.clone(),
            snapshot: Some(self.snapshot.clone()),
            compacted: Some(self.compacted),
        }
    }

    /// Takes in a write whole.
    pub fn apply_write(&mut self, write: &RaftWrite) {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.clone();
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|e| e.index < first.index);
            self.entries.extend(write.entries.iter().cloned());
        }
        if let Some(compacted) = write.compacted {
            self.compacted = compacted;
            self.entries.retain(|e| e.index > compacted.index);
        }
    }

    /// Whether it belongs to a fleet.
    pub fn is_new(&self) -> bool {
        self.snapshot.index == 0
    }

    /// The last entry that it holds.
    pub fn last_entry(&self) -> EntryId {
        match self.entries.last() {
            Some(entry) if entry.index > self.compacted.index => entry.id(),
            _ => self.compacted,
        }
    }
}
