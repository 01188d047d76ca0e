//! Which zones the fleet leaves, in which shares, and how it returns. No I/O.
//!
//! Each daemon says what it saw of each zone within the last moments ([`ZoneOutcomes`]). The leader weighs what all say
//! ([`judge`]) and moves zones by agreed changes with a number ([`EvacuationController::next`]): all that are lost at once, otherwise one
//! at a time. Every daemon acts on the same ones. A share is the part of its usual reads that a zone gets; writes follow each group's primary.

use crate::engine::outcome_window::OutcomeCounts;
use crate::ids::NodeId;
use crate::ids::ZoneId;
use crate::store::zone_weights::{Share, WHOLE, Why};
use crate::time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A zone is judged from so many attempts on that had an end, those of all daemons together.
const ENOUGH: u32 = 5;
/// No daemon's word weighs more than that of one which saw so many.
const HEAVIEST: u32 = 50;
/// A zone in which so many of a hundred attempts found nobody is lost to whoever saw that.
const LOST: u32 = 70;
/// One in which so many came late against the usual of their class is slow.
const SLOW: u32 = 50;
/// One in which fewer failed or came late is sound; between the two thresholds nothing moves.
const SOUND: u32 = 10;
/// Shares on the way back, in thousandths; the first is a trickle.
const STEPS: [u16; 5] = [20, 125, 250, 500, WHOLE];
/// A step lasts at least so long, and needs good answers from it.
const STEP: TimeDelta = TimeDelta::from_secs(1);
/// Where nobody asks anything no answer can come: a step is over after this. What little does come there says more.
const QUIET: TimeDelta = TimeDelta::from_micros(3 * STEP.as_micros());
/// One that has been in service for so long since is as if it had never failed.
const FORGIVEN: TimeDelta = TimeDelta::from_secs(120);
/// What stays must bear what moves there with so much to spare.
const SPARE: f64 = 0.9;
/// A host that says that less of it is in use may round: it is not asked what it bears.
const IDLE: f64 = 0.05;

/// The first step on the way back.
pub const FIRST_RETURN_PERMILLE: u16 = STEPS[0];

/// How many times what it serves a zone bears, where it says that this part of it is in use; `unsaid`: where it
/// does not say.
pub fn headroom_factor(busy: f64, unsaid: f64) -> f64 {
    if busy < IDLE { unsaid.max(1.0 / IDLE * f64::from(u8::from(busy > 0.0))) } else { 1.0 / busy }
}

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

/// What a daemon saw of a zone within the last moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOutcomes {
    /// Attempts that were answered in time.
    pub good: u32,
    /// Answered late against the usual of their class, or overdue at a host that answers others.
    pub late: u32,
    /// Not answered at all: silent for too long, or the connection broke.
    pub silent: u32,
    /// No connection was made.
    pub refused: u32,
    /// Hosts that were tried.
    pub hosts: u16,
    /// Those among them that answered nothing.
    pub gone: u16,
    /// Hosts that the zone has.
    pub of: u16,
    /// Thousandths of their capacity that hosts said to be in use, on average; 0: they do not say.
    pub busy: u16,
}

