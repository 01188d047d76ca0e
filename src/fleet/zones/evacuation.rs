//! The next weights of zones, as the leader decides on them.

use super::capacity::ZoneLoad;
use super::detector::{ZoneReports, assess_returning_zone, assess_zone, is_region_lost};
use super::health::ZoneHealth;
use super::policy::EvacuationBackoff;
use crate::ids::ZoneId;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// The weights through which a zone returns. The first is a trickle that shows whether it answers at all.
const RETURN_STEPS_PERMILLE: [u16; 5] = [20, 125, 250, 500, FULL_WEIGHT_PERMILLE];
/// The first weight of a returning zone.
pub const FIRST_RETURN_PERMILLE: u16 = RETURN_STEPS_PERMILLE[0];
/// A weight is kept at least this long: its effect has to show in reports, which cover less time.
pub(super) const MIN_STEP_TIME: TimeDelta = TimeDelta::from_secs(1);
/// Without any attempts there a returning zone takes the next step after this: no answer can come, and the few attempts
/// that do come show more at the next step.
const STEP_TIME_WITHOUT_ATTEMPTS: TimeDelta = TimeDelta::from_micros(3 * MIN_STEP_TIME.as_micros());
/// After this time in service a zone's earlier failures no longer lengthen its backoff.
pub(super) const FAILURE_MEMORY: TimeDelta = TimeDelta::from_secs(120);

/// A new weight for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneMove {
    /// The zone.
    pub zone: ZoneId,
    /// Its next weight.
    pub weight: ZoneWeight,
}

/// The version of a zone's weight, and when this process first saw it.
#[derive(Clone, Copy, Debug)]
struct SeenWeight {
    version: u64,
    seen_at: Timestamp,
}

/// Decides on the weights of zones while this process leads.
#[derive(Clone, Debug, Default)]
pub struct EvacuationController {
    backoff: EvacuationBackoff,
    seen_weights: BTreeMap<ZoneId, SeenWeight>,
}

impl EvacuationController {
    /// A controller that has seen no weight yet.
    pub fn new(backoff: EvacuationBackoff) -> EvacuationController {
        EvacuationController { backoff, seen_weights: BTreeMap::new() }
    }

    /// The moves that are due; more than one only where all of them are lost zones. `weights`: the committed weights of
    /// all zones that have endpoints; `region`: the zones that fail together with one, itself included.
    pub fn next_moves(
        &mut self,
        now: Timestamp,
        weights: &BTreeMap<ZoneId, ZoneWeight>,
        region: impl Fn(ZoneId) -> Vec<ZoneId>,
        reports: &ZoneReports,
        loads: &BTreeMap<ZoneId, ZoneLoad>,
    ) -> Vec<ZoneMove> {
        let mut health = BTreeMap::new();
        let mut unchanged_for = BTreeMap::new();
        for (zone, weight) in weights {
            health.insert(*zone, current_health(*zone, weight, &region, reports));
            unchanged_for.insert(*zone, self.unchanged_for(now, *zone, weight));
        }
        let survey = Survey { weights, health, unchanged_for, loads };
        // Lost zones first, then slow ones, among them those that fail on their way back, then those that may return.
        let lost = survey.zones_in_service_with(ZoneHealth::Lost);
        if !lost.is_empty() {
            return lost.into_iter().filter_map(|zone| survey.evacuate(zone, WeightReason::Lost)).collect();
        }
        let slow = survey.zones_in_service_with(ZoneHealth::Slow).first().copied();
        if let Some(zone) = slow
            && survey.unchanged_for[&zone] >= MIN_STEP_TIME
        {
            return survey.evacuate(zone, WeightReason::Slow).into_iter().collect();
        }
        survey.next_return(self.backoff).into_iter().collect()
    }

    /// How long a zone has had its weight, as far as this process has seen.
    fn unchanged_for(&mut self, now: Timestamp, zone: ZoneId, weight: &ZoneWeight) -> TimeDelta {
        let current = SeenWeight { version: weight.version, seen_at: now };
        let seen = self.seen_weights.entry(zone).or_insert(current);
        if seen.version != weight.version {
            *seen = current;
        }
        now - seen.seen_at
    }
}

/// How a zone looks now. Where it gets too little to tell, the other zones of its region may show that it is lost.
fn current_health(
    zone: ZoneId,
    weight: &ZoneWeight,
    region: impl Fn(ZoneId) -> Vec<ZoneId>,
    reports: &ZoneReports,
) -> ZoneHealth {
    let is_partial = weight.permille > 0 && weight.permille < FULL_WEIGHT_PERMILLE;
    let health = if is_partial && weight.reason == WeightReason::Returns {
        assess_returning_zone(zone, reports)
    } else {
        assess_zone(zone, reports)
    };
    if health == ZoneHealth::Unknown && is_region_lost(&region(zone), reports) {
        return ZoneHealth::Lost;
    }
    health
}

