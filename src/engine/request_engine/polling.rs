//! Health checks: probes of endpoints, which may be shared with peers, and endpoints' reports about themselves.
//!
//! The router requests probes. While several poolers start at once, a poll scheduler decides whether a probe is sent,
//! since a recent observation by a peer may replace it.

use super::RequestEngine;
use super::plausibility::{is_plausible_position, plausible_report, plausible_status, plausible_uptime};
use crate::engine::load_report::{self, PRIMARY_THRESHOLD, ReportField, build_load_report};
use crate::engine::message::{Command, PeerObservation, PollParticipants};
use crate::engine::observations::{EndpointReport, Observation, PositionKind};
use crate::engine::poll_scheduler::{PollDecision, PollScheduler};
use crate::routing::{EndpointId, Event, LoadReport, LogPosition, ReplicaStatus, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// The request whose answer contains an endpoint's report about itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedReport {
    /// When the request was sent.
    pub(super) at: Timestamp,
    /// What the position in the report states.
    pub(super) position_kind: PositionKind,
}

/// The state of the polling of endpoints.
#[derive(Debug, Default)]
pub(super) struct EndpointPolls {
    /// Defers polls that a peer may make; `None` while polls are not shared and each is sent when the router requests
    /// it.
    scheduler: Option<PollScheduler<EndpointId>>,
    /// The last load report of each endpoint, which answers polls that need not be sent. Empty while polls are not
    /// shared.
    latest_reports: BTreeMap<EndpointId, LoadReport>,
}

impl EndpointPolls {
    /// When the next deferred poll is due; `None` if no poll is deferred.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.scheduler.as_ref().and_then(PollScheduler::next_due)
    }

    /// Drops the state of endpoints for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.latest_reports.retain(|endpoint, _| keep(*endpoint));
    }

    /// Drops the last load report of an endpoint, which no longer describes it.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        self.latest_reports.remove(&endpoint);
    }

    /// Records an endpoint's load report, which arrived from the endpoint itself or from a peer.
    fn record_report(&mut self, now: Timestamp, endpoint: EndpointId, report: LoadReport) {
        if report.count == 0 {
            return;
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.record_observation(now, endpoint);
            self.latest_reports.insert(endpoint, report);
        }
    }
}

impl<W: Clone, A> RequestEngine<W, A> {
    /// Sets the poolers that share the polling. With `None`, the sharing ends and all deferred polls are sent.
    pub(super) fn set_poll_participants(
        &mut self,
        now: Timestamp,
        participants: Option<PollParticipants>,
        commands: &mut Vec<Command<W>>,
    ) {
        if let Some(PollParticipants { local, peers }) = participants {
            match &mut self.polls.scheduler {
                Some(scheduler) => scheduler.set_peers(peers),
                unset => *unset = Some(PollScheduler::new(local, peers)),
            }
            return;
        }
        let scheduler = self.polls.scheduler.take();
        for endpoint in scheduler.map(PollScheduler::into_deferred).unwrap_or_default() {
            self.send_probe(endpoint, commands);
        }
        self.polls.latest_reports.clear();
        self.handle_pending_events(now, commands);
    }

    /// Handles the router's request to poll an endpoint.
    pub(super) fn request_poll(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        commands: &mut Vec<Command<W>>,
    ) {
        let name = self.endpoints.get(endpoint).map_or("", |endpoint| endpoint.name.as_str());
        let decision = match &mut self.polls.scheduler {
            Some(scheduler) => scheduler.decide(now, endpoint, name),
            None => PollDecision::Send,
        };
        match decision {
            PollDecision::Send => self.send_probe(endpoint, commands),
            PollDecision::Defer => {}
            PollDecision::AlreadyAnswered => {
                let report = self.polls.latest_reports.get(&endpoint).copied().unwrap_or_default();
                let (ok, took) = (report.count > 0, TimeDelta::ZERO);
                self.pending_events.push_back(Event::ProbeFinished { endpoint, ok, took, report });
            }
        }
    }

    /// Sends the deferred polls that are due.
    pub(super) fn send_due_polls(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        let Some(scheduler) = &mut self.polls.scheduler else { return };
        for endpoint in scheduler.take_due(now) {
            self.send_probe(endpoint, commands);
        }
    }

    /// Sends a probe. If the endpoint is not open, the probe is reported to the router as failed instead.
    fn send_probe(&mut self, endpoint: EndpointId, commands: &mut Vec<Command<W>>) {
        match self.endpoints.get(endpoint).filter(|endpoint| endpoint.open) {
            Some(target) => {
                commands.push(Command::Probe { endpoint, endpoint_name: target.name.clone() });
            }
            None => {
                let (took, report) = (TimeDelta::ZERO, LoadReport::default());
                self.pending_events.push_back(Event::ProbeFinished { endpoint, ok: false, took, report });
            }
        }
    }

