//! The endpoint list, and the state that the router keeps of each endpoint on it.

use super::capacity::INITIAL_LIMIT_FACTOR;
use super::request::{AttemptId, InFlightAttempt};
use super::router::Router;
use super::timers::Timer;
use super::{
    Action, Availability, EndpointEntry, EndpointId, GroupId, ListKind, ReplicaStatus, TimeDelta, Timestamp,
    ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before the first retry of a failed subscription; it doubles with each consecutive failure.
const LIST_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(500);
/// Maximum number of doublings of a backoff: from half a second to 8 s, about the time that an endpoint takes to
/// restart.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The state of an endpoint that the list removed is deleted once it has not responded for this long. Late outcomes
/// and delayed lists are unlikely after that.
const REMOVED_ENDPOINT_RETENTION: TimeDelta = TimeDelta::from_secs(30);
/// The list lags by seconds, so the primary that it names is used only if that endpoint has not reported a role for
/// this long.
const REPORTED_ROLE_PRECEDENCE: TimeDelta = TimeDelta::from_millis(500);
/// Bounds of an endpoint's listed capacity, so that a wrong entry neither causes a division by zero nor attracts all
/// reads.
const MIN_CAPACITY_UNITS: f64 = 0.01;
const MAX_CAPACITY_UNITS: f64 = 100.0;
/// Start time of an endpoint before its first list entry is applied. It differs from every listed start time, so that
/// the first entry initializes the endpoint in the same way as a restart.
const START_TIME_UNSET: Option<Timestamp> = Some(Timestamp::MIN);

/// The role of an endpoint in its group.
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

/// The state that the router keeps of an endpoint.
#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) group: GroupId,
    /// When the list moved it to that group from another one; `None` if it has been in no other one.
    pub(super) moved_at: Option<Timestamp>,
    pub(super) zone: ZoneId,
    pub(super) availability: Availability,
    /// Its capacity relative to other endpoints.
    pub(super) capacity_units: f64,
    /// Start time of its process; a change means a restart. `None` if it is unknown or long ago: the endpoint counts as
    /// warm.
    pub(super) started_at: Option<Timestamp>,
    pub(super) listed_as_primary: bool,
    /// The last reported role. A response always sets it, a load report only if it is newer than the last response.
    pub(super) role: Option<Role>,
    pub(super) role_updated_at: Option<Timestamp>,
    /// The log position that it has reached for certain, as commit time. It never decreases while the endpoint stays in
    /// its group.
    pub(super) proven_position: Option<Timestamp>,
    /// How far its position lagged behind the present in the last response that contained one.
    pub(super) replication_lag: TimeDelta,
    pub(super) last_response_at: Option<Timestamp>,
    /// Number of attempts that it has served or rejected as misdirected.
    pub(super) answered_attempts: u64,
    /// Its smoothed latency divided by the typical latency of the class; 1 for an average endpoint.
    pub(super) relative_latency: f64,
    /// When a probe was sent that has not been answered yet.
    pub(super) probe_sent_at: Option<Timestamp>,
    /// Attempts without an outcome, including those of requests that have ended.
    pub(super) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Maximum number of attempts in flight; below one, the fraction of time in which one may be in flight.
    pub(super) concurrency_limit: f64,
    pub(super) limit_decreased_at: Timestamp,
    pub(super) last_sent_at: Timestamp,
    /// Time between the sending of its last two attempts.
    pub(super) last_send_interval: TimeDelta,
    /// Whether it is suspected to be unresponsive because attempts stay unanswered. The next response clears this.
    pub(super) suspected: bool,
    /// End of its ejection: it gets no attempts before this.
    pub(super) ejected_until: Option<Timestamp>,
    /// Whether it was ejected because it rejected work while the endpoint list was unconfirmed.
    pub(super) rejected_while_unconfirmed: bool,
    /// Whether a connection to it failed, or several broke, since its last response.
    pub(super) unreachable: bool,
    /// Ejections since its last success; each doubles the length of the next.
    pub(super) consecutive_failures: u32,
    /// Errors and broken connections since its last success that may be its own fault.
    pub(super) errors_since_success: u32,
    /// Tokens in its slow-start bucket.
    pub(super) slow_start_budget: f64,
    pub(super) slow_start_budget_updated_at: Timestamp,
}

impl EndpointState {
    fn new(group: GroupId, concurrency_limit: f64) -> EndpointState {
        EndpointState { group, started_at: START_TIME_UNSET, concurrency_limit, ..EndpointState::default() }
    }

    /// Resets the state after a restart: the new process is cold, its role is unknown, and failures of the previous
    /// process do not count.
    fn reset_for_restart(&mut self, now: Timestamp, started_at: Option<Timestamp>, slow_start_budget: f64) {
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

    fn can_be_purged(&self, now: Timestamp) -> bool {
        let silent =
            self.last_response_at.is_none_or(|response_at| now - response_at > REMOVED_ENDPOINT_RETENTION);
        self.availability == Availability::Gone && self.in_flight.is_empty() && silent
    }
}

/// Numbers of endpoints on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All endpoints that the list has not removed.
    pub listed: usize,
    /// Listed endpoints that are draining, ejected or suspected.
    pub unavailable: usize,
}

