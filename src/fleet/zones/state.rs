//! What a daemon knows of zones: its own sights, the others' words, the shares that follow. No I/O.
//!
//! ZoneReports go to all daemons, so that whoever leads next knows as much; the leader's [`EvacuationController`] moves shares by agreed
//! changes. The list is shaped by them: a zone's hosts get their share of the reads by weight, none where it is left.
//! The primary of a group stays on the list wherever it is: only it can take writes, and the module finds out by
//! itself whether it does.

use super::capacity::{ZoneLoad, headroom_factor};
use super::detector::{ZoneReports, assess_zone};
use super::evacuation::{EvacuationController, FIRST_RETURN_PERMILLE};
use super::health::ZoneHealth;
use super::local_evacuation::LocalEvacuation;
use super::outcomes::ZoneOutcomes;
use super::policy::{EvacuationPolicy, ZoneCommand};
use crate::engine::endpoints::EndpointRecord;
use crate::engine::outcome_window::OutcomeCounts;
use crate::ids::NodeId;
use crate::ids::{GroupId, ZoneId};
use crate::routing::Availability;
use crate::store::state_machine::ClusterState;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A daemon's word counts for so long.
const FRESH: TimeDelta = TimeDelta::from_secs(1);
/// What a zone serves is taken over about so many looks.
const SMOOTH: f64 = 0.05;
/// What a zone bears is at least this multiple of what it was seen to serve, where its hosts do not say.
const UNSAID: f64 = 1.25;
/// A weight that the module takes for none: the primary alone keeps it.
const LITTLE: f64 = 0.01;

/// What is known.
#[derive(Debug)]
pub struct ZoneState {
    /// How zones are left.
    pub leaving: EvacuationPolicy,
    own: BTreeMap<ZoneId, ZoneOutcomes>,
    others: BTreeMap<NodeId, (BTreeMap<ZoneId, ZoneOutcomes>, Timestamp)>,
    zones: EvacuationController,
    alone: LocalEvacuation,
    /// Reads a second that each zone serves at its whole share, and the part of its capacity that these take.
    usual: BTreeMap<ZoneId, (f64, f64)>,
    /// The parts of zones that were away when this was last looked at.
    parts: BTreeMap<ZoneId, u16>,
}

impl ZoneState {
    /// Nothing is known.
    pub fn new(leaving: EvacuationPolicy) -> ZoneState {
        let (zones, alone) = (EvacuationController::new(leaving.dwell), LocalEvacuation::new(leaving.dwell));
        let (own, others) = (BTreeMap::new(), BTreeMap::new());
        ZoneState { leaving, own, others, zones, alone, usual: BTreeMap::new(), parts: BTreeMap::new() }
    }

    /// The name of a zone.
    pub fn name(&self, zone: ZoneId) -> String {
        self.leaving.names.get(usize::from(zone.0)).cloned().unwrap_or_else(|| zone.to_string())
    }

    /// The zone of a name.
    pub fn find(&self, name: &str) -> Option<ZoneId> {
        self.leaving.names.iter().position(|n| n == name).and_then(|n| u8::try_from(n).ok()).map(ZoneId)
    }

    /// Takes in what this daemon saw of hosts; what it saw of zones, if anybody should hear of it now.
    pub fn record_outcomes(
        &mut self,
        seen: &BTreeMap<String, OutcomeCounts>,
        state: &ClusterState,
    ) -> Option<BTreeMap<ZoneId, ZoneOutcomes>> {
        let mut by: BTreeMap<ZoneId, Vec<&OutcomeCounts>> = BTreeMap::new();
        for (host, seen) in seen {
            if let Some(host) = state.hosts.get(host) {
                by.entry(host.zone).or_default().push(seen);
            }
        }
        let of = |zone| state.hosts.values().filter(|host| host.zone == zone).count();
        let own: BTreeMap<ZoneId, ZoneOutcomes> = by
            .into_iter()
            .map(|(zone, seen)| (zone, ZoneOutcomes::new(seen.into_iter(), of(zone))))
            .collect();
        let amiss = |s: &ZoneOutcomes| s.silent + s.refused + s.late > 0;
        let urgent = own.values().chain(self.own.values()).any(amiss)
            || state.zone_weights.values().any(|share| share.permille < FULL_WEIGHT_PERMILLE);
        self.own = own;
        urgent.then(|| self.own.clone())
    }

