//! The outcomes of one node's recent attempts in a zone.

use super::health::ZoneHealth;
use crate::engine::outcome_window::OutcomeCounts;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Fewer finished attempts, of all nodes together, are too few to assess a zone.
pub(super) const MIN_ATTEMPTS: u32 = 5;
/// A zone with at least this percentage of failed attempts is lost to the node that made them.
const LOST_PERCENT: u32 = 70;

/// The outcomes of one node's recent attempts in a zone. Field order is part of the message format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOutcomes {
    /// Attempts whose response arrived in time.
    pub on_time: u32,
    /// Attempts whose response arrived late for their class, or is overdue from an endpoint that responds to other
    /// attempts.
    pub late: u32,
    /// Attempts without a response: it is overdue for too long, or the connection broke.
    pub unanswered: u32,
    /// Attempts that failed to connect.
    pub connect_failed: u32,
    /// Number of endpoints that were tried.
    pub endpoints_tried: u16,
    /// Number of tried endpoints that responded to none of the attempts.
    pub endpoints_failed: u16,
    /// Number of endpoints in the zone.
    pub endpoints_total: u16,
    /// Average utilization reported by the endpoints, in thousandths; 0 if none reported it.
    pub utilization_permille: u16,
}

impl ZoneOutcomes {
    /// Sums the outcomes of the tried endpoints of a zone that has `endpoints_total` endpoints.
    pub fn new<'a>(
        endpoints: impl Iterator<Item = &'a OutcomeCounts>,
        endpoints_total: usize,
    ) -> ZoneOutcomes {
        let endpoints_total = endpoints_total.min(usize::from(u16::MAX)) as u16;
        let mut zone = ZoneOutcomes { endpoints_total, ..ZoneOutcomes::default() };
        let mut utilization_sum = 0u32;
        let mut utilization_count = 0u32;
        for endpoint in endpoints {
            if endpoint.total() == 0 {
                continue;
            }
            let answered = endpoint.on_time + endpoint.late;
            zone.add(&ZoneOutcomes {
                on_time: endpoint.on_time,
                late: endpoint.late,
                unanswered: endpoint.unanswered,
                connect_failed: endpoint.connect_failed,
                endpoints_tried: 1,
                endpoints_failed: u16::from(answered == 0),
                ..ZoneOutcomes::default()
            });
            utilization_sum += u32::from(endpoint.utilization_permille);
            utilization_count += u32::from(endpoint.utilization_permille > 0);
        }
        zone.utilization_permille = (utilization_sum / utilization_count.max(1)).min(1000) as u16;
        zone
    }

    /// Adds the attempts of another report. `endpoints_total` and the utilization are not added up, since several
    /// reports describe the same zone: the greater one counts.
    pub(super) fn add(&mut self, other: &ZoneOutcomes) {
        self.on_time = self.on_time.saturating_add(other.on_time);
        self.late = self.late.saturating_add(other.late);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
        self.connect_failed = self.connect_failed.saturating_add(other.connect_failed);
        self.endpoints_tried = self.endpoints_tried.saturating_add(other.endpoints_tried);
        self.endpoints_failed = self.endpoints_failed.saturating_add(other.endpoints_failed);
        self.endpoints_total = self.endpoints_total.max(other.endpoints_total);
        self.utilization_permille = self.utilization_permille.max(other.utilization_permille);
    }

    /// Number of attempts that have finished.
    pub fn finished(&self) -> u32 {
        self.on_time.saturating_add(self.late).saturating_add(self.failed())
    }

    fn failed(&self) -> u32 {
        self.unanswered.saturating_add(self.connect_failed)
    }

    fn percent(&self, part: u32) -> u32 {
        (u64::from(part) * 100 / u64::from(self.finished().max(1))) as u32
    }

    pub(super) fn late_percent(&self) -> u32 {
        self.percent(self.late)
    }

    pub(super) fn failed_percent(&self) -> u32 {
        self.percent(self.failed())
    }

    /// Whether the zone is lost by this report alone: most attempts failed, and at least two thirds of the tried
    /// endpoints did not respond, so that one dead endpoint does not make a zone count as lost.
    pub fn is_lost(&self) -> bool {
        let most_endpoints_failed =
            u32::from(self.endpoints_failed) * 3 >= u32::from(self.endpoints_tried) * 2;
        self.finished() > 0 && self.failed_percent() >= LOST_PERCENT && most_endpoints_failed
    }

    /// Whether there are enough attempts to show that the zone is healthy.
    pub fn is_healthy(&self) -> bool {
        self.finished() >= MIN_ATTEMPTS && self.health() == ZoneHealth::Healthy
    }

    /// Whether there are enough attempts to show that the zone is not healthy: so many fail or are late that waiting
    /// for overdue responses is not worthwhile.
    pub fn is_unhealthy(&self) -> bool {
        self.finished() >= MIN_ATTEMPTS && self.health() != ZoneHealth::Healthy
    }

    /// The zone's health by this report alone.
    pub(super) fn health(&self) -> ZoneHealth {
        if self.finished() == 0 {
            ZoneHealth::Unknown
        } else if self.is_lost() {
            ZoneHealth::Lost
        } else {
            ZoneHealth::of_reachable_zone(self.late_percent(), self.failed_percent())
        }
    }
}

impl fmt::Display for ZoneOutcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ZoneOutcomes { on_time, late, unanswered, connect_failed, .. } = self;
        write!(f, "good {on_time} late {late} silent {unanswered} refused {connect_failed}")
    }
}
