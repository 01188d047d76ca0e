//! The set of all endpoints of a cluster.

use super::{Arrival, GroupLog, LostCommits, Placement, SharedRecords, StandInEndpoint};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// All endpoints of a cluster, with a common record of the operations that reached them.
#[derive(Clone, Default)]
pub struct StandInEndpoints {
    all: Vec<StandInEndpoint>,
    records: SharedRecords,
}

impl StandInEndpoints {
    /// Starts `per_group` endpoints in each of the groups 1 to `groups`; the first one of each group is its primary.
    /// The endpoints of a group are assigned to the zones in round-robin order.
    pub fn start(groups: u32, per_group: usize, zones: &[String]) -> StandInEndpoints {
        let mut endpoints = StandInEndpoints::default();
        for group in 1..=groups {
            let log: Arc<Mutex<GroupLog>> = Arc::default();
            for index in 0..per_group {
                let zone = zones.get(index % zones.len().max(1)).cloned().unwrap_or_default();
                let placement = Placement { group, index, zone };
                let endpoint = StandInEndpoint::start(placement, log.clone(), endpoints.records.clone());
                endpoints.all.push(endpoint);
            }
        }
        endpoints
    }

    /// All endpoints, by group and index.
    pub fn iter(&self) -> impl Iterator<Item = &StandInEndpoint> {
        self.all.iter()
    }

    /// The names of all endpoints, by group and index.
    pub fn names(&self) -> Vec<String> {
        self.all.iter().map(|endpoint| endpoint.name.clone()).collect()
    }

    /// The operations that have reached the endpoints so far, in the order in which they finished.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.records.arrivals.lock().expect("lock of the arrivals").clone()
    }

    /// The endpoint with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such endpoint.
    pub fn get(&self, name: &str) -> &StandInEndpoint {
        self.all.iter().find(|endpoint| endpoint.name == name).expect("an endpoint has this name")
    }

    /// The endpoints of a zone.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a StandInEndpoint> {
        self.all.iter().filter(move |endpoint| endpoint.zone == zone)
    }

    /// The endpoints of a group.
    fn in_group(&self, group: u32) -> impl Iterator<Item = &StandInEndpoint> {
        self.all.iter().filter(move |endpoint| endpoint.group == group)
    }

    /// Powers off all endpoints.
    pub fn power_off(&self) {
        self.all.iter().for_each(StandInEndpoint::power_off);
    }

    /// Starts all endpoints again, cold. Each group has lost its last commit and those made within `unsynced` before
    /// it; none if `unsynced` is zero.
    pub fn power_on(&self, unsynced: Duration) {
        let mut groups: Vec<u32> = self.all.iter().map(|endpoint| endpoint.group).collect();
        groups.dedup();
        for group in groups {
            self.first_of_group(group).log().lose_unsynced_commits(unsynced);
        }
        self.all.iter().for_each(StandInEndpoint::power_on);
    }

    /// The commits that a group has lost so far.
    pub fn lost_commits(&self, group: u32) -> Vec<LostCommits> {
        self.first_of_group(group).log().lost().to_vec()
    }

    fn first_of_group(&self, group: u32) -> &StandInEndpoint {
        self.in_group(group).next().expect("the group has an endpoint")
    }

    /// The inventory as CSV. The functions return an endpoint's address and a zone's region, which is empty if there is
    /// none.
    pub fn inventory_csv(
        &self,
        address_of: impl Fn(&StandInEndpoint) -> SocketAddr,
        region_of: impl Fn(&str) -> String,
    ) -> String {
        let mut csv = "name,address,group,zone,region\n".to_string();
        for endpoint in &self.all {
            let StandInEndpoint { name, group, zone, .. } = endpoint;
            let address = address_of(endpoint);
            let region = region_of(zone);
            csv += &format!("{name},{address},{group},{zone},{region}\n");
        }
        csv
    }

    /// Makes the endpoint with this name the primary of its group.
    pub fn promote(&self, group: u32, name: &str) {
        for endpoint in self.in_group(group) {
            endpoint.state().is_primary = endpoint.name == name;
        }
    }
}
