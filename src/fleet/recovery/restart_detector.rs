//! Endpoints that restarted while this process was in service, and who spares them while they are cold.
//!
//! Where a group has a warm endpoint beside a cold one, the router is told and spares the cold one. Where all endpoints
//! of a group are cold there is nothing left to spare them for: that group goes through the phases of recovery again, at
//! the rate that its endpoints bear. What is not known yet stays undecided: the endpoints of a group are heard one after
//! the other, also when all of them lost their power.

use super::slow_start::SlowStartPolicy;
use crate::engine::observations::START_TIME_TOLERANCE;
use crate::ids::GroupId;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownEndpoint {
    /// Its group.
    pub group: GroupId,
    /// Its start by the committed list.
    pub listed_start: Option<Timestamp>,
    /// Its latest start that any node observed.
    pub observed_start: Option<Timestamp>,
    /// When any node last heard it.
    pub last_heard: Option<Timestamp>,
}

/// What follows from what endpoints reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartReport {
    /// Endpoints that restarted beside a warm one: the router is to start them slowly.
    pub slow_starting: Vec<String>,
    /// All endpoints of some group are cold.
    pub group_is_cold: bool,
}

/// Whether a restarted endpoint has a warm one beside it in its group.
enum GroupWarmth {
    OtherIsWarm,
    AllCold,
    /// An endpoint that looks warm was not heard since the restart.
    Undecided,
}

/// The restarts that were seen in service.
#[derive(Clone, Debug, Default)]
pub struct RestartDetector {
    /// The start of each endpoint that the router was told of.
    reported_starts: BTreeMap<String, Timestamp>,
    /// Restarted endpoints of whose group it is not known yet whether it has a warm endpoint.
    undecided: BTreeSet<String>,
}

impl RestartDetector {
    /// The start of an endpoint that the router was told of.
    pub fn reported_start(&self, endpoint: &str) -> Option<Timestamp> {
        self.reported_starts.get(endpoint).copied()
    }

    /// Whether it is not known of some restarted endpoint whether its group has a warm one.
    pub fn has_undecided(&self) -> bool {
        !self.undecided.is_empty()
    }

    /// Takes in that these endpoints were heard. `known`: all endpoints, by name.
    pub fn record(
        &mut self,
        now: Timestamp,
        policy: SlowStartPolicy,
        heard: impl Iterator<Item = String>,
        known: &BTreeMap<&str, KnownEndpoint>,
    ) -> RestartReport {
        self.reported_starts.retain(|endpoint, _| known.contains_key(endpoint.as_str()));
        let mut report = RestartReport::default();
        let undecided = std::mem::take(&mut self.undecided);
        let to_check: BTreeSet<String> = heard.chain(undecided).collect();
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

    /// The observed start of an endpoint that is still cold, unless the list or the router knows it already.
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

/// Whether the endpoint that started at `started_at` has a warm one beside it: one that was heard since that start and
/// has not restarted itself.
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
