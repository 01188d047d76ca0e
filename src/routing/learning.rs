//! The router's data about endpoints: roles, log positions and latencies.
//!
//! A role in a response always sets the endpoint's role. Other sources may be out of date: a load report or a peer's
//! hint counts only if it is newer than the last information on the role, and the primary named by the endpoint list
//! only if that endpoint has not reported a role lately (see `endpoints`).

use super::endpoints::{EndpointState, Role};
use super::router::{DEFAULT_LATENCY_OBJECTIVE, Router};
use super::{Action, Availability, EndpointId, LoadReport, LogPosition, ReplicaStatus, TimeDelta, Timestamp};
use crate::primary_hint::PrimaryHint;

/// Weight of a new sample in an endpoint's smoothed latency, so that about its last ten responses determine it.
const LATENCY_SMOOTHING: f64 = 0.1;
/// The smoothed latency of a class adapts this many times slower than that of an endpoint, since it gets samples from
/// all endpoints.
const CLASS_LATENCY_DAMPING: f64 = 4.0;
/// Bounds of an endpoint's relative latency: one stalled response must not exclude the endpoint from reads for long,
/// and the weight of an endpoint must stay finite.
const MAX_RELATIVE_LATENCY_SAMPLE: f64 = 20.0;
const MIN_RELATIVE_LATENCY: f64 = 0.05;
/// Load report field for the applied log position, in seconds after `Settings::position_epoch`.
const REPORT_POSITION: &str = "x0";
/// Load report field for the role: 1 for the primary, 0 for a replica.
const REPORT_ROLE: &str = "x1";
/// Lowest reported role value that denotes the primary.
const REPORTED_PRIMARY: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1e6;

/// What an endpoint reported about itself in the response to an attempt or a probe.
pub(super) struct EndpointReport {
    pub(super) endpoint: EndpointId,
    /// When the attempt or the probe was sent.
    pub(super) requested_at: Timestamp,
    /// The role and position in the response; `None` for a probe, or if the response contained neither.
    pub(super) status: Option<ReplicaStatus>,
    pub(super) load: LoadReport,
}

impl Router {
    /// Applies the role and position that an endpoint reported in a response or in a load report. Those of a group that
    /// the endpoint has left are ignored.
    pub(super) fn update_endpoint_state(
        &mut self,
        now: Timestamp,
        reported: &EndpointReport,
        actions: &mut Vec<Action>,
    ) {
        let EndpointReport { endpoint: id, requested_at, status, .. } = *reported;
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        if endpoint.is_about_present_group(requested_at) {
            self.apply_endpoint_report(now, reported, actions);
        }
        if status.is_some() {
            self.record_response(now, id);
        }
    }

    fn apply_endpoint_report(
        &mut self,
        now: Timestamp,
        reported: &EndpointReport,
        actions: &mut Vec<Action>,
    ) {
        let EndpointReport { endpoint: id, status, ref load, .. } = *reported;
        let position_epoch = self.settings.position_epoch.unwrap_or(Timestamp::ZERO);
        let reported_position = self.report_value(load, REPORT_POSITION);
        let reported_role = self.report_value(load, REPORT_ROLE);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let mut new_role = None;
        if let Some(seconds) = reported_position {
            let position = position_epoch + TimeDelta::from_micros_f64(seconds * MICROS_PER_SECOND);
            new_role = endpoint.apply_report(position, reported_role.map(role_from_report));
        }
        if let Some(status) = status {
            new_role = Some(endpoint.apply_status(now, status, position_epoch));
        }
        endpoint.role = new_role.or(endpoint.role);
        endpoint.probe_sent_at = None;
        self.groups_to_dispatch.insert(endpoint.group);
        let group = self.groups.entry(endpoint.group).or_default();
        if new_role == Some(Role::Primary) && !group.is_settled_on(id) {
            group.set_primary(id);
            // In a large tier, each pooler rarely sends to a given group. Without hints, each of them would have to
            // find the new primary by misdirected attempts of its own.
            if status.is_some() && self.settings.peer_messages == Some(true) {
                let hint = PrimaryHint { endpoint: id, at: now };
                actions.push(Action::SendToPeers { to: None, bytes: hint.encode() });
            }
        }
    }

