//! Which node founds a fleet, and which handshakes are accepted.

use super::*;
use crate::store::records::EntryId;
use crate::store::state_machine::Member;

/// The handshake of node `id`, with fixed progress.
fn handshake(name: &str, id: u64, fleet: u128) -> Handshake {
    let address = ([127, 0, 0, 1], id as u16).into();
    let progress = PersistedProgress { boot_count: 3, term: 5, last_entry: EntryId { term: 4, index: 90 } };
    Handshake { fleet: FleetId(fleet), id: NodeId(id), name: name.into(), address, progress }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// What this node does without an operator's order.
fn state_of(
    name: &str,
    id: u64,
    configured_peers: &[SocketAddr],
    answers: &BTreeMap<SocketAddr, Handshake>,
) -> BootstrapState {
    Bootstrap { name, id: NodeId(id), configured_peers, answers, ordered_by_operator: false }.state()
}

/// What this node does on an operator's order.
fn state_when_ordered(
    name: &str,
    id: u64,
    configured_peers: &[SocketAddr],
    answers: &BTreeMap<SocketAddr, Handshake>,
) -> BootstrapState {
    Bootstrap { name, id: NodeId(id), configured_peers, answers, ordered_by_operator: true }.state()
}

/// Guards against two fleets founded instead of one: whichever replies each node received, at most one founds a fleet
/// without an operator.
#[test]
fn at_most_one_node_founds_and_only_after_all_have_answered() {
    let names = ["a", "b", "c", "d", "e"];
    for seed in 0..2000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let size = rng.usize(1..=5);
        let mut founders = Vec::new();
        for (index, name) in names.iter().take(size).enumerate() {
            let others: Vec<usize> = (0..size).filter(|other| *other != index).collect();
            let configured: Vec<SocketAddr> = others.iter().map(|other| address(*other as u16)).collect();
            let mut answers = BTreeMap::new();
            for other in others {
                if rng.u8(..10) < 8 {
                    answers.insert(address(other as u16), handshake(names[other], other as u64 + 1, 0));
                }
            }
            match state_of(name, index as u64 + 1, &configured, &answers) {
                BootstrapState::FoundsFleet(names) => {
                    assert_eq!(names.len(), size - 1, "seed {seed}");
                    founders.push(name);
                }
                BootstrapState::AwaitingAnswers(silent) => {
                    assert_eq!(silent.len(), configured.len() - answers.len())
                }
                BootstrapState::AwaitsFounder(first) => assert_eq!(first, "a"),
                other => panic!("seed {seed}: {other:?}"),
            }
        }
        assert!(founders.len() <= 1, "seed {seed}: {founders:?}");
    }
}

#[test]
fn an_existing_fleet_is_joined_and_an_operator_may_order_the_founding() {
    let configured = [address(1), address(2)];
    let mut answers = BTreeMap::from([(address(1), handshake("a", 1, 0))]);
    assert_eq!(state_of("b", 2, &configured, &answers), BootstrapState::AwaitingAnswers(vec![address(2)]));
    assert_eq!(
        state_when_ordered("b", 2, &configured, &answers),
        BootstrapState::FoundsFleet(["a".to_string()].into())
    );
    answers.insert(address(2), handshake("c", 3, 77));
    assert_eq!(
        state_when_ordered("b", 2, &configured, &answers),
        BootstrapState::AwaitsAdmission(FleetId(77))
    );
    answers.insert(address(2), handshake("b", 3, 0));
    assert_eq!(state_of("b", 2, &configured, &answers), BootstrapState::DuplicateName("b".into()));
}

/// Guards against accepting a node whose storage was restored from an earlier copy and could vote again, a removed
/// member, or a node of another fleet.
#[test]
fn a_handshake_is_compared_with_the_fleet_and_with_earlier_reports() {
    let mut state = ClusterState::default();
    assert_eq!(check_handshake(&state, None, &handshake("b", 2, 0)), HandshakeVerdict::Accepted);
    state.fleet = FleetId(7);
    state.members.insert(NodeId(1), Member { name: "a".into(), address: address(1) });
    state.removed.insert(NodeId(9), "x".into());
    assert_eq!(
        check_handshake(&state, None, &handshake("b", 2, 0)),
        HandshakeVerdict::NotYetMember(vec![MemberAddress { name: "a".into(), address: address(1) }])
    );
    assert_eq!(check_handshake(&state, None, &handshake("b", 2, 8)), HandshakeVerdict::OtherFleet);
    assert_eq!(check_handshake(&state, None, &handshake("x", 9, 7)), HandshakeVerdict::RemovedMember);
    assert_eq!(check_handshake(&state, None, &handshake("b", 2, 7)), HandshakeVerdict::Accepted);
    state.previous_fleets.insert(FleetId(6));
    assert_eq!(check_handshake(&state, None, &handshake("b", 2, 6)), HandshakeVerdict::SupersededFleet);
    let reported = handshake("b", 2, 7).progress;
    for (known, expected) in [
        (reported, HandshakeVerdict::Accepted),
        (PersistedProgress { boot_count: 4, ..reported }, HandshakeVerdict::OutdatedStorage),
        (PersistedProgress { term: 6, ..reported }, HandshakeVerdict::OutdatedStorage),
        (
            PersistedProgress { last_entry: EntryId { term: 4, index: 91 }, ..reported },
            HandshakeVerdict::OutdatedStorage,
        ),
        (
            PersistedProgress { last_entry: EntryId { term: 3, index: 99 }, ..reported },
            HandshakeVerdict::Accepted,
        ),
    ] {
        assert_eq!(check_handshake(&state, Some(&known), &handshake("b", 2, 7)), expected, "{known:?}");
    }
}
