//! The peers: the links to them, what was last heard from each, and nodes that ask to be admitted.

use crate::fleet::bootstrap::Handshake;
use crate::fleet::message::Heartbeat;
use crate::fleet::peer_link::PeerLink;
use crate::ids::NodeId;
use async_channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What was last heard from a peer.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// When its last message arrived.
    pub last_heard: Instant,
    /// Its name.
    pub name: String,
    /// Its last heartbeat; before the first one what its handshake said.
    pub heartbeat: Heartbeat,
    /// Since when it has reported that it knows no leader.
    pub leaderless_since: Option<Instant>,
}

impl PeerStatus {
    /// What a handshake says of its sender.
    fn from_handshake(handshake: &Handshake) -> PeerStatus {
        let heartbeat = Heartbeat {
            term: handshake.progress.term,
            last_entry: handshake.progress.last_entry,
            ..Heartbeat::default()
        };
        let name = handshake.name.clone();
        PeerStatus { last_heard: Instant::now(), name, heartbeat, leaderless_since: None }
    }
}

/// A node that is no member and asks to be admitted.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its handshake.
    pub handshake: Handshake,
    /// When it was last heard.
    pub last_heard: Instant,
}

/// Ends all incoming connections at once, by closing a channel that each of them waits for.
struct IncomingConnections {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl IncomingConnections {
    fn new() -> IncomingConnections {
        let (sender, receiver) = async_channel::bounded(1);
        IncomingConnections { sender, receiver }
    }
}

/// All that is known of the peers.
pub struct PeerDirectory {
    links: BTreeMap<SocketAddr, Rc<PeerLink>>,
    statuses: BTreeMap<NodeId, PeerStatus>,
    candidates: BTreeMap<NodeId, Candidate>,
    max_candidates: usize,
    /// Members that have accepted this node's handshake: its storage is as new as they know.
    accepted_by: BTreeSet<NodeId>,
    rejected_messages: u64,
    incoming: IncomingConnections,
}

impl PeerDirectory {
    /// Without peers.
    pub(super) fn new(max_candidates: usize) -> PeerDirectory {
        PeerDirectory {
            links: BTreeMap::new(),
            statuses: BTreeMap::new(),
            candidates: BTreeMap::new(),
            max_candidates,
            accepted_by: BTreeSet::new(),
            rejected_messages: 0,
            incoming: IncomingConnections::new(),
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

    /// Closes the links to addresses for which `is_wanted` is false.
    pub(super) fn close_links(&mut self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        self.links.retain(|address, link| {
            let is_wanted = is_wanted(address);
            if !is_wanted {
                link.close();
            }
            is_wanted
        });
    }

    /// Whether there is a link to an address.
    pub(super) fn has_link(&self, address: &SocketAddr) -> bool {
        self.links.contains_key(address)
    }

    /// The number of links.
    pub(super) fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Adds a link.
    pub(super) fn add_link(&mut self, link: Rc<PeerLink>) {
        self.links.insert(link.address, link);
    }

    /// Has all connections opened again, in both directions: this node's handshake has changed.
    pub(super) fn reconnect_all(&mut self) {
        for link in self.links.values() {
            link.reconnect();
        }
        let ended = std::mem::replace(&mut self.incoming, IncomingConnections::new());
        ended.sender.close();
    }

    /// A receiver whose channel is closed when all incoming connections of now are to end.
    pub(super) fn end_of_incoming(&self) -> Receiver<()> {
        self.incoming.receiver.clone()
    }

    /// What was last heard from each peer.
    pub fn statuses(&self) -> &BTreeMap<NodeId, PeerStatus> {
        &self.statuses
    }

    /// What was last heard from a peer.
    pub fn status(&self, id: NodeId) -> Option<&PeerStatus> {
        self.statuses.get(&id)
    }

    /// At most `limit` peers that were heard less than `age` ago.
    pub(super) fn heard_within(&self, age: Duration, limit: usize) -> Vec<NodeId> {
        let recent = self.statuses.iter().filter(|(_, status)| status.last_heard.elapsed() < age);
        recent.map(|(id, _)| *id).take(limit).collect()
    }

    /// The highest log index that any peer has reported to be committed.
    pub(super) fn highest_commit_index(&self) -> Option<u64> {
        self.statuses.values().map(|status| status.heartbeat.commit_index).max()
    }

    /// Notes the handshake of a peer; returns whether it is the first of that node.
    pub(super) fn record_handshake(&mut self, handshake: &Handshake) -> bool {
        let is_first = !self.statuses.contains_key(&handshake.id);
        self.statuses.entry(handshake.id).or_insert_with(|| PeerStatus::from_handshake(handshake));
        is_first
    }

    /// Notes that a message has arrived from a peer.
    pub(super) fn record_message(&mut self, sender: &Handshake) {
        let status = self.statuses.entry(sender.id);
        status.or_insert_with(|| PeerStatus::from_handshake(sender)).last_heard = Instant::now();
    }

    /// Notes a peer's heartbeat.
    pub(super) fn record_heartbeat(&mut self, sender: NodeId, heartbeat: Heartbeat) {
        let Some(status) = self.statuses.get_mut(&sender) else { return };
        status.leaderless_since = if heartbeat.leader == NodeId::NOBODY {
            Some(status.leaderless_since.unwrap_or_else(Instant::now))
        } else {
            None
        };
        status.heartbeat = heartbeat;
    }

    /// Nodes that ask to be admitted.
    pub fn candidates(&self) -> &BTreeMap<NodeId, Candidate> {
        &self.candidates
    }

    /// Notes a node that asks to be admitted, unless there are too many.
    pub(super) fn add_candidate(&mut self, handshake: &Handshake) {
        if self.candidates.len() < self.max_candidates {
            let candidate = Candidate { handshake: handshake.clone(), last_heard: Instant::now() };
            self.candidates.insert(handshake.id, candidate);
        }
    }

    /// Notes that a candidate was heard; returns false where the node is not among the candidates.
    pub(super) fn refresh_candidate(&mut self, id: NodeId) -> bool {
        let Some(candidate) = self.candidates.get_mut(&id) else { return false };
        candidate.last_heard = Instant::now();
        true
    }

    /// Forgets candidates that were not heard for `age`.
    pub(super) fn expire_candidates(&mut self, age: Duration) {
        let now = Instant::now();
        self.candidates.retain(|_, candidate| now - candidate.last_heard < age);
    }

    /// Notes that a member has accepted this node's handshake.
    pub(super) fn record_acceptance(&mut self, member: NodeId) {
        self.accepted_by.insert(member);
    }

    /// Forgets who accepted this node's handshake: its identity has changed.
    pub(super) fn clear_acceptances(&mut self) {
        self.accepted_by.clear();
    }

    /// How many of these nodes have accepted this node's handshake.
    pub(super) fn acceptances_of(&self, nodes: &[NodeId]) -> usize {
        nodes.iter().filter(|id| self.accepted_by.contains(id)).count()
    }

    /// Counts a message or handshake that was rejected; returns the count.
    pub(super) fn count_rejection(&mut self) -> u64 {
        self.rejected_messages += 1;
        self.rejected_messages
    }

    /// Messages and handshakes that were rejected since the start.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }
}

#[cfg(test)]
mod tests;
