//! All endpoints of a cluster.

use super::{Arrival, GroupLog, LostCommits, Placement, StandInEndpoint};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// All endpoints of a cluster, with one record of what reached them.
#[derive(Clone, Default)]
pub struct StandInEndpoints {
    all: Vec<StandInEndpoint>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl StandInEndpoints {
    /// Starts `per_group` endpoints in each of the groups 1 to `groups`; the first of each is the primary. The endpoint
    /// with index `n` of a group is in zone `n` of the zones, in turn.
    pub fn start(groups: u32, per_group: usize, zones: &[String]) -> StandInEndpoints {
        let mut endpoints = StandInEndpoints::default();
        for group in 1..=groups {
            let log: Arc<Mutex<GroupLog>> = Arc::default();
            for index in 0..per_group {
                let zone = zones.get(index % zones.len().max(1)).cloned().unwrap_or_default();
                let placement = Placement { group, index, zone };
                let endpoint = StandInEndpoint::start(placement, log.clone(), endpoints.arrivals.clone());
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

    /// What has reached all endpoints up to now, in the order in which it was finished.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock of the arrivals").clone()
    }

    /// The endpoint with this name.
    ///
    /// # Panics
    ///
    /// When there is none.
    pub fn get(&self, name: &str) -> &StandInEndpoint {
        self.all.iter().find(|endpoint| endpoint.name == name).expect("an endpoint of this name")
    }

    /// The endpoints of a zone.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a StandInEndpoint> {
        self.all.iter().filter(move |endpoint| endpoint.zone == zone)
    }

    /// The endpoints of a group.
    fn in_group(&self, group: u32) -> impl Iterator<Item = &StandInEndpoint> {
        self.all.iter().filter(move |endpoint| endpoint.group == group)
    }

    /// All endpoints lose power.
    pub fn power_off(&self) {
        self.all.iter().for_each(StandInEndpoint::power_off);
    }

    /// All endpoints start again, cold; each group has lost its commits of the last `unsynced` before its last one.
    pub fn power_on(&self, unsynced: Duration) {
        let mut groups: Vec<u32> = self.all.iter().map(|endpoint| endpoint.group).collect();
        groups.dedup();
        for group in groups {
            self.first_of_group(group).log().lose_tail(unsynced);
        }
        self.all.iter().for_each(StandInEndpoint::power_on);
    }

    /// The commits that a group has lost.
    pub fn lost_commits(&self, group: u32) -> Vec<LostCommits> {
        self.first_of_group(group).log().lost().to_vec()
    }

    fn first_of_group(&self, group: u32) -> &StandInEndpoint {
        self.in_group(group).next().expect("an endpoint of the group")
    }

    /// The inventory as CSV, with each endpoint's address and the region of each zone as these functions give them.
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
