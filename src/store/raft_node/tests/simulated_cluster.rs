//! A simulated cluster without sockets, disks or a clock. Seeded schedules lose, duplicate and reorder messages, and
//! crash nodes before or after a write.

use super::*;

/// Maximum number of messages in flight. Further ones are lost.
const MAX_IN_FLIGHT: usize = 400;

/// The initial persistent state of each node of a cluster with these voters.
pub fn founded_state(voters: &[NodeId]) -> RaftPersistentState {
    let members = voters.iter().map(|id| {
        (*id, Member { name: format!("b{id}"), address: ([127, 0, 0, 1], 1000 + id.0 as u16).into() })
    });
    let state = ClusterState { fleet: FleetId(7), members: members.collect(), ..ClusterState::default() };
    let mut persisted = RaftPersistentState::found_fleet(&state, voters[0]);
    persisted.snapshot.configuration.voters = voters.to_vec();
    persisted
}

/// When a node crashes within a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    None,
    BeforeWrite,
    AfterWrite,
}

pub struct SimulatedCluster {
    rng: fastrand::Rng,
    /// The simulated storage of each node.
    pub storage: BTreeMap<NodeId, RaftPersistentState>,
    pub nodes: BTreeMap<NodeId, RaftNode>,
    in_flight: Vec<RaftMessage>,
    /// The digest that the first node to apply the entry at each index has reported.
    pub digests: BTreeMap<u64, u32>,
    /// Drains whose requester has applied them.
    pub committed_drains: BTreeSet<PendingDrain>,
    pub undone_drains: BTreeSet<DrainId>,
    request_count: u64,
    /// The limit for log compaction; small, so that followers fall behind it and receive snapshots.
    log_limit: LogSize,
    /// Whether to check that a majority of the voters has stored each applied entry.
    pub checks_majority: bool,
}

impl SimulatedCluster {
    pub fn new(seed: u64, size: u64) -> SimulatedCluster {
        let voters: Vec<NodeId> = (1..=size).map(NodeId).collect();
        let storage: BTreeMap<NodeId, RaftPersistentState> =
            voters.iter().map(|id| (*id, founded_state(&voters))).collect();
        let start = |(id, persisted): (&NodeId, &RaftPersistentState)| {
            (*id, RaftNode::new(*id, persisted.clone()).unwrap())
        };
        let nodes = storage.iter().map(start).collect();
        SimulatedCluster {
            rng: fastrand::Rng::with_seed(seed),
            storage,
            nodes,
            in_flight: Vec::new(),
            digests: BTreeMap::new(),
            committed_drains: BTreeSet::new(),
            undone_drains: BTreeSet::new(),
            request_count: 0,
            log_limit: LogSize { bytes: 4096, entries: 8 },
            checks_majority: true,
        }
    }

    pub fn node(&mut self, id: NodeId) -> &mut RaftNode {
        self.nodes.get_mut(&id).unwrap()
    }

    pub fn leader(&self) -> Option<NodeId> {
        self.nodes.values().find(|node| node.is_leader()).map(RaftNode::id)
    }

    fn random_node(&mut self) -> NodeId {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        ids[self.rng.usize(..ids.len())]
    }

    /// Restarts a node from its storage, without the state that it had in memory.
    fn restart(&mut self, id: NodeId) {
        let persisted = self.storage[&id].clone();
        self.nodes.insert(id, RaftNode::new(id, persisted).unwrap());
    }

    /// Whether a majority of the voters has stored the entry at `index`.
    fn majority_holds(&self, index: u64, voters: &[NodeId]) -> bool {
        let holds = |id: &NodeId| {
            let persisted = self.storage.get(id);
            persisted.is_some_and(|state| state.last_entry().index.max(state.snapshot.index) >= index)
        };
        voters.iter().filter(|id| holds(id)).count() > voters.len() / 2
    }

