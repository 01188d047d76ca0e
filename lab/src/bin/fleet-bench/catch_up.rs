//! Start of a node that missed many changes.

use crate::Bench;
use crate::table::millis;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::http;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// The index of the node that misses the changes.
const LATE_NODE: usize = 2;
/// Number of concurrent connections that make the changes.
const CALLERS: usize = 8;
/// Number of endpoints that each connection drains and undrains: 10,000 changes in total.
const ENDPOINTS_PER_CALLER: usize = 625;
/// Timeout of each call.
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
        cluster.kill(LATE_NODE);
        cluster.wait_for_leader();
        let started = Instant::now();
        make_changes(&cluster);
        let changes_ms = format!("{:.0}", millis(started.elapsed()));
        self.rows("changes", "3, one down").print_value("10,000 committed, ms", changes_ms);
        let started = Instant::now();
        cluster.start(LATE_NODE);
        cluster.wait_until_ready(LATE_NODE);
        let start_up_ms = format!("{:.0}", millis(started.elapsed()));
        let rows = self.rows("catch-up", "3");
        rows.print_value("until a node that missed 10,000 changes serves, ms", start_up_ms);
        cluster.wait_until_caught_up();
        let memory = cluster.nodes.iter().map(|node| node.process().resource_usage().memory_kib);
        rows.print_value("memory of the largest node, MiB", memory.max().unwrap_or(0) / 1024);
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

/// Drains and undrains [`ENDPOINTS_PER_CALLER`] endpoints from the one with index `first` on.
fn drain_and_undrain(address: SocketAddr, first: usize) {
    let mut connection =
        http::Connection::open(address, CALL_TIMEOUT).expect("the store accepts a connection");
    for index in first..first + ENDPOINTS_PER_CALLER {
        for action in ["drain", "undrain"] {
            let path = format!("/{action}/x-{index}");
            let response = connection.call(&http::empty_request("POST", &path));
            let status = response.map_or(http::NO_RESPONSE, |response| response.status());
            assert_eq!(status, 200, "{path}");
        }
    }
}
