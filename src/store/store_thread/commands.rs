//! The handling of commands by the store's thread.

use super::{StoreCommand, StoreEvent, StoreThread};
use crate::ids::NodeId;
use crate::store::raft_message::RaftMessage;
use crate::store::raft_node::{RaftNode, RaftPersistentState, RaftWrite};
use crate::store::records::EntryId;
use crate::store::state_machine::{ClusterState, PendingDrain, Proposal};
use crate::store::storage::{DurableStorage, IdentityResetReason, NodeValue, PersistedProgress};

impl StoreThread {
    pub(super) fn handle(&mut self, command: StoreCommand) {
        match command {
            StoreCommand::RaftMessages(messages) => self.receive(messages),
            StoreCommand::Propose(proposal) => self.propose(proposal),
            StoreCommand::ChangeMembership(change) => {
                self.with_node(|node| node.propose_membership(&change));
            }
            StoreCommand::PersistDrains { drains, version } => self.persist_drains(&drains, version),
            StoreCommand::PersistGossip { encoded, records } => self.persist_gossip(&encoded, records),
            StoreCommand::FoundFleet(state) => self.found_fleet(&state),
            StoreCommand::ForceNewFleet(state) => self.force_new_fleet(&state),
            StoreCommand::StartParticipating => self.start_participating(),
            StoreCommand::ResetIdentity(reason) => self.reset_identity(reason),
            StoreCommand::TransferLeadership(to) => {
                self.with_node(|node| node.transfer_leadership(to));
            }
            StoreCommand::BroadcastHeartbeat => {
                self.with_node(RaftNode::broadcast_heartbeat);
            }
            StoreCommand::Campaign => self.campaign_without_leader(),
            StoreCommand::SnapshotSent { to, delivery } => {
                self.with_node(|node| node.report_snapshot(to, delivery));
            }
            StoreCommand::PeerUnreachable(id) => {
                self.with_node(|node| node.report_unreachable(id));
            }
        }
    }

    fn receive(&mut self, messages: Vec<RaftMessage>) {
        for message in messages {
            self.record_reported_progress(&message);
            let is_accepted =
                self.participating && self.with_node(|node| node.receive(message)) == Some(true);
            if !is_accepted {
                self.dropped_messages += 1;
            }
        }
    }

    /// Records the progress that a message implies about its sender's storage. Acknowledged entries that are not in
    /// this node's log are ignored, since their term is unknown here.
    fn record_reported_progress(&mut self, message: &RaftMessage) {
        let Some(term) = message.persisted_term() else { return };
        let last_entry = match message.acknowledged_index() {
            Some(index) if index <= self.node.last_index() => {
                EntryId { term: self.node.term_at(index), index }
            }
            _ => EntryId::default(),
        };
        let reported = PersistedProgress { boot_count: 0, term, last_entry };
        let known = self.reported_progress.entry(message.from).or_default();
        let previous = *known;
        known.advance_to(&reported);
        if *known != previous {
            self.reported_progress_changed = true;
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        if !self.node.is_leader() || self.proposals.was_appended(&proposal) {
            return;
        }
        if proposal.change.only_removes_hosts_from_service() {
            self.append(&proposal);
        } else if let Some(check) = self.proposals.add_unconfirmed(proposal, self.limits.fleet_nodes) {
            self.with_node(|node| node.request_leadership_check(check));
        }
    }

    /// Appends a proposal to the log, if this node is still the leader.
    pub(super) fn append(&mut self, proposal: &Proposal) {
        if self.with_node(|node| node.propose(proposal)) == Some(true) {
            self.proposals.record_appended(proposal);
        }
    }

    fn persist_drains(&mut self, drains: &[PendingDrain], version: u64) {
        if self.write(RaftWrite::default(), &[NodeValue::PendingDrains(drains)]) {
            self.emit(StoreEvent::DrainsPersisted(version));
        }
    }

    fn persist_gossip(&mut self, encoded: &[u8], records: usize) {
        if self.write(RaftWrite::default(), &[NodeValue::Gossip(encoded)]) {
            log::debug!("fleet: {records} gossip records are written to disk");
        }
    }

    fn found_fleet(&mut self, state: &ClusterState) {
        if self.node.fleet_id().is_none() {
            self.start_fleet(&RaftPersistentState::found_fleet(state, self.node.id()));
        }
    }

    fn force_new_fleet(&mut self, state: &ClusterState) {
        let last = EntryId { term: self.node.term(), index: self.node.last_index() };
        self.start_fleet(&RaftPersistentState::force_new_fleet(state, self.node.id(), last));
    }

    /// Replaces the stored consensus state with that of a fleet whose only voter is this node, and starts an election.
    fn start_fleet(&mut self, persisted: &RaftPersistentState) {
        self.deferred_hard_state = None;
        if self.write(persisted.full_write(), &[]) {
            self.participating = true;
            self.reload_node();
            self.with_node(RaftNode::campaign);
        }
    }

    fn start_participating(&mut self) {
        let was_participating = self.participating;
        self.participating = self.storage.is_some();
        if !was_participating && self.node.configuration().voters == [self.node.id()] {
            self.with_node(RaftNode::campaign);
        }
    }

    fn campaign_without_leader(&mut self) {
        if self.participating && self.node.leader() == NodeId::NONE {
            log::debug!("raft: election requested: term {}", self.node.term());
            self.with_node(RaftNode::campaign);
        }
    }

    fn reset_identity(&mut self, reason: IdentityResetReason) {
        let Some(storage) = self.storage.take() else { return };
        match storage.reset_identity(reason) {
            Ok(storage) => self.start_as_new_node(storage),
            Err(error) => self.handle_storage_failure(error),
        }
    }

    fn start_as_new_node(&mut self, storage: DurableStorage) {
        let identity = storage.identity.clone();
        match RaftNode::new(identity.id, RaftPersistentState::default()) {
            Ok(node) => self.node = node,
            Err(error) => return self.handle_storage_failure(error.into()),
        }
        self.storage = Some(storage);
        self.boot_count = identity.boot_count;
        self.participating = true;
        self.proposals.clear_unconfirmed();
        self.emit(StoreEvent::IdentityReset(identity));
    }
}
