//! The committed inventory as an endpoint list, and how an inventory file differs from it.

use super::{Change, ClusterState};
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::store::records::{HostRecord, NamedHost};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// How the hosts of an inventory file differ from the committed inventory, in numbers of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InventoryDifference {
    /// Hosts that only the file names.
    pub added: usize,
    /// Hosts that the file describes differently.
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
    /// The whole endpoint list at `index`. `has_pending_drain`: whether a drain of this host waits to be committed; it
    /// acts already.
    pub fn endpoint_list(&self, index: u64, has_pending_drain: impl Fn(&str) -> bool) -> EndpointUpdate {
        let mut entries = Vec::with_capacity(self.hosts.len());
        for (name, host) in &self.hosts {
            let is_drained = self.is_drained(name) || has_pending_drain(name);
            entries.push(host.endpoint_record(name, is_drained));
        }
        EndpointUpdate { index, whole: true, entries }
    }

    /// The change that brings the committed inventory to a file's; `None`: the committed one is not older. `changed_at`:
    /// when the file was last changed.
    ///
    /// A host without a start time in the file keeps the one that it had. One that is new to an inventory in use, or
    /// has moved to another address, counts as started `now`: nobody knows yet what load it can take, so it warms up.
    pub fn inventory_change(
        &self,
        read_by: &str,
        hosts: &[EndpointRecord],
        changed_at: Timestamp,
        now: Timestamp,
    ) -> Option<Change> {
        if self.inventory.as_ref().is_some_and(|current| changed_at <= current.changed_at) {
            return None;
        }
        let mut upserts = Vec::new();
        for listed in hosts {
            let current = self.hosts.get(&listed.name);
            let started_at = listed.started_at.or_else(|| self.assumed_start(listed, now));
            let host = HostRecord { started_at, ..HostRecord::from_endpoint_record(listed) };
            if current != Some(&host) {
                upserts.push(NamedHost { name: listed.name.clone(), host });
            }
        }
        Some(Change::Inventory {
            read_by: read_by.to_string(),
            changed_at,
            base_version: self.inventory.as_ref().map_or(0, |current| current.version),
            upserts,
            removals: self.hosts_missing_in(hosts).into_iter().cloned().collect(),
        })
    }

    /// The start time of a host whose file states none.
    fn assumed_start(&self, listed: &EndpointRecord, now: Timestamp) -> Option<Timestamp> {
        match self.hosts.get(&listed.name) {
            Some(current) if current.address == listed.address => current.started_at,
            // The hosts of the first inventory have been running.
            _ if self.inventory.is_none() => None,
            _ => Some(now),
        }
    }

    /// How a file's hosts differ from the committed inventory. A start time that the file does not state is no
    /// difference.
    pub fn inventory_difference(&self, hosts: &[EndpointRecord]) -> InventoryDifference {
        let mut difference = InventoryDifference::default();
        for listed in hosts {
            let Some(current) = self.hosts.get(&listed.name) else {
                difference.added += 1;
                continue;
            };
            let started_at = listed.started_at.or(current.started_at);
            let host = HostRecord { started_at, ..HostRecord::from_endpoint_record(listed) };
            if *current != host {
                difference.changed += 1;
            }
        }
        difference.missing = self.hosts_missing_in(hosts).len();
        difference
    }

    fn hosts_missing_in(&self, hosts: &[EndpointRecord]) -> Vec<&String> {
        let named: BTreeSet<&str> = hosts.iter().map(|listed| listed.name.as_str()).collect();
        self.hosts.keys().filter(|name| !named.contains(name.as_str())).collect()
    }
}
