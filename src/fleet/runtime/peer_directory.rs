//! The peers: links to them, their last heartbeats, and candidates, which are nodes that request admission.

use crate::fleet::bootstrap::Handshake;
use crate::fleet::message::Heartbeat;
use crate::fleet::peer_link::PeerLink;
use crate::ids::NodeId;
use async_channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a peer last reported, and when.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// When its last message arrived, or its first handshake.
    pub last_heard: Instant,
    /// Whether a message other than a handshake has arrived from it.
    pub has_sent_messages: bool,
    /// The name from the peer's first handshake.
    pub name: String,
    /// The peer's last heartbeat. Before the first one, term and last log entry from its handshake.
    pub heartbeat: Heartbeat,
    /// When the first of an unbroken series of heartbeats without a leader arrived; `None` while the peer reports one.
    pub leaderless_since: Option<Instant>,
}

impl PeerStatus {
    /// Creates the status of a peer from its handshake.
    fn from_handshake(handshake: &Handshake) -> PeerStatus {
        let heartbeat = Heartbeat {
            term: handshake.progress.term,
            last_entry: handshake.progress.last_entry,
            ..Heartbeat::default()
        };
        let name = handshake.name.clone();
        PeerStatus {
            last_heard: Instant::now(),
            has_sent_messages: false,
            name,
            heartbeat,
            leaderless_since: None,
        }
    }
}

/// A node that is not a member and requests admission.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The handshake with which it connected.
    pub handshake: Handshake,
    /// When its last message arrived.
    pub last_heard: Instant,
}

/// Closes all incoming connections at once: each waits for the closing of this channel.
struct CloseSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl CloseSignal {
    fn new() -> CloseSignal {
        let (sender, receiver) = async_channel::bounded(1);
        CloseSignal { sender, receiver }
    }
}

/// Links, statuses and candidates, and which members have accepted this node.
pub struct PeerDirectory {
    links: BTreeMap<SocketAddr, Rc<PeerLink>>,
    statuses: BTreeMap<NodeId, PeerStatus>,
    candidates: BTreeMap<NodeId, Candidate>,
    max_candidates: usize,
    /// Members that have accepted this node's handshake: its storage is not behind the progress that it reported to
    /// them before.
    accepted_by: BTreeSet<NodeId>,
    rejected_messages: u64,
    incoming_close: CloseSignal,
}

impl PeerDirectory {
    /// Creates a directory without peers, for at most `max_candidates` candidates.
    pub(super) fn new(max_candidates: usize) -> PeerDirectory {
        PeerDirectory {
            links: BTreeMap::new(),
            statuses: BTreeMap::new(),
            candidates: BTreeMap::new(),
            max_candidates,
            accepted_by: BTreeSet::new(),
            rejected_messages: 0,
            incoming_close: CloseSignal::new(),
        }
    }

    /// The links to all peers.
    pub fn links(&self) -> impl Iterator<Item = &Rc<PeerLink>> {
        self.links.values()
    }

    /// The link to a node, if messages can be sent on it.
    pub(super) fn link_to(&self, id: NodeId) -> Option<Rc<PeerLink>> {
        self.links.values().find(|link| link.is_up() && link.peer_id() == id).cloned()
    }

    /// Has a link to a node that is down connect at once.
    pub(super) fn retry_link_to(&self, id: NodeId) {
        for link in self.links.values().filter(|link| link.peer_id() == id) {
            link.retry();
        }
    }

    /// Closes and removes the links to addresses for which `is_wanted` returns false.
    pub(super) fn close_links(&mut self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        self.links.retain(|address, link| {
            let is_wanted = is_wanted(address);
            if !is_wanted {
                link.close();
            }
            is_wanted
        });
    }

    /// Whether there is a link to an address, connected or not.
    pub(super) fn has_link(&self, address: &SocketAddr) -> bool {
        self.links.contains_key(address)
    }

    /// The number of links, connected or not.
    pub(super) fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Adds a link, replacing one to the same address.
    pub(super) fn add_link(&mut self, link: Rc<PeerLink>) {
        self.links.insert(link.address, link);
    }

    /// Closes and reopens the connections in both directions, because this node's handshake has changed.
    pub(super) fn reconnect_all(&mut self) {
        for link in self.links.values() {
            link.reconnect();
        }
        let previous = std::mem::replace(&mut self.incoming_close, CloseSignal::new());
        previous.sender.close();
    }

