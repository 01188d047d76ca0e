//! One daemon's part in the agreement. No I/O and no clock: it is told of ticks and letters, and hands out what
//! is to be written before what is to be sent.
//!
//! The consensus is the library's (`raft`); what is kept here is its log in memory, the agreed state beside it,
//! and the order of writing, sending and taking in.

use super::codec;
use super::raft_message::RaftMessage;
use super::records::{Configuration, EntryId, HardState, LogEntry, SnapshotRecord, Vote};
use super::state_machine::{ApplyResult, ClusterState, MembershipChange, Proposal};
use crate::ids::{FleetId, NodeId};
use raft::eraftpb::{self, ConfChangeV2, EntryType};
use raft::{Config, RawNode, Ready, SnapshotStatus, StateRole};
use std::collections::VecDeque;

mod memory_log;
mod persistent_state;

use memory_log::{MemoryLog, size};
pub use persistent_state::{RaftPersistentState, RaftWrite};

/// Ticks without a word of a leader before an election, at least; twice as many at most.
pub const ELECTION_TICKS: usize = 10;

/// Ticks between two words of a leader.
pub const HEARTBEAT_TICKS: usize = 4;

/// What was agreed at a place of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedContent {
    /// A change, with whose it was.
    Change(Proposal),
    /// A change of the membership.
    Membership(MembershipChange),
    /// All that was agreed up to here.
    Snapshot(Box<ClusterState>),
    /// Nothing, as when a leader begins.
    Empty,
}

/// Something that was agreed and taken in.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedEntry {
    /// Its place in the log.
    pub index: u64,
    /// The check sum over all that was agreed up to it.
    pub digest: u32,
    /// What it is.
    pub content: AppliedContent,
    /// What became of it.
    pub result: ApplyResult,
}

/// A step that waits for its write.
pub struct PendingReady {
    ready: Ready,
    /// Goes out at once.
    pub messages: Vec<RaftMessage>,
    /// Must be on the disk before [`RaftNode::complete_write`].
    pub write: RaftWrite,
}

/// Whether a snapshot was handed to the connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDelivery {
    /// It was.
    Sent,
    /// It was not: there is no connection, or its queue is full.
    Failed,
}

/// Size of the log in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// Bytes of its entries, with an allowance for each.
    pub bytes: usize,
    /// Its entries.
    pub entries: usize,
}

/// What follows from a write that is on the disk.
#[derive(Debug, Default)]
pub struct CompletedWrite {
    /// Messages to send now.
    pub messages: Vec<RaftMessage>,
    /// What was agreed and taken in.
    pub applied: Vec<AppliedEntry>,
}

/// How far another daemon is, as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProgress {
    /// The daemon.
    pub id: NodeId,
    /// Entries up to this are on its disk.
    pub match_index: u64,
    /// It was heard within the last election time.
    pub recently_active: bool,
}

/// One daemon's part in the agreement.
pub struct RaftNode {
    id: NodeId,
    node: RawNode<MemoryLog>,
    confirmed: Vec<u64>,
}

impl RaftNode {
    /// From what the disk holds; an error says what is wrong with it.
    pub fn new(id: NodeId, image: RaftPersistentState) -> Result<RaftNode, String> {
        let fresh = image.is_new();
        let state =
            if fresh { Some(ClusterState::default()) } else { ClusterState::decode(&image.snapshot.state) };
        let state = state.ok_or("the state is out of form")?;
        if image.last_entry().index < image.hard_state.commit.max(image.snapshot.index) {
            return Err("the log ends before what was agreed".into());
        }
        let gaps = image.entries.iter().zip(image.compacted.index + 1..).any(|(e, wanted)| e.index != wanted);
        if gaps || image.snapshot.index < image.compacted.index {
            return Err("the log has gaps".into());
        }
        let entries: Option<VecDeque<_>> = image.entries.into_iter().map(LogEntry::entry).collect();
        let entries = entries.ok_or("an entry is out of form")?;
        let log = MemoryLog {
            hard_state: image.hard_state,
            configuration: image.snapshot.configuration.clone(),
            compacted: image.compacted,
            bytes: entries.iter().map(size).sum(),
            entries,
            state,
            applied: image.snapshot.index,
            applied_term: image.snapshot.term,
        };
        let config = Config {
            id: id.0,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: log.applied,
            max_size_per_msg: 256 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 16 * 1024 * 1024,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger).map_err(|e| e.to_string())?;
        Ok(RaftNode { id, node, confirmed: Vec::new() })
    }

    /// This daemon.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// What is agreed, as far as this daemon knows.
    pub fn state(&self) -> &ClusterState {
        &self.node.store().state
    }

    /// The fleet; 0 before there is one.
    pub fn fleet_id(&self) -> FleetId {
        self.state().fleet
    }

    /// The last entry that was taken in.
    pub fn applied(&self) -> u64 {
        self.node.store().applied
    }

    /// The last entry that is known as agreed.
    pub fn committed(&self) -> u64 {
        self.node.raft.raft_log.committed
    }

