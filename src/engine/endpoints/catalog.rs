//! The endpoint list of the platform, assembled from the updates that discovery sends.

use super::{EndpointRecord, EndpointUpdate, ListCoverage};
use crate::routing::Availability;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// At most this many names of each kind are written to the log.
const MAX_NAMES: usize = 8;

/// The current endpoint list on the platform, assembled from the whole lists and the changes that discovery reports.
#[derive(Clone, Debug, Default)]
pub struct EndpointCatalog {
    endpoints: BTreeMap<String, EndpointRecord>,
    version: u64,
}

/// The endpoints whose availability an update has changed, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogChanges {
    /// Endpoints in service that were not on the list, or were draining.
    pub ready: Vec<String>,
    /// Endpoints that have begun to drain, or are new on the list and drain.
    pub draining: Vec<String>,
    /// Endpoints that have left the list.
    pub removed: Vec<String>,
}

impl CatalogChanges {
    /// Whether no endpoint has changed its availability.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.draining.is_empty() && self.removed.is_empty()
    }
}

impl fmt::Display for CatalogChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds = [("ready", &self.ready), ("draining", &self.draining), ("removed", &self.removed)];
        let mut separator = "";
        for (kind, names) in kinds.into_iter().filter(|(_, names)| !names.is_empty()) {
            let listed = names.iter().take(MAX_NAMES).map(String::as_str).collect::<Vec<_>>().join(", ");
            write!(f, "{separator}{kind} {listed}")?;
            if names.len() > MAX_NAMES {
                write!(f, " and {} more", names.len() - MAX_NAMES)?;
            }
            separator = "; ";
        }
        Ok(())
    }
}

impl EndpointCatalog {
    /// Applies an update from discovery and returns what it has changed.
    pub fn apply(&mut self, update: &EndpointUpdate) -> CatalogChanges {
        let changes = self.changes_by(update);
        let replaced =
            (update.coverage == ListCoverage::Complete).then(|| std::mem::take(&mut self.endpoints));
        for record in &update.entries {
            if record.availability == Availability::Gone {
                self.endpoints.remove(&record.name);
            } else {
                self.endpoints.insert(record.name.clone(), record.clone());
            }
        }
        if replaced.is_none_or(|replaced| replaced != self.endpoints) {
            self.version += 1;
        }
        changes
    }

    fn changes_by(&self, update: &EndpointUpdate) -> CatalogChanges {
        let mut changes = CatalogChanges::default();
        for record in &update.entries {
            let known = self.endpoints.get(&record.name).map(|known| known.availability);
            let changed = match record.availability {
                Availability::Gone if known.is_none() => continue,
                availability if known == Some(availability) => continue,
                Availability::Gone => &mut changes.removed,
                Availability::Draining => &mut changes.draining,
                Availability::Ready => &mut changes.ready,
            };
            changed.push(record.name.clone());
        }
        if update.coverage == ListCoverage::Complete {
            let listed: BTreeSet<&str> = update.entries.iter().map(|record| record.name.as_str()).collect();
            let unlisted = self.endpoints.keys().filter(|name| !listed.contains(name.as_str()));
            changes.removed.extend(unlisted.cloned());
        }
        changes
    }

    /// The current list as an update. Its version is local and increases with every change.
    pub fn whole_list(&self) -> EndpointUpdate {
        let entries = self.endpoints.values().cloned().collect();
        EndpointUpdate { version: self.version, coverage: ListCoverage::Complete, entries }
    }
}
