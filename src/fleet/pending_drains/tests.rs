use super::*;

/// Guards against a drain that is said in a minority and lost, whoever dies meanwhile, and against an undrain
/// that undoes what it had not heard of. Seeded: three daemons that hear one another now and then, a log that
/// takes what one of them holds.
#[test]
fn a_drain_acts_where_it_is_known_until_the_log_has_settled_it() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = ClusterState::default();
        let mut nodes: Vec<PendingDrains> = (0..3).map(|_| PendingDrains::default()).collect();
        let mut said: BTreeSet<(String, DrainId)> = BTreeSet::new();
        let mut undone: BTreeSet<DrainId> = BTreeSet::new();
        for step in 0..200i64 {
            let n = rng.usize(..3);
            let host = format!("s-{}", rng.u8(..4));
            match rng.u8(..10) {
                0 => {
                    let mark =
                        nodes[n].request_drain(&host, NodeId(n as u64 + 1), Timestamp::from_micros(step));
                    said.insert((host, mark));
                }
                1..=3 => {
                    let all = nodes[rng.usize(..3)].all();
                    nodes[n].merge(all, &state, 1000);
                }
                4 => {
                    for change in
                        nodes[n].due_proposals(Timestamp::from_micros(step), TimeDelta::from_micros(10))
                    {
                        state.apply(step as u64, &change);
                    }
                }
                5 => {
                    let known = state.drains.get(&host).into_iter().flatten().copied();
                    let marks: Vec<DrainId> = known.chain(nodes[n].drains_of(&host)).collect();
                    undone.extend(&marks);
                    state.apply(step as u64, &Change::Undrain { host, drains: marks });
                }
                6 => {
                    nodes[n].remove_settled(&state);
                }
                _ => {}
            }
            for (host, mark) in said.iter().filter(|(_, mark)| !undone.contains(mark)) {
                let agreed = state.is_drained(host);
                let by = &nodes[mark.node.0 as usize - 1];
                assert!(agreed || by.is_draining(host), "seed {seed}, step {step}: {mark:?} of {host}");
            }
        }
        for node in &mut nodes {
            node.remove_settled(&state);
        }
        for (host, mark) in &said {
            assert_eq!(
                state.is_resolved(host, *mark),
                !nodes.iter().any(|n| n.drains_of(host).contains(mark))
            );
        }
    }
}

#[test]
fn a_number_is_never_used_twice_and_what_is_held_is_bounded() {
    let (mut marks, me, at) = (PendingDrains::default(), NodeId(7), Timestamp::from_micros);
    let first = marks.request_drain("a", me, at(1_000));
    assert_eq!(marks.request_drain("a", me, at(2_000)), first, "it is drained already");
    assert!(marks.request_drain("b", me, at(1_000)).sequence > first.sequence);
    assert!(
        PendingDrains::default().request_drain("a", me, at(5_000)).sequence > first.sequence,
        "after a restart without disk"
    );
    let many = (0..50).map(|n| (format!("s-{n}"), DrainId { node: NodeId(9), sequence: n })).collect();
    assert!(marks.merge(many, &ClusterState::default(), 10));
    assert_eq!(marks.all().len(), 10);
    assert_ne!(marks.digest(), 0);
    let mut due = |now| marks.due_proposals(at(now), TimeDelta::from_micros(100)).len();
    assert_eq!((due(0), due(50), due(100)), (10, 0, 10));
}
