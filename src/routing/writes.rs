//! The write path.

use super::endpoints::EndpointState;
use super::group::{Rank, WRITES};
use super::router::*;
use super::timers::Due;
use super::*;
use std::collections::BTreeSet;

impl Router {
    /// Where a write, or a read of the present, goes now; `None` holds it.
    pub(super) fn pick_primary(&mut self, now: Timestamp, id: RequestId) -> Option<EndpointId> {
        let group = self.requests[&id].group;
        let g = self.groups.get_mut(&group)?;
        if g.scout.map_or(g.holding, |s| s != id) {
            return None;
        }
        if g.scout.is_none() {
            let first = g.primary.or(g.endpoints.first().copied())?;
            g.primary = Some(first);
            let m = self.endpoints.get(&first);
            if m.is_some_and(|m| m.suspect) {
                // It takes work and answers nothing: unreachable for new writes until it answers.
                self.hold_group(now, group);
                return None;
            }
            let reached = |m: &&EndpointState| !m.unreachable || Some(now) >= m.shunned_until;
            if m.filter(reached)
                .is_some_and(|m| m.availability == Availability::Ready && m.role != Some(false))
            {
                return self.takes(now, first).then_some(first);
            }
            // The believed primary is out: this write alone walks the ring for its group.
            let g = self.groups.get_mut(&group)?;
            g.scout = Some(id);
            g.walked = BTreeSet::from([first]);
        }
        let Some(next) = self.next_in_ring(now, group) else {
            self.hold_group(now, group);
            return None;
        };
        self.groups.get_mut(&group)?.walked.insert(next);
        Some(next)
    }

    /// The next member on the ring that may be the primary for all that is known.
    pub(super) fn next_in_ring(&self, now: Timestamp, group: GroupId) -> Option<EndpointId> {
        let g = self.groups.get(&group)?;
        let from = g.primary?;
        let mut ring = g.endpoints.range(from..).chain(g.endpoints.range(..from));
        let open = |id: &&EndpointId| {
            let m = &self.endpoints[id];
            m.availability == Availability::Ready
                // A suspect is asked one thing at a time, or nobody would learn that it is well.
                && (!m.suspect || m.out.is_empty())
                && Some(now) >= m.shunned_until
                && !g.walked.contains(id)
                // Its own recent answer said replica: a send would be a miss for certain.
                && !(m.role == Some(false) && m.role_at.is_some_and(|t| now - t < HOLD_TIMER))
                && self.allowance(now, m) >= 1.0
        };
        ring.find(open).copied()
    }

    pub(super) fn hold_group(&mut self, now: Timestamp, group: GroupId) {
        let g = self.groups.entry(group).or_default();
        (g.holding, g.scout) = (true, None);
        if g.timer_at.is_none_or(|t| t <= now) {
            g.timer_at = Some(now + HOLD_TIMER);
            self.agenda.insert((now + HOLD_TIMER, Due::Group(group)));
        }
    }

    /// The half-second timer: one held write tries one further member.
    pub(super) fn group_timer(&mut self, now: Timestamp, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group).filter(|g| g.holding) else { return };
        let held: Vec<Rank> = g.held[WRITES].iter().take(TRIES).copied().collect();
        self.hold_group(now, group);
        // Rule 2 binds here as anywhere: a key may have expired while its write was held.
        let Some((.., scout)) = held.into_iter().find(|rank| self.may_resend(now, rank.2)) else { return };
        let mut next = self.next_in_ring(now, group);
        if next.is_none() {
            self.groups.entry(group).or_default().walked.clear();
            next = self.next_in_ring(now, group);
        }
        if let Some(endpoint) = next {
            self.groups.entry(group).or_default().walked.insert(endpoint);
            self.send(now, scout, endpoint, out);
        }
    }
}
