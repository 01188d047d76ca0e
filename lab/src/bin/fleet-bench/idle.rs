//! Traffic, CPU time and memory of an idle fleet with many endpoints, and the time to start with very many.

use crate::Bench;
use crate::table::millis;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::process::ResourceUsage;
use brookpass_testkit::{eventually, http};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// Pause after the start until the nodes count as idle.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Duration of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Number of endpoints in the measurement of the start.
const MANY_ENDPOINTS: usize = 10_000;

impl Bench {
    pub fn idle(&self) {
        self.idle_usage();
        self.start_with_many_endpoints();
    }

    fn idle_usage(&self) {
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
        let rows = self.rows("idle", "3, 2,000 endpoints");
        rows.print(
            "kB/s of all links; CPU % of the busiest node",
            format!("{kilobytes_per_second:.1}"),
            format!("{cpu_percent:.2}"),
        );
        rows.print_value("memory of the largest node, MiB", memory_mib);
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
        let start_up_ms = format!("{:.0}", millis(started.elapsed()));
        self.rows("start", "3, 10,000 endpoints")
            .print_value("until all nodes know all endpoints, ms", start_up_ms);
    }
}

fn usage_of_all(cluster: &TestCluster) -> Vec<ResourceUsage> {
    cluster.nodes.iter().map(|node| node.process().resource_usage()).collect()
}
