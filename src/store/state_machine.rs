//! The replicated state: members, settings, inventory, drains, zone weights and regions.
//!
//! It does no I/O and reads no clock, so that the same changes in the same order produce the same state on every node.
//! [`ClusterState::apply`] must therefore follow the same rules in all versions that run together in a fleet.

mod change;
mod inventory;

pub use change::{
    ApplyResult, Change, DrainId, JoiningMember, Member, MembershipChange, PendingDrain, Proposal,
};
pub use inventory::InventoryDifference;

use super::codec;
use super::records::{HostRecord, MembershipStep, NamedHost};
use super::zone_weights::ZoneWeight;
use crate::ids::{FleetId, NodeId, ZoneId};
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of hosts in an inventory. It bounds the size of the snapshot, and must be the same on all nodes.
pub const MAX_HOSTS: usize = 20_000;

/// Maximum number of members of a fleet, including learners.
pub const MAX_MEMBERS: usize = 32;

/// Maximum number of undone drains, and of removed members, that are remembered. It must be the same on all nodes. A
/// drain whose entry is committed only after its undo record was discarded takes effect again.
const MAX_TOMBSTONES: usize = 10_000;

/// The encoded default of [`ClusterState::regions`]: time zero and an empty map. The first builds with zone weights
/// did not have this field.
const DEFAULT_REGIONS: [u8; 2] = [0, 0];
/// The encoded defaults of [`ClusterState::zone_weights`] and [`ClusterState::regions`]. Builds before zone weights
/// had neither field.
const DEFAULT_ZONE_WEIGHTS_AND_REGIONS: [u8; 3] = [0, 0, 0];

/// The file that committed settings or a committed inventory come from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Provenance {
    /// The name of the node that read the file and proposed its contents.
    pub read_by: String,
    /// When the file was last modified. The most recently modified file wins.
    pub changed_at: Timestamp,
    /// The index of the log entry that committed the contents.
    pub version: u64,
}

/// The committed settings of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The file that the settings come from.
    pub provenance: Provenance,
    /// One `path=value` line for each setting.
    pub text: String,
}

/// The committed regions of zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionMap {
    /// When the inventory file that defines them was last modified.
    pub changed_at: Timestamp,
    /// The region of each zone that has one.
    pub by_zone: BTreeMap<ZoneId, String>,
}

/// The replicated state, equal on all nodes of a fleet after the same entries. The order of the fields is part of the
/// stored format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterState {
    /// The fleet, or [`FleetId::NONE`] if none was founded yet.
    pub fleet: FleetId,
    /// The nodes of the fleet, including learners.
    pub members: BTreeMap<NodeId, Member>,
    /// The names of removed nodes, at most [`MAX_TOMBSTONES`]. Beyond that, those with the lowest ids are discarded.
    pub removed: BTreeMap<NodeId, String>,
    /// The names of founding nodes that do not vote yet.
    pub founders: BTreeSet<String>,
    /// The settings of the service; `None` until some are committed.
    pub settings: Option<ServiceSettings>,
    /// The file that the inventory comes from; `None` until an inventory is committed.
    pub inventory: Option<Provenance>,
    /// The hosts of the inventory, by name.
    pub hosts: BTreeMap<String, HostRecord>,
    /// The drains in force, by the name of the host. No set is empty.
    pub drains: BTreeMap<String, BTreeSet<DrainId>>,
    /// Undone drains, each with the index of the entry that undid it. The newest [`MAX_TOMBSTONES`] are remembered, so
    /// that a drain that is committed after its undrain stays undone.
    pub undone_drains: BTreeMap<DrainId, u64>,
    /// Fleets that an operator has replaced with this one. Nodes that still belong to one of them join this fleet.
    pub previous_fleets: BTreeSet<FleetId>,
    /// A checksum over all applied entries. Different digests at the same index show that two nodes have applied
    /// different entries.
    pub digest: u32,
    /// The traffic weights of zones; a zone whose weight was never changed has no entry.
    pub zone_weights: BTreeMap<ZoneId, ZoneWeight>,
    /// The regions that zones belong to.
    pub regions: RegionMap,
}

