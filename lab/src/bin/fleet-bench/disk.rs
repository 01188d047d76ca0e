//! What is written to the disk in service and at rest.

use crate::Bench;
use crate::table::Rows;
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::{http, log_lines};
use std::thread;
use std::time::Duration;

/// The counter of disk writes among a node's metrics, up to its value.
const WRITES_METRIC: &str = "svc.fleet.disk_writes:";
/// How long a node serves before it is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// How long each figure is measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// How long nodes have to come to rest.
const SETTLING_TIME: Duration = Duration::from_secs(12);

/// What the first node has written up to now.
struct Written {
    syncs: u64,
    bytes: u64,
}

impl Bench {
    pub fn disk(&self) {
        let mut cluster = self.cluster(ClusterConfig { groups: 8, ..ClusterConfig::default() });
        cluster.start_all();
        let profile =
            LoadProfile { requests_per_second: 400.0, clients: 60, groups: 8, ..LoadProfile::default() };
        let load = cluster.start_load(profile);
        thread::sleep(WARM_UP_TIME);
        measure(&cluster, &self.rows("disk", "5, 24 hosts, 400 requests a second"));
        load.finish();
        thread::sleep(SETTLING_TIME);
        measure(&cluster, &self.rows("disk", "5, 24 hosts, at rest"));
    }
}

fn measure(cluster: &TestCluster, rows: &Rows) {
    let before = written(cluster);
    thread::sleep(MEASURED_TIME);
    let after = written(cluster);
    let seconds = MEASURED_TIME.as_secs_f64();
    rows.print(
        "syncs a second; bytes a second",
        format!("{:.2}", (after.syncs - before.syncs) as f64 / seconds),
        format!("{:.0}", (after.bytes - before.bytes) as f64 / seconds),
    );
}

fn written(cluster: &TestCluster) -> Written {
    let process = cluster.nodes[0].process();
    let admin_address = process.wait_for_address(log_lines::ADMIN_LISTENING);
    let metrics = http::get_text(admin_address, "/v1/metrics");
    let writes = metrics.lines().find_map(|line| line.strip_prefix(WRITES_METRIC));
    let syncs = writes.and_then(|value| value.split('|').next()?.parse().ok()).unwrap_or(0);
    Written { syncs, bytes: process.bytes_written() }
}
