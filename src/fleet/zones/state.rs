//! One peer's state of the zones: its own report, those of its peers and the committed weights, and how its endpoint
//! list is derived from them.
//!
//! Reports go to all peers, so that the next leader has the same information as this one. On the list, the endpoints of
//! a zone get reads according to the zone's weight, and none if it is evacuated. The primary of a group stays on the
//! list in any zone: only it can take writes, and the router detects by its own attempts whether it does.

use super::capacity::{UsualLoad, ZoneLoad};
use super::detector::{ZoneReport, ZoneReports, assess_zone};
use super::evacuation::{EvacuationController, FIRST_RETURN_PERMILLE, ZoneMove};
use super::health::ZoneHealth;
use super::local_evacuation::LocalEvacuation;
use super::outcomes::ZoneOutcomes;
use super::policy::{EvacuationPolicy, ZoneCommand, ZoneCommandError};
use crate::engine::endpoints::EndpointRecord;
use crate::engine::outcome_window::{OutcomeCounts, WINDOW_LENGTH};
use crate::ids::{GroupId, NodeId, ZoneId};
use crate::routing::Availability;
use crate::store::state_machine::ClusterState;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A peer's report is used for this long: peers send one several times a second while any attempt fails or is late.
const REPORT_TTL: TimeDelta = TimeDelta::from_secs(1);
/// List weight of a primary in an evacuated zone: it stays on the list for writes, and the router gives it no reads.
const PRIMARY_ONLY_WEIGHT: f64 = 0.01;

/// The last report of one peer.
#[derive(Debug)]
struct PeerReport {
    report: ZoneReport,
    received_at: Timestamp,
}

/// Reasons for an endpoint to stay on the list although its zone is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointPlacement {
    /// The endpoint is, or may be, the primary of its group.
    pub may_be_primary: bool,
    /// The endpoint's group has no endpoints in other zones, so it keeps all of them.
    pub group_confined_to_zone: bool,
}

/// One peer's state of the zones: reports, usual loads, the weights in its endpoint list, and local evacuations.
#[derive(Debug)]
pub struct ZoneState {
    policy: EvacuationPolicy,
    own_report: ZoneReport,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    controller: EvacuationController,
    local_evacuation: LocalEvacuation,
    usual_loads: BTreeMap<ZoneId, UsualLoad>,
    /// The weights below the full one at the last call of [`ZoneState::take_changed_zones`].
    listed_weights: BTreeMap<ZoneId, u16>,
}

impl ZoneState {
    /// Returns a state without reports.
    pub fn new(policy: EvacuationPolicy) -> ZoneState {
        ZoneState {
            own_report: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            controller: EvacuationController::new(policy.backoff),
            local_evacuation: LocalEvacuation::new(policy.backoff),
            usual_loads: BTreeMap::new(),
            listed_weights: BTreeMap::new(),
            policy,
        }
    }

    /// The name of a zone, or its id if it has no name.
    pub fn name(&self, zone: ZoneId) -> String {
        self.policy.zone_names.get(usize::from(zone.0)).cloned().unwrap_or_else(|| zone.to_string())
    }

    /// The zone with this name.
    pub fn find(&self, name: &str) -> Option<ZoneId> {
        let index = self.policy.zone_names.iter().position(|known| known == name)?;
        u8::try_from(index).ok().map(ZoneId)
    }

    /// Records the recent outcomes of this peer's attempts, by endpoint name. Returns its report on zones if it should
    /// be sent to the peers at once: an attempt failed or was late in this report or the one before, or a zone is below
    /// its full weight.
    pub fn record_outcomes(
        &mut self,
        outcomes: &BTreeMap<String, OutcomeCounts>,
        state: &ClusterState,
    ) -> Option<ZoneReport> {
        let mut by_zone: BTreeMap<ZoneId, Vec<&OutcomeCounts>> = BTreeMap::new();
        for (endpoint, counts) in outcomes {
            if let Some(host) = state.hosts.get(endpoint) {
                by_zone.entry(host.zone).or_default().push(counts);
            }
        }
        let mut report = ZoneReport::new();
        for (zone, counts) in by_zone {
            let endpoints_total = state.hosts.values().filter(|host| host.zone == zone).count();
            report.insert(zone, ZoneOutcomes::new(counts.into_iter(), endpoints_total));
        }
        let has_problems = |zone: &ZoneOutcomes| zone.unanswered + zone.connect_failed + zone.late > 0;
        let is_urgent = report.values().chain(self.own_report.values()).any(has_problems)
            || state.zone_weights.values().any(|weight| weight.permille < FULL_WEIGHT_PERMILLE);
        self.own_report = report;
        is_urgent.then(|| self.own_report.clone())
    }