    /// Handles the end of a probe that was sent at `sent_at`. `report` is `None` if the probe failed.
    pub(super) fn finish_probe(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        sent_at: Timestamp,
        report: Option<LoadReport>,
        commands: &mut Vec<Command<W>>,
    ) {
        let ok = report.is_some();
        let report = plausible_report(&self.settings, now, report.unwrap_or_default());
        if let Some(replica_status) = self.replica_status(&report) {
            let replica_status = plausible_status(now, Some(replica_status));
            let requested = RequestedReport { at: sent_at, position_kind: PositionKind::Applied };
            self.observe_report(now, endpoint, replica_status, &report, requested);
            self.polls.record_report(now, endpoint, report);
        }
        let took = (now - sent_at).or_zero();
        self.dispatch(now, Event::ProbeFinished { endpoint, ok, took, report }, commands);
    }

    /// The role and log position in a load report; `None` if either is missing.
    fn replica_status(&self, report: &LoadReport) -> Option<ReplicaStatus> {
        let fields = &self.settings.report_fields;
        let position_seconds = load_report::value(fields, report, ReportField::Position)?;
        let role = load_report::value(fields, report, ReportField::Role)?;
        let position = LogPosition::from_micros((position_seconds * 1e6) as i64);
        Some(ReplicaStatus { primary: role >= PRIMARY_THRESHOLD, position })
    }

    /// Records an endpoint's report about itself.
    pub(super) fn observe_report(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        replica_status: Option<ReplicaStatus>,
        report: &LoadReport,
        requested: RequestedReport,
    ) {
        let Some(replica_status) = replica_status else { return };
        let uptime = plausible_uptime(&self.settings, report);
        let RequestedReport { at: requested_at, position_kind } = requested;
        let report = EndpointReport { replica_status, position_kind, uptime, requested_at, arrived_at: now };
        self.observations.record(endpoint, report);
    }

    /// Handles observations made by peers, or by this process before it was restarted. They are ignored if this process
    /// has a newer observation.
    pub(super) fn handle_peer_observations(
        &mut self,
        now: Timestamp,
        observations: Vec<PeerObservation>,
        commands: &mut Vec<Command<W>>,
    ) {
        for observation in observations {
            self.handle_peer_observation(now, observation, commands);
        }
    }

    fn handle_peer_observation(
        &mut self,
        now: Timestamp,
        observation: PeerObservation,
        commands: &mut Vec<Command<W>>,
    ) {
        let PeerObservation { endpoint_name, primary, position, observed_at, replaces_poll } = observation;
        let Some(endpoint) = self.endpoints.find(&endpoint_name) else { return };
        let own_report_at = self.observations.last_report_at(endpoint);
        if own_report_at.is_some_and(|reported_at| reported_at >= observed_at)
            || !is_plausible_position(now, position)
        {
            return;
        }
        self.observations.record_external_position(endpoint, position, observed_at);
        if !replaces_poll || self.polls.scheduler.is_none() {
            return;
        }
        let report = build_load_report(&self.settings.report_fields, |field| {
            if field == ReportField::Position.name() {
                Some(position.as_micros() as f64 / 1e6)
            } else if field == ReportField::Role.name() {
                Some(f64::from(u8::from(primary)))
            } else {
                None
            }
        });
        self.polls.record_report(now, endpoint, report);
        commands.push(Command::SkipInitialProbe(endpoint_name));
        let age = (now - observed_at).or_zero();
        let event = Event::ProbeFinished { endpoint, ok: true, took: age, report };
        self.dispatch(now, event, commands);
    }

    /// Returns the observations of endpoints since the last call, with the endpoints' names and attempts in flight.
    pub(super) fn take_observations(&mut self) -> Vec<Observation> {
        let in_flight = self.in_flight.count_by_endpoint();
        let mut observations = Vec::new();
        for (endpoint, new) in self.observations.take() {
            let Some(listed) = self.endpoints.get(endpoint) else { continue };
            observations.push(Observation {
                endpoint_name: listed.name.clone(),
                primary: new.replica_status.primary,
                position: new.replica_status.position,
                applied: new.applied,
                observed_at: new.observed_at,
                in_flight: in_flight.get(&endpoint).copied().unwrap_or(0),
                started_at: new.started_at.max(listed.started_at),
                served: new.served,
                utilization: new.utilization,
                regression: new.regression,
            });
        }
        observations
    }
}
