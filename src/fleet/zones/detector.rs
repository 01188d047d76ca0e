//! What is wrong with a zone, by what all peers saw.

use super::health::{ZoneHealth, answers};
use super::outcomes::{ENOUGH, ZoneOutcomes};
use crate::ids::{NodeId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// No daemon's word weighs more than that of one which saw so many.
const HEAVIEST: u32 = 50;

/// What each daemon saw, by zone.
pub type ZoneReports = BTreeMap<NodeId, BTreeMap<ZoneId, ZoneOutcomes>>;

/// A daemon to which every zone that it tries is lost, and that tries more than one, is itself cut off: its word says
/// nothing about the zones. Where all say so of all zones, nobody is.
pub(super) fn suspects(sights: &ZoneReports) -> BTreeSet<NodeId> {
    let sees_nobody = |own: &BTreeMap<ZoneId, ZoneOutcomes>| {
        let known: Vec<&ZoneOutcomes> = own.values().filter(|s| s.ended() > 0).collect();
        known.len() > 1 && known.iter().all(|s| s.is_lost())
    };
    sights.iter().filter(|(_, own)| sees_nobody(own)).map(|(id, _)| *id).collect()
}

/// The words on zones that count, each daemon's on all of them together.
pub(super) fn words(zones: &[ZoneId], sights: &ZoneReports) -> Vec<(NodeId, ZoneOutcomes)> {
    let suspects = suspects(sights);
    let words = sights.iter().filter(|(id, _)| !suspects.contains(id));
    let words = words.map(|(id, own)| (*id, sum(zones.iter().filter_map(|zone| own.get(zone)))));
    words.filter(|(_, s)| s.ended() > 0).collect()
}

pub(super) fn sum<'a>(sights: impl Iterator<Item = &'a ZoneOutcomes>) -> ZoneOutcomes {
    let mut all = ZoneOutcomes::default();
    sights.for_each(|s| all.add(s));
    all
}

/// How what daemons saw looks: lost where most who tried find nobody there, and these have seen most of what was seen.
pub(super) fn weigh(words: &[(NodeId, ZoneOutcomes)]) -> ZoneHealth {
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
pub(super) fn judge_trickle(zone: ZoneId, sights: &ZoneReports) -> ZoneHealth {
    sum(words(&[zone], sights).iter().map(|(_, s)| s)).verdict()
}

/// Whether a region is lost: to most daemons that tried any of its zones, and in more than one of them, as a zone is.
pub(super) fn is_lost(zones: &[ZoneId], sights: &ZoneReports) -> bool {
    let tried = |zone: &&ZoneId| sights.values().any(|own| own.get(*zone).is_some_and(|s| s.ended() > 0));
    zones.iter().filter(tried).count() > 1 && weigh(&words(zones, sights)) == ZoneHealth::Lost
}

/// How a zone looks, by what all daemons saw.
pub fn assess_zone(zone: ZoneId, sights: &ZoneReports) -> ZoneHealth {
    weigh(&words(&[zone], sights))
}
