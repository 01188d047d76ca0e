//! Attempts and their outcomes.

use super::request::{Attempt, Request};
use super::router::*;
use super::timers::Due;
use super::*;

impl Router {
    pub(super) fn take(&mut self, now: Timestamp, ask: &IncomingRequest, out: &mut Vec<Action>) {
        let &IncomingRequest {
            id, class, group, work_hint, last_commit_age, session, client_timeout, ..
        } = ask;
        if class >= self.settings.classes.len() {
            out.push(Action::Fail { id });
            return;
        }
        let c = &self.settings.classes[class];
        let stretch = c.latency_objective_per_work.unwrap_or(0.0)
            * work_hint.unwrap_or(TimeDelta::ZERO).as_micros_f64();
        let (latency_objective, deadline) =
            (c.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE), now + client_timeout.or_zero());
        let aim_at = now + latency_objective + TimeDelta::from_micros_f64(stretch);
        let present = matches!(c.consistency, None | Some(Consistency::Strong));
        let r = Request {
            class,
            kind: c.consistency,
            writes: c.consistency == Some(Consistency::Write) || present && self.checks(),
            latency_objective,
            group,
            arrived: now,
            aim_at,
            end: if c.late_priority_weight > Some(0.0) { deadline } else { aim_at.min(deadline) },
            deadline,
            commit: match self.settings.session_tracking {
                Some(SessionTracking::Remembered) => self.sessions.get(&session).copied().or(self.forgotten),
                _ => last_commit_age.map(|age| now - age),
            },
            session,
            ..Request::default()
        };
        // Looked at when it turns late, when hope ends, and at its deadline.
        let late = (aim_at - TimeDelta::from_micros_f64(self.latency[class])).min(self.last_call(&r));
        self.agenda.insert((late.clamp(now, deadline), Due::Guard(id)));
        self.requests.insert(id, r);
        self.route(now, id, out);
    }

    /// Sends a request where the mechanism says, or holds it.
    pub(super) fn route(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let writes = self.requests[&id].writes;
        match if writes { self.pick_primary(now, id) } else { self.pick_reader(now, id, out) } {
            Some(endpoint) => self.send(now, id, endpoint, out),
            None if self.hopeless(now, id) => self.give_up(id, out),
            None => self.hold(now, id),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        out: &mut Vec<Action>,
    ) {
        self.release(id);
        let has = self.endpoints.get(&endpoint).map_or(0.0, |m| self.allowance(now, m));
        // The budget is one of work: a light class uses less of it than the heaviest.
        let heaviest = self.latency.iter().copied().fold(1.0, f64::max);
        let (Some(r), Some(m)) = (self.requests.get_mut(&id), self.endpoints.get_mut(&endpoint)) else {
            return;
        };
        let number = r.attempts.len() as u8;
        let overtaken_at = m.answered + m.out.len() as u64 + OVERTAKEN;
        let attempt =
            Attempt { endpoint, sent: now, open: true, written: true, overtaken_at, missed_at: None };
        r.attempts.push(attempt);
        m.out.insert((id, number), now);
        (m.gap, m.sent_at) = (now - m.sent_at, now);
        (m.budget, m.budget_at) = (has - self.latency[r.class] / heaviest, now);
        self.groups.entry(r.group).or_default().rate.add(now, self.span);
        self.agenda.insert((now + r.latency_objective / 2, Due::Check(id, number)));
        let usual = self.latency[r.class] * m.slow.max(1.0);
        self.agenda.insert((now + TimeDelta::from_micros_f64(usual * LOST), Due::Lost(id, number)));
        out.push(Action::Send { id, endpoint, stop_at: None });
    }

    pub(super) fn settled(&mut self, now: Timestamp, end: &AttemptFinished, out: &mut Vec<Action>) {
        let &AttemptFinished { id, attempt, endpoint, took, outcome, finished, replica_status, .. } = end;
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        m.out.remove(&(id, attempt));
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Misdirected) {
            (m.strikes, m.errors) = (0, 0);
            m.answered += 1;
        }
        let (class, erred) = self.requests.get(&id).map_or((None, false), |r| (Some(r.class), r.errors > 0));
        let a = self.requests.get(&id).and_then(|r| r.attempts.get(usize::from(attempt)));
        let overtaken = a.is_some_and(|a| m.answered >= a.overtaken_at);
        match outcome {
            // Its member is well: it was the connection that fell silent.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if overtaken => {}
            AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                if let Some(class) = class {
                    self.measure(now, class, endpoint, took, outcome == AttemptOutcome::Served);
                }
            }
            // Errors between good answers, or on what erred elsewhere, follow the request, key or tenant.
            AttemptOutcome::Error if erred || m.errors + 1 < ERRORS => m.errors += u32::from(!erred),
            // One broken connection says little of its member: if that is down, the next attempt finds none.
            AttemptOutcome::Reset if m.errors + 1 < ERRORS => m.errors += 1,
            AttemptOutcome::Overloaded | AttemptOutcome::Error => {
                self.shrink(now, endpoint, class.map(|c| self.latency[c]));
                self.shun(
                    now,
                    endpoint,
                    class.map_or(HOLD_TIMER, |c| TimeDelta::from_micros_f64(self.latency[c])),
                );
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                m.unreachable = true;
                self.shun(now, endpoint, HOLD_TIMER);
            }
            _ => {}
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(a) = r.attempts.get_mut(usize::from(attempt)) {
            (a.open, a.written) = (false, outcome != AttemptOutcome::ConnectFailed);
            a.missed_at = (outcome != AttemptOutcome::Overloaded).then_some(now);
            if outcome.may_have_run() {
                r.first_ran = Some(r.first_ran.map_or(a.sent, |t| t.min(a.sent)));
            }
            r.errors += u32::from(outcome == AttemptOutcome::Error);
        }
        if finished {
            let remembers = r.writes && self.settings.session_tracking == Some(SessionTracking::Remembered);
            if let (AttemptOutcome::Served, Some(replica_status), true) = (outcome, replica_status, remembers)
            {
                let zero = self.settings.zero.unwrap_or(Timestamp::ZERO);
                let (session, commit) = (r.session, replica_status.position.commit_time(zero));
                self.remember(session, commit);
            }
            self.finish(id, out);
            return;
        }
        if r.attempts.iter().any(|a| a.open) {
            return;
        }
        if !self.may_resend(now, id) || outcome == AttemptOutcome::NotSent {
            self.give_up(id, out);
        } else if outcome == AttemptOutcome::Overloaded {
            self.hold(now, id);
        } else {
            self.route(now, id, out);
        }
    }

    /// Whether another attempt is allowed.
    pub(super) fn may_resend(&self, now: Timestamp, id: RequestId) -> bool {
        let r = &self.requests[&id];
        self.may_repeat(now, r, r.first_ran)
    }

    /// The same where the first attempt that may have run was sent at `ran`: rule 2, attempt limit, deadline.
    pub(super) fn may_repeat(&self, now: Timestamp, r: &Request, ran: Option<Timestamp>) -> bool {
        let c = &self.settings.classes[r.class];
        let harmless = match (c.idempotency.unwrap_or(Idempotency::NonIdempotent), ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            // Where a key is known in one zone only, the group's next primary may stand in another.
            (Idempotency::Keyed, Some(_)) if c.key_scope == Some(KeyScope::Zone) => false,
            (Idempotency::Keyed, Some(first)) => {
                now < first + c.key_window.unwrap_or(TimeDelta::ZERO) - ROUNDING
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        let left = (r.attempts.len() as u32) < self.settings.max_attempts.unwrap_or(ATTEMPTS);
        harmless && left && now < r.end && !r.streaming && r.errors < BAD
    }

    /// An attempt on a connection that fell silent, its member answering others, is called off and repeated.
    pub(super) fn lost(&mut self, now: Timestamp, id: RequestId, attempt: u8, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.moved) else { return };
        let Some(a) = r.attempts.get(usize::from(attempt)).filter(|a| a.open) else { return };
        let usual = TimeDelta::from_micros_f64(self.latency[r.class]);
        let c = &self.settings.classes[r.class];
        let known = c.idempotency == Some(Idempotency::Idempotent)
            || now < a.sent + c.key_window.unwrap_or(TimeDelta::ZERO) / 2;
        let again = known && self.may_repeat(now + usual, r, r.first_ran.or(Some(a.sent)));
        if !again || self.settings.may_cancel != Some(true) {
            return;
        }
        if self.endpoints.get(&a.endpoint).is_some_and(|m| m.answered >= a.overtaken_at) {
            self.requests.entry(id).and_modify(|r| r.moved = true);
            out.push(Action::Cancel { id, attempt });
        } else {
            self.agenda.insert((now + usual.max(ROUNDING), Due::Lost(id, attempt)));
        }
    }

    /// An attempt is overdue, not the first at its member, which has been silent since: it is suspect, and
    /// nothing new goes there. What is out stays: copies and moves add work where all members are slow.
    pub(super) fn check(&mut self, id: RequestId, attempt: u8) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        let Some(a) = r.attempts.get(usize::from(attempt)).filter(|a| a.open) else { return };
        let (sent, Some(m)) = (a.sent, self.endpoints.get_mut(&a.endpoint)) else { return };
        let overdue = m.out.values().filter(|s| **s <= sent).count();
        if m.heard < Some(sent) && overdue >= 2 && !m.suspect {
            m.suspect = true;
            self.dirty.insert(m.group);
        }
    }
}
