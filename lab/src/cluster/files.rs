//! The files of daemons.

use super::TestCluster;

impl TestCluster {
    /// Writes a daemon's own inventory, changed now.
    pub fn write_inventory(&self, n: usize, text: &str) {
        let path = self.daemons[n].folder.join("hosts.csv");
        let beside = path.with_extension("new");
        std::fs::write(&beside, text).expect("a file");
        std::fs::rename(&beside, &path).expect("a file");
    }

    /// The inventory that says what there is.
    pub fn inventory(&self) -> String {
        let region = |zone: &str| {
            let at =
                zone.trim_start_matches("z-").parse().ok().and_then(|n: usize| self.setup.regions.get(n));
            at.cloned().unwrap_or_default()
        };
        let mut text = self.hosts.inventory(|h| self.host_links[&h.name].address, region);
        for n in 0..self.setup.more_hosts {
            text += &format!("x-{n},127.0.0.1:9,{},z-{},\n", 1000 + n / 3, n % 3);
        }
        text
    }

    pub(super) fn write_files(&self, n: usize, named: &[usize]) {
        let daemon = &self.daemons[n];
        let peers = named.iter().filter(|o| **o != n).map(|o| self.links[&(n, *o)].address.to_string());
        let peers = peers.collect::<Vec<_>>().join(", ");
        let public = self.public[n].address;
        let advertise = if self.setup.old { String::new() } else { format!("\n  advertise: {public}") };
        let disk = if self.setup.disk { "\n  snapshot: fleet.store" } else { "" };
        let text = format!(
            "name: {}\nnumber: {n}\nsparql:\n  listen: 127.0.0.1:0\n  query: catalog-read\n  session: own-edit-read\n  \
             update: score-write\nstore:\n  listen: 127.0.0.1:0{advertise}\n  peers: [{peers}]{disk}\nadmin: 127.0.0.1:0\n\
             inventory: hosts.csv\nzones: [z-0, z-1, z-2]\nsockets: 1024\nsettings:\n  balancers: {}\n{SETTINGS}",
            daemon.name, self.setup.daemons
        );
        std::fs::write(daemon.folder.join("operator.yaml"), text).expect("a file");
        self.write_inventory(n, &self.inventory());
    }
}

const SETTINGS: &str = "  services:
    - {name: catalog-read, consistency: lag_bound, max-age: 0.8, target: 1.0, deadline: 2.5, worth: 3, late-worth: 0.2, repeat: repeatable}
    - {name: own-edit-read, consistency: causal, target: 0.8, deadline: 2.0, worth: 1, late-worth: 0, repeat: repeatable}
    - {name: score-write, consistency: mutate, target: 0.6, deadline: 2.0, worth: 6, late-worth: 0.5, repeat: by_key, group: cell, dedup-window: 1.2}
  limits: {conn-idle: 15, connect-timeout: 0.25, max-attempts: 8, max-retry-after: 1}
  guarantees: {cold-share: 0.25, warm-up: 16, fall-multiple: 4, tip-after: 1}
  family-info: {behind: none}
";
