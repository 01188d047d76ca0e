//! Drains between their request and their commit, and the bounds of their number.

use super::*;

/// Guards against losing a drain that was requested in a minority, and against an undrain that undoes a drain which the
/// node that requested the undrain had not received. In each seeded run, three nodes exchange drains at random and any
/// of them proposes its own to one log.
#[test]
fn a_drain_takes_effect_where_it_is_known_until_the_log_resolves_it() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = ClusterState::default();
        let mut nodes: Vec<PendingDrains> = (0..3).map(|_| PendingDrains::default()).collect();
        let mut requested: BTreeSet<(String, DrainId)> = BTreeSet::new();
        let mut undone: BTreeSet<DrainId> = BTreeSet::new();
        for step in 0..200i64 {
            let index = rng.usize(..3);
            let endpoint = format!("s-{}", rng.u8(..4));
            match rng.u8(..10) {
                0 => {
                    let id = nodes[index].request_drain(
                        &endpoint,
                        NodeId(index as u64 + 1),
                        Timestamp::from_micros(step),
                        1000,
                    );
                    requested.insert((endpoint, id));
                }
                1..=3 => {
                    let all = nodes[rng.usize(..3)].all();
                    nodes[index].merge(all, &state, 1000);
                }
                4 => {
                    for change in
                        nodes[index].due_proposals(Timestamp::from_micros(step), TimeDelta::from_micros(10))
                    {
                        state.apply(step as u64, &change);
                    }
                }
                5 => {
                    let known = state.drains.get(&endpoint).into_iter().flatten().copied();
                    let drains: Vec<DrainId> = known.chain(nodes[index].drains_of(&endpoint)).collect();
                    undone.extend(&drains);
                    state.apply(step as u64, &Change::Undrain { host: endpoint, drains });
                }
                6 => {
                    nodes[index].remove_resolved(&state);
                }
                _ => {}
            }
            for (endpoint, id) in requested.iter().filter(|(_, id)| !undone.contains(id)) {
                let committed = state.is_drained(endpoint);
                let node = &nodes[id.node.0 as usize - 1];
                assert!(
                    committed || node.is_draining(endpoint),
                    "seed {seed}, step {step}: {id:?} of {endpoint}"
                );
            }
        }
        for node in &mut nodes {
            node.remove_resolved(&state);
        }
        for (endpoint, id) in &requested {
            assert_eq!(
                state.is_resolved(endpoint, *id),
                !nodes.iter().any(|node| node.drains_of(endpoint).contains(id))
            );
        }
    }
}

#[test]
fn a_sequence_number_is_never_used_twice_and_the_number_of_drains_is_bounded() {
    let (mut drains, local_node, at) = (PendingDrains::default(), NodeId(7), Timestamp::from_micros);
    let mut request = |endpoint, micros| drains.request_drain(endpoint, local_node, at(micros), 3);
    let first = request("a", 1_000);
    let repeated = request("a", 2_000);
    assert!(repeated.sequence > first.sequence, "others may have undone the first one");
    let other = request("b", 1_000);
    assert!(other.sequence > repeated.sequence);
    assert_eq!(request("a", 3_000), repeated, "as many drains as allowed are pending");
    assert!(
        request("c", 3_000).sequence > other.sequence,
        "the first drain of an endpoint is always accepted"
    );
    assert_eq!(drains.drains_of("a"), BTreeSet::from([first, repeated]));
    assert!(
        PendingDrains::default().request_drain("a", local_node, at(5_000), 3).sequence > first.sequence,
        "after a restart with an empty disk"
    );
    let mut drains = PendingDrains::default();
    let many = (0..50)
        .map(|sequence| PendingDrain {
            host: format!("s-{sequence}"),
            drain: DrainId { node: NodeId(9), sequence },
        })
        .collect();
    assert!(drains.merge(many, &ClusterState::default(), 10));
    assert_eq!(drains.all().len(), 10);
    assert_ne!(drains.digest(), 0);
    let mut due = |now| drains.due_proposals(at(now), TimeDelta::from_micros(100)).len();
    assert_eq!((due(0), due(50), due(100)), (10, 0, 10));
}
