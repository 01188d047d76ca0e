//! The periodic work of the fleet, done at once after every change as well.

use super::Fleet;
use crate::engine::log_rollback::LogRollback;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer_link::sleep_or_wake;
use crate::time::{TimeDelta, Timestamp};
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A lost range of a group's log is repeated with each heartbeat for this time, for peers that missed it.
const LOG_ROLLBACK_REPEAT: TimeDelta = TimeDelta::from_secs(60);

/// After a change the loop waits this long, so that changes in a burst cost one round.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(1);

/// A node that asks to be admitted is forgotten after this many times [`crate::config::Limits::peer_gone_timeout`]. A
/// leader, which would admit it, forgets it after one.
const CANDIDATE_EXPIRY_FACTOR: u32 = 5;

impl Fleet {
    /// Does the fleet's periodic work, without end.
    pub async fn run(self: &Rc<Fleet>) {
        let mut next_heartbeat = Instant::now();
        let mut next_gossip_save = Instant::now() + self.limits.gossip_save_interval;
        let changed = self.changes.subscribe();
        loop {
            self.do_round();
            if Instant::now() >= next_gossip_save {
                next_gossip_save = Instant::now() + self.limits.gossip_save_interval;
                self.persist_gossip();
            }
            if Instant::now() >= next_heartbeat {
                next_heartbeat = Instant::now() + self.limits.heartbeat_interval;
                self.do_heartbeat();
            }
            if sleep_or_wake(self.time_to_next_round(), &changed).await {
                Timer::after(CHANGE_BATCH_DELAY).await;
            }
        }
    }

    /// What is done in each round: each step does nothing where nothing is due.
    fn do_round(self: &Rc<Fleet>) {
        self.found_fleet_if_due();
        self.participate_if_accepted();
        self.campaign_if_due();
        self.open_links();
        self.act_as_leader();
        self.propose_own_files();
        self.persist_pending_drains();
    }

    /// What is done at each heartbeat interval.
    fn do_heartbeat(&self) {
        self.broadcast(&self.own_heartbeat());
        let now = self.clock.now();
        self.remove_departed_from_gossip(now);
        self.broadcast_zone_outcomes();
        self.broadcast_gossip_digest();
        self.broadcast_recent_log_rollbacks(now);
        let expiry = self.limits.peer_gone_timeout * CANDIDATE_EXPIRY_FACTOR;
        self.peers.borrow_mut().expire_candidates(expiry);
    }

    /// Repeats ranges of groups' logs that were lost a short time ago.
    fn broadcast_recent_log_rollbacks(&self, now: Timestamp) {
        let mut recent: Vec<LogRollback> = self.breaks.borrow().all();
        recent.retain(|rollback| now - rollback.to.commit_time(Timestamp::ZERO) < LOG_ROLLBACK_REPEAT);
        if !recent.is_empty() {
            self.broadcast(&PeerMessage::LogRollbacks(recent));
        }
    }

    /// How long the loop sleeps if nothing changes.
    fn time_to_next_round(&self) -> Duration {
        let agreed = self.agreed();
        if self.is_recovering() && !agreed.has_leader() && agreed.has_fleet() {
            // It may be this node's turn to start an election.
            return self.limits.raft_tick;
        }
        let has_pending_work = !self.drains().pending().is_empty()
            || !self.requests.borrow().is_empty()
            || !self.peers().candidates().is_empty()
            || !agreed.state().is_complete()
            || !agreed.has_fleet()
            || !agreed.status().participating
            || self.proposals.borrow().has_file_proposals();
        if has_pending_work { self.limits.proposal_retry_interval } else { self.limits.heartbeat_interval }
    }
}
