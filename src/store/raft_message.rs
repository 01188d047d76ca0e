//! Messages of the consensus between daemons, in our own form.

use super::records::{LogEntry, SnapshotRecord};
use crate::ids::NodeId;
use raft::eraftpb::{self, MessageType};
use serde::{Deserialize, Serialize};

/// A message of the consensus, from one daemon to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    pub(super) kind: u8,
    /// To whom.
    pub to: NodeId,
    /// From whom.
    pub from: NodeId,
    /// The sender's term.
    pub term: u64,
    pub(super) log_term: u64,
    /// What it is about.
    pub index: u64,
    pub(super) entries: Vec<LogEntry>,
    /// How far the sender knows the log to be agreed.
    pub commit: u64,
    pub(super) commit_term: u64,
    pub(super) snapshot: Option<SnapshotRecord>,
    pub(super) request_snapshot: u64,
    /// It says no.
    pub reject: bool,
    pub(super) reject_hint: u64,
    pub(super) context: Vec<u8>,
    pub(super) priority: i64,
}

/// Messages that go between daemons. All others are a daemon's own: from a socket they are out of form.
const KINDS: [(u8, MessageType); 13] = [
    (3, MessageType::MsgAppend),
    (4, MessageType::MsgAppendResponse),
    (5, MessageType::MsgRequestVote),
    (6, MessageType::MsgRequestVoteResponse),
    (7, MessageType::MsgSnapshot),
    (8, MessageType::MsgHeartbeat),
    (9, MessageType::MsgHeartbeatResponse),
    (13, MessageType::MsgTransferLeader),
    (14, MessageType::MsgTimeoutNow),
    (15, MessageType::MsgReadIndex),
    (16, MessageType::MsgReadIndexResp),
    (17, MessageType::MsgRequestPreVote),
    (18, MessageType::MsgRequestPreVoteResponse),
];

impl RaftMessage {
    /// Of the library's message; `None` for one that stays in the daemon.
    pub fn of(mut m: eraftpb::Message) -> Option<RaftMessage> {
        let kind = KINDS.iter().find(|(_, t)| *t == m.msg_type)?.0;
        let entries = m.take_entries().into_iter().map(LogEntry::of).collect();
        let snapshot = (m.has_snapshot() && !m.get_snapshot().get_metadata().index.eq(&0))
            .then(|| SnapshotRecord::of(m.get_snapshot()));
        Some(RaftMessage {
            kind,
            to: NodeId(m.to),
            from: NodeId(m.from),
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries,
            commit: m.commit,
            commit_term: m.commit_term,
            snapshot,
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        })
    }

    /// As the library wants it; `None` where it is of no kind that goes between daemons.
    pub fn message(self) -> Option<eraftpb::Message> {
        let kind = KINDS.iter().find(|(k, _)| *k == self.kind)?.1;
        let mut m = eraftpb::Message::default();
        m.set_msg_type(kind);
        (m.to, m.from, m.term, m.log_term, m.index) =
            (self.to.0, self.from.0, self.term, self.log_term, self.index);
        (m.commit, m.commit_term, m.request_snapshot) =
            (self.commit, self.commit_term, self.request_snapshot);
        (m.reject, m.reject_hint, m.priority) = (self.reject, self.reject_hint, self.priority);
        m.context = self.context.into();
        m.set_entries(self.entries.into_iter().map(LogEntry::entry).collect::<Option<Vec<_>>>()?.into());
        if let Some(snapshot) = self.snapshot {
            m.set_snapshot(snapshot.snapshot());
        }
        // What the library needs and would otherwise end the daemon for.
        let told = kind == MessageType::MsgSnapshot && m.get_snapshot().get_metadata().index > 0;
        (told == (kind == MessageType::MsgSnapshot)).then_some(m)
    }

    /// Whether it carries a whole state.
    pub fn carries_state(&self) -> bool {
        self.snapshot.is_some()
    }

    /// The term that the sender is in for certain: it stands on its disk. A first question before an election
    /// names a term that nobody is in yet.
    pub fn promised(&self) -> Option<u64> {
        matches!(self.kind, 3..=6 | 8 | 9).then_some(self.term)
    }

    /// The last entry that it says the sender holds for certain: an append that was taken.
    pub fn acknowledged(&self) -> Option<u64> {
        (self.kind == 4 && !self.reject).then_some(self.index)
    }
}

#[cfg(test)]
mod tests;
