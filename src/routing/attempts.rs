//! The life cycle of a request: arrival, attempts, their outcomes, retries, and overdue attempts.
//!
//! Whether a request may be retried depends on the idempotency of its class: an idempotent request always, a keyed one
//! while the endpoints store its key, any other one only if no earlier attempt can have run.

use super::endpoints::EndpointState;
use super::request::{Attempt, AttemptId, InFlightAttempt, Request, RequestPath, SendTarget};
use super::router::{DEFAULT_LATENCY_OBJECTIVE, Router};
use super::timers::Timer;
use super::{
    Action, AttemptFinished, AttemptOutcome, Class, Consistency, Idempotency, IncomingRequest, KeyScope,
    LogPosition, RequestId, TimeDelta, Timestamp,
};

/// Maximum number of attempts per request, if the settings define none.
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// Number of errors after which a request is given up: a second one shows that the request causes them, not the
/// endpoint.
const MAX_ERRORS_PER_REQUEST: u32 = 2;
/// Consecutive errors or broken connections after which an endpoint is ejected. Fewer may be caused by one request,
/// key or tenant, or by a single connection.
const ERRORS_BEFORE_EJECTION: u32 = 3;
/// Initial ejection time of an endpoint that cannot be connected to: the shortest time in which it may be back.
const CONNECTION_FAILURE_EJECTION: TimeDelta = TimeDelta::from_millis(500);
/// An attempt is considered lost after this multiple of the typical latency, if its endpoint has answered
/// [`LOST_AFTER_OVERTAKEN`] attempts that were sent after it. Later attempts also overtake a long-running one, but
/// rarely that many.
const LOST_AFTER_LATENCIES: f64 = 8.0;
const LOST_AFTER_OVERTAKEN: u64 = 16;
/// Overdue attempts after which a silent endpoint is suspected. A single one may just be long-running.
const OVERDUE_ATTEMPTS_TO_SUSPECT: usize = 2;

impl Router {
    /// Accepts a request from a client and routes it. A request of an unknown class fails at once.
    pub(super) fn receive_request(
        &mut self,
        now: Timestamp,
        incoming: &IncomingRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = incoming.id;
        let Some(class) = self.settings.classes.get(incoming.class) else {
            actions.push(Action::Fail { id });
            return;
        };
        let request = self.new_request(now, incoming, class);
        // The request is checked when it can no longer meet its objective, when it may no longer be queued, and at its
        // deadline.
        let typical_latency = TimeDelta::from_micros_f64(self.class_latency_us[request.class]);
        let first_check_at = (request.objective_at - typical_latency).min(self.queue_until(&request));
        self.schedule(first_check_at.clamp(now, request.deadline), Timer::Request(id));
        self.requests.insert(id, request);
        self.route(now, id, actions);
    }

    fn new_request(&self, now: Timestamp, incoming: &IncomingRequest, class: &Class) -> Request {
        let work_us = incoming.work_hint.unwrap_or(TimeDelta::ZERO).as_micros_f64();
        let work_allowance_us = class.latency_objective_per_work.unwrap_or(0.0) * work_us;
        let latency_objective = class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let objective_at = now + latency_objective + TimeDelta::from_micros_f64(work_allowance_us);
        let deadline = now + incoming.client_timeout.or_zero();
        let late_response_has_value = class.late_priority_weight > Some(0.0);
        Request {
            class: incoming.class,
            consistency: class.consistency,
            path: self.path_for(class.consistency),
            latency_objective,
            group: incoming.group,
            arrived_at: now,
            objective_at,
            value_ends_at: if late_response_has_value { deadline } else { objective_at.min(deadline) },
            deadline,
            required_commit: self.required_commit(now, incoming),
            session: incoming.session,
            attempts: Vec::new(),
            may_have_run_since: None,
            response_started: false,
            queue_position: None,
            waiting_for_probe_since: None,
            error_count: 0,
            lost_attempt_cancelled: false,
        }
    }

    /// The path of a request with this consistency. Strong reads take the write path, which tries endpoints until it
    /// finds the primary, only if a replica would reject them.
    fn path_for(&self, consistency: Option<Consistency>) -> RequestPath {
        match consistency {
            Some(Consistency::Write) => RequestPath::Write,
            Some(Consistency::Strong) | None if self.endpoints_reject_stale_reads() => RequestPath::Write,
            _ => RequestPath::Read,
        }
    }

