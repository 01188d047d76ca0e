//! What has to be done now and then.

use super::*;

impl Fleet {
    /// Does for ever what has to be done now and then.
    pub async fn go_on(self: &Rc<Fleet>) {
        let mut beat = Instant::now();
        let mut keep = Instant::now() + self.limits.gossip_save_interval;
        let woken = self.watch();
        loop {
            self.found_fleet_if_due();
            self.join_consensus_if_accepted();
            self.campaign_if_due();
            self.open_links();
            self.act_as_leader();
            self.propose_own_files();
            self.persist_pending_drains();
            if Instant::now() >= keep {
                keep = Instant::now() + self.limits.gossip_save_interval;
                self.persist_gossip();
            }
            if Instant::now() >= beat {
                beat = Instant::now() + self.limits.heartbeat_interval;
                self.broadcast(&self.own_heartbeat());
                let now = self.clock.now();
                {
                    let mut table = self.change();
                    let Table { learned, state, digests, .. } = &mut *table;
                    learned.remove_departed(now, state);
                    digests.retain(|id, _| state.members.contains_key(id));
                }
                self.broadcast_zone_observations();
                // Where nothing is known there is nothing to compare.
                let digest = self.table().learned.digest();
                if !digest.is_empty() {
                    self.broadcast(&PeerMessage::GossipDigest(digest));
                }
                let recent: Vec<LogRollback> = self
                    .breaks
                    .borrow()
                    .all()
                    .into_iter()
                    .filter(|b| now - b.to.commit_time(Timestamp::ZERO) < LATELY)
                    .collect();
                if !recent.is_empty() {
                    self.broadcast(&PeerMessage::LogRollbacks(recent));
                }
                let recent = Instant::now();
                self.change()
                    .candidates
                    .retain(|_, (_, at)| recent - *at < self.limits.peer_gone_timeout * 5);
            }
            if crate::fleet::peer_link::sleep_or_wake(self.time_to_next_round(), &woken).await {
                // Many changes in a row are worked off together.
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }

    /// How long nothing need be done, if nothing happens: what waits is said again, what rests may rest.
    pub(super) fn time_to_next_round(&self) -> Duration {
        let table = self.table();
        let waits = !table.marks.is_empty()
            || !table.wishes.is_empty()
            || !table.candidates.is_empty()
            || !table.state.is_complete()
            || table.state.fleet.is_none()
            || !table.status.participating
            || !self.proposed.borrow().is_empty();
        match () {
            // It may have to stand for election.
            _ if self.returns() && table.status.leader == NodeId::NOBODY && !table.state.fleet.is_none() => {
                self.limits.raft_tick
            }
            _ if waits => self.limits.proposal_retry_interval,
            _ => self.limits.heartbeat_interval,
        }
    }
}