impl Router {
    /// Applies the endpoint list, a part of it, or a failure to get it. The first list starts the subscription and the
    /// initial probes.
    pub(super) fn update_endpoint_list(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Failed => {
                self.list_became_unconfirmed();
                return self.schedule_subscription_retry(now);
            }
            ListKind::Unconfirmed => return self.list_became_unconfirmed(),
            ListKind::Cached => self.list_became_unconfirmed(),
            ListKind::Full | ListKind::Delta => {
                self.consecutive_list_failures = 0;
                self.list_confirmed();
            }
        }
        if kind != ListKind::Delta {
            self.remove_unlisted_endpoints(entries);
        }
        for entry in entries {
            self.update_endpoint(now, entry);
        }
        self.purge_removed_endpoints(now);
        self.total_capacity_units = self.listed_endpoints().map(|endpoint| endpoint.capacity_units).sum();
        if !self.received_first_list {
            self.received_first_list = true;
            self.subscribe_and_probe(actions);
        }
    }

    /// Schedules a retry with exponential backoff and jitter. If the source of the list is overloaded, the
    /// subscriptions of all poolers fail at once; the jitter spreads their retries.
    fn schedule_subscription_retry(&mut self, now: Timestamp) {
        let delay = LIST_RETRY_DELAY << self.consecutive_list_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_list_failures += 1;
        let jitter = TimeDelta::from_micros(self.rng.i64(0..delay.as_micros()));
        self.schedule(now + delay + jitter, Timer::RetrySubscription);
    }

    /// Removes the endpoints that a whole list does not contain, unless the settings define that only a draining entry
    /// takes an endpoint out of use.
    fn remove_unlisted_endpoints(&mut self, entries: &[EndpointEntry]) {
        if self.settings.keep_unlisted_endpoints == Some(true) {
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

    fn subscribe_and_probe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.must_subscribe == Some(true) {
            actions.push(Action::Subscribe { on: true });
        }
        if self.settings.may_probe == Some(true) {
            // A new router has no roles or positions yet; one probe per endpoint provides them.
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
            // The bucket starts with a random fill, so that the poolers do not all send their first attempt at the same
            // time.
            let slow_start_budget = self.rng.f64();
            endpoint.reset_for_restart(now, entry.started_at, slow_start_budget);
        }
        let former_group = endpoint.group;
        if former_group != entry.group {
            endpoint.move_to_group(now, entry.group);
        }
        let newly_listed_as_primary = entry.primary && !endpoint.listed_as_primary;
        endpoint.listed_as_primary = entry.primary;
        endpoint.zone = entry.zone;
        endpoint.capacity_units = bounded_capacity(entry.capacity_units);
        // With `keep_unlisted_endpoints`, only a draining entry takes an endpoint out of use, so `Gone` does not apply
        // to one that is in service.
        let ignore_removal = self.settings.keep_unlisted_endpoints == Some(true)
            && entry.availability == Availability::Gone
            && endpoint.availability == Availability::Ready;
        if !ignore_removal {
            endpoint.availability = entry.availability;
        }
        let removed = endpoint.availability == Availability::Gone;
        let no_recent_role_report =
            endpoint.role_updated_at.is_none_or(|updated_at| now - updated_at > REPORTED_ROLE_PRECEDENCE);

        if former_group != entry.group {
            self.remove_from_group(entry.endpoint, former_group);
        }
        let group = self.groups.entry(entry.group).or_default();
        if removed {
            group.endpoints.remove(&entry.endpoint);
        } else {
            group.endpoints.insert(entry.endpoint);
        }
        if newly_listed_as_primary && no_recent_role_report && !removed {
            group.set_primary(entry.endpoint);
        }
        self.groups_to_dispatch.insert(entry.group);
    }

    /// Deletes the state of endpoints that were removed for good. Endpoints are replaced again and again while the
    /// router runs, so their state would grow without bound.
    fn purge_removed_endpoints(&mut self, now: Timestamp) {
        let purged: Vec<(EndpointId, GroupId)> = self
            .endpoints
            .extract_if(.., |_, endpoint| endpoint.can_be_purged(now))
            .map(|(id, endpoint)| (id, endpoint.group))
            .collect();
        // Such an endpoint may return in another group.
        for (id, group) in purged {
            self.remove_from_group(id, group);
        }
        self.groups.retain(|_, group| group.is_in_use());
    }

    fn listed_endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(|endpoint| endpoint.availability != Availability::Gone)
    }

    /// Counts the endpoints on the list, and those of them that are draining, ejected or suspected at `now`.
    pub fn endpoint_counts(&self, now: Timestamp) -> EndpointCounts {
        let mut counts = EndpointCounts { listed: 0, unavailable: 0 };
        for endpoint in self.listed_endpoints() {
            let ready = endpoint.availability == Availability::Ready;
            counts.listed += 1;
            counts.unavailable += usize::from(!ready || endpoint.suspected || endpoint.is_ejected(now));
        }
        counts
    }
}

fn bounded_capacity(units: f64) -> f64 {
    if units > MIN_CAPACITY_UNITS { units.min(MAX_CAPACITY_UNITS) } else { MIN_CAPACITY_UNITS }
}