    /// Sends a request to an endpoint of its path. If none accepts it now, queues it, or gives it up if the queue is
    /// too long.
    pub(super) fn route(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let target = match self.requests[&id].path {
            RequestPath::Write => self.choose_primary(now, id).map(SendTarget::without_expiry),
            RequestPath::Read => self.choose_read_endpoint(now, id, actions),
        };
        match target {
            Some(target) => self.send(now, id, target, actions),
            None if self.queue_is_too_long(now, id) => self.give_up(id, actions),
            None => self.enqueue(now, id),
        }
    }

    /// Sends an attempt of a request to `target` and schedules the checks of the attempt.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        target: SendTarget,
        actions: &mut Vec<Action>,
    ) {
        let SendTarget { endpoint: endpoint_id, fresh_until } = target;
        self.dequeue(id);
        let Some(endpoint) = self.endpoints.get(&endpoint_id) else { return };
        let allowance = self.slow_start_allowance(now, endpoint);
        let Some(request) = self.requests.get(&id) else { return };
        let cost = self.slow_start_cost(request.class);

        let (Some(request), Some(endpoint)) =
            (self.requests.get_mut(&id), self.endpoints.get_mut(&endpoint_id))
        else {
            return;
        };
        let attempt = AttemptId { request: id, number: request.attempts.len() as u8 };
        request.attempts.push(Attempt {
            endpoint: endpoint_id,
            sent_at: now,
            open: true,
            may_have_arrived: true,
            overtaken_at_count: endpoint.answered_attempts
                + endpoint.in_flight.len() as u64
                + LOST_AFTER_OVERTAKEN,
            unserved_at: None,
        });
        let writing_session = request.writing_session();
        endpoint.attempt_sent(attempt, InFlightAttempt { sent_at: now, writing_session });
        endpoint.slow_start_budget = allowance - cost;
        endpoint.slow_start_budget_updated_at = now;
        self.groups.entry(request.group).or_default().send_rate.record(now, self.overload_window);

        let suspect_at = now + request.latency_objective / 2;
        let typical_latency_us = self.class_latency_us[request.class] * endpoint.relative_latency.max(1.0);
        let lost_at = now + TimeDelta::from_micros_f64(typical_latency_us * LOST_AFTER_LATENCIES);
        self.schedule(suspect_at, Timer::SuspectEndpoint(attempt));
        self.schedule(lost_at, Timer::LostAttempt(attempt));
        actions.push(Action::Send { id, endpoint: endpoint_id, stop_at: None, fresh_until });
    }

    /// Handles the end of an attempt. Outcomes for unknown endpoints are ignored; those of finished requests still
    /// update the state of their endpoint and of their session.
    pub(super) fn attempt_finished(
        &mut self,
        now: Timestamp,
        finished: &AttemptFinished,
        actions: &mut Vec<Action>,
    ) {
        let id = finished.id;
        let Some(endpoint) = self.endpoints.get_mut(&finished.endpoint) else { return };
        let attempt = AttemptId { request: id, number: finished.attempt };
        let in_flight = endpoint.attempt_ended(attempt, finished.outcome);
        self.update_endpoint_health(now, finished);
        if finished.outcome == AttemptOutcome::Served
            && let Some(session) = in_flight.and_then(|attempt| attempt.writing_session)
        {
            // The client may have disconnected, but its session continues on other connections.
            self.remember_commit(now, session, finished.replica_status);
        }

        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempt_ended(now, finished.attempt, finished.outcome);
        if finished.request_answered {
            self.finish_request(id, actions);
        } else if !request.has_open_attempt() {
            self.retry_or_give_up(now, id, finished.outcome, actions);
        }
    }

    /// Decides how a request continues after its last open attempt ended with `outcome`.
    fn retry_or_give_up(
        &mut self,
        now: Timestamp,
        id: RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        if !self.may_retry(now, id) || outcome == AttemptOutcome::NotSent {
            self.give_up(id, actions);
        } else if outcome == AttemptOutcome::Overloaded {
            self.enqueue(now, id);
        } else {
            self.route(now, id, actions);
        }
    }

    /// Updates an endpoint's state by the outcome of an attempt: records its latency, or a failure, which may eject it.
    fn update_endpoint_health(&mut self, now: Timestamp, finished: &AttemptFinished) {
        let Some(endpoint) = self.endpoints.get_mut(&finished.endpoint) else { return };
        let request = self.requests.get(&finished.id);
        let class = request.map(|request| request.class);
        let attempt = request.and_then(|request| request.attempt(finished.attempt));
        let overtaken = attempt.is_some_and(|attempt| endpoint.has_overtaken(attempt));
        let failed_before = request.is_some_and(|request| request.error_count > 0);
        let error_limit_reached = endpoint.errors_since_success + 1 >= ERRORS_BEFORE_EJECTION;
        match finished.outcome {
            AttemptOutcome::Served => self.record_attempt_latency(now, class, finished),
            // The endpoint answered later attempts, so it is healthy and only this attempt's connection is broken.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if overtaken => {}
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                self.record_attempt_latency(now, class, finished);
            }
            // An earlier attempt ended in an error too, so the request, its key or its tenant causes the errors.
            AttemptOutcome::Error if failed_before => {}
            AttemptOutcome::Error if !error_limit_reached => endpoint.errors_since_success += 1,
            AttemptOutcome::Error | AttemptOutcome::Overloaded => {
                self.eject_for_rejected_work(now, finished, class);
            }
            // One broken connection is weak evidence: if the endpoint is down, the next attempt fails to connect.
            AttemptOutcome::Reset if !error_limit_reached => endpoint.errors_since_success += 1,
            AttemptOutcome::Reset | AttemptOutcome::ConnectFailed => {
                endpoint.unreachable = true;
                self.eject(now, finished.endpoint, CONNECTION_FAILURE_EJECTION);
            }
            AttemptOutcome::NotSent | AttemptOutcome::Misdirected | AttemptOutcome::FreshnessExpired => {}
        }
    }

    fn record_attempt_latency(&mut self, now: Timestamp, class: Option<usize>, finished: &AttemptFinished) {
        if let Some(class) = class {
            let served = finished.outcome == AttemptOutcome::Served;
            self.record_latency(now, class, finished.endpoint, finished.took, served);
        }
    }

    /// Ejects an endpoint that rejected or failed work, for the typical latency of the class: after that it may have
    /// capacity again.
    fn eject_for_rejected_work(&mut self, now: Timestamp, finished: &AttemptFinished, class: Option<usize>) {
        let endpoint = finished.endpoint;
        let typical_latency_us = class.map(|class| self.class_latency_us[class]);
        self.decrease_concurrency_limit(now, endpoint, typical_latency_us);
        let usual = typical_latency_us.map_or(CONNECTION_FAILURE_EJECTION, TimeDelta::from_micros_f64);
        if finished.outcome == AttemptOutcome::Overloaded && self.list_unconfirmed {
            self.eject_while_unconfirmed(now, endpoint, usual);
        } else {
            self.eject(now, endpoint, usual);
        }
    }

    /// Whether another attempt of the request is allowed now.
    pub(super) fn may_retry(&self, now: Timestamp, id: RequestId) -> bool {
        let request = &self.requests[&id];
        self.may_retry_at(now, request, request.may_have_run_since)
    }

    /// Whether another attempt is allowed at `retry_at`, according to the class's idempotency, the maximum number of
    /// attempts and the time left. `may_have_run_since` is when the earliest attempt that may have run was sent.
    fn may_retry_at(
        &self,
        retry_at: Timestamp,
        request: &Request,
        may_have_run_since: Option<Timestamp>,
    ) -> bool {
        let max_attempts = self.settings.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS);
        let repeat_is_safe = match may_have_run_since {
            None => true,
            Some(since) => is_repeat_safe(&self.settings.classes[request.class], retry_at, since),
        };
        repeat_is_safe
            && (request.attempts.len() as u32) < max_attempts
            && retry_at < request.value_ends_at
            && !request.response_started
            && request.error_count < MAX_ERRORS_PER_REQUEST
    }

    /// Cancels an attempt whose connection is silent while its endpoint answers others; the reported outcome then leads
    /// to a retry. If the endpoint has not answered enough later attempts yet, checks again after the typical latency.
    pub(super) fn cancel_lost_attempt(&mut self, now: Timestamp, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id.request) else { return };
        let Some(attempt) = request.attempt(id.number).filter(|attempt| attempt.open) else { return };
        if request.lost_attempt_cancelled || self.settings.may_cancel != Some(true) {
            return;
        }
        let typical_latency = TimeDelta::from_micros_f64(self.class_latency_us[request.class]);
        let class = &self.settings.classes[request.class];
        let half_key_window = class.key_window.unwrap_or(TimeDelta::ZERO) / 2;
        let key_still_valid =
            class.idempotency == Some(Idempotency::Idempotent) || now < attempt.sent_at + half_key_window;
        let may_have_run_since = request.may_have_run_since.or(Some(attempt.sent_at));
        if !key_still_valid || !self.may_retry_at(now + typical_latency, request, may_have_run_since) {
            return;
        }
        let endpoint = self.endpoints.get(&attempt.endpoint);
        if endpoint.is_some_and(|endpoint| endpoint.has_overtaken(attempt)) {
            self.requests.entry(id.request).and_modify(|request| request.lost_attempt_cancelled = true);
            actions.push(Action::Cancel { id: id.request, attempt: id.number });
        } else {
            self.schedule(now + typical_latency.max(LogPosition::RESOLUTION), Timer::LostAttempt(id));
        }
    }

    /// Handles an overdue attempt: suspects its endpoint if other attempts there are overdue too and it has not
    /// responded since this one was sent. A suspected endpoint gets no new attempts while any is in flight. Open
    /// attempts are not sent again elsewhere, because that adds load when all endpoints are slow.
    pub(super) fn suspect_endpoint(&mut self, id: AttemptId) {
        let Some(request) = self.requests.get(&id.request) else { return };
        if request.response_started {
            return;
        }
        let Some(attempt) = request.attempt(id.number).filter(|attempt| attempt.open) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let sent_at = attempt.sent_at;
        let overdue = endpoint.in_flight.values().filter(|other| other.sent_at <= sent_at).count();
        let silent = endpoint.last_response_at < Some(sent_at);
        if silent && overdue >= OVERDUE_ATTEMPTS_TO_SUSPECT && !endpoint.suspected {
            endpoint.suspected = true;
            self.groups_to_dispatch.insert(endpoint.group);
        }
    }
}

