//! Time from the kill of a leader until there is a new one.

use crate::Bench;
use brookpass_testkit::cluster::ClusterConfig;
use brookpass_testkit::eventually;
use std::time::Instant;

impl Bench {
    pub fn leader_election(&self) {
        for nodes in [3, 5] {
            let mut cluster = self.cluster(ClusterConfig { nodes, ..ClusterConfig::default() });
            cluster.start_all();
            let mut durations = Vec::new();
            for _ in 0..self.repetitions {
                let leader = cluster.wait_for_leader();
                let started = Instant::now();
                cluster.kill(leader);
                eventually("there is a new leader", || cluster.leader().is_some_and(|node| node != leader));
                durations.push(started.elapsed());
                cluster.start(leader);
                cluster.wait_until_ready(leader);
                cluster.wait_until_caught_up();
            }
            self.rows("leader killed", nodes.to_string()).print_median("without a leader, ms", durations);
        }
    }
}
