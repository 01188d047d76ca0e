//! What is learned of the hosts, and told to the others.

use super::*;

impl Fleet {
    /// Takes in what hosts have told this daemon.
    pub fn observe(&self, facts: &[Observation]) {
        let now = self.clock.now();
        let lost: Vec<LogRollback> = {
            let table = self.table();
            let lost = |f: &Observation| {
                let group = table.state.hosts.get(&f.endpoint_name)?.group;
                // One that has only just stepped down says nothing about its group's log.
                let another =
                    table.learned.primary_beliefs().get(&group).filter(|b| b.endpoint != f.endpoint_name);
                if !f.primary || another.is_some_and(|b| Some(b.observed_at) > f.started_at) {
                    return None;
                }
                // Where it went back, or where it stands at a commit of before its start: nothing lies between.
                let started = f
                    .started_at
                    .filter(|at| f.position.is_known() && f.position.commit_time(Timestamp::ZERO) < *at)
                    .map(|at| (f.position, at));
                let (from, to) = f.regression.map(|r| (r.position, r.requested_at)).or(started)?;
                Some(LogRollback { group, from, to: LogPosition::of_commit(to, Timestamp::ZERO) })
            };
            facts.iter().filter_map(lost).collect()
        };
        if !lost.is_empty() {
            self.record_log_rollbacks(lost, &self.me.name);
        }
        let urgent = {
            let mut table = self.change();
            let Table { learned, state, .. } = &mut *table;
            let urgency = if self.returns() { GossipUrgency::Immediate } else { GossipUrgency::Routine };
            let urgent = learned.observe(now, facts, urgency) == GossipUrgency::Immediate;
            learned.update_beliefs(now, state);
            urgent
        };
        self.detect_restarts(now, facts.iter().map(|f| &f.endpoint_name));
        if urgent {
            self.broadcast(&PeerMessage::GossipDigest(self.table().learned.digest()));
            self.push_own_observations();
        }
    }

    /// What the others lack of this daemon's own facts, as far as is known, without being asked.
    pub(super) fn push_own_observations(&self) {
        let now = self.clock.now();
        let mut table = self.change();
        let me = table.identity.id;
        let Table { learned, digests, .. } = &mut *table;
        for way in self.links().iter().filter(|w| w.is_up()) {
            let known = digests.entry(way.peer_id()).or_default();
            let words =
                learned.records_missing_from(now, known, |id| id != me, self.limits.observations_per_message);
            let Some(last) = words.iter().map(|w| w.version).max() else { continue };
            if way.send(&PeerMessage::GossipRecords(words).encode()) {
                // Until it says itself what it knows: what was lost on the way is sent again then.
                known.retain(|(id, _)| *id != me);
                known.push((me, last));
            }
        }
    }

    /// Writes what was learned to the disk, where it has changed; never in haste.
    pub(super) fn persist_gossip(&self) {
        let table = self.table();
        let kept = (table.learned.digest(), self.breaks.borrow().all());
        if table.learned.is_empty() || *self.kept.borrow() == kept {
            return;
        }
        let records = table.learned.records_to_persist(self.clock.now());
        let saved = PersistedGossip { written_at: clocks(&self.clock), records, rollbacks: kept.1.clone() };
        log::debug!("gossip: {} records written to disk", saved.records.len());
        if self.send_to_store(StoreCommand::PersistGossip(codec::encode(&saved))) {
            *self.kept.borrow_mut() = kept;
        }
    }

    /// Hints for a module that starts: who is believed to be primary where, and first guesses from before.
    pub fn first_hints(&self) -> Vec<Vec<u8>> {
        let table = self.table();
        let believed = table.learned.primary_beliefs().values().map(|b| (b.endpoint.clone(), b.observed_at));
        let guessed = table.learned.restored_primaries(&table.state).into_values();
        let guessed = guessed.map(|restored| (restored.endpoint, restored.observed_at));
        let all = believed.chain(guessed);
        all.map(|(host, at)| PrimaryHint { endpoint: id_of(&host), at }.write()).collect()
    }

    /// What this daemon knew before its start, for its core.
    pub fn told_before(&self) -> Vec<PeerObservation> {
        self.table().learned.restored_positions()
    }

    /// What others heard of hosts, as it comes in while service returns.
    pub async fn told(&self) -> Option<Vec<PeerObservation>> {
        let mut all = vec![self.told.1.recv().await.ok()?];
        while let Ok(more) = self.told.1.try_recv() {
            all.push(more);
        }
        Some(all)
    }

    /// Tells the others' modules what this one's has heard. Times go as ages: clocks may differ.
    pub fn hint(&self, bytes: &[u8]) {
        let Some(PrimaryHint { endpoint, at }) = PrimaryHint::read(bytes) else { return };
        self.broadcast(&PeerMessage::PrimaryHint {
            endpoint: endpoint.into(),
            age: (self.clock.now() - at).or_zero(),
        });
    }

    /// The next word of another daemon's module.
    pub async fn hinted(&self) -> Option<Vec<u8>> {
        self.hints.1.recv().await.ok()
    }
}

/// The machine's clocks now.
pub(super) fn clocks(clock: &Clock) -> ClockReading {
    let (boot_id, uptime) = Clock::machine();
    ClockReading { wall: clock.now(), boot_id, uptime }
}
