//! Carries out what the fleet's decisions say: keeps the ways to the others open, hands letters to the thread
//! that owns the agreement and takes in what it agreed on.

use self::gossip::clocks;
use super::bootstrap::{self, Bootstrap, BootstrapState, Handshake, HandshakeVerdict};
use super::gossip::{GossipState, GossipUrgency, GossipVersion};
use super::membership::{MembershipAction, MembershipRequest, MembershipView, VoterStatus};
use super::message::{AppliedPosition, DecodedMessage, HandshakeReply, Heartbeat, PeerMessage};
use super::peer_link::{LinkDecision, PATH, PROTOCOL, PeerLink, PeerLinkEvents};
use super::pending_drains::PendingDrains;
use super::recovery::first_election::FirstElection;
use super::recovery::phases::{
    EndpointView, RecoveryDecision, RecoveryPhase, RecoverySchedule, WAITING_FOR_LIST,
};
use super::recovery::restart_detector::{KnownEndpoint, RestartDetector};
use super::recovery::slow_start::SlowStartPolicy;
use super::recovery::{ClockReading, PersistedGossip, RestoredAge, restored_age};
use super::zones::{EvacuationPolicy, ZoneState};
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::admission::AdmissionPolicy;
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate, id_of};
use crate::engine::log_rollback::{LogRollback, LogRollbacks};
use crate::engine::observations::{Observation, START_TIME_TOLERANCE};
use crate::engine::{PeerObservation, PollParticipants};
use crate::ids::NodeId;
use crate::ids::{FleetId, GroupId, ZoneId};
use crate::inventory::Inventory;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, Request};
use crate::net::until;
use crate::primary_hint::PrimaryHint;
use crate::routing::{Availability, EndpointId};
use crate::store::codec;
use crate::store::raft_message::RaftMessage;
use crate::store::raft_node::{AppliedContent, AppliedEntry, SnapshotDelivery};
use crate::store::records::HostRecord;
use crate::store::state_machine::{
    ApplyResult, Change, ClusterState, InventoryDifference, Member, PendingDrain, Proposal,
};
use crate::store::storage::{IdentityResetReason, NodeIdentity};
use crate::store::store_thread::{OpenedStore, StoreCommand, StoreEvent, StoreStatus};
use crate::store::zone_weights::WeightReason;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

mod drains;
mod endpoint_list;
mod event_loop;
mod first;
mod founding;
mod gossip;
mod incoming_link;
mod log_rollbacks;
mod membership_requests;
mod message_dispatch;
mod operator_recovery;
mod own_files;
mod peer_sessions;
mod proposals;
mod recovery;
mod store_events;
mod zones;

/// What groups have lost is said again for so long.
const LATELY: TimeDelta = TimeDelta::from_secs(60);

/// What this daemon's own files say, each with when it was last changed.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The settings of the operator's file.
    pub settings: Option<(String, Timestamp)>,
    /// The inventory.
    pub hosts: Option<(Inventory, Timestamp)>,
}

/// What of the learned state lies on the disk: whose words, and what groups have lost.
type Kept = (Vec<(NodeId, GossipVersion)>, Vec<LogRollback>);

/// Who this daemon is to the others.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Addresses of others that its own file names.
    pub named: Vec<SocketAddr>,
    /// How it leaves zones.
    pub leaving: EvacuationPolicy,
}

/// What was last heard of another daemon.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// When.
    pub at: Instant,
    /// Its name.
    pub name: String,
    /// Its last word.
    pub beat: Heartbeat,
    /// Since when it has known no leader.
    pub leaderless: Option<Instant>,
}

impl PeerStatus {
    /// What a daemon says of itself when it is met.
    fn met(hello: &Handshake) -> PeerStatus {
        let beat = Heartbeat {
            term: hello.witness.term,
            last_entry: hello.witness.last_entry,
            ..Heartbeat::default()
        };
        PeerStatus { at: Instant::now(), name: hello.name.clone(), beat, leaderless: None }
    }
}

