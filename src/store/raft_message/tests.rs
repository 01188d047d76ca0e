//! Messages to the library's form and back.

use super::*;
use crate::store::records::Configuration;

/// Guards against a message that a peer may not send: the library would parse a proposal's bytes.
#[test]
fn only_messages_that_go_between_daemons_are_made() {
    for kind in 0..=u8::MAX {
        let letter = RaftMessage { kind, to: NodeId(1), from: NodeId(2), ..RaftMessage::default() };
        let known = PEER_MESSAGE_TYPES.iter().any(|(known, _)| *known == kind) && kind != kind::SNAPSHOT;
        assert_eq!(letter.into_raft().is_some(), known, "{kind}");
    }
}

#[test]
fn a_message_keeps_all_that_counts_on_its_way() {
    let entry = LogEntry { index: 6, term: 3, kind: 2, payload: vec![1, 2] };
    let conf = Configuration {
        voters: vec![NodeId(1), NodeId(2)],
        learners: vec![NodeId(3)],
        ..Configuration::default()
    };
    let snapshot = SnapshotRecord { index: 5, term: 2, configuration: conf, state: vec![9] };
    for (kind, snapshot) in [(3, None), (7, Some(snapshot))] {
        let letter = RaftMessage {
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
        assert_eq!(RaftMessage::from_raft(letter.clone().into_raft().unwrap()), Some(letter));
    }
}
