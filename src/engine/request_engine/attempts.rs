//! Attempts: how they are sent and cancelled, and how their outcomes are handled and recorded.

use super::RequestEngine;
use super::plausibility::{plausible_report, plausible_status};
use super::polling::RequestedReport;
use crate::engine::load_report::{self, ReportField};
use crate::engine::message::{AttemptReport, Command, FinalAnswer};
use crate::engine::metrics::RequestOutcome;
use crate::engine::observations::PositionKind;
use crate::engine::outcome_window::{InFlightAttempt, OutcomeCounts};
use crate::routing::{
    AttemptFinished, AttemptOutcome, Class, Consistency, EndpointId, Event, Idempotency, LoadReport,
    ReplicaStatus, RequestId, TimeDelta, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    request: RequestId,
    attempt: u8,
}

/// The attempts that were sent and have not ended. An attempt whose request has ended stays in the table until the
/// attempt itself ends.
#[derive(Debug, Default)]
pub(super) struct InFlightTable(BTreeMap<AttemptId, InFlightAttempt>);

impl InFlightTable {
    pub(super) fn get(&self, request: RequestId, attempt: u8) -> Option<&InFlightAttempt> {
        self.0.get(&AttemptId { request, attempt })
    }

    pub(super) fn contains(&self, request: RequestId, attempt: u8) -> bool {
        self.get(request, attempt).is_some()
    }

    /// Whether any attempt of a request is in flight.
    fn has_attempt_of(&self, request: RequestId) -> bool {
        let first = AttemptId { request, attempt: 0 };
        let last = AttemptId { request, attempt: u8::MAX };
        self.0.range(first..=last).next().is_some()
    }

    /// Number of attempts in flight at each endpoint.
    pub(super) fn count_by_endpoint(&self) -> BTreeMap<EndpointId, u16> {
        let mut counts: BTreeMap<EndpointId, u16> = BTreeMap::new();
        for in_flight in self.0.values() {
            *counts.entry(in_flight.endpoint).or_default() += 1;
        }
        counts
    }

    /// Removes all attempts and returns the commands that cancel them.
    pub(super) fn cancel_all<W>(&mut self) -> impl Iterator<Item = Command<W>> + use<W> {
        let attempts = std::mem::take(&mut self.0).into_keys();
        attempts.map(|AttemptId { request, attempt }| Command::Cancel { id: request, attempt })
    }
}

/// Limits that the router sets on the time of an attempt; see [`crate::routing::Action::Send`].
pub(super) struct SendLimits {
    pub(super) stop_at: Option<Timestamp>,
    pub(super) fresh_until: Option<Timestamp>,
}

