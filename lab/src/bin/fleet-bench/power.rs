//! A loss of power of all nodes under load, with their endpoints or without, until they serve as before.

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
/// Replicas of each group, beside its primary.
const REPLICAS: usize = 2;
/// How long the load runs before the loss of power.
const LEAD_TIME: Duration = Duration::from_secs(14);
/// How long there is no power.
const DARK_TIME: Duration = Duration::from_secs(1);
/// How long the load runs after all nodes are ready.
const RETURN_TIME: Duration = Duration::from_secs(9);
/// At the end of the load, requests whose time had not passed.
const UNFINISHED_TIME: Duration = Duration::from_millis(1_500);
/// The window over which the served value is summed.
const WINDOW: Duration = Duration::from_millis(500);

/// A loss of power that is measured.
#[derive(Clone, Copy)]
pub struct PowerLoss {
    pub nodes: usize,
    /// The endpoints lose power too and start cold.
    pub endpoints_too: bool,
    pub seed: u64,
    /// Print figures for each window.
    pub trace: bool,
}

impl PowerLoss {
    fn requests_per_second(&self) -> f64 {
        if self.endpoints_too { 600.0 } else { 400.0 }
    }

    /// Operations that run at once at an endpoint.
    fn slots(&self) -> usize {
        if self.endpoints_too { 4 } else { 8 }
    }

    fn service_time(&self) -> Duration {
        if self.endpoints_too { Duration::from_millis(40) } else { Duration::from_millis(2) }
    }
}

/// What happened when, with what clients and endpoints recorded.
struct PowerRun {
    loss: PowerLoss,
    off_at: Timestamp,
    on_at: Timestamp,
    end: Timestamp,
    records: Vec<RequestRecord>,
    arrivals: Vec<Arrival>,
    /// What the oracle serves from the return of the power on.
    best: Vec<ServedValue>,
    cluster: TestCluster,
}

impl Bench {
    pub fn power_loss(&self, loss: PowerLoss) {
        let PowerLoss { nodes, seed, .. } = loss;
        let config = ClusterConfig { nodes, groups: GROUPS, ..ClusterConfig::default() };
        let run = PowerRun::new(self.cluster(config), loss);
        let endpoints = if loss.endpoints_too { "cold hosts" } else { "warm hosts" };
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
        // No primary is the first endpoint of its group in the list.
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
        thread::sleep(LEAD_TIME);
        let off_at = Timestamp::now();
        let on_at = cycle_power(&mut cluster, loss.endpoints_too);
        thread::sleep(RETURN_TIME);
        let end = Timestamp::now() - UNFINISHED_TIME;
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
        self.print_return_of_service(rows);
        if self.loss.trace {
            self.print_trace(rows);
        }
        self.print_share_and_polls(rows);
        if self.loss.endpoints_too {
            rows.print_value(
                "worst second of a cold host, share of its bound (9.99: over)",
                format!("{:.2}", self.worst_second()),
            );
        }
    }
}

/// Takes the power away and gives it back; when it came back. Returns when all nodes are ready.
fn cycle_power(cluster: &mut TestCluster, endpoints_too: bool) -> Timestamp {
    let nodes: Vec<usize> = (0..cluster.nodes.len()).collect();
    nodes.iter().for_each(|node| cluster.kill(*node));
    if endpoints_too {
        cluster.endpoints.power_off();
    }
    thread::sleep(DARK_TIME);
    if endpoints_too {
        cluster.endpoints.power_on(Duration::ZERO);
    }
    let on_at = Timestamp::now();
    cluster.start_nodes(&nodes);
    nodes.iter().for_each(|node| cluster.wait_until_ready(*node));
    on_at
}
