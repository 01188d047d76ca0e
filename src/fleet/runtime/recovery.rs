//! The gradual return to service after a start, in phases that depend on the committed state and on the observations
//! of endpoints. The same phases are used for a group whose endpoints have all restarted.

use super::Fleet;
use crate::engine::PollParticipants;
use crate::engine::admission::AdmissionPolicy;
use crate::fleet::recovery::phases::{
    EndpointView, RecoveryDecision, RecoveryPhase, RecoverySchedule, RecoveryView, WAITING_FOR_LIST,
};
use crate::fleet::recovery::restart_detector::{KnownEndpoint, RestartDetector, RestartReport};
use crate::fleet::recovery::slow_start::SlowStartPolicy;
use crate::store::records::HostRecord;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Instant;

/// The progress of this node's return to service.
#[derive(Clone, Debug)]
pub struct RecoveryStatus {
    /// The last phase that was reached.
    pub phase: RecoveryPhase,
    /// The condition for the next phase, as shown to operators; empty if there is none.
    pub waiting_for: String,
    /// When the phase was reached.
    pub phase_since: Instant,
    /// When the recovery began.
    pub started_at: Instant,
    /// When the recovery was complete; `None` before.
    pub done_at: Option<Instant>,
}

impl RecoveryStatus {
    fn starting(waiting_for: &str) -> RecoveryStatus {
        let now = Instant::now();
        RecoveryStatus {
            phase: RecoveryPhase::EndpointList,
            waiting_for: waiting_for.into(),
            phase_since: now,
            started_at: now,
            done_at: None,
        }
    }

    /// Applies a decision, and logs a change of phase.
    fn update(&mut self, decision: &RecoveryDecision) {
        if self.phase == decision.phase && self.waiting_for == decision.waiting_for {
            return;
        }
        let now = Instant::now();
        if self.phase != decision.phase {
            self.log_phase_change(decision, now);
            self.phase_since = now;
        }
        self.phase = decision.phase;
        self.waiting_for = decision.waiting_for.clone();
        if decision.phase == RecoveryPhase::Done {
            self.done_at = Some(now);
        }
    }

    /// Logs the new phase, and the phases that were skipped because peers had already observed what they wait for.
    fn log_phase_change(&self, decision: &RecoveryDecision, now: Instant) {
        let elapsed = (now - self.started_at).as_millis();
        for skipped in [RecoveryPhase::Writes, RecoveryPhase::Reads, RecoveryPhase::Remaining] {
            if self.phase < skipped && skipped < decision.phase {
                log::info!("recovery: phase {skipped}: {elapsed} ms after the start, waiting for nothing");
            }
        }
        let waiting_for = if decision.waiting_for.is_empty() { "nothing" } else { &decision.waiting_for };
        log::info!(
            "recovery: phase {}: {elapsed} ms after the start, waiting for {waiting_for}",
            decision.phase
        );
    }
}

/// Restrictions on the engine while service returns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryRules {
    /// Which requests are admitted; `None` admits all.
    pub admission: Option<AdmissionPolicy>,
    /// The peers with which this node divides the polling of endpoints; `None` if it polls all endpoints itself.
    pub poll_participants: Option<PollParticipants>,
}

/// The state of this node's recovery and its detection of restarted endpoints.
pub(super) struct RecoveryProgress {
    /// `None` before the settings are known and after service has fully returned.
    schedule: Option<RecoverySchedule>,
    status: RecoveryStatus,
    restarts: RestartDetector,
    /// `None` before the settings are known.
    slow_start: Option<SlowStartPolicy>,
}

impl RecoveryProgress {
    /// Creates the state at the start of the process.
    pub(super) fn new() -> RecoveryProgress {
        RecoveryProgress {
            schedule: None,
            status: RecoveryStatus::starting(WAITING_FOR_LIST),
            restarts: RestartDetector::default(),
            slow_start: None,
        }
    }

    /// The capacity of endpoints after their start; `None` before the settings are known.
    pub(super) fn slow_start(&self) -> Option<SlowStartPolicy> {
        self.slow_start
    }

    /// The start time of an endpoint as last reported to the engine; `None` if none was.
    pub(super) fn reported_start(&self, endpoint: &str) -> Option<Timestamp> {
        self.restarts.reported_start(endpoint)
    }

    fn start_schedule(&mut self, slow_start: SlowStartPolicy) {
        self.slow_start = Some(slow_start);
        self.schedule = Some(RecoverySchedule::new(slow_start));
    }
}

impl Fleet {
    /// Whether service has not fully returned yet.
    pub fn is_recovering(&self) -> bool {
        self.recovery.borrow().status.done_at.is_none()
    }

    /// The progress of the return to service.
    pub fn recovery_status(&self) -> RecoveryStatus {
        self.recovery.borrow().status.clone()
    }

    /// Begins the return to service. Called once the settings, which have the slow-start policy, are known.
    pub fn start_recovery(&self, slow_start: SlowStartPolicy) {
        self.recovery.borrow_mut().start_schedule(slow_start);
    }

