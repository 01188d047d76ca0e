//! The endpoint list for the engine: the committed inventory, with the drains known here, the reported start times and
//! the weights of zones applied to it.

use super::Fleet;
use super::agreed_state::AgreedState;
use super::drains::DrainState;
use super::gossip::GossipExchange;
use super::recovery::RecoveryProgress;
use super::zones::ZoneControl;
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate, ListCoverage};
use crate::fleet::zones::{EndpointPlacement, groups_confined_to};
use crate::ids::{GroupId, ZoneId};
use crate::routing::Availability;
use crate::store::records::DrainRequest;
use crate::store::zone_weights::WeightReason;
use crate::time::Timestamp;
use std::cell::Ref;
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints whose list entries may have changed since the last update.
pub(super) enum EndpointChanges {
    /// Every entry has to be checked.
    All,
    /// Only the entries of these endpoints have to be checked.
    Some(BTreeSet<String>),
}

impl EndpointChanges {
    /// Records that any endpoint may have changed.
    pub(super) fn record_all(&mut self) {
        *self = EndpointChanges::All;
    }

    fn record(&mut self, endpoints: impl IntoIterator<Item = String>) {
        if let EndpointChanges::Some(names) = self {
            names.extend(endpoints);
        }
    }

    fn take(&mut self) -> EndpointChanges {
        std::mem::replace(self, EndpointChanges::Some(BTreeSet::new()))
    }
}

/// Everything that determines the entries of the list.
struct ListInputs<'a> {
    now: Timestamp,
    agreed: Ref<'a, AgreedState>,
    drains: Ref<'a, DrainState>,
    gossip: Ref<'a, GossipExchange>,
    recovery: Ref<'a, RecoveryProgress>,
    zones: Ref<'a, ZoneControl>,
    /// For each zone with reduced reads, the groups that have no endpoint in any other zone.
    confined_groups: BTreeMap<ZoneId, BTreeSet<GroupId>>,
}

impl ListInputs<'_> {
    /// The list entry of an endpoint; `None` if the inventory does not contain it.
    fn record(&self, name: &str) -> Option<EndpointRecord> {
        let state = self.agreed.state();
        let is_drained = state.is_drained(name) || self.drains.pending().is_draining(name);
        let drain = if is_drained { DrainRequest::InForce } else { DrainRequest::Absent };
        let mut record = state.hosts.get(name)?.endpoint_record(name, drain);
        record.started_at = record.started_at.max(self.recovery.reported_start(name));
        let confined = self.confined_groups.get(&record.zone);
        let placement = EndpointPlacement {
            may_be_primary: self.may_be_primary(name, &record),
            group_confined_to_zone: confined.is_some_and(|groups| groups.contains(&record.group)),
        };
        Some(self.zones.state().apply_weight(self.now, record, state, placement))
    }

    /// Whether an endpoint may be its group's primary. If the primary is unknown or was last observed in a lost zone,
    /// this is true for every endpoint of the group outside lost zones.
    fn may_be_primary(&self, name: &str, record: &EndpointRecord) -> bool {
        let gossip = self.gossip.state();
        let Some(belief) = gossip.primary_beliefs().get(&record.group) else {
            return !self.is_lost(record.zone);
        };
        if belief.endpoint == name {
            return true;
        }
        let believed_zone = self.agreed.state().hosts.get(&belief.endpoint).map(|host| host.zone);
        let is_believed_lost = believed_zone.is_some_and(|zone| self.is_lost(zone));
        let is_known = gossip.is_primary_known(record.group) && !is_believed_lost;
        !is_known && !self.is_lost(record.zone)
    }

    fn is_lost(&self, zone: ZoneId) -> bool {
        self.agreed.state().zone_weight(zone).reason == WeightReason::Lost
    }
}

impl Fleet {
    /// Returns the entries that have changed since the last call, and applies them to `list`, the caller's copy of the
    /// list. If `list` is empty, returns all entries. Returns `None` if nothing has changed or no inventory is
    /// committed. Pending drains are applied like committed ones.
    pub fn next_endpoint_update(
        &self,
        list: &mut BTreeMap<String, EndpointRecord>,
    ) -> Option<EndpointUpdate> {
        self.agreed().state().inventory.as_ref()?;
        let changes = self.endpoint_changes.borrow_mut().take();
        let inputs = self.list_inputs();
        let is_full_list = list.is_empty();
        let names = match changes {
            EndpointChanges::Some(names) if !is_full_list => names,
            _ => inputs.agreed.state().hosts.keys().chain(list.keys()).cloned().collect(),
        };
        let mut entries = Vec::new();
        for name in names {
            match inputs.record(&name) {
                Some(record) if list.get(&name) != Some(&record) => {
                    list.insert(name, record.clone());
                    entries.push(record);
                }
                Some(_) => {}
                None => {
                    let removed = list.remove(&name);
                    entries.extend(
                        removed.map(|old| EndpointRecord { availability: Availability::Gone, ..old }),
                    );
                }
            }
        }
        if entries.is_empty() {
            return None;
        }
        let coverage = if is_full_list { ListCoverage::Complete } else { ListCoverage::Changes };
        Some(EndpointUpdate { version: inputs.agreed.applied_index(), coverage, entries })
    }

    fn list_inputs(&self) -> ListInputs<'_> {
        let now = self.clock.now();
        let (agreed, zones) = (self.agreed(), self.zones.borrow());
        let mut confined_groups = BTreeMap::new();
        for zone in zones.state().reduced_zones(now, agreed.state()) {
            confined_groups.insert(zone, groups_confined_to(zone, agreed.state()));
        }
        ListInputs {
            now,
            agreed,
            drains: self.drains(),
            gossip: self.gossip(),
            recovery: self.recovery.borrow(),
            zones,
            confined_groups,
        }
    }

    /// Records that the list entries of these endpoints may have changed.
    pub(super) fn mark_endpoints_changed(&self, endpoints: impl IntoIterator<Item = String>) {
        self.endpoint_changes.borrow_mut().record(endpoints);
    }

    /// The whole committed list with drains known here applied, as shown to operators; `None` if no inventory is
    /// committed. Unlike the entries of [`Fleet::next_endpoint_update`], it has the weights and start times of the
    /// inventory: neither zone weights nor reported start times are applied.
    pub fn endpoint_list(&self) -> Option<EndpointUpdate> {
        let agreed = self.agreed();
        agreed.state().inventory.as_ref()?;
        let drains = self.drains();
        let is_draining = |endpoint: &str| drains.pending().is_draining(endpoint);
        Some(agreed.state().endpoint_list(agreed.applied_index(), is_draining))
    }
}
