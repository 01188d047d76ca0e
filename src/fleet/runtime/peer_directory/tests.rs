//! Candidates, leaderless peers, reconnects and acceptances.

use super::*;
use crate::ids::FleetId;
use crate::store::records::EntryId;
use crate::store::storage::PersistedProgress;

fn handshake(id: u64) -> Handshake {
    let progress = PersistedProgress { boot_count: 1, term: 5, last_entry: EntryId { term: 4, index: 90 } };
    let address = ([127, 0, 0, 1], 9).into();
    Handshake { fleet: FleetId::NONE, id: NodeId(id), name: format!("b{id}"), address, progress }
}

/// Guards against a peer that exhausts this node's memory by requesting admission under many ids, and against
/// candidates that are never removed.
#[test]
fn candidates_are_bounded_and_expire_unless_they_are_refreshed() {
    let mut peers = PeerDirectory::new(2);
    for id in 1..=3 {
        peers.add_candidate(&handshake(id));
    }
    assert_eq!(peers.candidates().keys().copied().collect::<Vec<_>>(), [NodeId(1), NodeId(2)]);
    assert!(peers.refresh_candidate(NodeId(2)) && !peers.refresh_candidate(NodeId(3)));
    peers.expire_candidates(Duration::from_secs(60));
    assert_eq!(peers.candidates().len(), 2);
    peers.expire_candidates(Duration::ZERO);
    assert!(peers.candidates().is_empty());
}

/// Guards against a wrong duration of a peer's time without a leader, on which the leader bases membership changes.
#[test]
fn a_peer_is_leaderless_from_its_first_heartbeat_that_names_no_leader() {
    let mut peers = PeerDirectory::new(2);
    assert!(peers.record_handshake(&handshake(1)) && !peers.record_handshake(&handshake(1)));
    let leaderless = Heartbeat { commit_index: 7, ..Heartbeat::default() };
    peers.record_heartbeat(NodeId(1), leaderless.clone());
    let since = peers.status(NodeId(1)).unwrap().leaderless_since;
    assert!(since.is_some());
    peers.record_heartbeat(NodeId(1), leaderless.clone());
    assert_eq!(peers.status(NodeId(1)).unwrap().leaderless_since, since);
    assert_eq!(peers.highest_commit_index(), Some(7));
    peers.record_heartbeat(NodeId(1), Heartbeat { leader: NodeId(2), ..leaderless });
    assert_eq!(peers.status(NodeId(1)).unwrap().leaderless_since, None);
}

/// Guards against incoming connections that outlive a change of this node's identity.
#[test]
fn a_reconnect_closes_earlier_incoming_connections_but_no_later_ones() {
    let mut peers = PeerDirectory::new(2);
    let before = peers.incoming_close_signal();
    peers.reconnect_all();
    assert!(before.is_closed() && !peers.incoming_close_signal().is_closed());
}

#[test]
fn only_acceptances_of_the_given_nodes_are_counted() {
    let mut peers = PeerDirectory::new(2);
    peers.record_acceptance(NodeId(1));
    peers.record_acceptance(NodeId(9));
    assert_eq!(peers.acceptances_of(&[1, 2, 3].map(NodeId)), 1);
    peers.clear_acceptances();
    assert_eq!(peers.acceptances_of(&[1, 2, 3].map(NodeId)), 0);
}
