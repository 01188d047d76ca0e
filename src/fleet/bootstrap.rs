//! How a fleet begins, and what daemons make of one another when they meet. No I/O.

use crate::ids::NodeId;
use crate::store::records::FleetId;
use crate::store::state_machine::State;
use crate::store::storage::Witness;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a daemon says of itself when it meets another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// Its fleet; 0: none yet.
    pub fleet: FleetId,
    /// Itself.
    pub id: NodeId,
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What its disk holds.
    pub witness: Witness,
}

/// What the one that was met says to that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandshakeVerdict {
    /// Go on.
    Accepted,
    /// It is of another fleet.
    OtherFleet,
    /// It was removed from the fleet.
    RemovedMember,
    /// It told more of itself once than its disk knows now.
    OutdatedStorage,
    /// Its fleet has ended: this one goes on from it, on an operator's word.
    SupersededFleet,
    /// It is none of the fleet yet: these are the ones to ask.
    NotYetMember(Vec<(String, SocketAddr)>),
}

/// What to say to a daemon that was met.
pub fn judge_handshake(state: &State, known: Option<&Witness>, hello: &Handshake) -> HandshakeVerdict {
    if state.fleet == 0 {
        // Whoever has none itself judges nobody.
        return HandshakeVerdict::Accepted;
    }
    if state.former.contains(&hello.fleet) {
        return HandshakeVerdict::SupersededFleet;
    }
    if state.removed.contains_key(&hello.id) {
        return HandshakeVerdict::RemovedMember;
    }
    if hello.fleet == 0 {
        let others = state.members.values().map(|m| (m.name.clone(), m.address));
        return HandshakeVerdict::NotYetMember(others.collect());
    }
    if hello.fleet != state.fleet {
        return HandshakeVerdict::OtherFleet;
    }
    match known {
        Some(known) if known.outdates(&hello.witness) => HandshakeVerdict::OutdatedStorage,
        _ => HandshakeVerdict::Accepted,
    }
}

/// Where a daemon without a fleet stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapState {
    /// These have not answered yet.
    AwaitingAnswers(Vec<SocketAddr>),
    /// This daemon founds the fleet, with daemons of these names.
    FoundsFleet(BTreeSet<String>),
    /// The daemon of this name has to found it.
    AwaitsFounder(String),
    /// There is one, which has to take this daemon in.
    AwaitsAdmission(FleetId),
    /// Two daemons have the same name.
    DuplicateName(String),
}

impl std::fmt::Display for BootstrapState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
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

/// What a daemon that never had an agreed configuration is to do. A fleet is founded by the one of the lowest
/// name, once all that its file names have answered that they have none either, or on an operator's word by
/// whoever it is said to, with those that have answered.
pub fn bootstrap_state(
    me: (&str, NodeId),
    named: &[SocketAddr],
    heard: &BTreeMap<SocketAddr, Handshake>,
    word: bool,
) -> BootstrapState {
    if let Some(other) = heard.values().find(|h| h.fleet != 0) {
        return BootstrapState::AwaitsAdmission(other.fleet);
    }
    let others: BTreeMap<&str, NodeId> =
        heard.values().filter(|h| h.id != me.1).map(|h| (h.name.as_str(), h.id)).collect();
    if others.contains_key(me.0) {
        return BootstrapState::DuplicateName(me.0.to_string());
    }
    let silent: Vec<SocketAddr> = named.iter().filter(|a| !heard.contains_key(a)).copied().collect();
    if !silent.is_empty() && !word {
        return BootstrapState::AwaitingAnswers(silent);
    }
    match others.keys().next() {
        Some(first) if *first < me.0 && !word => BootstrapState::AwaitsFounder(first.to_string()),
        _ => BootstrapState::FoundsFleet(others.keys().map(|n| n.to_string()).collect()),
    }
}

#[cfg(test)]
mod tests;
