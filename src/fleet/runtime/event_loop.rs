//! What has to be done now and then.

use super::*;

impl Fleet {
    /// Does for ever what has to be done now and then.
    pub async fn go_on(self: &Rc<Fleet>) {
        let mut beat = Instant::now();
        let mut keep = Instant::now() + self.limits.gossip_save_interval;
        let woken = self.watch();
        loop {
            self.found();
            self.take_part();
            self.stand();
            self.open_ways();
            self.lead();
            self.reconcile();
            self.save();
            if Instant::now() >= keep {
                keep = Instant::now() + self.limits.gossip_save_interval;
                self.keep();
            }
            if Instant::now() >= beat {
                beat = Instant::now() + self.limits.heartbeat_interval;
                self.spread(&self.beat());
                let now = self.clock.now();
                {
                    let mut table = self.change();
                    let Table { learned, state, digests, .. } = &mut *table;
                    learned.tidy(now, state);
                    digests.retain(|id, _| state.members.contains_key(id));
                }
                self.tell_sights();
                // Where nothing is known there is nothing to compare.
                let digest = self.table().learned.digest();
                if !digest.is_empty() {
                    self.spread(&Frame::Digest(digest));
                }
                let recent: Vec<LogRollback> = self
                    .breaks
                    .borrow()
                    .all()
                    .into_iter()
                    .filter(|b| now - b.to.commit_time(Timestamp::ZERO) < LATELY)
                    .collect();
                if !recent.is_empty() {
                    self.spread(&Frame::LogRollbacks(recent));
                }
                let recent = Instant::now();
                self.change()
                    .candidates
                    .retain(|_, (_, at)| recent - *at < self.limits.peer_gone_timeout * 5);
            }
            if crate::fleet::peer_link::rest(self.pause(), &woken).await {
                // Many changes in a row are worked off together.
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }

    /// How long nothing need be done, if nothing happens: what waits is said again, what rests may rest.
    pub(super) fn pause(&self) -> Duration {
        let table = self.table();
        let waits = !table.marks.is_empty()
            || !table.wishes.is_empty()
            || !table.candidates.is_empty()
            || !table.state.is_complete()
            || table.state.fleet == 0
            || !table.status.part
            || !self.proposed.borrow().is_empty();
        match () {
            // It may have to stand for election.
            _ if self.returns() && table.status.leader == NodeId::NOBODY && table.state.fleet != 0 => {
                self.limits.raft_tick
            }
            _ if waits => self.limits.proposal_retry_interval,
            _ => self.limits.heartbeat_interval,
        }
    }
}
