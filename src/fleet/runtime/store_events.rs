//! What the agreement's thread says.

use super::*;

impl Fleet {
    /// Takes in what the agreement's thread says, for ever; comes back with why when it has failed.
    pub async fn hear_store(&self, outputs: &Receiver<StoreEvent>) {
        while let Ok(output) = outputs.recv().await {
            match output {
                StoreEvent::RaftMessages(letters) => self.send_raft_messages(letters),
                StoreEvent::Applied(applied) => self.apply(applied),
                StoreEvent::Status(status) => {
                    let mut table = self.change();
                    if table.status.leader != status.leader || table.status.term != status.term {
                        let name =
                            |id| table.state.members.get(&id).map_or("nobody".into(), |m| m.name.clone());
                        log::info!("fleet: term {}, {} leads", status.term, name(status.leader));
                    }
                    let leads = status.leader == table.identity.id;
                    table.leads = table.leads.filter(|_| leads).or(leads.then(Instant::now));
                    let word = |s: &StoreStatus| (s.leader, s.term, s.participating);
                    let turned = word(&table.status) != word(&status);
                    table.status = *status;
                    drop(table);
                    if turned {
                        // Whoever returns waits for the leader's own word, or stands once all can hear it.
                        self.broadcast(&self.own_heartbeat());
                    }
                    self.notify_watchers();
                }
                StoreEvent::DrainsPersisted(version) => {
                    self.saved.set(self.saved.get().max(version));
                    self.notify_watchers();
                }
                StoreEvent::IdentityReset(identity) => {
                    log::warn!("fleet: this daemon begins anew, as {:016x}", identity.id);
                    let mut table = self.change();
                    table.learned = GossipState::new(identity.id, self.clock.now().as_micros().max(0) as u64);
                    table.identity = identity;
                    table.welcomes.clear();
                    // What was agreed goes on to be served until the fleet has told it again.
                    table.state.fleet = FleetId::NONE;
                    table.removed = false;
                    drop(table);
                    self.saving.set(0);
                    self.persist_pending_drains();
                    self.reconnect_all();
                }
                StoreEvent::StorageFailed(why) => {
                    log::error!(
                        "store: {why}; this daemon agrees to nothing any more, and serves with what it has"
                    );
                    self.change().broken = Some(why);
                    self.notify_watchers();
                }
            }
        }
    }

    pub(super) fn send_raft_messages(&self, letters: Vec<RaftMessage>) {
        let mut by: BTreeMap<NodeId, Vec<RaftMessage>> = BTreeMap::new();
        letters.into_iter().for_each(|l| by.entry(l.to).or_default().push(l));
        for (to, letters) in by {
            let whole = letters.iter().any(RaftMessage::carries_state);
            let sent =
                self.link_to(to).is_some_and(|way| way.send(&PeerMessage::RaftMessages(letters).encode()));
            if whole {
                let delivery = if sent { SnapshotDelivery::Sent } else { SnapshotDelivery::Failed };
                self.send_to_store(StoreCommand::SnapshotSent { to, delivery });
            }
        }
    }

    pub(super) fn apply(&self, applied: Vec<AppliedEntry>) {
        let mut table = self.change();
        let (fleet, me) = (table.state.fleet, table.identity.id);
        for one in applied {
            match one.content {
                AppliedContent::Snapshot(state) => {
                    table.state = *state;
                    *self.touched.borrow_mut() = Touched::All;
                }
                AppliedContent::Change(Proposal { from, token, change }) => {
                    self.mark_endpoints_changed(named(&change));
                    let effect = table.state.apply(one.index, &change);
                    log::debug!(
                        "fleet: agreed {} {:08x}: {}",
                        one.index,
                        one.digest,
                        describe(&change, effect)
                    );
                    if from == me
                        && let Some(waits) = self.tokens.borrow_mut().get_mut(&token)
                    {
                        *waits = Some(effect);
                    }
                }
                AppliedContent::Membership(change) => {
                    table.state.apply_membership(&change);
                    if !change.steps.is_empty() {
                        log::info!("fleet: members: {:?}", change.steps);
                    }
                }
                AppliedContent::Empty => {}
            }
            table.applied = one.index;
            table.state.digest = one.digest;
        }
        let joined = table.state.fleet != fleet;
        if joined {
            log::info!("fleet: {} is of fleet {:032x}", self.me.name, table.state.fleet);
            table.met.clear();
            table.told.clear();
        }
        let is_member = table.state.members.contains_key(&me);
        if !table.state.fleet.is_none()
            && table.state.removed.contains_key(&me)
            && !is_member
            && !table.removed
        {
            table.removed = true;
            log::warn!(
                "fleet: this daemon was removed; it serves with what it last knew and agrees to nothing"
            );
        }
        let Table { marks, state, .. } = &mut *table;
        let settled = marks.remove_settled(state);
        self.mark_endpoints_changed(settled.iter().map(|pending| pending.host.clone()));
        let settled = !settled.is_empty();
        drop(table);
        if settled {
            self.persist_pending_drains();
        }
        if joined {
            self.reconnect_all();
        }
        self.apply_zone_weights(self.clock.now());
        self.compare_own_inventory();
        self.notify_watchers();
        self.propose_own_files();
    }

    /// All connections are opened anew, both ways: what was said at their beginning has changed.
    pub(super) fn reconnect_all(&self) {
        self.links().iter().for_each(|w| w.reconnect());
        let (before, _) = self.epoch.replace(async_channel::bounded(1));
        before.close();
    }
}

/// Hosts that a change may change in the list.
fn named(change: &Change) -> Vec<String> {
    match change {
        Change::Drain { host, .. } | Change::Undrain { host, .. } => vec![host.clone()],
        Change::Inventory { upserts: set, removals: gone, .. } => {
            set.iter().map(|(n, _)| n).chain(gone).cloned().collect()
        }
        Change::Settings { .. } | Change::ZoneWeight { .. } | Change::Regions { .. } => Vec::new(),
    }
}

fn describe(change: &Change, effect: ApplyResult) -> String {
    match change {
        Change::Drain { host, .. } => format!("drain {host}: {effect:?}"),
        Change::Undrain { host, .. } => format!("undrain {host}: {effect:?}"),
        Change::Inventory { read_by: by, upserts: set, removals: gone, .. } => {
            format!("inventory of {by}, {} set, {} gone: {effect:?}", set.len(), gone.len())
        }
        Change::Settings { read_by: by, .. } => format!("settings of {by}: {effect:?}"),
        Change::Regions { read_by: by, regions, .. } => {
            format!("regions of {} zones by {by}: {effect:?}", regions.len())
        }
        Change::ZoneWeight { zone, weight: share } => {
            format!(
                "zone {zone} to {} by move {}, {:?}: {effect:?}",
                share.permille, share.version, share.reason
            )
        }
    }
}
