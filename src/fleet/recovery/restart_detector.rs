//! Detects endpoints that restart while this process is in service, and decides how they are protected while cold.
//!
//! If a group has a warm endpoint beside a cold one, the restart is reported to the router, which sends less to the
//! cold one. If all endpoints of a group are cold, there is no endpoint to shift load to: the group passes through the
//! recovery phases again, at the rate that its endpoints can take. Until it is clear which case applies, the restart
//! stays undecided: endpoints report one after the other, even if all of them lost power at once.

use super::slow_start::SlowStartPolicy;
use crate::engine::observations::START_TIME_TOLERANCE;
use crate::ids::GroupId;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// The inputs about one endpoint for restart detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownEndpoint {
    /// The replication group of the endpoint.
    pub group: GroupId,
    /// The endpoint's start time in the committed list; `None` if not listed.
    pub listed_start: Option<Timestamp>,
    /// The endpoint's latest start time that any node observed; `None` if not known.
    pub observed_start: Option<Timestamp>,
    /// When the endpoint last reported anything to any node.
    pub last_heard: Option<Timestamp>,
}

/// The restarts found by one call of [`RestartDetector::check`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartReport {
    /// Endpoints that restarted beside a warm one: the router has to start them slowly.
    pub slow_starting: Vec<String>,
    /// Whether all endpoints of some group are cold.
    pub group_is_cold: bool,
}

/// Whether a restarted endpoint has a warm one beside it in its group.
enum GroupWarmth {
    OtherIsWarm,
    AllCold,
    /// An endpoint that looks warm has not reported since the restart.
    Undecided,
}

/// Tracks the restarts of endpoints that were detected while in service.
#[derive(Clone, Debug, Default)]
pub struct RestartDetector {
    /// The start time of each endpoint as last reported to the router.
    reported_starts: BTreeMap<String, Timestamp>,
    /// Restarted endpoints for which it is not known yet whether their group has a warm endpoint.
    undecided: BTreeSet<String>,
}

impl RestartDetector {
    /// The start time of an endpoint as last reported to the router.
    pub fn reported_start(&self, endpoint: &str) -> Option<Timestamp> {
        self.reported_starts.get(endpoint).copied()
    }

    /// Whether some restarted endpoint still waits for the decision whether its group has a warm one.
    pub fn has_undecided(&self) -> bool {
        !self.undecided.is_empty()
    }

    /// Checks the endpoints that have just reported, and those still undecided, for restarts. `known` holds all
    /// endpoints by name.
    pub fn check(
        &mut self,
        now: Timestamp,
        policy: SlowStartPolicy,
        reporting: impl Iterator<Item = String>,
        known: &BTreeMap<&str, KnownEndpoint>,
    ) -> RestartReport {
        self.reported_starts.retain(|endpoint, _| known.contains_key(endpoint.as_str()));
        let mut report = RestartReport::default();
        let undecided = std::mem::take(&mut self.undecided);
        let to_check: BTreeSet<String> = reporting.chain(undecided).collect();
        for endpoint in to_check {
            let Some(own) = known.get(endpoint.as_str()) else { continue };
            let Some(started_at) = self.new_start(now, policy, &endpoint, own) else { continue };
            match group_warmth(now, policy, &endpoint, started_at, own.group, known) {
                GroupWarmth::OtherIsWarm => {
                    self.reported_starts.insert(endpoint.clone(), started_at);
                    report.slow_starting.push(endpoint);
                }
                GroupWarmth::AllCold => report.group_is_cold = true,
                GroupWarmth::Undecided => {
                    self.undecided.insert(endpoint);
                }
            }
        }
        report
    }

    /// The observed start time of an endpoint that is still cold; `None` if the list or the router has it already.
    fn new_start(
        &self,
        now: Timestamp,
        policy: SlowStartPolicy,
        endpoint: &str,
        known: &KnownEndpoint,
    ) -> Option<Timestamp> {
        let started_at = known.observed_start?;
        if now - started_at >= policy.warm_up {
            return None;
        }
        let known_start = self.reported_start(endpoint).max(known.listed_start);
        let is_known = known_start.is_some_and(|known| started_at <= known + START_TIME_TOLERANCE);
        (!is_known).then_some(started_at)
    }
}

/// Whether the endpoint that started at `started_at` has a warm one beside it: one that has reported since that time
/// and has not restarted itself.
fn group_warmth(
    now: Timestamp,
    policy: SlowStartPolicy,
    endpoint: &str,
    started_at: Timestamp,
    group: GroupId,
    known: &BTreeMap<&str, KnownEndpoint>,
) -> GroupWarmth {
    let mut all_cold = true;
    for (name, other) in known {
        if other.group != group || *name == endpoint {
            continue;
        }
        let other_start = other.observed_start.max(other.listed_start);
        let is_warm = policy.is_warm(other_start.map(|other_start| now - other_start));
        if is_warm && other.last_heard > Some(started_at) {
            return GroupWarmth::OtherIsWarm;
        }
        all_cold &= !is_warm;
    }
    if all_cold { GroupWarmth::AllCold } else { GroupWarmth::Undecided }
}

#[cfg(test)]
mod tests;