/// Hosts that may have changed in the list.
enum Touched {
    All,
    Hosts(BTreeSet<String>),
}

/// All that the driver knows.
pub struct Table {
    /// Who this daemon is, by its disk.
    pub identity: NodeIdentity,
    /// What is agreed.
    pub state: ClusterState,
    /// The last place of the log that was taken in.
    pub applied: u64,
    /// How things stand with the agreement.
    pub status: StoreStatus,
    /// Drains that are not agreed.
    pub marks: PendingDrains,
    /// What this daemon's own files say.
    pub files: Files,
    /// What a store of the old form said.
    pub legacy: Vec<Change>,
    /// Daemons that are no members and were met, with when.
    pub candidates: BTreeMap<NodeId, (Handshake, Instant)>,
    /// What others said of themselves while there was no fleet.
    pub met: BTreeMap<SocketAddr, Handshake>,
    /// Addresses at which a fleet's members are said to be.
    pub told: BTreeMap<SocketAddr, String>,
    /// What the fleet has learned of the hosts.
    pub learned: GossipState,
    /// What each of the others knows of that, by its last word.
    pub digests: BTreeMap<NodeId, Vec<(NodeId, GossipVersion)>>,
    /// The last word of each.
    pub heard: BTreeMap<NodeId, PeerStatus>,
    /// Members that have found nothing wrong with this daemon's disk.
    pub welcomes: BTreeSet<NodeId>,
    /// What operators want, with when it was last said.
    pub wishes: BTreeMap<(String, MembershipRequest), Instant>,
    /// An operator has said that a fleet is to be formed with whoever has answered.
    pub word: bool,
    /// This daemon was removed from its fleet.
    pub removed: bool,
    /// The disk failed.
    pub broken: Option<String>,
    /// Why there is no agreed configuration, or none to act on, since when.
    pub stand: (String, Instant),
    /// How this daemon's inventory file differs from the agreed one: added, changed, missing.
    pub differs: Option<InventoryDifference>,
    /// Frames that were out of form or from strangers.
    pub dropped: u64,
    /// Since when this daemon leads.
    pub leads: Option<Instant>,
}

impl Table {
    /// The name of a member; of another one its id.
    pub fn name(&self, id: NodeId) -> String {
        self.state.members.get(&id).map_or(format!("{id:016x}"), |m| m.name.clone())
    }

    /// Places of the log that this daemon has yet to take in, by what anybody said to be agreed.
    pub fn lag(&self) -> u64 {
        let told = self.heard.values().map(|h| h.beat.commit_index).chain([self.status.committed]).max();
        told.unwrap_or(0).saturating_sub(self.applied)
    }
}

/// The fleet as one of its daemons sees it.
pub struct Fleet {
    /// Who this daemon is to the others.
    pub me: Me,
    /// The program's limits.
    pub limits: Rc<Limits>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    inputs: SyncSender<StoreCommand>,
    table: RefCell<Table>,
    ways: RefCell<BTreeMap<SocketAddr, Rc<PeerLink>>>,
    /// Those who wait for what changes.
    waiting: RefCell<Vec<Sender<()>>>,
    /// Changes that were said here and wait for the log.
    tokens: RefCell<BTreeMap<u64, Option<ApplyResult>>>,
    next: Cell<u64>,
    saved: Cell<u64>,
    saving: Cell<u64>,
    hints: (Sender<Vec<u8>>, Receiver<Vec<u8>>),
    proposed: RefCell<BTreeMap<String, (u64, Instant)>>,
    /// Closed when all connections are to be opened anew.
    epoch: RefCell<(Sender<()>, Receiver<()>)>,
    compared: Cell<(Timestamp, u64)>,
    touched: RefCell<Touched>,
    /// What lies on the disk of what was learned.
    kept: RefCell<Kept>,
    /// What groups have lost; the front looks at it.
    pub breaks: Rc<RefCell<LogRollbacks>>,
    /// In which order service returns; `None`: it has, or this daemon has no settings yet.
    order: RefCell<Option<RecoverySchedule>>,
    service: RefCell<RecoveryStatus>,
    restarts: RefCell<RestartDetector>,
    cold: Cell<Option<SlowStartPolicy>>,
    told: (Sender<PeerObservation>, Receiver<PeerObservation>),
    zoning: RefCell<ZoneState>,
    /// Moves of zones that were proposed here a moment ago: by zone, its number and when.
    moving: RefCell<BTreeMap<ZoneId, (u64, Instant)>>,
    lead: RefCell<FirstElection>,
}

