//! The list that the engine is given.

use super::*;

impl Fleet {
    /// What has changed in the list to act on since this was last asked: a host that is drained here is closed,
    /// agreed or not. `None`: nothing, or nothing was agreed yet. The caller keeps the list that it makes.
    pub fn list_change(&self, kept: &mut BTreeMap<String, EndpointRecord>) -> Option<EndpointUpdate> {
        let table = self.table();
        table.state.inventory.as_ref()?;
        let touched = self.touched.replace(Touched::Hosts(BTreeSet::new()));
        let present = self.clock.now();
        let away = self.zoning.borrow().reduced_zones(present, &table.state).into_iter();
        let gone = |zone| table.state.zone_weight(zone).reason == WeightReason::Lost;
        let only: BTreeMap<ZoneId, BTreeSet<GroupId>> =
            away.map(|zone| (zone, crate::fleet::zones::groups_confined_to(zone, &table.state))).collect();
        let now = |name: &String| {
            let drained = table.state.is_drained(name) || table.marks.is_draining(name);
            let listed = table.state.hosts.get(name).map(|host| host.endpoint_record(name, drained))?;
            let started_at = listed.started_at.max(self.restarts.borrow().reported_start(name));
            let host = EndpointRecord { started_at, ..listed };
            // Where nobody knows the primary each host may be it, but for those that are gone.
            let belief = table.learned.primary_beliefs().get(&host.group);
            let zone = belief.and_then(|b| table.state.hosts.get(&b.endpoint)).map(|h| h.zone);
            let known = table.learned.is_primary_known(host.group) && !zone.is_some_and(gone);
            let primary = belief.is_some_and(|b| b.endpoint == *name) || !known && !gone(host.zone);
            let alone = only.get(&host.zone).is_some_and(|groups| groups.contains(&host.group));
            Some(self.zoning.borrow().apply_weight(present, host, &table.state, primary, alone))
        };
        let whole = kept.is_empty();
        let names: BTreeSet<String> = match touched {
            Touched::Hosts(names) if !whole => names,
            _ => table.state.hosts.keys().chain(kept.keys()).cloned().collect(),
        };
        let mut entries = Vec::new();
        for name in names {
            match (now(&name), kept.get(&name)) {
                (Some(new), old) if old != Some(&new) => {
                    kept.insert(name, new.clone());
                    entries.push(new);
                }
                (None, Some(_)) => {
                    let old = kept.remove(&name);
                    entries.extend(old.map(|e| EndpointRecord { availability: Availability::Gone, ..e }));
                }
                _ => {}
            }
        }
        (!entries.is_empty()).then_some(EndpointUpdate { index: table.applied, whole, entries })
    }

    /// These hosts may have changed in the list.
    pub(super) fn mark_endpoints_changed(&self, hosts: impl IntoIterator<Item = String>) {
        if let Touched::Hosts(names) = &mut *self.touched.borrow_mut() {
            names.extend(hosts);
        }
    }

    /// The list to act on, once one was agreed.
    pub fn current_endpoint_list(&self) -> Option<EndpointUpdate> {
        let table = self.table();
        table.state.inventory.as_ref()?;
        Some(table.state.endpoint_list(table.applied, |host| table.marks.is_draining(host)))
    }
}
