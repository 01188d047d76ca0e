//! Ranges of groups' logs that were lost: noticed here or reported by a peer, and sent on.

use super::Fleet;
use super::agreed_state::AgreedState;
use crate::engine::log_rollback::LogRollback;
use crate::engine::observations::{Observation, START_TIME_TOLERANCE};
use crate::fleet::gossip::GossipState;
use crate::fleet::message::PeerMessage;
use crate::time::{LogPosition, Timestamp};

impl Fleet {
    /// Records ranges that were lost, as `reported_by` noticed. Those that are new here are sent on.
    pub(super) fn record_log_rollbacks(&self, rollbacks: Vec<LogRollback>, reported_by: &str) {
        let new = self.record_new_rollbacks(rollbacks);
        for rollback in &new {
            log::warn!(
                "fleet: group {} has lost its log after {} up to {}, reported by {reported_by}; sessions are told",
                rollback.group,
                rollback.from.as_millis(),
                rollback.to.as_millis()
            );
        }
        if !new.is_empty() {
            self.broadcast(&PeerMessage::LogRollbacks(new));
        }
    }

    fn record_new_rollbacks(&self, rollbacks: Vec<LogRollback>) -> Vec<LogRollback> {
        let (agreed, mut known) = (self.agreed(), self.breaks.borrow_mut());
        let latest_end = self.clock.now() + START_TIME_TOLERANCE;
        let mut new = Vec::new();
        for rollback in rollbacks {
            // By the clock of a peer that is far ahead, commits of the future would count as lost.
            let is_plausible = rollback.from >= LogPosition::UNKNOWN
                && rollback.to.commit_time(Timestamp::ZERO) <= latest_end;
            // Most are repeated: the endpoints are searched for the group only where one is new.
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

    /// The ranges of groups' logs that were lost, by what endpoints report now.
    pub(super) fn detect_log_rollbacks(&self, observations: &[Observation]) -> Vec<LogRollback> {
        let (agreed, gossip) = (self.agreed(), self.gossip());
        let detect = |observation| detect_log_rollback(observation, &agreed, gossip.state());
        observations.iter().filter_map(detect).collect()
    }
}

/// The range that an endpoint's group has lost, if this observation shows one.
fn detect_log_rollback(
    observation: &Observation,
    agreed: &AgreedState,
    gossip: &GossipState,
) -> Option<LogRollback> {
    let group = agreed.state().hosts.get(&observation.endpoint_name)?.group;
    if !observation.primary {
        return None;
    }
    // Where another endpoint has been the primary since, this one has just stepped down: its log is not the group's.
    if let Some(belief) = gossip.primary_beliefs().get(&group)
        && belief.endpoint != observation.endpoint_name
        && Some(belief.observed_at) > observation.started_at
    {
        return None;
    }
    let (from, lost_until) = match observation.regression {
        Some(regression) => (regression.position, regression.requested_at),
        // A primary whose last commit is older than its start: it has nothing of what was written between.
        None => {
            let started_at = observation.started_at?;
            let position = observation.position;
            if !position.is_known() || position.commit_time(Timestamp::ZERO) >= started_at {
                return None;
            }
            (position, started_at)
        }
    };
    Some(LogRollback { group, from, to: LogPosition::of_commit(lost_until, Timestamp::ZERO) })
}
