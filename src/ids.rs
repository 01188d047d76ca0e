//! Identifiers that several modules share: requests, groups, zones, endpoints, consensus nodes and fleets.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a request. Assigned by the process that received the request and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Identifies a group: a primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u32);

/// Identifies a zone: a failure domain of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneId(pub u8);

/// Identifies an endpoint by its IPv4 address and port. Ordered by the bytes of the address, then by the port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId {
    /// The bytes of the IPv4 address in network order.
    pub ip: [u8; 4],
    /// The TCP port.
    pub port: u16,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ZoneId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for ZoneId {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<ZoneId, Self::Err> {
        text.parse().map(ZoneId)
    }
}

/// Identifies a node in the consensus. Drawn at random when the node's store is created, and kept in the store.
/// [`NodeId::NONE`] stands for no node.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

impl NodeId {
    /// No node: used if no vote was given or no leader is known.
    pub const NONE: NodeId = NodeId(0);
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Prints the bare number, as log lines about membership changes show it.
impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::LowerHex for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

/// Identifies a fleet, the set of nodes that share one replicated log. Drawn at random when the fleet is founded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FleetId(pub u128);

impl FleetId {
    /// No fleet: the node has not joined one yet.
    pub const NONE: FleetId = FleetId(0);

    /// Draws a new random id, never [`FleetId::NONE`].
    pub fn random() -> FleetId {
        FleetId(fastrand::u128(1..))
    }

    /// Whether this is [`FleetId::NONE`].
    pub fn is_none(self) -> bool {
        self == FleetId::NONE
    }
}

/// Log lines and answers to operators print the id with `{:032x}`.
impl fmt::LowerHex for FleetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}
