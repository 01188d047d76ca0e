//! The endpoint list that the engine is given: the committed inventory, without what is drained here, weighted by zone.

use super::Fleet;
use super::agreed_state::AgreedState;
use super::drains::DrainState;
use super::gossip::GossipExchange;
use super::recovery::RecoveryProgress;
use super::zones::ZoneControl;
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::fleet::zones::{EndpointPlacement, groups_confined_to};
use crate::ids::{GroupId, ZoneId};
use crate::routing::Availability;
use crate::store::zone_weights::WeightReason;
use crate::time::Timestamp;
use std::cell::Ref;
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints whose entry in the list may have changed since it was last made.
pub(super) enum EndpointChanges {
    /// Any may have changed.
    All,
    /// These may have changed.
    Some(BTreeSet<String>),
}

impl EndpointChanges {
    /// Any endpoint may have changed.
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

/// All that the entries of the list depend on.
struct ListInputs<'a> {
    now: Timestamp,
    agreed: Ref<'a, AgreedState>,
    drains: Ref<'a, DrainState>,
    gossip: Ref<'a, GossipExchange>,
    recovery: Ref<'a, RecoveryProgress>,
    zones: Ref<'a, ZoneControl>,
    /// Of each zone that does not get all of its reads, the groups that have no endpoint in another zone.
    confined_groups: BTreeMap<ZoneId, BTreeSet<GroupId>>,
}

impl ListInputs<'_> {
    /// The entry of an endpoint; `None` where the inventory lacks it.
    fn record(&self, name: &str) -> Option<EndpointRecord> {
        let state = self.agreed.state();
        let is_drained = state.is_drained(name) || self.drains.pending().is_draining(name);
        let mut record = state.hosts.get(name)?.endpoint_record(name, is_drained);
        record.started_at = record.started_at.max(self.recovery.reported_start(name));
        let confined = self.confined_groups.get(&record.zone);
        let placement = EndpointPlacement {
            may_be_primary: self.may_be_primary(name, &record),
            group_confined_to_zone: confined.is_some_and(|groups| groups.contains(&record.group)),
        };
        Some(self.zones.state().apply_weight(self.now, record, state, placement))
    }

    /// Whether an endpoint is believed to be its group's primary. Where the primary is not known, or was in a zone that
    /// is lost, each endpoint outside of lost zones may be it.
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
    /// What has changed in the endpoint list since it was last asked for; `None` where nothing has, or no inventory is
    /// committed. An endpoint that is drained here is drained in the list, whether or not that is committed. `list` is
    /// the list as the caller has it; it is brought up to date.
    pub fn next_endpoint_update(
        &self,
        list: &mut BTreeMap<String, EndpointRecord>,
    ) -> Option<EndpointUpdate> {
        self.agreed().state().inventory.as_ref()?;
        let changes = self.endpoint_changes.borrow_mut().take();
        let inputs = self.list_inputs();
        let is_whole = list.is_empty();
        let names = match changes {
            EndpointChanges::Some(names) if !is_whole => names,
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
        Some(EndpointUpdate { index: inputs.agreed.applied_index(), whole: is_whole, entries })
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

    /// Notes that the entries of these endpoints may have changed.
    pub(super) fn mark_endpoints_changed(&self, endpoints: impl IntoIterator<Item = String>) {
        self.endpoint_changes.borrow_mut().record(endpoints);
    }

    /// The committed list without what is drained here, for operators; `None` where no inventory is committed.
    pub fn endpoint_list(&self) -> Option<EndpointUpdate> {
        let agreed = self.agreed();
        agreed.state().inventory.as_ref()?;
        let drains = self.drains();
        let is_draining = |endpoint: &str| drains.pending().is_draining(endpoint);
        Some(agreed.state().endpoint_list(agreed.applied_index(), is_draining))
    }
}
