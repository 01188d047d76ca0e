//! The measurement `front`.

use super::Bench;
use brookpass_testkit::client::{LoadProfile, RequestRecord};
use brookpass_testkit::cluster::ClusterConfig;
use hdrhistogram::Histogram;
use std::thread;
use std::time::Duration;

impl Bench {
    pub(super) fn front(&self, round: usize) {
        let mut lab = self.lab(ClusterConfig { daemons: 3, hosts: (4, 3), ..ClusterConfig::default() });
        lab.start_all();
        thread::sleep(Duration::from_millis(500));
        for rate in [600.0, 1_500.0] {
            let plan = LoadProfile {
                rate,
                clients: 48,
                groups: 4,
                writes: 3,
                age: 800,
                seed: 7 + round as u64,
                again: false,
            };
            let load = lab.start_load(plan);
            thread::sleep(Duration::from_secs(8));
            let asked: Vec<RequestRecord> = load.finish();
            let mut all: Histogram<u64> = Histogram::new(3).expect("a histogram");
            let warm = asked.iter().skip(asked.len() / 4);
            let served = warm.clone().filter(|a| a.status == 200);
            served.clone().for_each(|a| all.record((a.until - a.sent).max(1) as u64).unwrap_or(()));
            let (first, last) = (warm.clone().next(), warm.clone().last());
            let span = last.map_or(0, |a| a.until) - first.map_or(0, |a| a.sent);
            let rate_served = served.count() as f64 / (span as f64 / 1e6);
            let at = |q: f64| all.value_at_quantile(q) as f64 / 1000.0;
            println!(
                "| front | {} | 3, {rate:.0}/s asked, round {round} | served/s; p50, p99 ms | {rate_served:.0} | {:.2}, {:.2} |",
                self.label(),
                at(0.5),
                at(0.99)
            );
        }
    }
}
