//! Conversions of messages to the consensus library's type and back.

use super::*;
use crate::store::records::Configuration;

/// Guards against a message that a peer may not send: the library would parse a proposal's bytes.
#[test]
fn only_messages_between_peers_are_converted() {
    for kind in 0..=u8::MAX {
        let message = RaftMessage { kind, to: NodeId(1), from: NodeId(2), ..RaftMessage::default() };
        let is_known = PEER_MESSAGE_TYPES.iter().any(|(known, _)| *known == kind) && kind != kind::SNAPSHOT;
        assert_eq!(message.into_raft().is_some(), is_known, "{kind}");
    }
}

#[test]
fn a_converted_message_keeps_all_that_counts() {
    let entry = LogEntry { index: 6, term: 3, kind: LogEntry::MEMBERSHIP, payload: vec![1, 2] };
    let configuration = Configuration {
        voters: vec![NodeId(1), NodeId(2)],
        learners: vec![NodeId(3)],
        ..Configuration::default()
    };
    let snapshot = SnapshotRecord { index: 5, term: 2, configuration, state: vec![9] };
    for (kind, snapshot) in [(kind::APPEND, None), (kind::SNAPSHOT, Some(snapshot))] {
        let message = RaftMessage {
            kind,
            to: NodeId(1),
            from: NodeId(2),
            term: 3,
            log_term: 2,
            index: 5,
            entries: vec![entry.clone()],
            commit: 4,
            snapshot,
            reject: true,
            reject_hint: 8,
            context: vec![7],
            ..RaftMessage::default()
        };
        assert_eq!(RaftMessage::from_raft(message.clone().into_raft().unwrap()), Some(message));
    }
}
