//! Messages between the nodes of a fleet and their framing.
//!
//! A frame is a length of four bytes, big-endian, then a record as [`codec::encode`] makes it: a CRC-32 and the
//! message in postcard form. Nodes of the version before read the same bytes: variants and fields keep their
//! order and types, whatever they are called. The golden tests hold the bytes.
//!
//! Ages are sent, never times: the clocks of nodes may differ.

use super::bootstrap::{Handshake, HandshakeVerdict};
use super::gossip::{GossipDigest, GossipRecord};
use super::membership::MemberRequest;
use super::zones::ZoneOutcomes;
use crate::engine::log_rollback::LogRollback;
use crate::ids::NodeId;
use crate::ids::ZoneId;
use crate::routing::EndpointId;
use crate::store::codec;
use crate::store::raft_message::RaftMessage;
use crate::store::records::EntryId;
use crate::store::state_machine::{PendingDrain, Proposal};
use crate::time::TimeDelta;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of the length before each message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first message on a connection, from the node that opened it.
    Handshake(Handshake),
    /// The answer to it: the only message that goes back on that connection.
    HandshakeReply(HandshakeReply),
    /// Messages of the consensus.
    RaftMessages(Vec<RaftMessage>),
    /// A change for the leader to put into the log.
    ForwardedProposal(Proposal),
    /// What an operator requests of a member, for the leader to carry out.
    MembershipRequest(MemberRequest),
    /// All drains that the sender holds and that are not committed yet.
    PendingDrains(Vec<PendingDrain>),
    /// The sender's state, sent periodically and when its leader, term or participation changes.
    Heartbeat(Heartbeat),
    /// Which gossip the sender has, by the node that it comes from.
    GossipDigest(GossipDigest),
    /// Gossip that the receiver lacks by its last digest.
    GossipRecords(Vec<GossipRecord>),
    /// An endpoint has reported to be the primary.
    PrimaryHint {
        /// The endpoint.
        endpoint: EndpointBytes,
        /// How long ago it reported that.
        age: TimeDelta,
    },
    /// Ranges of groups' logs that were lost.
    LogRollbacks(Vec<LogRollback>),
    /// The sender's recent outcomes of attempts, by zone.
    ZoneOutcomes(BTreeMap<ZoneId, ZoneOutcomes>),
}

/// The answer to a handshake.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandshakeReply {
    /// What the answering node makes of the handshake.
    pub verdict: HandshakeVerdict,
    /// The answering node's own handshake.
    pub handshake: Handshake,
}

/// The state of a node, as its peers last heard it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader that it knows; [`NodeId::NOBODY`] for none.
    pub leader: NodeId,
    /// Its consensus term.
    pub term: u64,
    /// The last entry in its log: term and index.
    pub last_entry: EntryId,
    /// It participates in the consensus: it receives messages and votes.
    pub participates: bool,
    /// The last log index that it knows to be committed.
    pub commit_index: u64,
    /// What it has applied to its state.
    pub applied: AppliedPosition,
    /// Digest of the drains that it holds and that are not committed yet.
    pub pending_drains_digest: u32,
    /// Peers from which it has recently received messages.
    pub reachable_peers: Vec<NodeId>,
    /// It recovers after a start, and takes turns with others that do in polling endpoints.
    pub recovering: bool,
}

/// How far a node's state is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedPosition {
    /// The last log index that it has applied.
    pub index: u64,
    /// Checksum over all that was applied up to there.
    pub digest: u32,
}

/// An endpoint's IPv4 address and port in network order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointBytes(pub [u8; 6]);

impl From<EndpointId> for EndpointBytes {
    fn from(endpoint: EndpointId) -> EndpointBytes {
        let [a, b, c, d] = endpoint.ip;
        let [high, low] = endpoint.port.to_be_bytes();
        EndpointBytes([a, b, c, d, high, low])
    }
}

impl From<EndpointBytes> for EndpointId {
    fn from(EndpointBytes([a, b, c, d, high, low]): EndpointBytes) -> EndpointId {
        EndpointId { ip: [a, b, c, d], port: u16::from_be_bytes([high, low]) }
    }
}

/// A message read from a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedMessage {
    /// The message.
    pub message: PeerMessage,
    /// Bytes of the buffer that it took, with its length prefix.
    pub encoded_bytes: usize,
}

/// Bytes that are not a message. The connection cannot be read on: where the next message starts is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The length prefix exceeds the limit.
    #[error("a message of {length} bytes exceeds the limit of {limit}")]
    TooLong {
        /// The length that the prefix states.
        length: usize,
        /// The longest that is accepted.
        limit: usize,
    },
    /// The checksum is wrong, or the bytes are not those of a message.
    #[error("a message is malformed or was damaged on the way")]
    Malformed,
}

impl PeerMessage {
    /// The bytes to send, with the length prefix.
    pub fn encode(&self) -> Vec<u8> {
        let body = codec::encode(self);
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Reads the first message of a buffer; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`MessageError`] where the message is longer than `limit` bytes or malformed.
    pub fn decode(buffer: &[u8], limit: usize) -> Result<Option<DecodedMessage>, MessageError> {
        let Some((prefix, rest)) = buffer.split_first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > limit {
            return Err(MessageError::TooLong { length, limit });
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let message = codec::decode(body).ok_or(MessageError::Malformed)?;
        Ok(Some(DecodedMessage { message, encoded_bytes: LENGTH_PREFIX_BYTES + length }))
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests;
