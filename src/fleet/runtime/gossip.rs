//! Gossip: exchanges endpoints' reports with the peers, saves them to disk and passes them to the engine.

use super::Fleet;
use crate::clock::{BootInfo, Clock};
use crate::engine::PeerObservation;
use crate::engine::endpoints::id_of;
use crate::engine::log_rollback::{LogRollback, LogRollbacks};
use crate::engine::observations::Observation;
use crate::fleet::gossip::{GossipDigest, GossipRecord, GossipState, GossipUrgency, PrimaryBelief};
use crate::fleet::message::{EndpointBytes, PeerMessage};
use crate::fleet::recovery::{ClockReading, PersistedGossip, RestoredAge, restored_age};
use crate::ids::{GroupId, NodeId};
use crate::primary_hint::PrimaryHint;
use crate::routing::EndpointId;
use crate::store::codec;
use crate::store::store_thread::StoreCommand;
use crate::time::{TimeDelta, Timestamp};
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;

/// Capacity of the queue of primary hints for the engine. Hints that do not fit are dropped: they only help the engine
/// to find a primary sooner than it would by itself.
const HINT_QUEUE: usize = 64;

/// Capacity of the queue of peers' observations for the engine, used while this node recovers. For an observation that
/// does not fit, the engine polls the endpoint itself.
const OBSERVATION_QUEUE: usize = 4096;

/// The version of the gossip that was last queued for writing to disk.
#[derive(Default, PartialEq)]
struct PersistedVersion {
    digest: GossipDigest,
    log_rollbacks: Vec<LogRollback>,
}

/// The gossip, together with the versions that each peer has and that are saved on disk.
pub struct GossipExchange {
    state: GossipState,
    /// Each peer's last digest, updated with the records sent to it since.
    peer_digests: BTreeMap<NodeId, GossipDigest>,
    persisted: PersistedVersion,
}

impl GossipExchange {
    /// Creates the exchange around the gossip state, which may contain records restored from disk.
    pub(super) fn new(state: GossipState) -> GossipExchange {
        GossipExchange { state, peer_digests: BTreeMap::new(), persisted: PersistedVersion::default() }
    }

    /// What this node and its peers have observed of the endpoints.
    pub fn state(&self) -> &GossipState {
        &self.state
    }

    /// Replaces the gossip state, because a node with a new identity starts without gossip.
    pub(super) fn replace_state(&mut self, state: GossipState) {
        self.state = state;
    }
}

/// Queues of hints and observations for the engine.
pub(super) struct EngineQueues {
    hint_sender: Sender<Vec<u8>>,
    hint_receiver: Receiver<Vec<u8>>,
    observation_sender: Sender<PeerObservation>,
    observation_receiver: Receiver<PeerObservation>,
}

impl EngineQueues {
    /// Creates empty queues.
    pub(super) fn new() -> EngineQueues {
        let (hint_sender, hint_receiver) = async_channel::bounded(HINT_QUEUE);
        let (observation_sender, observation_receiver) = async_channel::bounded(OBSERVATION_QUEUE);
        EngineQueues { hint_sender, hint_receiver, observation_sender, observation_receiver }
    }

    fn push_hint(&self, hint: PrimaryHint) {
        let _ = self.hint_sender.try_send(hint.encode());
    }

    fn push_observations(&self, observations: Vec<PeerObservation>) {
        for observation in observations {
            let _ = self.observation_sender.try_send(observation);
        }
    }
}

/// Creates an empty gossip state. Its versions begin at the current clock, above those of earlier starts.
pub(super) fn new_gossip_state(local_id: NodeId, clock: &Clock) -> GossipState {
    GossipState::new(local_id, clock.now().as_micros().max(0) as u64)
}

/// Restores gossip and log rollbacks from the storage. Gossip is used for first guesses, and only if its age can be
/// determined. Log rollbacks do not depend on the clock, because they name positions and not times.
pub(super) fn restore_gossip(
    stored: Option<Vec<u8>>,
    clock: &Clock,
    state: &mut GossipState,
    log_rollbacks: &mut LogRollbacks,
) {
    let Some(persisted) = stored.and_then(|bytes| codec::decode::<PersistedGossip>(&bytes)) else { return };
    for rollback in &persisted.rollbacks {
        log_rollbacks.record(*rollback);
    }
    match restored_age(&persisted.written_at, &read_clocks(clock)) {
        RestoredAge::Usable(age) => {
            log::info!("fleet: gossip on disk is {} ms old, used for first guesses", age.as_millis());
            state.restore(clock.now(), &persisted.records, age);
        }
        RestoredAge::Unusable(reason) => log::warn!("fleet: gossip on disk is not used: {reason}"),
    }
}

