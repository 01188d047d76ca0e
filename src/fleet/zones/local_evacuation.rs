//! Zones that one peer evacuates for itself: it cannot reach them, while others may, or the fleet has not decided yet.
//! A committed weight of the zone replaces the local evacuation.

use super::detector::ZoneReport;
use super::evacuation::FAILURE_RETENTION_TIME;
use super::outcomes::{MIN_ATTEMPTS, ZoneOutcomes};
use super::policy::EvacuationBackoff;
use crate::ids::ZoneId;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, ZoneWeight};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// The evacuation of one zone by this peer.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    until: Timestamp,
    /// How often this peer has evacuated the zone.
    count: u8,
}

/// The zones that this peer evacuates for itself.
#[derive(Clone, Debug, Default)]
pub struct LocalEvacuation {
    backoff: EvacuationBackoff,
    evacuations: BTreeMap<ZoneId, Evacuation>,
}

impl LocalEvacuation {
    /// Returns a state in which no zone is evacuated.
    pub fn new(backoff: EvacuationBackoff) -> LocalEvacuation {
        LocalEvacuation { backoff, evacuations: BTreeMap::new() }
    }

    /// Whether the zone is evacuated at `now`.
    pub fn is_evacuated(&self, now: Timestamp, zone: ZoneId) -> bool {
        self.evacuations.get(&zone).is_some_and(|evacuation| now < evacuation.until)
    }

    /// The zones that are evacuated at `now`.
    pub fn evacuated(&self, now: Timestamp) -> impl Iterator<Item = ZoneId> {
        let current = self.evacuations.iter().filter(move |(_, evacuation)| now < evacuation.until);
        current.map(|(zone, _)| *zone)
    }

    /// Evacuates the zones that are lost by this peer's own report, and returns them. At least one healthy zone always
    /// stays in service.
    pub fn update(
        &mut self,
        now: Timestamp,
        own_report: &ZoneReport,
        committed: &BTreeMap<ZoneId, ZoneWeight>,
    ) -> BTreeSet<ZoneId> {
        let has_full_weight =
            |zone: &ZoneId| committed.get(zone).is_none_or(|weight| weight.permille == FULL_WEIGHT_PERMILLE);
        self.evacuations.retain(|zone, evacuation| {
            now - evacuation.until < FAILURE_RETENTION_TIME && has_full_weight(zone)
        });
        let is_usable =
            |zone: ZoneId, outcomes: &ZoneOutcomes| outcomes.is_healthy() && !self.is_evacuated(now, zone);
        if !own_report.iter().any(|(zone, outcomes)| is_usable(*zone, outcomes)) {
            return BTreeSet::new();
        }
        let mut newly_evacuated = BTreeSet::new();
        for (zone, outcomes) in own_report {
            if is_lost_to_this_peer(outcomes) && has_full_weight(zone) && !self.is_evacuated(now, *zone) {
                newly_evacuated.insert(*zone);
            }
        }
        for zone in &newly_evacuated {
            let count = self.evacuations.get(zone).map_or(0, |evacuation| evacuation.count);
            let until = now + self.backoff.after(count);
            self.evacuations.insert(*zone, Evacuation { until, count: count.saturating_add(1) });
        }
        newly_evacuated
    }
}

/// Whether a zone is lost by this peer's report alone. Since the reports of others do not count here, half of the
/// zone's endpoints must have failed in it.
fn is_lost_to_this_peer(outcomes: &ZoneOutcomes) -> bool {
    let half_of_zone_failed = u32::from(outcomes.endpoints_failed) * 2 >= u32::from(outcomes.endpoints_total);
    outcomes.finished() >= MIN_ATTEMPTS && outcomes.is_lost() && half_of_zone_failed
}
