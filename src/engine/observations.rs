//! What hosts last told of themselves, for whoever passes it on. Fed by the owner, read now and then. No I/O.

use crate::routing::{EndpointId, LogPosition, ReplicaStatus, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Positions are told in whole milliseconds.
const ROUNDING: TimeDelta = TimeDelta::from_millis(1);

/// Starts of a host that differ by no more are one: hosts tell how long they run, each time a little differently.
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

/// What is known of a host, since it was last read or, of `top`, ever.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointHistory {
    replica_status: Option<(ReplicaStatus, Timestamp)>,
    up: Option<Timestamp>,
    served: u32,
    utilization: UtilizationSamples,
    regression: Option<LogRegression>,
    /// The greatest position that it told, and when that had come.
    top: Option<(LogPosition, Timestamp)>,
    /// It began anew, as its position shows: it was the primary and went back.
    anew: Option<Timestamp>,
}

/// What one host told since the last time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewObservation {
    /// The last mark, with when it came.
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

/// What is new since it was last read. Off until somebody reads it.
#[derive(Debug, Default)]
pub struct Observations {
    on: bool,
    all: BTreeMap<EndpointId, EndpointHistory>,
    urgent: bool,
    new: BTreeSet<EndpointId>,
}

impl Observations {
    /// A host has told something, in answer to a question that went out at `sent`. `up`: how long it has run, if it
    /// says so.
    pub fn note(
        &mut self,
        endpoint: EndpointId,
        replica_status: Option<ReplicaStatus>,
        up: Option<TimeDelta>,
        sent: Timestamp,
        at: Timestamp,
    ) {
        let Some(replica_status) = replica_status.filter(|_| self.on) else { return };
        let told = self.all.entry(endpoint).or_default();
        told.replica_status = Some((replica_status, at));
        let started = up.filter(|up| *up >= TimeDelta::ZERO).map(|up| at.saturating_sub(up));
        if started > told.up.map(|known| known + START_TIME_TOLERANCE) {
            self.urgent = true;
            told.up = started;
        }
        self.new.insert(endpoint);
        if !replica_status.position.is_known() {
            return;
        }
        // Answers overtake one another: only one that was asked for after a greater position had come shows that
        // the host went back.
        let went_back =
            told.top.is_some_and(|(top, came)| came < sent && replica_status.position + ROUNDING < top);
        if went_back {
            told.regression = Some(LogRegression { position: replica_status.position, requested_at: sent });
            self.urgent = true;
            // A replica may have been given an older copy while it ran; a primary has lost what it had.
            told.anew = if replica_status.primary { Some(at) } else { told.anew };
        }
        if went_back || told.top.is_none_or(|(top, _)| replica_status.position >= top) {
            told.top = Some((replica_status.position, at));
        }
    }

    /// Whether something is new that must not wait until it is read: a host has begun anew. Once.
    pub fn is_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// A host has served something.
    pub fn served(&mut self, endpoint: EndpointId) {
        if self.on
            && let Some(told) = self.all.get_mut(&endpoint)
        {
            told.served += 1;
        }
    }

    /// A host has said which part of its capacity is in use.
    pub fn used(&mut self, endpoint: EndpointId, util: f64) {
        if self.on
            && let Some(told) = self.all.get_mut(&endpoint)
        {
            told.utilization.sum += util.clamp(0.0, 1.0);
            told.utilization.count += 1;
        }
    }

    /// What was known of a host's position before, or by others: when it had come there.
    pub fn known(&mut self, endpoint: EndpointId, position: LogPosition, came: Timestamp) {
        let told = self.all.entry(endpoint).or_default();
        if position.is_known() && told.top.is_none_or(|(top, _)| position > top) && told.regression.is_none()
        {
            told.top = Some((position, came));
        }
    }

    /// When a host was last heard here.
    pub fn heard(&self, endpoint: EndpointId) -> Option<Timestamp> {
        self.all.get(&endpoint).and_then(|told| told.replica_status).map(|(_, at)| at)
    }

    /// Forgets hosts that are gone.
    pub fn retain(&mut self, stays: impl Fn(EndpointId) -> bool) {
        self.all.retain(|endpoint, _| stays(*endpoint));
        self.new.retain(|endpoint| stays(*endpoint));
    }

    /// What was told since the last time.
    pub fn take(&mut self) -> Vec<(EndpointId, NewObservation)> {
        self.on = true;
        let new = std::mem::take(&mut self.new);
        let all = &mut self.all;
        let one = |endpoint: EndpointId| {
            let told = all.get_mut(&endpoint)?;
            let (replica_status, at) = told.replica_status?;
            let served = std::mem::take(&mut told.served);
            let utilization = std::mem::take(&mut told.utilization);
            let new = NewObservation {
                replica_status,
                observed_at: at,
                started_at: told.up.max(told.anew),
                served,
                utilization,
                regression: told.regression.take(),
            };
            Some((endpoint, new))
        };
        new.into_iter().filter_map(one).collect()
    }
}

#[cfg(test)]
mod tests;
