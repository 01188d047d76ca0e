//! The read path: a weighted random choice among the replicas that are fresh enough.
//!
//! The weight of an endpoint is `capacity / (latency * (1 + attempts in flight))`, the inverse of the cost by which
//! Finagle's peak-EWMA balancer compares endpoints; the candidates are the whole group. The choice is random because
//! poolers do not receive each other's load and would otherwise all choose the same endpoint.

use super::endpoints::{EndpointState, Role};
use super::group::Group;
use super::request::{Request, RequestPath, SendTarget};
use super::router::Router;
use super::timers::Timer;
use super::{
    Action, Consistency, EndpointId, LogPosition, ReplicationLagPolicy, RequestId, TimeDelta, Timestamp,
};
use fastrand::Rng;

/// Maximum time that a read waits for a probe: about ten round trips between zones.
const PROBE_TIMEOUT: TimeDelta = TimeDelta::from_millis(50);
/// Weight factor of an endpoint in another zone, compared with one in this pooler's zone.
const REMOTE_ZONE_WEIGHT: f64 = 0.6;
/// Bounds of the time for which an endpoint's last known replication lag is used as an estimate. Within these bounds
/// that time equals the lag itself, since an endpoint catches up no faster than it applies the log.
const MIN_LAG_ESTIMATE_VALIDITY: TimeDelta = TimeDelta::from_millis(500);
const MAX_LAG_ESTIMATE_VALIDITY: TimeDelta = TimeDelta::from_secs(8);
/// Reads may use the primary's concurrency limit divided by this; the rest is reserved for writes.
const PRIMARY_LIMIT_READ_DIVISOR: f64 = 2.0;

/// An endpoint with its weight in the random choice.
struct WeightedEndpoint {
    endpoint: EndpointId,
    weight: f64,
}

/// Endpoints that accept a read now.
struct ReadCandidates {
    /// Endpoints whose data is fresh enough for the read.
    fresh: Vec<WeightedEndpoint>,
    /// Endpoints whose data is too old, or not known to be fresh enough.
    unproven: Vec<WeightedEndpoint>,
}

/// How fresh an endpoint's data must be for a read.
enum FreshnessRequirement {
    /// Data of any age is sufficient.
    None,
    /// Only the primary's data is sufficient.
    Primary,
    /// The data must include all commits up to this time.
    CommitsUntil(Timestamp),
}

impl Router {
    /// Whether endpoints reject reads for which their data is too old. If they do not, a read is sent only to an
    /// endpoint whose position or role proves that its data is fresh enough.
    pub(super) fn endpoints_reject_stale_reads(&self) -> bool {
        self.settings.replication_lag_policy.is_some_and(|policy| policy != ReplicationLagPolicy::ServeStale)
    }

