//! What a message of a peer leads to.

use super::Fleet;
use crate::fleet::bootstrap::{self, Handshake};
use crate::fleet::message::{Heartbeat, MessageError, PeerMessage};
use crate::ids::NodeId;
use crate::store::raft_message::RaftMessage;
use crate::store::store_thread::StoreCommand;
use crate::time::TimeDelta;

/// What a peer was by its handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerRole {
    /// A member of this node's fleet, or this node has no fleet.
    Member,
    /// It asks to be admitted.
    Candidate,
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum MessageRejection {
    /// It could not be read.
    #[error(transparent)]
    Undecodable(MessageError),
    /// The peer's fleet is not this node's any more, or the peer was removed.
    #[error("it came from a node of another fleet")]
    OtherFleet,
    /// It carries a message of the consensus that names another sender.
    #[error("it names another node as its sender")]
    ForeignSender,
    /// A message that does not belong here, or not with this content.
    #[error("it was not expected")]
    Unexpected,
}

impl Fleet {
    /// Carries out a message of a peer.
    ///
    /// # Errors
    ///
    /// [`MessageRejection`] where no further message is to be read from this connection.
    pub(super) fn dispatch(
        &self,
        sender: &Handshake,
        role: PeerRole,
        message: PeerMessage,
    ) -> Result<(), MessageRejection> {
        self.check_sender(sender)?;
        if role == PeerRole::Candidate {
            self.refresh_candidate(sender);
        }
        self.peers.borrow_mut().record_message(sender);
        // One that was just admitted may not know it yet: until it is a member only its heartbeats count.
        let is_admitted = role == PeerRole::Member || self.agreed().is_member(sender.id);
        if !is_admitted && !matches!(message, PeerMessage::Heartbeat(_)) {
            return Ok(());
        }
        match message {
            PeerMessage::RaftMessages(messages) => self.receive_raft_messages(sender.id, messages),
            PeerMessage::ForwardedProposal(proposal) if proposal.from == sender.id => {
                if self.agreed().state().is_complete() {
                    self.send_to_store(StoreCommand::Propose(proposal));
                }
            }
            PeerMessage::MembershipRequest(request) => {
                self.requests.borrow_mut().record(request);
                self.changes.notify();
            }
            PeerMessage::PendingDrains(drains) => self.receive_pending_drains(drains),
            PeerMessage::Heartbeat(heartbeat) => self.receive_heartbeat(sender.id, heartbeat),
            PeerMessage::GossipDigest(digest) => self.receive_gossip_digest(sender.id, digest),
            PeerMessage::GossipRecords(records) => self.receive_gossip_records(records),
            PeerMessage::PrimaryHint { endpoint, age } if age >= TimeDelta::ZERO => {
                self.receive_primary_hint(endpoint, age);
            }
            PeerMessage::LogRollbacks(rollbacks) => self.record_log_rollbacks(rollbacks, &sender.name),
            PeerMessage::ZoneOutcomes(outcomes) => self.receive_zone_outcomes(sender.id, outcomes),
            PeerMessage::Handshake(_)
            | PeerMessage::HandshakeReply(_)
            | PeerMessage::ForwardedProposal(_)
            | PeerMessage::PrimaryHint { .. } => return Err(MessageRejection::Unexpected),
        }
        Ok(())
    }

    /// A connection outlives changes of the membership: its peer may have become a stranger.
    fn check_sender(&self, sender: &Handshake) -> Result<(), MessageRejection> {
        let agreed = self.agreed();
        let state = agreed.state();
        let is_compatible = bootstrap::fleets_are_compatible(state.fleet, sender.fleet);
        if !is_compatible || state.removed.contains_key(&sender.id) {
            return Err(MessageRejection::OtherFleet);
        }
        Ok(())
    }

    /// Notes that a candidate is still there. One that was forgotten is noted again, unless it was admitted.
    fn refresh_candidate(&self, sender: &Handshake) {
        let mut peers = self.peers.borrow_mut();
        if !peers.refresh_candidate(sender.id) && !self.agreed().is_member(sender.id) {
            peers.add_candidate(sender);
        }
    }

    /// Hands messages of the consensus to the store. Those that name another sender are dropped.
    fn receive_raft_messages(&self, sender: NodeId, messages: Vec<RaftMessage>) {
        let is_from_sender = |message: &RaftMessage| message.from == sender;
        let (own, foreign): (Vec<_>, Vec<_>) = messages.into_iter().partition(is_from_sender);
        if !foreign.is_empty() {
            self.count_rejected_message(&MessageRejection::ForeignSender);
        }
        if !own.is_empty() {
            self.send_to_store(StoreCommand::RaftMessages(own));
        }
    }

    /// Notes a heartbeat. A peer that holds other pending drains is sent this node's.
    fn receive_heartbeat(&self, sender: NodeId, heartbeat: Heartbeat) {
        let sender_digest = heartbeat.pending_drains_digest;
        self.peers.borrow_mut().record_heartbeat(sender, heartbeat);
        if self.is_recovering() {
            self.changes.notify();
        }
        let drains = self.drains();
        let pending = drains.pending();
        let differs = !pending.is_empty() && sender_digest != pending.digest();
        if differs && let Some(link) = self.link_to(sender) {
            link.send(&PeerMessage::PendingDrains(pending.all()).encode());
        }
    }

    /// Counts a rejected message. Only every count that is a power of two is logged: a faulty peer sends many.
    pub(super) fn count_rejected_message(&self, rejection: &MessageRejection) {
        let count = self.peers.borrow_mut().count_rejection();
        if count.is_power_of_two() {
            log::warn!("fleet: {count} messages rejected so far, the last one: {rejection}");
        }
    }
}
