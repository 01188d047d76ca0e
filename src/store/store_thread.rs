//! The thread that owns a Raft node and its storage. It receives commands and sends events through queues, so that a
//! slow disk delays nothing but the consensus.

mod commands;
mod interface;
mod proposals;

pub use interface::{OpenedStore, RunningStore, StoreCommand, StoreEvent, StoreStatus};

use super::error::StoreError;
use super::raft_node::{CompletedWrite, LogSize, PendingReady, RaftNode, RaftPersistentState, RaftWrite};
use super::records::{EntryId, HardState, LogEntry, SnapshotRecord};
use super::state_machine::{Change, PendingDrain};
use super::storage::{
    DurableStorage, IdentityResetReason, NodeValue, OpenedStorage, PersistedProgress, StoreContents,
};
use crate::config::Limits;
use crate::ids::NodeId;
use async_channel::Sender;
use proposals::Proposals;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread;
use std::time::Instant;

/// The state that the thread owns.
struct StoreThread {
    /// `None` after storage has failed.
    storage: Option<DurableStorage>,
    node: RaftNode,
    /// Whether the node participates in the consensus, that is, handles Raft messages and ticks.
    participating: bool,
    boot_count: u64,
    limits: Limits,
    proposals: Proposals,
    /// The furthest progress that each peer has reported.
    reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// Whether `reported_progress` has changed since it was last written.
    reported_progress_changed: bool,
    /// A hard state of which only the commit index has changed. It is included in the next write, since the leader
    /// sends the commit index again after a crash.
    deferred_hard_state: Option<HardState>,
    dropped_messages: u64,
    raft_restarts: u64,
    /// The status that was last sent as an event.
    emitted_status: StoreStatus,
    events: Sender<StoreEvent>,
}

/// Starts the thread with an opened storage. If the stored consensus state is invalid, the file is renamed and the
/// node starts as a new one.
///
/// # Errors
///
/// New storage cannot be created in place of the invalid one, or the thread cannot be started.
pub fn start(opened: OpenedStorage, limits: &Limits) -> Result<RunningStore, StoreError> {
    let OpenedStorage { storage, contents } = opened;
    let StoreContents { raft, drains, reported_progress, gossip, legacy, .. } = contents;
    let (commands, queue) = mpsc::sync_channel(limits.input_queue);
    let (event_sender, events) = async_channel::unbounded();
    let StartedNode { storage, node } = start_node(storage, raft)?;
    let identity = storage.identity.clone();
    // A voter waits until other voters have compared its storage with its earlier reports.
    let participating = !node.configuration().voters.contains(&identity.id);
    let mut thread = StoreThread {
        storage: Some(storage),
        node,
        participating,
        boot_count: identity.boot_count,
        limits: limits.clone(),
        proposals: Proposals::default(),
        reported_progress,
        reported_progress_changed: false,
        deferred_hard_state: None,
        dropped_messages: 0,
        raft_restarts: 0,
        emitted_status: StoreStatus::default(),
        events: event_sender,
    };
    thread.emitted_status = thread.status();
    let opened = OpenedStore {
        identity,
        state: thread.node.state().clone(),
        status: thread.emitted_status.clone(),
        drains: unresolved_drains(drains, &thread.node),
        gossip,
        legacy,
    };
    let builder = thread::Builder::new().name("store".into());
    builder.spawn(move || thread.run(&queue)).map_err(StoreError::Thread)?;
    Ok(RunningStore { opened, commands, events })
}

struct StartedNode {
    storage: DurableStorage,
    node: RaftNode,
}

fn start_node(storage: DurableStorage, raft: RaftPersistentState) -> Result<StartedNode, StoreError> {
    match RaftNode::new(storage.identity.id, raft) {
        Ok(node) => Ok(StartedNode { storage, node }),
        Err(error) => {
            log::warn!("store: {error}; the file is set aside, and this node starts with a new identity");
            let storage = storage.reset_identity(IdentityResetReason::Damaged)?;
            let node = RaftNode::new(storage.identity.id, RaftPersistentState::default())?;
            Ok(StartedNode { storage, node })
        }
    }
}

