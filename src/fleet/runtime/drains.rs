//! Drains: said here, heard of others, kept on the disk.

use super::*;

impl Fleet {
    /// Drains a host: here and wherever this daemon is heard at once, for good once a majority has it. `None`:
    /// there is no such host.
    pub async fn drain(&self, host: &str) -> Option<ChangeOutcome> {
        let mark = {
            let mut table = self.change();
            if !table.state.hosts.contains_key(host) {
                return None;
            }
            if table.state.is_drained(host) {
                return Some(ChangeOutcome::Agreed);
            }
            let (me, now) = (table.identity.id, self.clock.now());
            self.mark_endpoints_changed([host.to_string()]);
            table.marks.request_drain(host, me, now)
        };
        log::info!("fleet: {host} is drained here");
        self.notify_watchers();
        self.broadcast(&PeerMessage::PendingDrains(self.table().marks.all()));
        self.persist_pending_drains();
        self.act_as_leader();
        let version = self.table().marks.version();
        let woken = self.watch();
        let agreed = async {
            while !self.table().state.is_resolved(host, mark) {
                let _ = woken.recv().await;
            }
        };
        if until(Instant::now() + self.limits.agreement_timeout, agreed).await.is_some() {
            return Some(ChangeOutcome::Agreed);
        }
        let saved = async {
            while self.saved.get() < version && self.table().broken.is_none() {
                let _ = woken.recv().await;
            }
        };
        until(Instant::now() + self.limits.agreement_timeout, saved).await;
        Some(if self.table().state.is_resolved(host, mark) {
            ChangeOutcome::Agreed
        } else {
            ChangeOutcome::Here
        })
    }

    /// Ends the drains of a host that this daemon has heard of, once a majority agrees.
    pub async fn undrain(&self, host: &str) -> ChangeOutcome {
        let marks: BTreeSet<_> = {
            let table = self.table();
            let agreed = table.state.drains.get(host).into_iter().flatten().copied();
            agreed.chain(table.marks.drains_of(host)).collect()
        };
        if marks.is_empty() {
            return ChangeOutcome::Agreed;
        }
        let change = Change::Undrain { host: host.to_string(), drains: marks.into_iter().collect() };
        self.commit_change(change).await
    }

    pub(super) fn receive_pending_drains(&self, drains: Vec<PendingDrain>) {
        let new = {
            let mut table = self.change();
            self.mark_endpoints_changed(drains.iter().map(|pending| pending.host.clone()));
            let Table { marks: own, state, .. } = &mut *table;
            own.merge(drains, state, self.limits.pending_drains)
        };
        if new {
            self.notify_watchers();
            self.persist_pending_drains();
            // Whoever the one that said it does not reach hears it from here.
            self.broadcast(&PeerMessage::PendingDrains(self.table().marks.all()));
            self.act_as_leader();
        }
    }

    /// Keeps drains that are not agreed on the disk.
    pub(super) fn persist_pending_drains(&self) {
        let table = self.table();
        let version = table.marks.version();
        if self.saving.get() < version
            && self.send_to_store(StoreCommand::PersistDrains { drains: table.marks.all(), version })
        {
            self.saving.set(version);
        }
    }
}
