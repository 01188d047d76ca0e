//! What the router learns of endpoints: roles, log positions, latencies, and the last commits of sessions.
//!
//! Sources rank by how direct they are. A response sets an endpoint's role. A load report, a peer's hint or the
//! endpoint list counts only where it is newer than that endpoint's last response, since each of them trails.

use super::endpoints::{EndpointState, Role};
use super::router::{DEFAULT_LATENCY_OBJECTIVE, Router};
use super::{
    Action, Availability, EndpointId, LoadReport, ReplicaStatus, SessionTracking, TimeDelta, Timestamp,
};
use crate::primary_hint::PrimaryHint;

/// Weight of a new sample in an endpoint's smoothed latency: its last ten or so responses count.
const LATENCY_SMOOTHING: f64 = 0.1;
/// A class's smoothed latency moves this many times slower than an endpoint's: all endpoints feed it.
const CLASS_LATENCY_DAMPING: f64 = 4.0;
/// Bounds of an endpoint's latency against its class: one stalled response must not exclude it for long, and a draw's
/// weight must stay finite.
const MAX_RELATIVE_LATENCY_SAMPLE: f64 = 20.0;
const MIN_RELATIVE_LATENCY: f64 = 0.05;
/// Endpoints report positions in whole milliseconds, rounded down.
pub(super) const POSITION_RESOLUTION: TimeDelta = TimeDelta::from_millis(1);
/// Sessions whose last commit is kept one by one: bounds memory to some megabytes.
const MAX_SESSIONS: usize = 50_000;
/// Name of a load report's value for the applied log position, in seconds after `Settings::zero`.
const REPORT_POSITION: &str = "x0";
/// Name of a load report's value for the role: 1 for the primary, 0 for a replica.
const REPORT_ROLE: &str = "x1";
/// From this value of a reported role on, the endpoint is a primary.
const REPORTED_PRIMARY: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1e6;

impl Router {
    /// Takes in what an endpoint reported about itself, by a response or by a load report.
    pub(super) fn learn_endpoint_state(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        status: Option<ReplicaStatus>,
        report: &LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let zero = self.settings.zero.unwrap_or(Timestamp::ZERO);
        let reported_position = self.report_value(report, REPORT_POSITION);
        let reported_role = self.report_value(report, REPORT_ROLE);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let mut told_role = None;
        if let Some(seconds) = reported_position {
            let position = zero + TimeDelta::from_micros_f64(seconds * MICROS_PER_SECOND);
            told_role = endpoint.apply_report(position, reported_role.map(role_from_report));
        }
        if let Some(status) = status {
            told_role = Some(endpoint.apply_status(now, status, zero));
        }
        endpoint.role = told_role.or(endpoint.role);
        endpoint.probe_sent_at = None;
        self.groups_to_dispatch.insert(endpoint.group);
        let group = self.groups.entry(endpoint.group).or_default();
        if told_role == Some(Role::Primary) && !group.is_settled_on(id) {
            group.set_primary(id);
            // One of many poolers seldom sends to a given group: without hints each would search by misses of its own.
            if status.is_some() && self.settings.peer_messages == Some(true) {
                let hint = PrimaryHint { endpoint: id, at: now };
                actions.push(Action::SendToPeers { to: None, bytes: hint.write() });
            }
        }
        if status.is_some() {
            self.record_response(now, id);
        }
    }

    /// The value of `report` that the settings name `name`.
    fn report_value(&self, report: &LoadReport, name: &str) -> Option<f64> {
        let index = self.settings.report_fields.iter().position(|field| field == name)?;
        (index < usize::from(report.count)).then(|| report.values[index])
    }

    /// Messages of peers are untrusted; other kinds than a primary hint are ignored.
    pub(super) fn receive_peer_message(&mut self, now: Timestamp, bytes: &[u8]) {
        if let Some(hint) = PrimaryHint::read(bytes) {
            self.apply_primary_hint(now, hint);
        }
    }

