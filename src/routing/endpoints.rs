//! The endpoint list, and the state that the router keeps of each endpoint on it.

use super::capacity::INITIAL_LIMIT_FACTOR;
use super::request::AttemptId;
use super::router::Router;
use super::timers::Timer;
use super::{
    Action, Availability, EndpointEntry, EndpointId, GroupId, ListKind, ReplicaStatus, TimeDelta, Timestamp,
    ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before the first retry of a failed subscription; it doubles with each failure in a row.
const LIST_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(500);
/// Doublings of a backoff at most: from half a second to 8 s, about as long as an endpoint takes to restart.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// An endpoint that the list removed is forgotten when it has not responded for this long: late outcomes and delayed
/// lists are over by then.
const REMOVED_ENDPOINT_RETENTION: TimeDelta = TimeDelta::from_secs(30);
/// The list trails by seconds: a primary that it names counts only where the endpoint has told no role for this long.
const TOLD_ROLE_PRECEDENCE: TimeDelta = TimeDelta::from_millis(500);
/// Bounds of an endpoint's listed size, so that a wrong entry neither divides by zero nor takes all reads.
const MIN_CAPACITY_UNITS: f64 = 0.01;
const MAX_CAPACITY_UNITS: f64 = 100.0;
/// Start time of an endpoint that no entry has described yet. It differs from every listed start time, so the first
/// entry initializes the endpoint as a restart does.
const NOT_STARTED: Option<Timestamp> = Some(Timestamp::MIN);

/// What an endpoint is in its group.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    Primary,
    Replica,
}

impl Role {
    pub(super) fn from_status(status: ReplicaStatus) -> Role {
        if status.primary { Role::Primary } else { Role::Replica }
    }
}

/// State of an endpoint.
#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    pub(super) availability: Availability,
    /// Its size against other endpoints.
    pub(super) capacity_units: f64,
    /// Start time of its process, which identifies its incarnation; `None` is long ago.
    pub(super) started_at: Option<Timestamp>,
    pub(super) listed_as_primary: bool,
    /// The role it told last. A response sets it, other sources only where they are newer.
    pub(super) role: Option<Role>,
    pub(super) role_updated_at: Option<Timestamp>,
    /// The log position that it is proven to have reached, as commit time. It never goes back.
    pub(super) proven_position: Option<Timestamp>,
    /// How far its position trailed when it last told one.
    pub(super) replication_lag: TimeDelta,
    pub(super) last_response_at: Option<Timestamp>,
    /// Attempts that it has answered.
    pub(super) answered_attempts: u64,
    /// Its smoothed latency against the mean of the class, 1 for an average endpoint.
    pub(super) relative_latency: f64,
    /// When the probe that is under way was sent.
    pub(super) probe_sent_at: Option<Timestamp>,
    /// Attempts without an outcome, and when each was sent.
    pub(super) in_flight: BTreeMap<AttemptId, Timestamp>,
    /// Attempts that may be in flight; below one, the share of time in which one may be.
    pub(super) concurrency_limit: f64,
    pub(super) limit_decreased_at: Timestamp,
    pub(super) last_sent_at: Timestamp,
    /// Time between its last two attempts.
    pub(super) last_send_interval: TimeDelta,
    /// Suspected to be unresponsive: attempts stay unanswered. The next response clears it.
    pub(super) suspected: bool,
    /// Not to be used before this.
    pub(super) ejected_until: Option<Timestamp>,
    /// No connection could be made for its last attempt.
    pub(super) unreachable: bool,
    /// Ejections since its last good response; each doubles the length of the next.
    pub(super) consecutive_failures: u32,
    /// Errors since its last good response that are attributed to it.
    pub(super) errors_since_success: u32,
    /// Tokens of its slow-start bucket.
    pub(super) slow_start_budget: f64,
    pub(super) slow_start_budget_updated_at: Timestamp,
}

impl EndpointState {
    fn new(group: GroupId, concurrency_limit: f64) -> EndpointState {
        EndpointState { group, started_at: NOT_STARTED, concurrency_limit, ..EndpointState::default() }
    }

    /// Another process took the endpoint's address: it is cold, holds no role, and failures of the one before do not
    /// count.
    fn restarted(&mut self, now: Timestamp, started_at: Option<Timestamp>, slow_start_budget: f64) {
        self.started_at = started_at;
        self.role = None;
        self.suspected = false;
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.relative_latency = 1.0;
        self.slow_start_budget = slow_start_budget;
        self.slow_start_budget_updated_at = now;
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        Some(now) < self.ejected_until
    }

    fn can_be_forgotten(&self, now: Timestamp) -> bool {
        let silent =
            self.last_response_at.is_none_or(|response_at| now - response_at > REMOVED_ENDPOINT_RETENTION);
        self.availability == Availability::Gone && self.in_flight.is_empty() && silent
    }
}

/// Endpoints on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All that the list has not removed.
    pub listed: usize,
    /// Those of them that get nothing new now: draining, ejected or suspected.
    pub avoided: usize,
}