    /// Returns a channel that is closed when the incoming connections that exist now have to end.
    pub(super) fn incoming_close_signal(&self) -> Receiver<()> {
        self.incoming_close.receiver.clone()
    }

    /// The status of each peer from which a handshake or a message has arrived since the start.
    pub fn statuses(&self) -> &BTreeMap<NodeId, PeerStatus> {
        &self.statuses
    }

    /// The status of a peer; `None` if neither a handshake nor a message has arrived from it since the start.
    pub fn status(&self, id: NodeId) -> Option<&PeerStatus> {
        self.statuses.get(&id)
    }

    /// Up to `limit` peers from which the last message arrived less than `age` ago.
    pub(super) fn heard_within(&self, age: Duration, limit: usize) -> Vec<NodeId> {
        let recent = self.statuses.iter().filter(|(_, status)| status.last_heard.elapsed() < age);
        recent.map(|(id, _)| *id).take(limit).collect()
    }

    /// The highest log index reported as committed by any peer; `None` if no message from a peer has
    /// arrived.
    pub(super) fn highest_commit_index(&self) -> Option<u64> {
        self.statuses.values().map(|status| status.heartbeat.commit_index).max()
    }

    /// Records a peer's handshake; returns whether it is the first one from that node.
    pub(super) fn record_handshake(&mut self, handshake: &Handshake) -> bool {
        let is_first = !self.statuses.contains_key(&handshake.id);
        self.statuses.entry(handshake.id).or_insert_with(|| PeerStatus::from_handshake(handshake));
        is_first
    }

    /// Records that a message arrived from a peer.
    pub(super) fn record_message(&mut self, sender: &Handshake) {
        let status = self.statuses.entry(sender.id);
        let status = status.or_insert_with(|| PeerStatus::from_handshake(sender));
        status.last_heard = Instant::now();
        status.has_sent_messages = true;
    }

    /// Records a peer's heartbeat.
    pub(super) fn record_heartbeat(&mut self, sender: NodeId, heartbeat: Heartbeat) {
        let Some(status) = self.statuses.get_mut(&sender) else { return };
        status.leaderless_since = if heartbeat.leader == NodeId::NONE {
            Some(status.leaderless_since.unwrap_or_else(Instant::now))
        } else {
            None
        };
        status.heartbeat = heartbeat;
    }

    /// The candidates by id.
    pub fn candidates(&self) -> &BTreeMap<NodeId, Candidate> {
        &self.candidates
    }

    /// Adds a candidate, unless there are too many.
    pub(super) fn add_candidate(&mut self, handshake: &Handshake) {
        if self.candidates.len() < self.max_candidates {
            let candidate = Candidate { handshake: handshake.clone(), last_heard: Instant::now() };
            self.candidates.insert(handshake.id, candidate);
        }
    }

    /// Records that a message arrived from a candidate; returns false if the node is not a candidate.
    pub(super) fn refresh_candidate(&mut self, id: NodeId) -> bool {
        let Some(candidate) = self.candidates.get_mut(&id) else { return false };
        candidate.last_heard = Instant::now();
        true
    }

    /// Removes candidates from which no message has arrived for `age`.
    pub(super) fn expire_candidates(&mut self, age: Duration) {
        let now = Instant::now();
        self.candidates.retain(|_, candidate| now - candidate.last_heard < age);
    }

    /// Records that a member has accepted this node's handshake.
    pub(super) fn record_acceptance(&mut self, member: NodeId) {
        self.accepted_by.insert(member);
    }

    /// Removes all acceptances of this node's handshake, because its identity has changed.
    pub(super) fn clear_acceptances(&mut self) {
        self.accepted_by.clear();
    }

    /// The number of these nodes that have accepted this node's handshake.
    pub(super) fn acceptances_of(&self, nodes: &[NodeId]) -> usize {
        nodes.iter().filter(|id| self.accepted_by.contains(id)).count()
    }

    /// Counts a rejected message or handshake; returns the new count.
    pub(super) fn count_rejection(&mut self) -> u64 {
        self.rejected_messages += 1;
        self.rejected_messages
    }

    /// Number of messages and handshakes rejected since the start.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }
}

#[cfg(test)]
mod tests;
