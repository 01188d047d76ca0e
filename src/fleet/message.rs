//! Messages between the nodes of a fleet and their framing.
//!
//! A frame is a four-byte big-endian length followed by the output of [`codec::encode`]: a CRC-32 and the message
//! serialized with postcard. Nodes of the previous version exchange messages with this one during an upgrade, so the
//! order and types of variants and fields must not change; their names are not on the wire. The golden tests compare
//! the bytes.
//!
//! Times are sent as ages, because the clocks of nodes may differ.

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

/// Size of the length field before each message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first message on a connection, from the node that opened it.
    Handshake(Handshake),
    /// The reply to a handshake: the only message sent to the node that opened the connection.
    HandshakeReply(HandshakeReply),
    /// Raft messages from the sender.
    RaftMessages(Vec<RaftMessage>),
    /// A change for the leader to append to the log.
    ForwardedProposal(Proposal),
    /// An operator's request to change a member, for the leader to carry out.
    MembershipRequest(MemberRequest),
    /// All pending drains of the sender, its own and those that it has received.
    PendingDrains(Vec<PendingDrain>),
    /// The sender's state, sent periodically and when its leader, term or participation changes.
    Heartbeat(Heartbeat),
    /// The latest gossip version that the sender has from each node.
    GossipDigest(GossipDigest),
    /// Gossip that is missing from the receiver's last digest.
    GossipRecords(Vec<GossipRecord>),
    /// An endpoint has reported that it is its group's primary.
    PrimaryHint {
        /// The endpoint that reported it.
        endpoint: EndpointBytes,
        /// Time since that report; negative ages are rejected.
        age: TimeDelta,
    },
    /// Ranges of log positions that groups have lost.
    LogRollbacks(Vec<LogRollback>),
    /// The outcomes of the sender's recent attempts, by zone.
    ZoneOutcomes(BTreeMap<ZoneId, ZoneOutcomes>),
}

/// The reply to a handshake.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandshakeReply {
    /// Whether the replying node accepts the handshake, and why not.
    pub verdict: HandshakeVerdict,
    /// The replying node's own handshake.
    pub handshake: Handshake,
}

/// The state that a node reports to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader that the sender follows, or the sender itself if it leads; [`NodeId::NONE`] without a leader.
    pub leader: NodeId,
    /// The sender's Raft term.
    pub term: u64,
    /// Term and index of the last entry in the sender's log.
    pub last_entry: EntryId,
    /// Whether the sender participates in the consensus: it processes Raft messages and votes.
    pub participates: bool,
    /// The sender's commit index.
    pub commit_index: u64,
    /// The last log entry that the sender has applied.
    pub applied: AppliedPosition,
    /// Checksum of the sender's drains that are not committed yet. A receiver that has other ones sends them.
    pub pending_drains_digest: u32,
    /// Peers from which the sender has recently received messages.
    pub reachable_peers: Vec<NodeId>,
    /// Whether the sender is still recovering after a start. Recovering nodes divide the polling of endpoints among
    /// themselves.
    pub recovering: bool,
}

/// The log entry up to which a node has applied the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedPosition {
    /// Index of the last applied entry.
    pub index: u64,
    /// Checksum over everything applied up to this index, to compare the states of nodes.
    pub digest: u32,
}

/// An endpoint's IPv4 address and port in network byte order.
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

/// A message decoded from the start of a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedMessage {
    /// The message without its frame.
    pub message: PeerMessage,
    /// Size of the message in the buffer, including the length prefix: what the caller has to consume.
    pub encoded_bytes: usize,
}

/// Why bytes could not be decoded. The connection must be closed, since the start of the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The length prefix exceeds the limit of the receiver.
    #[error("message of {length} bytes exceeds the limit of {limit} bytes")]
    TooLong {
        /// The length in the prefix, in bytes.
        length: usize,
        /// The longest accepted message, in bytes.
        limit: usize,
    },
    /// The checksum does not match, or the content does not decode to a message.
    #[error("message is malformed or corrupted")]
    Malformed,
}

impl PeerMessage {
    /// Serializes the message for sending, including the length prefix.
    pub fn encode(&self) -> Vec<u8> {
        let body = codec::encode(self);
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes the first message in `buffer`. Returns `None` while the message is incomplete.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the message is longer than `limit` bytes, not counting the prefix, or malformed.
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
