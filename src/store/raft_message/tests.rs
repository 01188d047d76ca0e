//! Conversion of messages to the types of the `raft` crate and back.

use super::*;
use crate::store::records::Configuration;

/// Guards against accepting a local message from a peer: the `raft` crate would parse the bytes of a proposal in it.
#[test]
fn only_messages_that_peers_exchange_are_converted() {
    for kind in 0..=u8::MAX {
        let message = RaftMessage { kind, to: NodeId(1), from: NodeId(2), ..RaftMessage::default() };
        let is_convertible =
            PEER_MESSAGE_TYPES.iter().any(|(known, _)| *known == kind) && kind != kind::SNAPSHOT;
        assert_eq!(message.into_raft().is_some(), is_convertible, "{kind}");
    }
}

#[test]
fn a_message_converted_to_raft_and_back_is_unchanged() {
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
