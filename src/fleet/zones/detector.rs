//! The zone failure detector: assesses a zone's health by the reports of all nodes.

use super::health::ZoneHealth;
use super::outcomes::{MIN_ATTEMPTS, ZoneOutcomes};
use crate::ids::{NodeId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A report counts as at most this many attempts: a node that sends many requests, or claims to, must not outvote the
/// others.
const MAX_REPORT_WEIGHT: u32 = 50;
/// A zone counts as lost only with this many failed endpoints in all reports together, or with all of them if it has
/// fewer. The reports are added up because under little traffic each node may have tried another endpoint.
const MIN_FAILED_ENDPOINTS: u32 = 2;

/// One node's report on all zones.
pub type ZoneReport = BTreeMap<ZoneId, ZoneOutcomes>;

/// The reports on zones of all nodes.
pub type ZoneReports = BTreeMap<NodeId, ZoneReport>;

/// One node's outcomes in the assessed zones, added up.
struct WeightedReport {
    node: NodeId,
    outcomes: ZoneOutcomes,
}

impl WeightedReport {
    fn weight(&self) -> u32 {
        self.outcomes.finished().min(MAX_REPORT_WEIGHT)
    }
}

/// Returns the health of a zone by the reports of all nodes.
pub fn assess_zone(zone: ZoneId, reports: &ZoneReports) -> ZoneHealth {
    assess_reports(&relevant_reports(&[zone], reports))
}

/// Returns the health of a zone while it returns to service: it gets few attempts, so the attempts of all nodes are
/// added up.
pub(super) fn assess_returning_zone(zone: ZoneId, reports: &ZoneReports) -> ZoneHealth {
    let mut total = ZoneOutcomes::default();
    for report in relevant_reports(&[zone], reports) {
        total.add(&report.outcomes);
    }
    total.health()
}

/// Whether a region is lost: its zones taken together count as lost by the rules for one zone, and more than one of
/// them was tried.
pub(super) fn is_region_lost(zones: &[ZoneId], reports: &ZoneReports) -> bool {
    let was_tried = |zone: &&ZoneId| {
        reports.values().any(|report| report.get(*zone).is_some_and(|outcomes| outcomes.finished() > 0))
    };
    let tried_zones = zones.iter().filter(was_tried).count();
    tried_zones > 1 && assess_reports(&relevant_reports(zones, reports)) == ZoneHealth::Lost
}

/// The reports on these zones that count: those of nodes that tried them and are not isolated.
fn relevant_reports(zones: &[ZoneId], reports: &ZoneReports) -> Vec<WeightedReport> {
    let mut relevant = Vec::new();
    for (node, report) in reports {
        if is_isolated(report) {
            continue;
        }
        let mut outcomes = ZoneOutcomes::default();
        for zone in zones {
            if let Some(zone_outcomes) = report.get(zone) {
                outcomes.add(zone_outcomes);
            }
        }
        if outcomes.finished() > 0 {
            relevant.push(WeightedReport { node: *node, outcomes });
        }
    }
    relevant
}

/// Whether the node of this report is isolated: it tried more than one zone, and all of them are lost to it. Its report
/// is then no evidence about the zones.
fn is_isolated(report: &ZoneReport) -> bool {
    let tried: Vec<&ZoneOutcomes> = report.values().filter(|outcomes| outcomes.finished() > 0).collect();
    tried.len() > 1 && tried.iter().all(|outcomes| outcomes.is_lost())
}

/// Returns the health by these reports together. A zone is lost if it is lost to most of the nodes that tried it, and
/// these nodes made most of the attempts.
fn assess_reports(reports: &[WeightedReport]) -> ZoneHealth {
    let total_weight: u32 = reports.iter().map(WeightedReport::weight).sum();
    if total_weight < MIN_ATTEMPTS {
        return ZoneHealth::Unknown;
    }
    let lost: Vec<&WeightedReport> = reports.iter().filter(|report| report.outcomes.is_lost()).collect();
    let lost_weight: u32 = lost.iter().map(|report| report.weight()).sum();
    let failed_endpoints: u32 = lost.iter().map(|report| u32::from(report.outcomes.endpoints_failed)).sum();
    let endpoints = reports.iter().map(|report| u32::from(report.outcomes.endpoints_total)).max();
    let failed_endpoints_needed = endpoints.unwrap_or(0).min(MIN_FAILED_ENDPOINTS);
    let most_attempts = lost_weight * 2 > total_weight;
    let most_nodes = lost.len() * 2 > reports.len();
    if most_attempts && most_nodes && failed_endpoints >= failed_endpoints_needed {
        return ZoneHealth::Lost;
    }
    let has_enough_attempts = |report: &&&WeightedReport| report.outcomes.finished() >= MIN_ATTEMPTS;
    let cut_off: BTreeSet<NodeId> =
        lost.iter().filter(has_enough_attempts).map(|report| report.node).collect();
    if !cut_off.is_empty() {
        return ZoneHealth::CutOff(cut_off);
    }
    let late_percent = weighted_average(reports, total_weight, ZoneOutcomes::late_percent);
    let failed_percent = weighted_average(reports, total_weight, ZoneOutcomes::failed_percent);
    ZoneHealth::of_reachable_zone(late_percent, failed_percent)
}

fn weighted_average(reports: &[WeightedReport], total_weight: u32, percent: fn(&ZoneOutcomes) -> u32) -> u32 {
    let sum: u32 = reports.iter().map(|report| percent(&report.outcomes) * report.weight()).sum();
    sum / total_weight
}
