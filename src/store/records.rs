//! What stands on the disk and goes between daemons: serde forms of our own.
//!
//! The consensus library keeps its messages in protobuf types. They are made here from parts that were read in
//! our own form; bytes from a socket or a disk are never parsed by protobuf.

use crate::engine::endpoints::EndpointRecord;
use crate::ids::NodeId;
use crate::ids::{GroupId, ZoneId};
use crate::routing::Availability;
use crate::time::Timestamp;
use raft::eraftpb::{self, ConfChangeType, EntryType};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A host as the agreed inventory has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its size against others.
    pub weight: f64,
    /// The inventory itself says that it leaves.
    pub draining: bool,
    /// When it last started.
    pub started_at: Option<Timestamp>,
}

impl HostRecord {
    /// Of a line of a list.
    pub fn from_endpoint_record(listed: &EndpointRecord) -> HostRecord {
        HostRecord {
            address: listed.address,
            group: listed.group,
            zone: listed.zone,
            weight: listed.weight,
            draining: listed.availability != Availability::Ready,
            started_at: listed.started_at,
        }
    }

    /// As a line of a list.
    pub fn endpoint_record(&self, name: &str, drained: bool) -> EndpointRecord {
        let closed = drained || self.draining;
        EndpointRecord {
            name: name.to_string(),
            address: self.address,
            zone: self.zone,
            group: self.group,
            availability: if closed { Availability::Draining } else { Availability::Ready },
            primary: false,
            weight: self.weight,
            started_at: self.started_at,
        }
    }
}

/// Identifies an entry of the log. Ordered as Raft compares logs: by term, then by index. The default is before every
/// entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The term in which a leader appended the entry.
    pub term: u64,
    /// The position in the log.
    pub index: u64,
}

/// The stored form of the last entry that compaction dropped: the index comes first here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactionRecord {
    /// The entry's index.
    pub index: u64,
    /// Its term.
    pub term: u64,
}

impl From<EntryId> for CompactionRecord {
    fn from(entry: EntryId) -> CompactionRecord {
        CompactionRecord { index: entry.index, term: entry.term }
    }
}

impl From<CompactionRecord> for EntryId {
    fn from(record: CompactionRecord) -> EntryId {
        EntryId { term: record.term, index: record.index }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub index: u64,
    /// The term in which it was made.
    pub term: u64,
    /// 0: a change of the state; 2: a change of the membership.
    pub kind: u8,
    /// The change, in our form; empty: nothing.
    pub payload: Vec<u8>,
}

/// What a daemon must not forget of the votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term.
    pub term: u64,
    /// Who got its vote in this term; 0: nobody.
    pub vote: NodeId,
    /// How far the log is agreed.
    pub commit: u64,
}

/// A vote in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// The term.
    pub term: u64,
    /// Who got it; [`NodeId::NOBODY`]: nobody.
    pub candidate: NodeId,
}

impl HardState {
    /// The vote in its term.
    pub fn cast_vote(&self) -> Vote {
        Vote { term: self.term, candidate: self.vote }
    }
}

/// Who has a say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Whose majority agrees.
    pub voters: Vec<NodeId>,
    /// Who only follows.
    pub learners: Vec<NodeId>,
    /// The voters before a change that goes on.
    pub voters_outgoing: Vec<NodeId>,
    /// Who is to follow after it.
    pub learners_next: Vec<NodeId>,
    /// The change ends by itself.
    pub auto_leave: bool,
}

/// The whole state at a point of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The membership there.
    pub configuration: Configuration,
    /// The state, in our form.
    pub state: Vec<u8>,
}

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

/// One step of a change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipStep {
    /// It is to vote.
    AddVoter(NodeId),
    /// It is to follow only.
    AddLearner(NodeId),
    /// It is to go.
    Remove(NodeId),
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
