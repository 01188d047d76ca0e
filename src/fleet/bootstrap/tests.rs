use super::*;
use crate::store::state_machine::Member;

fn hello(name: &str, id: u64, fleet: FleetId) -> Handshake {
    let address = ([127, 0, 0, 1], id as u16).into();
    let witness = Witness { boots: 3, term: 5, last: (4, 90) };
    Handshake { fleet, id: NodeId(id), name: name.into(), address, witness }
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
            match bootstrap_state((name, NodeId(n as u64 + 1)), &named, &heard, false) {
                BootstrapState::FoundsFleet(with) => {
                    assert_eq!(with.len(), size - 1, "seed {seed}");
                    founders.push(name);
                }
                BootstrapState::AwaitingAnswers(silent) => {
                    assert_eq!(silent.len(), named.len() - heard.len())
                }
                BootstrapState::AwaitsFounder(first) => assert_eq!(first, "a"),
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
    assert_eq!(
        bootstrap_state(("b", NodeId(2)), &named, &heard, false),
        BootstrapState::AwaitingAnswers(vec![at(2)])
    );
    assert_eq!(
        bootstrap_state(("b", NodeId(2)), &named, &heard, true),
        BootstrapState::FoundsFleet(["a".to_string()].into())
    );
    heard.insert(at(2), hello("c", 3, 77));
    assert_eq!(bootstrap_state(("b", NodeId(2)), &named, &heard, true), BootstrapState::AwaitsAdmission(77));
    heard.insert(at(2), hello("b", 3, 0));
    assert_eq!(
        bootstrap_state(("b", NodeId(2)), &named, &heard, false),
        BootstrapState::DuplicateName("b".into())
    );
}

/// Guards against a disk from before that votes as its old self, a removed daemon that goes on, and a stranger.
#[test]
fn what_a_daemon_says_of_itself_is_held_against_what_it_said_before() {
    let mut state = State::default();
    assert_eq!(judge_handshake(&state, None, &hello("b", 2, 0)), HandshakeVerdict::Accepted);
    state.fleet = 7;
    state.members.insert(NodeId(1), Member { name: "a".into(), address: at(1) });
    state.removed.insert(NodeId(9), "x".into());
    assert_eq!(
        judge_handshake(&state, None, &hello("b", 2, 0)),
        HandshakeVerdict::NotYetMember(vec![("a".into(), at(1))])
    );
    assert_eq!(judge_handshake(&state, None, &hello("b", 2, 8)), HandshakeVerdict::OtherFleet);
    assert_eq!(judge_handshake(&state, None, &hello("x", 9, 7)), HandshakeVerdict::RemovedMember);
    assert_eq!(judge_handshake(&state, None, &hello("b", 2, 7)), HandshakeVerdict::Accepted);
    state.former.insert(6);
    assert_eq!(judge_handshake(&state, None, &hello("b", 2, 6)), HandshakeVerdict::SupersededFleet);
    let said = hello("b", 2, 7).witness;
    for (known, wanted) in [
        (said, HandshakeVerdict::Accepted),
        (Witness { boots: 4, ..said }, HandshakeVerdict::OutdatedStorage),
        (Witness { term: 6, ..said }, HandshakeVerdict::OutdatedStorage),
        (Witness { last: (4, 91), ..said }, HandshakeVerdict::OutdatedStorage),
        (Witness { last: (3, 99), ..said }, HandshakeVerdict::Accepted),
    ] {
        assert_eq!(judge_handshake(&state, Some(&known), &hello("b", 2, 7)), wanted, "{known:?}");
    }
}
