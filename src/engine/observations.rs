//! This process's own observations of endpoints: what they last reported about themselves. The request engine records
//! them, and the fleet reads them periodically and gossips them to peers. No I/O.

use crate::routing::{EndpointId, LogPosition, ReplicaStatus, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Start times of an endpoint that differ by at most this much belong to the same start, since endpoints may round
/// their uptime and their clocks may drift.
pub const START_TIME_TOLERANCE: TimeDelta = TimeDelta::from_secs(2);

/// The sum of the utilization values that an endpoint reported, from which an average can be computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UtilizationSamples {
    /// Sum of the reported values, each from 0 to 1.
    pub sum: f64,
    /// Number of values in the sum.
    pub count: u32,
}

/// An endpoint's log position went back: it is lower than one that the endpoint reported before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRegression {
    /// The lower position, which the endpoint reports now.
    pub position: LogPosition,
    /// The higher position, which the endpoint reported before.
    pub previous: LogPosition,
    /// A time by which the endpoint had restarted before that: when it started by its uptime, if that was after the
    /// higher position had arrived, or else when the request was sent.
    pub restarted_by: Timestamp,
    /// When the request that was answered with this position was sent.
    pub requested_at: Timestamp,
}

/// The last report of an endpoint, and the counts since observations were last taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The endpoint's name.
    pub endpoint_name: String,
    /// Whether the endpoint reported that it is the primary.
    pub primary: bool,
    /// The log position that the endpoint has reached at least; [`LogPosition::UNKNOWN`] if it reported none.
    pub position: LogPosition,
    /// How far the endpoint's log reached according to its last answer that stated this; `None` if there was none.
    pub applied: Option<AppliedPosition>,
    /// When the report arrived.
    pub observed_at: Timestamp,
    /// Number of attempts that are in flight at the endpoint.
    pub in_flight: u16,
    /// When the endpoint last started, according to its own reports, a log regression of a primary, or the endpoint
    /// list; `None` if unknown.
    pub started_at: Option<Timestamp>,
    /// Number of attempts that the endpoint served since observations were last taken.
    pub served: u32,
    /// The utilization values that the endpoint reported since observations were last taken.
    pub utilization: UtilizationSamples,
    /// The latest log regression since observations were last taken; `None` if there was none.
    pub regression: Option<LogRegression>,
}

/// What the position in an endpoint's report states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionKind {
    /// How far the endpoint has applied the log.
    Applied,
    /// The commit of the update that was answered. If the endpoint had executed the update before and recognized its
    /// key, that is an old commit, and the log reaches further.
    Commit,
}

/// An endpoint's report about itself, which arrives with an answer.
#[derive(Clone, Copy, Debug)]
pub struct EndpointReport {
    /// The endpoint's role and log position.
    pub replica_status: ReplicaStatus,
    /// What the position in `replica_status` states.
    pub position_kind: PositionKind,
    /// How long the endpoint has been running; `None` if it reports none.
    pub uptime: Option<TimeDelta>,
    /// When the answered request was sent.
    pub requested_at: Timestamp,
    /// When the answer arrived.
    pub arrived_at: Timestamp,
}

/// The highest log position that an endpoint reported, and when that report arrived.
#[derive(Clone, Copy, Debug)]
struct HighestPosition {
    position: LogPosition,
    arrived_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct LatestStatus {
    replica_status: ReplicaStatus,
    arrived_at: Timestamp,
}

/// When an endpoint started, as far as a reported uptime shows it. The endpoint stated its uptime after the request was
/// sent and before the answer was read, which may have waited.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    earliest: Timestamp,
    latest: Timestamp,
}

impl StartTime {
    fn from_uptime(uptime: TimeDelta, report: &EndpointReport) -> StartTime {
        StartTime {
            earliest: report.requested_at.saturating_sub(uptime),
            latest: report.arrived_at.saturating_sub(uptime),
        }
    }

    /// Whether this is another, later start than `known`.
    fn is_after(self, known: StartTime) -> bool {
        self.earliest > known.latest + START_TIME_TOLERANCE
    }
}

/// How far an endpoint's log reached when it answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedPosition {
    /// The position up to which the endpoint had applied the log.
    pub position: LogPosition,
    /// When the request that was answered with this position was sent.
    pub requested_at: Timestamp,
}

