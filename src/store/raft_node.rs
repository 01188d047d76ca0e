//! One Raft node, without I/O and without a clock.
//!
//! The algorithm is that of the `raft` crate, with pre-vote and check-quorum enabled. [`RaftNode`] holds the log and
//! the replicated state in memory, and enforces the order of writing, sending and applying. Its owner
//!
//! 1. passes in ticks, received messages and proposals;
//! 2. takes each [`PendingReady`], sends its messages at once, and syncs its write;
//! 3. passes it to [`RaftNode::complete_write`], sends the returned messages, and acts on the applied entries.

mod applied;
mod memory_log;
mod persistent_state;

pub use applied::{AppliedContent, AppliedEntry};
pub use memory_log::LogSize;
pub use persistent_state::{InvalidRaftState, RaftPersistentState, RaftWrite};

use super::codec;
use super::raft_message::RaftMessage;
use super::records::{Configuration, HardState, LogEntry, SnapshotRecord, Vote};
use super::state_machine::{ApplyResult, ClusterState, MembershipChange, Proposal};
use crate::ids::{FleetId, NodeId};
use memory_log::MemoryLog;
use raft::eraftpb::{self, ConfChangeV2, EntryType};
use raft::{Config, RawNode, Ready, SnapshotStatus, StateRole};

/// The minimum number of ticks without a message from a leader after which a follower starts an election. The `raft`
/// crate randomizes the timeout between this number and twice as many.
pub const ELECTION_TICKS: usize = 10;

/// The number of ticks between heartbeats of a leader. One lost heartbeat does not cause an election, since two
/// intervals of 4 ticks are shorter than the election timeout of at least 10.
pub const HEARTBEAT_TICKS: usize = 4;

/// Maximum size of the entries in one message to a follower. A longer log is sent in several messages.
const MAX_APPEND_BYTES: u64 = 256 * 1024;
/// Maximum number of append messages that a follower has not acknowledged. Further ones wait for its responses.
const MAX_UNACKNOWLEDGED_APPENDS: usize = 64;
/// Maximum size of a leader's uncommitted entries. A leader without a majority rejects proposals beyond it, instead of
/// growing its log without bound.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;

/// A step of the Raft node (a `Ready` of the `raft` crate) whose write is not synced yet.
pub struct PendingReady {
    ready: Ready,
    /// Messages that may be sent before the write is synced.
    pub messages: Vec<RaftMessage>,
    /// The write that must be synced before [`RaftNode::complete_write`] is called.
    pub write: RaftWrite,
}

/// The result of [`RaftNode::complete_write`].
#[derive(Debug, Default)]
pub struct CompletedWrite {
    /// Messages that had to wait for the write.
    pub messages: Vec<RaftMessage>,
    /// Entries that were committed and have been applied, in log order.
    pub applied: Vec<AppliedEntry>,
}

/// Whether a snapshot was passed to the connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDelivery {
    /// The snapshot is in the connection's send queue.
    Sent,
    /// The snapshot was dropped: there is no connection, or its send queue is full.
    Failed,
}

/// How far a node has replicated the log, as last reported to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProgress {
    /// The node's id. The leader itself has an entry too.
    pub id: NodeId,
    /// The node's storage holds the entries up to this index.
    pub match_index: u64,
    /// A message from the node arrived within the last election timeout; always true for the leader itself.
    pub recently_active: bool,
}

/// One Raft node, with its log and the replicated state. See the module documentation for how to drive it.
pub struct RaftNode {
    id: NodeId,
    node: RawNode<MemoryLog>,
    /// Numbers of confirmed leadership checks that [`RaftNode::take_confirmed_checks`] has not returned yet.
    confirmed_checks: Vec<u64>,
}

impl RaftNode {
    /// Creates a node from its persistent state.
    ///
    /// # Errors
    ///
    /// The persistent state violates an invariant, or cannot be decoded.
    pub fn new(id: NodeId, persisted: RaftPersistentState) -> Result<RaftNode, InvalidRaftState> {
        let log = MemoryLog::new(persisted)?;
        let config = Config {
            id: id.0,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: log.applied.index,
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: MAX_UNACKNOWLEDGED_APPENDS,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger)?;
        Ok(RaftNode { id, node, confirmed_checks: Vec::new() })
    }

