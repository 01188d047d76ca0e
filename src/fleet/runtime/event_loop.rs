//! The periodic work of the fleet, also done promptly after each change.

use super::Fleet;
use crate::engine::log_rollback::LogRollback;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer_link::sleep_or_wake;
use crate::time::{TimeDelta, Timestamp};
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A log rollback is sent again with each heartbeat for this long, for peers that missed the first message.
const LOG_ROLLBACK_REPEAT: TimeDelta = TimeDelta::from_secs(60);

/// Delay between a change and the next round, so that a burst of changes is handled in one round.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(1);

/// A candidate is removed after this many times [`crate::config::Limits::peer_gone_timeout`] without a message. The
/// leader, which would admit it, removes it after one such timeout.
const CANDIDATE_EXPIRY_FACTOR: u32 = 5;

impl Fleet {
    /// Runs the event loop. Never returns.
    pub async fn run(self: &Rc<Fleet>) {
        let mut next_heartbeat = Instant::now();
        let mut next_drains_repeat = Instant::now();
        let mut next_gossip_save = Instant::now() + self.limits.gossip_save_interval;
        let changed = self.changes.subscribe();
        loop {
            self.run_round();
            if Instant::now() >= next_gossip_save {
                next_gossip_save = Instant::now() + self.limits.gossip_save_interval;
                self.persist_gossip();
            }
            if Instant::now() >= next_heartbeat {
                next_heartbeat = Instant::now() + self.limits.heartbeat_interval;
                self.run_heartbeat_tasks();
            }
            if Instant::now() >= next_drains_repeat {
                next_drains_repeat = Instant::now() + self.limits.pending_drains_interval;
                self.repeat_pending_drains();
            }
            if sleep_or_wake(self.time_to_next_round(), &changed).await {
                Timer::after(CHANGE_BATCH_DELAY).await;
            }
        }
    }

    /// Runs one round of the loop. Each step returns at once if nothing is due.
    fn run_round(self: &Rc<Fleet>) {
        self.found_fleet_if_due();
        self.participate_if_accepted();
        self.campaign_if_due();
        self.open_links();
        self.act_as_leader();
        self.propose_own_files();
        self.persist_pending_drains();
    }

    /// Runs the tasks that are due once per heartbeat interval.
    fn run_heartbeat_tasks(&self) {
        self.broadcast(&self.own_heartbeat());
        let now = self.clock.now();
        self.remove_departed_from_gossip(now);
        self.broadcast_zone_outcomes();
        self.broadcast_gossip_digest();
        self.broadcast_recent_log_rollbacks(now);
        let expiry = self.limits.peer_gone_timeout * CANDIDATE_EXPIRY_FACTOR;
        self.peers.borrow_mut().expire_candidates(expiry);
    }

    /// Sends recent log rollbacks again; see [`LOG_ROLLBACK_REPEAT`].
    fn broadcast_recent_log_rollbacks(&self, now: Timestamp) {
        let mut recent: Vec<LogRollback> = self.log_rollbacks.borrow().all();
        recent.retain(|rollback| now - rollback.to.commit_time(Timestamp::ZERO) < LOG_ROLLBACK_REPEAT);
        if !recent.is_empty() {
            self.broadcast(&PeerMessage::LogRollbacks(recent));
        }
    }

    /// The longest time that the loop sleeps if nothing changes.
    fn time_to_next_round(&self) -> Duration {
        let agreed = self.agreed();
        if self.is_recovering() && !agreed.has_leader() && agreed.has_fleet() {
            // An election by this node may become due at any tick.
            return self.limits.raft_tick;
        }
        if !self.drains().pending().is_empty() {
            return self.limits.pending_drains_interval;
        }
        let has_pending_work = !self.requests.borrow().is_empty()
            || !self.peers().candidates().is_empty()
            || !agreed.state().is_complete()
            || !agreed.has_fleet()
            || !agreed.status().participating
            || self.proposals.borrow().has_file_proposals();
        if has_pending_work { self.limits.proposal_retry_interval } else { self.limits.heartbeat_interval }
    }
}
