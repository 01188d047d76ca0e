//! The read path: a replica that is fresh enough, drawn at random by its capacity over latency and load.
//!
//! The draw weighs an endpoint by `capacity / (latency * (1 + attempts in flight))`, the inverse of the cost by which
//! the peak-EWMA balancer of Finagle compares endpoints, with the whole group as candidates. A random draw keeps many
//! poolers, which do not see each other's load, from choosing the same endpoint together.

use super::endpoints::{EndpointState, Role};
use super::group::Group;
use super::learning::POSITION_RESOLUTION;
use super::request::{Request, RequestPath};
use super::router::Router;
use super::timers::Timer;
use super::{Action, Consistency, EndpointId, ReplicationLagPolicy, RequestId, TimeDelta, Timestamp};
use fastrand::Rng;

/// A read waits for a probe this long at most: some ten round trips between zones.
const PROBE_TIMEOUT: TimeDelta = TimeDelta::from_millis(50);
/// Weight in the draw of an endpoint in another zone, against one in this pooler's own.
const REMOTE_ZONE_WEIGHT: f64 = 0.6;
/// Bounds of the time for which an endpoint's estimated replication lag is believed, by default that lag itself: it
/// catches up no faster than it applies the log.
const MIN_LAG_ESTIMATE_VALIDITY: TimeDelta = TimeDelta::from_millis(500);
const MAX_LAG_ESTIMATE_VALIDITY: TimeDelta = TimeDelta::from_secs(8);
/// Reads may use the primary's concurrency limit divided by this; the rest is for writes.
const PRIMARY_LIMIT_READ_DIVISOR: f64 = 2.0;

/// An endpoint with its weight in a draw.
struct WeightedEndpoint {
    endpoint: EndpointId,
    weight: f64,
}

/// Replicas that a read may be sent to.
struct ReadCandidates {
    fresh: Vec<WeightedEndpoint>,
    /// Replicas whose data is too old, or not known to be fresh enough.
    unproven: Vec<WeightedEndpoint>,
}

/// What a read requires of an endpoint's data.
enum FreshnessRequirement {
    /// Any data will do.
    None,
    /// Only the primary's data will do.
    Primary,
    /// All commits up to this time.
    CommitsUntil(Timestamp),
}

impl Router {
    /// Endpoints reject reads that they may not answer themselves. Where they do not, only proof of a position or role
    /// permits a read.
    pub(super) fn endpoints_reject_stale_reads(&self) -> bool {
        self.settings.replication_lag_policy.is_some_and(|policy| policy != ReplicationLagPolicy::ServeStale)
    }

    /// Where a read goes now: to a fresh replica by a weighted draw. Where none is known to be fresh, one is probed and
    /// the read waits for that; else it goes to the primary. `None` where it has to be queued.
    pub(super) fn choose_reader(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let candidates = self.read_candidates(now, &self.requests[&id])?;
        if !candidates.fresh.is_empty() {
            return draw_by_weight(&mut self.rng, &candidates.fresh);
        }
        if self.waits_for_probe(now, id, &candidates.unproven, actions) {
            return None;
        }
        self.primary_for_read(now, &self.requests[&id])
    }

    /// Replicas that accept an attempt now; `None` for an unknown group.
    fn read_candidates(&self, now: Timestamp, request: &Request) -> Option<ReadCandidates> {
        let group = self.groups.get(&request.group)?;
        let mut candidates = ReadCandidates { fresh: Vec::new(), unproven: Vec::new() };
        for &id in &group.endpoints {
            let endpoint = &self.endpoints[&id];
            let eligible = self.is_reader(group, id, endpoint)
                && !was_tried(request, id, endpoint)
                && self.accepts_attempt(now, id);
            if !eligible {
                continue;
            }
            let weighted = WeightedEndpoint { endpoint: id, weight: self.read_weight(now, endpoint) };
            if self.is_fresh_enough(now, request, endpoint) {
                candidates.fresh.push(weighted);
            } else {
                candidates.unproven.push(weighted);
            }
        }
        Some(candidates)
    }

    /// The believed primary serves reads only as a last resort, unless its role has yet to be told: then it is probed
    /// like the others.
    fn is_reader(&self, group: &Group, id: EndpointId, endpoint: &EndpointState) -> bool {
        let unknown_role =
            endpoint.role.is_none() && !endpoint.listed_as_primary && !self.endpoints_reject_stale_reads();
        group.primary != Some(id) || unknown_role
    }

    fn read_weight(&self, now: Timestamp, endpoint: &EndpointState) -> f64 {
        let in_own_zone = self.settings.zone.is_none_or(|zone| zone == endpoint.zone);
        let zone_weight = if in_own_zone { 1.0 } else { REMOTE_ZONE_WEIGHT };
        let capacity = zone_weight * endpoint.capacity_units * self.warmth(now, endpoint);
        capacity / (endpoint.relative_latency * (1.0 + endpoint.in_flight.len() as f64))
    }

