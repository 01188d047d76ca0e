//! The write path.

use super::endpoints::EndpointState;
use super::group::{QueuePosition, WRITES};
use super::router::*;
use super::timers::Timer;
use super::*;
use std::collections::BTreeSet;

impl Router {
    /// Where a write, or a read of the present, goes now; `None` holds it.
    pub(super) fn choose_primary(&mut self, now: Timestamp, id: RequestId) -> Option<EndpointId> {
        let group = self.requests[&id].group;
        let g = self.groups.get_mut(&group)?;
        if g.discovery_request.map_or(g.awaiting_primary, |s| s != id) {
            return None;
        }
        if g.discovery_request.is_none() {
            let first = g.primary.or(g.endpoints.first().copied())?;
            g.primary = Some(first);
            let m = self.endpoints.get(&first);
            if m.is_some_and(|m| m.suspected) {
                // It takes work and answers nothing: unreachable for new writes until it answers.
                self.await_primary(now, group);
                return None;
            }
            let reached = |m: &&EndpointState| !m.unreachable || Some(now) >= m.ejected_until;
            if m.filter(reached)
                .is_some_and(|m| m.availability == Availability::Ready && m.role != Some(false))
            {
                return self.accepts_attempt(now, first).then_some(first);
            }
            // The believed primary is out: this write alone walks the ring for its group.
            let g = self.groups.get_mut(&group)?;
            g.discovery_request = Some(id);
            g.tried_in_round = BTreeSet::from([first]);
        }
        let Some(next) = self.next_ring_candidate(now, group) else {
            self.await_primary(now, group);
            return None;
        };
        self.groups.get_mut(&group)?.tried_in_round.insert(next);
        Some(next)
    }

    /// The next member on the ring that may be the primary for all that is known.
    pub(super) fn next_ring_candidate(&self, now: Timestamp, group: GroupId) -> Option<EndpointId> {
        let g = self.groups.get(&group)?;
        let from = g.primary?;
        let mut ring = g.endpoints.range(from..).chain(g.endpoints.range(..from));
        let open = |id: &&EndpointId| {
            let m = &self.endpoints[id];
            m.availability == Availability::Ready
                // A suspect is asked one thing at a time, or nobody would learn that it is well.
                && (!m.suspected || m.in_flight.is_empty())
                && Some(now) >= m.ejected_until
                && !g.tried_in_round.contains(id)
                // Its own recent answer said replica: a send would be a miss for certain.
                && !(m.role == Some(false) && m.role_updated_at.is_some_and(|t| now - t < DISCOVERY_INTERVAL))
                && self.slow_start_allowance(now, m) >= 1.0
        };
        ring.find(open).copied()
    }

    pub(super) fn await_primary(&mut self, now: Timestamp, group: GroupId) {
        let g = self.groups.entry(group).or_default();
        (g.awaiting_primary, g.discovery_request) = (true, None);
        if g.discovery_timer_at.is_none_or(|t| t <= now) {
            g.discovery_timer_at = Some(now + DISCOVERY_INTERVAL);
            self.timers.insert((now + DISCOVERY_INTERVAL, Timer::PrimaryDiscovery(group)));
        }
    }

    /// The half-second timer: one held write tries one further member.
    pub(super) fn continue_discovery(&mut self, now: Timestamp, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group).filter(|g| g.awaiting_primary) else { return };
        let held: Vec<QueuePosition> = g.queued[WRITES].iter().take(MAX_QUEUED_TRIED).copied().collect();
        self.await_primary(now, group);
        // Rule 2 binds here as anywhere: a key may have expired while its write was held.
        let Some((.., scout)) = held.into_iter().find(|rank| self.may_retry(now, rank.2)) else { return };
        let mut next = self.next_ring_candidate(now, group);
        if next.is_none() {
            self.groups.entry(group).or_default().tried_in_round.clear();
            next = self.next_ring_candidate(now, group);
        }
        if let Some(endpoint) = next {
            self.groups.entry(group).or_default().tried_in_round.insert(endpoint);
            self.send(now, scout, endpoint, out);
        }
    }
}
