//! The start of a node that missed many changes.

use crate::Bench;
use crate::table::millis;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::http;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// The node that misses the changes.
const ABSENT: usize = 2;
/// Connections that make the changes.
const CALLERS: usize = 8;
/// Endpoints that each of them drains and undrains: 10,000 changes in all.
const ENDPOINTS_PER_CALLER: usize = 625;
/// Bound of each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

impl Bench {
    pub fn catch_up(&self) {
        let mut cluster = self.cluster(ClusterConfig {
            nodes: NODES,
            groups: 1,
            unreachable_endpoints: CALLERS * ENDPOINTS_PER_CALLER,
            ..ClusterConfig::default()
        });
        cluster.start_all();
        cluster.kill(ABSENT);
        cluster.wait_for_leader();
        let started = Instant::now();
        make_changes(&cluster);
        let changes = format!("{:.0}", millis(started.elapsed()));
        self.rows("changes", "3, one dead").print_value("10,000 agreed, ms", changes);
        let started = Instant::now();
        cluster.start(ABSENT);
        cluster.wait_until_ready(ABSENT);
        let start = format!("{:.0}", millis(started.elapsed()));
        let rows = self.rows("catch-up", "3");
        rows.print_value("missed 10,000 changes: until it serves, ms", start);
        cluster.wait_until_caught_up();
        let memory = cluster.nodes.iter().map(|node| node.process().resource_usage().memory_kib);
        rows.print_value("memory of the largest, MB", memory.max().unwrap_or(0) / 1024);
    }
}

fn make_changes(cluster: &TestCluster) {
    let addresses = [cluster.nodes[0].store_address, cluster.nodes[1].store_address];
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let address = addresses[caller % addresses.len()];
            scope.spawn(move || drain_and_undrain(address, caller * ENDPOINTS_PER_CALLER));
        }
    });
}

/// Drains and undrains endpoints from this index on.
fn drain_and_undrain(address: SocketAddr, first: usize) {
    let mut connection = http::Connection::open(address, CALL_TIMEOUT).expect("a connection");
    for index in first..first + ENDPOINTS_PER_CALLER {
        for action in ["drain", "undrain"] {
            let path = format!("/{action}/x-{index}");
            let response = connection.call(&http::empty_request("POST", &path));
            let status = response.map_or(http::NO_RESPONSE, |response| response.status());
            assert_eq!(status, 200, "{path}");
        }
    }
}
