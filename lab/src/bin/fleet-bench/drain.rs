//! Time from an operator's drain until all nodes apply it.

use crate::Bench;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use std::thread;
use std::time::{Duration, Instant};

/// The name of the endpoint that is drained.
const ENDPOINT: &str = "s-1-1";

/// The times that one drain took.
struct DrainTimes {
    /// Time until all nodes applied the drain.
    effective: Duration,
    /// Time until the operator's call was answered.
    answered: Duration,
}

impl Bench {
    pub fn drain_propagation(&self) {
        for nodes in [3, 5, 9] {
            for one_is_down in [false, true] {
                self.measure_drain_propagation(nodes, one_is_down);
            }
        }
    }

    fn measure_drain_propagation(&self, node_count: usize, one_is_down: bool) {
        let mut cluster = self.cluster(ClusterConfig { nodes: node_count, ..ClusterConfig::default() });
        cluster.start_all();
        let mut nodes: Vec<usize> = (0..node_count).collect();
        if one_is_down {
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
            // Varies the time between drains, so that they are not in phase with the nodes' timers.
            thread::sleep(Duration::from_millis(37 * (repetition as u64 % 5)));
        }
        let state = if one_is_down { "one down" } else { "all up" };
        let rows = self.rows("drain", format!("{node_count}, {state}"));
        rows.print_median("until all nodes apply it, ms", effective);
        rows.print_median("until the call is answered, ms", answered);
    }
}

/// Drains the endpoint by a call to `node`, and waits until all of `nodes` apply the drain.
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
        DrainTimes { effective, answered: call.join().expect("the thread of the call ends") }
    })
}
