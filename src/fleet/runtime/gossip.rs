//! Gossip: what endpoints have reported to this node or a peer, exchanged with the peers, kept on disk, and handed to
//! the engine.

use super::Fleet;
use crate::clock::Clock;
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

/// Hints at primaries that wait for the engine. A hint that does not fit is dropped: the engine finds primaries by
/// itself, hints make it faster.
const HINT_QUEUE: usize = 64;

/// Observations of peers that wait for the engine while this node recovers. One that does not fit is dropped: the
/// endpoint is polled then.
const OBSERVATION_QUEUE: usize = 4096;

/// What of the gossip is on disk.
#[derive(Default, PartialEq)]
struct PersistedVersion {
    digest: GossipDigest,
    log_rollbacks: Vec<LogRollback>,
}

/// The gossip, what each peer has of it, and what of it is on disk.
pub struct GossipExchange {
    state: GossipState,
    /// Each peer's last digest, with what was sent to it since.
    peer_digests: BTreeMap<NodeId, GossipDigest>,
    persisted: PersistedVersion,
}

impl GossipExchange {
    /// Gossip of this start, with guesses from the state before it.
    pub(super) fn new(state: GossipState) -> GossipExchange {
        GossipExchange { state, peer_digests: BTreeMap::new(), persisted: PersistedVersion::default() }
    }

    /// What is known of the endpoints.
    pub fn state(&self) -> &GossipState {
        &self.state
    }

    /// This node has a new identity: it starts without gossip.
    pub(super) fn replace_state(&mut self, state: GossipState) {
        self.state = state;
    }
}

/// What the fleet hands to the engine.
pub(super) struct EngineQueues {
    hint_sender: Sender<Vec<u8>>,
    hint_receiver: Receiver<Vec<u8>>,
    observation_sender: Sender<PeerObservation>,
    observation_receiver: Receiver<PeerObservation>,
}

impl EngineQueues {
    /// Empty queues.
    pub(super) fn new() -> EngineQueues {
        let (hint_sender, hint_receiver) = async_channel::bounded(HINT_QUEUE);
        let (observation_sender, observation_receiver) = async_channel::bounded(OBSERVATION_QUEUE);
        EngineQueues { hint_sender, hint_receiver, observation_sender, observation_receiver }
    }

    fn push_hint(&self, hint: PrimaryHint) {
        let _ = self.hint_sender.try_send(hint.write());
    }

    fn push_observations(&self, observations: Vec<PeerObservation>) {
        for observation in observations {
            let _ = self.observation_sender.try_send(observation);
        }
    }
}

/// The gossip of an empty state of this start.
pub(super) fn new_gossip_state(local_id: NodeId, clock: &Clock) -> GossipState {
    GossipState::new(local_id, clock.now().as_micros().max(0) as u64)
}

/// What the storage held: gossip as first guesses, as far as its age is known, and lost ranges of groups' logs. These
/// count whatever the clock did, as they name positions and not times.
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

/// The machine's clocks now.
fn read_clocks(clock: &Clock) -> ClockReading {
    let (boot_id, uptime) = Clock::machine();
    ClockReading { wall: clock.now(), boot_id, uptime }
}

