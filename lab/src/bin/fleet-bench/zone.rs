//! A zone whose endpoints answer nothing for six seconds and then restart cold, under load.

use crate::Bench;
use crate::table::{Rows, millis};
use brookpass_testkit::check::{self, ColdStartBound};
use brookpass_testkit::client::{LoadProfile, RequestRecord};
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::endpoint::Arrival;
use brookpass_testkit::{Timestamp, time};
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

const GROUPS: u32 = 8;
/// The zone that fails.
const ZONE: &str = "z-1";
/// Number of operations that a warm endpoint runs at once.
const SLOTS: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The capacity of a warm endpoint: [`SLOTS`] operations at once of [`SERVICE_TIME`] each.
const WARM_CAPACITY_PER_SECOND: f64 = 200.0;
/// An endpoint fails above this multiple of its capacity; equal to `fall-multiple` in the nodes' settings.
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// The value printed for the worst second of an endpoint that exceeded its bound.
const OVER_BOUND: f64 = 9.99;

/// Duration of the load before the zone fails.
const LOAD_BEFORE_FAILURE: Duration = Duration::from_secs(6);
/// How long the zone answers nothing.
const SILENT_TIME: Duration = Duration::from_secs(6);
/// Timeout of the wait until all nodes have evacuated the zone.
const MAX_EVACUATION_TIME: Duration = Duration::from_secs(3);
/// Duration of the load after the restart of the zone.
const LOAD_AFTER_RESTART: Duration = Duration::from_secs(25);
/// Requests due within this time before the end of the load are not evaluated, since they may be unfinished.
const UNEVALUATED_TAIL: Duration = Duration::from_secs(2);
/// A request that is served later than this after it was due counts as late.
const LATE_AFTER: Duration = Duration::from_secs(1);

/// The times of the failure, with the records of the clients and endpoints.
struct ZoneFailure {
    silent_at: Timestamp,
    restarted_at: Timestamp,
    end: Timestamp,
    evacuation_time: Duration,
    records: Vec<RequestRecord>,
    cluster: TestCluster,
}

impl Bench {
    pub fn zone_failure(&self, nodes: usize, seed: u64) {
        let config = ClusterConfig { nodes, groups: GROUPS, ..ClusterConfig::default() };
        let mut cluster = self.cluster(config);
        for endpoint in cluster.endpoints.iter() {
            endpoint.configure(|behavior| {
                behavior.slots = SLOTS;
                behavior.service_time = SERVICE_TIME;
            });
        }
        cluster.start_all();
        let profile = LoadProfile {
            requests_per_second: 150.0,
            clients: 60,
            groups: GROUPS,
            seed,
            retries_rejections: true,
            ..LoadProfile::default()
        };
        let failure = ZoneFailure::run(cluster, profile);
        failure.print(&self.rows("zone", format!("{nodes}, seed {seed}")));
    }
}

impl ZoneFailure {
    fn run(cluster: TestCluster, profile: LoadProfile) -> ZoneFailure {
        let load = cluster.start_load(profile);
        thread::sleep(LOAD_BEFORE_FAILURE);
        let silent_at = Timestamp::now();
        for endpoint in cluster.endpoints.in_zone(ZONE) {
            endpoint.configure(|behavior| behavior.is_silent = true);
        }
        let started = Instant::now();
        while started.elapsed() < MAX_EVACUATION_TIME && !is_evacuated(&cluster) {
            thread::sleep(Duration::from_millis(5));
        }
        let evacuation_time = started.elapsed();
        thread::sleep(SILENT_TIME.saturating_sub(started.elapsed()));
        let restarted_at = Timestamp::now();
        restart_zone(&cluster);
        thread::sleep(LOAD_AFTER_RESTART);
        let end = Timestamp::now() - UNEVALUATED_TAIL;
        let records = load.finish();
        ZoneFailure { silent_at, restarted_at, end, evacuation_time, records, cluster }
    }

