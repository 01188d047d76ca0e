//! Seeded schedules: letters lost, doubled and out of order, crashes before and after a write, no sockets.

use super::*;
use crate::store::records::MembershipStep;
use crate::store::state_machine::{Change, DrainId, JoiningMember, Member};
use std::collections::{BTreeMap, BTreeSet};

fn image(voters: &[NodeId]) -> RaftPersistentState {
    let members = voters.iter().map(|id| {
        (*id, Member { name: format!("b{id}"), address: ([127, 0, 0, 1], 1000 + id.0 as u16).into() })
    });
    let state = ClusterState { fleet: FleetId(7), members: members.collect(), ..ClusterState::default() };
    let mut image = RaftPersistentState::found_fleet(&state, voters[0]);
    image.snapshot.configuration.voters = voters.to_vec();
    image
}

struct World {
    rng: fastrand::Rng,
    disks: BTreeMap<NodeId, RaftPersistentState>,
    nodes: BTreeMap<NodeId, RaftNode>,
    post: Vec<RaftMessage>,
    /// What every index was first seen to be, by check sum.
    history: BTreeMap<u64, u32>,
    /// Drains that were answered as agreed, and undrains.
    drained: BTreeSet<(String, DrainId)>,
    undone: BTreeSet<DrainId>,
    said: u64,
    /// Log bounds: small, so that snapshots are sent.
    bounds: LogSize,
    check_majority: bool,
}

impl World {
    fn new(seed: u64, size: u64) -> World {
        let voters: Vec<NodeId> = (1..=size).map(NodeId).collect();
        let disks: BTreeMap<NodeId, RaftPersistentState> =
            voters.iter().map(|id| (*id, image(&voters))).collect();
        let nodes = disks.iter().map(|(id, i)| (*id, RaftNode::new(*id, i.clone()).unwrap())).collect();
        World {
            rng: fastrand::Rng::with_seed(seed),
            disks,
            nodes,
            post: Vec::new(),
            history: BTreeMap::new(),
            drained: BTreeSet::new(),
            undone: BTreeSet::new(),
            said: 0,
            bounds: LogSize { bytes: 4096, entries: 8 },
            check_majority: true,
        }
    }

    fn any(&mut self) -> NodeId {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        ids[self.rng.usize(..ids.len())]
    }

    /// Whether a majority of the voters has an entry on its disk.
    fn held(&self, index: u64, voters: &[NodeId]) -> bool {
        let holds = |id: &NodeId| {
            self.disks.get(id).is_some_and(|d| d.last_entry().index.max(d.snapshot.index) >= index)
        };
        voters.iter().filter(|id| holds(id)).count() > voters.len() / 2
    }

    /// Works off a daemon's steps; `crash`: 1 before the write, 2 after it.
    fn settle(&mut self, id: NodeId, mut crash: u8) {
        while let Some(pending) = self.nodes.get_mut(&id).and_then(RaftNode::next_ready) {
            if crash != 1 {
                self.disks.get_mut(&id).unwrap().apply_write(&pending.write);
            }
            self.post.extend(pending.messages.iter().cloned());
            if crash > 0 {
                let image = self.disks[&id].clone();
                self.nodes.insert(id, RaftNode::new(id, image).unwrap());
                crash = 0;
                continue;
            }
            let node = self.nodes.get_mut(&id).unwrap();
            let CompletedWrite { messages: letters, applied } = node.complete_write(pending);
            let voters = node.configuration().voters;
            if let Some(write) = node.compact(self.bounds) {
                self.disks.get_mut(&id).unwrap().apply_write(&write);
            }
            self.post.extend(letters);
            for one in applied {
                let known = *self.history.entry(one.index).or_insert(one.digest);
                assert_eq!(known, one.digest, "daemon {id} took in something else at {}", one.index);
                assert!(
                    !self.check_majority || self.held(one.index, &voters),
                    "no majority has {}",
                    one.index
                );
                let AppliedContent::Change(Proposal { change, from, .. }) = one.content else { continue };
                match change {
                    Change::Drain { host, drain: mark } if from == id => {
                        self.drained.insert((host, mark));
                    }
                    Change::Undrain { drains: marks, .. } => self.undone.extend(marks),
                    _ => {}
                }
            }
        }
        for letter in &self.post {
            if letter.carries_state() && letter.from == id {
                self.nodes.get_mut(&id).unwrap().report_snapshot(letter.to, SnapshotDelivery::Sent);
            }
        }
    }

    fn say(&mut self) {
        let id = self.leader().filter(|_| self.rng.u8(..4) > 0).unwrap_or_else(|| self.any());
        self.said += 1;
        let host = format!("s-{}", self.rng.u8(..5));
        let node = self.nodes.get_mut(&id).unwrap();
        let known: Vec<DrainId> = node.state().drains.get(&host).into_iter().flatten().copied().collect();
        let change = if !known.is_empty() && self.rng.bool() {
            Change::Undrain { host, drains: known }
        } else {
            Change::Drain { host, drain: DrainId { node: id, sequence: self.said } }
        };
        node.propose(&Proposal { from: id, token: self.said, change });
        self.settle(id, 0);
    }

