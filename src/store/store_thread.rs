//! The thread that owns this daemon's part in the agreement and its disk: a queue in, a queue out. A slow disk
//! holds up nobody but itself.

use super::codec;
use super::raft_message::RaftMessage;
use super::raft_node::{
    AppliedContent, AppliedEntry, CompletedWrite, LogSize, RaftNode, RaftPersistentState, RaftWrite,
};
use super::records::{EntryId, HardState, LogEntry, SnapshotRecord};
use super::state_machine::{ApplyResult, Change, ClusterState, PendingDrain, Proposal};
use super::storage::{DurableStorage, IdentityResetReason, PersistedProgress, StoreContents};
use crate::config::Limits;
use crate::ids::NodeId;
use async_channel::Sender;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::Instant;

mod interface;

pub use interface::{OpenedStore, RunningStore, StoreCommand, StoreEvent, StoreStatus};

/// A change that waits until a majority has said that this daemon still leads.
struct Waiting {
    proposal: Proposal,
    ticks: u32,
}

/// Ticks that a change waits for that, and that a change which went into the log is not put there again.
const CONFIRM_TICKS: u32 = 40;

struct StoreThread {
    disk: Option<DurableStorage>,
    replica: RaftNode,
    part: bool,
    boots: u64,
    limits: Limits,
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    recent: BTreeMap<(NodeId, u64), u32>,
    witnesses: BTreeMap<NodeId, PersistedProgress>,
    heard: bool,
    /// A write of nothing but how far is agreed waits for the next one.
    commit: Option<HardState>,
    dropped_messages: u64,
    raft_restarts: u64,
    told: StoreStatus,
    out: Sender<StoreEvent>,
}

/// Starts the thread on what a disk held.
pub fn start(disk: DurableStorage, held: StoreContents, limits: &Limits) -> Result<RunningStore, String> {
    let (inputs, queue) = mpsc::sync_channel(limits.input_queue);
    // The sockets' thread takes what comes as it comes, and drops what it cannot send.
    let (out, outputs) = async_channel::unbounded();
    let StoreContents {
        raft: image,
        drains: marks,
        reported_progress: witnesses,
        gossip: learned,
        legacy,
        ..
    } = held;
    let (disk, replica) = match RaftNode::new(disk.identity.id, image) {
        Ok(replica) => (disk, replica),
        Err(e) => {
            log::warn!("store: {e}; set aside, this daemon is a new one");
            let disk = disk.reset_identity(IdentityResetReason::Damaged)?;
            let replica = RaftNode::new(disk.identity.id, RaftPersistentState::default())?;
            (disk, replica)
        }
    };
    let identity = disk.identity.clone();
    let part = !replica.configuration().voters.contains(&identity.id);
    let mut owner = StoreThread {
        disk: Some(disk),
        replica,
        part,
        boots: identity.boot_count,
        limits: limits.clone(),
        waiting: BTreeMap::new(),
        next: 0,
        recent: BTreeMap::new(),
        witnesses,
        heard: false,
        commit: None,
        dropped_messages: 0,
        raft_restarts: 0,
        told: StoreStatus::default(),
        out,
    };
    let open = owner.replica.uncommitted_proposals().into_iter().filter_map(|p| match p.change {
        Change::Drain { host, drain } => Some(PendingDrain { host, drain }),
        _ => None,
    });
    // A drain that is in the log acts, whether or not this disk knows that it was agreed.
    let marks = marks.into_iter().chain(open).collect();
    let state = owner.replica.state().clone();
    owner.told = owner.status();
    let opened =
        OpenedStore { identity, state, status: owner.told.clone(), drains: marks, gossip: learned, legacy };
    let thread = std::thread::Builder::new().name("store".into());
    thread.spawn(move || owner.run(&queue)).map_err(|e| format!("store: {e}"))?;
    Ok(RunningStore { opened, commands: inputs, events: outputs })
}