impl EndpointState {
    fn attempt_sent(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.last_send_interval = attempt.sent_at - self.last_sent_at;
        self.last_sent_at = attempt.sent_at;
        self.in_flight.insert(id, attempt);
    }

    /// Records the outcome of an attempt and returns the attempt; `None` if it is unknown or had ended before.
    fn attempt_ended(&mut self, id: AttemptId, outcome: AttemptOutcome) -> Option<InFlightAttempt> {
        let attempt = self.in_flight.remove(&id);
        // A rejection as misdirected counts as a success: the endpoint is healthy and knows its role.
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Misdirected) {
            self.consecutive_failures = 0;
            self.errors_since_success = 0;
            self.answered_attempts += 1;
        }
        attempt
    }

    /// Whether the endpoint has answered so many attempts sent after `attempt` that the connection of `attempt` must be
    /// broken.
    fn has_overtaken(&self, attempt: &Attempt) -> bool {
        self.answered_attempts >= attempt.overtaken_at_count
    }
}

impl Request {
    fn attempt_ended(&mut self, now: Timestamp, number: u8, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get_mut(usize::from(number)) else { return };
        attempt.open = false;
        attempt.may_have_arrived =
            !matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::FreshnessExpired);
        // The same request may try an overloaded endpoint again, since its ejection is short, and one whose position was
        // too old, once it has reported a newer one.
        let may_try_again = matches!(outcome, AttemptOutcome::Overloaded | AttemptOutcome::FreshnessExpired);
        attempt.unserved_at = (!may_try_again).then_some(now);
        if outcome.may_have_run() {
            let since = self.may_have_run_since.unwrap_or(attempt.sent_at);
            self.may_have_run_since = Some(since.min(attempt.sent_at));
        }
        if outcome == AttemptOutcome::Error {
            self.error_count += 1;
        }
    }
}

/// Whether a request of `class` may run a second time at `retry_at`, if the first attempt that may have run was sent at
/// `since`.
fn is_repeat_safe(class: &Class, retry_at: Timestamp, since: Timestamp) -> bool {
    match class.idempotency.unwrap_or(Idempotency::NonIdempotent) {
        Idempotency::Idempotent => true,
        // The group's next primary may be in another zone, where the key is unknown.
        Idempotency::Keyed if class.key_scope == Some(KeyScope::Zone) => false,
        Idempotency::Keyed => {
            retry_at < since + class.key_window.unwrap_or(TimeDelta::ZERO) - LogPosition::RESOLUTION
        }
        Idempotency::NonIdempotent => false,
    }
}
