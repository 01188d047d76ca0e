//! The immediate election after a start, begun by the reachable voter with the newest log.

use super::Fleet;
use crate::fleet::recovery::first_election::Voter;
use crate::store::store_thread::StoreCommand;

impl Fleet {
    /// Starts the first election if this node is the one to do so.
    pub(super) fn campaign_if_due(&self) {
        let agreed = self.agreed();
        let status = agreed.status();
        if !status.participating || !agreed.has_fleet() || agreed.is_removed() {
            return;
        }
        let local = Voter {
            id: agreed.local_id(),
            last_entry: status.own_progress.last_entry,
            leader: status.leader,
        };
        let voters = &status.configuration.voters;
        let reachable = self.reachable_voters();
        if self.first_election.borrow_mut().is_due(self.clock.now(), local, voters, &reachable) {
            log::info!(
                "raft: election started: no leader is known to {} reachable nodes of {} voters",
                reachable.len() + 1,
                voters.len()
            );
            self.send_to_store(StoreCommand::Campaign);
        }
    }

    /// Peers that participate in the consensus, have recently sent a message and can be sent messages.
    fn reachable_voters(&self) -> Vec<Voter> {
        let peers = self.peers();
        let mut reachable = Vec::new();
        for id in self.recently_heard_peers() {
            let Some(status) = peers.status(id) else { continue };
            let heartbeat = &status.heartbeat;
            if heartbeat.participates && peers.link_to(id).is_some() {
                reachable.push(Voter { id, last_entry: heartbeat.last_entry, leader: heartbeat.leader });
            }
        }
        reachable
    }
}
