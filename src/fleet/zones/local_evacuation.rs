//! What one peer does for itself: it evacuates a zone that it cannot reach, while others may reach it or the fleet has
//! not decided yet. A committed weight of the zone takes its place.

use super::detector::ZoneReport;
use super::evacuation::FAILURE_MEMORY;
use super::outcomes::{MIN_ATTEMPTS, ZoneOutcomes};
use super::policy::EvacuationBackoff;
use crate::ids::ZoneId;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, ZoneWeight};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// One zone's evacuation by this peer.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    until: Timestamp,
    /// How often the zone was evacuated.
    count: u8,
}

/// The zones that this peer evacuates for itself.
#[derive(Clone, Debug, Default)]
pub struct LocalEvacuation {
    backoff: EvacuationBackoff,
    evacuations: BTreeMap<ZoneId, Evacuation>,
}

impl LocalEvacuation {
    /// No zone is evacuated.
    pub fn new(backoff: EvacuationBackoff) -> LocalEvacuation {
        LocalEvacuation { backoff, evacuations: BTreeMap::new() }
    }

    /// Whether a zone is evacuated now.
    pub fn is_evacuated(&self, now: Timestamp, zone: ZoneId) -> bool {
        self.evacuations.get(&zone).is_some_and(|evacuation| now < evacuation.until)
    }

    /// The zones that are evacuated now.
    pub fn evacuated(&self, now: Timestamp) -> impl Iterator<Item = ZoneId> {
        let current = self.evacuations.iter().filter(move |(_, evacuation)| now < evacuation.until);
        current.map(|(zone, _)| *zone)
    }

    /// Evacuates the zones that are lost by this peer's own report, and returns them. At least one zone that works
    /// always stays.
    pub fn update(
        &mut self,
        now: Timestamp,
        own_report: &ZoneReport,
        committed: &BTreeMap<ZoneId, ZoneWeight>,
    ) -> BTreeSet<ZoneId> {
        let has_full_weight =
            |zone: &ZoneId| committed.get(zone).is_none_or(|weight| weight.permille == FULL_WEIGHT_PERMILLE);
        self.evacuations
            .retain(|zone, evacuation| now - evacuation.until < FAILURE_MEMORY && has_full_weight(zone));
        let works =
            |zone: ZoneId, outcomes: &ZoneOutcomes| outcomes.is_healthy() && !self.is_evacuated(now, zone);
        if !own_report.iter().any(|(zone, outcomes)| works(*zone, outcomes)) {
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

/// Whether a zone is lost by this peer's report alone: it has to have seen more of the zone than where the reports of
/// others say the same.
fn is_lost_to_this_peer(outcomes: &ZoneOutcomes) -> bool {
    let half_of_zone_failed = u32::from(outcomes.endpoints_failed) * 2 >= u32::from(outcomes.endpoints_total);
    outcomes.finished() >= MIN_ATTEMPTS && outcomes.is_lost() && half_of_zone_failed
}
