//! The phases in which a process returns to service after a start.
//!
//! 1. Endpoint list: no request is admitted before the drains and the committed endpoint list have been received.
//! 2. Writes, group by group: a group opens once its primary has reported itself to this process, or recently to a
//!    peer, or once a majority of the nodes names it.
//! 3. Reads, group by group: a group opens once the log position of one of its endpoints is known.
//! 4. The remaining requests, once all groups are open to writes and reads.
//!
//! A group that does not meet these conditions opens after [`READINESS_TIMEOUT`] anyway: from then on the router looks
//! for its primary with the requests themselves, as it does at any other time. A group whose endpoints are all cold
//! opens at a limited rate: this process's share of what they can take (see [`super::slow_start`]).

use super::slow_start::{AdmissionShare, SlowStartPolicy};
use crate::engine::admission::{AdmissionMode, AdmissionPolicy, CapacitySource, GroupAdmission};
use crate::ids::GroupId;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::fmt;

/// A group is opened after this time even if its primary or its log positions are not known: clients should not wait
/// any longer for what the router can determine by sending the requests.
pub const READINESS_TIMEOUT: TimeDelta = TimeDelta::from_millis(600);
/// Peers take turns polling endpoints for at least this long after the endpoint list was received: an observed log
/// position stays useful for about a second.
pub const MIN_SHARED_POLLING_TIME: TimeDelta = TimeDelta::from_secs(1);
/// Recovery takes at least this long, and shared polling ends after it even if some endpoint has not responded: a
/// process that waits for a peer's observation sends its reads to the primary in the meantime.
pub const MIN_RECOVERY_TIME: TimeDelta = TimeDelta::from_secs(2);
/// The minimum capacity assumed of a warm endpoint, in requests per second: a low estimate where no service rate is
/// known, as the initial rate that admission can increase.
const MIN_WARM_CAPACITY_RPS: f64 = 10.0;
/// Retry-after hint for requests rejected while a group is closed to admission.
const CLOSED_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);
/// Status texts name at most this many groups and give the number of the others.
const MAX_NAMED_GROUPS: usize = 8;

/// What the first phase waits for, as shown to operators.
pub const WAITING_FOR_LIST: &str = "a majority's word of what is agreed";

/// How far the return to service has come, in order. The numeric value is exported as a metric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// Waits for the drains and the committed endpoint list.
    #[default]
    EndpointList,
    /// Waits until the primary of each group is known.
    Writes,
    /// Waits until a log position is known in each group.
    Reads,
    /// All requests are admitted, at a limited rate where endpoints are cold.
    Remaining,
    /// Recovery is complete; admission is no longer restricted.
    Done,
}

impl fmt::Display for RecoveryPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecoveryPhase::EndpointList => "1 of 4, drains and the agreed list",
            RecoveryPhase::Writes => "2 of 4, writes",
            RecoveryPhase::Reads => "3 of 4, reads with proven positions",
            RecoveryPhase::Remaining => "4 of 4, the rest",
            RecoveryPhase::Done => "done",
        })
    }
}

/// The inputs about one endpoint for the recovery schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointView {
    /// The replication group of the endpoint.
    pub group: GroupId,
    /// The endpoint reported itself as the primary to this process, or recently to a peer.
    pub is_primary: bool,
    /// Number of nodes to which the endpoint last reported itself as the primary.
    pub primary_claims: usize,
    /// The endpoint reported its log position to this process, or recently to a peer.
    pub position_known: bool,
    /// Time since the endpoint started; `None` if not known.
    pub age: Option<TimeDelta>,
    /// Requests per second from all processes together that the endpoint can serve when warm; 0 if not known.
    pub warm_capacity_rps: f64,
    /// Whether the endpoint reported its own utilization.
    pub utilization_reported: bool,
    /// Requests per second that the endpoint serves for all processes now, a lower bound of its capacity.
    pub current_rate_rps: f64,
}

impl EndpointView {
    /// Whether the endpoint has reported anything since its start.
    fn has_reported(&self) -> bool {
        self.position_known || self.is_primary || self.age.is_some()
    }

    /// Requests per second that the endpoint can serve now.
    fn capacity_rps(&self, policy: SlowStartPolicy) -> f64 {
        let warm_capacity = self.warm_capacity_rps.max(MIN_WARM_CAPACITY_RPS);
        (warm_capacity * policy.capacity_share(self.age)).max(self.current_rate_rps)
    }
}

/// The input of one step of the recovery schedule.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryView {
    /// The time of this step.
    pub now: Timestamp,
    /// Whether the committed endpoint list has been received.
    pub list_received: bool,
    /// Number of members of the fleet.
    pub member_count: usize,
    /// Number of members that are reachable, this one included.
    pub reachable_count: usize,
    /// The endpoints that are not drained.
    pub endpoints: Vec<EndpointView>,
}

