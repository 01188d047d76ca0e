//! The changes that are proposed to the state machine, and what becomes of them. The order of fields and variants is
//! part of the stored format and of the protocol between peers.

use crate::ids::{NodeId, ZoneId};
use crate::store::records::{MembershipStep, NamedHost};
use crate::store::zone_weights::ZoneWeight;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a drain request. An undrain names the requests that it undoes: one that its requester did not know of
/// stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DrainId {
    /// The node that an operator has sent the request to.
    pub node: NodeId,
    /// The node's own number for it; never used twice by a node.
    pub sequence: u64,
}

/// A drain request with its host. It acts wherever it is known, before it is committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PendingDrain {
    /// The name of the host.
    pub host: String,
    /// The request.
    pub drain: DrainId,
}

/// A node of the fleet, as the other nodes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name in its operator's file.
    pub name: String,
    /// The address at which its peers reach it, unless their own files name another one.
    pub address: SocketAddr,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A host gets no new requests.
    Drain {
        /// The name of the host.
        host: String,
        /// The request.
        drain: DrainId,
    },
    /// Drain requests of a host are undone.
    Undrain {
        /// The name of the host.
        host: String,
        /// The requests that the requester knew of.
        drains: Vec<DrainId>,
    },
    /// The difference between an inventory file and the committed inventory.
    Inventory {
        /// The name of the node that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// The version of the committed inventory that the file was compared with; 0: none was committed.
        base_version: u64,
        /// New and changed hosts.
        upserts: Vec<NamedHost>,
        /// The names of hosts that the file lacks.
        removals: Vec<String>,
    },
    /// The settings of the service.
    Settings {
        /// The name of the node that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// `path=value`, a line for each setting.
        text: String,
    },
    /// The weight of a zone.
    ZoneWeight {
        /// The zone.
        zone: ZoneId,
        /// The weight; its version follows that of the committed weight.
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
    /// Whether the change only takes hosts out of service. Such a change acts where it is requested before it is
    /// committed, and a leader need not confirm its leadership before it appends it.
    pub fn only_restricts(&self) -> bool {
        matches!(self, Change::Drain { .. })
    }
}

/// A change with its proposer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposer.
    pub from: NodeId,
    /// The proposer's number for it. A leader does not append the same proposal twice within a short time.
    pub token: u64,
    /// The change.
    pub change: Change,
}

/// A node that becomes a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoiningMember {
    /// The node.
    pub id: NodeId,
    /// What the other nodes know of it.
    pub member: Member,
}

/// A change of the membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// What the consensus does, all at once.
    pub steps: Vec<MembershipStep>,
    /// The node that becomes a member, if any.
    pub joining: Option<JoiningMember>,
}

/// What became of a committed change. Operators read the names of the variants in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force.
    Done,
    /// It was in force or undone already, or something newer is in force.
    Superseded,
    /// It is a difference from a version that is not the current one.
    StaleBase,
    /// It violates a limit.
    Rejected,
}
