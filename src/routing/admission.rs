//! The queue of a group: which requests are queued, in which order they are dispatched, and when they are given up.
//! Which requests are admitted at all while service recovers is decided before, by `engine::admission`.

use super::group::{QueuePosition, Urgency};
use super::request::{Request, RequestPath};
use super::router::Router;
use super::timers::Timer;
use super::{Action, GroupId, Idempotency, KeyScope, RequestId, TimeDelta, Timestamp};
use std::ops::Bound;

/// A dispatch of queued reads ends once this many found no endpoint. More than one, because reads differ in the
/// freshness that they require.
const MAX_UNROUTED_READS: usize = 4;
/// The same limit for queued writes: one, because all of them need the same endpoint.
const MAX_UNROUTED_WRITES: usize = 1;
/// Retry-after of a rejected request, as a multiple of its latency objective. Overload and failovers last about that
/// long; a client that retries at once would be rejected again.
const RETRY_AFTER_OBJECTIVES: i64 = 4;
/// Upper bound of the time in which an answer reaches the client.
const RESPONSE_DELIVERY_TIME: TimeDelta = TimeDelta::from_millis(15);
/// A new read is rejected if sending the reads queued before it would take more than its remaining time divided by
/// this. That leaves time for its client to retry elsewhere, and for the queued reads to be served.
const MAX_QUEUE_WAIT_DIVISOR: f64 = 4.0;

impl Router {
    /// Puts a request into its group's queue, or moves it to its current place if it is queued already.
    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let typical_latency = TimeDelta::from_micros_f64(self.class_latency_us[request.class]);
        let urgency = if now + typical_latency > request.objective_at {
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

        // With little traffic, no other event may dispatch the queue in time when an endpoint accepts attempts again.
        if let Some(accepts_at) = self.next_endpoint_accepts_at(now, group_id) {
            self.schedule(accepts_at, Timer::DispatchQueued(group_id));
        }
        if was_sent {
            // While an attempt was open, the request's timer may have been set to the deadline.
            let queue_until = self.queue_until(&self.requests[&id]);
            self.schedule(queue_until, Timer::Request(id));
        }
    }

    /// The earliest time at which one of the group's endpoints that accepts nothing now will accept attempts again,
    /// considering only reasons that end with time; `None` if no endpoint has such a reason.
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

    /// Load shedding: whether a new read is to be rejected at once because too many others are queued. Its client then
    /// still has time to retry, and the queued reads can be served in time.
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
        queue_length / send_rate > spare_us / MAX_QUEUE_WAIT_DIVISOR
    }

    /// Until when a request may be queued: until a response would come too late to have value. If no endpoint can have
    /// received the request, it is queued for at most half of the client's timeout. The client makes better use of the
    /// other half by a retry than this pooler does by waiting for a failover, which takes seconds.
    pub(super) fn queue_until(&self, request: &Request) -> Timestamp {
        let typical_latency = TimeDelta::from_micros_f64(self.class_latency_us[request.class]);
        let latest_useful_start = request.value_ends_at - typical_latency;
        let half_of_timeout_at = request.arrived_at.midpoint(request.deadline) - RESPONSE_DELIVERY_TIME;
        let may_have_arrived = request.attempts.iter().any(|attempt| attempt.may_have_arrived);
        let until =
            if may_have_arrived { latest_useful_start } else { latest_useful_start.min(half_of_timeout_at) };
        until.max(request.arrived_at)
    }

    /// Dispatches a group's queued requests in order of urgency, writes before reads.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, group: GroupId, actions: &mut Vec<Action>) {
        self.dispatch_queue(now, group, RequestPath::Write, MAX_UNROUTED_WRITES, actions);
        self.dispatch_queue(now, group, RequestPath::Read, MAX_UNROUTED_READS, actions);
    }

    /// Routes the queued requests of one path until `max_unrouted` of them had to stay in the queue. Requests that may
    /// no longer be sent are given up.
    fn dispatch_queue(
        &mut self,
        now: Timestamp,
        group_id: GroupId,
        path: RequestPath,
        max_unrouted: usize,
        actions: &mut Vec<Action>,
    ) {
        let mut after = Bound::Unbounded;
        let mut unrouted = 0;
        while unrouted < max_unrouted {
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
            unrouted += usize::from(still_queued);
        }
    }

    /// Answers a request at once: with a rejection if the client may safely retry it, otherwise with a failure.
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

    /// Whether the client may send the request again to any pooler: it did not run, or a second run has no effect.
    fn is_rejection_safe(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let may_have_run = request.may_have_run_since.is_some() || request.has_open_attempt();
        let repeat_is_safe = match class.idempotency {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::Keyed) => class.key_scope == Some(KeyScope::AllEndpoints),
            Some(Idempotency::NonIdempotent) | None => false,
        };
        !may_have_run || repeat_is_safe
    }

    /// The retry-after of a rejection; `None` if the settings do not permit one.
    fn retry_after(&self, request: &Request) -> Option<TimeDelta> {
        if self.settings.may_send_retry_after != Some(true) {
            return None;
        }
        let longest = self.settings.max_retry_after.unwrap_or(TimeDelta::MAX);
        Some((RETRY_AFTER_OBJECTIVES * request.latency_objective).min(longest))
    }

    /// Removes a request that has its final answer or needs none any more. Cancels its open attempts if the settings
    /// permit it.
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
        group.discovery_request = group.discovery_request.filter(|searching| *searching != id);
        self.groups_to_dispatch.insert(request.group);
    }
}
