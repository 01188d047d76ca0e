//! How this node founds or joins a fleet, and when it starts to participate in the consensus.

use super::Fleet;
use crate::fleet::bootstrap::{Bootstrap, BootstrapState, Handshake};
use crate::fleet::peer_link::PeerLink;
use crate::ids::FleetId;
use crate::ids::NodeId;
use crate::store::state_machine::{ClusterState, Member};
use crate::store::store_thread::StoreCommand;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The state of a node that does not belong to a fleet yet.
pub struct FoundingState {
    /// The last handshake of each peer that has replied, by the address at which it was reached.
    answers: BTreeMap<SocketAddr, Handshake>,
    /// Addresses and names of the members of a fleet that this node may join, as one of them reported.
    known_members: BTreeMap<SocketAddr, String>,
    /// Whether an operator has ordered this node to found a fleet with the nodes that have replied.
    is_ordered_by_operator: bool,
    /// Why there is no agreed configuration; shown to operators.
    status: String,
    status_since: Instant,
}

impl FoundingState {
    /// Creates the state before any peer has replied.
    pub(super) fn new() -> FoundingState {
        FoundingState {
            answers: BTreeMap::new(),
            known_members: BTreeMap::new(),
            is_ordered_by_operator: false,
            status: "starts".into(),
            status_since: Instant::now(),
        }
    }

    /// Why there is no agreed configuration, as shown to operators. Only meaningful while this node belongs to no
    /// fleet.
    pub fn status(&self) -> &str {
        &self.status
    }

    /// Time since the status last changed.
    pub fn status_age(&self) -> Duration {
        self.status_since.elapsed()
    }

    /// Sets the status, and logs it if it has changed.
    fn set_status(&mut self, status: String) {
        if self.status != status {
            log::info!("fleet: {status}");
            self.status = status;
            self.status_since = Instant::now();
        }
    }

    /// Addresses and names of the members of a fleet that this node may join.
    pub(super) fn known_members(&self) -> &BTreeMap<SocketAddr, String> {
        &self.known_members
    }

    /// Replaces the members of a fleet that this node may join.
    pub(super) fn set_known_members(&mut self, members: BTreeMap<SocketAddr, String>) {
        self.known_members = members;
    }

    /// Records the handshake of the peer that replied at an address.
    pub(super) fn record_answer(&mut self, address: SocketAddr, handshake: Handshake) {
        self.answers.insert(address, handshake);
    }

    /// Removes the reply from an address, because the connection has ended and the reply may be outdated.
    pub(super) fn forget_answer(&mut self, address: &SocketAddr) {
        self.answers.remove(address);
    }

    /// Updates the replies of a node from the newer handshake with which it connected to this node.
    pub(super) fn update_answers(&mut self, handshake: &Handshake) {
        for answer in self.answers.values_mut().filter(|answer| answer.id == handshake.id) {
            *answer = handshake.clone();
        }
    }

    /// Removes what is only needed without a fleet, because this node belongs to one now.
    pub(super) fn clear(&mut self) {
        self.answers.clear();
        self.known_members.clear();
    }

    fn bootstrap_state(&self, name: &str, id: NodeId, configured_peers: &[SocketAddr]) -> BootstrapState {
        let bootstrap = Bootstrap {
            name,
            id,
            configured_peers,
            answers: &self.answers,
            ordered_by_operator: self.is_ordered_by_operator,
        };
        bootstrap.state()
    }
}

/// No fleet was founded on an operator's order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not formed: {status}")]
pub struct FoundingError {
    /// Why not. If this node already belongs to a fleet, what it last waited for before it joined.
    pub status: String,
}

impl Fleet {
    /// Founds a fleet with the peers that have replied, on an operator's order. If founding has to wait, the order
    /// remains in force.
    ///
    /// # Errors
    ///
    /// [`FoundingError`] if this node already belongs to a fleet or must not found one now.
    pub fn found_fleet_on_order(&self) -> Result<(), FoundingError> {
        if !self.agreed().has_fleet() {
            self.founding.borrow_mut().is_ordered_by_operator = true;
            self.found_fleet_if_due();
            let founds = BootstrapState::FoundsFleet(BTreeSet::new()).to_string();
            if self.founding().status == founds || self.agreed().has_fleet() {
                return Ok(());
            }
        }
        Err(FoundingError { status: self.founding().status.clone() })
    }

    /// Why there is no agreed configuration, for the log; see [`FoundingState::status`].
    pub fn bootstrap_status(&self) -> String {
        self.founding().status.clone()
    }

    /// Founds a fleet if this node is the one to do so, and updates the status.
    pub(super) fn found_fleet_if_due(&self) {
        let (id, state) = {
            let agreed = self.agreed();
            if agreed.has_fleet() || agreed.is_retired() {
                return;
            }
            let (id, peers) = (agreed.local_id(), &self.local.configured_peers);
            (id, self.founding().bootstrap_state(&self.local.name, id, peers))
        };
        self.founding.borrow_mut().set_status(state.to_string());
        if let BootstrapState::FoundsFleet(voters) = state {
            let member = Member { name: self.local.name.clone(), address: self.local.address };
            let fleet = FleetId::random();
            self.send_to_store(StoreCommand::FoundFleet(Box::new(ClusterState::found_fleet(
                fleet, id, member, voters,
            ))));
        }
    }

    /// Reports to operators that the node reached by a link has this node's own id.
    pub(super) fn report_duplicate_identity(&self, link: &PeerLink) {
        let status = format!("{} is this daemon itself, or one with a copy of its disk", link.address);
        self.founding.borrow_mut().set_status(status);
    }

    /// Starts to participate in the consensus once a majority of the voters, counting this node, has accepted its
    /// handshake. A node whose storage was restored from an older copy could otherwise vote twice in one term.
    pub(super) fn participate_if_accepted(&self) {
        let is_accepted = {
            let agreed = self.agreed();
            let voters = &agreed.status().configuration.voters;
            let acceptances = self.peers().acceptances_of(voters) + 1;
            !agreed.status().participating && !agreed.is_retired() && acceptances * 2 > voters.len()
        };
        if is_accepted {
            self.send_to_store(StoreCommand::StartParticipating);
        }
    }
}
