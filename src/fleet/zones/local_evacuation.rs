//! What one peer does alone.

use super::evacuation::{EvacuationBackoff, FORGIVEN};
use super::outcomes::{ENOUGH, ZoneOutcomes};
use crate::ids::ZoneId;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, ZoneWeight};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What one daemon does alone, for itself: it leaves a zone that it cannot reach, while others may reach it or the
/// fleet has not decided yet. What is agreed on a zone takes its place.
#[derive(Clone, Debug, Default)]
pub struct LocalEvacuation {
    dwell: EvacuationBackoff,
    /// By zone: until when it is left, and times that it was.
    left: BTreeMap<ZoneId, (Timestamp, u8)>,
}

impl LocalEvacuation {
    /// Nothing is left.
    pub fn new(dwell: EvacuationBackoff) -> LocalEvacuation {
        LocalEvacuation { dwell, left: BTreeMap::new() }
    }

    /// Whether this daemon leaves a zone now.
    pub fn is_evacuated(&self, now: Timestamp, zone: ZoneId) -> bool {
        self.left.get(&zone).is_some_and(|(until, _)| now < *until)
    }

    /// EvacuationController that this daemon leaves now.
    pub fn evacuated(&self, now: Timestamp) -> impl Iterator<Item = ZoneId> {
        self.left.iter().filter(move |(_, (until, _))| now < *until).map(|(zone, _)| *zone)
    }

    /// Weighs what this daemon sees itself: the zones that it leaves from now on. Never all that it tries.
    pub fn update(
        &mut self,
        now: Timestamp,
        own: &BTreeMap<ZoneId, ZoneOutcomes>,
        agreed: &BTreeMap<ZoneId, ZoneWeight>,
    ) -> BTreeSet<ZoneId> {
        self.left.retain(|zone, (until, _)| {
            now - *until < FORGIVEN && agreed.get(zone).is_none_or(|s| s.permille == FULL_WEIGHT_PERMILLE)
        });
        // LocalEvacuation it has to see more of the zone than where others see as much.
        let is_lost =
            |s: &ZoneOutcomes| s.ended() >= ENOUGH && s.is_lost() && u32::from(s.gone) * 2 >= u32::from(s.of);
        let works = |zone: &ZoneId, s: &ZoneOutcomes| s.is_sound() && !self.is_evacuated(now, *zone);
        if !own.iter().any(|(zone, s)| works(zone, s)) {
            return BTreeSet::new();
        }
        let whole = |zone: &ZoneId| agreed.get(zone).is_none_or(|s| s.permille == FULL_WEIGHT_PERMILLE);
        let lost =
            own.iter().filter(|(zone, s)| is_lost(s) && whole(zone) && !self.is_evacuated(now, **zone));
        let lost: BTreeSet<ZoneId> = lost.map(|(zone, _)| *zone).collect();
        for zone in &lost {
            let failed = self.left.get(zone).map_or(0, |(_, failed)| *failed);
            self.left.insert(*zone, (now + self.dwell.after(failed), failed.saturating_add(1)));
        }
        lost
    }
}