    /// What this daemon saw of zones.
    pub fn own_outcomes(&self) -> &BTreeMap<ZoneId, ZoneOutcomes> {
        &self.own
    }

    /// Another daemon has said what it saw of zones.
    pub fn record_report(&mut self, now: Timestamp, by: NodeId, sights: BTreeMap<ZoneId, ZoneOutcomes>) {
        self.others.insert(by, (sights, now));
    }

    /// All words that count.
    pub fn current_reports(&self, now: Timestamp, me: NodeId, state: &ClusterState) -> ZoneReports {
        let fresh = |(id, (_, at)): &(&NodeId, &(BTreeMap<ZoneId, ZoneOutcomes>, Timestamp))| {
            now - *at < FRESH && state.members.contains_key(id)
        };
        let others = self.others.iter().filter(fresh).map(|(id, (sights, _))| (*id, sights.clone()));
        others.chain([(me, self.own.clone())]).collect()
    }

    /// The moves that are due, as the leader decides it. `warmth`: the share of its capacity that a zone has by the age of its
    /// hosts; `span`: time since the last call.
    pub fn next_moves(
        &mut self,
        now: Timestamp,
        me: NodeId,
        state: &ClusterState,
        warmth: impl Fn(ZoneId) -> f64,
    ) -> Vec<(ZoneId, ZoneWeight)> {
        self.others.retain(|id, _| state.members.contains_key(id));
        let shares: BTreeMap<ZoneId, ZoneWeight> =
            populated_zones(state).into_iter().map(|z| (z, state.zone_weight(z))).collect();
        let sights = self.current_reports(now, me, state);
        if shares.values().all(|s| s.permille == FULL_WEIGHT_PERMILLE) {
            self.measure(&sights, &shares);
        }
        let loads = shares.keys().map(|zone| (*zone, self.load(*zone, warmth(*zone)))).collect();
        if !self.leaving.automatic {
            return Vec::new();
        }
        self.zones.next_moves(now, &shares, |zone| state.zones_in_region(zone), &sights, &loads)
    }

    /// Notes what zones serve while all is as ever.
    fn measure(&mut self, sights: &ZoneReports, shares: &BTreeMap<ZoneId, ZoneWeight>) {
        for zone in shares.keys() {
            let words: Vec<&ZoneOutcomes> = sights.values().filter_map(|own| own.get(zone)).collect();
            let served: f64 = words.iter().map(|s| f64::from(s.good) + f64::from(s.late)).sum();
            let busy: Vec<f64> =
                words.iter().filter(|s| s.busy > 0).map(|s| f64::from(s.busy) / 1000.0).collect();
            let busy = if busy.is_empty() { 0.0 } else { busy.iter().sum::<f64>() / busy.len() as f64 };
            let rate = served * 1e6 / crate::engine::outcome_window::WINDOW_LENGTH.as_micros_f64();
            let (known, used) = self.usual.entry(*zone).or_insert((rate, busy));
            *known += (rate - *known) * SMOOTH;
            *used += (busy - *used) * SMOOTH;
        }
    }

    /// What a zone would carry at its whole share, and what it bears at this warmth.
    fn load(&self, zone: ZoneId, warmth: f64) -> ZoneLoad {
        let Some((reads, busy)) = self.usual.get(&zone) else { return ZoneLoad::default() };
        ZoneLoad { reads: *reads, bears: reads * headroom_factor(*busy, UNSAID) * warmth }
    }

    /// This daemon's own part in it: zones that it leaves for itself from now on.
    pub fn update_local_evacuation(&mut self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        if !self.leaving.automatic {
            return BTreeSet::new();
        }
        self.alone.update(now, &self.own, &state.zone_weights)
    }

    /// The part of its reads that a zone gets from this daemon.
    pub fn effective_permille(&self, now: Timestamp, zone: ZoneId, state: &ClusterState) -> u16 {
        let agreed = state.zone_weight(zone).permille;
        if agreed == FULL_WEIGHT_PERMILLE && self.alone.is_evacuated(now, zone) { 0 } else { agreed }
    }

    /// EvacuationController that do not get all of their reads from this daemon.
    pub fn reduced_zones(&self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        let agreed = state
            .zone_weights
            .iter()
            .filter(|(_, share)| share.permille < FULL_WEIGHT_PERMILLE)
            .map(|(zone, _)| *zone);
        agreed.chain(self.alone.evacuated(now)).collect()
    }

