//! What members, reports and peers tell.

use super::router::*;
use super::*;
use crate::primary_hint::PrimaryHint;

impl Router {
    /// The last commit of a session, kept for reads that follow. The older half goes when there are too many;
    /// a session that is no longer known must see whatever one of them has written.
    pub(super) fn remember_commit(&mut self, session: u64, commit: Timestamp) {
        let last = self.session_commits.entry(session).or_insert(commit);
        *last = commit.max(*last);
        if self.session_commits.len() > MAX_SESSIONS {
            let mut commits: Vec<Timestamp> = self.session_commits.values().copied().collect();
            let middle = *commits.select_nth_unstable(MAX_SESSIONS / 2).1;
            self.session_commits.retain(|_, commit| *commit > middle);
            self.evicted_sessions_commit = self.evicted_sessions_commit.max(Some(middle));
        }
    }

    /// Takes in what a member said about itself, by an answer's mark or a load report.
    pub(super) fn learn_endpoint_state(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        replica_status: Option<ReplicaStatus>,
        report: &LoadReport,
        out: &mut Vec<Action>,
    ) {
        let zero = self.settings.zero.unwrap_or(Timestamp::ZERO);
        let field = |name: &str| {
            let n = self.settings.report_fields.iter().position(|f| f == name)?;
            (n < usize::from(report.count)).then(|| report.values[n])
        };
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        let mut role = None;
        if let Some(seconds) = field("x0") {
            let position = zero + TimeDelta::from_micros_f64(seconds * 1e6);
            m.proven_position = m.proven_position.max(Some(position - POSITION_RESOLUTION));
            // A report counts where it is newer than the last answer: no member is ahead of the present.
            if m.role.is_none() || Some(position) > m.role_updated_at {
                role = field("x1").map(|v| v >= 0.5);
            }
        }
        if let Some(replica_status) = replica_status {
            (role, m.role_updated_at) = (Some(replica_status.primary), Some(now));
            if replica_status.position.is_known() {
                let position = replica_status.position.commit_time(zero);
                m.replication_lag = (now - position).or_zero();
                m.proven_position = m.proven_position.max(Some(position));
            }
        }
        (m.role, m.probe_sent_at) = (role.or(m.role), None);
        self.groups_to_dispatch.insert(m.group);
        let g = self.groups.entry(m.group).or_default();
        if role == Some(true)
            && (g.primary != Some(id) || g.awaiting_primary || g.discovery_request.is_some())
        {
            g.primary = Some(id);
            (g.awaiting_primary, g.discovery_request) = (false, None);
            // One of many drivers meets a group seldom: without a word each would look for itself, and miss.
            if replica_status.is_some() && self.settings.peer_messages == Some(true) {
                out.push(Action::SendToPeers {
                    to: None,
                    bytes: PrimaryHint { endpoint: id, at: now }.write(),
                });
            }
        }
        if replica_status.is_some() {
            self.record_response(now, id);
        }
    }

    /// What a peer saw of a primary is a hint: it counts where it is newer than what that member and the
    /// believed primary said themselves, names nobody that the list has not in service, and proves no data.
    pub(super) fn apply_primary_hint(&mut self, now: Timestamp, hint: PrimaryHint) -> Option<()> {
        let m = self.endpoints.get(&hint.endpoint).filter(|m| m.availability == Availability::Ready)?;
        let (g, at) = (self.groups.get_mut(&m.group)?, Some(hint.at.min(now)));
        let believed = g.primary.and_then(|p| self.endpoints.get(&p)).filter(|p| p.role != Some(false));
        if at > m.role_updated_at && at > believed.and_then(|p| p.role_updated_at) {
            (g.primary, g.awaiting_primary, g.discovery_request) = (Some(hint.endpoint), false, None);
            self.groups_to_dispatch.insert(m.group);
            self.endpoints.entry(hint.endpoint).and_modify(|m| (m.role, m.role_updated_at) = (None, at));
        }
        Some(())
    }

    pub(super) fn record_response(&mut self, now: Timestamp, id: EndpointId) {
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        (m.last_response_at, m.suspected, m.unreachable, m.ejected_until) = (Some(now), false, false, None);
        self.groups_to_dispatch.insert(m.group);
    }

    /// Smooths latencies and moves the member's window: up while answers are well in time, down when late.
    pub(super) fn record_latency(
        &mut self,
        now: Timestamp,
        class: usize,
        endpoint: EndpointId,
        took: TimeDelta,
        served: bool,
    ) {
        let latency_objective =
            self.settings.classes[class].latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        let ratio = took.as_micros_f64() / self.class_latency_us[class].max(1.0);
        if served || ratio > m.relative_latency {
            m.relative_latency =
                (m.relative_latency + (ratio.min(20.0) - m.relative_latency) * LATENCY_SMOOTHING).max(0.05);
        }
        if served {
            self.class_latency_us[class] +=
                (took.as_micros_f64() - self.class_latency_us[class]) * LATENCY_SMOOTHING / 4.0;
            if took < latency_objective / 3 && (m.in_flight.len() + 1) as f64 > m.concurrency_limit / 2.0 {
                m.concurrency_limit += m.concurrency_limit.min(1.0 / m.concurrency_limit);
            }
            self.served_rate.add(now, self.overload_window * 4);
            let each =
                self.served_rate.per_us(now, self.overload_window * 4) / self.total_capacity_units.max(0.01);
            self.peak_rate_per_unit = self.peak_rate_per_unit.max(each);
        }
        if took > latency_objective * 2 / 3 {
            self.decrease_concurrency_limit(now, endpoint, (!served).then_some(self.class_latency_us[class]));
        }
    }
}
