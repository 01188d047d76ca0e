//! Identities that several parts of the program share: requests, groups, zones, endpoints, nodes of the
//! consensus and fleets.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A request, numbered by the process that received it; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A group: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u32);

/// A zone: a part of the deployment that fails as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneId(pub u8);

/// A backend that the endpoint list names, by its address. Ordered by the bytes of the address, then by the port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId {
    /// The four bytes of the address, first byte first.
    pub ip: [u8; 4],
    /// The port.
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

/// A node of the consensus: drawn at random when its store is created and kept there. See [`NodeId::NONE`].
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

impl NodeId {
    /// No node: no vote was given, or no leader is known.
    pub const NONE: NodeId = NodeId(0);
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The bare number, as log lines on membership changes print it.
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

/// A fleet: the set of nodes that share one replicated log. Drawn at random when the fleet is founded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FleetId(pub u128);

impl FleetId {
    /// No fleet: the node has not joined one yet.
    pub const NONE: FleetId = FleetId(0);

    /// A new identity. Never [`FleetId::NONE`].
    pub fn random() -> FleetId {
        FleetId(fastrand::u128(1..))
    }

    /// Whether this is no fleet.
    pub fn is_none(self) -> bool {
        self == FleetId::NONE
    }
}

/// As log lines and operators' answers print it, with `{:032x}`.
impl fmt::LowerHex for FleetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}