    fn print(&self, rows: &Rows) {
        let silent = self.silent_at..self.restarted_at;
        let due_while_silent = check::requests_due(&self.records, silent.clone()).count();
        let unserved_while_silent = check::unserved_requests(&self.records, silent);
        let late = self.late_while_silent();
        rows.print(
            format!("unserved while it was silent, of {due_while_silent}; late"),
            unserved_while_silent,
            late,
        );
        let unserved_after_restart = check::unserved_requests(&self.records, self.restarted_at..self.end);
        let arrivals = self.cluster.endpoints.arrivals();
        rows.print(
            "unserved after its restart; until it gets 90% of its usual share, s",
            unserved_after_restart,
            self.seconds_to_full_share(&arrivals),
        );
        rows.print_value(
            "until all nodes have evacuated it, ms (3000: not all)",
            format!("{:.0}", millis(self.evacuation_time)),
        );
        let peaks = self.cluster.endpoints.in_zone(ZONE).map(|endpoint| endpoint.take_peak_concurrency());
        let peak = peaks.max().unwrap_or(0);
        rows.print(
            "peak concurrency at a restarted endpoint with 1 to 4 slots; worst second, share of its bound",
            peak,
            format!("{:.2}", self.worst_second(&arrivals)),
        );
    }

    /// Number of requests due while the zone was silent that were served late.
    fn late_while_silent(&self) -> usize {
        let silent = self.silent_at..self.restarted_at;
        let served =
            self.records.iter().filter(|record| record.is_served() && silent.contains(&record.due_at));
        served.filter(|record| record.finished_at.duration_since(record.due_at) > LATE_AFTER).count()
    }

    /// Number of operations that reached the zone within a window.
    fn arrivals_in_zone(&self, arrivals: &[Arrival], window: Range<Timestamp>) -> usize {
        let in_window = arrivals.iter().filter(|arrival| window.contains(&arrival.arrived_at));
        in_window.filter(|arrival| self.cluster.endpoints.get(&arrival.endpoint).zone == ZONE).count()
    }

    /// Time from the zone's restart to the end of the first second in which it gets 90% of its usual operations.
    fn seconds_to_full_share(&self, arrivals: &[Arrival]) -> String {
        let second = Duration::from_secs(1);
        let before_failure = self.silent_at - 3 * second..self.silent_at;
        let usual_per_second = self.arrivals_in_zone(arrivals, before_failure) as f64 / 3.0;
        let mut starts = time::steps(self.restarted_at..self.end, Duration::from_millis(250));
        let is_full = |start: &Timestamp| {
            self.arrivals_in_zone(arrivals, *start..*start + second) as f64 >= usual_per_second * 0.9
        };
        match starts.find(is_full) {
            Some(start) => {
                let duration = (start + second).duration_since(self.restarted_at);
                format!("{:.1}", duration.as_micros() as f64 / 1e6)
            }
            None => "never".into(),
        }
    }

    /// The highest load of an endpoint of the zone after its restart, as a share of its bound.
    fn worst_second(&self, arrivals: &[Arrival]) -> f64 {
        let bound = ColdStartBound {
            started_at: self.restarted_at,
            warm_capacity_per_second: WARM_CAPACITY_PER_SECOND,
            overload_multiple: OVERLOAD_MULTIPLE,
        };
        let share =
            |name: &str| check::cold_endpoint_not_overloaded(arrivals, name, bound).unwrap_or(OVER_BOUND);
        let endpoints = self.cluster.endpoints.in_zone(ZONE);
        endpoints.map(|endpoint| share(&endpoint.name)).fold(0.0, f64::max)
    }
}

/// Whether all nodes give the zone the weight 0.
fn is_evacuated(cluster: &TestCluster) -> bool {
    let weight = |node: usize| cluster.zone_weight(node, ZONE);
    (0..cluster.nodes.len()).all(|node| weight(node).is_some_and(|weight| weight.applied_permille == 0))
}

/// Restarts the zone's endpoints, which then are cold and answer again, and resets their peaks.
fn restart_zone(cluster: &TestCluster) {
    cluster.endpoints.in_zone(ZONE).for_each(|endpoint| endpoint.power_off());
    cluster.endpoints.in_zone(ZONE).for_each(|endpoint| endpoint.power_on());
    for endpoint in cluster.endpoints.in_zone(ZONE) {
        endpoint.configure(|behavior| behavior.is_silent = false);
    }
    for endpoint in cluster.endpoints.in_zone(ZONE) {
        endpoint.take_peak_concurrency();
    }
}
