//! Timers: what is due when. The runtime offers one timer; the earliest entry of the schedule sets it.

use super::request::AttemptId;
use super::router::Router;
use super::{Action, GroupId, RequestId, Timestamp};

/// What is to be done when a timer fires.
///
/// Timers of the same instant fire in the order of the variants, then of their ids.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Subscribe to the endpoint list again after a failure.
    RetrySubscription,
    /// Try one further endpoint for a group that awaits its primary.
    PrimaryDiscovery(GroupId),
    /// Dispatch a group's queued requests: an endpoint may accept attempts again.
    DispatchQueued(GroupId),
    /// A request's latency objective, queueing limit or deadline is reached.
    Request(RequestId),
    /// An attempt is overdue: its endpoint may be unresponsive.
    SuspectEndpoint(AttemptId),
    /// An attempt is far overdue: its connection may have fallen silent.
    LostAttempt(AttemptId),
}

/// An entry of the schedule, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledTimer {
    at: Timestamp,
    timer: Timer,
}

impl Router {
    /// Schedules `timer`; a second identical entry has no effect.
    pub(super) fn schedule(&mut self, at: Timestamp, timer: Timer) {
        self.timers.insert(ScheduledTimer { at, timer });
    }

    /// Runs all timers that are due.
    pub(super) fn timer_fired(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        // A timer cannot be cancelled: one that an earlier one replaced must not set another.
        self.armed_timer_at = self.armed_timer_at.filter(|at| *at > now);
        while let Some(&ScheduledTimer { at, timer }) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.run_timer(now, timer, actions);
        }
    }

    fn run_timer(&mut self, now: Timestamp, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::RetrySubscription => actions.push(Action::Subscribe { on: true }),
            Timer::PrimaryDiscovery(group) => self.continue_discovery(now, group, actions),
            Timer::DispatchQueued(group) => {
                self.groups_to_dispatch.insert(group);
            }
            Timer::Request(request) => self.request_timer(now, request, actions),
            Timer::SuspectEndpoint(attempt) => self.suspect_endpoint(attempt),
            Timer::LostAttempt(attempt) => self.cancel_lost_attempt(now, attempt, actions),
        }
    }

    /// Sets the runtime's timer where the schedule has an earlier entry than the one it is set for.
    pub(super) fn arm_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(&ScheduledTimer { at, .. }) = self.timers.first() else { return };
        if self.armed_timer_at.is_none_or(|armed| at < armed) {
            self.armed_timer_at = Some(at);
            actions.push(Action::SetTimer { span: (at - now).or_zero(), timer: 0 });
        }
    }

    /// A point in a request's life is reached: gives it up where it has no prospect any more, else schedules the
    /// next such point.
    fn request_timer(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.response_started) else {
            return;
        };
        let queue_until = self.queue_until(request);
        // While an attempt is open its outcome may come as late as the deadline.
        let ends_at = if request.has_open_attempt() { request.deadline } else { queue_until };
        let queued = request.queue_position.is_some();
        if now >= ends_at {
            self.give_up(id, actions);
            return;
        }
        self.schedule(ends_at, Timer::Request(id));
        if queued {
            // It may have passed its objective, which changes its place in the queue.
            self.enqueue(now, id);
        }
    }
}