impl StoreThread {
    fn run(mut self, queue: &mpsc::Receiver<StoreCommand>) {
        let mut next = Instant::now() + self.limits.raft_tick;
        self.settle();
        loop {
            match queue.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(input) => {
                    self.input(input);
                    // One write for all that waits.
                    for _ in 0..self.limits.input_queue {
                        let Ok(input) = queue.try_recv() else { break };
                        self.input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next {
                // A process that stood still has not waited for a leader all that time.
                next = now + self.limits.raft_tick;
                self.tick();
            }
            if !self.settle() {
                return;
            }
        }
    }

    fn tell(&self, output: StoreEvent) {
        // Unbounded: full it never is, and a receiver that is gone ends the loop by the queue.
        let _ = self.out.try_send(output);
    }

    fn status(&self) -> StoreStatus {
        let (last, term) = (self.replica.last_index(), self.replica.term());
        StoreStatus {
            leader: self.replica.leader(),
            term,
            committed: self.replica.committed(),
            applied: self.replica.applied(),
            own_progress: PersistedProgress {
                boot_count: self.boots,
                term,
                last_entry: EntryId { term: self.replica.term_at(last), index: last },
            },
            participating: self.part,
            configuration: self.replica.configuration(),
            peer_progress: self.replica.peer_progress(),
            log_size: self.replica.log_size(),
            reported_progress: self.witnesses.clone(),
            dropped_messages: self.dropped_messages,
            raft_restarts: self.raft_restarts,
            disk_writes: self.disk.as_ref().map_or(0, |disk| disk.write_count.get()),
        }
    }

    fn tick(&mut self) {
        if self.part {
            self.guarded(|r| r.tick());
        }
        for waiting in self.waiting.values_mut() {
            waiting.ticks += 1;
        }
        self.waiting.retain(|_, w| w.ticks < CONFIRM_TICKS);
        for ticks in self.recent.values_mut() {
            *ticks += 1;
        }
        self.recent.retain(|_, ticks| *ticks < CONFIRM_TICKS);
        if !self.replica.is_leader() {
            self.waiting.clear();
            self.recent.clear();
        }
        // A question that came before this leader had agreed on anything, or got lost, is asked again.
        let again: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| w.ticks % 4 == 0).map(|(n, _)| *n).collect();
        for number in again {
            self.guarded(|r| r.request_leadership_check(number));
        }
    }

    /// Works on the agreement. Should the library end in a panic, as over letters that contradict the log, the
    /// agreement is read anew from the disk: what is there was written before anybody was told.
    fn guarded<T>(&mut self, work: impl FnOnce(&mut RaftNode) -> T) -> Option<T> {
        match catch_unwind(AssertUnwindSafe(|| work(&mut self.replica))) {
            Ok(done) => Some(done),
            Err(_) => {
                self.raft_restarts += 1;
                log::error!("the agreement ended in a panic; it is read anew from the disk");
                self.reread();
                None
            }
        }
    }

    fn reread(&mut self) {
        let image =
            self.disk.as_ref().map_or_else(|| Err("no disk".to_string()), DurableStorage::read_raft_state);
        match image.and_then(|image| RaftNode::new(self.replica.id(), image)) {
            Ok(replica) => {
                let (digest, index) = (replica.state().digest, replica.applied());
                let what = AppliedContent::Snapshot(Box::new(replica.state().clone()));
                let effect = ApplyResult::Done;
                self.replica = replica;
                self.tell(StoreEvent::Applied(vec![AppliedEntry {
                    index,
                    digest,
                    content: what,
                    result: effect,
                }]));
            }
            Err(e) => self.fail(e),
        }
    }

    fn fail(&mut self, why: String) {
        self.disk = None;
        self.part = false;
        self.tell(StoreEvent::StorageFailed(why));
    }

    fn input(&mut self, input: StoreCommand) {
        match input {
            StoreCommand::RaftMessages(letters) => {
                for letter in letters {
                    self.hear(&letter);
                    if !self.part || self.guarded(|r| r.receive(letter)) != Some(true) {
                        self.dropped_messages += 1;
                    }
                }
            }
            StoreCommand::Propose(proposal) => self.propose(proposal),
            StoreCommand::ChangeMembership(change) => drop(self.guarded(|r| r.propose_membership(&change))),
            StoreCommand::PersistDrains { drains, version } => {
                if self.write(&RaftWrite::default(), &[("marks", codec::encode(&drains))]) {
                    self.tell(StoreEvent::DrainsPersisted(version));
                }
            }
            StoreCommand::PersistGossip(bytes) => {
                self.write(&RaftWrite::default(), &[("learned", codec::encode(&bytes))]);
            }
            StoreCommand::FoundFleet(state) => self.found(&state),
            StoreCommand::ForceNewFleet(state) => {
                let image = RaftPersistentState::force_new_fleet(
                    &state,
                    self.replica.id(),
                    EntryId { term: self.replica.term(), index: self.replica.last_index() },
                );
                self.begin(&image);
            }
            StoreCommand::StartParticipating => {
                if !std::mem::replace(&mut self.part, self.disk.is_some())
                    && self.replica.configuration().voters == [self.replica.id()]
                {
                    self.guarded(RaftNode::campaign);
                }
            }
            StoreCommand::ResetIdentity(reason) => self.reset_identity(reason),
            StoreCommand::TransferLeadership(to) => drop(self.guarded(|r| r.transfer_leadership(to))),
            StoreCommand::Campaign if self.part && self.replica.leader() == NodeId::NOBODY => {
                log::debug!("store: asks for the lead");
                self.guarded(RaftNode::campaign);
            }
            StoreCommand::Campaign => {}
            StoreCommand::BroadcastHeartbeat => drop(self.guarded(RaftNode::broadcast_heartbeat)),
            StoreCommand::SnapshotSent { to, delivery } => {
                self.guarded(|r| r.report_snapshot(to, delivery));
            }
            StoreCommand::PeerUnreachable(id) => drop(self.guarded(|r| r.report_unreachable(id))),
        }
    }

    /// Remembers what another daemon has said of its disk.
    fn hear(&mut self, letter: &RaftMessage) {
        let Some(term) = letter.promised() else { return };
        let held = letter.acknowledged().filter(|i| *i <= self.replica.last_index());
        let last =
            held.map_or(EntryId::default(), |index| EntryId { term: self.replica.term_at(index), index });
        let now = PersistedProgress { boot_count: 0, term, last_entry: last };
        let known = self.witnesses.entry(letter.from).or_default();
        let before = *known;
        known.advance_to(&now);
        self.heard |= before != *known;
    }

    fn propose(&mut self, proposal: Proposal) {
        let key = (proposal.from, proposal.token);
        if !self.replica.is_leader() || self.recent.contains_key(&key) {
            return;
        }
        if proposal.change.only_restricts() {
            self.put(proposal);
        } else if !self.waiting.values().any(|w| (w.proposal.from, w.proposal.token) == key)
            && self.waiting.len() < self.limits.fleet_nodes
        {
            self.next += 1;
            let number = self.next;
            self.waiting.insert(number, Waiting { proposal, ticks: 0 });
            self.guarded(|r| r.request_leadership_check(number));
        }
    }

    fn put(&mut self, proposal: Proposal) {
        let key = (proposal.from, proposal.token);
        if self.guarded(|r| r.propose(&proposal)) == Some(true) {
            self.recent.insert(key, 0);
        }
    }

    fn found(&mut self, state: &ClusterState) {
        if !self.replica.fleet_id().is_none() {
            return;
        }
        let image = RaftPersistentState::found_fleet(state, self.replica.id());
        self.begin(&image);
    }

    /// A fleet of this daemon alone begins.
    fn begin(&mut self, image: &RaftPersistentState) {
        self.commit = None;
        if self.write(&image.full_write(), &[]) {
            self.part = true;
            self.reread();
            self.guarded(RaftNode::campaign);
        }
    }

    fn reset_identity(&mut self, reason: IdentityResetReason) {
        let Some(disk) = self.disk.take() else { return };
        match disk.reset_identity(reason) {
            Ok(disk) => {
                let identity = disk.identity.clone();
                match RaftNode::new(identity.id, RaftPersistentState::default()) {
                    Ok(replica) => self.replica = replica,
                    Err(e) => return self.fail(e),
                }
                (self.disk, self.boots, self.part) = (Some(disk), identity.boot_count, true);
                self.waiting.clear();
                self.tell(StoreEvent::IdentityReset(identity));
            }
            Err(e) => self.fail(e),
        }
    }

    fn write(&mut self, write: &RaftWrite, more: &[(&str, Vec<u8>)]) -> bool {
        let Some(disk) = &self.disk else { return false };
        let commit = self.commit.take();
        let write = RaftWrite { hard_state: write.hard_state.or(commit), ..write.clone() };
        let mut more = more.to_vec();
        if std::mem::take(&mut self.heard) {
            more.push(("witnesses", codec::encode(&self.witnesses)));
        }
        match disk.write(&write, &more) {
            Ok(()) => {
                let last = write.entries.last().map(LogEntry::id);
                if let Some(EntryId { term, index }) =
                    last.or(write.snapshot.as_ref().map(SnapshotRecord::last_entry))
                {
                    log::debug!("store: holds {index} of term {term}");
                }
                true
            }
            Err(e) => {
                self.fail(e);
                false
            }
        }
    }

    /// Works off all steps; false: nobody listens any more.
    fn settle(&mut self) -> bool {
        while let Some(Some(mut pending)) = self.guarded(RaftNode::next_ready) {
            let confirmed = self.replica.take_confirmed_checks();
            let send = std::mem::take(&mut pending.messages);
            if !send.is_empty() {
                self.tell(StoreEvent::RaftMessages(send));
            }
            // How far is agreed need not be on the disk: the leader tells it again.
            let mut write = pending.write.clone();
            let kept = write.hard_state.filter(|h| h.cast_vote() == self.replica.written_vote());
            if kept.is_some() && (RaftWrite { hard_state: None, ..write.clone() }).is_empty() {
                self.commit = write.hard_state.take();
            }
            if !write.is_empty() && !self.write(&write, &[]) {
                return true;
            }
            let Some(CompletedWrite { messages: letters, applied }) =
                self.guarded(|r| r.complete_write(pending))
            else {
                continue;
            };
            // Only now: nothing may go into the log in the midst of a step.
            for number in confirmed {
                if let Some(waiting) = self.waiting.remove(&number) {
                    self.put(waiting.proposal);
                }
            }
            if !letters.is_empty() {
                self.tell(StoreEvent::RaftMessages(letters));
            }
            if !applied.is_empty() {
                self.tell(StoreEvent::Applied(applied));
            }
            let limit = LogSize { bytes: self.limits.log_bytes, entries: self.limits.log_entries };
            if let Some(Some(write)) = self.guarded(|r| r.compact(limit)) {
                self.write(&write, &[]);
            }
        }
        let status = self.status();
        if status != self.told {
            self.told = status.clone();
            self.tell(StoreEvent::Status(Box::new(status)));
        }
        !self.out.is_closed()
    }
}
