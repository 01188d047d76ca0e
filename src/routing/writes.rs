//! The write path: the believed primary, and the search for another one along the ring.
//!
//! The mechanism follows "RFT: Scalable and Fault-Tolerant Microservices for the O-RAN Control Plane": messages of a
//! context are sent to its primary; if that is unreachable, they are re-routed at once to a backup, which knows its
//! role. Here the context is a group, and the backups are the other endpoints of the group in sorted order (the ring).
//! If a round of the ring finds no primary, the group's writes are queued until one is known.

use super::endpoints::{EndpointState, Role};
use super::request::RequestPath;
use super::router::Router;
use super::timers::Timer;
use super::{Action, Availability, EndpointId, GroupId, RequestId, TimeDelta, Timestamp};

/// Time between two attempts to find the primary of a group that awaits one. A failover takes seconds, and each
/// unsuccessful try costs a misdirected attempt.
const DISCOVERY_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// An endpoint that reported to be a replica is excluded from discovery for this long, since it would reject the write.
const REPLICA_ROLE_VALIDITY: TimeDelta = TimeDelta::from_millis(500);
/// Maximum number of queued writes that the discovery timer examines to find one that may be sent.
const MAX_WRITES_EXAMINED: usize = 4;

/// Whether the believed primary can be used for writes.
enum PrimaryCondition {
    /// It accepts attempts but does not respond.
    Suspected,
    /// It is out of service, unreachable, no longer on the list, or reported to be a replica.
    Lost,
    /// None of the above.
    Usable,
}

impl Router {
    /// Chooses the endpoint for a write; `None` if it has to be queued.
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
                // New writes stay queued until it responds or the discovery timer finds another primary. Writes in
                // flight at the suspected primary may still run.
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

    /// The next endpoint that the group's discovery request tries. `None` after a full round; the group then awaits its
    /// primary.
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

    /// Whether an endpoint is worth trying as primary: it may get an attempt now and has not recently reported to be a
    /// replica.
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

    /// Queues the group's writes until an endpoint reports that it is the primary. Meanwhile the discovery timer tries
    /// one endpoint at a time.
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

    /// Handles the discovery timer: sends one queued write to the next endpoint that may be the primary.
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
            self.send(now, request, endpoint, actions);
        }
    }
}