    /// The id under which this node votes.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The replicated state after the last applied entry.
    pub fn state(&self) -> &ClusterState {
        &self.log().state
    }

    /// The fleet that the node belongs to, or [`FleetId::NONE`] if it belongs to none yet.
    pub fn fleet_id(&self) -> FleetId {
        self.state().fleet
    }

    /// The index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.log().applied.index
    }

    /// The commit index of this node: the index of the last entry that is known to be committed.
    pub fn committed(&self) -> u64 {
        self.node.raft.raft_log.committed
    }

    /// The index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.node.raft.raft_log.last_index()
    }

    /// The term that this node is in.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The term of the entry at `index`, or 0 if the log does not have that entry.
    pub fn term_at(&self, index: u64) -> u64 {
        self.node.raft.raft_log.term(index).unwrap_or(0)
    }

    /// The last vote whose write was completed.
    pub fn persisted_vote(&self) -> Vote {
        self.log().hard_state.current_vote()
    }

    /// The leader of the current term, or [`NodeId::NONE`] if this node knows none.
    pub fn leader(&self) -> NodeId {
        NodeId(self.node.raft.leader_id)
    }

    /// Whether this node considers itself the leader. A leader that is cut off does so until check-quorum makes it
    /// step down.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The voters and learners after the last applied entry.
    pub fn configuration(&self) -> Configuration {
        self.log().configuration.clone()
    }

    /// The size of the entries that are held in memory.
    pub fn log_size(&self) -> LogSize {
        self.log().size()
    }

    /// The proposals in entries that are not applied yet. Their drains are in force before they are committed.
    pub fn unapplied_proposals(&self) -> Vec<Proposal> {
        let log = self.log();
        let mut proposals = Vec::new();
        for entry in &log.entries {
            if entry.index > log.applied.index && entry.entry_type == EntryType::EntryNormal {
                proposals.extend(codec::decode::<Proposal>(&entry.data));
            }
        }
        proposals
    }

    /// How far each node has replicated the log; empty if this node is not the leader.
    pub fn peer_progress(&self) -> Vec<PeerProgress> {
        if !self.is_leader() {
            return Vec::new();
        }
        let progress_of = |(id, progress): (&u64, &raft::Progress)| PeerProgress {
            id: NodeId(*id),
            match_index: progress.matched,
            recently_active: progress.recent_active || *id == self.id.0,
        };
        self.node.raft.prs().iter().map(progress_of).collect()
    }

    fn log(&self) -> &MemoryLog {
        self.node.store()
    }

    /// Advances the election and heartbeat timers by one tick.
    pub fn tick(&mut self) {
        self.node.tick();
    }

    /// Starts an election at once, without waiting for the election timeout. Used by the only voter of a fleet, and by
    /// a node that has determined that there is no leader to wait for.
    pub fn campaign(&mut self) {
        // The only error is that this node must not be elected; then there is nothing to do.
        let _ = self.node.campaign();
    }

    /// Sends heartbeats at once, if this node is the leader.
    pub fn broadcast_heartbeat(&mut self) {
        self.node.ping();
    }

    /// Handles a message from a peer. Returns false if the message is malformed, addressed to another node, or
    /// rejected by the `raft` crate.
    pub fn receive(&mut self, message: RaftMessage) -> bool {
        let is_from_peer = message.from != self.id && message.from != NodeId::NONE;
        let is_addressed_here = message.to == self.id;
        let Some(message) = message.into_raft() else { return false };
        if !is_addressed_here || !is_from_peer || !self.accepts_snapshot_in(&message) {
            return false;
        }
        self.node.step(message).is_ok()
    }

    /// Whether a message carries no snapshot, or one of this node's fleet. A snapshot that cannot be decoded, or that
    /// belongs to another fleet, must not replace this node's state.
    fn accepts_snapshot_in(&self, message: &eraftpb::Message) -> bool {
        if !message.has_snapshot() || message.get_snapshot().get_metadata().index == 0 {
            return true;
        }
        match ClusterState::decode(&message.get_snapshot().data) {
            Some(state) => self.fleet_id().is_none() || state.fleet == self.fleet_id(),
            None => false,
        }
    }

    /// Proposes a change. Returns false if this node is not the leader, or has too many uncommitted entries.
    pub fn propose(&mut self, proposal: &Proposal) -> bool {
        self.is_leader() && self.node.propose(Vec::new(), codec::encode(proposal)).is_ok()
    }

    /// Proposes a membership change. Returns false if this node is not the leader, or if another membership change is
    /// in progress.
    pub fn propose_membership(&mut self, change: &MembershipChange) -> bool {
        let is_change_pending =
            self.node.raft.has_pending_conf() || !self.log().configuration.voters_outgoing.is_empty();
        if !self.is_leader() || is_change_pending {
            return false;
        }
        self.node.propose_conf_change(codec::encode(change), raft_conf_change(change)).is_ok()
    }

    /// Requests confirmation from a majority that this node is still the leader, by a Raft read index request.
    /// [`RaftNode::take_confirmed_checks`] returns `number` once a majority has confirmed it. The check is lost, and
    /// the caller has to request it again, if the leader has not committed an entry of its term yet or if messages are
    /// lost.
    pub fn request_leadership_check(&mut self, number: u64) {
        if self.is_leader() {
            self.node.read_index(number.to_be_bytes().to_vec());
        }
    }

    /// Returns the numbers of the leadership checks that a majority has confirmed since the last call.
    pub fn take_confirmed_checks(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.confirmed_checks)
    }

    /// Reports whether a snapshot was sent to a peer. Until then the `raft` crate sends no entries to that peer.
    pub fn report_snapshot(&mut self, to: NodeId, delivery: SnapshotDelivery) {
        let status = match delivery {
            SnapshotDelivery::Sent => SnapshotStatus::Finish,
            SnapshotDelivery::Failed => SnapshotStatus::Failure,
        };
        self.node.report_snapshot(to.0, status);
    }

    /// Transfers the leadership to another voter, if this node is the leader.
    pub fn transfer_leadership(&mut self, to: NodeId) {
        if self.is_leader() {
            self.node.transfer_leader(to.0);
        }
    }

    /// Reports that the connection to a peer is lost.
    pub fn report_unreachable(&mut self, id: NodeId) {
        self.node.report_unreachable(id.0);
    }

    /// Returns the next step of the Raft node, or `None` if there is nothing to do.
    pub fn next_ready(&mut self) -> Option<PendingReady> {
        if !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        for read_state in ready.take_read_states() {
            if let Ok(number) = <[u8; 8]>::try_from(&read_state.request_ctx[..]) {
                self.confirmed_checks.push(u64::from_be_bytes(number));
            }
        }
        let messages = into_peer_messages(ready.take_messages());
        let write = raft_write(&ready);
        Some(PendingReady { ready, messages, write })
    }

    /// Completes a step after its write was synced: applies the committed entries and returns the messages that had to
    /// wait for the write.
    pub fn complete_write(&mut self, pending: PendingReady) -> CompletedWrite {
        let PendingReady { mut ready, write, .. } = pending;
        let mut applied = Vec::new();
        let log = self.node.mut_store();
        if let Some(record) = &write.snapshot
            && let Some(state) = ClusterState::decode(&record.state)
        {
            applied.push(AppliedEntry::snapshot(record.index, &state));
            log.restore(record, state);
        }
        log.append(ready.entries());
        log.hard_state = write.hard_state.unwrap_or(log.hard_state);
        let mut messages = ready.take_persisted_messages();
        self.apply_committed(ready.take_committed_entries(), &mut applied);
        let mut light_ready = self.node.advance_append(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.node.mut_store().hard_state.commit = commit;
        }
        messages.extend(light_ready.take_messages());
        self.apply_committed(light_ready.take_committed_entries(), &mut applied);
        self.node.advance_apply();
        CompletedWrite { messages: into_peer_messages(messages), applied }
    }

    /// The whole replicated state as an applied entry, as if it had been received as a snapshot.
    pub fn state_as_applied_entry(&self) -> AppliedEntry {
        AppliedEntry::snapshot(self.applied(), self.state())
    }

    fn apply_committed(&mut self, entries: Vec<eraftpb::Entry>, applied: &mut Vec<AppliedEntry>) {
        for entry in entries {
            applied.push(self.apply_entry(LogEntry::from_raft(entry)));
        }
    }

    fn apply_entry(&mut self, entry: LogEntry) -> AppliedEntry {
        let (content, result) = if entry.kind == LogEntry::CHANGE {
            self.apply_change(&entry)
        } else {
            self.apply_membership(&entry)
        };
        let log = self.node.mut_store();
        log.applied = entry.id();
        let mut checksum = crc32fast::Hasher::new_with_initial(log.state.digest);
        checksum.update(&entry.index.to_be_bytes());
        checksum.update(&entry.payload);
        log.state.digest = checksum.finalize();
        AppliedEntry { index: entry.index, digest: log.state.digest, content, result }
    }

    /// Applies a change. A change that cannot be decoded, because a newer version proposed it, is skipped on every
    /// node.
    fn apply_change(&mut self, entry: &LogEntry) -> (AppliedContent, ApplyResult) {
        let Some(proposal) = codec::decode::<Proposal>(&entry.payload) else {
            return (AppliedContent::Empty, ApplyResult::Done);
        };
        let result = self.node.mut_store().state.apply(entry.index, &proposal.change);
        (AppliedContent::Change(proposal), result)
    }

    fn apply_membership(&mut self, entry: &LogEntry) -> (AppliedContent, ApplyResult) {
        let change: MembershipChange = codec::decode(&entry.payload).unwrap_or_default();
        let Ok(configuration) = self.node.apply_conf_change(&raft_conf_change(&change)) else {
            return (AppliedContent::Empty, ApplyResult::Rejected);
        };
        let log = self.node.mut_store();
        log.configuration = Configuration::from_raft(&configuration);
        log.state.apply_membership(&change);
        (AppliedContent::Membership(change), ApplyResult::Done)
    }

    /// Drops the oldest applied entries if the log exceeds `limit`, and returns the write that records it. Peers that
    /// still need dropped entries receive a snapshot.
    pub fn compact(&mut self, limit: LogSize) -> Option<RaftWrite> {
        let log = self.node.mut_store();
        if !log.compact(limit) {
            return None;
        }
        log.hard_state.commit = log.hard_state.commit.max(log.applied.index);
        Some(RaftWrite {
            hard_state: Some(log.hard_state),
            entries: Vec::new(),
            snapshot: Some(log.snapshot_record()),
            compacted: Some(log.compacted),
        })
    }
}

/// Converts the messages for peers, and drops those that are local to the node.
fn into_peer_messages(messages: Vec<eraftpb::Message>) -> Vec<RaftMessage> {
    messages.into_iter().filter_map(RaftMessage::from_raft).collect()
}

fn raft_write(ready: &Ready) -> RaftWrite {
    let hard_state = ready.hs().map(HardState::from_raft);
    let entries = ready.entries().iter().cloned().map(LogEntry::from_raft).collect();
    let has_snapshot = ready.snapshot().get_metadata().index > 0;
    let snapshot = has_snapshot.then(|| SnapshotRecord::from_raft(ready.snapshot()));
    let compacted = snapshot.as_ref().map(SnapshotRecord::last_entry);
    RaftWrite { hard_state, entries, snapshot, compacted }
}

fn raft_conf_change(change: &MembershipChange) -> ConfChangeV2 {
    let steps: Vec<eraftpb::ConfChangeSingle> = change.steps.iter().map(|step| step.to_raft()).collect();
    let mut conf_change = ConfChangeV2::default();
    conf_change.set_changes(steps.into());
    conf_change
}

#[cfg(test)]
mod tests;
