//! The moves of the fleet.

use super::capacity::ZoneLoad;
use super::detector::{ZoneReports, assess_zone, is_lost, judge_trickle};
use super::health::ZoneHealth;
use crate::ids::ZoneId;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Shares on the way back, in thousandths; the first is a trickle.
const STEPS: [u16; 5] = [20, 125, 250, 500, FULL_WEIGHT_PERMILLE];
/// A step lasts at least so long, and needs good answers from it.
pub(super) const STEP: TimeDelta = TimeDelta::from_secs(1);
/// Where nobody asks anything no answer can come: a step is over after this. What little does come there says more.
const QUIET: TimeDelta = TimeDelta::from_micros(3 * STEP.as_micros());
/// One that has been in service for so long since is as if it had never failed.
pub(super) const FORGIVEN: TimeDelta = TimeDelta::from_secs(120);
/// What stays must bear what moves there with so much to spare.
const SPARE: f64 = 0.9;
/// The first step on the way back.
pub const FIRST_RETURN_PERMILLE: u16 = STEPS[0];

/// How long a zone stays left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationBackoff {
    /// At least; twice as long each time it fails again soon after.
    pub least: TimeDelta,
    /// At most.
    pub longest: TimeDelta,
}

/// Former name of [`EvacuationBackoff`], for the parts that still use it.
pub type Dwell = EvacuationBackoff;

impl Default for EvacuationBackoff {
    fn default() -> EvacuationBackoff {
        EvacuationBackoff { least: TimeDelta::from_secs(3), longest: TimeDelta::from_secs(60) }
    }
}

impl EvacuationBackoff {
    /// After so many failures soon after a return.
    pub fn after(&self, failed: u8) -> TimeDelta {
        self.least.saturating_mul(1 << failed.min(16)).min(self.longest)
    }
}

/// Moves of zones, as one daemon decides them while it leads.
#[derive(Clone, Debug, Default)]
pub struct EvacuationController {
    dwell: EvacuationBackoff,
    /// When each zone's share last moved, by this daemon's clock; the number of that move.
    moved: BTreeMap<ZoneId, (u64, Timestamp)>,
}

impl EvacuationController {
    /// Nothing has moved yet.
    pub fn new(dwell: EvacuationBackoff) -> EvacuationController {
        EvacuationController { dwell, moved: BTreeMap::new() }
    }

    fn since(&mut self, now: Timestamp, zone: ZoneId, share: &ZoneWeight) -> TimeDelta {
        let known = self.moved.entry(zone).or_insert((share.version, now));
        if known.0 != share.version {
            *known = (share.version, now);
        }
        now - known.1
    }

