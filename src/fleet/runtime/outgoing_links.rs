//! The links opened by this node: which addresses it connects to, and how it reacts to handshake replies.

use super::Fleet;
use crate::fleet::bootstrap::{self, Handshake, HandshakeVerdict, MemberAddress};
use crate::fleet::message::{HandshakeReply, PeerMessage};
use crate::fleet::peer_link::{LinkDecision, LinkOrigin, PeerLink, PeerLinkEvents};
use crate::ids::NodeId;
use crate::store::state_machine::{ClusterState, PendingDrain};
use crate::store::storage::IdentityResetReason;
use crate::store::store_thread::StoreCommand;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

impl Fleet {
    /// Opens missing links and closes those that are no longer wanted.
    pub(super) fn open_links(self: &Rc<Fleet>) {
        let wanted = self.wanted_links();
        self.peers.borrow_mut().close_links(|address| wanted.contains_key(address));
        for (address, origin) in wanted {
            let mut peers = self.peers.borrow_mut();
            if peers.has_link(&address) || peers.link_count() >= self.limits.fleet_nodes {
                continue;
            }
            let link = Rc::new(PeerLink::new(address, origin, &self.limits));
            peers.add_link(link.clone());
            drop(peers);
            let fleet = self.clone();
            self.executor.spawn(async move { link.run(&fleet.limits, &*fleet).await }).detach();
        }
    }

    /// The addresses of all peers. For a node that was reached at an address from the operator's file, the address
    /// reported by the fleet is left out: the file's address is the one that is reachable from here.
    fn wanted_links(&self) -> BTreeMap<SocketAddr, LinkOrigin> {
        let (agreed, peers, founding) = (self.agreed(), self.peers(), self.founding());
        let mut configured_ids: BTreeSet<NodeId> = BTreeSet::new();
        let mut configured_names: BTreeSet<String> = BTreeSet::new();
        for link in peers.links().filter(|link| link.origin == LinkOrigin::OperatorFile) {
            configured_ids.insert(link.peer_id());
            configured_names.extend(link.peer_name());
        }
        let mut wanted = BTreeMap::new();
        for (id, member) in &agreed.state().members {
            let is_configured = configured_ids.contains(id) || configured_names.contains(&member.name);
            if *id != agreed.local_id() && !is_configured {
                wanted.insert(member.address, LinkOrigin::Fleet);
            }
        }
        for (address, name) in founding.known_members() {
            if !configured_names.contains(name) && *name != self.local.name {
                wanted.insert(*address, LinkOrigin::Fleet);
            }
        }
        wanted.remove(&self.local.address);
        for address in &self.local.configured_peers {
            wanted.insert(*address, LinkOrigin::OperatorFile);
        }
        wanted
    }

    /// Discards this node's identity if a peer's verdict shows that it must no longer be used; returns whether it did.
    fn reset_identity_if_invalid(&self, verdict: &HandshakeVerdict, peer: &Handshake) -> bool {
        match verdict {
            HandshakeVerdict::OutdatedStorage if self.agreed().is_member(peer.id) => {
                log::warn!(
                    "fleet: {} knows a newer state of this node than its storage holds; resetting its identity",
                    peer.name
                );
                self.send_to_store(StoreCommand::ResetIdentity(IdentityResetReason::OutdatedStorage));
                true
            }
            HandshakeVerdict::SupersededFleet if !self.agreed().has_leader() && self.agreed().has_fleet() => {
                self.join_superseding_fleet(peer);
                true
            }
            _ => false,
        }
    }

