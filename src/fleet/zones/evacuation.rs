//! The next weights of zones, as decided by the leader.

use super::capacity::ZoneLoad;
use super::detector::{ZoneReports, assess_returning_zone, assess_zone, is_region_lost};
use super::health::ZoneHealth;
use super::policy::EvacuationBackoff;
use crate::ids::ZoneId;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// The weights that a returning zone passes through. The first one sends just enough requests to show whether the zone
/// responds at all.
const RETURN_STEPS_PERMILLE: [u16; 5] = [20, 125, 250, 500, FULL_WEIGHT_PERMILLE];
/// The first weight of a returning zone.
pub const FIRST_RETURN_PERMILLE: u16 = RETURN_STEPS_PERMILLE[0];
/// Minimum time between two changes of a weight: the effect of a change has to show in the reports, which cover a
/// shorter time.
pub(super) const MIN_STEP_TIME: TimeDelta = TimeDelta::from_secs(1);
/// A returning zone without any attempts takes the next step after this time: there are no responses to wait for, and
/// the next step brings more attempts by which its health can be assessed.
const STEP_TIME_WITHOUT_ATTEMPTS: TimeDelta = TimeDelta::from_micros(3 * MIN_STEP_TIME.as_micros());
/// After this time in service a zone's earlier failures no longer extend its backoff.
pub(super) const FAILURE_RETENTION_TIME: TimeDelta = TimeDelta::from_secs(120);

/// A change of one zone's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneMove {
    /// The zone whose weight changes.
    pub zone: ZoneId,
    /// The zone's next weight.
    pub weight: ZoneWeight,
}

/// The version of a zone's committed weight, and when this process first observed it.
#[derive(Clone, Copy, Debug)]
struct SeenWeight {
    version: u64,
    seen_at: Timestamp,
}

/// Decides the weights of zones while this process leads.
#[derive(Clone, Debug, Default)]
pub struct EvacuationController {
    backoff: EvacuationBackoff,
    seen_weights: BTreeMap<ZoneId, SeenWeight>,
}

impl EvacuationController {
    /// Returns a controller that has not recorded any weights.
    pub fn new(backoff: EvacuationBackoff) -> EvacuationController {
        EvacuationController { backoff, seen_weights: BTreeMap::new() }
    }

    /// Returns the moves that are due; more than one only if all of them are of lost zones. `weights` holds the
    /// committed weights of all zones that have endpoints; `region` returns the zones that fail together with a zone,
    /// including itself.
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
        let snapshot = ZoneSnapshot { weights, health, unchanged_for, loads };
        // Lost zones come first, then slow ones (among them those that fail while they return), then zones that may
        // return.
        let lost = snapshot.zones_in_service_with(ZoneHealth::Lost);
        if !lost.is_empty() {
            return lost.into_iter().filter_map(|zone| snapshot.evacuate(zone, WeightReason::Lost)).collect();
        }
        let slow = snapshot.zones_in_service_with(ZoneHealth::Slow).first().copied();
        if let Some(zone) = slow
            && snapshot.unchanged_for[&zone] >= MIN_STEP_TIME
        {
            return snapshot.evacuate(zone, WeightReason::Slow).into_iter().collect();
        }
        snapshot.next_return(self.backoff).into_iter().collect()
    }

    /// How long a zone has had its weight, as observed by this process.
    fn unchanged_for(&mut self, now: Timestamp, zone: ZoneId, weight: &ZoneWeight) -> TimeDelta {
        let current = SeenWeight { version: weight.version, seen_at: now };
        let seen = self.seen_weights.entry(zone).or_insert(current);
        if seen.version != weight.version {
            *seen = current;
        }
        now - seen.seen_at
    }
}

/// Returns the current health of a zone. If it gets too few attempts to assess it, the other zones of its region may
/// show that it is lost.
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

/// The weights and the health of the zones at one moment.
struct ZoneSnapshot<'a> {
    weights: &'a BTreeMap<ZoneId, ZoneWeight>,
    health: BTreeMap<ZoneId, ZoneHealth>,
    unchanged_for: BTreeMap<ZoneId, TimeDelta>,
    loads: &'a BTreeMap<ZoneId, ZoneLoad>,
}

