//! The phases in which service returns after a start.
//!
//! 1. List: drains and the committed endpoint list are awaited; nothing is admitted before.
//! 2. Writes, group by group: the group's primary has answered, here or recently to a peer, or a majority of the nodes
//!    names it.
//! 3. Reads, group by group: the log position of an endpoint is known.
//! 4. The rest, once all groups have both.
//!
//! A group without such proof is opened after [`PROOF_TIMEOUT`] all the same: from then on the router looks for its
//! primary with the requests themselves, as it does at any other time. A group whose endpoints are all cold opens at a
//! limited rate: this process's share of what they bear (see [`super::slow_start`]).

use super::slow_start::{AdmissionShare, SlowStartPolicy};
use crate::engine::admission::{AdmissionMode, AdmissionPolicy, CapacitySource, GroupAdmission};
use crate::ids::GroupId;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::fmt;

/// A group is opened without proof after this: clients should not wait longer for what the router finds out anyway.
pub const PROOF_TIMEOUT: TimeDelta = TimeDelta::from_millis(600);
/// Endpoints are polled in turn with peers for at least this long: a log position is worth something for a second.
pub const MIN_SHARED_POLLING: TimeDelta = TimeDelta::from_secs(1);
/// Recovery is not done before this, and shared polling does not last longer, although some endpoint may not have
/// answered: a process that waits for a peer's observation sends its reads to the primary meanwhile.
pub const MIN_RECOVERY_TIME: TimeDelta = TimeDelta::from_secs(2);
/// The capacity of a warm endpoint that was never seen at work, in requests per second: a low guess that gives
/// admission a rate to grow from.
const MIN_WARM_CAPACITY_RPS: f64 = 10.0;
/// Retry-after hint for requests rejected while a group is closed to admission.
const CLOSED_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);
/// More groups than this are counted instead of named.
const MAX_NAMED_GROUPS: usize = 8;

/// What the first phase waits for, as operators see it.
pub const WAITING_FOR_LIST: &str = "a majority's word of what is agreed";

/// How far service has returned, in order. The numeric value is a metric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// Drains and the committed list are awaited.
    #[default]
    List,
    /// Primaries are awaited.
    Writes,
    /// Log positions are awaited.
    Reads,
    /// All requests are served, at a limited rate where endpoints are cold.
    Remaining,
    /// Recovery is over.
    Done,
}

impl fmt::Display for RecoveryPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecoveryPhase::List => "1 of 4, drains and the agreed list",
            RecoveryPhase::Writes => "2 of 4, writes",
            RecoveryPhase::Reads => "3 of 4, reads with proven positions",
            RecoveryPhase::Remaining => "4 of 4, the rest",
            RecoveryPhase::Done => "done",
        })
    }
}

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointView {
    /// Its group.
    pub group: GroupId,
    /// It called itself the primary, to this process or recently to a peer.
    pub is_primary: bool,
    /// Nodes to which it last called itself the primary.
    pub primary_claims: usize,
    /// It reported its log position, to this process or recently to a peer.
    pub position_known: bool,
    /// How long ago it started; `None`: not known.
    pub age: Option<TimeDelta>,
    /// Requests per second that it bears from all processes together when warm; 0: not known.
    pub warm_capacity_rps: f64,
    /// It reported itself which part of its capacity was in use.
    pub utilization_reported: bool,
    /// Requests per second that it serves for all processes now: it bears at least these.
    pub current_rate_rps: f64,
}

impl EndpointView {
    /// Whether anything was heard of it since its start.
    fn was_heard(&self) -> bool {
        self.position_known || self.is_primary || self.age.is_some()
    }

    /// Requests per second that it bears now.
    fn capacity_rps(&self, policy: SlowStartPolicy) -> f64 {
        let warm_capacity = self.warm_capacity_rps.max(MIN_WARM_CAPACITY_RPS);
        (warm_capacity * policy.capacity_share(self.age)).max(self.current_rate_rps)
    }
}

/// All that the phases depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryView {
    /// The present.
    pub now: Timestamp,
    /// The committed endpoint list has been received.
    pub list_received: bool,
    /// Members of the fleet.
    pub member_count: usize,
    /// Members that are heard, this one included.
    pub reachable_count: usize,
    /// The endpoints that are not drained.
    pub endpoints: Vec<EndpointView>,
}

/// What holds now.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryDecision {
    /// The phase.
    pub phase: RecoveryPhase,
    /// What is waited for, as operators see it; empty: nothing.
    pub waiting_for: String,
    /// How requests are admitted; `None`: all are.
    pub admission: Option<AdmissionPolicy>,
    /// Endpoints are polled in turn with peers that recover as well.
    pub share_polling: bool,
}

/// Which requests of a group have been admitted: they stay so.
#[derive(Clone, Copy, Debug, Default)]
struct OpenedGroup {
    writes: bool,
    reads: bool,
}

/// The state of all groups at one moment.
#[derive(Default)]
struct Survey {
    admission: BTreeMap<GroupId, GroupAdmission>,
    closed_to_writes: Vec<GroupId>,
    closed_to_reads: Vec<GroupId>,
    paced: Vec<GroupId>,
}

impl Survey {
    fn all_are_open(&self) -> bool {
        self.closed_to_writes.is_empty() && self.closed_to_reads.is_empty()
    }

