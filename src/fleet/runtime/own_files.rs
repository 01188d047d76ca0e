//! What this node's own files say, how that differs from what is committed, and what of it is proposed.
//!
//! Of two nodes' files the one that was changed last wins everywhere: a file is proposed where it is newer than
//! what is committed.

use super::Fleet;
use crate::inventory::Inventory;
use crate::store::state_machine::{Change, ClusterState, InventoryDifference, Proposal};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// What this node's own files say, each with when it was last changed.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The settings in the operator's file.
    pub settings: Option<(String, Timestamp)>,
    /// The inventory.
    pub hosts: Option<(Inventory, Timestamp)>,
}

/// This node's own files, and what a store of version 0.2.0 held.
pub struct OwnFiles {
    files: Files,
    /// Changes that a store of version 0.2.0 amounts to.
    legacy_changes: Vec<Change>,
    /// `None` where there is no difference, or it is not known.
    inventory_difference: Option<InventoryDifference>,
    /// The change of the file and the version of the committed inventory that were compared last.
    compared: Option<(Timestamp, u64)>,
}

/// A change that the files ask for; the key names its content, to recognize it when it is proposed again.
struct FileChange {
    key: String,
    change: Change,
}

impl OwnFiles {
    /// Before any file was read.
    pub(super) fn new(legacy_changes: Vec<Change>) -> OwnFiles {
        OwnFiles { files: Files::default(), legacy_changes, inventory_difference: None, compared: None }
    }

    /// Whether this node has read an inventory file.
    pub fn has_inventory(&self) -> bool {
        self.files.hosts.is_some()
    }

    /// How the inventory file differs from the committed inventory, if it does.
    pub fn inventory_difference(&self) -> Option<InventoryDifference> {
        self.inventory_difference
    }

    /// Compares the inventory file with the committed inventory, if either has changed, and logs a new result.
    fn compare_inventory(&mut self, state: &ClusterState) {
        let Some((Inventory { hosts, .. }, changed)) = &self.files.hosts else { return };
        let Some(source) = &state.inventory else { return };
        let versions = (*changed, source.version);
        if self.compared.replace(versions) == Some(versions) {
            return;
        }
        let difference = state.inventory_difference(hosts);
        let difference = if difference.is_empty() { None } else { Some(difference) };
        if difference == self.inventory_difference {
            return;
        }
        match difference {
            Some(InventoryDifference { added, changed, missing }) => log::warn!(
                "fleet: the committed inventory of {} is in use; this node's own file adds {added}, changes {changed} and lacks {missing} endpoints",
                source.read_by
            ),
            None => {
                log::info!("fleet: this node's own inventory file is the same as the committed inventory")
            }
        }
        self.inventory_difference = difference;
    }

    /// The changes that the files ask for, compared with the committed state.
    fn wanted_changes(&self, state: &ClusterState, local_name: &str, now: Timestamp) -> Vec<FileChange> {
        let mut wanted: Vec<FileChange> = Vec::new();
        for change in &self.legacy_changes {
            if is_legacy_change_wanted(change, state) {
                wanted.push(FileChange { key: format!("legacy {change:?}"), change: change.clone() });
            }
        }
        wanted.extend(self.settings_change(state, local_name));
        wanted.extend(self.regions_change(state, local_name));
        let has_inventory = wanted.iter().any(|wanted| matches!(wanted.change, Change::Inventory { .. }));
        if !has_inventory {
            wanted.extend(self.inventory_change(state, local_name, now));
        }
        wanted
    }

    fn settings_change(&self, state: &ClusterState, local_name: &str) -> Option<FileChange> {
        let (text, changed) = self.files.settings.as_ref()?;
        if !are_settings_newer(*changed, state) {
            return None;
        }
        let key = format!("settings {}", changed.as_micros());
        let change =
            Change::Settings { read_by: local_name.to_string(), changed_at: *changed, text: text.clone() };
        Some(FileChange { key, change })
    }

    /// Regions follow only an inventory file that is at least as new as the committed one.
    fn regions_change(&self, state: &ClusterState, local_name: &str) -> Option<FileChange> {
        let (Inventory { regions, .. }, changed) = self.files.hosts.as_ref()?;
        let committed = &state.regions;
        let inventory = state.inventory.as_ref()?;
        if *changed <= committed.changed_at
            || *changed < inventory.changed_at
            || *regions == committed.by_zone
        {
            return None;
        }
        let key = format!("regions {}", changed.as_micros());
        let change = Change::Regions {
            read_by: local_name.to_string(),
            changed_at: *changed,
            regions: regions.clone(),
        };
        Some(FileChange { key, change })
    }

    fn inventory_change(&self, state: &ClusterState, local_name: &str, now: Timestamp) -> Option<FileChange> {
        let (Inventory { hosts, .. }, changed) = self.files.hosts.as_ref()?;
        let change = state.inventory_change(local_name, hosts, *changed, now)?;
        let base = state.inventory.as_ref().map_or(0, |inventory| inventory.version);
        Some(FileChange { key: format!("inventory {} {base}", changed.as_micros()), change })
    }
}

/// Whether settings changed at `changed` are newer than the committed ones.
fn are_settings_newer(changed: Timestamp, state: &ClusterState) -> bool {
    state.settings.as_ref().is_none_or(|committed| changed > committed.provenance.changed_at)
}

/// What a store of version 0.2.0 held counts where nothing newer is committed.
fn is_legacy_change_wanted(change: &Change, state: &ClusterState) -> bool {
    match change {
        Change::Settings { changed_at: changed, .. } => are_settings_newer(*changed, state),
        _ => state.inventory.is_none(),
    }
}

impl Fleet {
    /// Notes what this node's own files say now, and proposes what is new.
    pub fn update_own_files(&self, update: impl FnOnce(&mut Files)) {
        update(&mut self.own_files.borrow_mut().files);
        self.compare_own_inventory();
        self.propose_own_files();
    }

    /// Compares this node's own inventory file with the committed inventory.
    pub(super) fn compare_own_inventory(&self) {
        self.own_files.borrow_mut().compare_inventory(self.agreed().state());
    }

    /// Proposes what this node's own files say, where it is newer than what is committed.
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
