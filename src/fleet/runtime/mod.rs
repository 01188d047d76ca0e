//! The runtime of the fleet: performs the I/O for the decisions of the sibling modules, using connections, timers and
//! the store's thread.
//!
//! Start at [`Fleet`]. [`event_loop`] has the periodic work, [`store_events`] handles what the consensus reports, and
//! [`message_dispatch`] handles messages from peers. Everything runs on one thread. Each piece of state has one owner
//! and a `RefCell` of its own; no borrow is held across an `await`.
//!
//! | file | purpose | state that it owns |
//! | --- | --- | --- |
//! | `agreed_state` | applies committed log entries | [`AgreedState`] |
//! | `change_notifier` | wakes tasks after a change | `ChangeNotifier` |
//! | `drains` | drains that are not committed yet | [`DrainState`] |
//! | `endpoint_list` | the endpoint list for the engine | `EndpointChanges` |
//! | `event_loop` | periodic work | |
//! | `first_election` | immediate election after a start | `FirstElection` |
//! | `founding` | founding or joining a fleet | [`FoundingState`] |
//! | `gossip` | exchange of observations, hints for the engine | [`GossipExchange`], `EngineQueues` |
//! | `incoming_connection` | connections opened by peers | |
//! | `log_rollbacks` | detection and exchange of log rollbacks | `LogRollbacks` |
//! | `membership_requests` | requests about members, the leader's changes and drain proposals | `MembershipRequests` |
//! | `message_dispatch` | handling of messages from peers | |
//! | `operator_recovery` | recovery without a majority | |
//! | `outgoing_links` | connections opened by this node | |
//! | `own_files` | the operator's files compared with the committed state | [`OwnFiles`] |
//! | `peer_directory` | links, last heartbeats, candidates | [`PeerDirectory`] |
//! | `proposals` | changes that are proposed but not committed | `PendingProposals` |
//! | `recovery` | gradual return to service after a start | `RecoveryProgress` |
//! | `store_events` | events from the store's thread | |
//! | `zone_description` | zones as shown to operators and in metrics | |
//! | `zones` | evacuation of zones and their return | [`ZoneControl`] |

use super::bootstrap::Handshake;
use super::log_loss::LossDetector;
use super::message::{AppliedPosition, Heartbeat, PeerMessage};
use super::peer_link::PeerLink;
use super::pending_drains::PendingDrains;
use super::recovery::first_election::FirstElection;
use super::zones::EvacuationPolicy;
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::log_rollback::LogRollbacks;
use crate::ids::NodeId;
use crate::store::store_thread::{OpenedStore, StoreCommand};
use crate::time::Timestamp;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use std::cell::{Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;

mod agreed_state;
mod change_notifier;
mod drains;
mod endpoint_list;
mod event_loop;
mod first_election;
mod founding;
mod gossip;
mod incoming_connection;
mod log_rollbacks;
mod membership_requests;
mod message_dispatch;
mod operator_recovery;
mod outgoing_links;
mod own_files;
mod peer_directory;
mod proposals;
mod recovery;
mod store_events;
mod zone_description;
mod zones;

pub use self::agreed_state::AgreedState;
pub use self::drains::{DrainOutcome, DrainState, UnknownEndpoint};
pub use self::founding::{FoundingError, FoundingState};
pub use self::gossip::GossipExchange;
pub use self::membership_requests::MembershipRequestError;
pub use self::operator_recovery::{RecoveryError, RecoveryPlan};
pub use self::own_files::{FileContents, OwnFiles};
pub use self::peer_directory::{Candidate, PeerDirectory, PeerStatus};
pub use self::proposals::NoMajority;
pub use self::recovery::{RecoveryRules, RecoveryStatus};
pub use self::zone_description::ZoneMetrics;
pub use self::zones::{ZoneCommandFailure, ZoneControl};

use self::change_notifier::ChangeNotifier;
use self::endpoint_list::EndpointChanges;
use self::gossip::EngineQueues;
use self::membership_requests::MembershipRequests;
use self::proposals::PendingProposals;
use self::recovery::RecoveryProgress;

/// A peer counts as reachable for this many heartbeat intervals after its last message, so that one lost heartbeat does
/// not make it unreachable.
const REACHABLE_HEARTBEATS: u32 = 3;

/// This node's identity and settings from its operator's file.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The name that operators and peers use for this node.
    pub name: String,
    /// The address that peers connect to.
    pub address: SocketAddr,
    /// The addresses of peers listed in the operator's file.
    pub configured_peers: Vec<SocketAddr>,
    /// The rules for evacuating zones, and the names of zones.
    pub evacuation_policy: EvacuationPolicy,
}

