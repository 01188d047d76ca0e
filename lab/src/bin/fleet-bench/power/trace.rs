//! The figures of each window after the return of the power.

use super::{PowerRun, WINDOW};
use crate::table::Rows;
use brookpass_testkit::client::RequestRecord;
use brookpass_testkit::endpoint::Arrival;
use brookpass_testkit::{Timestamp, time};
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

impl PowerRun {
    pub(super) fn print_trace(&self, rows: &Rows) {
        let reading_own_writes = self.records.iter().filter(|record| record.reads_own_write);
        let own_reads: BTreeSet<u64> = reading_own_writes.map(|record| record.request_id).collect();
        for start in time::steps(self.on_at..self.end - WINDOW, WINDOW) {
            let window = start..start + WINDOW;
            let since_return_ms = start.duration_since(self.on_at).as_millis();
            self.print_values(rows, since_return_ms, &window);
            self.print_reads(rows, since_return_ms, &window, &own_reads);
            self.print_latencies(rows, since_return_ms, &window, true);
            self.print_latencies(rows, since_return_ms, &window, false);
        }
    }

    /// The requests that finished within a window.
    fn finished_in(&self, window: &Range<Timestamp>) -> impl Iterator<Item = &RequestRecord> {
        self.records.iter().filter(move |record| window.contains(&record.finished_at))
    }

    fn print_values(&self, rows: &Rows, since_return_ms: u128, window: &Range<Timestamp>) {
        let rejected = self.finished_in(window).filter(|record| record.status == 503).count();
        rows.print(
            format!("{since_return_ms} ms: value served, that of the oracle; refused"),
            format!("{:.0}, {:.0}", self.served_value(window), self.best_value(window)),
            rejected,
        );
    }

    /// Prints the reads that reached endpoints, those that reached primaries, and how many of these read an own write.
    fn print_reads(
        &self,
        rows: &Rows,
        since_return_ms: u128,
        window: &Range<Timestamp>,
        own_reads: &BTreeSet<u64>,
    ) {
        let is_read = |arrival: &&Arrival| !arrival.is_write && window.contains(&arrival.arrived_at);
        let reads: Vec<&Arrival> = self.arrivals.iter().filter(is_read).collect();
        let is_primary = |arrival: &Arrival| self.cluster.endpoints.get(&arrival.endpoint).is_primary();
        let at_primaries: Vec<&&Arrival> = reads.iter().filter(|arrival| is_primary(arrival)).collect();
        let own_reads_at_primaries =
            at_primaries.iter().filter(|arrival| own_reads.contains(&arrival.request_id)).count();
        rows.print(
            format!("{since_return_ms} ms: reads at endpoints; at primaries, of an own write"),
            reads.len(),
            format!("{}, {own_reads_at_primaries}", at_primaries.len()),
        );
    }

    /// Prints the mean latency of served requests as clients and as endpoints measured it.
    fn print_latencies(&self, rows: &Rows, since_return_ms: u128, window: &Range<Timestamp>, is_write: bool) {
        let served = self.finished_in(window).filter(|record| record.is_served());
        let for_clients: Vec<Duration> =
            served.filter(|record| record.is_write == is_write).map(RequestRecord::latency).collect();
        let is_counted = |arrival: &&Arrival| {
            arrival.served && arrival.is_write == is_write && window.contains(&arrival.finished_at)
        };
        let counted = self.arrivals.iter().filter(is_counted);
        let at_endpoints: Vec<Duration> =
            counted.map(|arrival| arrival.finished_at.duration_since(arrival.arrived_at)).collect();
        let kind = if is_write { "writes" } else { "reads" };
        rows.print(
            format!("{since_return_ms} ms, {kind}: served; mean ms at clients; mean ms at endpoints"),
            for_clients.len(),
            format!("{:.0}; {:.0}", mean_millis(&for_clients), mean_millis(&at_endpoints)),
        );
    }
}

/// The mean in milliseconds; 0 if there are no durations.
fn mean_millis(durations: &[Duration]) -> f64 {
    let total: Duration = durations.iter().sum();
    total.as_micros() as f64 / durations.len().max(1) as f64 / 1000.0
}
