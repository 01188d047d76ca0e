//! Conversion of the committed inventory to an endpoint list, and comparison of inventory files with it.

use super::{Change, ClusterState};
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate, ListCoverage};
use crate::store::records::{DrainRequest, HostRecord, NamedHost};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// The numbers of hosts in which an inventory file differs from the committed inventory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InventoryDifference {
    /// Hosts that only the file has.
    pub added: usize,
    /// Hosts that the file and the inventory describe differently.
    pub changed: usize,
    /// Hosts that only the committed inventory has.
    pub missing: usize,
}

impl InventoryDifference {
    /// Whether the file and the committed inventory describe the same hosts.
    pub fn is_empty(&self) -> bool {
        *self == InventoryDifference::default()
    }
}

impl ClusterState {
    /// The complete endpoint list, with `index`, that of the last applied entry, as its version. `has_pending_drain`
    /// tells whether a host has a drain that is not committed yet. A host is listed as draining if it has a pending or
    /// a committed drain, or if the inventory marks it as draining.
    pub fn endpoint_list(&self, index: u64, has_pending_drain: impl Fn(&str) -> bool) -> EndpointUpdate {
        let mut entries = Vec::with_capacity(self.hosts.len());
        for (name, host) in &self.hosts {
            let is_drained = self.is_drained(name) || has_pending_drain(name);
            let drain = if is_drained { DrainRequest::InForce } else { DrainRequest::Absent };
            entries.push(host.endpoint_record(name, drain));
        }
        EndpointUpdate { version: index, coverage: ListCoverage::Complete, entries }
    }

    /// The change from the committed inventory to that of a file that was last modified at `changed_at`. Returns
    /// `None` if the committed inventory comes from a file that is as new or newer.
    ///
    /// A host without a start time in the file keeps its committed start time. A host that is added to an existing
    /// inventory, or has moved to another address, is assumed to have started `now`, so that it warms up: the load
    /// that it can take is not known yet.
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
            let started_at = listed.started_at.or_else(|| self.assumed_start_time(listed, now));
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

    /// The start time to assume for a host for which the file has none.
    fn assumed_start_time(&self, listed: &EndpointRecord, now: Timestamp) -> Option<Timestamp> {
        match self.hosts.get(&listed.name) {
            Some(current) if current.address == listed.address => current.started_at,
            // The hosts of the first inventory are assumed to be warm already.
            _ if self.inventory.is_none() => None,
            _ => Some(now),
        }
    }

    /// Counts the differences between the hosts of a file and the committed inventory. A start time that is missing in
    /// the file does not count as a difference.
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
        let listed_names: BTreeSet<&str> = hosts.iter().map(|listed| listed.name.as_str()).collect();
        self.hosts.keys().filter(|name| !listed_names.contains(name.as_str())).collect()
    }
}
