//! The write path: the believed primary, and the search for another one along the ring.
//!
//! The mechanism is that of "RFT: Scalable and Fault-Tolerant Microservices for the O-RAN Control Plane": messages of
//! a context go to its primary and are re-routed at once to a backup, which knows its role, when the primary is
//! unreachable. The context here is a group, its backups are the other endpoints of the group in sorted order (the
//! ring), and after a round without a primary the group's writes are held until one is known.

use super::endpoints::{EndpointState, Role};
use super::request::RequestPath;
use super::router::Router;
use super::timers::Timer;
use super::{Action, Availability, EndpointId, GroupId, RequestId, TimeDelta, Timestamp};

/// Time between two single tries for a group that awaits its primary. A failover takes seconds, a try costs one miss.
const DISCOVERY_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// A role that a replica told itself excludes it from discovery for this long: a try would be a miss for certain.
const REPLICA_ROLE_VALIDITY: TimeDelta = TimeDelta::from_millis(500);
/// Queued writes that a discovery timer examines for one that may be sent again.
const MAX_WRITES_EXAMINED: usize = 4;

/// What is known of a believed primary.
enum PrimaryCondition {
    /// It takes attempts and answers nothing.
    Suspected,
    /// Out of service, without a connection, a replica as it told itself, or forgotten.
    Lost,
    Usable,
}

impl Router {
    /// Where a write goes now; `None` where it has to be queued.
    pub(super) fn choose_primary(&mut self, now: Timestamp, id: RequestId) -> Option<EndpointId> {
        let group_id = self.requests[&id].group;
        let group = self.groups.get_mut(&group_id)?;
        match group.discovery_request {
            Some(discovering) if discovering == id => return self.continue_along_ring(now, group_id),
            Some(_) => return None,
            None if group.awaiting_primary => return None,
            None => {}
        }
        let primary = group.primary.or(group.endpoints.first().copied())?;
        group.primary = Some(primary);
        match self.primary_condition(now, primary) {
            PrimaryCondition::Usable => self.accepts_attempt(now, primary).then_some(primary),
            PrimaryCondition::Suspected => {
                // Unreachable for new writes until it responds. A write that it has may still run.
                self.await_primary(now, group_id);
                None
            }
            PrimaryCondition::Lost => {
                // This write alone searches for its group, so that a failover does not send all of them round the ring.
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
        let connectable = !endpoint.unreachable || !endpoint.is_ejected(now);
        let in_service = endpoint.availability == Availability::Ready;
        if connectable && in_service && endpoint.role != Some(Role::Replica) {
            PrimaryCondition::Usable
        } else {
            PrimaryCondition::Lost
        }
    }

    /// The next endpoint for the group's discovery request; after a whole round the group awaits its primary.
    fn continue_along_ring(&mut self, now: Timestamp, group_id: GroupId) -> Option<EndpointId> {
        let Some(next) = self.next_ring_candidate(now, group_id) else {
            self.await_primary(now, group_id);
            return None;
        };
        self.groups.get_mut(&group_id)?.tried_in_round.insert(next);
        Some(next)
    }

    /// The next endpoint on the ring that was not tried in this round and may be the primary for all that is known.
    fn next_ring_candidate(&self, now: Timestamp, group_id: GroupId) -> Option<EndpointId> {
        let group = self.groups.get(&group_id)?;
        let primary = group.primary?;
        let from_primary = group.endpoints.range(primary..);
        let before_primary = group.endpoints.range(..primary);
        let mut ring = from_primary.chain(before_primary).copied();
        ring.find(|id| !group.tried_in_round.contains(id) && self.may_be_primary(now, &self.endpoints[id]))
    }

    fn may_be_primary(&self, now: Timestamp, endpoint: &EndpointState) -> bool {
        // A suspected endpoint is tried one attempt at a time, as only that can show that it is healthy.
        let responsive = !endpoint.suspected || endpoint.in_flight.is_empty();
        let recently_replica = endpoint.role == Some(Role::Replica)
            && endpoint.role_updated_at.is_some_and(|updated_at| now - updated_at < REPLICA_ROLE_VALIDITY);
        endpoint.availability == Availability::Ready
            && responsive
            && !endpoint.is_ejected(now)
            && !recently_replica
            && self.slow_start_allowance(now, endpoint) >= 1.0
    }

    /// Holds the group's writes until a role names its primary; a timer tries one further endpoint at a time.
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

    /// The discovery timer: one queued write tries one further endpoint.
    pub(super) fn continue_discovery(
        &mut self,
        now: Timestamp,
        group_id: GroupId,
        actions: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get(&group_id).filter(|group| group.awaiting_primary) else { return };
        // A write may have lost its permission to be repeated while it was queued: its key has expired.
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
