//! How a fleet is founded, and which peers a node accepts. No I/O.
//!
//! A node that never had a committed configuration belongs to no fleet (fleet id 0). [`Bootstrap::state`] determines
//! whether it founds one or what it waits for. [`check_handshake`] determines whether a peer may exchange messages with
//! this node.

use crate::ids::{FleetId, NodeId};
use crate::store::state_machine::{ClusterState, Member};
use crate::store::storage::PersistedProgress;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// The first message of a connection, in which a node describes itself. The field order is part of the message format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// The sender's fleet; [`FleetId::NONE`] if it belongs to none.
    pub fleet: FleetId,
    /// The sender's id.
    pub id: NodeId,
    /// The sender's name in its operator's file.
    pub name: String,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
    /// The progress of its storage. Peers compare it with earlier reports to detect that the storage was restored from
    /// an older copy.
    pub progress: PersistedProgress,
}

/// A member of a fleet, as sent to a node that has yet to join.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The member's name.
    pub name: String,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
}

/// The result of checking a handshake. The variant order is part of the message format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandshakeVerdict {
    /// The sender may exchange messages with this node.
    Accepted,
    /// The sender is a member of another fleet.
    OtherFleet,
    /// The sender was removed from the fleet.
    RemovedMember,
    /// The sender's storage is behind what it reported before, so it was restored from an earlier copy.
    OutdatedStorage,
    /// An operator founded this fleet from the sender's, which it supersedes.
    SupersededFleet,
    /// The sender is not a member of the fleet yet. Contains the current members.
    NotYetMember(Vec<MemberAddress>),
}

/// Checks the handshake of a peer. `known` is the furthest progress ever reported for this peer's storage.
pub fn check_handshake(
    state: &ClusterState,
    known: Option<&PersistedProgress>,
    handshake: &Handshake,
) -> HandshakeVerdict {
    if state.fleet.is_none() {
        // A node without a fleet has nothing to check the peer against.
        return HandshakeVerdict::Accepted;
    }
    if state.previous_fleets.contains(&handshake.fleet) {
        return HandshakeVerdict::SupersededFleet;
    }
    if state.removed.contains_key(&handshake.id) {
        return HandshakeVerdict::RemovedMember;
    }
    if handshake.fleet.is_none() {
        let members = state.members.values();
        let addresses =
            members.map(|Member { name, address }| MemberAddress { name: name.clone(), address: *address });
        return HandshakeVerdict::NotYetMember(addresses.collect());
    }
    if handshake.fleet != state.fleet {
        return HandshakeVerdict::OtherFleet;
    }
    match known {
        Some(known) if known.is_ahead_of(&handshake.progress) => HandshakeVerdict::OutdatedStorage,
        _ => HandshakeVerdict::Accepted,
    }
}

/// Whether nodes of these fleets may exchange messages: the fleets are the same, or one node has none yet.
pub fn fleets_are_compatible(one: FleetId, other: FleetId) -> bool {
    one == other || one.is_none() || other.is_none()
}

/// What a node without a fleet does next. The `Display` text is shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapState {
    /// It waits for the configured peers at these addresses, which have not replied yet.
    AwaitingAnswers(Vec<SocketAddr>),
    /// It founds the fleet. Nodes with these names get a vote when they join.
    FoundsFleet(BTreeSet<String>),
    /// It waits for the node with this name to found the fleet.
    AwaitsFounder(String),
    /// It waits for this existing fleet to admit it.
    AwaitsAdmission(FleetId),
    /// It cannot continue, since another node has the same name.
    DuplicateName(String),
}

impl fmt::Display for BootstrapState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootstrapState::AwaitingAnswers(peers) => {
                let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
                write!(f, "waits for an answer of {}", peers.join(", "))
            }
            BootstrapState::FoundsFleet(_) => write!(f, "founds the fleet"),
            BootstrapState::AwaitsFounder(name) => write!(f, "waits for {name} to found the fleet"),
            BootstrapState::AwaitsAdmission(fleet) => write!(f, "waits to be taken into fleet {fleet:032x}"),
            BootstrapState::DuplicateName(name) => write!(f, "another daemon is named {name} as well"),
        }
    }
}

/// The inputs for the decision on founding a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap<'a> {
    /// This node's name.
    pub name: &'a str,
    /// This node's id.
    pub id: NodeId,
    /// The peer addresses in the operator's file.
    pub configured_peers: &'a [SocketAddr],
    /// The last handshake from each address that has replied.
    pub answers: &'a BTreeMap<SocketAddr, Handshake>,
    /// Whether an operator ordered this node to found the fleet with the nodes that have replied.
    pub ordered_by_operator: bool,
}

impl Bootstrap<'_> {
    /// What this node does next. The node with the lowest name founds the fleet once all configured peers have replied
    /// that they belong to no fleet either, so at most one node founds a fleet without an operator. A node that an
    /// operator ordered to found a fleet does so with the peers that have replied.
    pub fn state(&self) -> BootstrapState {
        if let Some(member) = self.answers.values().find(|peer| !peer.fleet.is_none()) {
            return BootstrapState::AwaitsAdmission(member.fleet);
        }
        let others = self.answers.values().filter(|peer| peer.id != self.id);
        let names: BTreeSet<&str> = others.map(|peer| peer.name.as_str()).collect();
        if names.contains(self.name) {
            return BootstrapState::DuplicateName(self.name.to_string());
        }
        let has_not_answered = |address: &&SocketAddr| !self.answers.contains_key(address);
        let silent: Vec<SocketAddr> =
            self.configured_peers.iter().filter(has_not_answered).copied().collect();
        if !silent.is_empty() && !self.ordered_by_operator {
            return BootstrapState::AwaitingAnswers(silent);
        }
        match names.first() {
            Some(lowest) if *lowest < self.name && !self.ordered_by_operator => {
                BootstrapState::AwaitsFounder(lowest.to_string())
            }
            _ => BootstrapState::FoundsFleet(names.iter().map(|name| name.to_string()).collect()),
        }
    }
}

#[cfg(test)]
mod tests;