    /// The phase, and what it waits for.
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

/// The recovery of one process. Phases only go forward, and what was opened is not closed again.
#[derive(Clone, Debug)]
pub struct RecoverySchedule {
    policy: SlowStartPolicy,
    list_received_at: Option<Timestamp>,
    opened: BTreeMap<GroupId, OpenedGroup>,
    phase: RecoveryPhase,
}

impl RecoverySchedule {
    /// The schedule of a process that knows nothing yet.
    pub fn new(policy: SlowStartPolicy) -> RecoverySchedule {
        RecoverySchedule {
            policy,
            list_received_at: None,
            opened: BTreeMap::new(),
            phase: RecoveryPhase::List,
        }
    }

    /// Moves on by what is known now.
    pub fn advance(&mut self, view: &RecoveryView) -> RecoveryDecision {
        if !view.list_received {
            return self.wait_for_list();
        }
        let elapsed = view.now - *self.list_received_at.get_or_insert(view.now);
        let mut groups: BTreeMap<GroupId, Vec<&EndpointView>> = BTreeMap::new();
        for endpoint in &view.endpoints {
            groups.entry(endpoint.group).or_default().push(endpoint);
        }
        self.opened.retain(|group, _| groups.contains_key(group));
        let mut survey = Survey::default();
        for (group, endpoints) in &groups {
            self.admit_group(view, elapsed, *group, endpoints, &mut survey);
        }
        let (phase, waiting_for) = survey.phase(elapsed);
        self.phase = self.phase.max(phase);
        let all_known = view.endpoints.iter().all(|endpoint| endpoint.position_known);
        let share_polling = elapsed < MIN_SHARED_POLLING || elapsed < MIN_RECOVERY_TIME && !all_known;
        let admission = AdmissionPolicy {
            admit_eventual_reads: survey.all_are_open(),
            groups: survey.admission,
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

    /// Nothing is admitted before the list is there.
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

    /// Decides on one group, and notes in `survey` how it is admitted.
    fn admit_group(
        &mut self,
        view: &RecoveryView,
        elapsed: TimeDelta,
        group: GroupId,
        endpoints: &[&EndpointView],
        survey: &mut Survey,
    ) {
        let is_named_primary =
            |endpoint: &&EndpointView| endpoint.is_primary || endpoint.primary_claims * 2 > view.member_count;
        let primary = endpoints.iter().position(is_named_primary);
        let proof_timed_out = elapsed >= PROOF_TIMEOUT;
        let opened = self.opened.entry(group).or_default();
        opened.writes |= primary.is_some() || proof_timed_out;
        opened.reads |= endpoints.iter().any(|endpoint| endpoint.position_known) || proof_timed_out;

        let mut admission = group_admission(self.policy, view, endpoints, primary);
        if !opened.writes {
            admission.writes = AdmissionMode::Closed(CLOSED_RETRY_AFTER);
            survey.closed_to_writes.push(group);
        }
        if !opened.reads {
            admission.reads = AdmissionMode::Closed(CLOSED_RETRY_AFTER);
            survey.closed_to_reads.push(group);
        }
        let is_paced = |mode| matches!(mode, AdmissionMode::Paced { .. });
        if is_paced(admission.writes) || is_paced(admission.reads) {
            survey.paced.push(group);
        }
        survey.admission.insert(group, admission);
    }
}

/// How an open group's requests are admitted; `primary`: the index of its primary, if that is known.
fn group_admission(
    policy: SlowStartPolicy,
    view: &RecoveryView,
    endpoints: &[&EndpointView],
    primary: Option<usize>,
) -> GroupAdmission {
    let Some(primary) = primary else {
        // Each of them may turn out to be the primary: writes have to suit the weakest.
        return GroupAdmission {
            writes: admission_mode(policy, view, endpoints, weakest_capacity),
            reads: admission_mode(policy, view, endpoints, total_capacity),
        };
    };
    let replicas: Vec<&EndpointView> = [&endpoints[..primary], &endpoints[primary + 1..]].concat();
    // A primary that is alone in its group serves the reads too.
    let readers = if replicas.is_empty() { endpoints } else { &replicas };
    GroupAdmission {
        writes: admission_mode(policy, view, &endpoints[primary..=primary], total_capacity),
        reads: admission_mode(policy, view, readers, total_capacity),
    }
}

/// How requests to these endpoints are admitted; `capacity` adds up what the endpoints bear, in requests per second.
fn admission_mode(
    policy: SlowStartPolicy,
    view: &RecoveryView,
    endpoints: &[&EndpointView],
    capacity: fn(SlowStartPolicy, &[&EndpointView]) -> f64,
) -> AdmissionMode {
    // One that was not heard yet is neither taken for warm beside one that is known to be cold, nor for any help.
    let heard: Vec<&EndpointView> =
        endpoints.iter().copied().filter(|endpoint| endpoint.was_heard()).collect();
    // Where one of them is warm the router spares the others by itself.
    if heard.is_empty() || heard.iter().any(|endpoint| policy.is_warm(endpoint.age)) {
        return AdmissionMode::Open;
    }
    let capacity_rps = capacity(policy, &heard);
    let share = AdmissionShare::new(view.member_count, view.reachable_count, policy.multiple);
    let all_reported = heard.iter().all(|endpoint| endpoint.utilization_reported);
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

/// The groups as operators see them.
fn group_names(groups: &[GroupId]) -> String {
    let named: Vec<String> = groups.iter().take(MAX_NAMED_GROUPS).map(GroupId::to_string).collect();
    let unnamed = groups.len().saturating_sub(MAX_NAMED_GROUPS);
    let more = if unnamed > 0 { format!(" and {unnamed} more") } else { String::new() };
    format!("group {}{more}", named.join(", "))
}

#[cfg(test)]
mod tests;