    /// The value of the load report field `name`; `None` if the settings list no such field or the report lacks it.
    fn report_value(&self, report: &LoadReport, name: &str) -> Option<f64> {
        let index = self.settings.report_fields.iter().position(|field| field == name)?;
        (index < usize::from(report.count)).then(|| report.values[index])
    }

    /// Handles a message from a peer, which is untrusted. Any message that is not a primary hint is ignored.
    pub(super) fn receive_peer_message(&mut self, now: Timestamp, bytes: &[u8]) {
        if let Some(hint) = PrimaryHint::decode(bytes) {
            self.apply_primary_hint(now, hint);
        }
    }

    /// Applies a peer's hint that an endpoint responded as the primary. The hint is used only if the endpoint is in
    /// service, and if the hint is newer than the endpoint's move to its group, than the last information on the
    /// endpoint's role and, unless that is a replica by its own report, on the believed primary's role. A hint proves no
    /// log position.
    fn apply_primary_hint(&mut self, now: Timestamp, hint: PrimaryHint) {
        let Some(endpoint) = self.endpoints.get(&hint.endpoint) else { return };
        if endpoint.availability != Availability::Ready {
            return;
        }
        let Some(group) = self.groups.get_mut(&endpoint.group) else { return };
        let seen_at = hint.at.min(now);
        if !endpoint.is_about_present_group(seen_at) {
            return;
        }
        let seen_at = Some(seen_at);
        let believed = group.primary.and_then(|primary| self.endpoints.get(&primary));
        let believed_role_updated_at = match believed {
            Some(believed) if believed.role != Some(Role::Replica) => believed.role_updated_at,
            _ => None,
        };
        if seen_at <= endpoint.role_updated_at || seen_at <= believed_role_updated_at {
            return;
        }
        group.set_primary(hint.endpoint);
        self.groups_to_dispatch.insert(endpoint.group);
        if let Some(endpoint) = self.endpoints.get_mut(&hint.endpoint) {
            endpoint.role = None;
            endpoint.role_updated_at = seen_at;
        }
    }

    /// Records that an endpoint responded, which ends suspicion and ejection.
    pub(super) fn record_response(&mut self, now: Timestamp, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.last_response_at = Some(now);
        endpoint.suspected = false;
        endpoint.unreachable = false;
        endpoint.ejected_until = None;
        self.groups_to_dispatch.insert(endpoint.group);
    }

    /// Updates the smoothed latencies and the endpoint's concurrency limit by the latency of an attempt of `class`.
    ///
    /// For an attempt that was not served, `took` is only a lower bound of the latency.
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
            let change =
                (sample.min(MAX_RELATIVE_LATENCY_SAMPLE) - endpoint.relative_latency) * LATENCY_SMOOTHING;
            endpoint.relative_latency = (endpoint.relative_latency + change).max(MIN_RELATIVE_LATENCY);
        }
        if served {
            let difference_us = took.as_micros_f64() - self.class_latency_us[class];
            self.class_latency_us[class] += difference_us * LATENCY_SMOOTHING / CLASS_LATENCY_DAMPING;
            endpoint.increase_concurrency_limit(took, objective);
            self.record_served(now);
        }
        if took > objective * 2 / 3 {
            let unserved_latency_us = (!served).then_some(self.class_latency_us[class]);
            self.decrease_concurrency_limit(now, id, unserved_latency_us);
        }
    }
}

impl EndpointState {
    /// Applies a position from a load report. Returns the reported role if the endpoint's role is unknown, or if the
    /// report is newer than the last information on it.
    fn apply_report(&mut self, position: Timestamp, role: Option<Role>) -> Option<Role> {
        self.proven_position = self.proven_position.max(Some(position - LogPosition::RESOLUTION));
        // A position is never ahead of the clock, so a position later than the last response proves a newer report.
        if self.role.is_none() || Some(position) > self.role_updated_at { role } else { None }
    }

    /// Applies the role and position from a response, and returns the role.
    fn apply_status(&mut self, now: Timestamp, status: ReplicaStatus, position_epoch: Timestamp) -> Role {
        self.role_updated_at = Some(now);
        if status.position.is_known() {
            let position = status.position.commit_time(position_epoch);
            self.replication_lag = (now - position).or_zero();
            self.proven_position = self.proven_position.max(Some(position));
        }
        Role::from_status(status)
    }
}

fn role_from_report(value: f64) -> Role {
    if value >= REPORTED_PRIMARY { Role::Primary } else { Role::Replica }
}
