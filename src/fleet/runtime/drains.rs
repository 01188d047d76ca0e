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
            self.touch([host.to_string()]);
            table.marks.say(host, me, now)
        };
        log::info!("fleet: {host} is drained here");
        self.wake();
        self.spread(&Frame::Marks(self.table().marks.all()));
        self.save();
        self.lead();
        let version = self.table().marks.version();
        let woken = self.watch();
        let agreed = async {
            while !self.table().state.settled(host, mark) {
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
        Some(if self.table().state.settled(host, mark) { ChangeOutcome::Agreed } else { ChangeOutcome::Here })
    }

    /// Ends the drains of a host that this daemon has heard of, once a majority agrees.
    pub async fn undrain(&self, host: &str) -> ChangeOutcome {
        let marks: BTreeSet<_> = {
            let table = self.table();
            let agreed = table.state.drains.get(host).into_iter().flatten().copied();
            agreed.chain(table.marks.of(host)).collect()
        };
        if marks.is_empty() {
            return ChangeOutcome::Agreed;
        }
        let change = Change::Undrain { host: host.to_string(), marks: marks.into_iter().collect() };
        self.agree(change).await
    }

    pub(super) fn hear_marks(&self, marks: Vec<(String, crate::store::state_machine::DrainMark)>) {
        let new = {
            let mut table = self.change();
            self.touch(marks.iter().map(|(host, _)| host.clone()));
            let Table { marks: own, state, .. } = &mut *table;
            own.hear(marks, state, self.limits.pending_drains)
        };
        if new {
            self.wake();
            self.save();
            // Whoever the one that said it does not reach hears it from here.
            self.spread(&Frame::Marks(self.table().marks.all()));
            self.lead();
        }
    }

    /// Keeps drains that are not agreed on the disk.
    pub(super) fn save(&self) {
        let table = self.table();
        let version = table.marks.version();
        if self.saving.get() < version && self.tell(Input::Marks(table.marks.all(), version)) {
            self.saving.set(version);
        }
    }
}