    /// The index of the last entry that is held.
    pub fn last_index(&self) -> u64 {
        self.node.raft.raft_log.last_index()
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The term of an entry that is held; 0: it is not.
    pub fn term_at(&self, index: u64) -> u64 {
        self.node.raft.raft_log.term(index).unwrap_or(0)
    }

    /// Whom the disk has this daemon's vote for, in the term that the disk has; 0: nobody.
    pub fn written_vote(&self) -> Vote {
        self.node.store().hard_state.cast_vote()
    }

    /// The leader, as far as this daemon knows; 0: none.
    pub fn leader(&self) -> NodeId {
        NodeId(self.node.raft.leader_id)
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Who votes and who only follows.
    pub fn configuration(&self) -> Configuration {
        self.node.store().configuration.clone()
    }

    /// Bytes of the log in memory, and its entries.
    pub fn log_size(&self) -> LogSize {
        LogSize { bytes: self.node.store().bytes, entries: self.node.store().entries.len() }
    }

    /// Entries that are held and not known as agreed: what restricts in them acts all the same.
    pub fn uncommitted_proposals(&self) -> Vec<Proposal> {
        let log = self.node.store();
        let open =
            log.entries.iter().filter(|e| e.index > log.applied && e.entry_type == EntryType::EntryNormal);
        open.filter_map(|e| codec::decode(&e.data)).collect()
    }

    /// How far the others are; empty where this daemon does not lead.
    pub fn peer_progress(&self) -> Vec<PeerProgress> {
        if !self.is_leader() {
            return Vec::new();
        }
        let all = self.node.raft.prs().iter();
        all.map(|(id, p)| PeerProgress {
            id: NodeId(*id),
            match_index: p.matched,
            recently_active: p.recent_active || *id == self.id.0,
        })
        .collect()
    }

    /// Time has passed: a tick.
    pub fn tick(&mut self) {
        self.node.tick();
    }

    /// Asks for an election at once: the only member need not wait for one, nor need whoever knows that nobody leads.
    pub fn campaign(&mut self) {
        let _ = self.node.campaign();
    }

    /// Says to all that this daemon leads, if it does.
    pub fn broadcast_heartbeat(&mut self) {
        self.node.ping();
    }

    /// Takes in a letter; false: it is out of form or not for this daemon.
    pub fn receive(&mut self, letter: RaftMessage) -> bool {
        let (to, from) = (letter.to, letter.from);
        let Some(message) = letter.message() else { return false };
        if to != self.id || from == self.id || from == NodeId::NOBODY {
            return false;
        }
        if message.has_snapshot() && message.get_snapshot().get_metadata().index > 0 {
            // A state that cannot be read, or another fleet's, must not replace what is here.
            let state = ClusterState::decode(&message.get_snapshot().data);
            let ours = |s: &ClusterState| self.fleet_id().is_none() || s.fleet == self.fleet_id();
            if !state.as_ref().is_some_and(ours) {
                return false;
            }
        }
        self.node.step(message).is_ok()
    }

    /// Proposes a change; false: this daemon does not lead, or cannot take more now.
    pub fn propose(&mut self, proposal: &Proposal) -> bool {
        self.is_leader() && self.node.propose(Vec::new(), codec::encode(proposal)).is_ok()
    }

    /// Proposes a change of the membership; false: this daemon does not lead, or another one goes on.
    pub fn propose_membership(&mut self, change: &MembershipChange) -> bool {
        if !self.is_leader()
            || self.node.raft.has_pending_conf()
            || !self.configuration().voters_outgoing.is_empty()
        {
            return false;
        }
        let mut cc = ConfChangeV2::default();
        cc.set_changes(change.steps.iter().map(|s| s.conf_change()).collect::<Vec<_>>().into());
        self.node.propose_conf_change(codec::encode(change), cc).is_ok()
    }

    /// Asks a majority whether this daemon still leads; [`RaftNode::take_confirmed_checks`] tells when it said so.
    pub fn request_leadership_check(&mut self, number: u64) {
        if self.is_leader() {
            self.node.read_index(number.to_be_bytes().to_vec());
        }
    }

    /// Questions of [`RaftNode::request_leadership_check`] that a majority has answered.
    pub fn take_confirmed_checks(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.confirmed)
    }

    /// A snapshot was handed to the way to this daemon, or could not be.
    pub fn report_snapshot(&mut self, to: NodeId, delivery: SnapshotDelivery) {
        let status = match delivery {
            SnapshotDelivery::Sent => SnapshotStatus::Finish,
            SnapshotDelivery::Failed => SnapshotStatus::Failure,
        };
        self.node.report_snapshot(to.0, status);
    }

    /// Hands the lead to another daemon.
    pub fn transfer_leadership(&mut self, to: NodeId) {
        if self.is_leader() {
            self.node.transfer_leader(to.0);
        }
    }

    /// The way to this daemon is broken.
    pub fn report_unreachable(&mut self, id: NodeId) {
        self.node.report_unreachable(id.0);
    }

    /// The next step, if there is one.
    pub fn next_ready(&mut self) -> Option<PendingReady> {
        if !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        for read in ready.take_read_states() {
            if let Ok(number) = <[u8; 8]>::try_from(&read.request_ctx[..]) {
                self.confirmed.push(u64::from_be_bytes(number));
            }
        }
        let send = ready.take_messages().into_iter().filter_map(RaftMessage::of).collect();
        let hard = ready.hs().map(|h| HardState { term: h.term, vote: NodeId(h.vote), commit: h.commit });
        let entries = ready.entries().iter().cloned().map(LogEntry::of).collect();
        let fresh = !ready.snapshot().get_metadata().index.eq(&0);
        let snapshot = fresh.then(|| SnapshotRecord::of(ready.snapshot()));
        let dropped = snapshot.as_ref().map(SnapshotRecord::last_entry);
        Some(PendingReady {
            ready,
            messages: send,
            write: RaftWrite { hard_state: hard, entries, snapshot, compacted: dropped },
        })
    }

    /// The write of a step is on the disk: what goes out now, and what was taken in.
    pub fn complete_write(&mut self, pending: PendingReady) -> CompletedWrite {
        let PendingReady { mut ready, write, .. } = pending;
        let mut applied = Vec::new();
        let log = self.node.mut_store();
        if let Some(record) = &write.snapshot
            && let Some(state) = ClusterState::decode(&record.state)
        {
            let (index, digest) = (record.index, state.digest);
            let what = AppliedContent::Snapshot(Box::new(state.clone()));
            log.restore(record, state);
            applied.push(AppliedEntry { index, digest, content: what, result: ApplyResult::Done });
        }
        log.append(ready.entries().clone());
        log.hard_state = write.hard_state.unwrap_or(log.hard_state);
        let mut letters = ready.take_persisted_messages();
        let committed = ready.take_committed_entries();
        self.apply(committed, &mut applied);
        let mut light = self.node.advance_append(ready);
        if let Some(commit) = light.commit_index() {
            self.node.mut_store().hard_state.commit = commit;
        }
        letters.extend(light.take_messages());
        let committed = light.take_committed_entries();
        self.apply(committed, &mut applied);
        self.node.advance_apply();
        CompletedWrite { messages: letters.into_iter().filter_map(RaftMessage::of).collect(), applied }
    }

    fn apply(&mut self, entries: Vec<eraftpb::Entry>, applied: &mut Vec<AppliedEntry>) {
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            let entry = LogEntry::of(entry);
            let mut what = AppliedContent::Empty;
            let mut effect = ApplyResult::Done;
            if entry.kind == 0 {
                // One that cannot be read, as a newer program may write it, changes nothing anywhere.
                if let Some(proposal) = codec::decode::<Proposal>(&entry.payload) {
                    effect = self.node.mut_store().state.apply(index, &proposal.change);
                    what = AppliedContent::Change(proposal);
                }
            } else {
                let change: MembershipChange = codec::decode(&entry.payload).unwrap_or_default();
                let mut cc = ConfChangeV2::default();
                cc.set_changes(change.steps.iter().map(|s| s.conf_change()).collect::<Vec<_>>().into());
                match self.node.apply_conf_change(&cc) {
                    Ok(conf) => {
                        let log = self.node.mut_store();
                        log.configuration = Configuration::of(&conf);
                        log.state.apply_membership(&change);
                        what = AppliedContent::Membership(change);
                    }
                    Err(_) => effect = ApplyResult::Rejected,
                }
            }
            let log = self.node.mut_store();
            (log.applied, log.applied_term) = (index, term);
            let mut sum = crc32fast::Hasher::new_with_initial(log.state.digest);
            sum.update(&index.to_be_bytes());
            sum.update(&entry.payload);
            log.state.digest = sum.finalize();
            applied.push(AppliedEntry { index, digest: log.state.digest, content: what, result: effect });
        }
    }

    /// Drops the older half of a log that is longer than these bytes or entries; what is to be written for it.
    /// Those that are further behind get the whole state.
    pub fn compact(&mut self, limit: LogSize) -> Option<RaftWrite> {
        let log = self.node.mut_store();
        if log.bytes <= limit.bytes && log.entries.len() <= limit.entries {
            return None;
        }
        let mut dropped = log.compacted;
        while log.bytes > limit.bytes / 2 || log.entries.len() > limit.entries / 2 {
            match log.entries.front() {
                Some(e) if e.index <= log.applied => dropped = EntryId { term: e.term, index: e.index },
                _ => break,
            }
            log.bytes -= log.entries.pop_front().map_or(0, |e| size(&e));
        }
        if dropped == log.compacted {
            return None;
        }
        log.compacted = dropped;
        let hard = HardState { commit: log.hard_state.commit.max(log.applied), ..log.hard_state };
        log.hard_state = hard;
        Some(RaftWrite {
            hard_state: Some(hard),
            entries: Vec::new(),
            snapshot: Some(log.record()),
            compacted: Some(dropped),
        })
    }
}

#[cfg(test)]
mod tests;
