//! How this node comes into a fleet: it founds one, or is admitted, and then participates in the consensus.

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

/// What is known while this node belongs to no fleet.
pub struct FoundingState {
    /// The last handshake from each address that has answered.
    answers: BTreeMap<SocketAddr, Handshake>,
    /// Addresses and names of the members of a fleet that this node may join.
    known_members: BTreeMap<SocketAddr, String>,
    /// An operator has ordered to found a fleet with the nodes that have answered.
    is_ordered_by_operator: bool,
    status: String,
    status_since: Instant,
}

impl FoundingState {
    /// Before any peer has answered.
    pub(super) fn new() -> FoundingState {
        FoundingState {
            answers: BTreeMap::new(),
            known_members: BTreeMap::new(),
            is_ordered_by_operator: false,
            status: "starts".into(),
            status_since: Instant::now(),
        }
    }

    /// Why there is no agreed configuration, for operators.
    pub fn status(&self) -> &str {
        &self.status
    }

    /// How long that has been so.
    pub fn status_age(&self) -> Duration {
        self.status_since.elapsed()
    }

    /// Notes why there is no agreed configuration.
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

    /// Replaces these members.
    pub(super) fn set_known_members(&mut self, members: BTreeMap<SocketAddr, String>) {
        self.known_members = members;
    }

    /// Notes the answer of the peer at an address.
    pub(super) fn record_answer(&mut self, address: SocketAddr, handshake: Handshake) {
        self.answers.insert(address, handshake);
    }

    /// The connection to an address has ended: its answer is not valid any more.
    pub(super) fn forget_answer(&mut self, address: &SocketAddr) {
        self.answers.remove(address);
    }

    /// A node that has answered has connected, with a newer handshake.
    pub(super) fn update_answers(&mut self, handshake: &Handshake) {
        for answer in self.answers.values_mut().filter(|answer| answer.id == handshake.id) {
            *answer = handshake.clone();
        }
    }

    /// This node belongs to a fleet now.
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

/// A fleet was not founded on an operator's order, and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not formed: {status}")]
pub struct NotFounded {
    /// What this node waits for, or what it last waited for where it belongs to a fleet already.
    pub status: String,
}

impl Fleet {
    /// Founds a fleet with the peers that have answered, on an operator's order.
    ///
    /// # Errors
    ///
    /// [`NotFounded`] where this node belongs to a fleet already, or must not found one.
    pub fn found_fleet_on_order(&self) -> Result<(), NotFounded> {
        if !self.agreed().has_fleet() {
            self.founding.borrow_mut().is_ordered_by_operator = true;
            self.found_fleet_if_due();
            let founds = BootstrapState::FoundsFleet(BTreeSet::new()).to_string();
            if self.founding().status == founds || self.agreed().has_fleet() {
                return Ok(());
            }
        }
        Err(NotFounded { status: self.founding().status.clone() })
    }

    /// Why there is no agreed configuration, for operators.
    pub fn bootstrap_status(&self) -> String {
        self.founding().status.clone()
    }

    /// Founds a fleet where this node is the one to do it.
    pub(super) fn found_fleet_if_due(&self) {
        let (id, state) = {
            let agreed = self.agreed();
            if agreed.has_fleet() || agreed.is_retired() {
                return;
            }
            let (id, peers) = (agreed.local_id(), &self.local.named);
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

    /// The node that a link reached has this node's id.
    pub(super) fn report_duplicate_identity(&self, link: &PeerLink) {
        let status = format!("{} is this daemon itself, or one with a copy of its disk", link.address);
        self.founding.borrow_mut().set_status(status);
    }

    /// Participates in the consensus once a majority of the voters, this node among them, has accepted this node's
    /// handshake: otherwise storage that was put back to an earlier copy could vote twice.
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
