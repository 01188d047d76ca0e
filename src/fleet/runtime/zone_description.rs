//! The description of zones for operators, and metrics about zones.

use super::Fleet;
use super::agreed_state::AgreedState;
use crate::fleet::zones::{ZoneHealth, assess_zones};
use crate::store::zone_weights::FULL_WEIGHT_PERMILLE;
use std::fmt::Write;

/// Metrics about zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneMetrics {
    /// Number of zones to which this node sends less than their full share of reads.
    pub reduced_zones: u64,
    /// Number of committed changes of zone weights, over all zones.
    pub committed_moves: u64,
}

impl Fleet {
    /// Describes all zones for operators: one line with weight, reason and health per zone, followed by one line per
    /// member that has reported outcomes for it.
    pub fn describe_zones(&self) -> String {
        let (agreed, zones, now) = (self.agreed(), self.zones.borrow(), self.clock.now());
        let state = agreed.state();
        let reports = zones.state().current_reports(now, agreed.local_id(), state);
        let mut out = String::new();
        for (zone, health) in assess_zones(&reports, state) {
            let name = zones.state().name(zone);
            let weight = state.zone_weight(zone);
            let region = state
                .regions
                .by_zone
                .get(&zone)
                .map_or(String::new(), |region| format!(" of region {region}"));
            let _ = writeln!(
                out,
                "zone {name} gets {} of {FULL_WEIGHT_PERMILLE}, agreed {} by move {}, {:?}, failed {}; looks {}{region}",
                zones.state().effective_permille(now, zone, state),
                weight.permille,
                weight.version,
                weight.reason,
                weight.failed_returns,
                describe_health(&health, &agreed)
            );
            for (id, by_zone) in &reports {
                let Some(outcomes) = by_zone.get(&zone) else { continue };
                let _ = writeln!(
                    out,
                    "zone {name} seen by {} {outcomes} hosts {} gone {} busy {}",
                    agreed.node_name(*id),
                    outcomes.endpoints_tried,
                    outcomes.endpoints_failed,
                    outcomes.utilization_permille
                );
            }
        }
        out
    }

    /// The current metrics about zones.
    pub fn zone_metrics(&self) -> ZoneMetrics {
        let (agreed, zones) = (self.agreed(), self.zones.borrow());
        let reduced = zones.state().reduced_zones(self.clock.now(), agreed.state());
        let committed_moves = agreed.state().zone_weights.values().map(|weight| weight.version).sum();
        ZoneMetrics { reduced_zones: reduced.len() as u64, committed_moves }
    }
}

/// Describes a zone's health for operators.
fn describe_health(health: &ZoneHealth, agreed: &AgreedState) -> String {
    match health {
        ZoneHealth::CutOff(nodes) => {
            let names: Vec<String> = nodes.iter().map(|id| agreed.node_name(*id)).collect();
            format!("cut off from {}", names.join(", "))
        }
        other => other.label().to_string(),
    }
}