impl<W: Clone, A> RequestEngine<W, A> {
    /// Sends an attempt for the router. If it must not be sent, it is reported back to the router as ended.
    pub(super) fn send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        limits: SendLimits,
        endpoint: EndpointId,
        commands: &mut Vec<Command<W>>,
    ) {
        let SendLimits { stop_at, fresh_until } = limits;
        let Some(request) = self.requests.get_mut(id) else {
            log::error!("engine: request {id}: attempt not sent: requested after the final answer");
            return;
        };
        let attempt = request.attempts;
        request.attempts = request.attempts.saturating_add(1);
        if self.in_flight.has_attempt_of(id) {
            log::error!("engine: request {id}: attempt {attempt} not sent: another attempt is in flight");
            self.report_unsent_attempt(id, attempt, endpoint, AttemptOutcome::NotSent);
            return;
        }
        let Some(target) = self.endpoints.get(endpoint) else {
            log::error!("engine: request {id}: attempt {attempt} not sent: its endpoint is not on the list");
            self.report_unsent_attempt(id, attempt, endpoint, AttemptOutcome::ConnectFailed);
            return;
        };
        let class = self.settings.classes.get(request.class);
        commands.push(Command::SendAttempt {
            id,
            attempt,
            endpoint,
            endpoint_name: target.name.clone(),
            work: request.work.clone(),
            deadline: stop_at.map_or(request.deadline, |stop_at| stop_at.min(request.deadline)),
            send_by: request.first_may_have_run_at.and_then(|first| key_expiry(class, first)),
            freshness: request.freshness,
            fresh_until,
        });
        let in_flight = InFlightAttempt { endpoint, class: request.class, sent_at: now };
        self.in_flight.0.insert(AttemptId { request: id, attempt }, in_flight);
    }

    fn report_unsent_attempt(
        &mut self,
        id: RequestId,
        attempt: u8,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
    ) {
        self.pending_events.push_back(Event::AttemptFinished(AttemptFinished {
            id,
            attempt,
            endpoint,
            took: TimeDelta::ZERO,
            outcome,
            request_answered: false,
            replica_status: None,
            report: LoadReport::default(),
        }));
    }

    /// Handles the end of an attempt. If its request has already ended, the answer is dropped.
    pub(super) fn finish_attempt(
        &mut self,
        now: Timestamp,
        report: AttemptReport<A>,
        commands: &mut Vec<Command<W>>,
    ) {
        let AttemptReport { id, attempt, outcome, replica_status, load_report, answer } = report;
        let Some(in_flight) = self.in_flight.0.remove(&AttemptId { request: id, attempt }) else { return };
        let replica_status = plausible_status(now, replica_status);
        let report = plausible_report(&self.settings, now, load_report);
        self.observe_attempt(now, &in_flight, outcome, replica_status, &report);
        let took = now - in_flight.sent_at;
        if let Some(request) = self.requests.get_mut(id) {
            if outcome.may_have_run() {
                request.first_may_have_run_at.get_or_insert(in_flight.sent_at);
            }
            self.admission.record_attempt(now, request.class, request.group, took, outcome);
        }
        let served = outcome == AttemptOutcome::Served;
        if let Some(answer) = answer.filter(|_| served) {
            self.requests.finish(id, FinalAnswer::Served(answer));
        }
        // A streamed answer is counted only now, since one that broke off is not a success.
        let stream_outcome = if served { RequestOutcome::Success } else { RequestOutcome::Error };
        self.requests.finish_stream(id, stream_outcome);
        let event = AttemptFinished {
            id,
            attempt,
            endpoint: in_flight.endpoint,
            took,
            outcome,
            request_answered: !self.requests.is_open(id),
            replica_status,
            report,
        };
        self.dispatch(now, Event::AttemptFinished(event), commands);
    }

    /// Records what the end of an attempt shows about its endpoint.
    fn observe_attempt(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightAttempt,
        outcome: AttemptOutcome,
        replica_status: Option<ReplicaStatus>,
        report: &LoadReport,
    ) {
        let endpoint = in_flight.endpoint;
        let class = self.settings.classes.get(in_flight.class);
        let is_update = class.is_some_and(|class| class.consistency == Some(Consistency::Write));
        let position_kind = if is_update { PositionKind::Commit } else { PositionKind::Applied };
        let requested = RequestedReport { at: in_flight.sent_at, position_kind };
        self.observe_report(now, endpoint, replica_status, report, requested);
        if self.endpoints.get(endpoint).is_some_and(|endpoint| endpoint.open) {
            self.outcome_window.record(now, in_flight, outcome);
            let fields = &self.settings.report_fields;
            if let Some(utilization) = load_report::value(fields, report, ReportField::Utilization) {
                self.outcome_window.record_utilization(endpoint, utilization);
                self.observations.record_utilization(endpoint, utilization);
            }
        }
        if outcome == AttemptOutcome::Served {
            self.observations.record_served(endpoint);
        }
    }

    /// Cancels overdue reads in flight at the named endpoints. The router retries them elsewhere if their class permits
    /// it. Requests that may have written are not cancelled.
    pub(super) fn cancel_overdue_reads(
        &mut self,
        now: Timestamp,
        endpoint_names: &BTreeSet<String>,
        commands: &mut Vec<Command<W>>,
    ) {
        for (&AttemptId { request: id, attempt }, in_flight) in &self.in_flight.0 {
            let class = self.settings.classes.get(in_flight.class);
            let is_read = class.is_some_and(|class| class.idempotency == Some(Idempotency::Idempotent));
            let endpoint = self.endpoints.get(in_flight.endpoint);
            let is_named = endpoint.is_some_and(|endpoint| endpoint_names.contains(&endpoint.name));
            if !is_read || !is_named || !self.requests.is_open(id) {
                continue;
            }
            if self.outcome_window.is_overdue(now, in_flight) {
                commands.push(Command::Cancel { id, attempt });
            }
        }
    }

    /// The recent attempt outcomes of each endpoint, keyed by endpoint name.
    pub(super) fn outcome_counts(&mut self, now: Timestamp) -> BTreeMap<String, OutcomeCounts> {
        let mut named = BTreeMap::new();
        for (endpoint, counts) in self.outcome_window.read(now, self.in_flight.0.values().copied()) {
            if let Some(endpoint) = self.endpoints.get(endpoint) {
                named.insert(endpoint.name.clone(), counts);
            }
        }
        named
    }
}

/// When endpoints discard the idempotency key of a request; an attempt sent after that might run a second time.
/// `first_sent_at` is when the first attempt that may have run was sent. `None` if the class is not keyed.
fn key_expiry(class: Option<&Class>, first_sent_at: Timestamp) -> Option<Timestamp> {
    let class = class.filter(|class| class.idempotency == Some(Idempotency::Keyed))?;
    Some(first_sent_at + class.key_window.unwrap_or(TimeDelta::ZERO))
}
