//! What is proposed to the state machine.

use crate::ids::{NodeId, ZoneId};
use crate::store::records::{HostRecord, MembershipStep};
use crate::store::zone_weights::ZoneWeight;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One drain that was said: who said it, and that daemon's count of what it said. It is undone only by whoever
/// had heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DrainId {
    /// The daemon.
    pub node: NodeId,
    /// Its count.
    pub sequence: u64,
}

/// A drain of a host that the log may not have resolved yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PendingDrain {
    /// The host's name.
    pub host: String,
    /// Which drain of it this is.
    pub drain: DrainId,
}

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name in its operator's file.
    pub name: String,
    /// Where the others reach it, unless their own files say otherwise.
    pub address: std::net::SocketAddr,
}

/// A change that is proposed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Nothing new to a host.
    Drain {
        /// The host's name.
        host: String,
        /// Which drain this is.
        drain: DrainId,
    },
    /// These drains of a host end; others of it stay.
    Undrain {
        /// The host's name.
        host: String,
        /// The drains that the one who says it had heard of.
        drains: Vec<DrainId>,
    },
    /// What an inventory file says differently from the agreed one.
    Inventory {
        /// The daemon that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// The version of the agreed inventory that this was compared with.
        base_version: u64,
        /// New and changed hosts.
        upserts: Vec<(String, HostRecord)>,
        /// Hosts that are gone.
        removals: Vec<String>,
    },
    /// The settings of the service.
    Settings {
        /// The daemon that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// A line for each path.
        text: String,
    },
    /// A zone gets this part of its usual reads.
    ZoneWeight {
        /// Its number.
        zone: ZoneId,
        /// The share; its number is one more than that of the one before.
        weight: ZoneWeight,
    },
    /// What an inventory file says of regions.
    Regions {
        /// The daemon that read the file.
        read_by: String,
        /// When the file was last changed.
        changed_at: Timestamp,
        /// By zone.
        regions: BTreeMap<ZoneId, String>,
    },
}

impl Change {
    /// Whether it only takes away: such a change acts where it is said before it is agreed.
    pub fn only_restricts(&self) -> bool {
        matches!(self, Change::Drain { .. })
    }
}

/// A change on its way into the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Whose it is.
    pub from: NodeId,
    /// That daemon's number for it.
    pub token: u64,
    /// What is to change.
    pub change: Change,
}

/// A daemon that becomes a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoiningMember {
    /// Its id.
    pub id: NodeId,
    /// What the members know of it.
    pub member: Member,
}

/// A change of the membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// What the consensus is to do, all at once.
    pub steps: Vec<MembershipStep>,
    /// A daemon that comes in.
    pub joining: Option<JoiningMember>,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force.
    Done,
    /// It was agreed before, or something newer was.
    Superseded,
    /// It was compared with a version that is no longer the last one.
    StaleBase,
    /// It is out of bounds.
    Rejected,
}