/// The result of one step of the recovery schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryDecision {
    /// The phase that applies after this step.
    pub phase: RecoveryPhase,
    /// What the schedule waits for, as shown to operators; empty if nothing.
    pub waiting_for: String,
    /// How requests are admitted; `None` if without restriction.
    pub admission: Option<AdmissionPolicy>,
    /// Whether this process takes turns polling endpoints with peers that recover as well.
    pub share_polling: bool,
}

/// Which requests of a group are admitted. An opened group is never closed again.
#[derive(Clone, Copy, Debug, Default)]
struct OpenedGroup {
    writes: bool,
    reads: bool,
}

/// Which groups are open, and how their requests are admitted, at one moment.
#[derive(Default)]
struct AdmissionPlan {
    admission: BTreeMap<GroupId, GroupAdmission>,
    closed_to_writes: Vec<GroupId>,
    closed_to_reads: Vec<GroupId>,
    paced: Vec<GroupId>,
}

impl AdmissionPlan {
    fn all_groups_open(&self) -> bool {
        self.closed_to_writes.is_empty() && self.closed_to_reads.is_empty()
    }

    /// Returns the phase and what it waits for. `elapsed` is the time since the endpoint list was received.
    fn phase(&self, elapsed: TimeDelta) -> (RecoveryPhase, String) {
        if !self.closed_to_writes.is_empty() {
            return (
                RecoveryPhase::Writes,
                format!("the primary of {}", group_names(&self.closed_to_writes)),
            );
        }
        if !self.closed_to_reads.is_empty() {
            let groups = group_names(&self.closed_to_reads);
            return (RecoveryPhase::Reads, format!("a proven position in {groups}"));
        }
        if !self.paced.is_empty() {
            return (RecoveryPhase::Remaining, format!("cold hosts of {}", group_names(&self.paced)));
        }
        if elapsed < MIN_RECOVERY_TIME {
            return (RecoveryPhase::Remaining, "the first answers of all hosts".to_string());
        }
        (RecoveryPhase::Done, String::new())
    }
}

/// The return to service of one process. Phases only advance, and an opened group is not closed again.
#[derive(Clone, Debug)]
pub struct RecoverySchedule {
    policy: SlowStartPolicy,
    list_received_at: Option<Timestamp>,
    opened_groups: BTreeMap<GroupId, OpenedGroup>,
    phase: RecoveryPhase,
}

impl RecoverySchedule {
    /// Returns the schedule of a process that has not received the endpoint list.
    pub fn new(policy: SlowStartPolicy) -> RecoverySchedule {
        RecoverySchedule {
            policy,
            list_received_at: None,
            opened_groups: BTreeMap::new(),
            phase: RecoveryPhase::EndpointList,
        }
    }

    /// Opens the groups that are ready by `view`, and returns the phase and the admission that now apply.
    pub fn advance(&mut self, view: &RecoveryView) -> RecoveryDecision {
        if !view.list_received {
            return self.wait_for_list();
        }
        let elapsed = view.now - *self.list_received_at.get_or_insert(view.now);
        let mut groups: BTreeMap<GroupId, Vec<&EndpointView>> = BTreeMap::new();
        for endpoint in &view.endpoints {
            groups.entry(endpoint.group).or_default().push(endpoint);
        }
        self.opened_groups.retain(|group, _| groups.contains_key(group));
        let mut plan = AdmissionPlan::default();
        for (group, endpoints) in &groups {
            self.admit_group(view, elapsed, *group, endpoints, &mut plan);
        }
        let (phase, waiting_for) = plan.phase(elapsed);
        self.phase = self.phase.max(phase);
        let all_positions_known = view.endpoints.iter().all(|endpoint| endpoint.position_known);
        let share_polling =
            elapsed < MIN_SHARED_POLLING_TIME || elapsed < MIN_RECOVERY_TIME && !all_positions_known;
        let admission = AdmissionPolicy {
            admit_eventual_reads: plan.all_groups_open(),
            groups: plan.admission,
            retry_after: CLOSED_RETRY_AFTER,
        };
        let is_done = self.phase == RecoveryPhase::Done;
        RecoveryDecision {
            phase: self.phase,
            waiting_for,
            admission: (!is_done).then_some(admission),
            share_polling,
        }
    }

    /// Rejects all requests until the endpoint list has been received.
    fn wait_for_list(&self) -> RecoveryDecision {
        let admission = AdmissionPolicy {
            groups: BTreeMap::new(),
            admit_eventual_reads: false,
            retry_after: CLOSED_RETRY_AFTER,
        };
        RecoveryDecision {
            phase: self.phase,
            waiting_for: WAITING_FOR_LIST.to_string(),
            admission: Some(admission),
            share_polling: true,
        }
    }

