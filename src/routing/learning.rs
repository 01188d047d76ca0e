//! What members, reports and peers tell.

use super::router::*;
use super::*;
use crate::primary_hint::PrimaryHint;

impl Router {
    /// The last commit of a session, kept for reads that follow. The older half goes when there are too many;
    /// a session that is no longer known must see whatever one of them has written.
    pub(super) fn remember(&mut self, session: u64, commit: Timestamp) {
        let last = self.sessions.entry(session).or_insert(commit);
        *last = commit.max(*last);
        if self.sessions.len() > SESSIONS {
            let mut commits: Vec<Timestamp> = self.sessions.values().copied().collect();
            let middle = *commits.select_nth_unstable(SESSIONS / 2).1;
            self.sessions.retain(|_, commit| *commit > middle);
            self.forgotten = self.forgotten.max(Some(middle));
        }
    }

    /// Takes in what a member said about itself, by an answer's mark or a load report.
    pub(super) fn learn(
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
            m.position = m.position.max(Some(position - ROUNDING));
            // A report counts where it is newer than the last answer: no member is ahead of the present.
            if m.role.is_none() || Some(position) > m.role_at {
                role = field("x1").map(|v| v >= 0.5);
            }
        }
        if let Some(replica_status) = replica_status {
            (role, m.role_at) = (Some(replica_status.primary), Some(now));
            if replica_status.position.is_known() {
                let position = replica_status.position.commit_time(zero);
                m.lag = (now - position).or_zero();
                m.position = m.position.max(Some(position));
            }
        }
        (m.role, m.probed_at) = (role.or(m.role), None);
        self.dirty.insert(m.group);
        let g = self.groups.entry(m.group).or_default();
        if role == Some(true) && (g.primary != Some(id) || g.holding || g.scout.is_some()) {
            g.primary = Some(id);
            (g.holding, g.scout) = (false, None);
            // One of many drivers meets a group seldom: without a word each would look for itself, and miss.
            if replica_status.is_some() && self.settings.peer_messages == Some(true) {
                out.push(Action::SendToPeers {
                    to: None,
                    bytes: PrimaryHint { endpoint: id, at: now }.write(),
                });
            }
        }
        if replica_status.is_some() {
            self.heard(now, id);
        }
    }

    /// What a peer saw of a primary is a hint: it counts where it is newer than what that member and the
    /// believed primary said themselves, names nobody that the list has not in service, and proves no data.
    pub(super) fn hinted(&mut self, now: Timestamp, hint: PrimaryHint) -> Option<()> {
        let m = self.endpoints.get(&hint.endpoint).filter(|m| m.availability == Availability::Ready)?;
        let (g, at) = (self.groups.get_mut(&m.group)?, Some(hint.at.min(now)));
        let believed = g.primary.and_then(|p| self.endpoints.get(&p)).filter(|p| p.role != Some(false));
        if at > m.role_at && at > believed.and_then(|p| p.role_at) {
            (g.primary, g.holding, g.scout) = (Some(hint.endpoint), false, None);
            self.dirty.insert(m.group);
            self.endpoints.entry(hint.endpoint).and_modify(|m| (m.role, m.role_at) = (None, at));
        }
        Some(())
    }

    pub(super) fn heard(&mut self, now: Timestamp, id: EndpointId) {
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        (m.heard, m.suspect, m.unreachable, m.shunned_until) = (Some(now), false, false, None);
        self.dirty.insert(m.group);
    }

    /// Smooths latencies and moves the member's window: up while answers are well in time, down when late.
    pub(super) fn measure(
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
        let ratio = took.as_micros_f64() / self.latency[class].max(1.0);
        if served || ratio > m.slow {
            m.slow = (m.slow + (ratio.min(20.0) - m.slow) * SMOOTHING).max(0.05);
        }
        if served {
            self.latency[class] += (took.as_micros_f64() - self.latency[class]) * SMOOTHING / 4.0;
            if took < latency_objective / 3 && (m.out.len() + 1) as f64 > m.window / 2.0 {
                m.window += m.window.min(1.0 / m.window);
            }
            self.served.add(now, self.span * 4);
            let each = self.served.per_us(now, self.span * 4) / self.units.max(0.01);
            self.peak = self.peak.max(each);
        }
        if took > latency_objective * 2 / 3 {
            self.shrink(now, endpoint, (!served).then_some(self.latency[class]));
        }
    }
}