    /// EvacuationController from whose hosts an overdue answer is not waited for: left ones, and those that fail much of what is asked
    /// while another one is sound.
    pub fn abandoned_zones(&self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        let mut zones = self.reduced_zones(now, state);
        zones.retain(|zone| self.effective_permille(now, *zone, state) == 0);
        if self.own.values().any(ZoneOutcomes::is_sound) {
            zones.extend(self.own.iter().filter(|(_, s)| s.is_shaky()).map(|(zone, _)| *zone));
        }
        zones
    }

    /// EvacuationController whose part is another one than when this was last asked.
    pub fn take_changed(&mut self, now: Timestamp, state: &ClusterState) -> BTreeSet<ZoneId> {
        let away = self.reduced_zones(now, state).into_iter();
        let parts: BTreeMap<ZoneId, u16> =
            away.map(|zone| (zone, self.effective_permille(now, zone, state))).collect();
        // Whoever is not named gets all.
        let part = |parts: &BTreeMap<ZoneId, u16>, zone: &ZoneId| {
            parts.get(zone).copied().unwrap_or(FULL_WEIGHT_PERMILLE)
        };
        let named = parts.keys().chain(self.parts.keys());
        let moved = named.filter(|zone| part(&parts, zone) != part(&self.parts, zone)).copied().collect();
        self.parts = parts;
        moved
    }

    /// A line of the list as it counts here. `primary`: it is believed to be its group's. A group that has no host
    /// elsewhere keeps those that it has: `alone`.
    pub fn apply_weight(
        &self,
        now: Timestamp,
        listed: EndpointRecord,
        state: &ClusterState,
        primary: bool,
        alone: bool,
    ) -> EndpointRecord {
        let part = self.effective_permille(now, listed.zone, state);
        if part == FULL_WEIGHT_PERMILLE || alone {
            return listed;
        }
        let weight = listed.weight * f64::from(part) / f64::from(FULL_WEIGHT_PERMILLE);
        let open = part > 0 || primary || listed.availability != Availability::Ready;
        let availability = if open { listed.availability } else { Availability::Draining };
        EndpointRecord { weight: weight.max(LITTLE), availability, ..listed }
    }

    /// The share that an operator's word gives a zone; an error says why not.
    pub fn weight_for_command(
        &self,
        order: ZoneCommand,
        zone: ZoneId,
        state: &ClusterState,
    ) -> Result<ZoneWeight, String> {
        let share = state.zone_weight(zone);
        let others = populated_zones(state)
            .into_iter()
            .any(|other| other != zone && state.zone_weight(other).permille > 0);
        match order {
            ZoneCommand::Evacuate if !others => Err("it is the last zone in service".into()),
            ZoneCommand::Evacuate => Ok(share.next(0, WeightReason::Operator)),
            ZoneCommand::Hold => Ok(share.next(share.permille, WeightReason::Operator)),
            ZoneCommand::ReturnNow => Ok(ZoneWeight {
                failed_returns: 0,
                ..share.next(FULL_WEIGHT_PERMILLE, WeightReason::Returns)
            }),
            ZoneCommand::Return if share.permille == FULL_WEIGHT_PERMILLE => {
                Ok(share.next(FULL_WEIGHT_PERMILLE, WeightReason::Returns))
            }
            ZoneCommand::Return => Ok(ZoneWeight {
                failed_returns: 0,
                ..share.next(share.permille.max(FIRST_RETURN_PERMILLE), WeightReason::Returns)
            }),
        }
    }
}

/// How each zone looks by these sights.
pub fn assess_zones(sights: &ZoneReports, state: &ClusterState) -> BTreeMap<ZoneId, ZoneHealth> {
    populated_zones(state).into_iter().map(|zone| (zone, assess_zone(zone, sights))).collect()
}

/// EvacuationController that have hosts.
pub fn populated_zones(state: &ClusterState) -> BTreeSet<ZoneId> {
    state.hosts.values().map(|host| host.zone).collect()
}

/// Groups that have no host outside this zone.
pub fn groups_confined_to(zone: ZoneId, state: &ClusterState) -> BTreeSet<GroupId> {
    let inside = state.hosts.values().filter(|h| h.zone == zone).map(|h| h.group);
    let outside: BTreeSet<GroupId> =
        state.hosts.values().filter(|h| h.zone != zone).map(|h| h.group).collect();
    inside.filter(|group| !outside.contains(group)).collect()
}

#[cfg(test)]
mod tests;