    /// Processes all pending steps of a node, and checks the entries that it applies. `crash` affects the first step.
    pub fn process_ready(&mut self, id: NodeId, mut crash: Crash) {
        while let Some(ready) = self.nodes.get_mut(&id).and_then(RaftNode::next_ready) {
            if crash != Crash::BeforeWrite {
                self.storage.get_mut(&id).unwrap().apply_write(&ready.write);
            }
            self.in_flight.extend(ready.messages.iter().cloned());
            if crash != Crash::None {
                self.restart(id);
                crash = Crash::None;
                continue;
            }
            let limit = self.log_limit;
            let node = self.node(id);
            let CompletedWrite { messages, applied } = node.complete_write(ready);
            let voters = node.configuration().voters;
            if let Some(write) = node.compact(limit) {
                self.storage.get_mut(&id).unwrap().apply_write(&write);
            }
            self.in_flight.extend(messages);
            for entry in applied {
                self.check_applied(id, entry, &voters);
            }
        }
        for message in &self.in_flight {
            if message.carries_state() && message.from == id {
                self.nodes.get_mut(&id).unwrap().report_snapshot(message.to, SnapshotDelivery::Sent);
            }
        }
    }

    fn check_applied(&mut self, id: NodeId, entry: AppliedEntry, voters: &[NodeId]) {
        let AppliedEntry { index, digest, content, .. } = entry;
        let first_digest = *self.digests.entry(index).or_insert(digest);
        assert_eq!(first_digest, digest, "node {id} applied another entry at {index}");
        assert!(
            !self.checks_majority || self.majority_holds(index, voters),
            "no majority holds entry {index}"
        );
        let AppliedContent::Change(Proposal { change, from, .. }) = content else { return };
        match change {
            Change::Drain { host, drain } if from == id => {
                self.committed_drains.insert(PendingDrain { host, drain });
            }
            Change::Undrain { drains, .. } => self.undone_drains.extend(drains),
            _ => {}
        }
    }

    /// Proposes a drain or an undrain, in three of four cases to the leader.
    fn propose_random_change(&mut self) {
        let id = self.leader().filter(|_| self.rng.u8(..4) > 0).unwrap_or_else(|| self.random_node());
        self.request_count += 1;
        let sequence = self.request_count;
        let host = format!("s-{}", self.rng.u8(..5));
        let in_force = self.nodes[&id].state().drains.get(&host);
        let drains: Vec<DrainId> = in_force.into_iter().flatten().copied().collect();
        let change = if !drains.is_empty() && self.rng.bool() {
            Change::Undrain { host, drains }
        } else {
            Change::Drain { host, drain: DrainId { node: id, sequence } }
        };
        self.node(id).propose(&Proposal { from: id, token: sequence, change });
        self.process_ready(id, Crash::None);
    }

    /// Simulates one random event.
    pub fn step(&mut self) {
        match self.rng.u8(..100) {
            0..25 => {
                let id = self.random_node();
                self.node(id).tick();
                self.process_ready(id, Crash::None);
            }
            25..83 if !self.in_flight.is_empty() => self.deliver_random_message(),
            83..95 => self.propose_random_change(),
            95..97 => {
                let id = self.random_node();
                self.restart(id);
            }
            97..98 => self.in_flight.clear(),
            _ => {}
        }
        self.in_flight.truncate(MAX_IN_FLIGHT);
    }

    /// Delivers a random message. 8 % of the messages are lost and 5 % are duplicated; in 1 % of the cases the
    /// receiver crashes.
    fn deliver_random_message(&mut self) {
        let message = self.in_flight.swap_remove(self.rng.usize(..self.in_flight.len()));
        let is_lost = self.rng.u8(..100) < 8;
        let is_duplicated = self.rng.u8(..100) < 5;
        let crash = match self.rng.u8(..200) {
            0 => Crash::BeforeWrite,
            1 => Crash::AfterWrite,
            _ => Crash::None,
        };
        if is_duplicated {
            self.in_flight.push(message.clone());
        }
        let to = message.to;
        if !is_lost && let Some(node) = self.nodes.get_mut(&to) {
            node.receive(message);
            self.process_ready(to, crash);
        }
    }

    /// Runs the cluster without faults: in each round all nodes tick once and all messages arrive in order.
    pub fn heal(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
            for id in ids {
                self.node(id).tick();
                self.process_ready(id, Crash::None);
            }
            for _ in 0..20 {
                let in_flight = std::mem::take(&mut self.in_flight);
                if in_flight.is_empty() {
                    break;
                }
                for message in in_flight {
                    let to = message.to;
                    if let Some(node) = self.nodes.get_mut(&to) {
                        node.receive(message);
                        self.process_ready(to, Crash::None);
                    }
                }
            }
        }
    }
}
