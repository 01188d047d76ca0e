//! Writes the files that nodes read: the operator's file and the inventory.

use super::{TestCluster, ZONES};

/// The name of a node's store in its folder.
pub(super) const STORE_FILE: &str = "fleet.store";
/// The name of the operator's file in a node's folder.
pub(super) const OPERATOR_FILE: &str = "operator.yaml";
/// The name of the inventory in a node's folder.
const INVENTORY_FILE: &str = "hosts.csv";
/// The number of the first group of unreachable endpoints.
const FIRST_UNREACHABLE_GROUP: usize = 1000;

impl TestCluster {
    /// Replaces a node's own inventory atomically, by renaming a new file, as an operator would.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written.
    pub fn write_inventory(&self, node: usize, csv: &str) {
        let path = self.nodes[node].folder.join(INVENTORY_FILE);
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, csv).expect("the inventory is written");
        std::fs::rename(&temporary, &path).expect("the inventory is renamed");
    }

    /// The inventory as CSV, with the running and the unreachable endpoints.
    pub fn inventory_csv(&self) -> String {
        let address_of =
            |endpoint: &crate::endpoint::StandInEndpoint| self.endpoint_relays[&endpoint.name].address;
        let mut csv = self.endpoints.inventory_csv(address_of, |zone| self.region_of(zone));
        for index in 0..self.config.unreachable_endpoints {
            let group = FIRST_UNREACHABLE_GROUP + index / ZONES.len();
            let zone = ZONES[index % ZONES.len()];
            csv += &format!("x-{index},127.0.0.1:9,{group},{zone},\n");
        }
        csv
    }

    /// The region of a zone; empty if it has none.
    fn region_of(&self, zone: &str) -> String {
        let number = ZONES.iter().position(|name| *name == zone);
        let region = number.and_then(|number| self.config.regions.get(number));
        region.cloned().unwrap_or_default()
    }

    /// Writes a node's files. The operator's file names `peers`, except for the node itself.
    pub(super) fn write_files(&self, node: usize, peers: &[usize]) {
        let text = self.operator_file(node, peers);
        std::fs::write(self.nodes[node].folder.join(OPERATOR_FILE), text)
            .expect("the operator's file is written");
        self.write_inventory(node, &self.inventory_csv());
    }

    fn operator_file(&self, node: usize, peers: &[usize]) -> String {
        let is_peer = |link: &super::PeerLink| link.from == node && peers.contains(&link.to);
        let links = self.peer_links.iter().filter(|(link, _)| is_peer(link));
        let peer_addresses: Vec<String> = links.map(|(_, relay)| relay.address.to_string()).collect();
        let advertise = match self.config.is_legacy {
            true => String::new(),
            false => format!("\n  advertise: {}", self.advertised_relays[node].address),
        };
        let snapshot = match self.config.has_store_files {
            true => format!("\n  snapshot: {STORE_FILE}"),
            false => String::new(),
        };
        format!(
            "name: {}\nnumber: {node}\nsparql:\n  listen: 127.0.0.1:0\n  query: catalog-read\n  \
             session: own-edit-read\n  update: score-write\nstore:\n  listen: 127.0.0.1:0{advertise}\n  \
             peers: [{}]{snapshot}\nadmin: 127.0.0.1:0\ninventory: {INVENTORY_FILE}\nzones: [{}]\n\
             sockets: 1024\nsettings:\n  balancers: {}\n{SERVICE_SETTINGS}",
            self.nodes[node].name,
            peer_addresses.join(", "),
            ZONES.join(", "),
            self.config.nodes
        )
    }
}

/// The settings of all nodes, as in the section `settings` of an operator's file. The values of `worth` are repeated in
/// [`crate::oracle::request_value`], those of `cold-share` and `warm-up` in [`crate::endpoint::warm_up_share`].
pub const SERVICE_SETTINGS: &str = "  services:
    - {name: catalog-read, consistency: lag_bound, max-age: 0.8, target: 1.0, deadline: 2.5, worth: 3, late-worth: 0.2, repeat: repeatable}
    - {name: own-edit-read, consistency: causal, target: 0.8, deadline: 2.0, worth: 1, late-worth: 0, repeat: repeatable}
    - {name: score-write, consistency: mutate, target: 0.6, deadline: 2.0, worth: 6, late-worth: 0.5, repeat: by_key, group: cell, dedup-window: 1.2}
  limits: {conn-idle: 15, connect-timeout: 0.25, max-attempts: 8, max-retry-after: 1}
  guarantees: {cold-share: 0.25, warm-up: 16, fall-multiple: 4, tip-after: 1}
  family-info: {behind: none}
";
