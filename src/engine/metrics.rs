//! The process's metrics: counters since its start, gauges, and their text format for operators.

use super::classes::Classes;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended, as counted by the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint served it.
    Success,
    /// It was rejected before any endpoint ran it.
    Overload,
    /// It failed, or its client disconnected.
    Error,
}

/// Metrics whose values are taken when they are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of requests that were admitted and have not ended.
    pub concurrent: usize,
    /// Number of endpoints on the list.
    pub targets: usize,
    /// Number of endpoints on the list to which the router currently sends no new attempts.
    pub disabled: usize,
}

/// The counters of one class name.
#[derive(Debug, Default)]
struct ClassCounters {
    success: AtomicU64,
    overload: AtomicU64,
    error: AtomicU64,
}

impl ClassCounters {
    fn of(&self, outcome: RequestOutcome) -> &AtomicU64 {
        match outcome {
            RequestOutcome::Success => &self.success,
            RequestOutcome::Overload => &self.overload,
            RequestOutcome::Error => &self.error,
        }
    }
}

/// The counters of the process. They are never reset.
#[derive(Debug, Default)]
pub struct Metrics {
    /// The class names, each with its counters.
    classes: Vec<(String, ClassCounters)>,
    /// Maps class numbers to indices into `classes`: a class and its keyless variant share their counters.
    name_indices: Vec<usize>,
    dispatches: AtomicU64,
}

impl Metrics {
    /// Metrics with all counters at zero. Every class is listed from the start, even before its first request.
    pub fn new(classes: &Classes) -> Metrics {
        let counters = classes.names().map(|name| (name.to_string(), ClassCounters::default()));
        Metrics {
            classes: counters.collect(),
            name_indices: classes.name_indices(),
            dispatches: AtomicU64::new(0),
        }
    }

    /// Counts a request that ended, by class number. Unknown class numbers are ignored.
    pub fn record_outcome(&self, class: usize, outcome: RequestOutcome) {
        let index = self.name_indices.get(class);
        if let Some((_, counters)) = index.and_then(|index| self.classes.get(*index)) {
            counters.of(outcome).fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts an attempt that was written to an endpoint in full.
    pub fn record_dispatch(&self) {
        self.dispatches.fetch_add(1, Ordering::Relaxed);
    }

    /// Formats the counters and `gauges` in the StatsD line format: `name:value|c` for a counter, `name:value|g` for a
    /// gauge.
    pub fn statsd_text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let outcomes = [
            ("success", RequestOutcome::Success),
            ("overload", RequestOutcome::Overload),
            ("error", RequestOutcome::Error),
        ];
        for (class, counters) in &self.classes {
            for (label, outcome) in outcomes {
                let count = counters.of(outcome).load(Ordering::Relaxed);
                let _ = writeln!(text, "svc.{label}.{class}:{count}|c");
            }
        }
        let _ = writeln!(text, "svc.dispatches:{}|c", self.dispatches.load(Ordering::Relaxed));
        let Gauges { concurrent, targets, disabled } = gauges;
        let _ = writeln!(text, "svc.concurrent:{concurrent}|g");
        let _ = writeln!(text, "svc.targets:{targets}|g");
        let _ = writeln!(text, "svc.targets_disabled:{disabled}|g");
        text
    }
}

#[cfg(test)]
mod tests;
