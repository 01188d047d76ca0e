//! Timers.

use super::*;

/// What is to be looked at when a timer fires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Subscribe,
    Group(GroupId),
    Pump(GroupId),
    Guard(RequestId),
    Check(RequestId, u8),
    Lost(RequestId, u8),
}

impl Router {
    pub(super) fn due(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(&(at, due)) = self.agenda.first()
            && at <= now
        {
            self.agenda.pop_first();
            match due {
                Due::Subscribe => out.push(Action::Subscribe { on: true }),
                Due::Group(group) => self.group_timer(now, group, out),
                Due::Pump(group) => drop(self.dirty.insert(group)),
                Due::Guard(id) => self.guard(now, id, out),
                Due::Check(id, attempt) => self.check(id, attempt),
                Due::Lost(id, attempt) => self.lost(now, id, attempt, out),
            }
        }
    }

    /// The deadline of a request: a held one is given up when hope is gone, any other at the very end.
    pub(super) fn guard(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        let last = self.last_call(r);
        let at = if r.attempts.iter().any(|a| a.open) { r.deadline } else { last };
        if now >= at {
            return self.give_up(id, out);
        }
        self.agenda.insert((at, Due::Guard(id)));
        if r.held.is_some() {
            self.hold(now, id);
        }
    }
}
