//! The write path: the believed primary, and primary discovery, the search for another one along the ring. Primary
//! discovery is independent of `net::discovery`, the source of the endpoint list.
//!
//! The mechanism follows "RFT: Scalable and Fault-Tolerant Microservices for the O-RAN Control Plane": messages of a
//! context are sent to its primary; if that is unreachable, they are re-routed at once to a backup, which knows its
//! role. Here the context is a group, and the backups are the other endpoints of the group in sorted order (the ring).
//! If a round of the ring finds no primary, the group's writes are queued until one is known.

use super::endpoints::{EndpointState, Role};
use super::request::{RequestPath, SendTarget};
use super::router::Router;
use super::timers::Timer;
use super::{Action, Availability, EndpointId, GroupId, RequestId, TimeDelta, Timestamp};

/// Interval at which a queued write of a group that awaits its primary is sent to the next endpoint of the ring. A
/// failover takes seconds, and each endpoint that is not the primary costs a misdirected attempt.
const DISCOVERY_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// An endpoint that reported that it is a replica is excluded from primary discovery for this long, since it would
/// reject the write.
const REPLICA_ROLE_VALIDITY: TimeDelta = TimeDelta::from_millis(500);
/// Maximum number of queued writes that [`Timer::PrimaryDiscovery`] examines to find one that may be sent.
const MAX_WRITES_EXAMINED: usize = 4;

/// Whether the believed primary can be used for writes.
enum PrimaryCondition {
    /// Attempts at it are overdue, and it has not responded to anything since they were sent.
    Suspected,
    /// It is draining, no longer on the list, ejected as unreachable, or reported that it is a replica.
    Lost,
    /// None of the above.
    Usable,
}

impl Router {
    /// Chooses the endpoint for a request of the write path: the believed primary, or the next endpoint of the ring for
    /// the one request that searches for another primary. `None` if the request has to be queued.
    pub(super) fn choose_primary(&mut self, now: Timestamp, id: RequestId) -> Option<EndpointId> {
        let group_id = self.requests[&id].group;
        let group = self.groups.get_mut(&group_id)?;
        match group.discovery_request {
            Some(searching) if searching == id => return self.continue_along_ring(now, group_id),
            Some(_) => return None,
            None if group.awaiting_primary => return None,
            None => {}
        }
        let primary = group.primary.or(group.endpoints.first().copied())?;
        group.primary = Some(primary);
        match self.primary_condition(now, primary) {
            PrimaryCondition::Usable => self.accepts_attempt(now, primary).then_some(primary),
            PrimaryCondition::Suspected => {
                // Writes stay queued until a primary is known: this one, if it responds, or another one that primary
                // discovery finds. Writes in flight at the suspected primary may still run.
                self.await_primary(now, group_id);
                None
            }
            PrimaryCondition::Lost => {
                // Only this write searches for the primary, so that a failover does not send every queued write along
                // the ring.
                let group = self.groups.get_mut(&group_id)?;
                group.discovery_request = Some(id);
                group.tried_in_round.clear();
                group.tried_in_round.insert(primary);
                self.continue_along_ring(now, group_id)
            }
        }
    }

    fn primary_condition(&self, now: Timestamp, primary: EndpointId) -> PrimaryCondition {
        let Some(endpoint) = self.endpoints.get(&primary) else { return PrimaryCondition::Lost };
        if endpoint.suspected {
            return PrimaryCondition::Suspected;
        }
        let reachable = !endpoint.unreachable || !endpoint.is_ejected(now);
        let in_service = endpoint.availability == Availability::Ready;
        if reachable && in_service && endpoint.role != Some(Role::Replica) {
            PrimaryCondition::Usable
        } else {
            PrimaryCondition::Lost
        }
    }

    /// The next endpoint to which the group's discovery request is sent. `None` if the round has no candidate left; the
    /// group then awaits its primary.
    fn continue_along_ring(&mut self, now: Timestamp, group_id: GroupId) -> Option<EndpointId> {
        let Some(next) = self.next_ring_candidate(now, group_id) else {
            self.await_primary(now, group_id);
            return None;
        };
        self.groups.get_mut(&group_id)?.tried_in_round.insert(next);
        Some(next)
    }

    /// The next endpoint on the ring, starting at the believed primary, that was not tried in this round and may be the
    /// primary.
    fn next_ring_candidate(&self, now: Timestamp, group_id: GroupId) -> Option<EndpointId> {
        let group = self.groups.get(&group_id)?;
        let primary = group.primary?;
        let from_primary = group.endpoints.range(primary..);
        let before_primary = group.endpoints.range(..primary);
        let mut ring = from_primary.chain(before_primary).copied();
        ring.find(|id| !group.tried_in_round.contains(id) && self.may_be_primary(now, &self.endpoints[id]))
    }

    /// Whether an endpoint is worth trying as primary: it may get an attempt now and has not recently reported that it
    /// is a replica.
    fn may_be_primary(&self, now: Timestamp, endpoint: &EndpointState) -> bool {
        // A suspected endpoint gets one attempt at a time, because only a response can show that it is healthy.
        let responsive = !endpoint.suspected || endpoint.in_flight.is_empty();
        let recently_reported_replica = endpoint.role == Some(Role::Replica)
            && endpoint.role_updated_at.is_some_and(|updated_at| now - updated_at < REPLICA_ROLE_VALIDITY);
        endpoint.availability == Availability::Ready
            && responsive
            && !endpoint.is_ejected(now)
            && !recently_reported_replica
            && self.slow_start_allowance(now, endpoint) >= 1.0
    }

    /// Marks the group as awaiting its primary and schedules [`Timer::PrimaryDiscovery`]. Until a primary is known, the
    /// group's writes stay queued, and the timer sends one of them to one endpoint at a time.
    fn await_primary(&mut self, now: Timestamp, group_id: GroupId) {
        let group = self.groups.entry(group_id).or_default();
        group.awaiting_primary = true;
        group.discovery_request = None;
        if group.discovery_timer_at.is_none_or(|timer_at| timer_at <= now) {
            let timer_at = now + DISCOVERY_INTERVAL;
            group.discovery_timer_at = Some(timer_at);
            self.schedule(timer_at, Timer::PrimaryDiscovery(group_id));
        }
    }

    /// Handles [`Timer::PrimaryDiscovery`]: sends one queued write to the next endpoint that may be the primary. If the
    /// round has no candidate left, a new round starts.
    pub(super) fn continue_discovery(
        &mut self,
        now: Timestamp,
        group_id: GroupId,
        actions: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get(&group_id).filter(|group| group.awaiting_primary) else { return };
        // A queued write that may have run must not be sent again once its key has expired.
        let queued = group.queued.on_path(RequestPath::Write).iter().take(MAX_WRITES_EXAMINED);
        let request = queued.map(|position| position.request).find(|&request| self.may_retry(now, request));
        self.await_primary(now, group_id);
        let Some(request) = request else { return };
        let mut next = self.next_ring_candidate(now, group_id);
        if next.is_none() {
            self.groups.entry(group_id).or_default().tried_in_round.clear();
            next = self.next_ring_candidate(now, group_id);
        }
        if let Some(endpoint) = next {
            self.groups.entry(group_id).or_default().tried_in_round.insert(endpoint);
            self.send(now, request, SendTarget::without_expiry(endpoint), actions);
        }
    }
}
