//! Recovery of service after a loss of power of all nodes under load, either with or without their endpoints.

mod figures;
mod trace;

use crate::Bench;
use crate::table::Rows;
use brookpass_testkit::Timestamp;
use brookpass_testkit::client::{LoadProfile, REQUEST_TIMEOUT, RequestRecord};
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::endpoint::Arrival;
use brookpass_testkit::oracle::{self, CapacityModel, ServedValue};
use std::ops::Range;
use std::thread;
use std::time::Duration;

const GROUPS: u32 = 8;
/// Number of replicas in each group, in addition to its primary.
const REPLICAS: usize = 2;
/// Duration of the load before the loss of power.
const LOAD_BEFORE_LOSS: Duration = Duration::from_secs(14);
/// Duration of the loss of power.
const OUTAGE_TIME: Duration = Duration::from_secs(1);
/// Duration of the load after all nodes are ready.
const LOAD_AFTER_READY: Duration = Duration::from_secs(9);
/// Requests due within this time before the end of the load are not evaluated, since they may be unfinished.
const UNEVALUATED_TAIL: Duration = Duration::from_millis(1_500);
/// The window over which the served value is summed.
const WINDOW: Duration = Duration::from_millis(500);

/// The parameters of a measured loss of power.
#[derive(Clone, Copy)]
pub struct PowerLoss {
    pub nodes: usize,
    /// Whether the endpoints lose power too and start cold.
    pub endpoints_too: bool,
    pub seed: u64,
    /// Whether the figures of each window are printed.
    pub trace: bool,
}

impl PowerLoss {
    fn requests_per_second(&self) -> f64 {
        if self.endpoints_too { 600.0 } else { 400.0 }
    }

    /// Number of operations that a warm endpoint runs at once.
    fn slots(&self) -> usize {
        if self.endpoints_too { 4 } else { 8 }
    }

    fn service_time(&self) -> Duration {
        if self.endpoints_too { Duration::from_millis(40) } else { Duration::from_millis(2) }
    }
}

/// The times of one loss of power, with the records of the clients and endpoints.
struct PowerRun {
    loss: PowerLoss,
    off_at: Timestamp,
    on_at: Timestamp,
    end: Timestamp,
    records: Vec<RequestRecord>,
    arrivals: Vec<Arrival>,
    /// The value that the oracle serves in each step from the return of the power on.
    best: Vec<ServedValue>,
    cluster: TestCluster,
}

impl Bench {
    pub fn power_loss(&self, loss: PowerLoss) {
        let PowerLoss { nodes, seed, .. } = loss;
        let config = ClusterConfig { nodes, groups: GROUPS, ..ClusterConfig::default() };
        let run = PowerRun::new(self.cluster(config), loss);
        let endpoints = if loss.endpoints_too { "cold endpoints" } else { "warm endpoints" };
        let rows = self.rows("power", format!("{nodes}, {endpoints}, seed {seed}"));
        run.print(&rows);
    }
}

impl PowerRun {
    fn new(mut cluster: TestCluster, loss: PowerLoss) -> PowerRun {
        for endpoint in cluster.endpoints.iter() {
            endpoint.configure(|behavior| {
                behavior.slots = loss.slots();
                behavior.service_time = loss.service_time();
            });
        }
        cluster.start_all();
        // Moves the primaries, so that not every primary is the first endpoint of its group in the list.
        for group in 1..=GROUPS {
            cluster.endpoints.promote(group, &format!("s-{group}-{}", group % 3));
        }
        let load = cluster.start_load(LoadProfile {
            requests_per_second: loss.requests_per_second(),
            clients: 120,
            groups: GROUPS,
            seed: loss.seed,
            retries_rejections: true,
            ..LoadProfile::default()
        });
        thread::sleep(LOAD_BEFORE_LOSS);
        let off_at = Timestamp::now();
        let on_at = cycle_power(&mut cluster, loss.endpoints_too);
        thread::sleep(LOAD_AFTER_READY);
        let end = Timestamp::now() - UNEVALUATED_TAIL;
        let records = load.finish();
        let arrivals = cluster.endpoints.arrivals();
        let model = CapacityModel {
            replicas: REPLICAS,
            slots: loss.slots(),
            service_time: loss.service_time(),
            cold_since: loss.endpoints_too.then_some(on_at),
        };
        let best = oracle::best_served_value(&records, GROUPS, model, on_at..end, REQUEST_TIMEOUT);
        PowerRun { loss, off_at, on_at, end, records, arrivals, best, cluster }
    }

    /// The value of the requests that were served within a window.
    fn served_value(&self, window: &Range<Timestamp>) -> f64 {
        let served = self.records.iter().filter(|record| record.is_served());
        served.filter(|record| window.contains(&record.finished_at)).map(oracle::request_value).sum()
    }

    /// The value that the oracle serves within a window.
    fn best_value(&self, window: &Range<Timestamp>) -> f64 {
        self.best.iter().filter(|step| window.contains(&step.at)).map(|step| step.value).sum()
    }

    fn print(&self, rows: &Rows) {
        self.print_recovery_times(rows);
        if self.loss.trace {
            self.print_trace(rows);
        }
        self.print_share_and_polls(rows);
        if self.loss.endpoints_too {
            rows.print_value(
                "worst second of a cold endpoint, share of its bound (9.99: over)",
                format!("{:.2}", self.worst_second()),
            );
        }
    }
}

/// Turns the power off and on again, and waits until all nodes are ready. Returns the time at which the power came
/// back.
fn cycle_power(cluster: &mut TestCluster, endpoints_too: bool) -> Timestamp {
    let nodes: Vec<usize> = (0..cluster.nodes.len()).collect();
    nodes.iter().for_each(|node| cluster.kill(*node));
    if endpoints_too {
        cluster.endpoints.power_off();
    }
    thread::sleep(OUTAGE_TIME);
    if endpoints_too {
        cluster.endpoints.power_on(Duration::ZERO);
    }
    let on_at = Timestamp::now();
    cluster.start_nodes(&nodes);
    nodes.iter().for_each(|node| cluster.wait_until_ready(*node));
    on_at
}
