//! The queue of a group: which requests wait, in which order they are dispatched, and when they are given up.

use super::group::{QueuePosition, Urgency};
use super::request::{Request, RequestPath};
use super::router::Router;
use super::timers::Timer;
use super::{Action, GroupId, Idempotency, KeyScope, RequestId, TimeDelta, Timestamp};
use std::ops::Bound;

/// Queued reads that may fail to find an endpoint in one event before the rest are left: reads differ in what is fresh
/// enough for them.
const MAX_WAITING_READS_TRIED: usize = 4;
/// The same for writes, which all want the same endpoint.
const MAX_WAITING_WRITES_TRIED: usize = 1;
/// Retry-after of a rejected request in latency objectives of its class. Crowds and failovers last that long; a client
/// that comes back at once meets the same obstacle.
const RETRY_AFTER_OBJECTIVES: i64 = 4;
/// Time that an answer needs at most to reach the client.
const RESPONSE_DELIVERY_TIME: TimeDelta = TimeDelta::from_millis(15);
/// A new read is rejected where those queued before it would take more than this fraction of the time it has left:
/// then its client's retry still finds time, and so do those that are queued.
const QUEUE_SHARE_DIVISOR: f64 = 4.0;

impl Router {
    /// Puts a request at its place in its group's queue, also where it is queued already.
    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let usual = TimeDelta::from_micros_f64(self.class_latency_us[request.class]);
        let urgency = if now + usual > request.objective_at {
            Urgency::PastObjective(request.deadline)
        } else {
            Urgency::WithinObjective(request.objective_at)
        };
        let position = QueuePosition { urgency, request: id };
        request.queue_position = Some(position);
        let group_id = request.group;
        let path = request.path;
        let was_sent = !request.attempts.is_empty();
        self.groups.entry(group_id).or_default().queued.on_path_mut(path).insert(position);

        // Where few requests come, no event may dispatch the queue in time once an endpoint accepts attempts.
        if let Some(accepts_at) = self.next_endpoint_accepts_at(now, group_id) {
            self.schedule(accepts_at, Timer::DispatchQueued(group_id));
        }
        if was_sent {
            // While an attempt was open, its timer may have been set to the deadline.
            let queue_until = self.queue_until(&self.requests[&id]);
            self.schedule(queue_until, Timer::Request(id));
        }
    }

    /// When the first of the group's endpoints that accepts nothing now may do so, as far as time decides that.
    fn next_endpoint_accepts_at(&self, now: Timestamp, group_id: GroupId) -> Option<Timestamp> {
        let endpoints = self.groups[&group_id].endpoints.iter().map(|id| &self.endpoints[id]);
        let accept_times = endpoints.map(|endpoint| self.accepts_attempts_from(now, endpoint));
        accept_times.filter(|at| *at > now).min()
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(position) = request.queue_position.take() else { return };
        if let Some(group) = self.groups.get_mut(&request.group) {
            group.queued.on_path_mut(request.path).remove(&position);
        }
    }

    /// Load shedding: whether a new read is rejected at once because too many others are queued. Its client still has
    /// time for a retry, and those that are queued have a prospect.
    pub(super) fn queue_is_too_long(&self, now: Timestamp, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let is_new = request.arrived_at == now
            && request.attempts.is_empty()
            && request.waiting_for_probe_since.is_none();
        if request.path != RequestPath::Read || !is_new {
            return false;
        }
        let Some(group) = self.groups.get(&request.group) else { return false };
        let time_left = request.objective_at.min(request.deadline) - now;
        let spare_us = time_left.as_micros_f64() - self.class_latency_us[request.class];
        let send_rate = group.send_rate.per_us(now, self.overload_window).max(f64::MIN_POSITIVE);
        let queue_length = group.queued.on_path(RequestPath::Read).len() as f64;
        queue_length / send_rate > spare_us / QUEUE_SHARE_DIVISOR
    }

    /// Until when a request is queued: until no response can have value any more, and where no endpoint can have
    /// received it, until half of its client's time is over. The client can do more with the other half than this
    /// pooler, which waits for a failover that takes seconds.
    pub(super) fn queue_until(&self, request: &Request) -> Timestamp {
        let usual = TimeDelta::from_micros_f64(self.class_latency_us[request.class]);
        let last_start = request.value_ends_at - usual;
        let half_time = request.arrived_at.midpoint(request.deadline) - RESPONSE_DELIVERY_TIME;
        let may_have_arrived = request.attempts.iter().any(|attempt| attempt.may_have_arrived);
        let until = if may_have_arrived { last_start } else { last_start.min(half_time) };
        until.max(request.arrived_at)
    }

    /// Dispatches a group's queued requests in the order of their urgency, writes first.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, group: GroupId, actions: &mut Vec<Action>) {
        self.dispatch_queue(now, group, RequestPath::Write, MAX_WAITING_WRITES_TRIED, actions);
        self.dispatch_queue(now, group, RequestPath::Read, MAX_WAITING_READS_TRIED, actions);
    }

    /// Routes queued requests until `max_waiting` of them had to stay in the queue.
    fn dispatch_queue(
        &mut self,
        now: Timestamp,
        group_id: GroupId,
        path: RequestPath,
        max_waiting: usize,
        actions: &mut Vec<Action>,
    ) {
        let mut after = Bound::Unbounded;
        let mut waiting = 0;
        while waiting < max_waiting {
            let Some(group) = self.groups.get(&group_id) else { return };
            let rest = (after, Bound::Unbounded);
            let Some(&position) = group.queued.on_path(path).range(rest).next() else { return };
            after = Bound::Excluded(position);
            let id = position.request;
            if self.may_retry(now, id) {
                self.route(now, id, actions);
            } else {
                self.give_up(id, actions);
            }
            let still_queued = self.requests.get(&id).is_some_and(|request| request.queue_position.is_some());
            waiting += usize::from(still_queued);
        }
    }

    /// Gives a request its final answer at once: a rejection where a repeat is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.is_rejection_safe(request) {
            let retry_after = self.retry_after(request);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish_request(id, actions);
    }

    /// Whether the client may send the request again to any pooler: it never ran, or a second run has no effect.
    fn is_rejection_safe(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let may_have_run = request.may_have_run_since.is_some() || request.has_open_attempt();
        let harmless = match class.idempotency {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::Keyed) => class.key_scope == Some(KeyScope::AllEndpoints),
            Some(Idempotency::NonIdempotent) | None => false,
        };
        !may_have_run || harmless
    }

    fn retry_after(&self, request: &Request) -> Option<TimeDelta> {
        if self.settings.may_send_retry_after != Some(true) {
            return None;
        }
        let longest = self.settings.max_retry_after.unwrap_or(TimeDelta::MAX);
        Some((RETRY_AFTER_OBJECTIVES * request.latency_objective).min(longest))
    }

    /// Removes a request that has its final answer, and cancels its open attempts.
    pub(super) fn finish_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(request) = self.requests.remove(&id) else { return };
        if self.settings.may_cancel == Some(true) {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.open {
                    actions.push(Action::Cancel { id, attempt: number as u8 });
                }
            }
        }
        let group = self.groups.entry(request.group).or_default();
        group.discovery_request = group.discovery_request.filter(|discovering| *discovering != id);
        self.groups_to_dispatch.insert(request.group);
    }
}