    /// Decides how the requests of one group are admitted and records the result in `plan`.
    fn admit_group(
        &mut self,
        view: &RecoveryView,
        elapsed: TimeDelta,
        group: GroupId,
        endpoints: &[&EndpointView],
        plan: &mut AdmissionPlan,
    ) {
        let is_confirmed_primary =
            |endpoint: &&EndpointView| endpoint.is_primary || endpoint.primary_claims * 2 > view.member_count;
        let primary = endpoints.iter().position(is_confirmed_primary);
        let readiness_timed_out = elapsed >= READINESS_TIMEOUT;
        let opened = self.opened_groups.entry(group).or_default();
        opened.writes |= primary.is_some() || readiness_timed_out;
        opened.reads |= endpoints.iter().any(|endpoint| endpoint.position_known) || readiness_timed_out;

        let mut admission = group_admission(self.policy, view, endpoints, primary);
        if !opened.writes {
            admission.writes = AdmissionMode::Closed(CLOSED_RETRY_AFTER);
            plan.closed_to_writes.push(group);
        }
        if !opened.reads {
            admission.reads = AdmissionMode::Closed(CLOSED_RETRY_AFTER);
            plan.closed_to_reads.push(group);
        }
        let is_paced = |mode| matches!(mode, AdmissionMode::Paced { .. });
        if is_paced(admission.writes) || is_paced(admission.reads) {
            plan.paced.push(group);
        }
        plan.admission.insert(group, admission);
    }
}

/// Returns how an open group's requests are admitted. `primary` is the index of its primary in `endpoints`, if known.
fn group_admission(
    policy: SlowStartPolicy,
    view: &RecoveryView,
    endpoints: &[&EndpointView],
    primary: Option<usize>,
) -> GroupAdmission {
    let Some(primary) = primary else {
        // Any endpoint may turn out to be the primary, so writes are limited to what the weakest can take.
        return GroupAdmission {
            writes: admission_mode(policy, view, endpoints, weakest_capacity),
            reads: admission_mode(policy, view, endpoints, total_capacity),
        };
    };
    let replicas: Vec<&EndpointView> = [&endpoints[..primary], &endpoints[primary + 1..]].concat();
    // A primary without replicas serves the reads as well.
    let readers = if replicas.is_empty() { endpoints } else { &replicas };
    GroupAdmission {
        writes: admission_mode(policy, view, &endpoints[primary..=primary], total_capacity),
        reads: admission_mode(policy, view, readers, total_capacity),
    }
}

/// Returns how requests to these endpoints are admitted. `capacity` combines what the endpoints can serve, in requests
/// per second.
fn admission_mode(
    policy: SlowStartPolicy,
    view: &RecoveryView,
    endpoints: &[&EndpointView],
    capacity: fn(SlowStartPolicy, &[&EndpointView]) -> f64,
) -> AdmissionMode {
    // An endpoint that has not reported yet does not count as warm beside a cold one, and adds no capacity.
    let reporting: Vec<&EndpointView> =
        endpoints.iter().copied().filter(|endpoint| endpoint.has_reported()).collect();
    // If one endpoint is warm, the router itself sends less to the cold ones.
    if reporting.is_empty() || reporting.iter().any(|endpoint| policy.is_warm(endpoint.age)) {
        return AdmissionMode::Open;
    }
    let capacity_rps = capacity(policy, &reporting);
    let share = AdmissionShare::new(view.member_count, view.reachable_count, policy.overload_multiple);
    let all_reported = reporting.iter().all(|endpoint| endpoint.utilization_reported);
    AdmissionMode::Paced {
        capacity_per_s: capacity_rps * share.initial,
        max_per_s: capacity_rps * share.maximum,
        capacity_source: if all_reported { CapacitySource::Reported } else { CapacitySource::Estimated },
    }
}

fn total_capacity(policy: SlowStartPolicy, endpoints: &[&EndpointView]) -> f64 {
    endpoints.iter().map(|endpoint| endpoint.capacity_rps(policy)).sum()
}

fn weakest_capacity(policy: SlowStartPolicy, endpoints: &[&EndpointView]) -> f64 {
    endpoints.iter().map(|endpoint| endpoint.capacity_rps(policy)).fold(f64::MAX, f64::min)
}

/// Lists the groups as shown to operators.
fn group_names(groups: &[GroupId]) -> String {
    let named: Vec<String> = groups.iter().take(MAX_NAMED_GROUPS).map(GroupId::to_string).collect();
    let unnamed = groups.len().saturating_sub(MAX_NAMED_GROUPS);
    let more = if unnamed > 0 { format!(" and {unnamed} more") } else { String::new() };
    format!("group {}{more}", named.join(", "))
}

#[cfg(test)]
mod tests;