/// The fleet as seen by this node, and this node's part in it. Shared by all tasks of the process.
pub struct Fleet {
    local: LocalNode,
    /// Limits and timeouts of the process.
    pub limits: Rc<Limits>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    /// The bounded command queue of the store's thread; see [`Fleet::send_to_store`] for what happens when it is full.
    store: SyncSender<StoreCommand>,
    changes: ChangeNotifier,
    agreed: RefCell<AgreedState>,
    own_files: RefCell<OwnFiles>,
    proposals: RefCell<PendingProposals>,
    drains: RefCell<DrainState>,
    requests: RefCell<MembershipRequests>,
    founding: RefCell<FoundingState>,
    peers: RefCell<PeerDirectory>,
    first_election: RefCell<FirstElection>,
    gossip: RefCell<GossipExchange>,
    engine_queues: EngineQueues,
    /// Log rollbacks of all groups, detected here or received from peers. The SPARQL front reads them to handle
    /// requests of sessions that are affected.
    pub log_rollbacks: Rc<RefCell<LogRollbacks>>,
    loss_detector: RefCell<LossDetector>,
    recovery: RefCell<RecoveryProgress>,
    zones: RefCell<ZoneControl>,
    endpoint_changes: RefCell<EndpointChanges>,
}

impl Fleet {
    /// Creates the fleet from what the store held, before any contact with peers. `store` is the command queue of the
    /// store's thread.
    pub fn new(
        local: LocalNode,
        limits: Rc<Limits>,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        opened: OpenedStore,
        store: SyncSender<StoreCommand>,
    ) -> Rc<Fleet> {
        let OpenedStore { identity, state, status, drains, gossip: stored_gossip, legacy } = opened;
        let mut drains = PendingDrains::new(drains);
        let mut legacy_changes = Vec::new();
        if let Some(legacy) = legacy {
            // A store of version 0.2.0 identifies drains by endpoint name only. They are requested anew by this node.
            for endpoint in &legacy.drains {
                drains.request_drain(endpoint, identity.id, clock.now(), limits.pending_drains);
            }
            legacy_changes = legacy.changes(&local.name);
        }
        drains.remove_resolved(&state);
        let mut gossip = gossip::new_gossip_state(identity.id, &clock);
        let mut log_rollbacks = LogRollbacks::default();
        gossip::restore_gossip(stored_gossip, &clock, &mut gossip, &mut log_rollbacks);
        Rc::new(Fleet {
            changes: ChangeNotifier::default(),
            agreed: RefCell::new(AgreedState::new(identity, state, status)),
            own_files: RefCell::new(OwnFiles::new(legacy_changes)),
            proposals: RefCell::new(PendingProposals::new(clock.now())),
            drains: RefCell::new(DrainState::new(drains)),
            requests: RefCell::new(MembershipRequests::new(limits.fleet_nodes)),
            founding: RefCell::new(FoundingState::new()),
            peers: RefCell::new(PeerDirectory::new(limits.fleet_nodes)),
            first_election: RefCell::default(),
            gossip: RefCell::new(GossipExchange::new(gossip)),
            engine_queues: EngineQueues::new(),
            log_rollbacks: Rc::new(RefCell::new(log_rollbacks)),
            loss_detector: RefCell::default(),
            recovery: RefCell::new(RecoveryProgress::new()),
            zones: RefCell::new(ZoneControl::new(local.evacuation_policy.clone())),
            endpoint_changes: RefCell::new(EndpointChanges::All),
            local,
            limits,
            clock,
            executor,
            store,
        })
    }

    /// This node's identity and settings from its operator's file.
    pub fn local(&self) -> &LocalNode {
        &self.local
    }

