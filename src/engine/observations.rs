//! This process's own observations of endpoints: what they last reported about themselves, for gossip to peers. Fed by
//! the request engine, read from time to time by the fleet. No I/O.

use crate::routing::{EndpointId, LogPosition, ReplicaStatus, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints report positions in whole milliseconds: a position may appear this much lower than it is.
const POSITION_ROUNDING: TimeDelta = TimeDelta::from_millis(1);

/// Start times of an endpoint that differ by no more are the same start: endpoints report how long they have run, and
/// the time of the report's arrival varies.
pub const START_TIME_TOLERANCE: TimeDelta = TimeDelta::from_secs(2);

/// The utilization that an endpoint reported, summed over several reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UtilizationSamples {
    /// Sum of the reported shares of the endpoint's capacity in use, each from 0 to 1.
    pub sum: f64,
    /// Number of reports in the sum.
    pub count: u32,
}

/// An endpoint's log position went back behind one that it had reported before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRegression {
    /// The position that it reports now.
    pub position: LogPosition,
    /// When the request was sent that was answered with that position.
    pub requested_at: Timestamp,
}

/// What an endpoint last reported, and what was counted since observations were last taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The endpoint's name.
    pub endpoint_name: String,
    /// It reported to be the primary.
    pub primary: bool,
    /// The log position that it reported; [`LogPosition::UNKNOWN`] where it reported none.
    pub position: LogPosition,
    /// When the report arrived.
    pub observed_at: Timestamp,
    /// Attempts that are in flight at the endpoint now.
    pub in_flight: u16,
    /// When the endpoint started: by its own report, by a log regression of a primary, or by the endpoint list.
    pub started_at: Option<Timestamp>,
    /// Attempts that it served since observations were last taken.
    pub served: u32,
    /// The utilization that it reported since observations were last taken.
    pub utilization: UtilizationSamples,
    /// Its log position went back since observations were last taken.
    pub regression: Option<LogRegression>,
}

/// An endpoint's report about itself, as it arrives with an answer.
#[derive(Clone, Copy, Debug)]
pub struct EndpointReport {
    /// Its role and log position.
    pub replica_status: ReplicaStatus,
    /// How long it has run; `None` where it does not say.
    pub uptime: Option<TimeDelta>,
    /// When the request was sent that it answered.
    pub requested_at: Timestamp,
    /// When the answer arrived.
    pub arrived_at: Timestamp,
}

/// The highest log position that an endpoint reported.
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

/// What is known of one endpoint. The counts and the regression are of the time since observations were last taken.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointHistory {
    latest: Option<LatestStatus>,
    /// When it started, by the uptime that it reports.
    started_at: Option<Timestamp>,
    /// When a regression of its log showed that it, a primary, had restarted.
    restarted_at: Option<Timestamp>,
    highest: Option<HighestPosition>,
    served: u32,
    utilization: UtilizationSamples,
    regression: Option<LogRegression>,
}

impl EndpointHistory {
    /// Whether a report shows that the endpoint restarted, by its uptime; if so, the new start is recorded.
    fn record_uptime(&mut self, report: &EndpointReport) -> bool {
        let Some(uptime) = report.uptime.filter(|uptime| *uptime >= TimeDelta::ZERO) else { return false };
        let started_at = report.arrived_at.saturating_sub(uptime);
        if self.started_at.is_some_and(|known| started_at <= known + START_TIME_TOLERANCE) {
            return false;
        }
        self.started_at = Some(started_at);
        true
    }

    /// Whether a report shows that the endpoint's log went back.
    fn record_position(&mut self, report: &EndpointReport) -> bool {
        let EndpointReport { replica_status, requested_at, arrived_at, .. } = *report;
        let position = replica_status.position;
        if !position.is_known() {
            return false;
        }
        // Answers overtake each other: only the answer to a request that was sent after the higher position had
        // arrived shows that the log went back.
        let went_back = self.highest.is_some_and(|highest| {
            highest.arrived_at < requested_at && position + POSITION_ROUNDING < highest.position
        });
        if went_back {
            self.regression = Some(LogRegression { position, requested_at });
            // A replica may have been given an older copy while it ran; a primary has lost what it had.
            if replica_status.primary {
                self.restarted_at = Some(arrived_at);
            }
        }
        if went_back || self.highest.is_none_or(|highest| position >= highest.position) {
            self.highest = Some(HighestPosition { position, arrived_at });
        }
        went_back
    }

