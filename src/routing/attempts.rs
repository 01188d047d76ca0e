//! Attempts and their outcomes.

use super::request::{Attempt, Request};
use super::router::*;
use super::timers::Timer;
use super::*;

impl Router {
    pub(super) fn receive_request(&mut self, now: Timestamp, ask: &IncomingRequest, out: &mut Vec<Action>) {
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
            consistency: c.consistency,
            writes: c.consistency == Some(Consistency::Write)
                || present && self.endpoints_reject_stale_reads(),
            latency_objective,
            group,
            arrived_at: now,
            objective_at: aim_at,
            value_ends_at: if c.late_priority_weight > Some(0.0) { deadline } else { aim_at.min(deadline) },
            deadline,
            required_commit: match self.settings.session_tracking {
                Some(SessionTracking::Remembered) => {
                    self.session_commits.get(&session).copied().or(self.evicted_sessions_commit)
                }
                _ => last_commit_age.map(|age| now - age),
            },
            session,
            ..Request::default()
        };
        // Looked at when it turns late, when hope ends, and at its deadline.
        let late =
            (aim_at - TimeDelta::from_micros_f64(self.class_latency_us[class])).min(self.queue_until(&r));
        self.timers.insert((late.clamp(now, deadline), Timer::Request(id)));
        self.requests.insert(id, r);
        self.route(now, id, out);
    }

    /// Sends a request where the mechanism says, or holds it.
    pub(super) fn route(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let writes = self.requests[&id].writes;
        match if writes { self.choose_primary(now, id) } else { self.choose_reader(now, id, out) } {
            Some(endpoint) => self.send(now, id, endpoint, out),
            None if self.cannot_meet_objective(now, id) => self.give_up(id, out),
            None => self.enqueue(now, id),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let has = self.endpoints.get(&endpoint).map_or(0.0, |m| self.slow_start_allowance(now, m));
        // The budget is one of work: a light class uses less of it than the heaviest.
        let heaviest = self.class_latency_us.iter().copied().fold(1.0, f64::max);
        let (Some(r), Some(m)) = (self.requests.get_mut(&id), self.endpoints.get_mut(&endpoint)) else {
            return;
        };
        let number = r.attempts.len() as u8;
        let overtaken_at = m.answered_attempts + m.in_flight.len() as u64 + LOST_AFTER_OVERTAKEN;
        let attempt = Attempt {
            endpoint,
            sent_at: now,
            open: true,
            may_have_arrived: true,
            overtaken_at_count: overtaken_at,
            unserved_at: None,
        };
        r.attempts.push(attempt);
        m.in_flight.insert((id, number), now);
        (m.last_send_interval, m.last_sent_at) = (now - m.last_sent_at, now);
        (m.slow_start_budget, m.slow_start_budget_updated_at) =
            (has - self.class_latency_us[r.class] / heaviest, now);
        self.groups.entry(r.group).or_default().send_rate.add(now, self.overload_window);
        self.timers.insert((now + r.latency_objective / 2, Timer::SuspectEndpoint(id, number)));
        let usual = self.class_latency_us[r.class] * m.relative_latency.max(1.0);
        self.timers.insert((
            now + TimeDelta::from_micros_f64(usual * LOST_AFTER_LATENCIES),
            Timer::LostAttempt(id, number),
        ));
        out.push(Action::Send { id, endpoint, stop_at: None });
    }

    pub(super) fn attempt_finished(&mut self, now: Timestamp, end: &AttemptFinished, out: &mut Vec<Action>) {
        let &AttemptFinished { id, attempt, endpoint, took, outcome, finished, replica_status, .. } = end;
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        m.in_flight.remove(&(id, attempt));
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Misdirected) {
            (m.consecutive_failures, m.errors_since_success) = (0, 0);
            m.answered_attempts += 1;
        }
        let (class, erred) =
            self.requests.get(&id).map_or((None, false), |r| (Some(r.class), r.error_outcomes > 0));
        let a = self.requests.get(&id).and_then(|r| r.attempts.get(usize::from(attempt)));
        let overtaken = a.is_some_and(|a| m.answered_attempts >= a.overtaken_at_count);
        match outcome {
            // Its member is well: it was the connection that fell silent.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if overtaken => {}
            AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                if let Some(class) = class {
                    self.record_latency(now, class, endpoint, took, outcome == AttemptOutcome::Served);
                }
            }
            // Errors between good answers, or on what erred elsewhere, follow the request, key or tenant.
            AttemptOutcome::Error if erred || m.errors_since_success + 1 < ERRORS_BEFORE_EJECTION => {
                m.errors_since_success += u32::from(!erred)
            }
            // One broken connection says little of its member: if that is down, the next attempt finds none.
            AttemptOutcome::Reset if m.errors_since_success + 1 < ERRORS_BEFORE_EJECTION => {
                m.errors_since_success += 1
            }
            AttemptOutcome::Overloaded | AttemptOutcome::Error => {
                self.decrease_concurrency_limit(now, endpoint, class.map(|c| self.class_latency_us[c]));
                self.eject(
                    now,
                    endpoint,
                    class
                        .map_or(DISCOVERY_INTERVAL, |c| TimeDelta::from_micros_f64(self.class_latency_us[c])),
                );
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                m.unreachable = true;
                self.eject(now, endpoint, DISCOVERY_INTERVAL);
            }
            _ => {}
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(a) = r.attempts.get_mut(usize::from(attempt)) {
            (a.open, a.may_have_arrived) = (false, outcome != AttemptOutcome::ConnectFailed);
            a.unserved_at = (outcome != AttemptOutcome::Overloaded).then_some(now);
            if outcome.may_have_run() {
                r.may_have_run_since = Some(r.may_have_run_since.map_or(a.sent_at, |t| t.min(a.sent_at)));
            }
            r.error_outcomes += u32::from(outcome == AttemptOutcome::Error);
        }
        if finished {
            let remembers = r.writes && self.settings.session_tracking == Some(SessionTracking::Remembered);
            if let (AttemptOutcome::Served, Some(replica_status), true) = (outcome, replica_status, remembers)
            {
                let zero = self.settings.zero.unwrap_or(Timestamp::ZERO);
                let (session, commit) = (r.session, replica_status.position.commit_time(zero));
                self.remember_commit(session, commit);
            }
            self.finish_request(id, out);
            return;
        }
        if r.attempts.iter().any(|a| a.open) {
            return;
        }
        if !self.may_retry(now, id) || outcome == AttemptOutcome::NotSent {
            self.give_up(id, out);
        } else if outcome == AttemptOutcome::Overloaded {
            self.enqueue(now, id);
        } else {
            self.route(now, id, out);
        }
    }

    /// Whether another attempt is allowed.
    pub(super) fn may_retry(&self, now: Timestamp, id: RequestId) -> bool {
        let r = &self.requests[&id];
        self.may_retry_given(now, r, r.may_have_run_since)
    }

    /// The same where the first attempt that may have run was sent at `ran`: rule 2, attempt limit, deadline.
    pub(super) fn may_retry_given(&self, now: Timestamp, r: &Request, ran: Option<Timestamp>) -> bool {
        let c = &self.settings.classes[r.class];
        let harmless = match (c.idempotency.unwrap_or(Idempotency::NonIdempotent), ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            // Where a key is known in one zone only, the group's next primary may stand in another.
            (Idempotency::Keyed, Some(_)) if c.key_scope == Some(KeyScope::Zone) => false,
            (Idempotency::Keyed, Some(first)) => {
                now < first + c.key_window.unwrap_or(TimeDelta::ZERO) - POSITION_RESOLUTION
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        let left = (r.attempts.len() as u32) < self.settings.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS);
        harmless
            && left
            && now < r.value_ends_at
            && !r.response_started
            && r.error_outcomes < MAX_ERRORS_PER_REQUEST
    }

    /// An attempt on a connection that fell silent, its member answering others, is called off and repeated.
    pub(super) fn lost_attempt_timer(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: u8,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.lost_attempt_cancelled) else { return };
        let Some(a) = r.attempts.get(usize::from(attempt)).filter(|a| a.open) else { return };
        let usual = TimeDelta::from_micros_f64(self.class_latency_us[r.class]);
        let c = &self.settings.classes[r.class];
        let known = c.idempotency == Some(Idempotency::Idempotent)
            || now < a.sent_at + c.key_window.unwrap_or(TimeDelta::ZERO) / 2;
        let again = known && self.may_retry_given(now + usual, r, r.may_have_run_since.or(Some(a.sent_at)));
        if !again || self.settings.may_cancel != Some(true) {
            return;
        }
        if self.endpoints.get(&a.endpoint).is_some_and(|m| m.answered_attempts >= a.overtaken_at_count) {
            self.requests.entry(id).and_modify(|r| r.lost_attempt_cancelled = true);
            out.push(Action::Cancel { id, attempt });
        } else {
            self.timers.insert((now + usual.max(POSITION_RESOLUTION), Timer::LostAttempt(id, attempt)));
        }
    }

    /// An attempt is overdue, not the first at its member, which has been silent since: it is suspect, and
    /// nothing new goes there. What is out stays: copies and moves add work where all members are slow.
    pub(super) fn suspect_timer(&mut self, id: RequestId, attempt: u8) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.response_started) else { return };
        let Some(a) = r.attempts.get(usize::from(attempt)).filter(|a| a.open) else { return };
        let (sent, Some(m)) = (a.sent_at, self.endpoints.get_mut(&a.endpoint)) else { return };
        let overdue = m.in_flight.values().filter(|s| **s <= sent).count();
        if m.last_response_at < Some(sent) && overdue >= 2 && !m.suspected {
            m.suspected = true;
            self.groups_to_dispatch.insert(m.group);
        }
    }
}
