//! Events from the store's thread: Raft messages to send, committed entries to apply, and the state of consensus and
//! storage.

use super::Fleet;
use super::agreed_state::AppliedEffect;
use super::gossip::new_gossip_state;
use crate::fleet::message::PeerMessage;
use crate::ids::NodeId;
use crate::store::raft_message::RaftMessage;
use crate::store::raft_node::{AppliedEntry, SnapshotDelivery};
use crate::store::state_machine::{Change, Proposal};
use crate::store::storage::NodeIdentity;
use crate::store::store_thread::{StoreCommand, StoreEvent, StoreStatus};
use async_channel::Receiver;
use std::collections::BTreeMap;

impl Fleet {
    /// Handles events from the store's thread until the thread has ended.
    pub async fn handle_store_events(&self, events: &Receiver<StoreEvent>) {
        while let Ok(event) = events.recv().await {
            self.handle_store_event(event);
        }
    }

    fn handle_store_event(&self, event: StoreEvent) {
        match event {
            StoreEvent::RaftMessages(messages) => self.send_raft_messages(messages),
            StoreEvent::Applied(entries) => self.apply(entries),
            StoreEvent::Status(status) => self.update_status(*status),
            StoreEvent::DrainsPersisted(version) => {
                self.drains.borrow_mut().record_persisted(version);
                self.changes.notify();
            }
            StoreEvent::IdentityReset(identity) => self.replace_identity(identity),
            StoreEvent::StorageFailed(reason) => {
                log::error!(
                    "store: {reason}; this node keeps serving with its last state but no longer participates in the consensus"
                );
                self.agreed.borrow_mut().record_storage_failure(reason.to_string());
                self.changes.notify();
            }
        }
    }

    /// Sends Raft messages. Messages that do not fit into a link's queue are dropped: Raft repeats what it needs, but
    /// requires a report of whether a snapshot was sent.
    fn send_raft_messages(&self, messages: Vec<RaftMessage>) {
        let mut by_receiver: BTreeMap<NodeId, Vec<RaftMessage>> = BTreeMap::new();
        for message in messages {
            by_receiver.entry(message.to).or_default().push(message);
        }
        for (receiver, messages) in by_receiver {
            let has_snapshot = messages.iter().any(RaftMessage::carries_state);
            let is_sent = match self.link_to(receiver) {
                Some(link) => link.send(&PeerMessage::RaftMessages(messages).encode()),
                None => false,
            };
            if has_snapshot {
                let delivery = if is_sent { SnapshotDelivery::Sent } else { SnapshotDelivery::Failed };
                self.send_to_store(StoreCommand::SnapshotSent { to: receiver, delivery });
            }
        }
    }

    /// Records the status of the consensus. If leader, term or participation has changed, peers get a heartbeat at
    /// once: a starting peer waits for the leader's own heartbeat, or starts an election once all voters can be
    /// reached.
    fn update_status(&self, status: StoreStatus) {
        let has_changed = self.agreed.borrow_mut().update_status(status);
        if has_changed {
            self.broadcast(&self.own_heartbeat());
        }
        self.changes.notify();
    }

    /// Resets what depends on this node's identity after the store has assigned a new one. The node then joins the
    /// fleet as a new node.
    fn replace_identity(&self, identity: NodeIdentity) {
        log::warn!("fleet: this node has a new identity, {:016x}", identity.id);
        self.gossip.borrow_mut().replace_state(new_gossip_state(identity.id, &self.clock));
        self.agreed.borrow_mut().replace_identity(identity);
        self.peers.borrow_mut().clear_acceptances();
        self.drains.borrow_mut().reset_submitted();
        self.persist_pending_drains();
        self.reconnect_all();
    }

    /// Applies committed entries and acts on the resulting state.
    fn apply(&self, entries: Vec<AppliedEntry>) {
        let fleet_before = self.agreed().state().fleet;
        for entry in entries {
            self.apply_entry(entry);
        }
        let fleet = self.agreed().state().fleet;
        let has_joined = fleet != fleet_before;
        if has_joined {
            log::info!("fleet: {} belongs to fleet {fleet:032x}", self.local.name);
            self.founding.borrow_mut().clear();
        }
        if self.agreed().is_newly_removed() {
            self.agreed.borrow_mut().mark_removed();
            log::warn!(
                "fleet: this node was removed; it keeps serving with its last state but no longer participates"
            );
        }
        self.remove_settled_drains();
        if has_joined {
            self.reconnect_all();
        }
        self.apply_zone_weights(self.clock.now());
        self.compare_own_inventory();
        self.changes.notify();
        self.propose_own_files();
    }

    fn apply_entry(&self, entry: AppliedEntry) {
        let effect = self.agreed.borrow_mut().apply(entry);
        match effect {
            AppliedEffect::StateReplaced => self.endpoint_changes.borrow_mut().record_all(),
            AppliedEffect::Changed(Proposal { from, token, change }) => {
                self.mark_endpoints_changed(endpoints_of(change));
                if from == self.agreed().local_id() {
                    self.proposals.borrow_mut().record_applied(token);
                }
            }
            AppliedEffect::Nothing => {}
        }
    }
}

/// The endpoints whose list entries a change may affect. Changes of zone weights are handled by
/// [`Fleet::apply_zone_weights`].
fn endpoints_of(change: Change) -> Vec<String> {
    match change {
        Change::Drain { host, .. } | Change::Undrain { host, .. } => vec![host],
        Change::Inventory { upserts, removals, .. } => {
            let mut endpoints: Vec<String> = upserts.into_iter().map(|upsert| upsert.name).collect();
            endpoints.extend(removals);
            endpoints
        }
        Change::Settings { .. } | Change::ZoneWeight { .. } | Change::Regions { .. } => Vec::new(),
    }
}
