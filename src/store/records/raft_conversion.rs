//! Records to the library's types and back.

use super::{Configuration, EntryId, LogEntry, MembershipStep, SnapshotRecord};
use crate::ids::NodeId;
use raft::eraftpb::{self, ConfChangeType, EntryType};

impl LogEntry {
    /// Its term and index.
    pub fn id(&self) -> EntryId {
        EntryId { term: self.term, index: self.index }
    }

    /// Of the library's entry. A change of the membership keeps our form of it in the context.
    pub fn of(e: eraftpb::Entry) -> LogEntry {
        let member = e.entry_type != EntryType::EntryNormal;
        LogEntry {
            index: e.index,
            term: e.term,
            kind: if member { 2 } else { 0 },
            payload: if member { e.context.to_vec() } else { e.data.to_vec() },
        }
    }

    /// As the library wants it. The library's own form of a change of the membership is left out: nobody reads
    /// it after it was proposed.
    pub fn entry(self) -> Option<eraftpb::Entry> {
        let mut e = eraftpb::Entry { index: self.index, term: self.term, ..Default::default() };
        match self.kind {
            0 => e.data = self.payload.into(),
            2 => {
                e.set_entry_type(EntryType::EntryConfChangeV2);
                e.context = self.payload.into();
            }
            _ => return None,
        }
        Some(e)
    }
}

impl Configuration {
    /// Of the library's.
    pub fn of(c: &eraftpb::ConfState) -> Configuration {
        // The library keeps sets: in order they are alike at all daemons.
        let sorted = |ids: &[u64]| {
            let mut ids: Vec<NodeId> = ids.iter().copied().map(NodeId).collect();
            ids.sort_unstable();
            ids
        };
        Configuration {
            voters: sorted(&c.voters),
            learners: sorted(&c.learners),
            voters_outgoing: sorted(&c.voters_outgoing),
            learners_next: sorted(&c.learners_next),
            auto_leave: c.auto_leave,
        }
    }

    /// As the library wants it.
    pub fn state(&self) -> eraftpb::ConfState {
        let numbers = |ids: &[NodeId]| ids.iter().map(|id| id.0).collect::<Vec<u64>>();
        let mut c = eraftpb::ConfState::default();
        c.set_voters(numbers(&self.voters));
        c.set_learners(numbers(&self.learners));
        c.set_voters_outgoing(numbers(&self.voters_outgoing));
        c.set_learners_next(numbers(&self.learners_next));
        c.auto_leave = self.auto_leave;
        c
    }
}

impl SnapshotRecord {
    /// The last entry whose effect it contains.
    pub fn last_entry(&self) -> EntryId {
        EntryId { term: self.term, index: self.index }
    }

    /// Of the library's.
    pub fn of(s: &eraftpb::Snapshot) -> SnapshotRecord {
        let meta = s.get_metadata();
        SnapshotRecord {
            index: meta.index,
            term: meta.term,
            configuration: Configuration::of(meta.get_conf_state()),
            state: s.data.to_vec(),
        }
    }

    /// As the library wants it.
    pub fn snapshot(&self) -> eraftpb::Snapshot {
        let mut s = eraftpb::Snapshot { data: self.state.clone().into(), ..Default::default() };
        let meta = s.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(self.configuration.state());
        s
    }
}

impl MembershipStep {
    /// As the library wants it.
    pub fn conf_change(self) -> eraftpb::ConfChangeSingle {
        let (kind, id) = match self {
            MembershipStep::AddVoter(id) => (ConfChangeType::AddNode, id),
            MembershipStep::AddLearner(id) => (ConfChangeType::AddLearnerNode, id),
            MembershipStep::Remove(id) => (ConfChangeType::RemoveNode, id),
        };
        let mut single = eraftpb::ConfChangeSingle { node_id: id.0, ..Default::default() };
        single.set_change_type(kind);
        single
    }
}
