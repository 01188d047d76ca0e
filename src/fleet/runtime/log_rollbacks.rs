//! Log rollbacks: ranges of log positions that a group has lost, detected here or reported by a peer, and forwarded to
//! the peers.

use super::Fleet;
use crate::engine::PeerObservation;
use crate::engine::log_rollback::LogRollback;
use crate::engine::observations::{Observation, START_TIME_TOLERANCE};
use crate::fleet::log_loss::PrimaryPosition;
use crate::fleet::message::PeerMessage;
use crate::time::{LogPosition, Timestamp};

impl Fleet {
    /// Records log rollbacks reported by the node `reported_by`. Those that are new here are sent to all peers.
    pub(super) fn record_log_rollbacks(&self, rollbacks: Vec<LogRollback>, reported_by: &str) {
        if rollbacks.is_empty() {
            return;
        }
        let new = self.record_new_rollbacks(rollbacks);
        for rollback in &new {
            log::warn!(
                "fleet: group {} lost its log after position {} up to {}, reported by {reported_by}; its sessions are notified",
                rollback.group,
                rollback.from.as_millis(),
                rollback.to.as_millis()
            );
        }
        if !new.is_empty() {
            self.broadcast(&PeerMessage::LogRollbacks(new));
        }
    }

    /// Records the rollbacks that are plausible and belong to a listed group; returns those that were not known.
    fn record_new_rollbacks(&self, rollbacks: Vec<LogRollback>) -> Vec<LogRollback> {
        let (agreed, mut known) = (self.agreed(), self.log_rollbacks.borrow_mut());
        let latest_end = self.clock.now() + START_TIME_TOLERANCE;
        let mut new = Vec::new();
        for rollback in rollbacks {
            // A peer whose clock is far ahead could otherwise declare future commits lost.
            let is_plausible = rollback.from >= LogPosition::UNKNOWN
                && rollback.to.commit_time(Timestamp::ZERO) <= latest_end;
            // Most rollbacks are repeats; only new ones justify the search through all endpoints for the group.
            if is_plausible
                && !known.is_known(rollback)
                && agreed.state().hosts.values().any(|host| host.group == rollback.group)
                && known.record(rollback)
            {
                new.push(rollback);
            }
        }
        new
    }

    /// Detects log rollbacks in new observations of endpoints by this node.
    pub(super) fn detect_log_rollbacks(&self, observations: &[Observation]) {
        let rollbacks = {
            let (agreed, gossip) = (self.agreed(), self.gossip());
            let beliefs = gossip.state().primary_beliefs();
            let mut detector = self.loss_detector.borrow_mut();
            let detect = |observation: &Observation| {
                let group = agreed.state().hosts.get(&observation.endpoint_name)?.group;
                detector.observe(group, observation, beliefs.get(&group))
            };
            observations.iter().filter_map(detect).collect()
        };
        self.record_log_rollbacks(rollbacks, &self.local.name);
    }

    /// Detects log rollbacks that the positions observed by peers confirm.
    pub(super) fn confirm_log_rollbacks(&self, observations: &[PeerObservation]) {
        // A peer whose clock is far ahead could otherwise make commits count as lost that were made after a start.
        let latest_position =
            LogPosition::of_commit(self.clock.now() + START_TIME_TOLERANCE, Timestamp::ZERO);
        let is_usable =
            |observation: &&PeerObservation| observation.primary && observation.position <= latest_position;
        let rollbacks = {
            let (agreed, mut detector) = (self.agreed(), self.loss_detector.borrow_mut());
            let confirm = |observation: &PeerObservation| {
                let group = agreed.state().hosts.get(&observation.endpoint_name)?.group;
                let PeerObservation { position, observed_at, .. } = *observation;
                let reported = PrimaryPosition { group, position, observed_at };
                detector.observe_position(&observation.endpoint_name, reported)
            };
            observations.iter().filter(is_usable).filter_map(confirm).collect()
        };
        self.record_log_rollbacks(rollbacks, &self.local.name);
    }
}
