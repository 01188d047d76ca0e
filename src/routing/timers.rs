//! Timers.

use super::*;

/// What is to be looked at when a timer fires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    RetrySubscription,
    PrimaryDiscovery(GroupId),
    DispatchQueued(GroupId),
    Request(RequestId),
    SuspectEndpoint(RequestId, u8),
    LostAttempt(RequestId, u8),
}

impl Router {
    pub(super) fn fire_due_timers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(&(at, due)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            match due {
                Timer::RetrySubscription => out.push(Action::Subscribe { on: true }),
                Timer::PrimaryDiscovery(group) => self.continue_discovery(now, group, out),
                Timer::DispatchQueued(group) => drop(self.groups_to_dispatch.insert(group)),
                Timer::Request(id) => self.request_timer(now, id, out),
                Timer::SuspectEndpoint(id, attempt) => self.suspect_timer(id, attempt),
                Timer::LostAttempt(id, attempt) => self.lost_attempt_timer(now, id, attempt, out),
            }
        }
    }

    /// The deadline of a request: a held one is given up when hope is gone, any other at the very end.
    pub(super) fn request_timer(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.response_started) else { return };
        let last = self.queue_until(r);
        let at = if r.attempts.iter().any(|a| a.open) { r.deadline } else { last };
        if now >= at {
            return self.give_up(id, out);
        }
        self.timers.insert((at, Timer::Request(id)));
        if r.queue_position.is_some() {
            self.enqueue(now, id);
        }
    }
}
