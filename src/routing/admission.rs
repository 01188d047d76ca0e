//! What is held, and what is given up.

use super::group::{READS, WRITES};
use super::request::Request;
use super::router::*;
use super::timers::Timer;
use super::*;
use std::ops::Bound;

impl Router {
    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        self.dequeue(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let late = now + TimeDelta::from_micros_f64(self.class_latency_us[r.class]) > r.objective_at;
        let rank = (late, if late { r.deadline } else { r.objective_at }, id);
        r.queue_position = Some(rank);
        let (group, tried) = (r.group, !r.attempts.is_empty());
        self.groups.entry(group).or_default().queued[usize::from(r.writes)].insert(rank);
        // Where few requests come, nothing else may happen to the group in time once a member opens.
        let opens = self.groups[&group]
            .endpoints
            .iter()
            .map(|id| self.accepts_attempts_from(now, &self.endpoints[id]));
        self.timers.extend(opens.filter(|at| *at > now).min().map(|at| (at, Timer::DispatchQueued(group))));
        // Its guard may have been left to the deadline while an attempt was out.
        let last = self.queue_until(&self.requests[&id]);
        self.timers.extend(tried.then_some((last, Timer::Request(id))));
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let (Some(rank), Some(g)) = (r.queue_position.take(), self.groups.get_mut(&r.group)) {
            g.queued[usize::from(r.writes)].remove(&rank);
        }
    }

    /// A new read behind too many others is refused at once: a retry still finds time, those held too.
    pub(super) fn cannot_meet_objective(&self, now: Timestamp, id: RequestId) -> bool {
        let r = &self.requests[&id];
        let new =
            !r.writes && r.arrived_at == now && r.attempts.is_empty() && r.waiting_for_probe_since.is_none();
        let Some(g) = self.groups.get(&r.group).filter(|_| new) else { return false };
        let spare = (r.objective_at.min(r.deadline) - now).as_micros_f64() - self.class_latency_us[r.class];
        g.queued[READS].len() as f64 / g.send_rate.per_us(now, self.overload_window).max(f64::MIN_POSITIVE)
            > spare / 4.0
    }

    /// The final answer at once: a refusal where trying again is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let c = &self.settings.classes[r.class];
        let ran = r.may_have_run_since.is_some() || r.attempts.iter().any(|a| a.open);
        let keyed = c.idempotency == Some(Idempotency::Keyed) && c.key_scope == Some(KeyScope::AllEndpoints);
        if !ran || keyed || c.idempotency == Some(Idempotency::Idempotent) {
            // What is in the way outlasts a service time: who comes back at once meets it again.
            let wait = (RETRY_AFTER_OBJECTIVES * r.latency_objective)
                .min(self.settings.max_retry_after.unwrap_or(TimeDelta::MAX));
            let retry_after = (self.settings.may_send_retry_after == Some(true)).then_some(wait);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.finish_request(id, out);
    }

    /// A request is over: what is still out for it is called off.
    pub(super) fn finish_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(r) = self.requests.remove(&id) else { return };
        if self.settings.may_cancel == Some(true) {
            let open = r.attempts.iter().enumerate().filter(|(_, a)| a.open);
            out.extend(open.map(|(n, _)| Action::Cancel { id, attempt: n as u8 }));
        }
        let g = self.groups.entry(r.group).or_default();
        g.discovery_request = g.discovery_request.filter(|s| *s != id);
        self.groups_to_dispatch.insert(r.group);
    }

    /// Tries what is held again, in the order of its rank. Writes all want the same member, so the first that
    /// finds no room ends it; reads differ in what is fresh enough for them, so a few are tried.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, group: GroupId, out: &mut Vec<Action>) {
        for (held, mut tries) in [(WRITES, 1), (READS, MAX_QUEUED_TRIED)] {
            let mut after = None;
            while tries > 0 {
                let Some(g) = self.groups.get_mut(&group) else { return };
                let from = after.map_or(Bound::Unbounded, Bound::Excluded);
                let Some(&rank) = g.queued[held].range((from, Bound::Unbounded)).next() else { break };
                after = Some(rank);
                let (.., id) = rank;
                if self.may_retry(now, id) {
                    self.route(now, id, out);
                } else {
                    self.give_up(id, out);
                }
                tries -= usize::from(self.requests.get(&id).is_some_and(|r| r.queue_position.is_some()));
            }
        }
    }

    /// Until when a request is held: an answer would still be worth something, and where no member has had
    /// it at all, its client has half of its time left for another way.
    pub(super) fn queue_until(&self, r: &Request) -> Timestamp {
        let last = r.value_ends_at - TimeDelta::from_micros_f64(self.class_latency_us[r.class]);
        let half = r.arrived_at.midpoint(r.deadline) - RESPONSE_DELIVERY_TIME;
        if r.attempts.iter().any(|a| a.may_have_arrived) { last } else { last.min(half) }.max(r.arrived_at)
    }
}
