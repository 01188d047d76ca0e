//! Conversions between records and the types of the `raft` crate.

use super::{Configuration, HardState, LogEntry, MembershipStep, SnapshotRecord};
use crate::ids::NodeId;
use raft::eraftpb::{self, ConfChangeType, EntryType};

impl LogEntry {
    /// Converts an entry of the `raft` crate. The payload of a membership change is this program's encoding of the
    /// change, which the entry carries as its context.
    pub fn from_raft(entry: eraftpb::Entry) -> LogEntry {
        let is_membership = entry.entry_type != EntryType::EntryNormal;
        LogEntry {
            index: entry.index,
            term: entry.term,
            kind: if is_membership { LogEntry::MEMBERSHIP } else { LogEntry::CHANGE },
            payload: if is_membership { entry.context.to_vec() } else { entry.data.to_vec() },
        }
    }

    /// Converts to an entry of the `raft` crate. Returns `None` if the kind is unknown. The crate's own encoding of a
    /// membership change is omitted, since the crate reads it only when the change is proposed.
    pub fn into_raft(self) -> Option<eraftpb::Entry> {
        let mut entry = eraftpb::Entry { index: self.index, term: self.term, ..Default::default() };
        match self.kind {
            LogEntry::CHANGE => entry.data = self.payload.into(),
            LogEntry::MEMBERSHIP => {
                entry.set_entry_type(EntryType::EntryConfChangeV2);
                entry.context = self.payload.into();
            }
            _ => return None,
        }
        Some(entry)
    }
}

impl HardState {
    /// Converts a hard state of the `raft` crate.
    pub fn from_raft(hard_state: &eraftpb::HardState) -> HardState {
        HardState { term: hard_state.term, vote: NodeId(hard_state.vote), commit: hard_state.commit }
    }
}

impl Configuration {
    /// Converts a configuration of the `raft` crate. The crate keeps sets without an order; the ids are sorted so that
    /// the records are equal on all nodes.
    pub fn from_raft(configuration: &eraftpb::ConfState) -> Configuration {
        Configuration {
            voters: sorted_ids(&configuration.voters),
            learners: sorted_ids(&configuration.learners),
            voters_outgoing: sorted_ids(&configuration.voters_outgoing),
            learners_next: sorted_ids(&configuration.learners_next),
            auto_leave: configuration.auto_leave,
        }
    }

    /// Converts to a configuration of the `raft` crate.
    pub fn to_raft(&self) -> eraftpb::ConfState {
        let mut configuration = eraftpb::ConfState::default();
        configuration.set_voters(raft_ids(&self.voters));
        configuration.set_learners(raft_ids(&self.learners));
        configuration.set_voters_outgoing(raft_ids(&self.voters_outgoing));
        configuration.set_learners_next(raft_ids(&self.learners_next));
        configuration.auto_leave = self.auto_leave;
        configuration
    }
}

fn sorted_ids(ids: &[u64]) -> Vec<NodeId> {
    let mut ids: Vec<NodeId> = ids.iter().copied().map(NodeId).collect();
    ids.sort_unstable();
    ids
}

fn raft_ids(ids: &[NodeId]) -> Vec<u64> {
    ids.iter().map(|id| id.0).collect()
}

impl SnapshotRecord {
    /// Converts a snapshot of the `raft` crate.
    pub fn from_raft(snapshot: &eraftpb::Snapshot) -> SnapshotRecord {
        let metadata = snapshot.get_metadata();
        SnapshotRecord {
            index: metadata.index,
            term: metadata.term,
            configuration: Configuration::from_raft(metadata.get_conf_state()),
            state: snapshot.data.to_vec(),
        }
    }

    /// Converts to a snapshot of the `raft` crate.
    pub fn to_raft(&self) -> eraftpb::Snapshot {
        let mut snapshot = eraftpb::Snapshot { data: self.state.clone().into(), ..Default::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = self.index;
        metadata.term = self.term;
        metadata.set_conf_state(self.configuration.to_raft());
        snapshot
    }
}

impl MembershipStep {
    /// Converts to a step of a membership change of the `raft` crate.
    pub fn to_raft(self) -> eraftpb::ConfChangeSingle {
        let (change_type, id) = match self {
            MembershipStep::AddVoter(id) => (ConfChangeType::AddNode, id),
            MembershipStep::AddLearner(id) => (ConfChangeType::AddLearnerNode, id),
            MembershipStep::Remove(id) => (ConfChangeType::RemoveNode, id),
        };
        let mut step = eraftpb::ConfChangeSingle { node_id: id.0, ..Default::default() };
        step.set_change_type(change_type);
        step
    }
}