/// Reads the wall clock and the machine's uptime clock.
fn read_clocks(clock: &Clock) -> ClockReading {
    let BootInfo { boot_id, uptime } = Clock::boot_info();
    ClockReading { wall: clock.now(), boot_id, uptime }
}

impl Fleet {
    /// Records what endpoints have reported to this node, and sends urgent changes to the peers at once.
    pub fn record_observations(&self, observations: &[Observation]) {
        let now = self.clock.now();
        self.detect_log_rollbacks(observations);
        let urgency = {
            // If this node is recovering, its peers most likely are as well, and wait for its observations.
            let urgency =
                if self.is_recovering() { GossipUrgency::Immediate } else { GossipUrgency::Routine };
            let agreed = self.agreed();
            let state = &mut self.gossip.borrow_mut().state;
            let urgency = state.observe(now, observations, urgency);
            state.update_beliefs(now, agreed.state());
            urgency
        };
        self.detect_restarts(now, observations.iter().map(|observation| &observation.endpoint_name));
        if urgency == GossipUrgency::Immediate {
            let digest = self.gossip().state.digest();
            self.broadcast(&PeerMessage::GossipDigest(digest));
            self.push_own_observations();
        }
    }

    /// Sends each peer those of this node's own observations that are missing from its last digest, without waiting for
    /// a new digest.
    fn push_own_observations(&self) {
        let now = self.clock.now();
        let local_id = self.agreed().local_id();
        let peers = self.peers();
        let GossipExchange { state, peer_digests, .. } = &mut *self.gossip.borrow_mut();
        for link in peers.links().filter(|link| link.is_up()) {
            let digest = peer_digests.entry(link.peer_id()).or_default();
            let limit = self.limits.observations_per_message;
            let records = state.records_missing_from(now, digest, |id| id != local_id, limit);
            let Some(last_version) = records.iter().map(|record| record.version).max() else { continue };
            if link.send(&PeerMessage::GossipRecords(records).encode()) {
                // Assumed to be received. The peer's next digest shows what was lost, which is then sent again.
                digest.retain(|(id, _)| *id != local_id);
                digest.push((local_id, last_version));
            }
        }
    }

    /// Replies to a peer's digest with the records that the peer is missing.
    pub(super) fn receive_gossip_digest(&self, sender: NodeId, digest: GossipDigest) {
        let records = {
            let peers = self.peers();
            let reachable_from_sender = match peers.status(sender) {
                Some(status) => status.heartbeat.reachable_peers.as_slice(),
                None => &[],
            };
            let is_reachable_from_sender = |id| reachable_from_sender.contains(&id);
            let limit = self.limits.observations_per_message;
            let now = self.clock.now();
            self.gossip().state.records_missing_from(now, &digest, is_reachable_from_sender, limit)
        };
        self.gossip.borrow_mut().peer_digests.insert(sender, digest);
        if !records.is_empty()
            && let Some(link) = self.link_to(sender)
        {
            link.send(&PeerMessage::GossipRecords(records).encode());
        }
    }

    /// Merges a peer's records. The engine gets a hint for each primary newly observed by another node.
    pub(super) fn receive_gossip_records(&self, records: Vec<GossipRecord>) {
        let now = self.clock.now();
        let observations = GossipState::peer_observations(now, &records);
        self.confirm_log_rollbacks(&observations);
        if self.is_recovering() {
            self.engine_queues.push_observations(observations);
        }
        let endpoints: Vec<String> = records.iter().map(|record| record.endpoint.clone()).collect();
        let new_beliefs = {
            let agreed = self.agreed();
            let state = &mut self.gossip.borrow_mut().state;
            state.merge(now, records, agreed.state());
            state.update_beliefs(now, agreed.state())
        };
        self.detect_restarts(now, endpoints.iter());
        self.queue_primary_hints(new_beliefs);
    }