/// The reports of one endpoint, as far as they are kept. `served`, `utilization` and `regression` cover the time since
/// observations were last taken.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointHistory {
    /// Reports in answer to requests sent up to this time are ignored; `None` if none are.
    ignored_until: Option<Timestamp>,
    latest: Option<LatestStatus>,
    applied: Option<AppliedPosition>,
    /// When the endpoint last started, computed from the uptime that it reports.
    start: Option<StartTime>,
    /// When a log regression showed that the endpoint, then a primary, had restarted.
    restarted_at: Option<Timestamp>,
    highest: Option<HighestPosition>,
    served: u32,
    utilization: UtilizationSamples,
    regression: Option<LogRegression>,
}

impl EndpointHistory {
    /// Computes the endpoint's start time from the uptime in a report and records a new start; returns whether there
    /// was one.
    fn record_uptime(&mut self, report: &EndpointReport) -> bool {
        let Some(uptime) = report.uptime.filter(|uptime| *uptime >= TimeDelta::ZERO) else { return false };
        let start = StartTime::from_uptime(uptime, report);
        if self.start.is_some_and(|known| !start.is_after(known)) {
            return false;
        }
        self.start = Some(start);
        true
    }

    /// Records the role in a report and how far the log reaches at least. A commit may be older than what the endpoint
    /// reported before.
    fn record_status(&mut self, report: &EndpointReport) {
        let mut replica_status = report.replica_status;
        if let (PositionKind::Commit, Some(latest)) = (report.position_kind, self.latest) {
            replica_status.position = replica_status.position.max(latest.replica_status.position);
        }
        self.latest = Some(LatestStatus { replica_status, arrived_at: report.arrived_at });
    }

    /// Records the position in a report; returns whether it shows that the endpoint's log went back.
    fn record_position(&mut self, report: &EndpointReport) -> bool {
        let EndpointReport { replica_status, position_kind, requested_at, arrived_at, .. } = *report;
        let position = replica_status.position;
        if !position.is_known() {
            return false;
        }
        let is_applied = position_kind == PositionKind::Applied;
        if is_applied {
            self.applied = Some(AppliedPosition { position, requested_at });
        }
        // Answers may arrive out of order. Only the answer to a request that was sent after the higher position had
        // arrived proves that the log went back.
        let lacking = self
            .highest
            .filter(|highest| highest.arrived_at < requested_at && position.lacks(highest.position))
            .filter(|_| is_applied);
        let went_back = lacking.is_some();
        if let Some(highest) = lacking {
            self.regression = Some(LogRegression {
                position,
                previous: highest.position,
                restarted_by: self.restart_between(highest.arrived_at, requested_at),
                requested_at,
            });
            // A replica may have been reset to an older copy without a restart, but a primary must have lost its data
            // in a restart.
            if replica_status.primary {
                self.restarted_at = Some(arrived_at);
            }
        }
        if went_back || self.highest.is_none_or(|highest| position >= highest.position) {
            self.highest = Some(HighestPosition { position, arrived_at });
        }
        went_back
    }

    /// When the endpoint started by its uptime, if that was between these times, or else the later of them.
    fn restart_between(&self, earlier: Timestamp, later: Timestamp) -> Timestamp {
        let started_at = self.start.map(|start| start.earliest);
        started_at.filter(|started_at| (earlier..=later).contains(started_at)).unwrap_or(later)
    }

    /// Returns the history as an observation and resets its counts and regression; `None` if the endpoint has not
    /// reported yet.
    fn take_observation(&mut self) -> Option<NewObservation> {
        let LatestStatus { replica_status, arrived_at } = self.latest?;
        Some(NewObservation {
            replica_status,
            applied: self.applied,
            observed_at: arrived_at,
            started_at: self.start.map(|start| start.earliest).max(self.restarted_at),
            served: std::mem::take(&mut self.served),
            utilization: std::mem::take(&mut self.utilization),
            regression: self.regression.take(),
        })
    }
}