    /// The current time by this node's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The committed state as applied here, and this node's part in the consensus.
    pub fn agreed(&self) -> Ref<'_, AgreedState> {
        self.agreed.borrow()
    }

    /// Links to peers, their last heartbeats, and candidates.
    pub fn peers(&self) -> Ref<'_, PeerDirectory> {
        self.peers.borrow()
    }

    /// What this node and its peers have observed of the endpoints.
    pub fn gossip(&self) -> Ref<'_, GossipExchange> {
        self.gossip.borrow()
    }

    /// Drains that are not committed yet.
    pub fn drains(&self) -> Ref<'_, DrainState> {
        self.drains.borrow()
    }

    /// This node's own files and how they differ from the committed state.
    pub fn own_files(&self) -> Ref<'_, OwnFiles> {
        self.own_files.borrow()
    }

    /// The progress of founding or joining a fleet.
    pub fn founding(&self) -> Ref<'_, FoundingState> {
        self.founding.borrow()
    }

    /// The text of the committed settings; `None` before any are committed.
    pub fn committed_settings(&self) -> Option<String> {
        self.agreed().state().settings.as_ref().map(|settings| settings.text.clone())
    }

    /// Returns a channel that receives a message after each later change of the fleet's state. Changes that occur
    /// before the receiver reads the message are merged into one.
    pub fn subscribe(&self) -> Receiver<()> {
        self.changes.subscribe()
    }

    /// Whether this node has applied everything that any node has reported as committed, and the leader itself has
    /// confirmed its term. Always true for a retired node, which receives no further entries.
    pub fn is_up_to_date(&self) -> bool {
        let agreed = self.agreed();
        if agreed.is_retired() {
            return true;
        }
        let status = agreed.status();
        if !agreed.has_leader() || !status.participating {
            return false;
        }
        // Only the leader's own heartbeat confirms its term; a deposed leader reports an older one.
        let peers = self.peers();
        let leader_term = peers.status(status.leader).map(|leader| leader.heartbeat.term);
        let is_confirmed = agreed.is_leader() || leader_term == Some(status.term);
        is_confirmed && self.replication_lag() == 0
    }

    /// Whether a message has arrived from each member to which this node has a link. A member's first message after it has
    /// connected has its pending drains, if there are any.
    pub fn has_heard_connected_members(&self) -> bool {
        let (agreed, peers) = (self.agreed(), self.peers());
        let mut connected = peers.links().filter(|link| link.is_up()).map(|link| link.peer_id());
        let has_sent_messages = |id| peers.status(id).is_some_and(|status| status.has_sent_messages);
        connected.all(|id| !agreed.is_member(id) || has_sent_messages(id))
    }

    /// Number of log entries that some node has reported as committed and that are not applied here.
    pub fn replication_lag(&self) -> u64 {
        let agreed = self.agreed();
        let highest = self.peers().highest_commit_index().max(Some(agreed.status().committed));
        highest.unwrap_or(0).saturating_sub(agreed.applied_index())
    }

    /// Builds this node's current handshake.
    fn own_handshake(&self) -> Handshake {
        let agreed = self.agreed();
        Handshake {
            fleet: agreed.state().fleet,
            id: agreed.local_id(),
            name: self.local.name.clone(),
            address: self.local.address,
            progress: agreed.status().own_progress,
        }
    }

    /// Builds a heartbeat with this node's current state.
    fn own_heartbeat(&self) -> PeerMessage {
        let agreed = self.agreed();
        let status = agreed.status();
        PeerMessage::Heartbeat(Heartbeat {
            leader: status.leader,
            term: status.term,
            last_entry: status.own_progress.last_entry,
            participates: status.participating,
            commit_index: status.committed,
            applied: AppliedPosition { index: agreed.applied_index(), digest: agreed.state().digest },
            pending_drains_digest: self.drains().pending().digest(),
            reachable_peers: self.recently_heard_peers(),
            recovering: self.is_recovering(),
        })
    }

    /// Peers from which a message arrived within [`REACHABLE_HEARTBEATS`] heartbeat intervals.
    fn recently_heard_peers(&self) -> Vec<NodeId> {
        let age = self.limits.heartbeat_interval * REACHABLE_HEARTBEATS;
        self.peers().heard_within(age, self.limits.fleet_nodes)
    }

    /// Queues a command for the store's thread; returns whether it was queued. The queue is full when the disk is slow.
    /// Callers repeat commands that are still needed; Raft messages may be lost here as on any connection.
    fn send_to_store(&self, command: StoreCommand) -> bool {
        let is_queued = self.store.try_send(command).is_ok();
        if !is_queued {
            log::debug!("store: command dropped because the queue is full");
        }
        is_queued
    }

    /// Sends a message on every link that is up.
    fn broadcast(&self, message: &PeerMessage) {
        let bytes = message.encode();
        for link in self.peers().links().filter(|link| link.is_up()) {
            link.send(&bytes);
        }
    }

    /// The link to a node, if messages can be sent on it.
    fn link_to(&self, id: NodeId) -> Option<Rc<PeerLink>> {
        self.peers().link_to(id)
    }

    /// Closes and reopens the connections in both directions, because this node's handshake has changed.
    fn reconnect_all(&self) {
        self.peers.borrow_mut().reconnect_all();
    }
}

#[cfg(test)]
mod tests;
