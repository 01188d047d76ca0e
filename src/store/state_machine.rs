//! The agreed state: settings, inventory, drain marks, members. No I/O and no clock: the same changes in the
//! same order make the same state at every daemon.

use super::codec;
use super::records::{HostRecord, MembershipStep};
use super::zone_weights::ZoneWeight;
use crate::ids::{FleetId, NodeId, ZoneId};
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

mod change;
mod inventory;

pub use change::{
    ApplyResult, Change, DrainId, JoiningMember, Member, MembershipChange, PendingDrain, Proposal,
};
pub use inventory::InventoryDifference;

/// Hosts that an inventory may name. The same at all daemons, as all that decides here.
pub const MAX_HOSTS: usize = 20_000;

/// Daemons that a fleet may have, those that only follow included.
pub const MAX_MEMBERS: usize = 32;

/// Marks that were undone, and daemons that were removed, which are remembered.
const MAX_REMEMBERED: usize = 10_000;

/// Where settings or an inventory come from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Provenance {
    /// The daemon that read the file.
    pub read_by: String,
    /// When the file was last changed.
    pub changed_at: Timestamp,
    /// The place in the log at which it was agreed.
    pub version: u64,
}

/// The settings of the service, as they are agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Where they come from.
    pub provenance: Provenance,
    /// A line for each path.
    pub text: String,
}

/// The regions of zones, as they are agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionMap {
    /// When the file that says so was last changed.
    pub changed_at: Timestamp,
    /// The region of each zone that has one.
    pub by_zone: BTreeMap<ZoneId, String>,
}

/// The state that all daemons agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterState {
    /// The fleet.
    pub fleet: FleetId,
    /// Its daemons.
    pub members: BTreeMap<NodeId, Member>,
    /// Daemons that were removed, with their names.
    pub removed: BTreeMap<NodeId, String>,
    /// Names of daemons that founded the fleet with the first one and are still to come in.
    pub founders: BTreeSet<String>,
    /// The settings of the service.
    pub settings: Option<ServiceSettings>,
    /// Where the inventory comes from; `None` before the first one.
    pub inventory: Option<Provenance>,
    /// Its hosts.
    pub hosts: BTreeMap<String, HostRecord>,
    /// Drains in force, by host.
    pub drains: BTreeMap<String, BTreeSet<DrainId>>,
    /// Drains that were undone, each with its place in the log: one that comes late stays undone.
    pub undone_drains: BTreeMap<DrainId, u64>,
    /// Fleets that this one goes on from, on an operator's word: whoever is still of one of them comes over.
    pub previous_fleets: BTreeSet<FleetId>,
    /// A check sum over all that was agreed: alike at two daemons only where both took in the same sequence.
    pub digest: u32,
    /// Shares of zones that were ever moved.
    pub zone_weights: BTreeMap<ZoneId, ZoneWeight>,
    /// Regions by zone, and when the file that said so was changed.
    pub regions: RegionMap,
}

impl ClusterState {
    /// From its bytes; those of a version that knew no regions, or no shares either, are read too.
    pub fn decode(bytes: &[u8]) -> Option<ClusterState> {
        let earlier = |missing: &[u8]| codec::decode_earlier(bytes, missing);
        codec::decode(bytes).or_else(|| earlier(&[0, 0])).or_else(|| earlier(&[0, 0, 0]))
    }

    /// Zones of the same region as this one, itself among them.
    pub fn zones_in_region(&self, zone: ZoneId) -> Vec<ZoneId> {
        let Some(region) = self.regions.by_zone.get(&zone) else { return vec![zone] };
        self.regions.by_zone.iter().filter(|(_, r)| *r == region).map(|(z, _)| *z).collect()
    }

    /// The share of a zone.
    pub fn zone_weight(&self, zone: ZoneId) -> ZoneWeight {
        self.zone_weights.get(&zone).copied().unwrap_or_default()
    }

    /// A new fleet of one, which waits for the other founders.
    pub fn found_fleet(
        fleet: FleetId,
        id: NodeId,
        member: Member,
        founders: BTreeSet<String>,
    ) -> ClusterState {
        let members = BTreeMap::from([(id, member)]);
        ClusterState { fleet, members, founders, ..ClusterState::default() }
    }

    /// A fleet of one that goes on from this state, on an operator's word.
    pub fn force_new_fleet(&self, fleet: FleetId, id: NodeId, member: Member) -> ClusterState {
        let mut former = self.previous_fleets.clone();
        former.insert(self.fleet);
        let (members, founders) = (BTreeMap::from([(id, member)]), BTreeSet::new());
        ClusterState { fleet, members, founders, previous_fleets: former, ..self.clone() }
    }

    /// Whether all founders are in: before that the fleet agrees on nothing else.
    pub fn is_complete(&self) -> bool {
        self.founders.is_empty()
    }

