//! Reads what nodes report about the fleet, zones and endpoints, and sends calls to them.

use super::TestCluster;
use crate::{eventually, http};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of each read of the response to a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The weight of a zone at a node, in per mille of the zone's usual reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneWeight {
    /// The weight that the node applies.
    pub applied_permille: u16,
    /// The weight in the last committed state of the fleet.
    pub agreed_permille: u16,
}

impl ZoneWeight {
    /// A weight that the fleet has committed and the node applies.
    pub const fn agreed(permille: u16) -> ZoneWeight {
        ZoneWeight { applied_permille: permille, agreed_permille: permille }
    }
}

/// How far a node has applied the replicated log.
#[derive(Clone, Default, PartialEq)]
struct Progress {
    applied_index: String,
    digest: String,
    has_pending_drains: bool,
}

impl TestCluster {
    /// A node's status page of the fleet; empty if the node does not respond.
    pub fn fleet_status(&self, node: usize) -> String {
        http::get_text(self.nodes[node].store_address, "/fleet")
    }

    /// The value after a name in a node's status page of the fleet, up to the next space; empty if the
    /// name is not there.
    pub fn fleet_field(&self, node: usize, name: &str) -> String {
        let status = self.fleet_status(node);
        let mut fields = status.split_whitespace();
        fields.find(|field| *field == name);
        fields.next().unwrap_or("").to_string()
    }

    /// The number of voters on a node's status page of the fleet.
    pub fn voter_count(&self, node: usize) -> usize {
        self.fleet_status(node).lines().filter(|line| line.contains(" voter ")).count()
    }

    /// The leader that a majority of the running nodes report, provided that it runs and reports itself as leader too.
    pub fn leader(&self) -> Option<usize> {
        let running = self.running_nodes();
        let mut votes: BTreeMap<String, usize> = BTreeMap::new();
        for node in &running {
            *votes.entry(self.fleet_field(*node, "leader")).or_default() += 1;
        }
        let (name, count) = votes.into_iter().max_by_key(|(_, count)| *count)?;
        let leader = self.nodes.iter().position(|node| node.name == name)?;
        let has_majority = count * 2 > running.len() && running.contains(&leader);
        (has_majority && self.fleet_field(leader, "leader") == name).then_some(leader)
    }

    /// Waits for [`TestCluster::leader`] to find a leader and returns it.
    ///
    /// # Panics
    ///
    /// Panics if there is no leader within [`crate::DEFAULT_TIMEOUT`].
    pub fn wait_for_leader(&self) -> usize {
        let mut leader = None;
        eventually("there is a leader", || {
            leader = self.leader();
            leader.is_some()
        });
        leader.expect("a leader was found")
    }

    /// Waits until all running nodes have applied the same entries and no drain is waiting to be committed.
    ///
    /// # Panics
    ///
    /// Panics if they have not within [`crate::DEFAULT_TIMEOUT`].
    pub fn wait_until_caught_up(&self) {
        eventually("all running nodes have applied the same entries", || {
            let progress: Vec<Progress> =
                self.running_nodes().iter().map(|node| self.progress(*node)).collect();
            let first = progress.first().cloned().unwrap_or_default();
            let has_applied = !first.applied_index.is_empty() && first.applied_index != "0";
            has_applied && !first.has_pending_drains && progress.iter().all(|other| *other == first)
        });
    }

    fn progress(&self, node: usize) -> Progress {
        Progress {
            applied_index: self.fleet_field(node, "applied"),
            digest: self.fleet_field(node, "digest"),
            has_pending_drains: self.fleet_status(node).contains("\nunagreed "),
        }
    }

    /// Sends a POST to a node's store, as an operator would. Returns the status of the response, or
    /// [`http::NO_RESPONSE`] if there is none.
    pub fn post(&self, node: usize, path: &str) -> u16 {
        http::post_status(self.nodes[node].store_address, path)
    }

    /// Sends a client's write to a node. Returns the status of the response, or [`http::NO_RESPONSE`] if there is none.
    pub fn write(&self, node: usize, group: u32, request_id: u64) -> u16 {
        let response = self.write_response(node, group, request_id);
        response.map_or(http::NO_RESPONSE, |response| response.status())
    }

    /// Sends a client's write to a node and returns the response, if there is one. The arrivals at endpoints carry
    /// `request_id`.
    pub fn write_response(&self, node: usize, group: u32, request_id: u64) -> Option<http::Message> {
        let body = format!("INSERT r#{request_id}");
        let request = format!(
            "POST /sparql HTTP/1.1\r\nHost: lab\r\nBrookpass-Group: {group}\r\n\
             Content-Type: application/sparql-update\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        http::Connection::open(self.sparql_address(node), WRITE_TIMEOUT)?.call(&request)
    }

    /// The names of the endpoints that a request reached, in the order in which they finished it.
    pub fn endpoints_reached(&self, request_id: u64) -> Vec<String> {
        let arrivals = self.endpoints.arrivals().into_iter();
        let matching = arrivals.filter(|arrival| arrival.request_id == request_id);
        matching.map(|arrival| arrival.endpoint).collect()
    }

    /// The weight of a zone at a node; `None` if the node does not respond or does not list the zone.
    pub fn zone_weight(&self, node: usize, zone: &str) -> Option<ZoneWeight> {
        let zones = http::get_text(self.nodes[node].store_address, "/zones");
        let line = zones.lines().find(|line| line.starts_with(&format!("zone {zone} gets ")))?;
        let number_after = |name: &str| line.split(name).nth(1)?.split([' ', ',']).next()?.parse().ok();
        let applied_permille = number_after(" gets ")?;
        let agreed_permille = number_after(" agreed ")?;
        Some(ZoneWeight { applied_permille, agreed_permille })
    }

    /// Waits until the fleet has committed this weight of a zone and all running nodes apply it. Returns how long that
    /// took.
    ///
    /// # Panics
    ///
    /// Panics if that does not happen within [`crate::DEFAULT_TIMEOUT`].
    pub fn wait_for_zone_weight(&self, zone: &str, permille: u16) -> Duration {
        let wanted = Some(ZoneWeight::agreed(permille));
        eventually(&format!("{zone} has the weight {permille}"), || {
            self.running_nodes().iter().all(|node| self.zone_weight(*node, zone) == wanted)
        })
    }

    /// Whether a node drains an endpoint; `None` if the node does not respond or does not list the endpoint.
    pub fn is_draining(&self, node: usize, endpoint: &str) -> Option<bool> {
        let endpoints = http::get_text(self.nodes[node].store_address, "/hosts");
        let line = endpoints.lines().find(|line| line.starts_with(&format!("{endpoint} ")))?;
        Some(line.contains(" leaving "))
    }

    /// Waits until all these nodes drain an endpoint. Returns how long that took.
    ///
    /// # Panics
    ///
    /// Panics if that does not happen within [`crate::DEFAULT_TIMEOUT`].
    pub fn wait_until_draining(&self, nodes: &[usize], endpoint: &str) -> Duration {
        eventually(&format!("{endpoint} is draining"), || {
            nodes.iter().all(|node| self.is_draining(*node, endpoint) == Some(true))
        })
    }

    /// Waits until all these nodes list an endpoint and do not drain it. Returns how long that took.
    ///
    /// # Panics
    ///
    /// Panics if that does not happen within [`crate::DEFAULT_TIMEOUT`].
    pub fn wait_until_active(&self, nodes: &[usize], endpoint: &str) -> Duration {
        eventually(&format!("{endpoint} is active"), || {
            nodes.iter().all(|node| self.is_draining(*node, endpoint) == Some(false))
        })
    }
}