    /// The history as an observation; counts and regression start over.
    fn take(&mut self) -> Option<NewObservation> {
        let LatestStatus { replica_status, arrived_at } = self.latest?;
        Some(NewObservation {
            replica_status,
            observed_at: arrived_at,
            started_at: self.started_at.max(self.restarted_at),
            served: std::mem::take(&mut self.served),
            utilization: std::mem::take(&mut self.utilization),
            regression: self.regression.take(),
        })
    }
}

/// What is new of one endpoint since observations were last taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewObservation {
    /// The last role and position that it reported.
    pub replica_status: ReplicaStatus,
    /// See [`Observation::observed_at`].
    pub observed_at: Timestamp,
    /// When the endpoint started, by its own report or a log regression of a primary.
    pub started_at: Option<Timestamp>,
    /// See [`Observation::served`].
    pub served: u32,
    /// See [`Observation::utilization`].
    pub utilization: UtilizationSamples,
    /// See [`Observation::regression`].
    pub regression: Option<LogRegression>,
}

/// The observations of all endpoints. Reports are recorded only once observations have been taken for the first time:
/// without a fleet nobody reads them.
#[derive(Debug, Default)]
pub struct Observations {
    recording: bool,
    histories: BTreeMap<EndpointId, EndpointHistory>,
    /// An endpoint restarted or its log went back since [`Observations::take_urgent`] was last called.
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
        let EndpointReport { replica_status, arrived_at, .. } = report;
        history.latest = Some(LatestStatus { replica_status, arrived_at });
        let restarted = history.record_uptime(&report);
        let went_back = history.record_position(&report);
        self.urgent |= restarted || went_back;
        self.updated.insert(endpoint);
    }

    /// Whether observations should be taken at once, since an endpoint restarted or its log went back; true once for
    /// each such event.
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

    /// Adds a report of which share of its capacity an endpoint has in use.
    pub fn record_utilization(&mut self, endpoint: EndpointId, utilization: f64) {
        if !self.recording {
            return;
        }
        if let Some(history) = self.histories.get_mut(&endpoint) {
            history.utilization.sum += utilization.clamp(0.0, 1.0);
            history.utilization.count += 1;
        }
    }

    /// Records a position that an endpoint reported to a peer, or to this process before its start.
    pub fn record_external_position(
        &mut self,
        endpoint: EndpointId,
        position: LogPosition,
        observed_at: Timestamp,
    ) {
        let history = self.histories.entry(endpoint).or_default();
        let is_higher = history.highest.is_none_or(|highest| position > highest.position);
        if position.is_known() && is_higher && history.regression.is_none() {
            history.highest = Some(HighestPosition { position, arrived_at: observed_at });
        }
    }

    /// When an endpoint last reported to this process.
    pub fn last_report_at(&self, endpoint: EndpointId) -> Option<Timestamp> {
        let latest = self.histories.get(&endpoint)?.latest?;
        Some(latest.arrived_at)
    }

    /// Forgets the endpoints for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.histories.retain(|endpoint, _| keep(*endpoint));
        self.updated.retain(|endpoint| keep(*endpoint));
    }

    /// Takes the observations of all endpoints that reported since the last call. The first call starts recording.
    pub fn take(&mut self) -> Vec<(EndpointId, NewObservation)> {
        self.recording = true;
        let mut taken = Vec::new();
        for endpoint in std::mem::take(&mut self.updated) {
            if let Some(new) = self.histories.get_mut(&endpoint).and_then(EndpointHistory::take) {
                taken.push((endpoint, new));
            }
        }
        taken
    }
}

#[cfg(test)]
mod tests;