    /// Whether a host is drained by a mark.
    pub fn is_drained(&self, host: &str) -> bool {
        self.drains.contains_key(host)
    }

    /// Whether the log has said all that there is to say of a mark.
    pub fn is_resolved(&self, host: &str, mark: DrainId) -> bool {
        self.undone_drains.contains_key(&mark) || self.drains.get(host).is_some_and(|m| m.contains(&mark))
    }

    /// Takes in the change at `index`.
    pub fn apply(&mut self, index: u64, change: &Change) -> ApplyResult {
        match change {
            Change::Drain { host, drain: mark } => {
                if self.is_resolved(host, *mark) {
                    return ApplyResult::Superseded;
                }
                self.drains.entry(host.clone()).or_default().insert(*mark);
                ApplyResult::Done
            }
            Change::Undrain { host, drains: marks } => {
                let mut known = self.drains.remove(host).unwrap_or_default();
                for mark in marks {
                    // Also one that the log has not seen yet: it comes undone.
                    known.remove(mark);
                    self.undone_drains.insert(*mark, index);
                }
                if !known.is_empty() {
                    self.drains.insert(host.clone(), known);
                }
                self.discard_oldest_undone();
                ApplyResult::Done
            }
            Change::Inventory {
                read_by: by,
                changed_at: changed,
                base_version: base,
                upserts: set,
                removals: gone,
            } => {
                let (version, known) =
                    self.inventory.as_ref().map_or((0, None), |i| (i.version, Some(i.changed_at)));
                if known.is_some_and(|known| *changed <= known) {
                    return ApplyResult::Superseded;
                }
                if *base != version {
                    return ApplyResult::StaleBase;
                }
                let names: BTreeSet<&String> = self.hosts.keys().chain(set.iter().map(|(n, _)| n)).collect();
                if names.len() > MAX_HOSTS + gone.len() {
                    return ApplyResult::Rejected;
                }
                for name in gone {
                    self.hosts.remove(name);
                }
                self.hosts.extend(set.iter().cloned());
                self.inventory =
                    Some(Provenance { read_by: by.clone(), changed_at: *changed, version: index });
                ApplyResult::Done
            }
            Change::Settings { read_by: by, changed_at: changed, text } => {
                if self.settings.as_ref().is_some_and(|known| *changed <= known.provenance.changed_at) {
                    return ApplyResult::Superseded;
                }
                let source = Provenance { read_by: by.clone(), changed_at: *changed, version: index };
                self.settings = Some(ServiceSettings { provenance: source, text: text.clone() });
                ApplyResult::Done
            }
            Change::ZoneWeight { zone, weight: share } => {
                if share.version != self.zone_weight(*zone).version + 1 {
                    return ApplyResult::Superseded;
                }
                // Two that are said at once, each while the other zone was in service, must not take all away.
                let mut zones = self.hosts.values().map(|h| h.zone).filter(|z| z != zone);
                if share.permille == 0 && !zones.any(|other| self.zone_weight(other).permille > 0) {
                    return ApplyResult::Rejected;
                }
                self.zone_weights.insert(*zone, *share);
                ApplyResult::Done
            }
            Change::Regions { changed_at: changed, regions, .. } => {
                if *changed <= self.regions.changed_at {
                    return ApplyResult::Superseded;
                }
                self.regions = RegionMap { changed_at: *changed, by_zone: regions.clone() };
                ApplyResult::Done
            }
        }
    }

    /// Takes in a change of the membership. The consensus has the last word on who votes.
    pub fn apply_membership(&mut self, change: &MembershipChange) {
        if let Some(joining) = &change.joining {
            self.members.insert(joining.id, joining.member.clone());
        }
        for step in &change.steps {
            match step {
                MembershipStep::Remove(id) => {
                    if let Some(member) = self.members.remove(id) {
                        self.founders.remove(&member.name);
                        self.removed.insert(*id, member.name);
                    }
                }
                MembershipStep::AddVoter(id) => {
                    if let Some(member) = self.members.get(id) {
                        self.founders.remove(&member.name);
                    }
                }
                MembershipStep::AddLearner(_) => {}
            }
        }
        while self.removed.len() > MAX_REMEMBERED {
            self.removed.pop_first();
        }
    }

    fn discard_oldest_undone(&mut self) {
        let more = self.undone_drains.len().saturating_sub(MAX_REMEMBERED);
        if more > 0 {
            let mut oldest: Vec<(u64, DrainId)> =
                self.undone_drains.iter().map(|(m, at)| (*at, *m)).collect();
            oldest.sort_unstable();
            oldest.iter().take(more).for_each(|(_, mark)| {
                self.undone_drains.remove(mark);
            });
        }
    }
}

#[cfg(test)]
mod tests;
