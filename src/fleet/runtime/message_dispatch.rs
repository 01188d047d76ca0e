//! Handling of messages from peers.

use super::Fleet;
use crate::fleet::bootstrap::{self, Handshake};
use crate::fleet::message::{Heartbeat, MessageError, PeerMessage};
use crate::ids::NodeId;
use crate::store::raft_message::RaftMessage;
use crate::store::store_thread::StoreCommand;
use crate::time::TimeDelta;

/// The role of a peer as of its handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerRole {
    /// The peer is a member of this node's fleet, or this node has no fleet.
    Member,
    /// The peer is not a member yet and requests admission.
    Candidate,
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum MessageRejection {
    /// The message could not be decoded.
    #[error(transparent)]
    Undecodable(MessageError),
    /// The peer no longer belongs to this node's fleet, or was removed from it.
    #[error("the sender does not belong to this fleet")]
    OtherFleet,
    /// A Raft message names a sender other than the peer.
    #[error("a Raft message names another node as its sender")]
    ForeignSender,
    /// Messages of this type or with this content are not accepted from a peer.
    #[error("unexpected message")]
    Unexpected,
}

impl Fleet {
    /// Handles a message from a peer.
    ///
    /// # Errors
    ///
    /// [`MessageRejection`] if the connection must be closed without reading further messages.
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
        // A candidate may have been admitted since its handshake. Until it is a member, only its heartbeats count.
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

    /// Checks with each message that the sender still belongs to this fleet: the membership may have changed since the
    /// connection was opened.
    fn check_sender(&self, sender: &Handshake) -> Result<(), MessageRejection> {
        let agreed = self.agreed();
        let state = agreed.state();
        let is_compatible = bootstrap::fleets_are_compatible(state.fleet, sender.fleet);
        if !is_compatible || state.removed.contains_key(&sender.id) {
            return Err(MessageRejection::OtherFleet);
        }
        Ok(())
    }

    /// Records that a message arrived from a candidate. One that has expired is added again, unless it was admitted
    /// meanwhile.
    fn refresh_candidate(&self, sender: &Handshake) {
        let mut peers = self.peers.borrow_mut();
        if !peers.refresh_candidate(sender.id) && !self.agreed().is_member(sender.id) {
            peers.add_candidate(sender);
        }
    }

    /// Passes Raft messages to the store. Those that name another sender are dropped.
    fn receive_raft_messages(&self, sender: NodeId, messages: Vec<RaftMessage>) {
        let is_from_sender = |message: &RaftMessage| message.from == sender;
        let (accepted, forged): (Vec<_>, Vec<_>) = messages.into_iter().partition(is_from_sender);
        if !forged.is_empty() {
            self.count_rejected_message(&MessageRejection::ForeignSender);
        }
        if !accepted.is_empty() {
            self.send_to_store(StoreCommand::RaftMessages(accepted));
        }
    }

    /// Records a heartbeat. If this node has pending drains and the peer's differ from them, sends them to the peer.
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

    /// Counts a rejected message. Only counts that are powers of two are logged, because a faulty peer may send many.
    pub(super) fn count_rejected_message(&self, rejection: &MessageRejection) {
        let count = self.peers.borrow_mut().count_rejection();
        if count.is_power_of_two() {
            log::warn!("fleet: rejected {count} messages so far; the last one: {rejection}");
        }
    }
}