    /// Handles the verdicts that do not reset this node's identity.
    fn act_on_verdict(&self, verdict: HandshakeVerdict, peer: &Handshake) -> LinkDecision {
        let fleet = self.agreed().state().fleet;
        match verdict {
            HandshakeVerdict::Accepted => {
                if self.agreed().has_fleet() && peer.fleet == fleet {
                    self.peers.borrow_mut().record_acceptance(peer.id);
                }
                let is_compatible = bootstrap::fleets_are_compatible(fleet, peer.fleet);
                if is_compatible { LinkDecision::Use } else { LinkDecision::Close }
            }
            HandshakeVerdict::NotYetMember(members) => {
                self.remember_members(members);
                LinkDecision::Use
            }
            HandshakeVerdict::RemovedMember if peer.fleet == fleet && !self.agreed().is_removed() => {
                self.agreed.borrow_mut().mark_removed();
                log::warn!(
                    "fleet: {} reports that this node was removed; it keeps serving with its last state but no longer participates",
                    peer.name
                );
                LinkDecision::Close
            }
            HandshakeVerdict::OutdatedStorage
            | HandshakeVerdict::RemovedMember
            | HandshakeVerdict::OtherFleet
            | HandshakeVerdict::SupersededFleet => {
                self.peers.borrow_mut().count_rejection();
                LinkDecision::Close
            }
        }
    }

    /// Records the members of a fleet that this node may join, as reported by one of them.
    fn remember_members(&self, members: Vec<MemberAddress>) {
        let others = members.into_iter().filter(|member| member.name != self.local.name);
        let mut known = BTreeMap::new();
        for MemberAddress { name, address } in others.take(self.limits.fleet_nodes) {
            known.insert(address, name);
        }
        self.founding.borrow_mut().set_known_members(known);
    }

    /// Discards this node's identity to join the fleet that supersedes its own. Committed drains of the old fleet
    /// become pending drains and stay in force until the new fleet has resolved them.
    fn join_superseding_fleet(&self, peer: &Handshake) {
        log::warn!("fleet: the fleet of {} supersedes this node's fleet; joining it", peer.name);
        let mut committed = Vec::new();
        for (endpoint, drains) in &self.agreed().state().drains {
            for drain in drains {
                committed.push(PendingDrain { host: endpoint.clone(), drain: *drain });
            }
        }
        let limit = self.limits.pending_drains;
        self.drains.borrow_mut().pending_mut().merge(committed, &ClusterState::default(), limit);
        self.send_to_store(StoreCommand::ResetIdentity(IdentityResetReason::SupersededFleet));
    }
}

impl PeerLinkEvents for Fleet {
    fn handshake(&self) -> Handshake {
        self.own_handshake()
    }

    fn on_handshake_reply(&self, link: &PeerLink, reply: HandshakeReply) -> LinkDecision {
        let HandshakeReply { verdict, handshake: peer } = reply;
        if peer.id == self.agreed().local_id() {
            self.report_duplicate_identity(link);
            return LinkDecision::Close;
        }
        let is_first = self.peers.borrow_mut().record_handshake(&peer);
        if is_first {
            log::info!("fleet: connected to {} at {} ({verdict:?})", peer.name, link.address);
        }
        if !self.agreed().has_fleet() {
            self.founding.borrow_mut().record_answer(link.address, peer.clone());
        }
        if self.reset_identity_if_invalid(&verdict, &peer) {
            return LinkDecision::Close;
        }
        let decision = self.act_on_verdict(verdict, &peer);
        self.changes.notify();
        decision
    }

    /// Sends what the peer may have missed while it was not connected. Drains come first: a peer that has heard from this
    /// node may serve.
    fn on_connected(&self, link: &PeerLink) {
        let drains = self.drains().pending().all();
        if !drains.is_empty() {
            link.send(&PeerMessage::PendingDrains(drains).encode());
        }
        link.send(&self.own_heartbeat().encode());
        if self.agreed().leading_since().is_some() {
            self.send_to_store(StoreCommand::BroadcastHeartbeat);
        }
        let digest = self.gossip().state().digest();
        link.send(&PeerMessage::GossipDigest(digest).encode());
        let rollbacks = self.log_rollbacks.borrow().all();
        if !rollbacks.is_empty() {
            link.send(&PeerMessage::LogRollbacks(rollbacks).encode());
        }
    }

    fn on_disconnected(&self, link: &PeerLink) {
        self.founding.borrow_mut().forget_answer(&link.address);
        self.send_to_store(StoreCommand::PeerUnreachable(link.peer_id()));
    }
}