    fn turn(&mut self) {
        match self.rng.u8(..100) {
            0..25 => {
                let id = self.any();
                self.nodes.get_mut(&id).unwrap().tick();
                self.settle(id, 0);
            }
            25..83 if !self.post.is_empty() => {
                let letter = self.post.swap_remove(self.rng.usize(..self.post.len()));
                let (lost, doubled, crash) =
                    (self.rng.u8(..100) < 8, self.rng.u8(..100) < 5, self.rng.u8(..200));
                if doubled {
                    self.post.push(letter.clone());
                }
                let to = letter.to;
                if !lost && let Some(node) = self.nodes.get_mut(&to) {
                    node.receive(letter);
                    self.settle(to, if crash < 2 { crash + 1 } else { 0 });
                }
            }
            83..95 => self.say(),
            95..97 => {
                let id = self.any();
                let image = self.disks[&id].clone();
                self.nodes.insert(id, RaftNode::new(id, image).unwrap());
            }
            97..98 => self.post.clear(),
            _ => {}
        }
        self.post.truncate(400);
    }

    /// All letters arrive from now on, in order, and time passes evenly.
    fn heal(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
            for id in ids {
                self.nodes.get_mut(&id).unwrap().tick();
                self.settle(id, 0);
            }
            for _ in 0..20 {
                let post = std::mem::take(&mut self.post);
                if post.is_empty() {
                    break;
                }
                for letter in post {
                    let to = letter.to;
                    if let Some(node) = self.nodes.get_mut(&to) {
                        node.receive(letter);
                        self.settle(to, 0);
                    }
                }
            }
        }
    }

    fn leader(&self) -> Option<NodeId> {
        self.nodes.values().find(|n| n.is_leader()).map(RaftNode::id)
    }
}

/// Any schedule: the same sequence everywhere, nothing that no majority has, and no drain that was answered and
/// is lost.
#[test]
fn any_schedule_agrees_on_one_sequence_and_loses_no_drain() {
    let (mut changes, mut snapshots) = (0, 0);
    for seed in 0..2000 {
        let mut world = World::new(seed, if seed % 3 == 0 { 5 } else { 3 });
        for _ in 0..600 {
            world.turn();
        }
        world.heal(120);
        let leader = world.leader().unwrap_or_else(|| panic!("seed {seed}: no leader after all has healed"));
        let wanted = &world.nodes[&leader];
        for node in world.nodes.values() {
            assert_eq!(node.state(), wanted.state(), "seed {seed}: daemon {}", node.id());
        }
        for (host, mark) in &world.drained {
            let stands = wanted.state().is_resolved(host, *mark);
            assert!(stands, "seed {seed}: the drain {mark:?} of {host} is lost");
            let in_force = wanted.state().drains.get(host).is_some_and(|m| m.contains(mark));
            assert!(in_force != world.undone.contains(mark), "seed {seed}: {mark:?} of {host}");
        }
        changes += world.history.len();
        snapshots += world.disks.values().filter(|d| d.compacted.index > 1).count();
    }
    assert!(
        changes > 20_000 && snapshots > 1_000,
        "{changes} changes, {snapshots} logs cut: too little was tried"
    );
}

/// The schedule's check can fail: two daemons that took in different things at one place are seen.
#[test]
#[should_panic(expected = "took in something else")]
fn a_sequence_that_differs_is_seen() {
    let mut world = World::new(1, 3);
    world.heal(30);
    world.history.insert(world.nodes[&NodeId(1)].applied() + 1, 1);
    let leader = world.leader().unwrap();
    let change = Change::Drain { host: "x".into(), drain: DrainId { node: leader, sequence: 1 } };
    world.nodes.get_mut(&leader).unwrap().propose(&Proposal { from: leader, token: 1, change });
    world.heal(5);
}

/// Guards against a leader that was cut off and takes what only a majority may agree to.
#[test]
fn a_leader_that_is_cut_off_confirms_nothing() {
    let mut world = World::new(3, 3);
    world.heal(30);
    let leader = world.leader().unwrap();
    world.nodes.get_mut(&leader).unwrap().request_leadership_check(1);
    world.settle(leader, 0);
    world.heal(3);
    assert_eq!(world.nodes.get_mut(&leader).unwrap().take_confirmed_checks(), [1]);
    let mut alone = world.nodes.remove(&leader).unwrap();
    alone.request_leadership_check(2);
    for _ in 0..4 * ELECTION_TICKS {
        alone.tick();
        while let Some(pending) = alone.next_ready() {
            alone.complete_write(pending);
        }
    }
    assert!(alone.take_confirmed_checks().is_empty() && !alone.is_leader());
}

