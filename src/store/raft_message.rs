//! Raft messages between peers, as serde types of this program that convert to and from those of the `raft` crate.

use super::records::{LogEntry, SnapshotRecord};
use crate::ids::NodeId;
use raft::eraftpb::{self, MessageType};
use serde::{Deserialize, Serialize};

/// A Raft message from one node to another. The order and types of the fields are part of the protocol between peers.
/// The meaning of a field depends on the kind of message; the fields have the names that `eraftpb.proto` of the `raft`
/// crate uses, which describes them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The kind of message: one of the constants in [`kind`].
    pub(super) kind: u8,
    /// The node that the message is addressed to. A node rejects messages addressed to another one.
    pub to: NodeId,
    /// The node that sent the message. Messages that name another node than the connected peer are rejected.
    pub from: NodeId,
    /// The sender's term; in a pre-vote, the term of the election that would follow.
    pub term: u64,
    pub(super) log_term: u64,
    /// The index of an entry: in an append, of the entry before the appended ones; in the response, of the last entry
    /// that was appended.
    pub index: u64,
    pub(super) entries: Vec<LogEntry>,
    /// The sender's commit index.
    pub commit: u64,
    pub(super) commit_term: u64,
    pub(super) snapshot: Option<SnapshotRecord>,
    pub(super) request_snapshot: u64,
    /// In a response, whether the request was rejected.
    pub reject: bool,
    pub(super) reject_hint: u64,
    pub(super) context: Vec<u8>,
    pub(super) priority: i64,
}

/// The kinds of messages between peers, with the numbers of `MessageType` in `eraftpb.proto`.
pub(super) mod kind {
    pub const APPEND: u8 = 3;
    pub const APPEND_RESPONSE: u8 = 4;
    pub const REQUEST_VOTE: u8 = 5;
    pub const REQUEST_VOTE_RESPONSE: u8 = 6;
    pub const SNAPSHOT: u8 = 7;
    pub const HEARTBEAT: u8 = 8;
    pub const HEARTBEAT_RESPONSE: u8 = 9;
    pub const TRANSFER_LEADER: u8 = 13;
    pub const TIMEOUT_NOW: u8 = 14;
    pub const READ_INDEX: u8 = 15;
    pub const READ_INDEX_RESPONSE: u8 = 16;
    pub const REQUEST_PRE_VOTE: u8 = 17;
    pub const REQUEST_PRE_VOTE_RESPONSE: u8 = 18;
}

/// The kinds of messages that peers exchange. All other kinds are local to a node and are rejected when a peer sends
/// them.
const PEER_MESSAGE_TYPES: [(u8, MessageType); 13] = [
    (kind::APPEND, MessageType::MsgAppend),
    (kind::APPEND_RESPONSE, MessageType::MsgAppendResponse),
    (kind::REQUEST_VOTE, MessageType::MsgRequestVote),
    (kind::REQUEST_VOTE_RESPONSE, MessageType::MsgRequestVoteResponse),
    (kind::SNAPSHOT, MessageType::MsgSnapshot),
    (kind::HEARTBEAT, MessageType::MsgHeartbeat),
    (kind::HEARTBEAT_RESPONSE, MessageType::MsgHeartbeatResponse),
    (kind::TRANSFER_LEADER, MessageType::MsgTransferLeader),
    (kind::TIMEOUT_NOW, MessageType::MsgTimeoutNow),
    (kind::READ_INDEX, MessageType::MsgReadIndex),
    (kind::READ_INDEX_RESPONSE, MessageType::MsgReadIndexResp),
    (kind::REQUEST_PRE_VOTE, MessageType::MsgRequestPreVote),
    (kind::REQUEST_PRE_VOTE_RESPONSE, MessageType::MsgRequestPreVoteResponse),
];

pub(super) fn message_type(kind: u8) -> Option<MessageType> {
    let entry = PEER_MESSAGE_TYPES.iter().find(|(known, _)| *known == kind)?;
    Some(entry.1)
}

fn message_kind(message_type: MessageType) -> Option<u8> {
    let entry = PEER_MESSAGE_TYPES.iter().find(|(_, known)| *known == message_type)?;
    Some(entry.0)
}

impl RaftMessage {
    /// Converts a message of the `raft` crate. Returns `None` if it is local to the node.
    pub fn from_raft(mut message: eraftpb::Message) -> Option<RaftMessage> {
        let kind = message_kind(message.msg_type)?;
        let entries = message.take_entries().into_iter().map(LogEntry::from_raft).collect();
        let has_snapshot = message.has_snapshot() && message.get_snapshot().get_metadata().index > 0;
        let snapshot = has_snapshot.then(|| SnapshotRecord::from_raft(message.get_snapshot()));
        Some(RaftMessage {
            kind,
            to: NodeId(message.to),
            from: NodeId(message.from),
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries,
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot,
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// Converts to a message of the `raft` crate. Returns `None` if the message is malformed. This includes a snapshot
    /// message without a snapshot, which would make the crate panic.
    pub fn into_raft(self) -> Option<eraftpb::Message> {
        let message_type = message_type(self.kind)?;
        let has_snapshot = self.snapshot.as_ref().is_some_and(|snapshot| snapshot.index > 0);
        if message_type == MessageType::MsgSnapshot && !has_snapshot {
            return None;
        }
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in self.entries {
            entries.push(entry.into_raft()?);
        }
        let mut message = eraftpb::Message::default();
        message.set_msg_type(message_type);
        message.to = self.to.0;
        message.from = self.from.0;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(entries.into());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.into();
        message.priority = self.priority;
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.to_raft());
        }
        Some(message)
    }

    /// Whether the message carries a snapshot of the replicated state.
    pub fn carries_state(&self) -> bool {
        self.snapshot.is_some()
    }

    /// The term that the sender must have persisted, or `None` if the message does not imply one. A pre-vote does
    /// not, since its term is one that the sender has not entered yet.
    pub fn persisted_term(&self) -> Option<u64> {
        let is_persisted = matches!(
            self.kind,
            kind::APPEND
                | kind::APPEND_RESPONSE
                | kind::REQUEST_VOTE
                | kind::REQUEST_VOTE_RESPONSE
                | kind::HEARTBEAT
                | kind::HEARTBEAT_RESPONSE
        );
        is_persisted.then_some(self.term)
    }

    /// The index of the last entry that the sender has persisted, if the message acknowledges an append; otherwise
    /// `None`.
    pub fn acknowledged_index(&self) -> Option<u64> {
        let is_accepted_append = self.kind == kind::APPEND_RESPONSE && !self.reject;
        is_accepted_append.then_some(self.index)
    }
}

#[cfg(test)]
mod tests;
