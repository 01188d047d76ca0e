//! This node's own settings and inventory files, how they differ from the committed state, and which changes are
//! proposed from them.
//!
//! A node proposes the content of a file if the file was modified later than what is committed. Among the files of all
//! nodes, the one modified last therefore wins in the whole fleet.

use super::Fleet;
use crate::inventory::Inventory;
use crate::store::state_machine::{Change, ClusterState, InventoryDifference, Proposal};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// The contents of this node's own files, each with its modification time.
#[derive(Clone, Debug, Default)]
pub struct FileContents {
    /// The settings in the operator's file; `None` if it has none.
    pub settings: Option<(String, Timestamp)>,
    /// The inventory file; `None` if there is none or it was not read yet.
    pub inventory: Option<(Inventory, Timestamp)>,
}

/// This node's own files, the changes taken over from a store of version 0.2.0, and the result of the last comparison.
pub struct OwnFiles {
    files: FileContents,
    /// The changes that reproduce the content of a store of version 0.2.0.
    legacy_changes: Vec<Change>,
    /// `None` if there is no difference or nothing was compared yet.
    inventory_difference: Option<InventoryDifference>,
    /// The modification time of the file and the version of the committed inventory that were last compared.
    last_compared: Option<(Timestamp, u64)>,
}

/// A change to propose from a file. The key identifies its content, so that a repeated proposal is recognized.
struct FileChange {
    key: String,
    change: Change,
}

impl OwnFiles {
    /// Creates the state before any file was read.
    pub(super) fn new(legacy_changes: Vec<Change>) -> OwnFiles {
        OwnFiles {
            files: FileContents::default(),
            legacy_changes,
            inventory_difference: None,
            last_compared: None,
        }
    }

    /// Whether this node has read an inventory file.
    pub fn has_inventory(&self) -> bool {
        self.files.inventory.is_some()
    }

    /// How the inventory file differs from the committed inventory; `None` if it does not or was not compared.
    pub fn inventory_difference(&self) -> Option<InventoryDifference> {
        self.inventory_difference
    }

    /// Compares the inventory file with the committed inventory if either has changed, and logs a changed result.
    fn compare_inventory(&mut self, state: &ClusterState) {
        let Some((Inventory { hosts, .. }, modified_at)) = &self.files.inventory else { return };
        let Some(source) = &state.inventory else { return };
        let versions = (*modified_at, source.version);
        if self.last_compared.replace(versions) == Some(versions) {
            return;
        }
        let difference = state.inventory_difference(hosts);
        let difference = if difference.is_empty() { None } else { Some(difference) };
        if difference == self.inventory_difference {
            return;
        }
        match difference {
            Some(InventoryDifference { added, changed, missing }) => log::warn!(
                "fleet: the inventory committed by {} is in use; this node's own file adds {added}, changes {changed} and lacks {missing} endpoints",
                source.read_by
            ),
            None => {
                log::info!("fleet: this node's own inventory file now equals the committed inventory")
            }
        }
        self.inventory_difference = difference;
    }

    /// The changes to propose from the files, given the committed state.
    fn wanted_changes(&self, state: &ClusterState, local_name: &str, now: Timestamp) -> Vec<FileChange> {
        let mut wanted: Vec<FileChange> = Vec::new();
        for change in &self.legacy_changes {
            if is_legacy_change_wanted(change, state) {
                wanted.push(FileChange { key: format!("legacy {change:?}"), change: change.clone() });
            }
        }
        wanted.extend(self.settings_change(state, local_name));
        wanted.extend(self.regions_change(state, local_name));
        let has_inventory_change =
            wanted.iter().any(|wanted| matches!(wanted.change, Change::Inventory { .. }));
        if !has_inventory_change {
            wanted.extend(self.inventory_change(state, local_name, now));
        }
        wanted
    }

    fn settings_change(&self, state: &ClusterState, local_name: &str) -> Option<FileChange> {
        let (text, modified_at) = self.files.settings.as_ref()?;
        if !are_settings_newer(*modified_at, state) {
            return None;
        }
        let key = format!("settings {}", modified_at.as_micros());
        let change = Change::Settings {
            read_by: local_name.to_string(),
            changed_at: *modified_at,
            text: text.clone(),
        };
        Some(FileChange { key, change })
    }

    /// The change of regions to propose. Regions are taken only from an inventory file that is not older than the
    /// committed inventory.
    fn regions_change(&self, state: &ClusterState, local_name: &str) -> Option<FileChange> {
        let (Inventory { regions, .. }, modified_at) = self.files.inventory.as_ref()?;
        let committed = &state.regions;
        let inventory = state.inventory.as_ref()?;
        if *modified_at <= committed.changed_at
            || *modified_at < inventory.changed_at
            || *regions == committed.by_zone
        {
            return None;
        }
        let key = format!("regions {}", modified_at.as_micros());
        let change = Change::Regions {
            read_by: local_name.to_string(),
            changed_at: *modified_at,
            regions: regions.clone(),
        };
        Some(FileChange { key, change })
    }

    fn inventory_change(&self, state: &ClusterState, local_name: &str, now: Timestamp) -> Option<FileChange> {
        let (Inventory { hosts, .. }, modified_at) = self.files.inventory.as_ref()?;
        let change = state.inventory_change(local_name, hosts, *modified_at, now)?;
        let base_version = state.inventory.as_ref().map_or(0, |inventory| inventory.version);
        Some(FileChange { key: format!("inventory {} {base_version}", modified_at.as_micros()), change })
    }
}

/// Whether settings modified at `modified_at` are newer than the committed ones.
fn are_settings_newer(modified_at: Timestamp, state: &ClusterState) -> bool {
    state.settings.as_ref().is_none_or(|committed| modified_at > committed.provenance.changed_at)
}

/// Whether a change from a store of version 0.2.0 is still to be proposed: nothing newer is committed.
fn is_legacy_change_wanted(change: &Change, state: &ClusterState) -> bool {
    match change {
        Change::Settings { changed_at, .. } => are_settings_newer(*changed_at, state),
        _ => state.inventory.is_none(),
    }
}

impl Fleet {
    /// Updates the contents of this node's own files and proposes the changes that follow from them.
    pub fn update_own_files(&self, update: impl FnOnce(&mut FileContents)) {
        update(&mut self.own_files.borrow_mut().files);
        self.compare_own_inventory();
        self.propose_own_files();
    }

    /// Compares this node's own inventory file with the committed inventory.
    pub(super) fn compare_own_inventory(&self) {
        self.own_files.borrow_mut().compare_inventory(self.agreed().state());
    }

    /// Proposes the contents of this node's own files that are newer than what is committed.
    pub(super) fn propose_own_files(&self) {
        let wanted = {
            let agreed = self.agreed();
            if !agreed.has_fleet()
                || !agreed.state().is_complete()
                || agreed.is_removed()
                || !agreed.has_leader()
            {
                return;
            }
            self.own_files().wanted_changes(agreed.state(), &self.local.name, self.clock.now())
        };
        let keys: BTreeSet<&String> = wanted.iter().map(|wanted| &wanted.key).collect();
        self.proposals.borrow_mut().retain_file_proposals(&keys);
        let from = self.agreed().local_id();
        for FileChange { key, change } in wanted {
            let retry_interval = self.limits.proposal_retry_interval;
            let token = self.proposals.borrow_mut().file_proposal_token(&key, retry_interval);
            if let Some(token) = token {
                self.forward_to_leader(Proposal { from, token, change });
            }
        }
    }
}