/// Members come one at a time, first only following, and go again while changes run.
#[test]
fn a_fleet_of_one_grows_to_three_and_one_is_replaced() {
    let mut world = World::new(5, 1);
    world.check_majority = false;
    world.nodes.get_mut(&NodeId(1)).unwrap().campaign();
    world.settle(NodeId(1), 0);
    let lead = |world: &mut World, change: MembershipChange| {
        let leader = world.leader().unwrap();
        assert!(world.nodes.get_mut(&leader).unwrap().propose_membership(&change));
        world.heal(40);
    };
    for id in [2, 3, 4].map(NodeId) {
        world.disks.insert(id, RaftPersistentState::default());
        world.nodes.insert(id, RaftNode::new(id, RaftPersistentState::default()).unwrap());
        let member = Member { name: format!("b{id}"), address: ([127, 0, 0, 1], id.0 as u16).into() };
        lead(
            &mut world,
            MembershipChange {
                steps: vec![MembershipStep::AddLearner(id)],
                joining: Some(JoiningMember { id, member }),
            },
        );
        assert_eq!(world.nodes[&id].state(), world.nodes[&NodeId(1)].state());
        assert!(world.nodes[&id].configuration().learners.contains(&id));
        if id < NodeId(4) {
            lead(&mut world, MembershipChange { steps: vec![MembershipStep::AddVoter(id)], joining: None });
        }
    }
    assert_eq!(world.nodes[&NodeId(1)].configuration().voters, [1, 2, 3].map(NodeId));
    // In one step the new one votes and the old one is gone.
    world.nodes.remove(&NodeId(3));
    lead(
        &mut world,
        MembershipChange {
            steps: vec![MembershipStep::Remove(NodeId(3)), MembershipStep::AddVoter(NodeId(4))],
            joining: None,
        },
    );
    world.heal(20);
    let conf = world.nodes[&NodeId(4)].configuration();
    assert_eq!(
        (conf.voters, conf.learners, conf.voters_outgoing),
        ([1, 2, 4].map(NodeId).to_vec(), vec![], vec![])
    );
    assert_eq!(world.nodes[&NodeId(4)].state().removed, BTreeMap::from([(NodeId(3), "b3".to_string())]));
}

/// Guards against a letter out of form that ends the daemon or changes it.
#[test]
fn letters_out_of_form_change_nothing() {
    let mut node = RaftNode::new(NodeId(1), image(&[1, 2, 3].map(NodeId))).unwrap();
    let good = RaftMessage { kind: 8, to: NodeId(1), from: NodeId(2), term: 2, ..RaftMessage::default() };
    let foreign = SnapshotRecord {
        index: 9,
        term: 9,
        state: codec::encode(&ClusterState { fleet: FleetId(8), ..ClusterState::default() }),
        configuration: Configuration::default(),
    };
    let broken = SnapshotRecord { state: vec![1, 2, 3], ..foreign.clone() };
    for bad in [
        RaftMessage { kind: 2, ..good.clone() },
        RaftMessage { to: NodeId(3), ..good.clone() },
        RaftMessage { from: NodeId(1), ..good.clone() },
        RaftMessage { kind: 7, ..good.clone() },
        RaftMessage { kind: 7, snapshot: Some(foreign), ..good.clone() },
        RaftMessage { kind: 7, snapshot: Some(broken), ..good.clone() },
    ] {
        assert!(!node.receive(bad.clone()), "{bad:?}");
        assert_eq!((node.last_index(), node.term()), (1, 1), "{bad:?}");
    }
    assert!(node.receive(good));
    assert_eq!((node.last_index(), node.term(), node.leader()), (1, 2, NodeId(2)));
}

/// Guards against a disk that is believed though parts of it are missing.
#[test]
fn an_image_with_gaps_is_refused() {
    let entry = |index| LogEntry { index, term: 1, kind: 0, payload: Vec::new() };
    let good = RaftPersistentState { entries: vec![entry(2), entry(3)], ..image(&[NodeId(1)]) };
    assert!(RaftNode::new(NodeId(1), good.clone()).is_ok());
    for bad in [
        RaftPersistentState { entries: vec![entry(2), entry(4)], ..good.clone() },
        RaftPersistentState { entries: vec![entry(3)], ..good.clone() },
        RaftPersistentState { entries: vec![LogEntry { kind: 9, ..entry(2) }], ..good.clone() },
        RaftPersistentState {
            hard_state: HardState { term: 1, vote: NodeId::NOBODY, commit: 9 },
            ..good.clone()
        },
        RaftPersistentState {
            snapshot: SnapshotRecord { state: vec![0], ..good.snapshot.clone() },
            ..good.clone()
        },
    ] {
        assert!(RaftNode::new(NodeId(1), bad).is_err());
    }
}