/// All that is known of the zones at one moment.
struct Survey<'a> {
    weights: &'a BTreeMap<ZoneId, ZoneWeight>,
    health: BTreeMap<ZoneId, ZoneHealth>,
    unchanged_for: BTreeMap<ZoneId, TimeDelta>,
    loads: &'a BTreeMap<ZoneId, ZoneLoad>,
}

impl Survey<'_> {
    fn load(&self, zone: ZoneId) -> ZoneLoad {
        self.loads.get(&zone).copied().unwrap_or_default()
    }

    fn zones_in_service_with(&self, health: ZoneHealth) -> Vec<ZoneId> {
        let in_service = self.weights.iter().filter(|(_, weight)| weight.permille > 0);
        in_service.map(|(zone, _)| *zone).filter(|zone| self.health[zone] == health).collect()
    }

    /// The zones in service that could take over the traffic of `zone`.
    fn alternatives_to(&self, zone: ZoneId) -> Vec<ZoneId> {
        let mut alternatives = Vec::new();
        for (other, weight) in self.weights {
            let works = !matches!(self.health[other], ZoneHealth::Lost | ZoneHealth::Slow);
            if *other != zone && weight.permille > 0 && works {
                alternatives.push(*other);
            }
        }
        alternatives
    }

    /// The move that evacuates a zone as far as the others can carry its reads. `None`: nothing would be gained, or no
    /// other zone is seen to work, since where all are slow or silent the fault is elsewhere.
    fn evacuate(&self, zone: ZoneId, reason: WeightReason) -> Option<ZoneMove> {
        let alternatives = self.alternatives_to(zone);
        if !alternatives.iter().any(|other| self.health[other] == ZoneHealth::Healthy) {
            return None;
        }
        let weight = self.weights[&zone];
        let remaining = match reason {
            // A lost zone serves nothing of what stays there: what the others cannot carry is rejected instead.
            WeightReason::Lost => 0,
            _ => self.permille_to_keep(zone, &alternatives),
        };
        if remaining >= weight.permille {
            return None;
        }
        let failed_on_return = weight.reason == WeightReason::Returns && weight.version > 0;
        let failed_returns = if failed_on_return && self.unchanged_for[&zone] < FAILURE_MEMORY {
            weight.failed_returns.saturating_add(1)
        } else {
            weight.failed_returns
        };
        Some(ZoneMove { zone, weight: ZoneWeight { failed_returns, ..weight.next(remaining, reason) } })
    }

    /// The part of a zone's reads that its alternatives cannot carry.
    fn permille_to_keep(&self, zone: ZoneId, alternatives: &[ZoneId]) -> u16 {
        let reads_rps = self.load(zone).reads_rps;
        if reads_rps <= 0.0 {
            return 0;
        }
        let spare = |other: &ZoneId| self.load(*other).spare_rps(self.weights[other].permille);
        let spare_rps: f64 = alternatives.iter().map(spare).sum();
        let uncarried_rps = (reads_rps - spare_rps).max(0.0);
        (uncarried_rps / reads_rps * f64::from(FULL_WEIGHT_PERMILLE)) as u16
    }

    /// The next step of the zone that is furthest on its way back; one zone returns at a time, and no faster than its
    /// endpoints warm up. Zones that an operator holds stay as they are.
    fn next_return(&self, backoff: EvacuationBackoff) -> Option<ZoneMove> {
        let is_away = |weight: &ZoneWeight| {
            weight.permille < FULL_WEIGHT_PERMILLE && weight.reason != WeightReason::Operator
        };
        let away = self.weights.iter().filter(|(_, weight)| is_away(weight));
        let (zone, weight) = away.max_by_key(|(_, weight)| weight.permille)?;
        if !self.may_take_next_step(*zone, weight, backoff) {
            return None;
        }
        let next_step = RETURN_STEPS_PERMILLE.into_iter().find(|step| *step > weight.permille);
        let permille = next_step.unwrap_or(FULL_WEIGHT_PERMILLE);
        if weight.permille > 0 && !self.load(*zone).bears(permille) {
            return None;
        }
        let is_forgiven = permille == FULL_WEIGHT_PERMILLE && self.unchanged_for[zone] >= FAILURE_MEMORY;
        let failed_returns = if is_forgiven { 0 } else { weight.failed_returns };
        let weight = ZoneWeight { failed_returns, ..weight.next(permille, WeightReason::Returns) };
        Some(ZoneMove { zone: *zone, weight })
    }

    /// Whether a zone's backoff is over, or its last step has shown good answers.
    fn may_take_next_step(&self, zone: ZoneId, weight: &ZoneWeight, backoff: EvacuationBackoff) -> bool {
        let unchanged_for = self.unchanged_for[&zone];
        if weight.permille == 0 {
            return unchanged_for >= backoff.after(weight.failed_returns);
        }
        match self.health[&zone] {
            ZoneHealth::Healthy => unchanged_for >= MIN_STEP_TIME,
            ZoneHealth::Unknown => unchanged_for >= STEP_TIME_WITHOUT_ATTEMPTS,
            _ => false,
        }
    }
}
