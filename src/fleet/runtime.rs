//! Carries out what the fleet's decisions say: keeps the ways to the others open, hands letters to the thread
//! that owns the agreement and takes in what it agreed on.

use super::bootstrap::{self, Hello, Stand, Verdict};
use super::gossip::{Count, Learned};
use super::membership::{Next, View, Wish, Word};
use super::message::{Beat, Frame};
use super::peer_link::{PATH, PROTOCOL, PeerLink, may_meet};
use super::pending_drains::Marks;
use super::recovery::first_election::Lead;
use super::recovery::phases::{Cold, Order, Seen, Stand as Service, Step, UNLISTED};
use super::recovery::restart_detector::{Known, Restarts};
use super::recovery::{self, Clocks, Saved, Trust};
use super::zoning::{self, Leaving, Zoning};
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::admission::AdmissionPolicy;
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate, id_of};
use crate::engine::log_rollback::{LogRollback, LogRollbacks};
use crate::engine::observations::{Observation, START_TIME_TOLERANCE};
use crate::engine::{PeerObservation, PollParticipants};
use crate::ids::NodeId;
use crate::ids::{GroupId, ZoneId};
use crate::inventory::Inventory;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, Request};
use crate::net::until;
use crate::primary_hint::PrimaryHint;
use crate::routing::{Availability, EndpointId};
use crate::store::raft_node::{Applied, What};
use crate::store::records::{self, FleetId, HostRecord, Letter};
use crate::store::state_machine::{Change, Effect, Member, Proposal, State};
use crate::store::storage::Identity;
use crate::store::store_thread::{Input, Opened, Output, Status};
use crate::store::zone_weights::Why;
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

mod first;
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
type Kept = (Vec<(NodeId, Count)>, Vec<LogRollback>);

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
    pub leaving: Leaving,
}

/// What was last heard of another daemon.
#[derive(Clone, Debug)]
pub struct Heard {
    /// When.
    pub at: Instant,
    /// Its name.
    pub name: String,
    /// Its last word.
    pub beat: Beat,
    /// Since when it has known no leader.
    pub leaderless: Option<Instant>,
}

