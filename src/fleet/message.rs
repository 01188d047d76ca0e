//! What goes between two daemons: frames with a length before them and a check sum inside.

use super::bootstrap::{Handshake, HandshakeVerdict};
use super::gossip::{GossipRecord, GossipVersion};
use super::membership::MembershipRequest;
use super::zones::ZoneOutcomes;
use crate::engine::log_rollback::LogRollback;
use crate::ids::NodeId;
use crate::ids::ZoneId;
use crate::store::records::{self, Letter};
use crate::store::state_machine::Proposal;
use crate::store::storage::Marks;
use crate::time::TimeDelta;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first one of whoever opened the connection.
    Handshake(Handshake),
    /// The answer to it, and the only one that comes back on this connection.
    HandshakeReply(HandshakeVerdict, Handshake),
    /// Letters of the agreement.
    RaftMessages(Vec<Letter>),
    /// A change for the leader to put into the log.
    ForwardedProposal(Proposal),
    /// What an operator wants of a daemon of this name, for the leader.
    MembershipRequest(String, MembershipRequest),
    /// All drains that the sender holds and that are not agreed.
    PendingDrains(Marks),
    /// How things stand with the sender.
    Heartbeat(Heartbeat),
    /// What the sender knows of the hosts, by source.
    GossipDigest(Vec<(NodeId, GossipVersion)>),
    /// What the one that it goes to lacks of that.
    Observations(Vec<GossipRecord>),
    /// A host has called itself the primary, so long ago: a hint for the module.
    PrimaryHint([u8; 6], TimeDelta),
    /// What groups have lost.
    LogRollbacks(Vec<LogRollback>),
    /// What the sender saw of zones within the last moment.
    ZoneObservations(BTreeMap<ZoneId, ZoneOutcomes>),
}

/// A daemon's last word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader that it knows.
    pub leader: NodeId,
    /// The term.
    pub term: u64,
    /// The last entry that its log holds: its term and its place.
    pub last: (u64, u64),
    /// It takes part in the agreement: it hears letters.
    pub part: bool,
    /// The last place of the log that it knows as agreed.
    pub agreed: u64,
    /// The last one that it has taken in, and the check sum there.
    pub applied: (u64, u32),
    /// Check sum of the drains that it holds and that are not agreed.
    pub marks: u32,
    /// Daemons that it has heard within the last moment.
    pub hears: Vec<NodeId>,
    /// It returns, and asks hosts in turn with others that do.
    pub returns: bool,
}

impl PeerMessage {
    /// As it goes out.
    pub fn bytes(&self) -> Vec<u8> {
        let body = records::write(self);
        let mut out = (body.len() as u32).to_be_bytes().to_vec();
        out.extend(body);
        out
    }

    /// The first frame of what came in, and its length there; `None`: it is not whole yet. An error: too long,
    /// or out of form.
    pub fn read(bytes: &[u8], most: usize) -> Result<Option<(PeerMessage, usize)>, &'static str> {
        let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > most {
            return Err("too long");
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        records::read(body).map(|frame| Some((frame, length + 4))).ok_or("out of form")
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests;