impl ZoneOutcomes {
    /// Of those hosts of a zone that were tried, of so many.
    pub fn new<'a>(hosts: impl Iterator<Item = &'a OutcomeCounts>, of: usize) -> ZoneOutcomes {
        let of = of.min(usize::from(u16::MAX)) as u16;
        let (mut all, mut busy, mut say) = (ZoneOutcomes { of, ..ZoneOutcomes::default() }, 0u32, 0u32);
        for seen in hosts.filter(|seen| seen.total() > 0) {
            let OutcomeCounts { on_time: good, late, unanswered: silent, connect_failed: refused, .. } =
                *seen;
            let gone = u16::from(good + late == 0);
            all.add(&ZoneOutcomes { good, late, silent, refused, hosts: 1, gone, ..ZoneOutcomes::default() });
            (busy, say) =
                (busy + u32::from(seen.utilization_permille), say + u32::from(seen.utilization_permille > 0));
        }
        all.busy = (busy / say.max(1)).min(1000) as u16;
        all
    }

    fn add(&mut self, other: &ZoneOutcomes) {
        self.good = self.good.saturating_add(other.good);
        self.late = self.late.saturating_add(other.late);
        self.silent = self.silent.saturating_add(other.silent);
        self.refused = self.refused.saturating_add(other.refused);
        self.hosts = self.hosts.saturating_add(other.hosts);
        self.gone = self.gone.saturating_add(other.gone);
        (self.busy, self.of) = (self.busy.max(other.busy), self.of.max(other.of));
    }

    /// Attempts that had an end.
    pub fn ended(&self) -> u32 {
        let failed = self.silent.saturating_add(self.refused);
        self.good.saturating_add(self.late).saturating_add(failed)
    }

    fn share(&self, part: u32) -> u32 {
        (u64::from(part) * 100 / u64::from(self.ended().max(1))) as u32
    }

    fn failed(&self) -> u32 {
        self.share(self.silent.saturating_add(self.refused))
    }

    /// Nobody is found there, as far as this tells: not one host that fails beside others.
    pub fn is_lost(&self) -> bool {
        let most = u32::from(self.gone) * 3 >= u32::from(self.hosts) * 2;
        self.ended() > 0 && self.failed() >= LOST && most
    }

    /// It answers in time, by enough attempts.
    pub fn is_sound(&self) -> bool {
        self.ended() >= ENOUGH && self.verdict() == ZoneHealth::Sound
    }

    /// Too much of what is asked there fails or comes late for waiting to be worth while.
    pub fn is_shaky(&self) -> bool {
        self.ended() >= ENOUGH && self.verdict() != ZoneHealth::Sound
    }

    /// What is wrong there, or not, whoever saw it.
    fn verdict(&self) -> ZoneHealth {
        match () {
            _ if self.ended() == 0 => ZoneHealth::Unknown,
            _ if self.is_lost() => ZoneHealth::Lost,
            _ => answers(self.share(self.late), self.failed()),
        }
    }
}

impl fmt::Display for ZoneOutcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ZoneOutcomes { good, late, silent, refused, .. } = self;
        write!(f, "good {good} late {late} silent {silent} refused {refused}")
    }
}

/// How a zone looks to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Nobody knows enough.
    Unknown,
    /// It answers in time.
    Sound,
    /// Neither well nor badly enough to move.
    Doubtful,
    /// It answers, but late.
    Slow,
    /// A majority of those who would know find nobody there.
    Lost,
    /// Only these find nobody there: the fault is between them and it.
    CutOff(BTreeSet<NodeId>),
}

/// How a zone looks that is not lost: of a hundred attempts so many came late, and so many failed.
fn answers(late: u32, failed: u32) -> ZoneHealth {
    match () {
        _ if late >= SLOW => ZoneHealth::Slow,
        _ if late + failed < SOUND => ZoneHealth::Sound,
        _ => ZoneHealth::Doubtful,
    }
}

/// What each daemon saw, by zone.
pub type ZoneReports = BTreeMap<NodeId, BTreeMap<ZoneId, ZoneOutcomes>>;

/// A daemon to which every zone that it tries is lost, and that tries more than one, is itself cut off: its word says
/// nothing about the zones. Where all say so of all zones, nobody is.
fn suspects(sights: &ZoneReports) -> BTreeSet<NodeId> {
    let sees_nobody = |own: &BTreeMap<ZoneId, ZoneOutcomes>| {
        let known: Vec<&ZoneOutcomes> = own.values().filter(|s| s.ended() > 0).collect();
        known.len() > 1 && known.iter().all(|s| s.is_lost())
    };
    sights.iter().filter(|(_, own)| sees_nobody(own)).map(|(id, _)| *id).collect()
}

/// The words on zones that count, each daemon's on all of them together.
fn words(zones: &[ZoneId], sights: &ZoneReports) -> Vec<(NodeId, ZoneOutcomes)> {
    let suspects = suspects(sights);
    let words = sights.iter().filter(|(id, _)| !suspects.contains(id));
    let words = words.map(|(id, own)| (*id, sum(zones.iter().filter_map(|zone| own.get(zone)))));
    words.filter(|(_, s)| s.ended() > 0).collect()
}

