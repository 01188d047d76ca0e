//! The summary figures of a loss of power.

use super::{PowerRun, WINDOW};
use crate::table::{Rows, millis};
use brookpass_testkit::check::{self, ColdStartBound};
use brookpass_testkit::{Timestamp, oracle, time};
use std::ops::Range;
use std::time::Duration;

/// Time before the loss over which the usual served value is measured.
const USUAL_TIME: Duration = Duration::from_secs(4);
/// Service has recovered when the served value reaches this share of the usual one.
const RECOVERED_SHARE: f64 = 0.95;
/// Step of the search for the first window with recovered service.
const SEARCH_STEP: Duration = Duration::from_millis(50);
/// An endpoint fails above this multiple of its capacity; equal to `fall-multiple` in the nodes' settings.
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// The value printed for the worst second of an endpoint that exceeded its bound.
const OVER_BOUND: f64 = 9.99;
/// The usual polls are counted in the second that begins this long before the loss.
const USUAL_POLLS_BEFORE: Duration = Duration::from_secs(3);
/// The counts of the first second begin this long before the first operation that reached an endpoint.
const FIRST_SECOND_MARGIN: Duration = Duration::from_millis(100);

/// Numbers of operations and polls that reached one endpoint.
struct EndpointTraffic {
    /// Operations in the first second after the return of the power.
    operations: usize,
    /// Polls in the same second.
    polls: usize,
    /// Polls in a second before the loss.
    usual_polls: usize,
}

impl PowerRun {
    pub(super) fn print_recovery_times(&self, rows: &Rows) {
        rows.print(
            "first served write; read, ms",
            format!("{:.0}", millis(self.first_served(true))),
            format!("{:.0}", millis(self.first_served(false))),
        );
        rows.print(
            "until 95% of the value served before, ms; the same of the oracle",
            self.recovery_time(|window| self.served_value(window)),
            self.recovery_time(|window| self.best_value(window)),
        );
    }

    /// Time from the return of the power until the first write (or read) sent after it was served.
    fn first_served(&self, is_write: bool) -> Duration {
        let served = self.records.iter().filter(|record| record.is_served() && record.is_write == is_write);
        let after_return = served.filter(|record| record.sent_at >= self.on_at);
        let durations = after_return.map(|record| record.finished_at.duration_since(self.on_at));
        durations.min().unwrap_or_default()
    }

    /// Time from the return of the power to the end of the first window with recovered service, in milliseconds.
    fn recovery_time(&self, value_in: impl Fn(&Range<Timestamp>) -> f64) -> String {
        let before = self.off_at - USUAL_TIME..self.off_at;
        let usual_per_micro = self.served_value(&before) / USUAL_TIME.as_micros() as f64;
        let usual = usual_per_micro * WINDOW.as_micros() as f64;
        let mut starts = time::steps(self.on_at..self.end - WINDOW, SEARCH_STEP);
        match starts.find(|start| value_in(&(*start..*start + WINDOW)) >= usual * RECOVERED_SHARE) {
            Some(start) => format!("{:.0}", millis((start + WINDOW).duration_since(self.on_at))),
            None => "never".to_string(),
        }
    }

    pub(super) fn print_share_and_polls(&self, rows: &Rows) {
        rows.print_value(
            "value of the served requests due since, % of the oracle's",
            format!("{:.1}", self.percent_of_best()),
        );
        let traffic = self.traffic();
        let polls: usize = traffic.iter().map(|endpoint| endpoint.polls).sum();
        let most_polls = traffic.iter().map(|endpoint| endpoint.polls).max().unwrap_or(0);
        rows.print("first second: polls of all endpoints; most polls of one endpoint", polls, most_polls);
        let usual_polls: usize = traffic.iter().map(|endpoint| endpoint.usual_polls).sum();
        let requests = traffic.iter().map(|endpoint| endpoint.operations + endpoint.polls);
        rows.print(
            "polls in a second before the loss; most requests to one endpoint in the first second",
            usual_polls,
            requests.max().unwrap_or(0),
        );
    }

    /// The value of the requests due since the power came back that were served at any attempt, in percent of the
    /// oracle's.
    fn percent_of_best(&self) -> f64 {
        let since = self.on_at..self.end;
        let served =
            self.records.iter().filter(|record| record.is_served() && since.contains(&record.due_at));
        served.map(oracle::request_value).sum::<f64>() / self.best_value(&since) * 100.0
    }

    /// The traffic of each endpoint in the first second in which an operation reached any of them.
    fn traffic(&self) -> Vec<EndpointTraffic> {
        let times = self.arrivals.iter().map(|arrival| arrival.arrived_at);
        let first_arrival = times.filter(|time| *time >= self.on_at).min().unwrap_or(self.on_at);
        let start = first_arrival - FIRST_SECOND_MARGIN;
        let first_second = start..first_arrival + Duration::from_secs(1);
        let polls_from = |name: &str, start: Timestamp| {
            let window = start..start + Duration::from_secs(1) + FIRST_SECOND_MARGIN;
            let polls = self.cluster.endpoints.get(name).polls();
            polls.iter().filter(|time| window.contains(time)).count()
        };
        let operations = |name: &str| {
            let at_endpoint = self.arrivals.iter().filter(|arrival| arrival.endpoint == name);
            at_endpoint.filter(|arrival| first_second.contains(&arrival.arrived_at)).count()
        };
        let of_endpoint = |name: &str| EndpointTraffic {
            operations: operations(name),
            polls: polls_from(name, start),
            usual_polls: polls_from(name, self.off_at - USUAL_POLLS_BEFORE),
        };
        self.cluster.endpoints.iter().map(|endpoint| of_endpoint(&endpoint.name)).collect()
    }

    /// The highest load of an endpoint after its cold start, as a share of its bound.
    pub(super) fn worst_second(&self) -> f64 {
        let bound = ColdStartBound {
            started_at: self.on_at,
            warm_capacity_per_second: self.loss.slots() as f64 / self.loss.service_time().as_secs_f64(),
            overload_multiple: OVERLOAD_MULTIPLE,
        };
        let share = |name: &str| {
            check::cold_endpoint_not_overloaded(&self.arrivals, name, bound).unwrap_or(OVER_BOUND)
        };
        self.cluster.endpoints.iter().map(|endpoint| share(&endpoint.name)).fold(0.0, f64::max)
    }
}