    /// A peer saw a response of a primary. It counts where it is newer than what that endpoint and the believed
    /// primary responded to this pooler, and where the endpoint is in service. It proves no log position.
    fn apply_primary_hint(&mut self, now: Timestamp, hint: PrimaryHint) {
        let Some(endpoint) = self.endpoints.get(&hint.endpoint) else { return };
        if endpoint.availability != Availability::Ready {
            return;
        }
        let Some(group) = self.groups.get_mut(&endpoint.group) else { return };
        let seen_at = Some(hint.at.min(now));
        let believed = group.primary.and_then(|primary| self.endpoints.get(&primary));
        let believed_told_at = match believed {
            Some(believed) if believed.role != Some(Role::Replica) => believed.role_updated_at,
            _ => None,
        };
        if seen_at <= endpoint.role_updated_at || seen_at <= believed_told_at {
            return;
        }
        group.set_primary(hint.endpoint);
        self.groups_to_dispatch.insert(endpoint.group);
        if let Some(endpoint) = self.endpoints.get_mut(&hint.endpoint) {
            endpoint.role = None;
            endpoint.role_updated_at = seen_at;
        }
    }

    /// An endpoint responded: it is reachable and responsive.
    pub(super) fn record_response(&mut self, now: Timestamp, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.last_response_at = Some(now);
        endpoint.suspected = false;
        endpoint.unreachable = false;
        endpoint.ejected_until = None;
        self.groups_to_dispatch.insert(endpoint.group);
    }

    /// Takes in how long an attempt of `class` took: smoothed latencies and the endpoint's concurrency limit.
    ///
    /// The latency of an attempt that was not served says only that the endpoint is at least as slow as that.
    pub(super) fn record_latency(
        &mut self,
        now: Timestamp,
        class: usize,
        id: EndpointId,
        took: TimeDelta,
        served: bool,
    ) {
        let objective = self.settings.classes[class].latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let sample = took.as_micros_f64() / self.class_latency_us[class].max(1.0);
        if served || sample > endpoint.relative_latency {
            let step =
                (sample.min(MAX_RELATIVE_LATENCY_SAMPLE) - endpoint.relative_latency) * LATENCY_SMOOTHING;
            endpoint.relative_latency = (endpoint.relative_latency + step).max(MIN_RELATIVE_LATENCY);
        }
        if served {
            let error_us = took.as_micros_f64() - self.class_latency_us[class];
            self.class_latency_us[class] += error_us * LATENCY_SMOOTHING / CLASS_LATENCY_DAMPING;
            endpoint.increase_concurrency_limit(took, objective);
            self.record_served(now);
        }
        if took > objective * 2 / 3 {
            let unserved_latency_us = (!served).then_some(self.class_latency_us[class]);
            self.decrease_concurrency_limit(now, id, unserved_latency_us);
        }
    }

    /// Keeps the commit of a session's write for the reads that follow, where the settings want that.
    pub(super) fn remember_commit(&mut self, session: u64, status: ReplicaStatus) {
        if self.settings.session_tracking != Some(SessionTracking::Remembered) {
            return;
        }
        let commit = status.position.commit_time(self.settings.zero.unwrap_or(Timestamp::ZERO));
        let last_commit = self.session_commits.entry(session).or_insert(commit);
        *last_commit = commit.max(*last_commit);
        if self.session_commits.len() > MAX_SESSIONS {
            self.evict_old_sessions();
        }
    }

    /// Evicts the sessions with the older half of commits. An evicted session's reads must reflect all that any
    /// of them has written.
    fn evict_old_sessions(&mut self) {
        let mut commits: Vec<Timestamp> = self.session_commits.values().copied().collect();
        let (_, median, _) = commits.select_nth_unstable(MAX_SESSIONS / 2);
        let median = *median;
        self.session_commits.retain(|_, commit| *commit > median);
        self.evicted_sessions_commit = self.evicted_sessions_commit.max(Some(median));
    }
}

impl EndpointState {
    /// Takes in a reported position; returns the reported role where it is newer than the last response.
    fn apply_report(&mut self, position: Timestamp, role: Option<Role>) -> Option<Role> {
        self.proven_position = self.proven_position.max(Some(position - POSITION_RESOLUTION));
        // No position is ahead of the present, so a report with a later one is newer than the last response.
        if self.role.is_none() || Some(position) > self.role_updated_at { role } else { None }
    }

    /// Takes in what a response told; returns the role.
    fn apply_status(&mut self, now: Timestamp, status: ReplicaStatus, zero: Timestamp) -> Role {
        self.role_updated_at = Some(now);
        if status.position.is_known() {
            let position = status.position.commit_time(zero);
            self.replication_lag = (now - position).or_zero();
            self.proven_position = self.proven_position.max(Some(position));
        }
        Role::from_status(status)
    }
}

fn role_from_report(value: f64) -> Role {
    if value >= REPORTED_PRIMARY { Role::Primary } else { Role::Replica }
}