    /// The moves that are due: zones with their new shares. More than one only where all of them are lost. `shares`:
    /// what is agreed, for every zone that has hosts; `region`: the zones that fail together with one, itself among
    /// them.
    pub fn next_moves(
        &mut self,
        now: Timestamp,
        shares: &BTreeMap<ZoneId, ZoneWeight>,
        region: impl Fn(ZoneId) -> Vec<ZoneId>,
        sights: &ZoneReports,
        loads: &BTreeMap<ZoneId, ZoneLoad>,
    ) -> Vec<(ZoneId, ZoneWeight)> {
        let look = |(zone, share): (&ZoneId, &ZoneWeight)| {
            let returns = share.permille > 0
                && share.permille < FULL_WEIGHT_PERMILLE
                && share.reason == WeightReason::Returns;
            (*zone, if returns { judge_trickle(*zone, sights) } else { assess_zone(*zone, sights) })
        };
        let mut verdicts: BTreeMap<ZoneId, ZoneHealth> = shares.iter().map(look).collect();
        for (zone, verdict) in verdicts.iter_mut().filter(|(_, verdict)| **verdict == ZoneHealth::Unknown) {
            // Of a zone in which little is asked its region's other zones tell enough.
            if is_lost(&region(*zone), sights) {
                *verdict = ZoneHealth::Lost;
            }
        }
        let rests: BTreeMap<ZoneId, TimeDelta> =
            shares.iter().map(|(zone, share)| (*zone, self.since(now, *zone, share))).collect();
        // Lost ones first, then those that fail on their way back, slow ones, and at last those that may return.
        let lost = |zone: &&ZoneId| verdicts[*zone] == ZoneHealth::Lost && shares[*zone].permille > 0;
        let lost: Vec<ZoneId> = shares.keys().filter(lost).copied().collect();
        if !lost.is_empty() {
            let leave = |zone| leave(zone, WeightReason::Lost, rests[&zone], shares, &verdicts, loads);
            return lost.into_iter().filter_map(leave).collect();
        }
        let slow = |zone: &&ZoneId| verdicts[*zone] == ZoneHealth::Slow && shares[*zone].permille > 0;
        if let Some(zone) = shares.keys().find(slow).filter(|zone| rests[*zone] >= STEP) {
            return leave(*zone, WeightReason::Slow, rests[zone], shares, &verdicts, loads)
                .into_iter()
                .collect();
        }
        // One zone at a time is on its way back: the one that is furthest.
        let away = shares
            .iter()
            .filter(|(_, s)| s.permille < FULL_WEIGHT_PERMILLE && s.reason != WeightReason::Operator);
        let Some((zone, share)) = away.max_by_key(|(_, s)| s.permille) else { return Vec::new() };
        let step = STEPS.iter().find(|step| **step > share.permille).copied().unwrap_or(FULL_WEIGHT_PERMILLE);
        let due = if share.permille == 0 {
            rests[zone] >= self.dwell.after(share.failed_returns)
        } else {
            // A step counts by what it brought.
            rests[zone] >= STEP && verdicts[zone] == ZoneHealth::Sound
                || rests[zone] >= QUIET && verdicts[zone] == ZoneHealth::Unknown
        };
        // No faster than its hosts warm.
        let load = loads.get(zone).copied().unwrap_or_default();
        let fits = share.permille == 0
            || load.bears * SPARE >= load.reads * f64::from(step) / f64::from(FULL_WEIGHT_PERMILLE);
        let failed =
            if step == FULL_WEIGHT_PERMILLE && rests[zone] >= FORGIVEN { 0 } else { share.failed_returns };
        let next = ZoneWeight { failed_returns: failed, ..share.next(step, WeightReason::Returns) };
        (due && fits).then_some((*zone, next)).into_iter().collect()
    }
}

/// The share that a zone keeps when it is left: none, unless those that stay could not carry what moves to them.
/// `None`: nothing is to be gained, or it is the last one that works.
fn leave(
    zone: ZoneId,
    why: WeightReason,
    rests: TimeDelta,
    shares: &BTreeMap<ZoneId, ZoneWeight>,
    verdicts: &BTreeMap<ZoneId, ZoneHealth>,
    loads: &BTreeMap<ZoneId, ZoneLoad>,
) -> Option<(ZoneId, ZoneWeight)> {
    let works = |other: &&ZoneId| {
        **other != zone
            && shares[*other].permille > 0
            && !matches!(verdicts[*other], ZoneHealth::Lost | ZoneHealth::Slow)
    };
    let others: Vec<&ZoneId> = shares.keys().filter(works).collect();
    // Nothing is left but for a zone that is seen to work: where all is slow or silent the fault is elsewhere.
    if !others.iter().any(|other| verdicts[*other] == ZoneHealth::Sound) {
        return None;
    }
    let share = shares[&zone];
    let own = loads.get(&zone).copied().unwrap_or_default();
    let free: f64 = others
        .iter()
        .filter_map(|other| Some((loads.get(other)?, shares[other])))
        .map(|(l, s)| {
            (l.bears * SPARE - l.reads * f64::from(s.permille) / f64::from(FULL_WEIGHT_PERMILLE)).max(0.0)
        })
        .sum();
    // A lost zone serves nothing of what is left there: what the others cannot carry is refused, not sent to it.
    let stays = match why {
        WeightReason::Lost => 0,
        _ if own.reads <= 0.0 => 0,
        _ => ((own.reads - free).max(0.0) / own.reads * f64::from(FULL_WEIGHT_PERMILLE)) as u16,
    };
    if stays >= share.permille {
        return None;
    }
    let again = share.reason == WeightReason::Returns && share.version > 0 && rests < FORGIVEN;
    let failed = if again { share.failed_returns.saturating_add(1) } else { share.failed_returns };
    Some((zone, ZoneWeight { failed_returns: failed, ..share.next(stays, why) }))
}