fn sum<'a>(sights: impl Iterator<Item = &'a ZoneOutcomes>) -> ZoneOutcomes {
    let mut all = ZoneOutcomes::default();
    sights.for_each(|s| all.add(s));
    all
}

/// How a zone looks, by what all daemons saw.
pub fn assess_zone(zone: ZoneId, sights: &ZoneReports) -> ZoneHealth {
    weigh(&words(&[zone], sights))
}

/// How what daemons saw looks: lost where most who tried find nobody there, and these have seen most of what was seen.
fn weigh(words: &[(NodeId, ZoneOutcomes)]) -> ZoneHealth {
    let weight = |s: &ZoneOutcomes| s.ended().min(HEAVIEST);
    let all: u32 = words.iter().map(|(_, s)| weight(s)).sum();
    if all < ENOUGH {
        return ZoneHealth::Unknown;
    }
    let lost: Vec<&(NodeId, ZoneOutcomes)> = words.iter().filter(|(_, s)| s.is_lost()).collect();
    let lost_weight: u32 = lost.iter().map(|(_, s)| weight(s)).sum();
    // Where little is asked, or the zone's hosts are seldom drawn, each daemon has tried another one of them.
    let gone: u32 = lost.iter().map(|(_, s)| u32::from(s.gone)).sum();
    let few = words.iter().map(|(_, s)| u32::from(s.of)).max().unwrap_or(0).min(2);
    if lost_weight * 2 > all && lost.len() * 2 > words.len() && gone >= few {
        return ZoneHealth::Lost;
    }
    let cut_off: BTreeSet<NodeId> =
        lost.iter().filter(|(_, s)| s.ended() >= ENOUGH).map(|(id, _)| *id).collect();
    if !cut_off.is_empty() {
        return ZoneHealth::CutOff(cut_off);
    }
    let part = |of: fn(&ZoneOutcomes) -> u32| -> u32 {
        words.iter().map(|(_, s)| of(s) * weight(s)).sum::<u32>() / all
    };
    let (late, failed) = (part(|s| s.share(s.late)), part(ZoneOutcomes::failed));
    answers(late, failed)
}

/// How a zone on its way back looks: few go there, so what all daemons saw counts together.
fn judge_trickle(zone: ZoneId, sights: &ZoneReports) -> ZoneHealth {
    sum(words(&[zone], sights).iter().map(|(_, s)| s)).verdict()
}

/// What a zone can carry and carries, in requests a second of all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Reads that it would serve at its whole share.
    pub reads: f64,
    /// What its hosts bear now.
    pub bears: f64,
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

    fn since(&mut self, now: Timestamp, zone: ZoneId, share: &Share) -> TimeDelta {
        let known = self.moved.entry(zone).or_insert((share.number, now));
        if known.0 != share.number {
            *known = (share.number, now);
        }
        now - known.1
    }

    /// The moves that are due: zones with their new shares. More than one only where all of them are lost. `shares`:
    /// what is agreed, for every zone that has hosts; `region`: the zones that fail together with one, itself among
    /// them.
    pub fn next_moves(
        &mut self,
        now: Timestamp,
        shares: &BTreeMap<ZoneId, Share>,
        region: impl Fn(ZoneId) -> Vec<ZoneId>,
        sights: &ZoneReports,
        loads: &BTreeMap<ZoneId, ZoneLoad>,
    ) -> Vec<(ZoneId, Share)> {
        let look = |(zone, share): (&ZoneId, &Share)| {
            let returns = share.part > 0 && share.part < WHOLE && share.why == Why::Returns;
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
        let lost = |zone: &&ZoneId| verdicts[*zone] == ZoneHealth::Lost && shares[*zone].part > 0;
        let lost: Vec<ZoneId> = shares.keys().filter(lost).copied().collect();
        if !lost.is_empty() {
            let leave = |zone| leave(zone, Why::Lost, rests[&zone], shares, &verdicts, loads);
            return lost.into_iter().filter_map(leave).collect();
        }
        let slow = |zone: &&ZoneId| verdicts[*zone] == ZoneHealth::Slow && shares[*zone].part > 0;
        if let Some(zone) = shares.keys().find(slow).filter(|zone| rests[*zone] >= STEP) {
            return leave(*zone, Why::Slow, rests[zone], shares, &verdicts, loads).into_iter().collect();
        }
        // One zone at a time is on its way back: the one that is furthest.
        let away = shares.iter().filter(|(_, s)| s.part < WHOLE && s.why != Why::Operator);
        let Some((zone, share)) = away.max_by_key(|(_, s)| s.part) else { return Vec::new() };
        let step = STEPS.iter().find(|step| **step > share.part).copied().unwrap_or(WHOLE);
        let due = if share.part == 0 {
            rests[zone] >= self.dwell.after(share.failed)
        } else {
            // A step counts by what it brought.
            rests[zone] >= STEP && verdicts[zone] == ZoneHealth::Sound
                || rests[zone] >= QUIET && verdicts[zone] == ZoneHealth::Unknown
        };
        // No faster than its hosts warm.
        let load = loads.get(zone).copied().unwrap_or_default();
        let fits = share.part == 0 || load.bears * SPARE >= load.reads * f64::from(step) / f64::from(WHOLE);
        let failed = if step == WHOLE && rests[zone] >= FORGIVEN { 0 } else { share.failed };
        let next = Share { failed, ..share.then(step, Why::Returns) };
        (due && fits).then_some((*zone, next)).into_iter().collect()
    }
}