    /// Advances the recovery and returns the current restrictions on the engine. `has_list` is whether the engine has
    /// the endpoint list.
    pub fn advance_recovery(&self, has_list: bool) -> RecoveryRules {
        if self.recovery.borrow().schedule.is_none() {
            return RecoveryRules::default();
        }
        let view = self.recovery_view(has_list);
        let mut recovery = self.recovery.borrow_mut();
        let Some(schedule) = recovery.schedule.as_mut() else { return RecoveryRules::default() };
        let decision = schedule.advance(&view);
        if decision.phase == RecoveryPhase::Done {
            recovery.schedule = None;
        }
        recovery.status.update(&decision);
        drop(recovery);
        let poll_participants = decision.share_polling.then(|| self.poll_participants());
        RecoveryRules { admission: decision.admission, poll_participants }
    }

    /// This node and the reachable members that are recovering as well. They divide the polling of endpoints.
    fn poll_participants(&self) -> PollParticipants {
        let (agreed, peers) = (self.agreed(), self.peers());
        let mut recovering = self.recently_heard_peers();
        recovering.retain(|id| {
            let is_recovering = peers.status(*id).is_some_and(|status| status.heartbeat.recovering);
            is_recovering && agreed.is_member(*id)
        });
        PollParticipants { local: agreed.local_id(), peers: recovering }
    }

    /// Collects everything on which the phase depends.
    fn recovery_view(&self, has_list: bool) -> RecoveryView {
        let now = self.clock.now();
        let agreed = self.agreed();
        let reachable = self.recently_heard_peers();
        let reachable_members = reachable.iter().filter(|id| agreed.is_member(**id)).count();
        let mut endpoints = Vec::new();
        if has_list {
            for (name, record) in &agreed.state().hosts {
                endpoints.extend(self.endpoint_view(now, name, record));
            }
        }
        RecoveryView {
            now,
            list_received: has_list,
            member_count: agreed.state().members.len().max(1),
            reachable_count: reachable_members + 1,
            endpoints,
        }
    }

    /// The inputs about one endpoint for the recovery schedule; `None` if the endpoint is drained.
    fn endpoint_view(&self, now: Timestamp, name: &str, record: &HostRecord) -> Option<EndpointView> {
        let is_drained = self.agreed().state().is_drained(name) || self.drains().pending().is_draining(name);
        if record.draining || is_drained {
            return None;
        }
        let summary = self.gossip().state().endpoint_summary(now, name);
        let started_at = summary.started_at.max(record.valid_start());
        Some(EndpointView {
            group: record.group,
            is_primary: summary.is_primary,
            primary_claims: summary.primary_claims,
            position_known: summary.position_known,
            age: started_at.map(|started_at| now - started_at),
            warm_capacity_rps: summary.warm_capacity_rps,
            utilization_reported: summary.utilization_reported,
            current_rate_rps: summary.current_rate_rps,
        })
    }

    /// Detects which of these endpoints have restarted, and updates their list entries so that the engine sends them
    /// less while they are cold. If no endpoint of a group is warm, service returns to the group in phases, at the
    /// rate that its endpoints can sustain.
    pub(super) fn detect_restarts<'a>(&self, now: Timestamp, endpoints: impl Iterator<Item = &'a String>) {
        let Some(slow_start) = self.recovery.borrow().slow_start else { return };
        let report = self.record_cold_endpoints(now, slow_start, endpoints);
        if report.group_is_cold && !self.is_recovering() {
            log::warn!(
                "recovery: all endpoints of a group have just started; service returns to it by phases"
            );
            let mut recovery = self.recovery.borrow_mut();
            recovery.start_schedule(slow_start);
            recovery.status = RecoveryStatus::starting("");
        }
        if !report.slow_starting.is_empty() {
            log::info!("fleet: endpoints that have just started: {}", report.slow_starting.join(", "));
            self.mark_endpoints_changed(report.slow_starting);
            self.changes.notify();
        }
    }

    /// Passes the endpoints that are still within their warm-up to the restart detector.
    fn record_cold_endpoints<'a>(
        &self,
        now: Timestamp,
        slow_start: SlowStartPolicy,
        endpoints: impl Iterator<Item = &'a String>,
    ) -> RestartReport {
        let (agreed, gossip) = (self.agreed(), self.gossip());
        let state = gossip.state();
        let mut cold: Vec<String> = Vec::new();
        for endpoint in endpoints {
            if state.started_at(endpoint).is_some_and(|started_at| now - started_at < slow_start.warm_up) {
                cold.push(endpoint.clone());
            }
        }
        let restarts = &mut self.recovery.borrow_mut().restarts;
        if cold.is_empty() && !restarts.has_undecided() {
            return RestartReport::default();
        }
        let mut known: BTreeMap<&str, KnownEndpoint> = BTreeMap::new();
        for (name, record) in &agreed.state().hosts {
            let endpoint = KnownEndpoint {
                group: record.group,
                listed_start: record.valid_start(),
                observed_start: state.started_at(name),
                last_heard: state.last_heard(name),
            };
            known.insert(name, endpoint);
        }
        restarts.check(now, slow_start, cold.into_iter(), &known)
    }
}
