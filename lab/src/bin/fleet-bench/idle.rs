//! Traffic, CPU time and memory at rest with many endpoints, and the start with very many.

use crate::Bench;
use crate::table::millis;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::process::ResourceUsage;
use brookpass_testkit::{eventually, http};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// How long nodes have to come to rest.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How long they are measured at rest.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Endpoints of the fleet that starts.
const MANY_ENDPOINTS: usize = 10_000;

impl Bench {
    pub fn idle(&self) {
        self.at_rest();
        self.start_with_many_endpoints();
    }

    fn at_rest(&self) {
        let config = ClusterConfig { nodes: NODES, unreachable_endpoints: 2_000, ..ClusterConfig::default() };
        let mut cluster = self.cluster(config);
        cluster.start_all();
        thread::sleep(SETTLING_TIME);
        let bytes_before = cluster.peer_traffic_bytes();
        let usage_before = usage_of_all(&cluster);
        thread::sleep(MEASURED_TIME);
        let seconds = MEASURED_TIME.as_secs_f64();
        let kilobytes_per_second = (cluster.peer_traffic_bytes() - bytes_before) as f64 / seconds / 1000.0;
        let usage_after = usage_of_all(&cluster);
        let cpu_percent = usage_before
            .iter()
            .zip(&usage_after)
            .map(|(before, after)| (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0)
            .fold(0.0, f64::max);
        let memory_mib = usage_after.iter().map(|usage| usage.memory_kib).max().unwrap_or(0) / 1024;
        let rows = self.rows("idle", "3, 2,000 hosts");
        rows.print(
            "kB/s all links, CPU % of the busiest",
            format!("{kilobytes_per_second:.1}"),
            format!("{cpu_percent:.2}"),
        );
        rows.print_value("memory of the largest, MB", memory_mib);
    }

    fn start_with_many_endpoints(&self) {
        let config =
            ClusterConfig { nodes: NODES, unreachable_endpoints: MANY_ENDPOINTS, ..ClusterConfig::default() };
        let mut cluster = self.cluster(config);
        let started = Instant::now();
        cluster.start_all();
        let known_endpoints =
            |node: usize| http::get_text(cluster.nodes[node].store_address, "/hosts").lines().count();
        eventually("all nodes know all endpoints", || {
            (0..NODES).all(|node| known_endpoints(node) >= MANY_ENDPOINTS)
        });
        let length = format!("{:.0}", millis(started.elapsed()));
        self.rows("start", "3, 10,000 hosts").print_value("until all have all, ms", length);
    }
}

fn usage_of_all(cluster: &TestCluster) -> Vec<ResourceUsage> {
    cluster.nodes.iter().map(|node| node.process().resource_usage()).collect()
}
