//! What this daemon's own files say, and what of that is proposed.

use super::*;

impl Fleet {
    /// Notes what this daemon's own files say now.
    pub fn read_files(&self, note: impl FnOnce(&mut Files)) {
        note(&mut self.change().files);
        self.compare_own_inventory();
        self.propose_own_files();
    }

    /// Says how this daemon's own inventory differs from the agreed one.
    pub(super) fn compare_own_inventory(&self) {
        let mut table = self.change();
        let Some((Inventory { hosts, .. }, changed)) = &table.files.hosts else { return };
        let Some(source) = &table.state.inventory else { return };
        if self.compared.replace((*changed, source.version)) == (*changed, source.version) {
            return;
        }
        let differs =
            Some(table.state.inventory_difference(hosts)).filter(|difference| !difference.is_empty());
        if differs != table.differs {
            match differs {
                Some(InventoryDifference { added, changed, missing }) => log::warn!(
                    "fleet: the inventory of {} counts; this daemon's own file adds {added}, changes {changed} and lacks {missing} hosts",
                    source.read_by
                ),
                None => log::info!("fleet: this daemon's own inventory says what is agreed"),
            }
            table.differs = differs;
        }
    }

    /// Proposes what this daemon's own files say, where it is newer than what is agreed.
    pub(super) fn propose_own_files(&self) {
        let wanted: Vec<(String, Change)> = {
            let table = self.table();
            let state = &table.state;
            if state.fleet.is_none()
                || !state.is_complete()
                || table.removed
                || table.status.leader == NodeId::NOBODY
            {
                return;
            }
            let mut wanted = Vec::new();
            let old = |c: &&Change| match c {
                Change::Settings { changed_at: changed, .. } => {
                    state.settings.as_ref().is_none_or(|settings| *changed > settings.provenance.changed_at)
                }
                _ => state.inventory.is_none(),
            };
            wanted.extend(table.legacy.iter().filter(old).map(|c| (format!("legacy {c:?}"), c.clone())));
            if let Some((text, changed)) = &table.files.settings
                && state.settings.as_ref().is_none_or(|settings| *changed > settings.provenance.changed_at)
            {
                let (by, text) = (self.me.name.clone(), text.clone());
                wanted.push((
                    format!("settings {}", changed.as_micros()),
                    Change::Settings { read_by: by, changed_at: *changed, text },
                ));
            }
            if let Some((Inventory { regions, .. }, changed)) = &table.files.hosts
                && *changed > state.regions.changed_at
                && state.inventory.as_ref().is_some_and(|i| *changed >= i.changed_at)
                && *regions != state.regions.by_zone
            {
                let (by, changed, regions) = (self.me.name.clone(), *changed, regions.clone());
                wanted.push((
                    format!("regions {}", changed.as_micros()),
                    Change::Regions { read_by: by, changed_at: changed, regions },
                ));
            }
            if let Some((Inventory { hosts, .. }, changed)) = &table.files.hosts
                && !wanted.iter().any(|(_, c)| matches!(c, Change::Inventory { .. }))
                && let Some(change) = state.inventory_change(&self.me.name, hosts, *changed, self.clock.now())
            {
                let base = state.inventory.as_ref().map_or(0, |i| i.version);
                wanted.push((format!("inventory {} {base}", changed.as_micros()), change));
            }
            wanted
        };
        let now = Instant::now();
        let from = self.table().identity.id;
        let mut proposed = self.proposed.borrow_mut();
        proposed.retain(|key, _| wanted.iter().any(|(k, _)| k == key));
        for (key, change) in wanted {
            let token = match proposed.get(&key) {
                // Said a moment ago: the leader may still have it.
                Some((_, at)) if now - *at < self.limits.proposal_retry_interval => continue,
                Some((token, _)) => *token,
                None => self.next_token(),
            };
            proposed.insert(key, (token, now));
            self.forward_to_leader(Proposal { from, token, change });
        }
    }
}