impl Router {
    pub(super) fn update_endpoint_list(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Failed => return self.schedule_subscription_retry(now),
            ListKind::Cached => {}
            ListKind::Full | ListKind::Delta => self.consecutive_list_failures = 0,
        }
        if kind != ListKind::Delta {
            self.remove_unlisted_endpoints(entries);
        }
        for entry in entries {
            self.update_endpoint(now, entry);
        }
        self.forget_removed_endpoints(now);
        self.total_capacity_units = self.listed_endpoints().map(|endpoint| endpoint.capacity_units).sum();
        if !self.received_first_list {
            self.received_first_list = true;
            self.first_list_received(actions);
        }
    }

    /// All poolers fail at once where the source of the list is overloaded: backoff with jitter spreads their retries.
    fn schedule_subscription_retry(&mut self, now: Timestamp) {
        let delay = LIST_RETRY_DELAY << self.consecutive_list_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_list_failures += 1;
        let jitter = TimeDelta::from_micros(self.rng.i64(0..delay.as_micros()));
        self.schedule(now + delay + jitter, Timer::RetrySubscription);
    }

    /// A whole list removes what it does not name, unless only an entry that says draining binds.
    fn remove_unlisted_endpoints(&mut self, entries: &[EndpointEntry]) {
        if self.settings.only_stated_drain_binds == Some(true) {
            return;
        }
        let named: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !named.contains(id) {
                endpoint.availability = Availability::Gone;
                self.groups.entry(endpoint.group).or_default().endpoints.remove(id);
            }
        }
    }

    fn first_list_received(&mut self, actions: &mut Vec<Action>) {
        if self.settings.must_subscribe == Some(true) {
            actions.push(Action::Subscribe { on: true });
        }
        if self.settings.may_probe == Some(true) {
            // A new router probes each endpoint once to learn roles and positions.
            for (&id, endpoint) in &self.endpoints {
                if endpoint.availability == Availability::Ready {
                    actions.push(Action::Probe { endpoint: id });
                }
            }
        }
    }

    fn update_endpoint(&mut self, now: Timestamp, entry: &EndpointEntry) {
        let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(|| {
            let concurrency_limit = (INITIAL_LIMIT_FACTOR * self.min_concurrency_limit).max(1.0);
            EndpointState::new(entry.group, concurrency_limit)
        });
        if endpoint.started_at != entry.started_at {
            // Each pooler's bucket starts at a point of its own, or all would send their first attempt at once.
            let slow_start_budget = self.rng.f64();
            endpoint.restarted(now, entry.started_at, slow_start_budget);
        }
        let newly_listed_as_primary = entry.primary && !endpoint.listed_as_primary;
        endpoint.listed_as_primary = entry.primary;
        endpoint.zone = entry.zone;
        endpoint.capacity_units = bounded_capacity(entry.units);
        // Where only a stated drain binds, `Gone` says nothing of an endpoint that an earlier list named.
        let not_binding = self.settings.only_stated_drain_binds == Some(true)
            && entry.availability == Availability::Gone
            && endpoint.availability == Availability::Ready;
        if !not_binding {
            endpoint.availability = entry.availability;
        }
        let removed = endpoint.availability == Availability::Gone;
        let told_no_recent_role =
            endpoint.role_updated_at.is_none_or(|updated_at| now - updated_at > TOLD_ROLE_PRECEDENCE);

        let previous_group = std::mem::replace(&mut endpoint.group, entry.group);
        self.groups.entry(previous_group).or_default().endpoints.remove(&entry.endpoint);
        let group = self.groups.entry(entry.group).or_default();
        if !removed {
            group.endpoints.insert(entry.endpoint);
        }
        if newly_listed_as_primary && told_no_recent_role && !removed {
            group.set_primary(entry.endpoint);
        }
        self.groups_to_dispatch.insert(entry.group);
    }

    /// Endpoints are replaced for as long as the router runs: those that were removed for good are not kept.
    fn forget_removed_endpoints(&mut self, now: Timestamp) {
        self.endpoints.retain(|_, endpoint| !endpoint.can_be_forgotten(now));
        self.groups.retain(|_, group| group.is_in_use());
    }

    fn listed_endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(|endpoint| endpoint.availability != Availability::Gone)
    }

    /// How many endpoints are on the list, and how many of these get nothing new now.
    pub fn avoids(&self, now: Timestamp) -> EndpointCounts {
        let mut counts = EndpointCounts { listed: 0, avoided: 0 };
        for endpoint in self.listed_endpoints() {
            let ready = endpoint.availability == Availability::Ready;
            counts.listed += 1;
            counts.avoided += usize::from(!ready || endpoint.suspected || endpoint.is_ejected(now));
        }
        counts
    }
}

fn bounded_capacity(units: f64) -> f64 {
    if units > MIN_CAPACITY_UNITS { units.min(MAX_CAPACITY_UNITS) } else { MIN_CAPACITY_UNITS }
}
