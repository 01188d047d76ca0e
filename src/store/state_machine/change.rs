//! The changes that are proposed to the state machine, and the results of applying them. The order of fields and
//! variants is part of the stored format and of the protocol between peers.

use crate::ids::{NodeId, ZoneId};
use crate::store::records::{MembershipStep, NamedHost};
use crate::store::zone_weights::ZoneWeight;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a drain request. An undrain lists the ids that it undoes, so that a drain request stays in force if the
/// node that proposed the undrain did not know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DrainId {
    /// The node that received the request from an operator, or imported it from a store of version 0.2.0.
    pub node: NodeId,
    /// The node's number for the request; a node never uses a number twice.
    pub sequence: u64,
}

/// A drain request that is not known to be committed or undone, with its host. Every node that knows it stops sending
/// new requests to the host at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PendingDrain {
    /// The name of the host.
    pub host: String,
    /// The id of the drain request.
    pub drain: DrainId,
}

/// What the replicated state records about a node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name from the node's operator's file.
    pub name: String,
    /// The address at which peers reach the node, unless their own operator's files give another one.
    pub address: SocketAddr,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A host receives no new requests.
    Drain {
        /// The name of the host.
        host: String,
        /// The id of the drain request.
        drain: DrainId,
    },
    /// Drain requests of a host are undone.
    Undrain {
        /// The name of the host.
        host: String,
        /// The drain requests to undo: those that the node that proposed the undrain knew of.
        drains: Vec<DrainId>,
    },
    /// The difference from the committed inventory to an inventory file.
    Inventory {
        /// The name of the node that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// The version of the committed inventory that the file was compared with; 0 if none was committed.
        base_version: u64,
        /// New and changed hosts.
        upserts: Vec<NamedHost>,
        /// The names of hosts that are missing in the file.
        removals: Vec<String>,
    },
    /// The settings of the service.
    Settings {
        /// The name of the node that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// One `path=value` line for each setting.
        text: String,
    },
    /// The traffic weight of a zone.
    ZoneWeight {
        /// The zone that receives the weight.
        zone: ZoneId,
        /// The new weight. Its version must be one more than that of the committed weight.
        weight: ZoneWeight,
    },
    /// The regions of an inventory file.
    Regions {
        /// The name of the node that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// The region of each zone that has one.
        regions: BTreeMap<ZoneId, String>,
    },
}

impl Change {
    /// A change without effect. Its commit shows a node that it has applied everything that was committed before.
    pub fn no_op() -> Change {
        Change::Undrain { host: String::new(), drains: Vec::new() }
    }

    /// Whether applying the change leaves the state as it is, whatever the state.
    pub fn is_no_op(&self) -> bool {
        matches!(self, Change::Undrain { drains, .. } if drains.is_empty())
    }

    /// Whether the change only takes hosts out of service, as a drain does. Such a change takes effect on every node
    /// that knows of it before it is committed, and a leader appends it without confirming its leadership first.
    pub fn only_removes_hosts_from_service(&self) -> bool {
        matches!(self, Change::Drain { .. })
    }
}

/// A proposed change, with the node that proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The node that proposed the change.
    pub from: NodeId,
    /// The proposer's number for the proposal. A leader uses it to not append a repeated proposal twice.
    pub token: u64,
    /// The change to commit.
    pub change: Change,
}

/// A node that becomes a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoiningMember {
    /// The id of the joining node.
    pub id: NodeId,
    /// The name and address of the joining node.
    pub member: Member,
}

/// A change of the members and of the Raft configuration, appended as one log entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// The changes of the Raft configuration. They take effect together.
    pub steps: Vec<MembershipStep>,
    /// The node that becomes a member; `None` if no node joins.
    pub joining: Option<JoiningMember>,
}

/// The result of applying a committed change. Operators read the names of the variants in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The change took effect.
    Done,
    /// The change was already in force or undone, or a newer one is in force.
    Superseded,
    /// The change is a difference from a version of the inventory that is not the current one.
    StaleBase,
    /// The change violates a limit, such as [`MAX_HOSTS`](super::MAX_HOSTS).
    Rejected,
}