    fn queue_primary_hints(&self, beliefs: BTreeMap<GroupId, PrimaryBelief>) {
        let local_id = self.agreed().local_id();
        for (group, belief) in beliefs.into_iter().filter(|(_, belief)| belief.observer != local_id) {
            log::info!("fleet: group {group}: a peer observed {} as the primary", belief.endpoint);
            let endpoint = id_of(&belief.endpoint);
            self.engine_queues.push_hint(PrimaryHint { endpoint, at: belief.observed_at });
        }
    }

    /// Passes a peer's hint to the engine: `age` ago this endpoint reported that it is the primary.
    pub(super) fn receive_primary_hint(&self, endpoint: EndpointBytes, age: TimeDelta) {
        let hint = PrimaryHint { endpoint: EndpointId::from(endpoint), at: self.clock.now() - age };
        self.engine_queues.push_hint(hint);
    }

    /// Sends a hint from this node's engine to the peers. Its time is sent as an age, because clocks may differ.
    pub fn send_primary_hint(&self, hint: &[u8]) {
        let Some(PrimaryHint { endpoint, at }) = PrimaryHint::decode(hint) else { return };
        let age = (self.clock.now() - at).or_zero();
        self.broadcast(&PeerMessage::PrimaryHint { endpoint: endpoint.into(), age });
    }

    /// Waits for the next primary hint for this node's engine.
    pub async fn next_primary_hint(&self) -> Option<Vec<u8>> {
        self.engine_queues.hint_receiver.recv().await.ok()
    }

    /// Hints for an engine that starts: the currently believed primaries, and those restored from before this start.
    pub fn initial_primary_hints(&self) -> Vec<Vec<u8>> {
        let (agreed, gossip) = (self.agreed(), self.gossip());
        let mut hints = Vec::new();
        for belief in gossip.state.primary_beliefs().values() {
            let endpoint = id_of(&belief.endpoint);
            hints.push(PrimaryHint { endpoint, at: belief.observed_at }.encode());
        }
        for guess in gossip.state.restored_primaries(agreed.state()).into_values() {
            hints.push(PrimaryHint { endpoint: id_of(&guess.endpoint), at: guess.observed_at }.encode());
        }
        hints
    }

    /// Log positions restored from before this start, for the engine.
    pub fn restored_positions(&self) -> Vec<PeerObservation> {
        self.gossip().state.restored_positions()
    }

    /// Waits for observations of peers for the engine, and returns all that are queued. Filled only while this node
    /// recovers.
    pub async fn next_peer_observations(&self) -> Option<Vec<PeerObservation>> {
        let queue = &self.engine_queues.observation_receiver;
        let mut observations = vec![queue.recv().await.ok()?];
        while let Ok(observation) = queue.try_recv() {
            observations.push(observation);
        }
        Some(observations)
    }

    /// Sends the gossip digest to all peers, unless it is empty.
    pub(super) fn broadcast_gossip_digest(&self) {
        let digest = self.gossip().state.digest();
        if !digest.is_empty() {
            self.broadcast(&PeerMessage::GossipDigest(digest));
        }
    }

    /// Removes endpoints and nodes that are no longer listed in the committed state.
    pub(super) fn remove_departed_from_gossip(&self, now: Timestamp) {
        let agreed = self.agreed();
        let mut gossip = self.gossip.borrow_mut();
        gossip.state.remove_departed(now, agreed.state());
        self.loss_detector.borrow_mut().retain(|endpoint| agreed.state().hosts.contains_key(endpoint));
        gossip.peer_digests.retain(|id, _| agreed.is_member(*id));
    }

    /// Queues the gossip for writing to disk if it has changed since the last time.
    pub(super) fn persist_gossip(&self) {
        let mut gossip = self.gossip.borrow_mut();
        let log_rollbacks = self.log_rollbacks.borrow().all();
        let version = PersistedVersion { digest: gossip.state.digest(), log_rollbacks };
        if gossip.state.is_empty() || gossip.persisted == version {
            return;
        }
        let record = PersistedGossip {
            written_at: read_clocks(&self.clock),
            records: gossip.state.records_to_persist(self.clock.now()),
            rollbacks: version.log_rollbacks.clone(),
        };
        let command =
            StoreCommand::PersistGossip { encoded: codec::encode(&record), records: record.records.len() };
        if self.send_to_store(command) {
            gossip.persisted = version;
        }
    }
}
