//! How a fleet is founded, and when a daemon takes part.

use super::*;

impl Fleet {
    /// An operator's word: form a fleet with whoever has answered. False: there is one already.
    pub fn form_fleet(&self) -> bool {
        if !self.table().state.fleet.is_none() {
            return false;
        }
        self.change().word = true;
        self.found_fleet_if_due();
        self.table().stand.0 == BootstrapState::FoundsFleet(BTreeSet::new()).to_string()
            || !self.table().state.fleet.is_none()
    }

    /// Founds a fleet where this daemon is the one to do it.
    pub(super) fn found_fleet_if_due(&self) {
        let stand = {
            let table = self.table();
            if !table.state.fleet.is_none() || table.removed || table.broken.is_some() {
                return;
            }
            let bootstrap = Bootstrap {
                name: &self.me.name,
                id: table.identity.id,
                configured_peers: &self.me.named,
                answers: &table.met,
                ordered_by_operator: table.word,
            };
            bootstrap.state()
        };
        self.set_bootstrap_status(stand.to_string());
        if let BootstrapState::FoundsFleet(others) = stand {
            let id = self.table().identity.id;
            let member = Member { name: self.me.name.clone(), address: self.me.address };
            let fleet = FleetId::random();
            self.send_to_store(StoreCommand::FoundFleet(Box::new(ClusterState::found_fleet(
                fleet, id, member, others,
            ))));
        }
    }

    pub(super) fn set_bootstrap_status(&self, why: String) {
        let mut table = self.change();
        if table.stand.0 != why {
            log::info!("fleet: {why}");
            table.stand = (why, Instant::now());
        }
    }

    /// Takes part in the agreement once enough of the others have found nothing wrong with this daemon's disk.
    pub(super) fn join_consensus_if_accepted(&self) {
        let enough = {
            let table = self.table();
            let voters = &table.status.configuration.voters;
            let welcome = voters.iter().filter(|v| table.welcomes.contains(v)).count() + 1;
            !table.status.participating
                && !table.removed
                && table.broken.is_none()
                && welcome * 2 > voters.len()
        };
        if enough {
            self.send_to_store(StoreCommand::StartParticipating);
        }
    }
}
