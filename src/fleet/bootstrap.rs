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
mod tests {
    use super::*;
    use crate::store::state_machine::Member;

    fn hello(name: &str, id: u64, fleet: FleetId) -> Hello {
        let address = ([127, 0, 0, 1], id as u16).into();
        let witness = Witness { boots: 3, term: 5, last: (4, 90) };
        Hello { fleet, id: NodeId(id), name: name.into(), address, witness }
    }

    fn at(n: u16) -> SocketAddr {
        ([127, 0, 0, 1], n).into()
    }

    /// Guards against two fleets out of one: whatever each has heard, at most one founds without an operator.
    #[test]
    fn one_of_several_founds_and_only_when_all_have_answered() {
        let names = ["a", "b", "c", "d", "e"];
        for seed in 0..2000 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let size = rng.usize(1..=5);
            let mut founders = Vec::new();
            for (n, name) in names.iter().take(size).enumerate() {
                let others: Vec<usize> = (0..size).filter(|o| *o != n).collect();
                let named: Vec<SocketAddr> = others.iter().map(|o| at(*o as u16)).collect();
                let mut heard = BTreeMap::new();
                for o in others {
                    if rng.u8(..10) < 8 {
                        heard.insert(at(o as u16), hello(names[o], o as u64 + 1, 0));
                    }
                }
                match stand((name, NodeId(n as u64 + 1)), &named, &heard, false) {
                    Stand::Found(with) => {
                        assert_eq!(with.len(), size - 1, "seed {seed}");
                        founders.push(name);
                    }
                    Stand::Silent(silent) => assert_eq!(silent.len(), named.len() - heard.len()),
                    Stand::Later(first) => assert_eq!(first, "a"),
                    other => panic!("seed {seed}: {other:?}"),
                }
            }
            assert!(founders.len() <= 1, "seed {seed}: {founders:?}");
        }
    }

    #[test]
    fn a_fleet_that_is_there_is_joined_and_an_operator_may_go_ahead() {
        let named = [at(1), at(2)];
        let mut heard = BTreeMap::from([(at(1), hello("a", 1, 0))]);
        assert_eq!(stand(("b", NodeId(2)), &named, &heard, false), Stand::Silent(vec![at(2)]));
        assert_eq!(stand(("b", NodeId(2)), &named, &heard, true), Stand::Found(["a".to_string()].into()));
        heard.insert(at(2), hello("c", 3, 77));
        assert_eq!(stand(("b", NodeId(2)), &named, &heard, true), Stand::Joins(77));
        heard.insert(at(2), hello("b", 3, 0));
        assert_eq!(stand(("b", NodeId(2)), &named, &heard, false), Stand::Twice("b".into()));
    }

    /// Guards against a disk from before that votes as its old self, a removed daemon that goes on, and a stranger.
    #[test]
    fn what_a_daemon_says_of_itself_is_held_against_what_it_said_before() {
        let mut state = State::default();
        assert_eq!(judge(&state, None, &hello("b", 2, 0)), Verdict::Welcome);
        state.fleet = 7;
        state.members.insert(NodeId(1), Member { name: "a".into(), address: at(1) });
        state.removed.insert(NodeId(9), "x".into());
        assert_eq!(judge(&state, None, &hello("b", 2, 0)), Verdict::Candidate(vec![("a".into(), at(1))]));
        assert_eq!(judge(&state, None, &hello("b", 2, 8)), Verdict::Stranger);
        assert_eq!(judge(&state, None, &hello("x", 9, 7)), Verdict::Removed);
        assert_eq!(judge(&state, None, &hello("b", 2, 7)), Verdict::Welcome);
        state.former.insert(6);
        assert_eq!(judge(&state, None, &hello("b", 2, 6)), Verdict::Recovered);
        let said = hello("b", 2, 7).witness;
        for (known, wanted) in [
            (said, Verdict::Welcome),
            (Witness { boots: 4, ..said }, Verdict::Older),
            (Witness { term: 6, ..said }, Verdict::Older),
            (Witness { last: (4, 91), ..said }, Verdict::Older),
            (Witness { last: (3, 99), ..said }, Verdict::Welcome),
        ] {
            assert_eq!(judge(&state, Some(&known), &hello("b", 2, 7)), wanted, "{known:?}");
        }
    }
}
