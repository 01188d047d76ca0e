//! Disk writes of a node under load and idle.

use crate::Bench;
use crate::table::Rows;
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::{http, log_lines};
use std::thread;
use std::time::Duration;

/// The prefix of the counter of disk writes in a node's metrics.
const WRITES_METRIC: &str = "svc.fleet.disk_writes:";
/// Duration of the load before the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Duration of each measurement.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Pause after the load until the nodes count as idle.
const SETTLING_TIME: Duration = Duration::from_secs(12);

/// Counters of what the first node has written so far.
struct DiskWrites {
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
        measure(&cluster, &self.rows("disk", "5, 24 endpoints, 400 requests/s"));
        load.finish();
        thread::sleep(SETTLING_TIME);
        measure(&cluster, &self.rows("disk", "5, 24 endpoints, idle"));
    }
}

fn measure(cluster: &TestCluster, rows: &Rows) {
    let before = disk_writes(cluster);
    thread::sleep(MEASURED_TIME);
    let after = disk_writes(cluster);
    let seconds = MEASURED_TIME.as_secs_f64();
    rows.print(
        "syncs/s; bytes/s",
        format!("{:.2}", (after.syncs - before.syncs) as f64 / seconds),
        format!("{:.0}", (after.bytes - before.bytes) as f64 / seconds),
    );
}

fn disk_writes(cluster: &TestCluster) -> DiskWrites {
    let process = cluster.nodes[0].process();
    let admin_address = process.wait_for_address(log_lines::ADMIN_LISTENING);
    let metrics = http::get_text(admin_address, "/v1/metrics");
    let writes = metrics.lines().find_map(|line| line.strip_prefix(WRITES_METRIC));
    let syncs = writes.and_then(|value| value.split('|').next()?.parse().ok()).unwrap_or(0);
    DiskWrites { syncs, bytes: process.bytes_written() }
}
