//! The agreed inventory beside that of a file.

use super::{Change, ClusterState};
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::store::records::HostRecord;
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// How a file's hosts differ from the agreed inventory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InventoryDifference {
    /// Hosts that only the file names.
    pub added: usize,
    /// Hosts that both name, with other properties.
    pub changed: usize,
    /// Hosts that the file lacks.
    pub missing: usize,
}

impl InventoryDifference {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        *self == InventoryDifference::default()
    }
}

impl ClusterState {
    /// The list as it is agreed, with hosts closed that `also` names: drains that are not agreed yet.
    pub fn endpoint_list(&self, index: u64, also: impl Fn(&str) -> bool) -> EndpointUpdate {
        let one = |(name, host): (&String, &HostRecord)| {
            host.endpoint_record(name, self.is_drained(name) || also(name))
        };
        EndpointUpdate { index, whole: true, entries: self.hosts.iter().map(one).collect() }
    }

    /// What a file's hosts change in the agreed inventory; `None`: the agreed one is as new, or says the same.
    /// A host that is new to a list in use starts cold, and so does one that has moved: nobody has seen what it
    /// bears.
    pub fn inventory_change(
        &self,
        by: &str,
        hosts: &[EndpointRecord],
        changed: Timestamp,
        now: Timestamp,
    ) -> Option<Change> {
        if self.inventory.as_ref().is_some_and(|i| changed <= i.changed_at) {
            return None;
        }
        let running = self.inventory.is_some();
        let (mut set, mut named) = (Vec::new(), BTreeSet::new());
        for listed in hosts {
            named.insert(listed.name.as_str());
            let old = self.hosts.get(&listed.name);
            let known = old.filter(|o| o.address == listed.address);
            let started_at = match (listed.started_at, known) {
                (Some(stated), _) => Some(stated),
                (None, Some(known)) => known.started_at,
                (None, None) => running.then_some(now),
            };
            let new = HostRecord { started_at, ..HostRecord::from_endpoint_record(listed) };
            if old != Some(&new) {
                set.push((listed.name.clone(), new));
            }
        }
        let gone: Vec<String> = self.hosts.keys().filter(|n| !named.contains(n.as_str())).cloned().collect();
        let base = self.inventory.as_ref().map_or(0, |i| i.version);
        Some(Change::Inventory {
            read_by: by.to_string(),
            changed_at: changed,
            base_version: base,
            upserts: set,
            removals: gone,
        })
    }

    /// How a file's hosts differ from the agreed ones: added, changed, missing.
    pub fn inventory_difference(&self, hosts: &[EndpointRecord]) -> InventoryDifference {
        let (mut added, mut changed) = (0, 0);
        for listed in hosts {
            match self.hosts.get(&listed.name) {
                None => added += 1,
                Some(known) => {
                    let stated = listed.started_at.or(known.started_at);
                    changed += usize::from(
                        *known
                            != HostRecord { started_at: stated, ..HostRecord::from_endpoint_record(listed) },
                    );
                }
            }
        }
        let named: BTreeSet<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
        let missing = self.hosts.keys().filter(|n| !named.contains(n.as_str())).count();
        InventoryDifference { added, changed, missing }
    }
}