impl ClusterState {
    /// Decodes a state, including those of versions without regions, or without regions and zone weights. Returns
    /// `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<ClusterState> {
        codec::decode(bytes)
            .or_else(|| codec::decode_with_defaults(bytes, &DEFAULT_REGIONS))
            .or_else(|| codec::decode_with_defaults(bytes, &DEFAULT_ZONE_WEIGHTS_AND_REGIONS))
    }

    /// The state of a new fleet with one member. It commits only membership changes until the other founders are
    /// voters.
    pub fn found_fleet(
        fleet: FleetId,
        id: NodeId,
        member: Member,
        founders: BTreeSet<String>,
    ) -> ClusterState {
        let members = BTreeMap::from([(id, member)]);
        ClusterState { fleet, members, founders, ..ClusterState::default() }
    }

    /// The state of a new fleet with one member that replaces this fleet and continues from its state. An operator
    /// requests it when the majority of this fleet is lost.
    pub fn force_new_fleet(&self, fleet: FleetId, id: NodeId, member: Member) -> ClusterState {
        let mut state = self.clone();
        state.previous_fleets.insert(self.fleet);
        state.fleet = fleet;
        state.members = BTreeMap::from([(id, member)]);
        state.founders = BTreeSet::new();
        state
    }

    /// Whether every founder has become a voter or was removed.
    pub fn is_complete(&self) -> bool {
        self.founders.is_empty()
    }

    /// The zones in the region of `zone`, including `zone` itself; only `zone` if it has no region.
    pub fn zones_in_region(&self, zone: ZoneId) -> Vec<ZoneId> {
        let regions = &self.regions.by_zone;
        let Some(region) = regions.get(&zone) else { return vec![zone] };
        let in_region = |(zone, other): (&ZoneId, &String)| (other == region).then_some(*zone);
        regions.iter().filter_map(in_region).collect()
    }

    /// The weight of a zone; the default is full weight.
    pub fn zone_weight(&self, zone: ZoneId) -> ZoneWeight {
        self.zone_weights.get(&zone).copied().unwrap_or_default()
    }

    /// Whether any committed drain of the host is in force. Pending drains are not part of this state.
    pub fn is_drained(&self, host: &str) -> bool {
        self.drains.contains_key(host)
    }

    /// Whether this drain is committed, or was undone.
    pub fn is_resolved(&self, host: &str, drain: DrainId) -> bool {
        let is_committed = self.drains.get(host).is_some_and(|drains| drains.contains(&drain));
        is_committed || self.undone_drains.contains_key(&drain)
    }

    /// Applies the change that was committed at `index`.
    pub fn apply(&mut self, index: u64, change: &Change) -> ApplyResult {
        match change {
            Change::Drain { host, drain } => self.apply_drain(host, *drain),
            Change::Undrain { host, drains } => self.apply_undrain(index, host, drains),
            Change::Inventory { read_by, changed_at, base_version, upserts, removals } => {
                let provenance =
                    Provenance { read_by: read_by.clone(), changed_at: *changed_at, version: index };
                self.apply_inventory(provenance, *base_version, upserts, removals)
            }
            Change::Settings { read_by, changed_at, text } => {
                let provenance =
                    Provenance { read_by: read_by.clone(), changed_at: *changed_at, version: index };
                self.apply_settings(ServiceSettings { provenance, text: text.clone() })
            }
            Change::ZoneWeight { zone, weight } => self.apply_zone_weight(*zone, *weight),
            Change::Regions { changed_at, regions, .. } => {
                self.apply_regions(RegionMap { changed_at: *changed_at, by_zone: regions.clone() })
            }
        }
    }

    fn apply_drain(&mut self, host: &str, drain: DrainId) -> ApplyResult {
        if self.is_resolved(host, drain) {
            return ApplyResult::Superseded;
        }
        self.drains.entry(host.to_string()).or_default().insert(drain);
        ApplyResult::Done
    }

    /// Undoes the listed drains, including those that are not committed yet. Other drains of the host stay in force.
    fn apply_undrain(&mut self, index: u64, host: &str, drains: &[DrainId]) -> ApplyResult {
        let mut in_force = self.drains.remove(host).unwrap_or_default();
        for drain in drains {
            in_force.remove(drain);
            self.undone_drains.insert(*drain, index);
        }
        if !in_force.is_empty() {
            self.drains.insert(host.to_string(), in_force);
        }
        self.discard_oldest_undone_drains();
        ApplyResult::Done
    }

    fn discard_oldest_undone_drains(&mut self) {
        let excess = self.undone_drains.len().saturating_sub(MAX_TOMBSTONES);
        if excess == 0 {
            return;
        }
        let mut by_age: Vec<(u64, DrainId)> =
            self.undone_drains.iter().map(|(drain, index)| (*index, *drain)).collect();
        by_age.sort_unstable();
        for (_, drain) in by_age.iter().take(excess) {
            self.undone_drains.remove(drain);
        }
    }

    fn apply_inventory(
        &mut self,
        provenance: Provenance,
        base_version: u64,
        upserts: &[NamedHost],
        removals: &[String],
    ) -> ApplyResult {
        let current_version = self.inventory.as_ref().map_or(0, |current| current.version);
        if self.inventory.as_ref().is_some_and(|current| provenance.changed_at <= current.changed_at) {
            return ApplyResult::Superseded;
        }
        if base_version != current_version {
            return ApplyResult::StaleBase;
        }
        let added = upserts.iter().map(|upsert| &upsert.name);
        let names: BTreeSet<&String> = self.hosts.keys().chain(added).collect();
        if names.len() > MAX_HOSTS + removals.len() {
            return ApplyResult::Rejected;
        }
        for name in removals {
            self.hosts.remove(name);
        }
        for NamedHost { name, host } in upserts {
            self.hosts.insert(name.clone(), host.clone());
        }
        self.inventory = Some(provenance);
        ApplyResult::Done
    }

    fn apply_settings(&mut self, settings: ServiceSettings) -> ApplyResult {
        let changed_at = settings.provenance.changed_at;
        if self.settings.as_ref().is_some_and(|current| changed_at <= current.provenance.changed_at) {
            return ApplyResult::Superseded;
        }
        self.settings = Some(settings);
        ApplyResult::Done
    }

    fn apply_zone_weight(&mut self, zone: ZoneId, weight: ZoneWeight) -> ApplyResult {
        if weight.version != self.zone_weight(zone).version + 1 {
            return ApplyResult::Superseded;
        }
        // Two zones may be evacuated concurrently, each proposal assuming that the other zone stays in service. The
        // second one must be rejected.
        if weight.permille == 0 && !self.has_other_zone_in_service(zone) {
            return ApplyResult::Rejected;
        }
        self.zone_weights.insert(zone, weight);
        ApplyResult::Done
    }

    fn has_other_zone_in_service(&self, zone: ZoneId) -> bool {
        let is_in_service = |host: &HostRecord| host.zone != zone && self.zone_weight(host.zone).permille > 0;
        self.hosts.values().any(is_in_service)
    }

    fn apply_regions(&mut self, regions: RegionMap) -> ApplyResult {
        if regions.changed_at <= self.regions.changed_at {
            return ApplyResult::Superseded;
        }
        self.regions = regions;
        ApplyResult::Done
    }

    /// Applies a membership change to the members of the fleet. Which of them vote is part of the Raft configuration,
    /// not of this state.
    pub fn apply_membership(&mut self, change: &MembershipChange) {
        if let Some(joining) = &change.joining {
            self.members.insert(joining.id, joining.member.clone());
        }
        for step in &change.steps {
            match step {
                MembershipStep::Remove(id) => self.remove_member(*id),
                MembershipStep::AddVoter(id) => {
                    if let Some(member) = self.members.get(id) {
                        self.founders.remove(&member.name);
                    }
                }
                MembershipStep::AddLearner(_) => {}
            }
        }
        while self.removed.len() > MAX_TOMBSTONES {
            self.removed.pop_first();
        }
    }

    fn remove_member(&mut self, id: NodeId) {
        if let Some(member) = self.members.remove(&id) {
            self.founders.remove(&member.name);
            self.removed.insert(id, member.name);
        }
    }
}

#[cfg(test)]
mod tests;
