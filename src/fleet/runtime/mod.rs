//! The runtime of the fleet: carries out what the modules beside it decide, over connections, timers and the store's
//! thread.
//!
//! Start at [`Fleet`], then [`event_loop`] for what is done periodically, [`store_events`] for what the consensus
//! reports, and [`message_dispatch`] for what a peer's message leads to. All of it runs on one thread. Each piece of
//! state has one owner, in a `RefCell` of its own; a borrow never lasts across an `await`.
//!
//! | file | what it does | state that it owns |
//! | --- | --- | --- |
//! | `agreed_state` | applies committed entries | [`AgreedState`] |
//! | `change_notifier` | wakes tasks that wait for a change | `ChangeNotifier` |
//! | `drains` | drains that are not committed yet | [`DrainState`] |
//! | `endpoint_list` | the list that the engine is given | `EndpointChanges` |
//! | `event_loop` | periodic work | |
//! | `first_election` | an election at once after a start | `FirstElection` |
//! | `founding` | how this node comes into a fleet | [`FoundingState`] |
//! | `gossip` | exchange of observations, hints for the engine | [`GossipExchange`], `EngineQueues` |
//! | `incoming_connection` | connections that peers open | |
//! | `log_rollbacks` | lost ranges of groups' logs | `LogRollbacks` |
//! | `membership_requests` | operators' requests, the leader's next step | `MembershipRequests` |
//! | `message_dispatch` | what a message leads to | |
//! | `operator_recovery` | recovery without a majority | |
//! | `outgoing_links` | connections that this node opens | |
//! | `own_files` | the operator's files against the committed state | [`OwnFiles`] |
//! | `peer_directory` | links, last heartbeats, candidates | [`PeerDirectory`] |
//! | `proposals` | changes on their way into the log | `PendingProposals` |
//! | `recovery` | how service returns after a start | `RecoveryProgress` |
//! | `store_events` | events of the store's thread | |
//! | `zone_description` | what operators read about zones | |
//! | `zones` | evacuation and return of zones | [`ZoneControl`] |

use super::bootstrap::Handshake;
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
pub use self::founding::{FoundingState, NotFounded};
pub use self::gossip::GossipExchange;
pub use self::membership_requests::MembershipRequestError;
pub use self::operator_recovery::{RecoveryError, RecoveryPlan};
pub use self::own_files::{Files, OwnFiles};
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

/// A peer counts as reachable while a message of it is younger than this many heartbeat intervals: one heartbeat may be
/// lost.
const REACHABLE_HEARTBEATS: u32 = 3;

/// What this node is to its peers, by its operator's file.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Its name.
    pub name: String,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The addresses of peers in its operator's file.
    pub named: Vec<SocketAddr>,
    /// How zones are evacuated, and their names.
    pub leaving: EvacuationPolicy,
}

/// The fleet as one of its nodes sees it, and this node's part in it.
pub struct Fleet {
    local: LocalNode,
    /// The program's limits.
    pub limits: Rc<Limits>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    /// The queue of the store's thread. Bounded: see [`Fleet::send_to_store`].
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
    /// Lost ranges of groups' logs. The SPARQL front reads them.
    pub breaks: Rc<RefCell<LogRollbacks>>,
    recovery: RefCell<RecoveryProgress>,
    zones: RefCell<ZoneControl>,
    endpoint_changes: RefCell<EndpointChanges>,
}

impl Fleet {
    /// The fleet by what the store held, before anything is heard from peers. `store` is the queue of the store's
    /// thread.
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
            // A store of version 0.2.0 holds drains by name alone: they become drains of this node.
            for endpoint in &legacy.drains {
                drains.request_drain(endpoint, identity.id, clock.now());
            }
            legacy_changes = legacy.changes(&local.name);
        }
        drains.remove_settled(&state);
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
            breaks: Rc::new(RefCell::new(log_rollbacks)),
            recovery: RefCell::new(RecoveryProgress::new()),
            zones: RefCell::new(ZoneControl::new(local.leaving.clone())),
            endpoint_changes: RefCell::new(EndpointChanges::All),
            local,
            limits,
            clock,
            executor,
            store,
        })
    }

    /// What this node is to its peers.
    pub fn local(&self) -> &LocalNode {
        &self.local
    }

    /// The present, by this node's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// What is committed, and this node's part in the consensus.
    pub fn agreed(&self) -> Ref<'_, AgreedState> {
        self.agreed.borrow()
    }

    /// The peers.
    pub fn peers(&self) -> Ref<'_, PeerDirectory> {
        self.peers.borrow()
    }

    /// What is known of the endpoints.
    pub fn gossip(&self) -> Ref<'_, GossipExchange> {
        self.gossip.borrow()
    }

    /// Drains that are not committed yet.
    pub fn drains(&self) -> Ref<'_, DrainState> {
        self.drains.borrow()
    }

    /// This node's own files.
    pub fn own_files(&self) -> Ref<'_, OwnFiles> {
        self.own_files.borrow()
    }

    /// How this node comes into a fleet.
    pub fn founding(&self) -> Ref<'_, FoundingState> {
        self.founding.borrow()
    }

    /// The committed settings.
    pub fn committed_settings(&self) -> Option<String> {
        self.agreed().state().settings.as_ref().map(|settings| settings.text.clone())
    }

    /// Receives a message after every change of what is known, from now on.
    pub fn subscribe(&self) -> Receiver<()> {
        self.changes.subscribe()
    }

    /// Whether everything is applied here that any node has reported as committed, and the leader itself has confirmed
    /// its term. Holds also for a node that takes no part any more: nothing new will come.
    pub fn is_up_to_date(&self) -> bool {
        let agreed = self.agreed();
        if agreed.is_retired() {
            return true;
        }
        let status = agreed.status();
        if !agreed.has_leader() || !status.participating {
            return false;
        }
        // The leader's own heartbeat: a former leader reports a former term.
        let peers = self.peers();
        let leader_term = peers.status(status.leader).map(|leader| leader.heartbeat.term);
        let is_confirmed = agreed.is_leader() || leader_term == Some(status.term);
        is_confirmed && self.replication_lag() == 0
    }

    /// Log entries that are not applied here, of those that any node has reported as committed.
    pub fn replication_lag(&self) -> u64 {
        let agreed = self.agreed();
        let highest = self.peers().highest_commit_index().max(Some(agreed.status().committed));
        highest.unwrap_or(0).saturating_sub(agreed.applied_index())
    }

    /// This node's handshake.
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

    /// This node's heartbeat.
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

    /// Peers from which a message arrived recently.
    fn recently_heard_peers(&self) -> Vec<NodeId> {
        let age = self.limits.heartbeat_interval * REACHABLE_HEARTBEATS;
        self.peers().heard_within(age, self.limits.fleet_nodes)
    }

    /// Hands a command to the store's thread; returns whether it was queued. The queue is full where the disk is slow:
    /// callers repeat what they still need, and messages of the consensus may be lost as on any connection.
    fn send_to_store(&self, command: StoreCommand) -> bool {
        let is_queued = self.store.try_send(command).is_ok();
        if !is_queued {
            log::debug!("store: queue full, command dropped");
        }
        is_queued
    }

    /// Sends a message to all peers.
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

    /// Has all connections opened again, in both directions: this node's handshake has changed.
    fn reconnect_all(&self) {
        self.peers.borrow_mut().reconnect_all();
    }
}

#[cfg(test)]
mod tests;
