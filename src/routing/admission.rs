//! What is held, and what is given up.

use super::group::{READS, WRITES};
use super::request::Request;
use super::router::*;
use super::timers::Due;
use super::*;
use std::ops::Bound;

impl Router {
    pub(super) fn hold(&mut self, now: Timestamp, id: RequestId) {
        self.release(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let late = now + TimeDelta::from_micros_f64(self.latency[r.class]) > r.aim_at;
        let rank = (late, if late { r.deadline } else { r.aim_at }, id);
        r.held = Some(rank);
        let (group, tried) = (r.group, !r.attempts.is_empty());
        self.groups.entry(group).or_default().held[usize::from(r.writes)].insert(rank);
        // Where few requests come, nothing else may happen to the group in time once a member opens.
        let opens = self.groups[&group].endpoints.iter().map(|id| self.opens_at(now, &self.endpoints[id]));
        self.agenda.extend(opens.filter(|at| *at > now).min().map(|at| (at, Due::Pump(group))));
        // Its guard may have been left to the deadline while an attempt was out.
        let last = self.last_call(&self.requests[&id]);
        self.agenda.extend(tried.then_some((last, Due::Guard(id))));
    }

    pub(super) fn release(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let (Some(rank), Some(g)) = (r.held.take(), self.groups.get_mut(&r.group)) {
            g.held[usize::from(r.writes)].remove(&rank);
        }
    }

    /// A new read behind too many others is refused at once: a retry still finds time, those held too.
    pub(super) fn hopeless(&self, now: Timestamp, id: RequestId) -> bool {
        let r = &self.requests[&id];
        let new = !r.writes && r.arrived == now && r.attempts.is_empty() && r.probed.is_none();
        let Some(g) = self.groups.get(&r.group).filter(|_| new) else { return false };
        let spare = (r.aim_at.min(r.deadline) - now).as_micros_f64() - self.latency[r.class];
        g.held[READS].len() as f64 / g.rate.per_us(now, self.span).max(f64::MIN_POSITIVE) > spare / 4.0
    }

    /// The final answer at once: a refusal where trying again is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let c = &self.settings.classes[r.class];
        let ran = r.first_ran.is_some() || r.attempts.iter().any(|a| a.open);
        let keyed = c.idempotency == Some(Idempotency::Keyed) && c.key_scope == Some(KeyScope::AllEndpoints);
        if !ran || keyed || c.idempotency == Some(Idempotency::Idempotent) {
            // What is in the way outlasts a service time: who comes back at once meets it again.
            let wait =
                (HINT * r.latency_objective).min(self.settings.max_retry_after.unwrap_or(TimeDelta::MAX));
            let retry_after = (self.settings.may_send_retry_after == Some(true)).then_some(wait);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.finish(id, out);
    }

    /// A request is over: what is still out for it is called off.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.release(id);
        let Some(r) = self.requests.remove(&id) else { return };
        if self.settings.may_cancel == Some(true) {
            let open = r.attempts.iter().enumerate().filter(|(_, a)| a.open);
            out.extend(open.map(|(n, _)| Action::Cancel { id, attempt: n as u8 }));
        }
        let g = self.groups.entry(r.group).or_default();
        g.scout = g.scout.filter(|s| *s != id);
        self.dirty.insert(r.group);
    }

    /// Tries what is held again, in the order of its rank. Writes all want the same member, so the first that
    /// finds no room ends it; reads differ in what is fresh enough for them, so a few are tried.
    pub(super) fn pump(&mut self, now: Timestamp, group: GroupId, out: &mut Vec<Action>) {
        for (held, mut tries) in [(WRITES, 1), (READS, TRIES)] {
            let mut after = None;
            while tries > 0 {
                let Some(g) = self.groups.get_mut(&group) else { return };
                let from = after.map_or(Bound::Unbounded, Bound::Excluded);
                let Some(&rank) = g.held[held].range((from, Bound::Unbounded)).next() else { break };
                after = Some(rank);
                let (.., id) = rank;
                if self.may_resend(now, id) {
                    self.route(now, id, out);
                } else {
                    self.give_up(id, out);
                }
                tries -= usize::from(self.requests.get(&id).is_some_and(|r| r.held.is_some()));
            }
        }
    }

    /// Until when a request is held: an answer would still be worth something, and where no member has had
    /// it at all, its client has half of its time left for another way.
    pub(super) fn last_call(&self, r: &Request) -> Timestamp {
        let last = r.end - TimeDelta::from_micros_f64(self.latency[r.class]);
        let half = r.arrived.midpoint(r.deadline) - WAY_OUT;
        if r.attempts.iter().any(|a| a.written) { last } else { last.min(half) }.max(r.arrived)
    }
}