impl Fleet {
    /// Takes in what endpoints have reported to this node, and tells the peers what is urgent.
    pub fn record_observations(&self, observations: &[Observation]) {
        let now = self.clock.now();
        let rollbacks = self.detect_log_rollbacks(observations);
        if !rollbacks.is_empty() {
            self.record_log_rollbacks(rollbacks, &self.local.name);
        }
        let urgency = {
            // While this node recovers its peers recover too, most likely, and wait for what it observes.
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

    /// Sends each peer what it lacks of this node's own observations, by its last digest, without being asked.
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
                // Taken as received until the peer's next digest: what was lost on the way is sent again then.
                digest.retain(|(id, _)| *id != local_id);
                digest.push((local_id, last_version));
            }
        }
    }

    /// Answers the digest of a peer with what the peer lacks.
    pub(super) fn receive_gossip_digest(&self, sender: NodeId, digest: GossipDigest) {
        let records = {
            let peers = self.peers();
            let heard_by_sender = match peers.status(sender) {
                Some(status) => status.heartbeat.reachable_peers.as_slice(),
                None => &[],
            };
            let sender_hears = |id| heard_by_sender.contains(&id);
            let limit = self.limits.observations_per_message;
            self.gossip().state.records_missing_from(self.clock.now(), &digest, sender_hears, limit)
        };
        self.gossip.borrow_mut().peer_digests.insert(sender, digest);
        if !records.is_empty()
            && let Some(link) = self.link_to(sender)
        {
            link.send(&PeerMessage::GossipRecords(records).encode());
        }
    }

    /// Takes in the records of a peer. The engine gets a hint of each primary that a peer has observed.
    pub(super) fn receive_gossip_records(&self, records: Vec<GossipRecord>) {
        let now = self.clock.now();
        if self.is_recovering() {
            self.engine_queues.push_observations(GossipState::peer_observations(now, &records));
        }
        let endpoints: Vec<String> = records.iter().map(|record| record.endpoint.clone()).collect();
        let new_beliefs = {
            let agreed = self.agreed();
            let state = &mut self.gossip.borrow_mut().state;
            state.merge(now, records, agreed.state());
            state.update_beliefs(now, agreed.state())
        };
        self.detect_restarts(now, endpoints.iter());
        self.hint_at_new_primaries(new_beliefs);
    }

    fn hint_at_new_primaries(&self, beliefs: BTreeMap<GroupId, PrimaryBelief>) {
        let local_id = self.agreed().local_id();
        for (group, belief) in beliefs.into_iter().filter(|(_, belief)| belief.observer != local_id) {
            log::info!("fleet: group {group}: a peer has observed that {} is primary", belief.endpoint);
            let endpoint = id_of(&belief.endpoint);
            self.engine_queues.push_hint(PrimaryHint { endpoint, at: belief.observed_at });
        }
    }

    /// An endpoint has reported to a peer's engine that it is the primary, `age` ago.
    pub(super) fn receive_primary_hint(&self, endpoint: EndpointBytes, age: TimeDelta) {
        let hint = PrimaryHint { endpoint: EndpointId::from(endpoint), at: self.clock.now() - age };
        self.engine_queues.push_hint(hint);
    }

    /// Sends the peers a hint of this node's engine. Its time is sent as an age: clocks may differ.
    pub fn send_primary_hint(&self, hint: &[u8]) {
        let Some(PrimaryHint { endpoint, at }) = PrimaryHint::read(hint) else { return };
        let age = (self.clock.now() - at).or_zero();
        self.broadcast(&PeerMessage::PrimaryHint { endpoint: endpoint.into(), age });
    }

    /// The next hint of a peer for this node's engine.
    pub async fn next_primary_hint(&self) -> Option<Vec<u8>> {
        self.engine_queues.hint_receiver.recv().await.ok()
    }

    /// Hints for an engine that starts: the believed primaries, and guesses from before this start.
    pub fn initial_primary_hints(&self) -> Vec<Vec<u8>> {
        let (agreed, gossip) = (self.agreed(), self.gossip());
        let mut hints = Vec::new();
        for belief in gossip.state.primary_beliefs().values() {
            let endpoint = id_of(&belief.endpoint);
            hints.push(PrimaryHint { endpoint, at: belief.observed_at }.write());
        }
        for guess in gossip.state.restored_primaries(agreed.state()).into_values() {
            hints.push(PrimaryHint { endpoint: id_of(&guess.endpoint), at: guess.observed_at }.write());
        }
        hints
    }

    /// Log positions from before this start, for the engine.
    pub fn restored_positions(&self) -> Vec<PeerObservation> {
        self.gossip().state.restored_positions()
    }

    /// The next observations of peers for the engine, while this node recovers.
    pub async fn next_peer_observations(&self) -> Option<Vec<PeerObservation>> {
        let queue = &self.engine_queues.observation_receiver;
        let mut observations = vec![queue.recv().await.ok()?];
        while let Ok(observation) = queue.try_recv() {
            observations.push(observation);
        }
        Some(observations)
    }

    /// Sends the digest to all peers, if there is any gossip to compare.
    pub(super) fn broadcast_gossip_digest(&self) {
        let digest = self.gossip().state.digest();
        if !digest.is_empty() {
            self.broadcast(&PeerMessage::GossipDigest(digest));
        }
    }

    /// Forgets endpoints and nodes that are not listed any more.
    pub(super) fn remove_departed_from_gossip(&self, now: Timestamp) {
        let agreed = self.agreed();
        let mut gossip = self.gossip.borrow_mut();
        gossip.state.remove_departed(now, agreed.state());
        gossip.peer_digests.retain(|id, _| agreed.is_member(*id));
    }

    /// Has the store's thread write the gossip, if it has changed since it was last written.
    pub(super) fn persist_gossip(&self) {
        let mut gossip = self.gossip.borrow_mut();
        let log_rollbacks = self.breaks.borrow().all();
        let version = PersistedVersion { digest: gossip.state.digest(), log_rollbacks };
        if gossip.state.is_empty() || gossip.persisted == version {
            return;
        }
        let record = PersistedGossip {
            written_at: read_clocks(&self.clock),
            records: gossip.state.records_to_persist(self.clock.now()),
            rollbacks: version.log_rollbacks.clone(),
        };
        log::debug!("fleet: {} gossip records are written to disk", record.records.len());
        if self.send_to_store(StoreCommand::PersistGossip(codec::encode(&record))) {
            gossip.persisted = version;
        }
    }
}
