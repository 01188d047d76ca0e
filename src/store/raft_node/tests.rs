//! Agreement of a simulated cluster under random schedules, and rejection of malformed messages and states.

mod simulated_cluster;

use super::*;
use crate::store::raft_message::kind;
use crate::store::records::MembershipStep;
use crate::store::state_machine::{Change, DrainId, JoiningMember, Member, PendingDrain};
use simulated_cluster::{Crash, SimulatedCluster, founded_state};
use std::collections::{BTreeMap, BTreeSet};

/// Under random schedules with lost messages and crashes, all nodes apply the same entries, a majority has stored each
/// of them, and no drain is lost that its requester has applied.
#[test]
fn random_schedules_apply_the_same_entries_everywhere_and_lose_no_drain() {
    let (mut entries, mut compacted_logs) = (0, 0);
    for seed in 0..2000 {
        let mut cluster = SimulatedCluster::new(seed, if seed % 3 == 0 { 5 } else { 3 });
        for _ in 0..600 {
            cluster.step();
        }
        cluster.heal(120);
        let leader =
            cluster.leader().unwrap_or_else(|| panic!("seed {seed}: no leader after the faults have ended"));
        let expected = &cluster.nodes[&leader];
        for node in cluster.nodes.values() {
            assert_eq!(node.state(), expected.state(), "seed {seed}: node {}", node.id());
        }
        for PendingDrain { host, drain } in &cluster.committed_drains {
            let is_resolved = expected.state().is_resolved(host, *drain);
            assert!(is_resolved, "seed {seed}: the drain {drain:?} of {host} is lost");
            let in_force = expected.state().drains.get(host).is_some_and(|drains| drains.contains(drain));
            assert!(in_force != cluster.undone_drains.contains(drain), "seed {seed}: {drain:?} of {host}");
        }
        entries += cluster.digests.len();
        compacted_logs += cluster.storage.values().filter(|persisted| persisted.compacted.index > 1).count();
    }
    assert!(
        entries > 20_000 && compacted_logs > 1_000,
        "{entries} entries, {compacted_logs} compacted logs: the schedules covered too little"
    );
}

/// Verifies that the check of the random schedules can fail: it panics when two nodes apply different entries at one
/// index.
#[test]
#[should_panic(expected = "applied another entry")]
fn different_entries_at_one_index_are_detected() {
    let mut cluster = SimulatedCluster::new(1, 3);
    cluster.heal(30);
    cluster.digests.insert(cluster.nodes[&NodeId(1)].applied() + 1, 1);
    let leader = cluster.leader().unwrap();
    let change = Change::Drain { host: "x".into(), drain: DrainId { node: leader, sequence: 1 } };
    cluster.node(leader).propose(&Proposal { from: leader, token: 1, change });
    cluster.heal(5);
}

/// Guards against a leader that confirms its leadership although it no longer reaches a majority.
#[test]
fn an_isolated_leader_confirms_no_leadership_check() {
    let mut cluster = SimulatedCluster::new(3, 3);
    cluster.heal(30);
    let leader = cluster.leader().unwrap();
    cluster.node(leader).request_leadership_check(1);
    cluster.process_ready(leader, Crash::None);
    cluster.heal(3);
    assert_eq!(cluster.node(leader).take_confirmed_checks(), [1]);
    let mut isolated = cluster.nodes.remove(&leader).unwrap();
    isolated.request_leadership_check(2);
    for _ in 0..4 * ELECTION_TICKS {
        isolated.tick();
        while let Some(ready) = isolated.next_ready() {
            isolated.complete_write(ready);
        }
    }
    assert!(isolated.take_confirmed_checks().is_empty() && !isolated.is_leader());
}