impl Heard {
    /// What a daemon says of itself when it is met.
    fn met(hello: &Hello) -> Heard {
        let beat = Beat { term: hello.witness.term, last: hello.witness.last, ..Beat::default() };
        Heard { at: Instant::now(), name: hello.name.clone(), beat, leaderless: None }
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
    pub identity: Identity,
    /// What is agreed.
    pub state: State,
    /// The last place of the log that was taken in.
    pub applied: u64,
    /// How things stand with the agreement.
    pub status: Status,
    /// Drains that are not agreed.
    pub marks: Marks,
    /// What this daemon's own files say.
    pub files: Files,
    /// What a store of the old form said.
    pub legacy: Vec<Change>,
    /// Daemons that are no members and were met, with when.
    pub candidates: BTreeMap<NodeId, (Hello, Instant)>,
    /// What others said of themselves while there was no fleet.
    pub met: BTreeMap<SocketAddr, Hello>,
    /// Addresses at which a fleet's members are said to be.
    pub told: BTreeMap<SocketAddr, String>,
    /// What the fleet has learned of the hosts.
    pub learned: Learned,
    /// What each of the others knows of that, by its last word.
    pub digests: BTreeMap<NodeId, Vec<(NodeId, Count)>>,
    /// The last word of each.
    pub heard: BTreeMap<NodeId, Heard>,
    /// Members that have found nothing wrong with this daemon's disk.
    pub welcomes: BTreeSet<NodeId>,
    /// What operators want, with when it was last said.
    pub wishes: BTreeMap<(String, Wish), Instant>,
    /// An operator has said that a fleet is to be formed with whoever has answered.
    pub word: bool,
    /// This daemon was removed from its fleet.
    pub removed: bool,
    /// The disk failed.
    pub broken: Option<String>,
    /// Why there is no agreed configuration, or none to act on, since when.
    pub stand: (String, Instant),
    /// How this daemon's inventory file differs from the agreed one: added, changed, missing.
    pub differs: Option<(usize, usize, usize)>,
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
        let told = self.heard.values().map(|h| h.beat.agreed).chain([self.status.agreed]).max();
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
    inputs: SyncSender<Input>,
    table: RefCell<Table>,
    ways: RefCell<BTreeMap<SocketAddr, Rc<PeerLink>>>,
    /// Those who wait for what changes.
    waiting: RefCell<Vec<Sender<()>>>,
    /// Changes that were said here and wait for the log.
    tokens: RefCell<BTreeMap<u64, Option<Effect>>>,
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
    order: RefCell<Option<Order>>,
    service: RefCell<Returns>,
    restarts: RefCell<Restarts>,
    cold: Cell<Option<Cold>>,
    told: (Sender<PeerObservation>, Receiver<PeerObservation>),
    zoning: RefCell<Zoning>,
    /// Moves of zones that were proposed here a moment ago: by zone, its number and when.
    moving: RefCell<BTreeMap<ZoneId, (u64, Instant)>>,
    lead: RefCell<Lead>,
}

/// How far this daemon's service has returned.
#[derive(Clone, Debug)]
pub struct Returns {
    /// The step.
    pub step: Step,
    /// What is waited for.
    pub waits: String,
    /// Since when.
    pub since: Instant,
    /// When this daemon started.
    pub began: Instant,
    /// When all was as ever.
    pub done: Option<Instant>,
}

impl Returns {
    fn new(waits: &str) -> Returns {
        let now = Instant::now();
        Returns { step: Step::List, waits: waits.into(), since: now, began: now, done: None }
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
        opened: Opened,
        inputs: SyncSender<Input>,
    ) -> Rc<Fleet> {
        let now = Instant::now();
        let Opened { identity, state, status, marks, learned: kept, legacy } = opened;
        let mut marks = Marks::new(marks);
        let legacy = legacy.map_or(Vec::new(), |old| {
            for host in &old.drains {
                marks.say(host, identity.id, clock.now());
            }
            old.changes(&me.name)
        });
        marks.settle(&state);
        let mut learned = Learned::new(identity.id, clock.now().as_micros().max(0) as u64);
        let mut breaks = LogRollbacks::default();
        if let Some(saved) = kept.and_then(|bytes| records::read::<Saved>(&bytes)) {
            for b in &saved.breaks {
                breaks.note(*b);
            }
            match recovery::trust(&saved.at, &clocks(&clock)) {
                Trust::Guess(since) => {
                    log::info!(
                        "fleet: what was learned before is {} ms old; it is a first guess",
                        since.as_millis()
                    );
                    learned.remember(clock.now(), &saved.words, since);
                }
                Trust::Worthless(why) => log::warn!("fleet: what was learned before is not used: {why}"),
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
            zoning: RefCell::new(Zoning::new(me.leaving.clone())),
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
            service: RefCell::new(Returns::new(UNLISTED)),
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
    pub fn ways(&self) -> Vec<Rc<PeerLink>> {
        self.ways.borrow().values().cloned().collect()
    }

    /// A wake-up at every change of what is known, from now on.
    pub fn watch(&self) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        self.waiting.borrow_mut().push(wake);
        woken
    }

    fn wake(&self) {
        // One that is full wakes its receiver as it is; one whose receiver is gone is forgotten.
        self.waiting.borrow_mut().retain(|w| w.try_send(()).is_ok() || !w.is_closed());
    }

    /// What has changed in the list to act on since this was last asked: a host that is drained here is closed,
    /// agreed or not. `None`: nothing, or nothing was agreed yet. The caller keeps the list that it makes.
    pub fn list_change(&self, kept: &mut BTreeMap<String, EndpointRecord>) -> Option<EndpointUpdate> {
        let table = self.table();
        table.state.inventory.as_ref()?;
        let touched = self.touched.replace(Touched::Hosts(BTreeSet::new()));
        let present = self.clock.now();
        let away = self.zoning.borrow().away(present, &table.state).into_iter();
        let gone = |zone| table.state.share(zone).why == Why::Lost;
        let only: BTreeMap<ZoneId, BTreeSet<GroupId>> =
            away.map(|zone| (zone, zoning::only_there(zone, &table.state))).collect();
        let now = |name: &String| {
            let drained = table.state.is_drained(name) || table.marks.drains(name);
            let listed = table.state.hosts.get(name).map(|host| host.listed(name, drained))?;
            let started_at = listed.started_at.max(self.restarts.borrow().told(name));
            let host = EndpointRecord { started_at, ..listed };
            // Where nobody knows the primary each host may be it, but for those that are gone.
            let belief = table.learned.beliefs().get(&host.group);
            let zone = belief.and_then(|b| table.state.hosts.get(&b.host)).map(|h| h.zone);
            let known = table.learned.has_primary(host.group) && !zone.is_some_and(gone);
            let primary = belief.is_some_and(|b| b.host == *name) || !known && !gone(host.zone);
            let alone = only.get(&host.zone).is_some_and(|groups| groups.contains(&host.group));
            Some(self.zoning.borrow().shape(present, host, &table.state, primary, alone))
        };
        let whole = kept.is_empty();
        let names: BTreeSet<String> = match touched {
            Touched::Hosts(names) if !whole => names,
            _ => table.state.hosts.keys().chain(kept.keys()).cloned().collect(),
        };
        let mut entries = Vec::new();
        for name in names {
            match (now(&name), kept.get(&name)) {
                (Some(new), old) if old != Some(&new) => {
                    kept.insert(name, new.clone());
                    entries.push(new);
                }
                (None, Some(_)) => {
                    let old = kept.remove(&name);
                    entries.extend(old.map(|e| EndpointRecord { availability: Availability::Gone, ..e }));
                }
                _ => {}
            }
        }
        (!entries.is_empty()).then_some(EndpointUpdate { index: table.applied, whole, entries })
    }

    /// These hosts may have changed in the list.
    fn touch(&self, hosts: impl IntoIterator<Item = String>) {
        if let Touched::Hosts(names) = &mut *self.touched.borrow_mut() {
            names.extend(hosts);
        }
    }

    /// The list to act on, once one was agreed.
    pub fn listing(&self) -> Option<EndpointUpdate> {
        let table = self.table();
        table.state.inventory.as_ref()?;
        Some(table.state.listing(table.applied, |host| table.marks.drains(host)))
    }

    /// Whether somebody leads, and all is taken in that anybody said to be agreed.
    pub fn is_current(&self) -> bool {
        let table = self.table();
        let led = table.status.leader != NodeId::NOBODY && table.status.part;
        // The leader's own word: one that leads no more is not heard as the leader.
        let leader = table.status.leader == table.identity.id
            || table.heard.get(&table.status.leader).is_some_and(|h| h.beat.term == table.status.term);
        table.removed || table.broken.is_some() || led && leader && table.lag() == 0
    }

    /// The agreed settings.
    pub fn settings(&self) -> Option<String> {
        self.table().state.settings.as_ref().map(|(_, text)| text.clone())
    }

    /// Notes what this daemon's own files say now.
    pub fn read_files(&self, note: impl FnOnce(&mut Files)) {
        note(&mut self.change().files);
        self.compare();
        self.reconcile();
    }

    fn hello(&self) -> Hello {
        let table = self.table();
        Hello {
            fleet: table.state.fleet,
            id: table.identity.id,
            name: self.me.name.clone(),
            address: self.me.address,
            witness: table.status.witness,
        }
    }

    fn beat(&self) -> Frame {
        let table = self.table();
        Frame::Beat(Beat {
            leader: table.status.leader,
            term: table.status.term,
            last: table.status.witness.last,
            part: table.status.part,
            agreed: table.status.agreed,
            applied: (table.applied, table.state.digest),
            marks: table.marks.digest(),
            hears: self.hears(&table),
            returns: self.returns(),
        })
    }

    /// Daemons that were heard within the last moment.
    fn hears(&self, table: &Table) -> Vec<NodeId> {
        let recent = |h: &&Heard| h.at.elapsed() < self.limits.heartbeat_interval * 3;
        let all = table.heard.iter().filter(|(_, h)| recent(h)).map(|(id, _)| *id);
        all.take(self.limits.fleet_nodes).collect()
    }

    /// Hands something to the agreement's thread; false: its queue is full, the disk is slow. Whoever still means
    /// it says it again, and letters are lost as on any way.
    fn tell(&self, input: Input) -> bool {
        let told = self.inputs.try_send(input).is_ok();
        if !told {
            log::debug!("store: the queue is full");
        }
        told
    }

    fn spread(&self, frame: &Frame) {
        let bytes = frame.bytes();
        for way in self.ways().iter().filter(|w| w.up.get()) {
            way.send(&bytes);
        }
    }

    fn way_to(&self, id: NodeId) -> Option<Rc<PeerLink>> {
        self.ways.borrow().values().find(|w| w.up.get() && w.id() == id).cloned()
    }

    // ---- what the agreement's thread says ----

    /// Takes in what the agreement's thread says, for ever; comes back with why when it has failed.
    pub async fn hear_store(&self, outputs: &Receiver<Output>) {
        while let Ok(output) = outputs.recv().await {
            match output {
                Output::Letters(letters) => self.post(letters),
                Output::Applied(applied) => self.take_in(applied),
                Output::Status(status) => {
                    let mut table = self.change();
                    if table.status.leader != status.leader || table.status.term != status.term {
                        let name =
                            |id| table.state.members.get(&id).map_or("nobody".into(), |m| m.name.clone());
                        log::info!("fleet: term {}, {} leads", status.term, name(status.leader));
                    }
                    let leads = status.leader == table.identity.id;
                    table.leads = table.leads.filter(|_| leads).or(leads.then(Instant::now));
                    let word = |s: &Status| (s.leader, s.term, s.part);
                    let turned = word(&table.status) != word(&status);
                    table.status = *status;
                    drop(table);
                    if turned {
                        // Whoever returns waits for the leader's own word, or stands once all can hear it.
                        self.spread(&self.beat());
                    }
                    self.wake();
                }
                Output::Saved(version) => {
                    self.saved.set(self.saved.get().max(version));
                    self.wake();
                }
                Output::Renewed(identity) => {
                    log::warn!("fleet: this daemon begins anew, as {:016x}", identity.id);
                    let mut table = self.change();
                    table.learned = Learned::new(identity.id, self.clock.now().as_micros().max(0) as u64);
                    table.identity = identity;
                    table.welcomes.clear();
                    // What was agreed goes on to be served until the fleet has told it again.
                    table.state.fleet = 0;
                    table.removed = false;
                    drop(table);
                    self.saving.set(0);
                    self.save();
                    self.renew();
                }
                Output::Broken(why) => {
                    log::error!(
                        "store: {why}; this daemon agrees to nothing any more, and serves with what it has"
                    );
                    self.change().broken = Some(why);
                    self.wake();
                }
            }
        }
    }

    fn post(&self, letters: Vec<Letter>) {
        let mut by: BTreeMap<NodeId, Vec<Letter>> = BTreeMap::new();
        letters.into_iter().for_each(|l| by.entry(l.to).or_default().push(l));
        for (to, letters) in by {
            let whole = letters.iter().any(Letter::carries_state);
            let sent = self.way_to(to).is_some_and(|way| way.send(&Frame::Letters(letters).bytes()));
            if whole {
                self.tell(Input::Sent(to, sent));
            }
        }
    }

    fn take_in(&self, applied: Vec<Applied>) {
        let mut table = self.change();
        let (fleet, me) = (table.state.fleet, table.identity.id);
        for one in applied {
            match one.what {
                What::State(state) => {
                    table.state = *state;
                    *self.touched.borrow_mut() = Touched::All;
                }
                What::Change(Proposal { from, token, change }) => {
                    self.touch(named(&change));
                    let effect = table.state.apply(one.index, &change);
                    log::debug!(
                        "fleet: agreed {} {:08x}: {}",
                        one.index,
                        one.digest,
                        describe(&change, effect)
                    );
                    if from == me
                        && let Some(waits) = self.tokens.borrow_mut().get_mut(&token)
                    {
                        *waits = Some(effect);
                    }
                }
                What::Members(change) => {
                    table.state.apply_members(&change);
                    if !change.steps.is_empty() {
                        log::info!("fleet: members: {:?}", change.steps);
                    }
                }
                What::Nothing => {}
            }
            table.applied = one.index;
            table.state.digest = one.digest;
        }
        let joined = table.state.fleet != fleet;
        if joined {
            log::info!("fleet: {} is of fleet {:032x}", self.me.name, table.state.fleet);
            table.met.clear();
            table.told.clear();
        }
        let is_member = table.state.members.contains_key(&me);
        if table.state.fleet != 0 && table.state.removed.contains_key(&me) && !is_member && !table.removed {
            table.removed = true;
            log::warn!(
                "fleet: this daemon was removed; it serves with what it last knew and agrees to nothing"
            );
        }
        let Table { marks, state, .. } = &mut *table;
        let settled = marks.settle(state);
        self.touch(settled.iter().map(|(host, _)| host.clone()));
        let settled = !settled.is_empty();
        drop(table);
        if settled {
            self.save();
        }
        if joined {
            self.renew();
        }
        self.shape_zones(self.clock.now());
        self.compare();
        self.wake();
        self.reconcile();
    }

    /// All connections are opened anew, both ways: what was said at their beginning has changed.
    fn renew(&self) {
        self.ways().iter().for_each(|w| w.renew());
        let (before, _) = self.epoch.replace(async_channel::bounded(1));
        before.close();
    }

    /// Keeps drains that are not agreed on the disk.
    fn save(&self) {
        let table = self.table();
        let version = table.marks.version();
        if self.saving.get() < version && self.tell(Input::Marks(table.marks.all(), version)) {
            self.saving.set(version);
        }
    }

    /// Says how this daemon's own inventory differs from the agreed one.
    fn compare(&self) {
        let mut table = self.change();
        let Some((Inventory { hosts, .. }, changed)) = &table.files.hosts else { return };
        let Some(source) = &table.state.inventory else { return };
        if self.compared.replace((*changed, source.version)) == (*changed, source.version) {
            return;
        }
        let differs = Some(table.state.differs(hosts)).filter(|d| *d != (0, 0, 0));
        if differs != table.differs {
            match differs {
                Some((added, changed, missing)) => log::warn!(
                    "fleet: the inventory of {} counts; this daemon's own file adds {added}, changes {changed} and lacks {missing} hosts",
                    source.by
                ),
                None => log::info!("fleet: this daemon's own inventory says what is agreed"),
            }
            table.differs = differs;
        }
    }

    // ---- what is proposed ----

    fn token(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Brings a change to the leader.
    fn forward(&self, proposal: Proposal) {
        let (leader, me) = {
            let table = self.table();
            (table.status.leader, table.identity.id)
        };
        if leader == me {
            self.tell(Input::Propose(proposal));
        } else if let Some(way) = self.way_to(leader) {
            way.send(&Frame::Forward(proposal).bytes());
        }
    }

    /// Proposes what this daemon's own files say, where it is newer than what is agreed.
    fn reconcile(&self) {
        let wanted: Vec<(String, Change)> = {
            let table = self.table();
            let state = &table.state;
            if state.fleet == 0
                || !state.is_complete()
                || table.removed
                || table.status.leader == NodeId::NOBODY
            {
                return;
            }
            let mut wanted = Vec::new();
            let old = |c: &&Change| match c {
                Change::Settings { changed, .. } => {
                    state.settings.as_ref().is_none_or(|(s, _)| *changed > s.changed)
                }
                _ => state.inventory.is_none(),
            };
            wanted.extend(table.legacy.iter().filter(old).map(|c| (format!("legacy {c:?}"), c.clone())));
            if let Some((text, changed)) = &table.files.settings
                && state.settings.as_ref().is_none_or(|(s, _)| *changed > s.changed)
            {
                let (by, text) = (self.me.name.clone(), text.clone());
                wanted.push((
                    format!("settings {}", changed.as_micros()),
                    Change::Settings { by, changed: *changed, text },
                ));
            }
            if let Some((Inventory { regions, .. }, changed)) = &table.files.hosts
                && *changed > state.regions.0
                && state.inventory.as_ref().is_some_and(|i| *changed >= i.changed)
                && *regions != state.regions.1
            {
                let (by, changed, regions) = (self.me.name.clone(), *changed, regions.clone());
                wanted.push((
                    format!("regions {}", changed.as_micros()),
                    Change::Regions { by, changed, regions },
                ));
            }
            if let Some((Inventory { hosts, .. }, changed)) = &table.files.hosts
                && !wanted.iter().any(|(_, c)| matches!(c, Change::Inventory { .. }))
                && let Some(change) = state.inventory_change(&self.me.name, hosts, *changed, self.clock.now())
            {
                let base = state.inventory.as_ref().map_or(0, |i| i.version);
                wanted.push((format!("inventory {} {base}", changed.as_micros()), change));
            }
            wanted
        };
        let now = Instant::now();
        let from = self.table().identity.id;
        let mut proposed = self.proposed.borrow_mut();
        proposed.retain(|key, _| wanted.iter().any(|(k, _)| k == key));
        for (key, change) in wanted {
            let token = match proposed.get(&key) {
                // Said a moment ago: the leader may still have it.
                Some((_, at)) if now - *at < self.limits.proposal_retry_interval => continue,
                Some((token, _)) => *token,
                None => self.token(),
            };
            proposed.insert(key, (token, now));
            self.forward(Proposal { from, token, change });
        }
    }

    /// Drains a host: here and wherever this daemon is heard at once, for good once a majority has it. `None`:
    /// there is no such host.
    pub async fn drain(&self, host: &str) -> Option<ChangeOutcome> {
        let mark = {
            let mut table = self.change();
            if !table.state.hosts.contains_key(host) {
                return None;
            }
            if table.state.is_drained(host) {
                return Some(ChangeOutcome::Agreed);
            }
            let (me, now) = (table.identity.id, self.clock.now());
            self.touch([host.to_string()]);
            table.marks.say(host, me, now)
        };
        log::info!("fleet: {host} is drained here");
        self.wake();
        self.spread(&Frame::Marks(self.table().marks.all()));
        self.save();
        self.lead();
        let version = self.table().marks.version();
        let woken = self.watch();
        let agreed = async {
            while !self.table().state.settled(host, mark) {
                let _ = woken.recv().await;
            }
        };
        if until(Instant::now() + self.limits.agreement_timeout, agreed).await.is_some() {
            return Some(ChangeOutcome::Agreed);
        }
        let saved = async {
            while self.saved.get() < version && self.table().broken.is_none() {
                let _ = woken.recv().await;
            }
        };
        until(Instant::now() + self.limits.agreement_timeout, saved).await;
        Some(if self.table().state.settled(host, mark) { ChangeOutcome::Agreed } else { ChangeOutcome::Here })
    }

    /// Ends the drains of a host that this daemon has heard of, once a majority agrees.
    pub async fn undrain(&self, host: &str) -> ChangeOutcome {
        let marks: BTreeSet<_> = {
            let table = self.table();
            let agreed = table.state.drains.get(host).into_iter().flatten().copied();
            agreed.chain(table.marks.of(host)).collect()
        };
        if marks.is_empty() {
            return ChangeOutcome::Agreed;
        }
        let change = Change::Undrain { host: host.to_string(), marks: marks.into_iter().collect() };
        self.agree(change).await
    }

    /// Has a change agreed, or gives it up in time.
    async fn agree(&self, change: Change) -> ChangeOutcome {
        let (from, token) = (self.table().identity.id, self.token());
        self.tokens.borrow_mut().insert(token, None);
        let woken = self.watch();
        let work = async {
            loop {
                self.forward(Proposal { from, token, change: change.clone() });
                let end = Instant::now() + self.limits.proposal_retry_interval;
                loop {
                    if let Some(Some(_)) = self.tokens.borrow().get(&token) {
                        return;
                    }
                    if until(end, woken.recv()).await.is_none() {
                        break;
                    }
                }
            }
        };
        let done = until(Instant::now() + self.limits.agreement_timeout, work).await;
        self.tokens.borrow_mut().remove(&token);
        if done.is_some() { ChangeOutcome::Agreed } else { ChangeOutcome::Not }
    }

    /// Has a daemon of this name get a vote, or go. `None`: there is none of this name.
    pub async fn wish(&self, name: &str, wish: Wish) -> Option<ChangeOutcome> {
        let done = |table: &Table| {
            let mut ids = table.state.members.iter().filter(|(_, m)| m.name == name).map(|(id, _)| id);
            match wish {
                Wish::Vote => ids.any(|id| table.status.conf.voters.contains(id)),
                Wish::Leave => ids.next().is_none(),
            }
        };
        if !self.table().state.members.values().any(|m| m.name == name) {
            return None;
        }
        let woken = self.watch();
        let work = async {
            loop {
                if done(&self.table()) {
                    return;
                }
                self.wishes(name.to_string(), wish);
                let (leader, me) = (self.table().status.leader, self.table().identity.id);
                if leader != me
                    && let Some(way) = self.way_to(leader)
                {
                    way.send(&Frame::Wish(name.to_string(), wish).bytes());
                }
                super::peer_link::rest(self.limits.proposal_retry_interval, &woken).await;
            }
        };
        let done = until(Instant::now() + self.limits.agreement_timeout * 2, work).await;
        Some(if done.is_some() { ChangeOutcome::Agreed } else { ChangeOutcome::Not })
    }

    fn wishes(&self, name: String, wish: Wish) {
        let mut table = self.change();
        if table.wishes.len() < self.limits.fleet_nodes {
            table.wishes.insert((name, wish), Instant::now());
        }
    }

    /// An operator's word: form a fleet with whoever has answered. False: there is one already.
    pub fn form(&self) -> bool {
        if self.table().state.fleet != 0 {
            return false;
        }
        self.change().word = true;
        self.found();
        self.table().stand.0 == Stand::Found(BTreeSet::new()).to_string() || self.table().state.fleet != 0
    }

    /// What an operator has to know before this daemon goes on alone from what it has; an error: it must not.
    pub fn recovery(&self) -> Result<String, String> {
        let table = self.table();
        if table.state.fleet == 0 || table.removed || table.broken.is_some() {
            return Err("there is nothing here to go on from".into());
        }
        if table.status.leader != NodeId::NOBODY {
            return Err("a majority is there: nothing has to be recovered".into());
        }
        let (last, me) = (table.applied, table.identity.id);
        let mut text = format!(
            "this daemon goes on alone from what was agreed up to {last}, as a new fleet; the others come over\n"
        );
        for (id, member) in table.state.members.iter().filter(|(id, _)| **id != me) {
            let heard = table.heard.get(id).filter(|h| h.at.elapsed() < self.limits.peer_gone_timeout);
            text += &match heard {
                Some(h) if h.beat.agreed > last => {
                    format!(
                        "{} has more: {} changes would be lost; recover there instead\n",
                        member.name,
                        h.beat.agreed - last
                    )
                }
                Some(_) => format!("{} has no more than this daemon\n", member.name),
                None => format!(
                    "{} is not heard: whatever it alone has would be lost, but for its drains\n",
                    member.name
                ),
            };
        }
        Ok(text)
    }

    /// An operator's word: this daemon goes on alone from what it has, and the others come over.
    pub fn recover(&self) -> Result<String, String> {
        let text = self.recovery()?;
        log::warn!("fleet: an operator has this daemon go on alone: {}", text.replace('\n', "; "));
        let table = self.table();
        let member = Member { name: self.me.name.clone(), address: self.me.address };
        let state = table.state.refound(fastrand::u128(1..), table.identity.id, member);
        if self.tell(Input::Recover(Box::new(state))) {
            Ok(text)
        } else {
            Err("nothing was done: the disk is slow; say it again".into())
        }
    }

    /// Founds a fleet where this daemon is the one to do it.
    fn found(&self) {
        let stand = {
            let table = self.table();
            if table.state.fleet != 0 || table.removed || table.broken.is_some() {
                return;
            }
            let me = (self.me.name.as_str(), table.identity.id);
            bootstrap::stand(me, &self.me.named, &table.met, table.word)
        };
        self.stands(stand.to_string());
        if let Stand::Found(others) = stand {
            let id = self.table().identity.id;
            let member = Member { name: self.me.name.clone(), address: self.me.address };
            let fleet: FleetId = fastrand::u128(1..);
            self.tell(Input::Found(Box::new(State::found(fleet, id, member, others))));
        }
    }

    fn stands(&self, why: String) {
        let mut table = self.change();
        if table.stand.0 != why {
            log::info!("fleet: {why}");
            table.stand = (why, Instant::now());
        }
    }

    /// Takes part in the agreement once enough of the others have found nothing wrong with this daemon's disk.
    fn take_part(&self) {
        let enough = {
            let table = self.table();
            let voters = &table.status.conf.voters;
            let welcome = voters.iter().filter(|v| table.welcomes.contains(v)).count() + 1;
            !table.status.part && !table.removed && table.broken.is_none() && welcome * 2 > voters.len()
        };
        if enough {
            self.tell(Input::TakePart);
        }
    }

    /// What a leader does now and then, and after each change.
    fn lead(&self) {
        let mut table = self.change();
        let me = table.identity.id;
        if table.status.leader != me || !table.status.part {
            return;
        }
        let insist = TimeDelta::from(self.limits.proposal_retry_interval);
        let due =
            if table.state.is_complete() { table.marks.due(self.clock.now(), insist) } else { Vec::new() };
        let now = Instant::now();
        table.wishes.retain(|_, at| now - *at < self.limits.agreement_timeout);
        let recent = self.limits.peer_gone_timeout;
        table.candidates.retain(|_, (_, at)| now - *at < recent);
        let next = {
            let candidates = table.candidates.iter().map(|(id, (hello, _))| (*id, hello.clone())).collect();
            let silent = table.heard.iter().map(|(id, h)| (*id, TimeDelta::from(now - h.at))).collect();
            let wishes = table.wishes.keys().cloned().collect();
            let word = |h: &Heard| Word {
                leaderless: h.leaderless.map_or(TimeDelta::ZERO, |at| TimeDelta::from(now - at)),
                hears: h.beat.hears.iter().copied().collect(),
            };
            let words = table.heard.iter().map(|(id, h)| (*id, word(h))).collect();
            let view = View {
                me,
                state: &table.state,
                conf: &table.status.conf,
                agreed: table.status.agreed,
                progress: &table.status.progress,
                candidates: &candidates,
                silent: &silent,
                led_for: table.leads.map_or(TimeDelta::ZERO, |at| TimeDelta::from(now - at)),
                words: &words,
                wishes: &wishes,
                gone: TimeDelta::from(self.limits.peer_gone_timeout),
            };
            view.next()
        };
        drop(table);
        for change in due {
            let proposal = Proposal { from: me, token: self.token(), change };
            self.tell(Input::Propose(proposal));
        }
        match next {
            Next::Nothing => true,
            Next::Propose(change) => self.tell(Input::Members(change)),
            Next::Transfer(to) => self.tell(Input::Transfer(to)),
        };
    }

    /// How long nothing need be done, if nothing happens: what waits is said again, what rests may rest.
    fn pause(&self) -> Duration {
        let table = self.table();
        let waits = !table.marks.is_empty()
            || !table.wishes.is_empty()
            || !table.candidates.is_empty()
            || !table.state.is_complete()
            || table.state.fleet == 0
            || !table.status.part
            || !self.proposed.borrow().is_empty();
        match () {
            // It may have to stand for election.
            _ if self.returns() && table.status.leader == NodeId::NOBODY && table.state.fleet != 0 => {
                self.limits.raft_tick
            }
            _ if waits => self.limits.proposal_retry_interval,
            _ => self.limits.heartbeat_interval,
        }
    }

    /// Writes what was learned to the disk, where it has changed; never in haste.
    fn keep(&self) {
        let table = self.table();
        let kept = (table.learned.digest(), self.breaks.borrow().all());
        if table.learned.is_empty() || *self.kept.borrow() == kept {
            return;
        }
        let words = table.learned.words(self.clock.now());
        let saved = Saved { at: clocks(&self.clock), words, breaks: kept.1.clone() };
        log::debug!("fleet: {} words on hosts are kept", saved.words.len());
        if self.tell(Input::Learned(records::write(&saved))) {
            *self.kept.borrow_mut() = kept;
        }
    }

    /// Hints for a module that starts: who is believed to be primary where, and first guesses from before.
    pub fn first_hints(&self) -> Vec<Vec<u8>> {
        let table = self.table();
        let believed = table.learned.beliefs().values().map(|b| (b.host.clone(), b.at));
        let guessed = table.learned.guesses(&table.state).into_values();
        let all = believed.chain(guessed);
        all.map(|(host, at)| PrimaryHint { endpoint: id_of(&host), at }.write()).collect()
    }

    /// Does for ever what has to be done now and then.
    pub async fn go_on(self: &Rc<Fleet>) {
        let mut beat = Instant::now();
        let mut keep = Instant::now() + self.limits.gossip_save_interval;
        let woken = self.watch();
        loop {
            self.found();
            self.take_part();
            self.stand();
            self.open_ways();
            self.lead();
            self.reconcile();
            self.save();
            if Instant::now() >= keep {
                keep = Instant::now() + self.limits.gossip_save_interval;
                self.keep();
            }
            if Instant::now() >= beat {
                beat = Instant::now() + self.limits.heartbeat_interval;
                self.spread(&self.beat());
                let now = self.clock.now();
                {
                    let mut table = self.change();
                    let Table { learned, state, digests, .. } = &mut *table;
                    learned.tidy(now, state);
                    digests.retain(|id, _| state.members.contains_key(id));
                }
                self.tell_sights();
                // Where nothing is known there is nothing to compare.
                let digest = self.table().learned.digest();
                if !digest.is_empty() {
                    self.spread(&Frame::Digest(digest));
                }
                let recent: Vec<LogRollback> = self
                    .breaks
                    .borrow()
                    .all()
                    .into_iter()
                    .filter(|b| now - b.to.commit_time(Timestamp::ZERO) < LATELY)
                    .collect();
                if !recent.is_empty() {
                    self.spread(&Frame::LogRollbacks(recent));
                }
                let recent = Instant::now();
                self.change()
                    .candidates
                    .retain(|_, (_, at)| recent - *at < self.limits.peer_gone_timeout * 5);
            }
            if super::peer_link::rest(self.pause(), &woken).await {
                // Many changes in a row are worked off together.
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }

    // ---- the others ----

    fn open_ways(self: &Rc<Fleet>) {
        let wanted: BTreeMap<SocketAddr, bool> = {
            let table = self.table();
            let me = table.identity.id;
            let ways = self.ways.borrow();
            let named: BTreeSet<NodeId> = ways.values().filter(|w| w.named).map(|w| w.id()).collect();
            let names: BTreeSet<String> = ways
                .values()
                .filter(|w| w.named)
                .filter_map(|w| Some(w.met.borrow().as_ref()?.name.clone()))
                .collect();
            let member = |(id, m): (&NodeId, &Member)| {
                (*id != me && !named.contains(id) && !names.contains(&m.name)).then_some(m.address)
            };
            let told = table.told.iter().filter(|(_, name)| !names.contains(*name) && **name != self.me.name);
            let more = table.state.members.iter().filter_map(member).chain(told.map(|(at, _)| *at));
            let more = more.filter(|at| *at != self.me.address).map(|at| (at, false));
            more.chain(self.me.named.iter().map(|at| (*at, true))).collect()
        };
        let mut ways = self.ways.borrow_mut();
        ways.retain(|at, way| {
            if !wanted.contains_key(at) {
                way.end();
            }
            wanted.contains_key(at)
        });
        for (at, named) in wanted {
            if ways.contains_key(&at) || ways.len() >= self.limits.fleet_nodes {
                continue;
            }
            let way = Rc::new(PeerLink::new(at, named, &self.limits));
            ways.insert(at, way.clone());
            let fleet = self.clone();
            let task = async move {
                let judged = |way: &PeerLink, verdict, other| fleet.judged(way, verdict, other);
                let opened = |way: &PeerLink| fleet.opened(way);
                let broke = |way: &PeerLink| fleet.broke(way);
                way.keep(&fleet.limits, || fleet.hello(), judged, opened, broke).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    /// The other daemon has said what it makes of this one; whether frames may go.
    fn judged(&self, way: &PeerLink, verdict: Verdict, other: Hello) -> bool {
        let mut table = self.change();
        let first = !table.heard.contains_key(&other.id);
        let (fleet, me) = (table.state.fleet, table.identity.id);
        if other.id == me {
            drop(table);
            self.stands(format!("{} is this daemon itself, or one with a copy of its disk", way.address));
            return false;
        }
        if first {
            log::info!("fleet: {} is {} ({verdict:?})", way.address, other.name);
        }
        table.heard.entry(other.id).or_insert_with(|| Heard::met(&other));
        if fleet == 0 {
            table.met.insert(way.address, other.clone());
        }
        let goes = match verdict {
            Verdict::Welcome => {
                if fleet != 0 && other.fleet == fleet {
                    table.welcomes.insert(other.id);
                }
                may_meet(fleet, other.fleet)
            }
            Verdict::Candidate(members) => {
                let more = members.into_iter().filter(|(name, _)| *name != self.me.name);
                table.told = more.map(|(name, at)| (at, name)).take(self.limits.fleet_nodes).collect();
                true
            }
            Verdict::Older if table.state.members.contains_key(&other.id) => {
                log::warn!("fleet: {} knows more of this daemon than its disk does", other.name);
                drop(table);
                self.tell(Input::Renounce("older"));
                return false;
            }
            Verdict::Removed if other.fleet == fleet && !table.removed => {
                table.removed = true;
                log::warn!(
                    "fleet: {} says that this daemon was removed; it serves with what it last knew and agrees to nothing",
                    other.name
                );
                false
            }
            Verdict::Recovered if table.status.leader == NodeId::NOBODY && fleet != 0 => {
                log::warn!(
                    "fleet: {} is of a fleet that goes on from this one; this daemon goes over",
                    other.name
                );
                // What was drained here stays so until the new fleet has ended it.
                let Table { marks, state, .. } = &mut *table;
                let drains =
                    state.drains.iter().flat_map(|(host, m)| m.iter().map(move |m| (host.clone(), *m)));
                marks.hear(drains.collect(), &State::default(), self.limits.pending_drains);
                drop(table);
                self.tell(Input::Renounce("recovered"));
                return false;
            }
            Verdict::Older | Verdict::Removed | Verdict::Stranger | Verdict::Recovered => {
                table.dropped += 1;
                false
            }
        };
        drop(table);
        self.wake();
        goes
    }

    /// What is not agreed, and how things stand, is said at once to whoever comes back.
    fn opened(&self, way: &PeerLink) {
        way.send(&self.beat().bytes());
        if self.table().leads.is_some() {
            self.tell(Input::Ping);
        }
        way.send(&Frame::Digest(self.table().learned.digest()).bytes());
        let breaks = self.breaks.borrow().all();
        if !breaks.is_empty() {
            way.send(&Frame::LogRollbacks(breaks).bytes());
        }
        let marks = self.table().marks.all();
        if !marks.is_empty() {
            way.send(&Frame::Marks(marks).bytes());
        }
    }

    /// A way has broken: what was said there no longer counts for the forming of a fleet.
    fn broke(&self, way: &PeerLink) {
        self.change().met.remove(&way.address);
        self.tell(Input::Unreachable(way.id()));
    }

    /// Whether a request asks for a connection between daemons.
    pub fn is_link(request: &Request) -> bool {
        request.target().0 == PATH && request.head.has("upgrade", PROTOCOL)
    }

    /// Hears another daemon on its connection until that ends.
    pub async fn serve(&self, mut link: ClientConnection, mut buffer: Buffer) {
        let upgrade = server::answer_head(101, &[("Connection", "Upgrade"), ("Upgrade", PROTOCOL)]);
        if link.write(&upgrade).await.is_err() {
            return;
        }
        let first = until(
            Instant::now() + self.limits.first_request_timeout,
            self.next_frame(&mut link, &mut buffer),
        )
        .await;
        let Some(Some(Frame::Hello(hello))) = first else { return };
        let verdict = {
            let mut table = self.change();
            let known = table.status.witnesses.get(&hello.id).copied();
            let verdict = bootstrap::judge(&table.state, known.as_ref(), &hello);
            match &verdict {
                Verdict::Candidate(_) if table.candidates.len() < self.limits.fleet_nodes => {
                    table.candidates.insert(hello.id, (hello.clone(), Instant::now()));
                }
                Verdict::Stranger | Verdict::Older | Verdict::Recovered => {
                    table.dropped += 1;
                    log::warn!("fleet: {} was turned away: {verdict:?}", hello.name);
                }
                _ => {}
            }
            verdict
        };
        let may = matches!(verdict, Verdict::Welcome | Verdict::Candidate(_));
        let candidate = matches!(verdict, Verdict::Candidate(_));
        if link.write(&Frame::Verdict(verdict, self.hello()).bytes()).await.is_err() || !may {
            let _ = link.linger().await;
            return;
        }
        for met in self.change().met.values_mut().filter(|met| met.id == hello.id) {
            *met = hello.clone();
        }
        self.wake();
        let epoch = self.epoch.borrow().1.clone();
        let hear = async {
            while let Some(frame) = self.next_frame(&mut link, &mut buffer).await {
                if !self.take(&hello, candidate, frame) {
                    break;
                }
            }
        };
        let ends = async {
            let _ = epoch.recv().await;
        };
        use futures_lite::future::or;
        or(or(ends, self.silence(hello.id)), hear).await;
    }

    async fn next_frame(&self, link: &mut ClientConnection, buffer: &mut Buffer) -> Option<Frame> {
        loop {
            match Frame::read(buffer.unread(), self.limits.peer_message_bytes) {
                Ok(Some((frame, used))) => {
                    buffer.consume(used);
                    return Some(frame);
                }
                Ok(None) => {}
                Err(why) => {
                    self.pass_over(why);
                    return None;
                }
            }
            if !matches!(link.read(buffer).await, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    /// Comes back when a daemon has had no word for long: each has one now and then. One timer for many words.
    async fn silence(&self, id: NodeId) {
        let mut last = Instant::now();
        loop {
            Timer::at(last + self.limits.backend_stall_timeout).await;
            match self.table().heard.get(&id) {
                Some(heard) if heard.at > last => last = heard.at,
                _ => return,
            }
        }
    }

    fn pass_over(&self, why: &str) {
        let mut table = self.change();
        table.dropped += 1;
        if table.dropped.is_power_of_two() {
            log::warn!("fleet: {} frames dropped, the last one {why}", table.dropped);
        }
    }

    /// Takes in a frame of another daemon; false: nothing more is heard of it.
    fn take(&self, from: &Hello, candidate: bool, frame: Frame) -> bool {
        {
            let mut table = self.change();
            if !may_meet(table.state.fleet, from.fleet) || table.state.removed.contains_key(&from.id) {
                drop(table);
                self.pass_over("of another fleet");
                return false;
            }
            if candidate {
                // It has no say yet, but it is there.
                if let Some((_, at)) = table.candidates.get_mut(&from.id) {
                    *at = Instant::now();
                } else if !table.state.members.contains_key(&from.id)
                    && table.candidates.len() < self.limits.fleet_nodes
                {
                    table.candidates.insert(from.id, (from.clone(), Instant::now()));
                }
            }
            table.heard.entry(from.id).or_insert_with(|| Heard::met(from)).at = Instant::now();
            // One that was taken in answers before it knows that it is of the fleet.
            if candidate && !table.state.members.contains_key(&from.id) && !matches!(frame, Frame::Beat(_)) {
                return true;
            }
        }
        match frame {
            Frame::Letters(letters) => {
                let (own, strange): (Vec<Letter>, Vec<Letter>) =
                    letters.into_iter().partition(|l| l.from == from.id);
                if !strange.is_empty() {
                    self.pass_over("not of its sender");
                }
                if !own.is_empty() {
                    self.tell(Input::Letters(own));
                }
            }
            Frame::Forward(proposal) if proposal.from == from.id => {
                if self.table().state.is_complete() {
                    self.tell(Input::Propose(proposal));
                }
            }
            Frame::Wish(name, wish) => {
                self.wishes(name, wish);
                self.wake();
            }
            Frame::Marks(marks) => self.hear_marks(marks),
            Frame::Beat(beat) => {
                let differs = {
                    let mut table = self.change();
                    let marks = beat.marks;
                    if let Some(heard) = table.heard.get_mut(&from.id) {
                        heard.leaderless = (beat.leader == NodeId::NOBODY)
                            .then(|| heard.leaderless.unwrap_or_else(Instant::now));
                        heard.beat = beat;
                    }
                    !table.marks.is_empty() && marks != table.marks.digest()
                };
                if self.returns() {
                    self.wake();
                }
                if differs && let Some(way) = self.way_to(from.id) {
                    way.send(&Frame::Marks(self.table().marks.all()).bytes());
                }
            }
            Frame::Digest(digest) => {
                self.change().digests.insert(from.id, digest.clone());
                let words = {
                    let table = self.table();
                    let hears = table.heard.get(&from.id).map_or(&[][..], |h| &h.beat.hears[..]);
                    let hears = |id| hears.contains(&id);
                    table.learned.lacks(
                        self.clock.now(),
                        &digest,
                        hears,
                        self.limits.observations_per_message,
                    )
                };
                if !words.is_empty()
                    && let Some(way) = self.way_to(from.id)
                {
                    way.send(&Frame::Words(words).bytes());
                }
            }
            Frame::LogRollbacks(breaks) => self.broken_off(breaks, &from.name),
            Frame::Sights(sights) => self.hear_sights(from.id, sights),
            Frame::Words(words) => {
                let now = self.clock.now();
                if self.returns() {
                    Learned::told(now, &words).into_iter().for_each(|t| drop(self.told.0.try_send(t)));
                }
                let hosts: Vec<String> = words.iter().map(|w| w.host.clone()).collect();
                let new = {
                    let mut table = self.change();
                    let Table { learned, state, .. } = &mut *table;
                    learned.hear(now, words, state);
                    learned.believe(now, state)
                };
                self.restarted(now, hosts.iter());
                let me = self.table().identity.id;
                for (group, belief) in new.into_iter().filter(|(_, b)| b.by != me) {
                    log::info!(
                        "fleet: group {group}: another daemon has heard that {} is primary",
                        belief.host
                    );
                    let hint = PrimaryHint { endpoint: id_of(&belief.host), at: belief.at };
                    let _ = self.hints.0.try_send(hint.write());
                }
            }
            Frame::PrimaryHint([a, b, c, d, e, f], age) if age >= TimeDelta::ZERO => {
                let endpoint = EndpointId { ip: [a, b, c, d], port: u16::from_be_bytes([e, f]) };
                let hint = PrimaryHint { endpoint, at: self.clock.now() - age };
                let _ = self.hints.0.try_send(hint.write());
            }
            Frame::Hello(_) | Frame::Verdict(..) | Frame::Forward(_) | Frame::PrimaryHint(..) => {
                self.pass_over("out of place");
                return false;
            }
        }
        true
    }

    fn hear_marks(&self, marks: Vec<(String, crate::store::state_machine::DrainMark)>) {
        let new = {
            let mut table = self.change();
            self.touch(marks.iter().map(|(host, _)| host.clone()));
            let Table { marks: own, state, .. } = &mut *table;
            own.hear(marks, state, self.limits.pending_drains)
        };
        if new {
            self.wake();
            self.save();
            // Whoever the one that said it does not reach hears it from here.
            self.spread(&Frame::Marks(self.table().marks.all()));
            self.lead();
        }
    }

    /// Takes in what hosts have told this daemon.
    pub fn observe(&self, facts: &[Observation]) {
        let now = self.clock.now();
        let lost: Vec<LogRollback> = {
            let table = self.table();
            let lost = |f: &Observation| {
                let group = table.state.hosts.get(&f.host)?.group;
                // One that has only just stepped down says nothing about its group's log.
                let another = table.learned.beliefs().get(&group).filter(|b| b.host != f.host);
                if !f.primary || another.is_some_and(|b| Some(b.at) > f.started) {
                    return None;
                }
                // Where it went back, or where it stands at a commit of before its start: nothing lies between.
                let started = f
                    .started
                    .filter(|at| f.position.is_known() && f.position.commit_time(Timestamp::ZERO) < *at)
                    .map(|at| (f.position, at));
                let (from, to) = f.back.or(started)?;
                Some(LogRollback { group, from, to: LogPosition::of_commit(to, Timestamp::ZERO) })
            };
            facts.iter().filter_map(lost).collect()
        };
        if !lost.is_empty() {
            self.broken_off(lost, &self.me.name);
        }
        let urgent = {
            let mut table = self.change();
            let Table { learned, state, .. } = &mut *table;
            let urgent = learned.observe(now, facts, self.returns());
            learned.believe(now, state);
            urgent
        };
        self.restarted(now, facts.iter().map(|f| &f.host));
        if urgent {
            self.spread(&Frame::Digest(self.table().learned.digest()));
            self.push();
        }
    }

    /// What the others lack of this daemon's own facts, as far as is known, without being asked.
    fn push(&self) {
        let now = self.clock.now();
        let mut table = self.change();
        let me = table.identity.id;
        let Table { learned, digests, .. } = &mut *table;
        for way in self.ways().iter().filter(|w| w.up.get()) {
            let known = digests.entry(way.id()).or_default();
            let words = learned.lacks(now, known, |id| id != me, self.limits.observations_per_message);
            let Some(last) = words.iter().map(|w| w.count).max() else { continue };
            if way.send(&Frame::Words(words).bytes()) {
                // Until it says itself what it knows: what was lost on the way is sent again then.
                known.retain(|(id, _)| *id != me);
                known.push((me, last));
            }
        }
    }

    // ---- how service returns ----

    /// Whether service has yet to return in full.
    pub fn returns(&self) -> bool {
        self.service.borrow().done.is_none()
    }

    /// How far it has.
    pub fn service(&self) -> Returns {
        self.service.borrow().clone()
    }

    /// The settings are there: service can return by them.
    pub fn returns_by(&self, cold: Cold) {
        self.cold.set(Some(cold));
        *self.order.borrow_mut() = Some(Order::new(cold));
    }

    /// What holds now while service returns; `listed`: the core has the list. Once it has returned there are no terms
    /// and no turns.
    pub fn return_on(&self, listed: bool) -> (Option<AdmissionPolicy>, Option<PollParticipants>) {
        let now = self.clock.now();
        let mut order = self.order.borrow_mut();
        let Some(own) = order.as_mut() else { return (None, None) };
        let stand = own.next(&self.view(now, listed));
        let turns = stand.turns.then(|| self.turns());
        let terms = stand.terms.clone();
        if stand.step == Step::Done {
            *order = None;
        }
        drop(order);
        self.note_service(&stand);
        (terms, turns)
    }

    fn note_service(&self, stand: &Service) {
        let mut service = self.service.borrow_mut();
        let now = Instant::now();
        if (service.step, &service.waits) == (stand.step, &stand.waits) {
            return;
        }
        let since = (now - service.began).as_millis();
        if service.step != stand.step {
            let waits = if stand.waits.is_empty() { "nothing" } else { &stand.waits };
            // Steps that others' words have made short are told too.
            let passed = [Step::Writes, Step::Reads, Step::Rest].into_iter();
            for step in passed.filter(|step| (service.step < *step) && (*step < stand.step)) {
                log::info!("recovery: step {step}, {since} ms after the start; waits for nothing");
            }
            log::info!("recovery: step {}, {since} ms after the start; waits for {waits}", stand.step);
            service.since = now;
        }
        (service.step, service.waits) = (stand.step, stand.waits.clone());
        if stand.step == Step::Done {
            service.done = Some(now);
        }
    }

    /// Others that return as well and are heard: hosts are asked in turn with them.
    fn turns(&self) -> PollParticipants {
        let table = self.table();
        let hears = self.hears(&table);
        let returns = |id: &NodeId| table.heard.get(id).is_some_and(|h| h.beat.returns);
        let others = hears.into_iter().filter(returns).filter(|id| table.state.members.contains_key(id));
        PollParticipants { me: table.identity.id, others: others.collect() }
    }

    fn view(&self, now: Timestamp, listed: bool) -> recovery::phases::View {
        let table = self.table();
        let members = table.state.members.len().max(1);
        let heard = self.hears(&table).iter().filter(|id| table.state.members.contains_key(id)).count() + 1;
        let seen = |(name, host): (&String, &HostRecord)| {
            let drained = host.leaving || table.state.is_drained(name) || table.marks.drains(name);
            let moment = table.learned.moment(now, name);
            let started = moment.started.max(host.started_at);
            (!drained).then(|| Seen {
                group: host.group,
                primary: moment.primary,
                named: moment.named,
                proven: moment.proven,
                age: started.map(|at| now - at),
                bore: moment.bore,
                said: moment.said,
                serves: moment.serves,
            })
        };
        let hosts = if listed { table.state.hosts.iter().filter_map(seen).collect() } else { Vec::new() };
        recovery::phases::View { now, listed, members, heard, hosts }
    }

    /// Notes which of these hosts have started a moment ago. The module is told, and spares them; but where no host of
    /// a group is warm, service returns to it in order and at the pace of what they bore before.
    fn restarted<'a>(&self, now: Timestamp, hosts: impl Iterator<Item = &'a String>) {
        let Some(cold) = self.cold.get() else { return };
        let news = {
            let table = self.table();
            let mut restarts = self.restarts.borrow_mut();
            let is_cold = |host: &&String| {
                table.learned.started(host).is_some_and(|started| now - started < cold.warm_up)
            };
            let hosts: Vec<String> = hosts.filter(is_cold).cloned().collect();
            if hosts.is_empty() && !restarts.waits() {
                return;
            }
            let known = |(name, host): (&'_ String, &HostRecord)| Known {
                group: host.group,
                listed: host.started_at,
                started: table.learned.started(name),
                heard: table.learned.heard(name),
            };
            let all = table.state.hosts.iter().map(|h| (h.0.as_str(), known(h))).collect();
            restarts.note(now, cold, hosts.into_iter(), &all)
        };
        if news.group_cold && !self.returns() {
            log::warn!(
                "recovery: a group's hosts have all started a moment ago; service returns to it in order"
            );
            self.returns_by(cold);
            *self.service.borrow_mut() = Returns::new("");
        }
        if !news.spared.is_empty() {
            log::info!("fleet: started a moment ago, and cold: {}", news.spared.join(", "));
            self.touch(news.spared);
            self.wake();
        }
    }

    /// Groups have lost commits, as this daemon or another one has noticed.
    fn broken_off(&self, breaks: Vec<LogRollback>, by: &str) {
        let (now, mut new) = (self.clock.now(), Vec::new());
        {
            let (table, mut own) = (self.table(), self.breaks.borrow_mut());
            let known = |group| table.state.hosts.values().any(|h| h.group == group);
            for b in breaks {
                // A clock that is far ahead would have whatever is written from now on pass for lost. Most words of it
                // are repeated: all hosts are looked through only for what is new.
                if b.from >= LogPosition::UNKNOWN
                    && b.to.commit_time(Timestamp::ZERO) <= now + START_TIME_TOLERANCE
                    && !own.knows(b)
                    && known(b.group)
                    && own.note(b)
                {
                    new.push(b);
                }
            }
        }
        for b in &new {
            log::warn!(
                "fleet: group {} has lost what was written after {} up to {}, as {by} has noticed: sessions are told",
                b.group,
                b.from.as_millis(),
                b.to.as_millis()
            );
        }
        if !new.is_empty() {
            self.spread(&Frame::LogRollbacks(new));
        }
    }

    /// What this daemon knew before its start, for its core.
    pub fn told_before(&self) -> Vec<PeerObservation> {
        self.table().learned.positions()
    }

    /// What others heard of hosts, as it comes in while service returns.
    pub async fn told(&self) -> Option<Vec<PeerObservation>> {
        let mut all = vec![self.told.1.recv().await.ok()?];
        while let Ok(more) = self.told.1.try_recv() {
            all.push(more);
        }
        Some(all)
    }

    /// Tells the others' modules what this one's has heard. Times go as ages: clocks may differ.
    pub fn hint(&self, bytes: &[u8]) {
        let Some(PrimaryHint { endpoint, at }) = PrimaryHint::read(bytes) else { return };
        let [a, b, c, d] = endpoint.ip;
        let [e, f] = endpoint.port.to_be_bytes();
        self.spread(&Frame::PrimaryHint([a, b, c, d, e, f], (self.clock.now() - at).or_zero()));
    }

    /// The next word of another daemon's module.
    pub async fn hinted(&self) -> Option<Vec<u8>> {
        self.hints.1.recv().await.ok()
    }
}

/// The machine's clocks now.
fn clocks(clock: &Clock) -> Clocks {
    let (boot, up) = Clock::machine();
    Clocks { wall: clock.now(), boot, up }
}

/// Hosts that a change may change in the list.
fn named(change: &Change) -> Vec<String> {
    match change {
        Change::Drain { host, .. } | Change::Undrain { host, .. } => vec![host.clone()],
        Change::Inventory { set, gone, .. } => set.iter().map(|(n, _)| n).chain(gone).cloned().collect(),
        Change::Settings { .. } | Change::Zone { .. } | Change::Regions { .. } => Vec::new(),
    }
}

fn describe(change: &Change, effect: Effect) -> String {
    match change {
        Change::Drain { host, .. } => format!("drain {host}: {effect:?}"),
        Change::Undrain { host, .. } => format!("undrain {host}: {effect:?}"),
        Change::Inventory { by, set, gone, .. } => {
            format!("inventory of {by}, {} set, {} gone: {effect:?}", set.len(), gone.len())
        }
        Change::Settings { by, .. } => format!("settings of {by}: {effect:?}"),
        Change::Regions { by, regions, .. } => {
            format!("regions of {} zones by {by}: {effect:?}", regions.len())
        }
        Change::Zone { zone, share } => {
            format!("zone {zone} to {} by move {}, {:?}: {effect:?}", share.part, share.number, share.why)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::store::{storage::Disk, store_thread};
    use std::sync::mpsc::sync_channel;

    /// Guards against a drain that is never kept because the disk was slow in the moment it was said.
    #[test]
    fn what_a_full_queue_turned_away_is_handed_in_again() {
        let limits = Rc::new(Limits::for_sockets(64));
        let (disk, held) = Disk::in_memory().unwrap();
        let (opened, ..) = store_thread::start(disk, held, &limits).unwrap();
        let (inputs, queue) = sync_channel(1);
        let me = Me {
            name: "b1".into(),
            address: ([127, 0, 0, 1], 1).into(),
            named: Vec::new(),
            leaving: Leaving::default(),
        };
        let fleet = Fleet::new(me, limits, Clock::start(), Rc::default(), opened, inputs);
        assert!(fleet.tell(Input::TakePart) && !fleet.tell(Input::TakePart));
        fleet.change().marks.say("s-1", NodeId(7), Timestamp::from_micros(1));
        fleet.save();
        assert!(matches!(queue.try_recv(), Ok(Input::TakePart)));
        fleet.save();
        assert!(matches!(queue.try_recv(), Ok(Input::Marks(marks, _)) if marks.len() == 1));
        fleet.save();
        assert!(queue.try_recv().is_err(), "it is kept once");
    }
}
