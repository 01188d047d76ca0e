//! From an operator's drain until all nodes act on it.

use crate::Bench;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use std::thread;
use std::time::{Duration, Instant};

/// The endpoint that is drained.
const ENDPOINT: &str = "s-1-1";

/// How long one drain took.
struct DrainTimes {
    /// Until all nodes acted on it.
    effective: Duration,
    /// Until the operator's call was answered.
    answered: Duration,
}

impl Bench {
    pub fn drain_propagation(&self) {
        for nodes in [3, 5, 9] {
            for one_is_dead in [false, true] {
                self.drain_propagation_among(nodes, one_is_dead);
            }
        }
    }

    fn drain_propagation_among(&self, node_count: usize, one_is_dead: bool) {
        let mut cluster = self.cluster(ClusterConfig { nodes: node_count, ..ClusterConfig::default() });
        cluster.start_all();
        let mut nodes: Vec<usize> = (0..node_count).collect();
        if one_is_dead {
            let last = node_count - 1;
            cluster.kill(last);
            nodes.retain(|node| *node != last);
            if !self.is_legacy {
                cluster.wait_for_leader();
            }
        }
        let mut effective = Vec::new();
        let mut answered = Vec::new();
        for repetition in 0..self.repetitions {
            let node = nodes[repetition % nodes.len()];
            let times = drain(&cluster, node, &nodes);
            effective.push(times.effective);
            answered.push(times.answered);
            let _ = cluster.post(node, &format!("/undrain/{ENDPOINT}"));
            cluster.wait_until_active(&nodes, ENDPOINT);
            // Drains must not keep step with the nodes' timers.
            thread::sleep(Duration::from_millis(37 * (repetition as u64 % 5)));
        }
        let state = if one_is_dead { "one dead" } else { "all there" };
        let rows = self.rows("drain", format!("{node_count}, {state}"));
        rows.print_median("acts at all, ms", effective);
        rows.print_median("answered, ms", answered);
    }
}

/// Drains the endpoint at a node and waits until all nodes act on it.
fn drain(cluster: &TestCluster, node: usize, nodes: &[usize]) -> DrainTimes {
    let started = Instant::now();
    thread::scope(|scope| {
        let call = scope.spawn(|| {
            let status = cluster.post(node, &format!("/drain/{ENDPOINT}"));
            assert!(matches!(status, 200 | 202));
            started.elapsed()
        });
        cluster.wait_until_draining(nodes, ENDPOINT);
        let effective = started.elapsed();
        DrainTimes { effective, answered: call.join().expect("a call") }
    })
}