/// An [`Observation`] without the fields that the engine adds: the endpoint's name and its attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewObservation {
    /// See [`Observation::primary`] and [`Observation::position`].
    pub replica_status: ReplicaStatus,
    /// See [`Observation::applied`].
    pub applied: Option<AppliedPosition>,
    /// See [`Observation::observed_at`].
    pub observed_at: Timestamp,
    /// When the endpoint last started, according to its own reports or a log regression of a primary; `None` if
    /// unknown.
    pub started_at: Option<Timestamp>,
    /// See [`Observation::served`].
    pub served: u32,
    /// See [`Observation::utilization`].
    pub utilization: UtilizationSamples,
    /// See [`Observation::regression`].
    pub regression: Option<LogRegression>,
}

/// The observations of all endpoints. Reports are recorded only after observations have been taken for the first time,
/// since nothing reads them in a pooler without a fleet.
#[derive(Debug, Default)]
pub struct Observations {
    recording: bool,
    histories: BTreeMap<EndpointId, EndpointHistory>,
    /// Whether an endpoint restarted or its log went back since the last call of [`Observations::take_urgent`].
    urgent: bool,
    /// Endpoints that reported since observations were last taken.
    updated: BTreeSet<EndpointId>,
}

impl Observations {
    /// Records an endpoint's report about itself.
    pub fn record(&mut self, endpoint: EndpointId, report: EndpointReport) {
        if !self.recording {
            return;
        }
        let history = self.histories.entry(endpoint).or_default();
        if Some(report.requested_at) <= history.ignored_until {
            return;
        }
        history.record_status(&report);
        let restarted = history.record_uptime(&report);
        let went_back = history.record_position(&report);
        self.urgent |= restarted || went_back;
        self.updated.insert(endpoint);
    }

    /// Whether observations should be taken at once, because an endpoint restarted or its log went back since the last
    /// call.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Counts an attempt that an endpoint served.
    pub fn record_served(&mut self, endpoint: EndpointId) {
        if !self.recording {
            return;
        }
        if let Some(history) = self.histories.get_mut(&endpoint) {
            history.served += 1;
        }
    }

    /// Records the utilization that an endpoint reported, from 0 to 1.
    pub fn record_utilization(&mut self, endpoint: EndpointId, utilization: f64) {
        if !self.recording {
            return;
        }
        if let Some(history) = self.histories.get_mut(&endpoint) {
            history.utilization.sum += utilization.clamp(0.0, 1.0);
            history.utilization.count += 1;
        }
    }

    /// Records a position that an endpoint reported to a peer, or to this process before it was restarted.
    pub fn record_external_position(
        &mut self,
        endpoint: EndpointId,
        position: LogPosition,
        observed_at: Timestamp,
    ) {
        let history = self.histories.entry(endpoint).or_default();
        if Some(observed_at) <= history.ignored_until {
            return;
        }
        let is_higher = history.highest.is_none_or(|highest| position > highest.position);
        if position.is_known() && is_higher && history.regression.is_none() {
            history.highest = Some(HighestPosition { position, arrived_at: observed_at });
        }
    }

    /// When the last report of an endpoint to this process arrived; `None` if there was none.
    pub fn last_report_at(&self, endpoint: EndpointId) -> Option<Timestamp> {
        let latest = self.histories.get(&endpoint)?.latest?;
        Some(latest.arrived_at)
    }

    /// Discards the reports of an endpoint that the list moved to another group at `now`, except for its start time. Its
    /// positions in the log of its former group could otherwise make its new group's log look as if it went back.
    pub fn restart_history(&mut self, endpoint: EndpointId, now: Timestamp) {
        let history = self.histories.entry(endpoint).or_default();
        *history = EndpointHistory {
            ignored_until: Some(now),
            start: history.start,
            restarted_at: history.restarted_at,
            ..EndpointHistory::default()
        };
        self.updated.remove(&endpoint);
    }

    /// Forgets the endpoints for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.histories.retain(|endpoint, _| keep(*endpoint));
        self.updated.retain(|endpoint| keep(*endpoint));
    }

    /// Returns the observations of all endpoints that reported since the last call, and resets their counts. The first
    /// call starts the recording and returns nothing.
    pub fn take(&mut self) -> Vec<(EndpointId, NewObservation)> {
        self.recording = true;
        let mut taken = Vec::new();
        for endpoint in std::mem::take(&mut self.updated) {
            if let Some(new) = self.histories.get_mut(&endpoint).and_then(EndpointHistory::take_observation) {
                taken.push((endpoint, new));
            }
        }
        taken
    }
}

#[cfg(test)]
mod tests;