/// Nodes join one at a time, first as learners; then one change replaces a voter. Guards against membership changes
/// that leave the wrong voters, learners or removed members behind.
#[test]
fn a_fleet_of_one_grows_to_three_voters_and_replaces_one() {
    let mut cluster = SimulatedCluster::new(5, 1);
    cluster.checks_majority = false;
    cluster.node(NodeId(1)).campaign();
    cluster.process_ready(NodeId(1), Crash::None);
    let change_membership = |cluster: &mut SimulatedCluster, change: MembershipChange| {
        let leader = cluster.leader().unwrap();
        assert!(cluster.node(leader).propose_membership(&change));
        cluster.heal(40);
    };
    for id in [2, 3, 4].map(NodeId) {
        cluster.storage.insert(id, RaftPersistentState::default());
        cluster.nodes.insert(id, RaftNode::new(id, RaftPersistentState::default()).unwrap());
        let member = Member { name: format!("b{id}"), address: ([127, 0, 0, 1], id.0 as u16).into() };
        let joining = Some(JoiningMember { id, member });
        let steps = vec![MembershipStep::AddLearner(id)];
        change_membership(&mut cluster, MembershipChange { steps, joining });
        assert_eq!(cluster.nodes[&id].state(), cluster.nodes[&NodeId(1)].state());
        assert!(cluster.nodes[&id].configuration().learners.contains(&id));
        if id < NodeId(4) {
            let steps = vec![MembershipStep::AddVoter(id)];
            change_membership(&mut cluster, MembershipChange { steps, joining: None });
        }
    }
    assert_eq!(cluster.nodes[&NodeId(1)].configuration().voters, [1, 2, 3].map(NodeId));
    // A single change removes the old voter and promotes the learner.
    cluster.nodes.remove(&NodeId(3));
    let steps = vec![MembershipStep::Remove(NodeId(3)), MembershipStep::AddVoter(NodeId(4))];
    change_membership(&mut cluster, MembershipChange { steps, joining: None });
    cluster.heal(20);
    let configuration = cluster.nodes[&NodeId(4)].configuration();
    assert_eq!(
        (configuration.voters, configuration.learners, configuration.voters_outgoing),
        ([1, 2, 4].map(NodeId).to_vec(), vec![], vec![])
    );
    let removed = &cluster.nodes[&NodeId(4)].state().removed;
    assert_eq!(*removed, BTreeMap::from([(NodeId(3), "b3".to_string())]));
}

/// Guards against a malformed message that panics or changes the state of the node.
#[test]
fn malformed_messages_change_nothing() {
    let mut node = RaftNode::new(NodeId(1), founded_state(&[1, 2, 3].map(NodeId))).unwrap();
    let valid = RaftMessage {
        kind: kind::HEARTBEAT,
        to: NodeId(1),
        from: NodeId(2),
        term: 2,
        ..RaftMessage::default()
    };
    let other_fleet = SnapshotRecord {
        index: 9,
        term: 9,
        state: codec::encode(&ClusterState { fleet: FleetId(8), ..ClusterState::default() }),
        configuration: Configuration::default(),
    };
    let undecodable = SnapshotRecord { state: vec![1, 2, 3], ..other_fleet.clone() };
    for malformed in [
        RaftMessage { kind: 2, ..valid.clone() },
        RaftMessage { to: NodeId(3), ..valid.clone() },
        RaftMessage { from: NodeId(1), ..valid.clone() },
        RaftMessage { kind: kind::SNAPSHOT, ..valid.clone() },
        RaftMessage { kind: kind::SNAPSHOT, snapshot: Some(other_fleet), ..valid.clone() },
        RaftMessage { kind: kind::SNAPSHOT, snapshot: Some(undecodable), ..valid.clone() },
    ] {
        assert!(!node.receive(malformed.clone()), "{malformed:?}");
        assert_eq!((node.last_index(), node.term()), (1, 1), "{malformed:?}");
    }
    assert!(node.receive(valid));
    assert_eq!((node.last_index(), node.term(), node.leader()), (1, 2, NodeId(2)));
}

/// Guards against starting a node from a persistent state with missing or undecodable parts.
#[test]
fn an_invalid_persistent_state_is_rejected() {
    let entry = |index| LogEntry { index, term: 1, kind: LogEntry::CHANGE, payload: Vec::new() };
    let valid = RaftPersistentState { entries: vec![entry(2), entry(3)], ..founded_state(&[NodeId(1)]) };
    assert!(RaftNode::new(NodeId(1), valid.clone()).is_ok());
    let undecodable = SnapshotRecord { state: vec![0], ..valid.snapshot.clone() };
    for invalid in [
        RaftPersistentState { entries: vec![entry(2), entry(4)], ..valid.clone() },
        RaftPersistentState { entries: vec![entry(3)], ..valid.clone() },
        RaftPersistentState { entries: vec![LogEntry { kind: 9, ..entry(2) }], ..valid.clone() },
        RaftPersistentState {
            hard_state: HardState { term: 1, vote: NodeId::NONE, commit: 9 },
            ..valid.clone()
        },
        RaftPersistentState { snapshot: undecodable, ..valid.clone() },
    ] {
        assert!(RaftNode::new(NodeId(1), invalid).is_err());
    }
}
