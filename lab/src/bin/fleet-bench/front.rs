//! Latency and throughput of the SPARQL server.

use crate::Bench;
use brookpass_testkit::client::{LoadProfile, RequestRecord};
use brookpass_testkit::cluster::ClusterConfig;
use hdrhistogram::Histogram;
use std::thread;
use std::time::Duration;

/// Pause between the start of the nodes and the load.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Seed of the first round; each further round adds one.
const FIRST_SEED: u64 = 7;
/// Number of significant decimal digits of the recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;

/// The figures of one load, as the clients recorded them.
struct FrontFigures {
    served_per_second: f64,
    median_ms: f64,
    p99_ms: f64,
}

impl Bench {
    pub fn front(&self, round: usize) {
        let config = ClusterConfig { nodes: 3, groups: 4, ..ClusterConfig::default() };
        let mut cluster = self.cluster(config);
        cluster.start_all();
        thread::sleep(SETTLING_TIME);
        for requests_per_second in [600.0, 1_500.0] {
            let load = cluster.start_load(LoadProfile {
                requests_per_second,
                clients: 48,
                groups: 4,
                seed: FIRST_SEED + round as u64,
                ..LoadProfile::default()
            });
            thread::sleep(LOAD_TIME);
            let records = load.finish();
            // The first quarter is left out because clients still open connections in it.
            let figures = figures(&records[records.len() / 4..]);
            self.rows("front", format!("3, {requests_per_second:.0}/s offered, round {round}")).print(
                "served/s; p50, p99 ms",
                format!("{:.0}", figures.served_per_second),
                format!("{:.2}, {:.2}", figures.median_ms, figures.p99_ms),
            );
        }
    }
}

fn figures(records: &[RequestRecord]) -> FrontFigures {
    let mut latencies: Histogram<u64> =
        Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is valid");
    let mut served: u64 = 0;
    for record in records.iter().filter(|record| record.is_served()) {
        served += 1;
        let micros = record.latency().as_micros().max(1) as u64;
        latencies.record(micros).unwrap_or(());
    }
    let duration = match (records.first(), records.last()) {
        (Some(first), Some(last)) => last.finished_at.duration_since(first.sent_at),
        _ => Duration::ZERO,
    };
    let quantile_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    FrontFigures {
        served_per_second: served as f64 / duration.as_secs_f64(),
        median_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
    }
}