    /// This peer's own last report.
    pub fn own_report(&self) -> &ZoneReport {
        &self.own_report
    }

    /// Records the report of another peer.
    pub fn record_report(&mut self, now: Timestamp, peer: NodeId, report: ZoneReport) {
        self.peer_reports.insert(peer, PeerReport { report, received_at: now });
    }

    /// The reports in use: this peer's own, and recent ones of members.
    pub fn current_reports(&self, now: Timestamp, local_node: NodeId, state: &ClusterState) -> ZoneReports {
        let mut reports = ZoneReports::new();
        for (peer, known) in &self.peer_reports {
            if now - known.received_at < REPORT_TTL && state.members.contains_key(peer) {
                reports.insert(*peer, known.report.clone());
            }
        }
        reports.insert(local_node, self.own_report.clone());
        reports
    }

    /// Returns the moves that are due, as decided by the leader. `capacity_share` returns the fraction of its capacity
    /// that a zone has by the age of its endpoints.
    pub fn next_moves(
        &mut self,
        now: Timestamp,
        local_node: NodeId,
        state: &ClusterState,
        capacity_share: impl Fn(ZoneId) -> f64,
    ) -> Vec<ZoneMove> {
        self.peer_reports.retain(|peer, _| state.members.contains_key(peer));
        let zones = populated_zones(state);
        let weights: BTreeMap<ZoneId, ZoneWeight> =
            zones.iter().map(|zone| (*zone, state.zone_weight(*zone))).collect();
        let reports = self.current_reports(now, local_node, state);
        if weights.values().all(|weight| weight.permille == FULL_WEIGHT_PERMILLE) {
            self.measure_usual_loads(&zones, &reports);
        }
        if !self.policy.automatic {
            return Vec::new();
        }
        let loads: BTreeMap<ZoneId, ZoneLoad> =
            zones.iter().map(|zone| (*zone, self.load(*zone, capacity_share(*zone)))).collect();
        self.controller.next_moves(now, &weights, |zone| state.zones_in_region(zone), &reports, &loads)
    }

    /// Measures the usual load of zones, while all of them have their full weight.
    fn measure_usual_loads(&mut self, zones: &BTreeSet<ZoneId>, reports: &ZoneReports) {
        for zone in zones {
            let mut answers = 0.0;
            let mut utilization_sum = 0.0;
            let mut utilization_count = 0usize;
            for outcomes in reports.values().filter_map(|report| report.get(zone)) {
                answers += f64::from(outcomes.on_time) + f64::from(outcomes.late);
                if outcomes.utilization_permille > 0 {
                    utilization_sum += f64::from(outcomes.utilization_permille) / 1000.0;
                    utilization_count += 1;
                }
            }
            let utilization =
                if utilization_count == 0 { 0.0 } else { utilization_sum / utilization_count as f64 };
            let reads_rps = answers * 1e6 / WINDOW_LENGTH.as_micros_f64();
            let usual = self.usual_loads.entry(*zone).or_insert(UsualLoad::new(reads_rps, utilization));
            usual.update(reads_rps, utilization);
        }
    }

    fn load(&self, zone: ZoneId, capacity_share: f64) -> ZoneLoad {
        let usual = self.usual_loads.get(&zone);
        usual.map_or(ZoneLoad::default(), |usual| usual.at_capacity_share(capacity_share))
    }

    /// Evacuates the zones that are lost to this peer alone, and returns those that are newly evacuated.
    pub fn update_local_evacuation(&mut self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        if !self.policy.automatic {
            return BTreeSet::new();
        }
        self.local_evacuation.update(now, &self.own_report, &state.zone_weights)
    }

    /// The share of its usual reads that a zone gets from this peer, in thousandths.
    pub fn effective_permille(&self, now: Timestamp, zone: ZoneId, state: &ClusterState) -> u16 {
        let committed = state.zone_weight(zone).permille;
        let is_evacuated = self.local_evacuation.is_evacuated(now, zone);
        if committed == FULL_WEIGHT_PERMILLE && is_evacuated { 0 } else { committed }
    }

    /// The zones that do not get all of their usual reads from this peer.
    pub fn reduced_zones(&self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        let mut zones: BTreeSet<ZoneId> = self.local_evacuation.evacuated(now).collect();
        for (zone, weight) in &state.zone_weights {
            if weight.permille < FULL_WEIGHT_PERMILLE {
                zones.insert(*zone);
            }
        }
        zones
    }