    /// Chooses the endpoint for a read: a fresh replica by weighted random choice. If none is known to be fresh, the
    /// read may wait for a probe of one; otherwise the primary serves it. `None` if the read has to be queued.
    pub(super) fn choose_read_endpoint(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<SendTarget> {
        let candidates = self.read_candidates(now, &self.requests[&id])?;
        if !candidates.fresh.is_empty() {
            let endpoint = choose_by_weight(&mut self.rng, &candidates.fresh)?;
            let fresh_until = self.fresh_until(&self.requests[&id], &self.endpoints[&endpoint]);
            return Some(SendTarget { endpoint, fresh_until });
        }
        if self.wait_for_probe(now, id, &candidates.unproven, actions) {
            return None;
        }
        self.primary_for_read(now, &self.requests[&id]).map(SendTarget::without_expiry)
    }

    /// Endpoints that may serve the read and accept an attempt now; `None` for an unknown group.
    fn read_candidates(&self, now: Timestamp, request: &Request) -> Option<ReadCandidates> {
        let group = self.groups.get(&request.group)?;
        let mut candidates = ReadCandidates { fresh: Vec::new(), unproven: Vec::new() };
        for &id in &group.endpoints {
            let endpoint = &self.endpoints[&id];
            let eligible = self.is_read_candidate(group, id, endpoint)
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

    /// Whether an endpoint is a candidate for reads. The believed primary is not, since it serves reads only as a last
    /// resort. But if endpoints serve stale data and neither a response nor the list confirmed its role, it is probed
    /// like a replica.
    fn is_read_candidate(&self, group: &Group, id: EndpointId, endpoint: &EndpointState) -> bool {
        let unknown_role =
            endpoint.role.is_none() && !endpoint.listed_as_primary && !self.endpoints_reject_stale_reads();
        group.primary != Some(id) || unknown_role
    }

    fn read_weight(&self, now: Timestamp, endpoint: &EndpointState) -> f64 {
        let in_own_zone = self.settings.zone.is_none_or(|zone| zone == endpoint.zone);
        let zone_weight = if in_own_zone { 1.0 } else { REMOTE_ZONE_WEIGHT };
        let capacity = zone_weight * endpoint.capacity_units * self.warm_up_fraction(now, endpoint);
        capacity / (endpoint.relative_latency * (1.0 + endpoint.in_flight.len() as f64))
    }

    /// Whether the read is to wait for a probe of one of `unproven`. Sends that probe unless one is in flight.
    ///
    /// Probes are needed because a pooler with little traffic has no recent response from any replica. Each read waits
    /// for [`PROBE_TIMEOUT`] in total, within which a healthy endpoint answers a probe.
    fn wait_for_probe(
        &mut self,
        now: Timestamp,
        id: RequestId,
        unproven: &[WeightedEndpoint],
        actions: &mut Vec<Action>,
    ) -> bool {
        let request = &self.requests[&id];
        let probes_allowed = self.settings.may_probe == Some(true) && !self.endpoints_reject_stale_reads();
        // A strong read cannot be served by a replica: no position proves that it has every commit.
        let replicas_may_serve =
            request.consistency.is_some_and(|consistency| consistency != Consistency::Strong);
        if !probes_allowed || !replicas_may_serve || unproven.is_empty() {
            return false;
        }
        let first_wait = request.waiting_for_probe_since.is_none();
        let may_wait = request.waiting_for_probe_since.is_none_or(|since| now - since < PROBE_TIMEOUT);
        let probe_in_flight = unproven.iter().any(|candidate| {
            let sent_at = self.endpoints[&candidate.endpoint].probe_sent_at;
            sent_at.is_some_and(|sent_at| now - sent_at < PROBE_TIMEOUT)
        });
        if !may_wait || !(first_wait || probe_in_flight) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.waiting_for_probe_since.get_or_insert(now);
        }
        if !probe_in_flight {
            self.probe_one(now, unproven, actions);
        }
        true
    }

    fn probe_one(&mut self, now: Timestamp, candidates: &[WeightedEndpoint], actions: &mut Vec<Action>) {
        let Some(id) = choose_by_weight(&mut self.rng, candidates) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.probe_sent_at = Some(now);
        let group = endpoint.group;
        self.schedule(now + PROBE_TIMEOUT, Timer::DispatchQueued(group));
        actions.push(Action::Probe { endpoint: id });
    }

    /// The believed primary, if it may serve the read and has capacity that writes do not need.
    fn primary_for_read(&self, now: Timestamp, request: &Request) -> Option<EndpointId> {
        let group = self.groups.get(&request.group)?;
        let primary = group.primary?;
        if request.attempts.iter().any(|attempt| attempt.open && attempt.endpoint == primary) {
            return None;
        }
        let endpoint = self.endpoints.get(&primary)?;
        // If endpoints serve stale data, the read is safe only at an endpoint that was confirmed as primary.
        let confirmed = match endpoint.role {
            Some(role) => role == Role::Primary,
            None => self.endpoints_reject_stale_reads() || endpoint.listed_as_primary,
        };
        // A limit below one means that the primary responds late; its capacity is then reserved for writes.
        let limit = endpoint.concurrency_limit;
        let has_spare_capacity = limit >= 1.0
            && (endpoint.in_flight.len() as f64) < limit / PRIMARY_LIMIT_READ_DIVISOR
            && group.queued.on_path(RequestPath::Write).is_empty();
        (confirmed && has_spare_capacity && self.accepts_attempt(now, primary)).then_some(primary)
    }

    /// Whether the endpoint's data is fresh enough for the read: for certain, or only by estimate if endpoints reject
    /// stale reads themselves.
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
        // Endpoints reject reads that they may not serve, so an estimate suffices: a wrong one costs only time.
        let validity = endpoint.replication_lag.clamp(MIN_LAG_ESTIMATE_VALIDITY, MAX_LAG_ESTIMATE_VALIDITY);
        let estimate_valid =
            endpoint.last_response_at.is_some_and(|response_at| now - response_at < validity);
        if endpoint.proven_position.is_some() && estimate_valid {
            now - endpoint.replication_lag >= required
        } else {
            // Without a valid estimate, only a read shows whether the endpoint has caught up.
            true
        }
    }

    /// The last time at which the endpoint's position proves that its data is fresh enough for the read. `None` if the
    /// proof does not expire: only a maximum age is counted back from the time at which the read is sent. `None` also if
    /// endpoints reject stale reads themselves.
    fn fresh_until(&self, request: &Request, endpoint: &EndpointState) -> Option<Timestamp> {
        if self.endpoints_reject_stale_reads() || request.consistency != Some(Consistency::Bounded) {
            return None;
        }
        Some(endpoint.proven_position? + self.max_age(request) - LogPosition::RESOLUTION)
    }

    fn max_age(&self, request: &Request) -> TimeDelta {
        self.settings.classes[request.class].max_age.unwrap_or(TimeDelta::ZERO)
    }

    fn freshness_requirement(&self, now: Timestamp, request: &Request) -> FreshnessRequirement {
        match request.consistency {
            Some(Consistency::Session) => match request.required_commit {
                Some(commit) => FreshnessRequirement::CommitsUntil(commit + LogPosition::RESOLUTION),
                None => FreshnessRequirement::None,
            },
            Some(Consistency::Bounded) => {
                FreshnessRequirement::CommitsUntil(now - self.max_age(request) + LogPosition::RESOLUTION)
            }
            Some(Consistency::Strong) | None => FreshnessRequirement::Primary,
            Some(Consistency::Eventual | Consistency::Write) => FreshnessRequirement::None,
        }
    }
}

/// Whether the endpoint has an open attempt of the read, or did not serve an earlier one and has not responded to
/// anything since.
fn was_tried(request: &Request, id: EndpointId, endpoint: &EndpointState) -> bool {
    let mut attempts = request.attempts.iter().filter(|attempt| attempt.endpoint == id);
    attempts.any(|attempt| {
        let no_later_response =
            attempt.unserved_at.is_some_and(|unserved_at| endpoint.last_response_at <= Some(unserved_at));
        attempt.open || no_later_response
    })
}

/// Chooses one of `candidates` at random, with a probability proportional to its weight; `None` if there are none.
fn choose_by_weight(rng: &mut Rng, candidates: &[WeightedEndpoint]) -> Option<EndpointId> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mut remaining = rng.f64() * total;
    for candidate in candidates {
        remaining -= candidate.weight;
        if remaining <= 0.0 {
            return Some(candidate.endpoint);
        }
    }
    // Rounding, or a weight that is not a number, can leave `remaining` above zero.
    candidates.last().map(|candidate| candidate.endpoint)
}
