//! How a fleet is founded, and how two nodes judge each other when they connect. No I/O.
//!
//! A node that never had an agreed configuration belongs to no fleet (fleet id 0). [`Bootstrap::state`] says
//! whether it founds one or what it waits for; [`judge_handshake`] says whether a peer may exchange messages
//! with this node.

use crate::ids::{FleetId, NodeId};
use crate::store::state_machine::{ClusterState, Member};
use crate::store::storage::PersistedProgress;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// The first message of a connection: what a node says of itself. The order of the fields is that of the bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// The fleet that it belongs to; 0 for none.
    pub fleet: FleetId,
    /// Its id.
    pub id: NodeId,
    /// Its name in its operator's file.
    pub name: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// How far its storage is, for peers to detect one that was put back to an earlier copy.
    pub progress: PersistedProgress,
}

/// A member of a fleet, for a node that is to join it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// Its name.
    pub name: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// The answer to a handshake. The order of the variants is that of the bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandshakeVerdict {
    /// Messages may follow.
    Accepted,
    /// The sender is a member of another fleet.
    OtherFleet,
    /// The sender was removed from the fleet.
    RemovedMember,
    /// The sender's storage knows less than it once reported: it was put back to an earlier copy.
    OutdatedStorage,
    /// An operator founded this fleet anew from the sender's, which it supersedes.
    SupersededFleet,
    /// The sender is not a member of the fleet yet; these are the members.
    NotYetMember(Vec<MemberAddress>),
}

/// Judges the handshake of a peer. `known` is the furthest that this peer's storage was ever reported to be.
pub fn judge_handshake(
    state: &ClusterState,
    known: Option<&PersistedProgress>,
    handshake: &Handshake,
) -> HandshakeVerdict {
    if state.fleet.is_none() {
        // A node without a fleet has nothing to compare the peer with.
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

/// Whether nodes of these fleets may exchange messages: they are of one fleet, or one of them has none yet.
pub fn fleets_are_compatible(one: FleetId, other: FleetId) -> bool {
    one == other || one.is_none() || other.is_none()
}

/// What a node without a fleet does. Operators read the `Display` text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapState {
    /// Configured peers at these addresses have not answered yet.
    AwaitingAnswers(Vec<SocketAddr>),
    /// This node founds the fleet; nodes of these names get a vote as they join.
    FoundsFleet(BTreeSet<String>),
    /// The node of this name has to found the fleet.
    AwaitsFounder(String),
    /// A fleet exists and has to admit this node.
    AwaitsAdmission(FleetId),
    /// Another node has this node's name.
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

/// What the founding of a fleet depends on.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap<'a> {
    /// This node's name.
    pub name: &'a str,
    /// This node's id.
    pub id: NodeId,
    /// The addresses of peers in the operator's file.
    pub configured_peers: &'a [SocketAddr],
    /// The last handshake from each address that has answered.
    pub answers: &'a BTreeMap<SocketAddr, Handshake>,
    /// An operator has ordered to found the fleet with the nodes that have answered.
    pub ordered_by_operator: bool,
}

impl Bootstrap<'_> {
    /// What this node does. The node of the lowest name founds the fleet once all configured peers have answered
    /// that they have none either; so at most one node founds without an operator. On an operator's order the
    /// node that got it founds, with the peers that have answered.
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
