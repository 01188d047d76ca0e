//! The schedule of timers. The router uses a single timer of its caller, set for the earliest entry of the schedule.

use super::request::AttemptId;
use super::router::Router;
use super::{Action, GroupId, RequestId, Timestamp};

/// What to do when a timer fires.
///
/// Timers that are due at the same time run in the order of the variants, then of their ids.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Subscribe to the endpoint list again after a failure.
    RetrySubscription,
    /// Send a queued write of a group that awaits its primary to one more endpoint.
    PrimaryDiscovery(GroupId),
    /// Dispatch a group's queued requests, since an endpoint may accept attempts again.
    DispatchQueued(GroupId),
    /// Check a request: it can no longer meet its latency objective, may no longer be queued, or has reached its
    /// deadline.
    Request(RequestId),
    /// Check an overdue attempt, whose endpoint may be unresponsive.
    SuspectEndpoint(AttemptId),
    /// Check an attempt that is long overdue, whose connection may be broken.
    LostAttempt(AttemptId),
}

/// An entry of the schedule, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledTimer {
    at: Timestamp,
    timer: Timer,
}

impl Router {
    /// Schedules `timer` to run at `at`; a second identical entry has no effect.
    pub(super) fn schedule(&mut self, at: Timestamp, timer: Timer) {
        self.timers.insert(ScheduledTimer { at, timer });
    }

    /// Runs all timers that are due.
    pub(super) fn timer_fired(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        // The caller's timers cannot be cancelled, so the one that fired may have been replaced since. A timer that is
        // armed for a later time stays armed, so that it is not set twice.
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
            Timer::Request(request) => self.request_timer_fired(now, request, actions),
            Timer::SuspectEndpoint(attempt) => self.suspect_endpoint(attempt),
            Timer::LostAttempt(attempt) => self.cancel_lost_attempt(now, attempt, actions),
        }
    }

    /// Sets the caller's timer if it is not set, or is set for a time after the earliest entry of the schedule.
    pub(super) fn arm_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(&ScheduledTimer { at, .. }) = self.timers.first() else { return };
        if self.armed_timer_at.is_none_or(|armed| at < armed) {
            self.armed_timer_at = Some(at);
            actions.push(Action::SetTimer { delay: (at - now).or_zero(), timer: 0 });
        }
    }

    /// Checks a request when its timer fires: gives it up if its time is over, otherwise schedules the next check.
    fn request_timer_fired(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.response_started) else {
            return;
        };
        let queue_until = self.queue_until(request);
        // The outcome of an open attempt is awaited until the deadline.
        let ends_at = if request.has_open_attempt() { request.deadline } else { queue_until };
        let queued = request.queue_position.is_some();
        if now >= ends_at {
            self.give_up(id, actions);
            return;
        }
        self.schedule(ends_at, Timer::Request(id));
        if queued {
            // The request may no longer meet its latency objective, which changes its place in the queue.
            self.enqueue(now, id);
        }
    }
}