    /// Whether the read waits for a probe, which is sent to one of `unproven` unless one is under way.
    ///
    /// A pooler that sends little has no recent response of any replica. Each read waits once, and no longer than a
    /// probe of a healthy endpoint takes.
    fn waits_for_probe(
        &mut self,
        now: Timestamp,
        id: RequestId,
        unproven: &[WeightedEndpoint],
        actions: &mut Vec<Action>,
    ) -> bool {
        let request = &self.requests[&id];
        let probing = self.settings.may_probe == Some(true) && !self.endpoints_reject_stale_reads();
        // No position proves that a replica has every commit.
        let provable = request.consistency.is_some_and(|consistency| consistency != Consistency::Strong);
        if !probing || !provable || unproven.is_empty() {
            return false;
        }
        let first_wait = request.waiting_for_probe_since.is_none();
        let may_wait = request.waiting_for_probe_since.is_none_or(|since| now - since < PROBE_TIMEOUT);
        let under_way = unproven.iter().any(|candidate| {
            let sent_at = self.endpoints[&candidate.endpoint].probe_sent_at;
            sent_at.is_some_and(|sent_at| now - sent_at < PROBE_TIMEOUT)
        });
        if !may_wait || !(first_wait || under_way) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.waiting_for_probe_since.get_or_insert(now);
        }
        if !under_way {
            self.probe_one(now, unproven, actions);
        }
        true
    }

    fn probe_one(&mut self, now: Timestamp, candidates: &[WeightedEndpoint], actions: &mut Vec<Action>) {
        let Some(id) = draw_by_weight(&mut self.rng, candidates) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.probe_sent_at = Some(now);
        let group = endpoint.group;
        self.schedule(now + PROBE_TIMEOUT, Timer::DispatchQueued(group));
        actions.push(Action::Probe { endpoint: id });
    }

    /// The believed primary, where it may serve the read and is not needed for writes.
    fn primary_for_read(&self, now: Timestamp, request: &Request) -> Option<EndpointId> {
        let group = self.groups.get(&request.group)?;
        let primary = group.primary?;
        if request.attempts.iter().any(|attempt| attempt.open && attempt.endpoint == primary) {
            return None;
        }
        let endpoint = self.endpoints.get(&primary)?;
        // Where endpoints serve stale data, only one that is known to have been primary is safe.
        let proven = match endpoint.role {
            Some(role) => role == Role::Primary,
            None => self.endpoints_reject_stale_reads() || endpoint.listed_as_primary,
        };
        // A limit below one means that it responds late; then it is left to writes.
        let limit = endpoint.concurrency_limit;
        let spare = limit >= 1.0
            && (endpoint.in_flight.len() as f64) < limit / PRIMARY_LIMIT_READ_DIVISOR
            && group.queued.on_path(RequestPath::Write).is_empty();
        (proven && spare && self.accepts_attempt(now, primary)).then_some(primary)
    }

    fn is_fresh_enough(&self, now: Timestamp, request: &Request, endpoint: &EndpointState) -> bool {
        let required = match self.freshness_requirement(now, request) {
            FreshnessRequirement::None => return true,
            FreshnessRequirement::Primary => return false,
            FreshnessRequirement::CommitsUntil(commit) => commit,
        };
        if endpoint.proven_position >= Some(required) {
            return true;
        }
        if !self.endpoints_reject_stale_reads() {
            return false;
        }
        // Endpoints check by themselves, so an estimate will do: a miss costs only time.
        let validity = endpoint.replication_lag.clamp(MIN_LAG_ESTIMATE_VALIDITY, MAX_LAG_ESTIMATE_VALIDITY);
        let estimate_valid =
            endpoint.last_response_at.is_some_and(|response_at| now - response_at < validity);
        if endpoint.proven_position.is_some() && estimate_valid {
            now - endpoint.replication_lag >= required
        } else {
            // Only a read can find out whether it has caught up.
            true
        }
    }

    fn freshness_requirement(&self, now: Timestamp, request: &Request) -> FreshnessRequirement {
        match request.consistency {
            Some(Consistency::Session) => match request.required_commit {
                Some(commit) => FreshnessRequirement::CommitsUntil(commit + POSITION_RESOLUTION),
                None => FreshnessRequirement::None,
            },
            Some(Consistency::Bounded) => {
                let max_age = self.settings.classes[request.class].max_age.unwrap_or(TimeDelta::ZERO);
                FreshnessRequirement::CommitsUntil(now - max_age + POSITION_RESOLUTION)
            }
            Some(Consistency::Strong) | None => FreshnessRequirement::Primary,
            Some(Consistency::Eventual | Consistency::Write) => FreshnessRequirement::None,
        }
    }
}

/// Whether the endpoint has the read already, or rejected it and has not responded to anything since.
fn was_tried(request: &Request, id: EndpointId, endpoint: &EndpointState) -> bool {
    let mut attempts = request.attempts.iter().filter(|attempt| attempt.endpoint == id);
    attempts.any(|attempt| {
        let no_later_response =
            attempt.unserved_at.is_some_and(|unserved_at| endpoint.last_response_at <= Some(unserved_at));
        attempt.open || no_later_response
    })
}

/// Draws one of `candidates` with a probability that is proportional to its weight; `None` where there is none.
fn draw_by_weight(rng: &mut Rng, candidates: &[WeightedEndpoint]) -> Option<EndpointId> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mut remaining = rng.f64() * total;
    for candidate in candidates {
        remaining -= candidate.weight;
        if remaining <= 0.0 {
            return Some(candidate.endpoint);
        }
    }
    // Rounding, or a weight that is not a number, can leave a rest.
    candidates.last().map(|candidate| candidate.endpoint)
}