/// Whether a region is lost: to most daemons that tried any of its zones, and in more than one of them, as a zone is.
fn is_lost(zones: &[ZoneId], sights: &ZoneReports) -> bool {
    let tried = |zone: &&ZoneId| sights.values().any(|own| own.get(*zone).is_some_and(|s| s.ended() > 0));
    zones.iter().filter(tried).count() > 1 && weigh(&words(zones, sights)) == ZoneHealth::Lost
}

/// The share that a zone keeps when it is left: none, unless those that stay could not carry what moves to them.
/// `None`: nothing is to be gained, or it is the last one that works.
fn leave(
    zone: ZoneId,
    why: Why,
    rests: TimeDelta,
    shares: &BTreeMap<ZoneId, Share>,
    verdicts: &BTreeMap<ZoneId, ZoneHealth>,
    loads: &BTreeMap<ZoneId, ZoneLoad>,
) -> Option<(ZoneId, Share)> {
    let works = |other: &&ZoneId| {
        **other != zone
            && shares[*other].part > 0
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
        .map(|(l, s)| (l.bears * SPARE - l.reads * f64::from(s.part) / f64::from(WHOLE)).max(0.0))
        .sum();
    // A lost zone serves nothing of what is left there: what the others cannot carry is refused, not sent to it.
    let stays = match why {
        Why::Lost => 0,
        _ if own.reads <= 0.0 => 0,
        _ => ((own.reads - free).max(0.0) / own.reads * f64::from(WHOLE)) as u16,
    };
    if stays >= share.part {
        return None;
    }
    let again = share.why == Why::Returns && share.number > 0 && rests < FORGIVEN;
    let failed = if again { share.failed.saturating_add(1) } else { share.failed };
    Some((zone, Share { failed, ..share.then(stays, why) }))
}

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
        agreed: &BTreeMap<ZoneId, Share>,
    ) -> BTreeSet<ZoneId> {
        self.left.retain(|zone, (until, _)| {
            now - *until < FORGIVEN && agreed.get(zone).is_none_or(|s| s.part == WHOLE)
        });
        // LocalEvacuation it has to see more of the zone than where others see as much.
        let is_lost =
            |s: &ZoneOutcomes| s.ended() >= ENOUGH && s.is_lost() && u32::from(s.gone) * 2 >= u32::from(s.of);
        let works = |zone: &ZoneId, s: &ZoneOutcomes| s.is_sound() && !self.is_evacuated(now, *zone);
        if !own.iter().any(|(zone, s)| works(zone, s)) {
            return BTreeSet::new();
        }
        let whole = |zone: &ZoneId| agreed.get(zone).is_none_or(|s| s.part == WHOLE);
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

#[cfg(test)]
mod tests;