    /// The zones whose overdue responses are not awaited: evacuated ones and, while another zone is healthy, unhealthy
    /// ones.
    pub fn abandoned_zones(&self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        let mut zones = self.reduced_zones(now, state);
        zones.retain(|zone| self.effective_permille(now, *zone, state) == 0);
        if self.own_report.values().any(ZoneOutcomes::is_healthy) {
            for (zone, outcomes) in &self.own_report {
                if outcomes.is_unhealthy() {
                    zones.insert(*zone);
                }
            }
        }
        zones
    }

    /// Returns the zones whose effective weight has changed since the last call.
    pub fn take_changed_zones(&mut self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        let mut weights = BTreeMap::new();
        for zone in self.reduced_zones(now, state) {
            weights.insert(zone, self.effective_permille(now, zone, state));
        }
        // A zone without an entry has its full weight.
        let weight_in = |weights: &BTreeMap<ZoneId, u16>, zone: &ZoneId| {
            weights.get(zone).copied().unwrap_or(FULL_WEIGHT_PERMILLE)
        };
        let mut changed = BTreeSet::new();
        for zone in weights.keys().chain(self.listed_weights.keys()) {
            if weight_in(&weights, zone) != weight_in(&self.listed_weights, zone) {
                changed.insert(*zone);
            }
        }
        self.listed_weights = weights;
        changed
    }

    /// Returns an endpoint of the committed list as this node's router has to see it. In a zone of weight 0, an
    /// endpoint that cannot be the primary is listed as draining, although no drain of it is in force. Groups that are
    /// confined to the zone are exempt.
    pub fn apply_weight(
        &self,
        now: Timestamp,
        listed: EndpointRecord,
        state: &ClusterState,
        placement: EndpointPlacement,
    ) -> EndpointRecord {
        let permille = self.effective_permille(now, listed.zone, state);
        if permille == FULL_WEIGHT_PERMILLE || placement.group_confined_to_zone {
            return listed;
        }
        let weight = listed.weight * f64::from(permille) / f64::from(FULL_WEIGHT_PERMILLE);
        let is_ready = listed.availability == Availability::Ready;
        let is_drained = is_ready && permille == 0 && !placement.may_be_primary;
        let availability = if is_drained { Availability::Draining } else { listed.availability };
        EndpointRecord { weight: weight.max(PRIMARY_ONLY_WEIGHT), availability, ..listed }
    }

    /// Returns the weight of a zone after an operator's command.
    ///
    /// # Errors
    /// [`ZoneCommandError::LastZone`] if the command would evacuate the last zone in service.
    pub fn weight_for_command(
        &self,
        command: ZoneCommand,
        zone: ZoneId,
        state: &ClusterState,
    ) -> Result<ZoneWeight, ZoneCommandError> {
        let weight = state.zone_weight(zone);
        let without_failures = ZoneWeight { failed_returns: 0, ..weight };
        let next = match command {
            ZoneCommand::Evacuate => {
                let is_in_service = |other: ZoneId| state.zone_weight(other).permille > 0;
                let is_alternative = |other: &ZoneId| *other != zone && is_in_service(*other);
                if !populated_zones(state).iter().any(is_alternative) {
                    return Err(ZoneCommandError::LastZone);
                }
                weight.next(0, WeightReason::Operator)
            }
            ZoneCommand::Hold => weight.next(weight.permille, WeightReason::Operator),
            ZoneCommand::ReturnNow => without_failures.next(FULL_WEIGHT_PERMILLE, WeightReason::Returns),
            ZoneCommand::Return if weight.permille == FULL_WEIGHT_PERMILLE => {
                weight.next(FULL_WEIGHT_PERMILLE, WeightReason::Returns)
            }
            ZoneCommand::Return => {
                let permille = weight.permille.max(FIRST_RETURN_PERMILLE);
                without_failures.next(permille, WeightReason::Returns)
            }
        };
        Ok(next)
    }
}

/// Returns the health of each zone that has endpoints, by these reports.
pub fn assess_zones(reports: &ZoneReports, state: &ClusterState) -> BTreeMap<ZoneId, ZoneHealth> {
    populated_zones(state).into_iter().map(|zone| (zone, assess_zone(zone, reports))).collect()
}

/// The zones that have endpoints.
pub fn populated_zones(state: &ClusterState) -> BTreeSet<ZoneId> {
    state.hosts.values().map(|host| host.zone).collect()
}

/// The groups whose endpoints are all in this zone.
pub fn groups_confined_to(zone: ZoneId, state: &ClusterState) -> BTreeSet<GroupId> {
    let mut inside = BTreeSet::new();
    let mut outside = BTreeSet::new();
    for host in state.hosts.values() {
        if host.zone == zone {
            inside.insert(host.group);
        } else {
            outside.insert(host.group);
        }
    }
    &inside - &outside
}

#[cfg(test)]
mod tests;