/// How far this daemon's service has returned.
#[derive(Clone, Debug)]
pub struct RecoveryStatus {
    /// The step.
    pub step: RecoveryPhase,
    /// What is waited for.
    pub waits: String,
    /// Since when.
    pub since: Instant,
    /// When this daemon started.
    pub began: Instant,
    /// When all was as ever.
    pub done: Option<Instant>,
}

impl RecoveryStatus {
    fn new(waits: &str) -> RecoveryStatus {
        let now = Instant::now();
        RecoveryStatus { step: RecoveryPhase::List, waits: waits.into(), since: now, began: now, done: None }
    }
}

/// What became of a change that an operator asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is agreed.
    Agreed,
    /// It holds here, and waits for a majority.
    Here,
    /// It does not hold: there was no majority in time.
    Not,
}

impl Fleet {
    /// The fleet, before anything is heard of the others.
    pub fn new(
        me: Me,
        limits: Rc<Limits>,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        opened: OpenedStore,
        inputs: SyncSender<StoreCommand>,
    ) -> Rc<Fleet> {
        let now = Instant::now();
        let OpenedStore { identity, state, status, drains: marks, gossip: kept, legacy } = opened;
        let mut marks = PendingDrains::new(marks);
        let legacy = legacy.map_or(Vec::new(), |old| {
            for host in &old.drains {
                marks.request_drain(host, identity.id, clock.now());
            }
            old.changes(&me.name)
        });
        marks.remove_settled(&state);
        let mut learned = GossipState::new(identity.id, clock.now().as_micros().max(0) as u64);
        let mut breaks = LogRollbacks::default();
        if let Some(saved) = kept.and_then(|bytes| codec::decode::<PersistedGossip>(&bytes)) {
            for b in &saved.rollbacks {
                breaks.record(*b);
            }
            match restored_age(&saved.written_at, &clocks(&clock)) {
                RestoredAge::Usable(since) => {
                    log::info!(
                        "fleet: what was learned before is {} ms old; it is a first guess",
                        since.as_millis()
                    );
                    learned.restore(clock.now(), &saved.records, since);
                }
                RestoredAge::Unusable(why) => log::warn!("fleet: what was learned before is not used: {why}"),
            }
        }
        let table = Table {
            learned,
            digests: BTreeMap::new(),
            applied: status.applied,
            identity,
            state,
            status,
            marks,
            files: Files::default(),
            legacy,
            candidates: BTreeMap::new(),
            met: BTreeMap::new(),
            told: BTreeMap::new(),
            heard: BTreeMap::new(),
            welcomes: BTreeSet::new(),
            wishes: BTreeMap::new(),
            word: false,
            removed: false,
            broken: None,
            stand: ("starts".into(), now),
            differs: None,
            dropped: 0,
            leads: None,
        };
        Rc::new(Fleet {
            zoning: RefCell::new(ZoneState::new(me.leaving.clone())),
            moving: RefCell::default(),
            lead: RefCell::default(),
            me,
            limits,
            // A token of an earlier start must not answer a call of this one.
            next: Cell::new(clock.now().as_micros().max(0) as u64),
            clock,
            executor,
            inputs,
            table: RefCell::new(table),
            ways: RefCell::default(),
            waiting: RefCell::default(),
            tokens: RefCell::default(),
            saved: Cell::new(0),
            saving: Cell::new(0),
            hints: async_channel::bounded(64),
            proposed: RefCell::default(),
            epoch: RefCell::new(async_channel::bounded(1)),
            compared: Cell::default(),
            touched: RefCell::new(Touched::All),
            kept: RefCell::default(),
            breaks: Rc::new(RefCell::new(breaks)),
            order: RefCell::default(),
            service: RefCell::new(RecoveryStatus::new(WAITING_FOR_LIST)),
            restarts: RefCell::default(),
            cold: Cell::default(),
            told: async_channel::bounded(4096),
        })
    }