impl ZoneSnapshot<'_> {
    fn load(&self, zone: ZoneId) -> ZoneLoad {
        self.loads.get(&zone).copied().unwrap_or_default()
    }

    fn zones_in_service_with(&self, health: ZoneHealth) -> Vec<ZoneId> {
        let in_service = self.weights.iter().filter(|(_, weight)| weight.permille > 0);
        in_service.map(|(zone, _)| *zone).filter(|zone| self.health[zone] == health).collect()
    }

    /// The other zones in service that are neither lost nor slow: they could take over the traffic of `zone`.
    fn alternatives_to(&self, zone: ZoneId) -> Vec<ZoneId> {
        let mut alternatives = Vec::new();
        for (other, weight) in self.weights {
            let is_usable = !matches!(self.health[other], ZoneHealth::Lost | ZoneHealth::Slow);
            if *other != zone && weight.permille > 0 && is_usable {
                alternatives.push(*other);
            }
        }
        alternatives
    }

    /// The move that takes as many reads off a zone as the others can serve. `None` if this would not reduce its
    /// weight, or if no other zone is healthy: if all are slow or do not respond, the fault is elsewhere.
    fn evacuate(&self, zone: ZoneId, reason: WeightReason) -> Option<ZoneMove> {
        let alternatives = self.alternatives_to(zone);
        if !alternatives.iter().any(|other| self.health[other] == ZoneHealth::Healthy) {
            return None;
        }
        let weight = self.weights[&zone];
        let remaining = match reason {
            // A lost zone serves none of the reads that stay with it, so it keeps none: what the others cannot serve is
            // rejected.
            WeightReason::Lost => 0,
            _ => self.permille_to_keep(zone, &alternatives),
        };
        if remaining >= weight.permille {
            return None;
        }
        let failed_on_return = weight.reason == WeightReason::Returns && weight.version > 0;
        let failed_returns = if failed_on_return && self.unchanged_for[&zone] < FAILURE_RETENTION_TIME {
            weight.failed_returns.saturating_add(1)
        } else {
            weight.failed_returns
        };
        Some(ZoneMove { zone, weight: ZoneWeight { failed_returns, ..weight.next(remaining, reason) } })
    }

    /// The share of a zone's reads that its alternatives cannot serve, in thousandths.
    fn permille_to_keep(&self, zone: ZoneId, alternatives: &[ZoneId]) -> u16 {
        let reads_rps = self.load(zone).reads_rps;
        if reads_rps <= 0.0 {
            return 0;
        }
        let spare = |other: &ZoneId| self.load(*other).spare_rps(self.weights[other].permille);
        let spare_rps: f64 = alternatives.iter().map(spare).sum();
        let overflow_rps = (reads_rps - spare_rps).max(0.0);
        (overflow_rps / reads_rps * f64::from(FULL_WEIGHT_PERMILLE)) as u16
    }

    /// The next step of the zone that is furthest in its return. Only one zone returns at a time, and no faster than
    /// its endpoints warm up. Zones held by an operator keep their weight.
    fn next_return(&self, backoff: EvacuationBackoff) -> Option<ZoneMove> {
        let is_reduced = |weight: &ZoneWeight| {
            weight.permille < FULL_WEIGHT_PERMILLE && weight.reason != WeightReason::Operator
        };
        let reduced = self.weights.iter().filter(|(_, weight)| is_reduced(weight));
        let (zone, weight) = reduced.max_by_key(|(_, weight)| weight.permille)?;
        if !self.may_take_next_step(*zone, weight, backoff) {
            return None;
        }
        let next_step = RETURN_STEPS_PERMILLE.into_iter().find(|step| *step > weight.permille);
        let permille = next_step.unwrap_or(FULL_WEIGHT_PERMILLE);
        if weight.permille > 0 && !self.load(*zone).has_capacity_for(permille) {
            return None;
        }
        let resets_failures =
            permille == FULL_WEIGHT_PERMILLE && self.unchanged_for[zone] >= FAILURE_RETENTION_TIME;
        let failed_returns = if resets_failures { 0 } else { weight.failed_returns };
        let weight = ZoneWeight { failed_returns, ..weight.next(permille, WeightReason::Returns) };
        Some(ZoneMove { zone: *zone, weight })
    }

    /// Whether a zone's backoff has ended or, once it gets reads, enough time has passed since its last step and the
    /// zone is healthy or gets too few attempts to assess it.
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
