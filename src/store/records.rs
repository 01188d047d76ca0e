//! Serde types of the records that storage holds and peers exchange.
//!
//! The `raft` crate has its own protobuf types. They are converted from decoded records, so that bytes from a socket
//! or a disk never reach the protobuf parser. The order and types of the fields, and the order of the variants, are
//! part of the stored format and of the protocol between peers.

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
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// The group that it belongs to.
    pub group: GroupId,
    /// The zone in which it runs.
    pub zone: ZoneId,
    /// Its capacity relative to other hosts.
    pub weight: f64,
    /// Whether the inventory marks it as draining. Drain requests are kept apart: committed ones in
    /// `ClusterState::drains`, pending ones in `fleet::pending_drains`.
    pub draining: bool,
    /// When its process last started, as the inventory states it; `None` if that is unknown. See
    /// [`HostRecord::valid_start`].
    pub started_at: Option<Timestamp>,
}

/// Whether a drain request for a host is in force, committed or pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainRequest {
    /// No drain request for the host is in force.
    Absent,
    /// A drain request for the host is in force.
    InForce,
}

impl HostRecord {
    /// Converts a record of an endpoint list. Its name and its role are not kept.
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

    /// When its process last started; `None` if that is unknown or no valid time, which earlier versions have accepted.
    pub fn valid_start(&self) -> Option<Timestamp> {
        self.started_at.filter(|started_at| started_at.is_valid())
    }

    /// Converts to a record of an endpoint list. The host is listed as draining if a drain request for it is in force
    /// or the inventory marks it as draining.
    pub fn endpoint_record(&self, name: &str, drain: DrainRequest) -> EndpointRecord {
        let is_draining = drain == DrainRequest::InForce || self.draining;
        EndpointRecord {
            name: name.to_string(),
            address: self.address,
            zone: self.zone,
            group: self.group,
            availability: if is_draining { Availability::Draining } else { Availability::Ready },
            primary: false,
            weight: self.weight,
            started_at: self.valid_start(),
        }
    }
}

/// A host with the name that the inventory gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedHost {
    /// The name in the inventory, unique in it.
    pub name: String,
    /// The host with this name.
    pub host: HostRecord,
}

/// Identifies a log entry. Ids are ordered as Raft compares logs: by term, then by index. The default is less than the
/// id of any entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The term in which a leader appended the entry.
    pub term: u64,
    /// The index in the log, starting at 1.
    pub index: u64,
}

/// The stored id of the last entry that compaction has dropped. Unlike in [`EntryId`], the index comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactionRecord {
    /// The index of the dropped entry.
    pub index: u64,
    /// The term of the dropped entry.
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

/// An entry of the Raft log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The index in the log, starting at 1.
    pub index: u64,
    /// The term in which a leader appended the entry.
    pub term: u64,
    /// [`LogEntry::CHANGE`] or [`LogEntry::MEMBERSHIP`].
    pub kind: u8,
    /// The encoded proposal or membership change. Empty for an entry without a change, which each new leader appends.
    pub payload: Vec<u8>,
}

impl LogEntry {
    /// The kind of an entry that changes the replicated state.
    pub const CHANGE: u8 = 0;
    /// The kind of an entry that changes the membership. The value 1 is the older kind of such entries in
    /// `eraftpb.proto` and is not used.
    pub const MEMBERSHIP: u8 = 2;

    /// The term and index of the entry.
    pub fn id(&self) -> EntryId {
        EntryId { term: self.term, index: self.index }
    }
}

/// The hard state of Raft. A node that lost it could vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term that the node is in.
    pub term: u64,
    /// The candidate that received this node's vote in the term, or [`NodeId::NONE`] if it has not voted.
    pub vote: NodeId,
    /// The index of the last entry that is known to be committed.
    pub commit: u64,
}

impl HardState {
    /// The vote in the current term.
    pub fn current_vote(&self) -> Vote {
        Vote { term: self.term, candidate: self.vote }
    }
}

/// The vote of a node in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// The term of the election.
    pub term: u64,
    /// The candidate, or [`NodeId::NONE`] if the node has not voted.
    pub candidate: NodeId,
}

/// The nodes that participate in the consensus. While a change of several voters is in progress there are two sets of
/// voters, and a majority of each is required (joint consensus).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The voters; during a change, the voters after the change.
    pub voters: Vec<NodeId>,
    /// The nodes that receive the log but do not vote.
    pub learners: Vec<NodeId>,
    /// The voters before the change in progress; empty if no change is in progress.
    pub voters_outgoing: Vec<NodeId>,
    /// Outgoing voters that become learners when the change completes.
    pub learners_next: Vec<NodeId>,
    /// Whether the leader completes the change by itself.
    pub auto_leave: bool,
}

/// A snapshot of the replicated state after a log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The index of the last entry that is applied in the snapshot; 0 if the node belongs to no fleet.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The configuration at that entry.
    pub configuration: Configuration,
    /// The encoded [`ClusterState`](super::state_machine::ClusterState).
    pub state: Vec<u8>,
}

impl SnapshotRecord {
    /// The last entry that is applied in the snapshot.
    pub fn last_entry(&self) -> EntryId {
        EntryId { term: self.term, index: self.index }
    }
}

/// One step of a membership change. All steps of a change take effect together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipStep {
    /// The node becomes a voter.
    AddVoter(NodeId),
    /// The node becomes a learner.
    AddLearner(NodeId),
    /// The node is removed.
    Remove(NodeId),
}