/// The stored pending drains, and those in log entries that are not applied yet. A drain takes effect before it is
/// committed, so one in the log is in force even while this node does not know whether its entry is committed.
fn unresolved_drains(pending: Vec<PendingDrain>, node: &RaftNode) -> Vec<PendingDrain> {
    let mut drains = pending;
    for proposal in node.unapplied_proposals() {
        if let Change::Drain { host, drain } = proposal.change {
            drains.push(PendingDrain { host, drain });
        }
    }
    drains
}

impl StoreThread {
    fn run(mut self, queue: &Receiver<StoreCommand>) {
        let mut next_tick = Instant::now() + self.limits.raft_tick;
        self.process_ready();
        loop {
            match queue.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(command) => {
                    self.handle(command);
                    self.handle_queued(queue);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next_tick {
                // Missed ticks are not caught up on: a process that was suspended could not receive messages from a
                // leader, so that time must not count towards the election timeout.
                next_tick = now + self.limits.raft_tick;
                self.tick();
            }
            self.process_ready();
            if self.events.is_closed() {
                return;
            }
        }
    }

    /// Handles the commands that are already queued, so that a single write covers them all.
    fn handle_queued(&mut self, queue: &Receiver<StoreCommand>) {
        for _ in 0..self.limits.input_queue {
            let Ok(command) = queue.try_recv() else { return };
            self.handle(command);
        }
    }

    fn emit(&self, event: StoreEvent) {
        // The queue is unbounded, so sending fails only if it is closed, and then the thread ends.
        let _ = self.events.try_send(event);
    }

    fn tick(&mut self) {
        if self.participating {
            self.with_node(RaftNode::tick);
        }
        self.proposals.tick();
        if !self.node.is_leader() {
            self.proposals.clear();
        }
        for check in self.proposals.checks_to_retry() {
            self.with_node(|node| node.request_leadership_check(check));
        }
    }

    fn status(&self) -> StoreStatus {
        let index = self.node.last_index();
        let term = self.node.term();
        let last_entry = EntryId { term: self.node.term_at(index), index };
        StoreStatus {
            leader: self.node.leader(),
            term,
            committed: self.node.committed(),
            applied: self.node.applied(),
            own_progress: PersistedProgress { boot_count: self.boot_count, term, last_entry },
            participating: self.participating,
            configuration: self.node.configuration(),
            peer_progress: self.node.peer_progress(),
            log_size: self.node.log_size(),
            reported_progress: self.reported_progress.clone(),
            dropped_messages: self.dropped_messages,
            raft_restarts: self.raft_restarts,
            disk_writes: self.storage.as_ref().map_or(0, DurableStorage::write_count),
        }
    }

    /// Runs an operation on the node. The `raft` crate panics on messages that contradict its log. The node is then
    /// reloaded from storage, which holds everything that was ever sent to a peer, and `None` is returned.
    fn with_node<T>(&mut self, operation: impl FnOnce(&mut RaftNode) -> T) -> Option<T> {
        match catch_unwind(AssertUnwindSafe(|| operation(&mut self.node))) {
            Ok(result) => Some(result),
            Err(_) => {
                self.raft_restarts += 1;
                log::error!("raft: the raft crate panicked; reloading its state from storage");
                self.reload_node();
                None
            }
        }
    }

    /// Reloads the node from storage, and sends its whole replicated state as an event.
    fn reload_node(&mut self) {
        match self.read_node() {
            Ok(node) => {
                self.node = node;
                self.emit(StoreEvent::Applied(vec![self.node.state_as_applied_entry()]));
            }
            Err(error) => self.handle_storage_failure(error),
        }
    }

    fn read_node(&self) -> Result<RaftNode, StoreError> {
        let storage = self.storage.as_ref().ok_or(StoreError::StorageClosed)?;
        Ok(RaftNode::new(self.node.id(), storage.read_raft_state()?)?)
    }

    /// Handles a storage failure. Without storage the node could vote twice in a term, so it stops participating.
    fn handle_storage_failure(&mut self, error: StoreError) {
        self.storage = None;
        self.participating = false;
        self.emit(StoreEvent::StorageFailed(error));
    }

    /// Writes `write` and `values`, together with the data that was deferred to the next write. Returns false if
    /// storage has failed.
    fn write(&mut self, mut write: RaftWrite, values: &[NodeValue<'_>]) -> bool {
        let Some(storage) = &self.storage else { return false };
        let deferred_hard_state = self.deferred_hard_state.take();
        write.hard_state = write.hard_state.or(deferred_hard_state);
        let mut values = values.to_vec();
        if self.reported_progress_changed {
            self.reported_progress_changed = false;
            values.push(NodeValue::ReportedProgress(&self.reported_progress));
        }
        if let Err(error) = storage.write(&write, &values) {
            self.handle_storage_failure(error);
            return false;
        }
        log_last_entry(&write);
        true
    }

    /// Processes the steps of the Raft node until there are none left, and sends the status if it has changed.
    fn process_ready(&mut self) {
        while let Some(Some(ready)) = self.with_node(RaftNode::next_ready) {
            if !self.process_step(ready) {
                return;
            }
        }
        let status = self.status();
        if status != self.emitted_status {
            self.emitted_status = status.clone();
            self.emit(StoreEvent::Status(Box::new(status)));
        }
    }

    /// Processes one step of the Raft node. Returns false if storage has failed.
    fn process_step(&mut self, mut ready: PendingReady) -> bool {
        let confirmed_checks = self.node.take_confirmed_checks();
        let independent_messages = std::mem::take(&mut ready.messages);
        if !independent_messages.is_empty() {
            self.emit(StoreEvent::RaftMessages(independent_messages));
        }
        let write = self.defer_commit_index(ready.write.clone());
        if !write.is_empty() && !self.write(write, &[]) {
            return false;
        }
        let Some(CompletedWrite { messages, applied }) = self.with_node(|node| node.complete_write(ready))
        else {
            return true;
        };
        // Proposals may be appended only after the step is completed.
        self.append_confirmed(&confirmed_checks);
        if !messages.is_empty() {
            self.emit(StoreEvent::RaftMessages(messages));
        }
        if !applied.is_empty() {
            self.emit(StoreEvent::Applied(applied));
        }
        self.compact_log();
        true
    }

    /// Empties a write in which only the commit index has changed, and defers that index to the next write, since it
    /// is not worth a disk write of its own.
    fn defer_commit_index(&mut self, mut write: RaftWrite) -> RaftWrite {
        let Some(hard_state) = write.hard_state else { return write };
        if hard_state.current_vote() != self.node.persisted_vote() {
            return write;
        }
        write.hard_state = None;
        if write.is_empty() {
            self.deferred_hard_state = Some(hard_state);
        } else {
            write.hard_state = Some(hard_state);
        }
        write
    }

    fn append_confirmed(&mut self, confirmed_checks: &[u64]) {
        for check in confirmed_checks {
            if let Some(proposal) = self.proposals.take_confirmed(*check) {
                self.append(&proposal);
            }
        }
    }

    fn compact_log(&mut self) {
        let limit = LogSize { bytes: self.limits.log_bytes, entries: self.limits.log_entries };
        if let Some(Some(write)) = self.with_node(|node| node.compact(limit)) {
            self.write(write, &[]);
        }
    }
}

/// Logs the last entry that storage holds after a write. The test kit compares these lines with those about committed
/// entries.
fn log_last_entry(write: &RaftWrite) {
    let last_entry = write.entries.last().map(LogEntry::id);
    let last_entry = last_entry.or_else(|| write.snapshot.as_ref().map(SnapshotRecord::last_entry));
    if let Some(EntryId { term, index }) = last_entry {
        log::debug!("store: holds {index} of term {term}");
    }
}
