//! Injects faults into the links between nodes and into the endpoints of a zone.

use super::{PeerLink, TestCluster};
use crate::endpoint::DEFAULT_SERVICE_TIME;
use crate::faults::EndpointFault;
use crate::relay::{LinkFaults, Relay};
use std::time::Duration;

impl TestCluster {
    /// Sets the faults of the links between two nodes, in both directions.
    pub fn set_link_faults(&self, first: usize, second: usize, faults: LinkFaults) {
        for link in [PeerLink { from: first, to: second }, PeerLink { from: second, to: first }] {
            if let Some(relay) = self.peer_links.get(&link) {
                relay.set_faults(faults, faults);
            }
        }
    }

    /// Sets the faults of all links from and to a node, in both directions. The relays at advertised addresses keep
    /// theirs.
    pub fn set_node_faults(&self, node: usize, faults: LinkFaults) {
        for (link, relay) in &self.peer_links {
            if link.from == node || link.to == node {
                relay.set_faults(faults, faults);
            }
        }
    }

    /// Cuts all links between nodes of different parts and heals those within a part.
    pub fn partition(&self, parts: &[Vec<usize>]) {
        let part_of = |node: usize| parts.iter().position(|part| part.contains(&node));
        for (link, relay) in &self.peer_links {
            let is_cut = part_of(link.from) != part_of(link.to);
            let faults = if is_cut { LinkFaults::CUT } else { LinkFaults::NONE };
            relay.set_faults(faults, faults);
        }
        // The relay at an advertised address is shared by all nodes. It is cut too, or nodes would reach a peer of
        // another part there.
        for relay in &self.advertised_relays {
            relay.set_faults(LinkFaults::CUT, LinkFaults::NONE);
        }
    }

    /// Discards what one node sends to another, on the connections that either of them opened.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        if let Some(relay) = self.peer_links.get(&PeerLink { from, to }) {
            relay.set_faults(LinkFaults::CUT, LinkFaults::NONE);
        }
        if let Some(relay) = self.peer_links.get(&PeerLink { from: to, to: from }) {
            relay.set_faults(LinkFaults::NONE, LinkFaults::CUT);
        }
    }

    /// Delays every byte that one node sends on the connections that it opens to another.
    pub fn delay_opened_connections(&self, from: usize, to: usize, delay: Duration) {
        if let Some(relay) = self.peer_links.get(&PeerLink { from, to }) {
            relay.set_faults(LinkFaults { delay, ..LinkFaults::NONE }, LinkFaults::NONE);
        }
    }

    /// Resets the connections that one node has opened to another.
    pub fn reset_link(&self, from: usize, to: usize) {
        if let Some(relay) = self.peer_links.get(&PeerLink { from, to }) {
            relay.reset_connections();
        }
    }

    /// Removes all faults from the links between nodes.
    pub fn heal_links(&self) {
        for relay in self.relays_between_nodes() {
            relay.set_faults(LinkFaults::NONE, LinkFaults::NONE);
        }
    }

    /// Bytes that nodes have sent to each other so far.
    pub fn peer_traffic_bytes(&self) -> u64 {
        self.relays_between_nodes().map(|relay| relay.traffic().total_bytes()).sum()
    }

    fn relays_between_nodes(&self) -> impl Iterator<Item = &Relay> {
        self.peer_links.values().chain(&self.advertised_relays)
    }

    /// Sets the fault of all endpoints of a zone, in place of their previous fault.
    pub fn set_zone_fault(&self, zone: &str, fault: EndpointFault) {
        for endpoint in self.endpoints.in_zone(zone) {
            if fault == EndpointFault::PowerOff {
                endpoint.power_off();
                continue;
            }
            if !endpoint.is_up() {
                endpoint.power_on();
            }
            endpoint.configure(|behavior| {
                behavior.is_silent = fault == EndpointFault::Silent;
                behavior.loss_percent = match fault {
                    EndpointFault::Lossy(percent) => percent,
                    _ => 0,
                };
                behavior.service_time = match fault {
                    EndpointFault::Slow(factor) => DEFAULT_SERVICE_TIME * factor,
                    _ => DEFAULT_SERVICE_TIME,
                };
            });
        }
    }

    /// Drops all requests that a node sends to the endpoints of a zone.
    pub fn cut_zone(&self, node: usize, zone: &str) {
        for endpoint in self.endpoints.in_zone(zone) {
            endpoint.cut_from(&self.nodes[node].name);
        }
    }

    /// Reverts [`TestCluster::cut_zone`].
    pub fn reconnect_zone(&self, node: usize, zone: &str) {
        for endpoint in self.endpoints.in_zone(zone) {
            endpoint.reconnect_to(&self.nodes[node].name);
        }
    }
}
