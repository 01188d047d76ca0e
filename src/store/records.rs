//! What stands on the disk and goes between daemons: serde forms of our own.
//!
//! The consensus library keeps its messages in protobuf types. They are made here from parts that were read in
//! our own form; bytes from a socket or a disk are never parsed by protobuf.

use crate::engine::endpoints::EndpointRecord;
use crate::ids::NodeId;
use crate::ids::{GroupId, ZoneId};
use crate::routing::Availability;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

mod raft_conversion;

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
