//! Records that storage holds and peers exchange, in serde forms of this program.
//!
//! The consensus library has protobuf types of its own. They are built from these records once decoded: bytes from a
//! socket or a disk never reach the protobuf parser. The order and types of the fields, and the order of the variants,
//! are part of the stored format and of the protocol between peers.

mod raft_conversion;

use crate::engine::endpoints::EndpointRecord;
use crate::ids::{GroupId, NodeId, ZoneId};
use crate::routing::Availability;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A host of the committed inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The address it listens at.
    pub address: SocketAddr,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its capacity relative to other hosts.
    pub weight: f64,
    /// The inventory drains it.
    pub draining: bool,
    /// When its process last started, if that is known.
    pub started_at: Option<Timestamp>,
}

impl HostRecord {
    /// The host of an endpoint list's record.
    pub fn from_endpoint_record(endpoint: &EndpointRecord) -> HostRecord {
        HostRecord {
            address: endpoint.address,
            group: endpoint.group,
            zone: endpoint.zone,
            weight: endpoint.weight,
            draining: endpoint.availability != Availability::Ready,
            started_at: endpoint.started_at,
        }
    }

    /// The host as an endpoint list's record. `is_drained`: a drain request is in force.
    pub fn endpoint_record(&self, name: &str, is_drained: bool) -> EndpointRecord {
        let is_draining = is_drained || self.draining;
        EndpointRecord {
            name: name.to_string(),
            address: self.address,
            zone: self.zone,
            group: self.group,
            availability: if is_draining { Availability::Draining } else { Availability::Ready },
            primary: false,
            weight: self.weight,
            started_at: self.started_at,
        }
    }
}

/// A host with the name that the inventory gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedHost {
    /// The name.
    pub name: String,
    /// The host.
    pub host: HostRecord,
}

/// Identifies an entry of the log. Ordered as Raft compares logs: by term, then by index. The default is before every
/// entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The term in which a leader appended the entry.
    pub term: u64,
    /// The position in the log, from 1.
    pub index: u64,
}

/// The last entry that compaction has dropped, as storage holds it. Other than in [`EntryId`] the index comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactionRecord {
    /// The entry's index.
    pub index: u64,
    /// The entry's term.
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
    /// Its position in the log.
    pub index: u64,
    /// The term in which a leader appended it.
    pub term: u64,
    /// [`LogEntry::CHANGE`] or [`LogEntry::MEMBERSHIP`].
    pub kind: u8,
    /// An encoded proposal, or an encoded change of the membership; empty: no change, as in the entry with which each
    /// leader begins.
    pub payload: Vec<u8>,
}

impl LogEntry {
    /// The kind of an entry that changes the replicated state.
    pub const CHANGE: u8 = 0;
    /// The kind of an entry that changes the membership. 1 is the older form of such changes in the library's protocol,
    /// which is not used.
    pub const MEMBERSHIP: u8 = 2;

    /// Its id.
    pub fn id(&self) -> EntryId {
        EntryId { term: self.term, index: self.index }
    }
}

/// Raft's hard state: a node must not forget it, or it could vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The candidate that got this node's vote in the term; [`NodeId::NOBODY`]: none.
    pub vote: NodeId,
    /// The index of the last entry that is known to be committed.
    pub commit: u64,
}

impl HardState {
    /// The vote in the current term.
    pub fn cast_vote(&self) -> Vote {
        Vote { term: self.term, candidate: self.vote }
    }
}

/// A vote in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// The term.
    pub term: u64,
    /// The candidate; [`NodeId::NOBODY`]: no vote was cast.
    pub candidate: NodeId,
}

/// The nodes of the consensus. While a change of several voters goes on there are two sets of voters, and a majority of
/// each is needed (joint consensus).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The voters; during a change, the ones after it.
    pub voters: Vec<NodeId>,
    /// The nodes that receive the log without a vote.
    pub learners: Vec<NodeId>,
    /// The voters before the change that goes on; empty: no change goes on.
    pub voters_outgoing: Vec<NodeId>,
    /// Outgoing voters that become learners when the change ends.
    pub learners_next: Vec<NodeId>,
    /// The leader ends the change by itself.
    pub auto_leave: bool,
}

/// The replicated state up to an entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The index of the last entry that is applied in it; 0: the node belongs to no fleet.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The configuration at that entry.
    pub configuration: Configuration,
    /// The encoded [`ClusterState`](super::state_machine::ClusterState).
    pub state: Vec<u8>,
}

impl SnapshotRecord {
    /// The last entry that is applied in it.
    pub fn last_entry(&self) -> EntryId {
        EntryId { term: self.term, index: self.index }
    }
}

/// One step of a change of the membership. All steps of a change take effect together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipStep {
    /// The node becomes a voter.
    AddVoter(NodeId),
    /// The node becomes a learner.
    AddLearner(NodeId),
    /// The node leaves.
    Remove(NodeId),
}
