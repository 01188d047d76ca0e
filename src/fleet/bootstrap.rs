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
pub struct Hello {
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
pub enum Verdict {
    /// Go on.
    Welcome,
    /// It is of another fleet.
    Stranger,
    /// It was removed from the fleet.
    Removed,
    /// It told more of itself once than its disk knows now.
    Older,
    /// Its fleet has ended: this one goes on from it, on an operator's word.
    Recovered,
    /// It is none of the fleet yet: these are the ones to ask.
    Candidate(Vec<(String, SocketAddr)>),
}

/// What to say to a daemon that was met.
pub fn judge(state: &State, known: Option<&Witness>, hello: &Hello) -> Verdict {
    if state.fleet == 0 {
        // Whoever has none itself judges nobody.
        return Verdict::Welcome;
    }
    if state.former.contains(&hello.fleet) {
        return Verdict::Recovered;
    }
    if state.removed.contains_key(&hello.id) {
        return Verdict::Removed;
    }
    if hello.fleet == 0 {
        let others = state.members.values().map(|m| (m.name.clone(), m.address));
        return Verdict::Candidate(others.collect());
    }
    if hello.fleet != state.fleet {
        return Verdict::Stranger;
    }
    match known {
        Some(known) if known.outdates(&hello.witness) => Verdict::Older,
        _ => Verdict::Welcome,
    }
}

/// Where a daemon without a fleet stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stand {
    /// These have not answered yet.
    Silent(Vec<SocketAddr>),
    /// This daemon founds the fleet, with daemons of these names.
    Found(BTreeSet<String>),
    /// The daemon of this name has to found it.
    Later(String),
    /// There is one, which has to take this daemon in.
    Joins(FleetId),
    /// Two daemons have the same name.
    Twice(String),
}

impl std::fmt::Display for Stand {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Stand::Silent(peers) => {
                let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
                write!(f, "waits for an answer of {}", peers.join(", "))
            }
            Stand::Found(_) => write!(f, "founds the fleet"),
            Stand::Later(name) => write!(f, "waits for {name} to found the fleet"),
            Stand::Joins(fleet) => write!(f, "waits to be taken into fleet {fleet:032x}"),
            Stand::Twice(name) => write!(f, "another daemon is named {name} as well"),
        }
    }
}

/// What a daemon that never had an agreed configuration is to do. A fleet is founded by the one of the lowest
/// name, once all that its file names have answered that they have none either, or on an operator's word by
/// whoever it is said to, with those that have answered.
pub fn stand(
    me: (&str, NodeId),
    named: &[SocketAddr],
    heard: &BTreeMap<SocketAddr, Hello>,
    word: bool,
) -> Stand {
    if let Some(other) = heard.values().find(|h| h.fleet != 0) {
        return Stand::Joins(other.fleet);
    }
    let others: BTreeMap<&str, NodeId> =
        heard.values().filter(|h| h.id != me.1).map(|h| (h.name.as_str(), h.id)).collect();
    if others.contains_key(me.0) {
        return Stand::Twice(me.0.to_string());
    }
    let silent: Vec<SocketAddr> = named.iter().filter(|a| !heard.contains_key(a)).copied().collect();
    if !silent.is_empty() && !word {
        return Stand::Silent(silent);
    }
    match others.keys().next() {
        Some(first) if *first < me.0 && !word => Stand::Later(first.to_string()),
        _ => Stand::Found(others.keys().map(|n| n.to_string()).collect()),
    }
}

#[cfg(test)]
mod tests;