    /// Looks at what is known.
    pub fn table(&self) -> Ref<'_, Table> {
        self.table.borrow()
    }

    /// The present.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn change(&self) -> RefMut<'_, Table> {
        self.table.borrow_mut()
    }

    /// The ways to the others.
    pub fn links(&self) -> Vec<Rc<PeerLink>> {
        self.ways.borrow().values().cloned().collect()
    }

    fn link_to(&self, id: NodeId) -> Option<Rc<PeerLink>> {
        self.ways.borrow().values().find(|w| w.is_up() && w.peer_id() == id).cloned()
    }

    /// A wake-up at every change of what is known, from now on.
    pub fn watch(&self) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        self.waiting.borrow_mut().push(wake);
        woken
    }

    fn notify_watchers(&self) {
        // One that is full wakes its receiver as it is; one whose receiver is gone is forgotten.
        self.waiting.borrow_mut().retain(|w| w.try_send(()).is_ok() || !w.is_closed());
    }

    /// Hands something to the agreement's thread; false: its queue is full, the disk is slow. Whoever still means
    /// it says it again, and letters are lost as on any way.
    fn send_to_store(&self, input: StoreCommand) -> bool {
        let told = self.inputs.try_send(input).is_ok();
        if !told {
            log::debug!("store: the queue is full");
        }
        told
    }

    /// The agreed settings.
    pub fn settings(&self) -> Option<String> {
        self.table().state.settings.as_ref().map(|settings| settings.text.clone())
    }

    /// Whether somebody leads, and all is taken in that anybody said to be agreed.
    pub fn is_current(&self) -> bool {
        let table = self.table();
        let led = table.status.leader != NodeId::NOBODY && table.status.participating;
        // The leader's own word: one that leads no more is not heard as the leader.
        let leader = table.status.leader == table.identity.id
            || table.heard.get(&table.status.leader).is_some_and(|h| h.beat.term == table.status.term);
        table.removed || table.broken.is_some() || led && leader && table.lag() == 0
    }

    fn broadcast(&self, frame: &PeerMessage) {
        let bytes = frame.encode();
        for way in self.links().iter().filter(|w| w.is_up()) {
            way.send(&bytes);
        }
    }

    fn own_handshake(&self) -> Handshake {
        let table = self.table();
        Handshake {
            fleet: table.state.fleet,
            id: table.identity.id,
            name: self.me.name.clone(),
            address: self.me.address,
            witness: table.status.own_progress,
        }
    }

    fn own_heartbeat(&self) -> PeerMessage {
        let table = self.table();
        PeerMessage::Heartbeat(Heartbeat {
            leader: table.status.leader,
            term: table.status.term,
            last_entry: table.status.own_progress.last_entry,
            participates: table.status.participating,
            commit_index: table.status.committed,
            applied: AppliedPosition { index: table.applied, digest: table.state.digest },
            pending_drains_digest: table.marks.digest(),
            reachable_peers: self.recently_heard_peers(&table),
            recovering: self.returns(),
        })
    }

    /// Daemons that were heard within the last moment.
    fn recently_heard_peers(&self, table: &Table) -> Vec<NodeId> {
        let recent = |h: &&PeerStatus| h.at.elapsed() < self.limits.heartbeat_interval * 3;
        let all = table.heard.iter().filter(|(_, h)| recent(h)).map(|(id, _)| *id);
        all.take(self.limits.fleet_nodes).collect()
    }
}

#[cfg(test)]
mod tests;
