//! The zone failure detector: how a zone looks, by the reports of all nodes.

use super::health::ZoneHealth;
use super::outcomes::{MIN_ATTEMPTS, ZoneOutcomes};
use crate::ids::{NodeId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A report weighs no more than one of this many attempts: a node that sends much, or claims to, must not outvote the
/// others.
const MAX_REPORT_WEIGHT: u32 = 50;
/// A lost zone needs this many failed endpoints in all reports together, or all of them where it has fewer: where
/// little is asked, each node has tried another one of them.
const MIN_FAILED_ENDPOINTS: u32 = 2;

/// What one node reports of all zones.
pub type ZoneReport = BTreeMap<ZoneId, ZoneOutcomes>;

/// The reports of all nodes.
pub type ZoneReports = BTreeMap<NodeId, ZoneReport>;

/// What one node reports of the zones in question, all of them together.
struct WeighedReport {
    node: NodeId,
    outcomes: ZoneOutcomes,
}

impl WeighedReport {
    fn weight(&self) -> u32 {
        self.outcomes.finished().min(MAX_REPORT_WEIGHT)
    }
}

/// How a zone looks, by the reports of all nodes.
pub fn assess_zone(zone: ZoneId, reports: &ZoneReports) -> ZoneHealth {
    weigh(&relevant_reports(&[zone], reports))
}

/// How a zone looks while it returns to service: it gets few attempts, so all nodes' attempts count together.
pub(super) fn assess_returning_zone(zone: ZoneId, reports: &ZoneReports) -> ZoneHealth {
    let mut total = ZoneOutcomes::default();
    for report in relevant_reports(&[zone], reports) {
        total.add(&report.outcomes);
    }
    total.health()
}

/// Whether a region is lost: its zones taken together are lost as one zone would be, and more than one was tried.
pub(super) fn is_region_lost(zones: &[ZoneId], reports: &ZoneReports) -> bool {
    let was_tried = |zone: &&ZoneId| {
        reports.values().any(|report| report.get(*zone).is_some_and(|outcomes| outcomes.finished() > 0))
    };
    let tried_zones = zones.iter().filter(was_tried).count();
    tried_zones > 1 && weigh(&relevant_reports(zones, reports)) == ZoneHealth::Lost
}

/// The reports on these zones that count: of nodes that tried them and are not isolated themselves.
fn relevant_reports(zones: &[ZoneId], reports: &ZoneReports) -> Vec<WeighedReport> {
    let mut relevant = Vec::new();
    for (node, report) in reports {
        if is_isolated(report) {
            continue;
        }
        let mut outcomes = ZoneOutcomes::default();
        for zone in zones {
            if let Some(of_zone) = report.get(zone) {
                outcomes.add(of_zone);
            }
        }
        if outcomes.finished() > 0 {
            relevant.push(WeighedReport { node: *node, outcomes });
        }
    }
    relevant
}

/// Whether a node is itself cut off: it tries more than one zone, and all of them are lost to it. Its report then says
/// nothing about the zones.
fn is_isolated(report: &ZoneReport) -> bool {
    let tried: Vec<&ZoneOutcomes> = report.values().filter(|outcomes| outcomes.finished() > 0).collect();
    tried.len() > 1 && tried.iter().all(|outcomes| outcomes.is_lost())
}

/// The health that these reports show together. A zone is lost where most nodes that tried find no endpoint there, and
/// these have made most of the attempts.
fn weigh(reports: &[WeighedReport]) -> ZoneHealth {
    let total_weight: u32 = reports.iter().map(WeighedReport::weight).sum();
    if total_weight < MIN_ATTEMPTS {
        return ZoneHealth::Unknown;
    }
    let lost: Vec<&WeighedReport> = reports.iter().filter(|report| report.outcomes.is_lost()).collect();
    let lost_weight: u32 = lost.iter().map(|report| report.weight()).sum();
    let failed_endpoints: u32 = lost.iter().map(|report| u32::from(report.outcomes.endpoints_failed)).sum();
    let endpoints = reports.iter().map(|report| u32::from(report.outcomes.endpoints_total)).max();
    let failed_endpoints_needed = endpoints.unwrap_or(0).min(MIN_FAILED_ENDPOINTS);
    let most_attempts = lost_weight * 2 > total_weight;
    let most_nodes = lost.len() * 2 > reports.len();
    if most_attempts && most_nodes && failed_endpoints >= failed_endpoints_needed {
        return ZoneHealth::Lost;
    }
    let has_enough_attempts = |report: &&&WeighedReport| report.outcomes.finished() >= MIN_ATTEMPTS;
    let cut_off: BTreeSet<NodeId> =
        lost.iter().filter(has_enough_attempts).map(|report| report.node).collect();
    if !cut_off.is_empty() {
        return ZoneHealth::CutOff(cut_off);
    }
    let late_percent = weighted_average(reports, total_weight, ZoneOutcomes::late_percent);
    let failed_percent = weighted_average(reports, total_weight, ZoneOutcomes::failed_percent);
    ZoneHealth::of_reachable_zone(late_percent, failed_percent)
}

fn weighted_average(reports: &[WeighedReport], total_weight: u32, percent: fn(&ZoneOutcomes) -> u32) -> u32 {
    let sum: u32 = reports.iter().map(|report| percent(&report.outcomes) * report.weight()).sum();
    sum / total_weight
}
