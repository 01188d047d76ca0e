//! The process's metrics: counters since its start, gauges, and the text in which operators read both.

use super::classes::Classes;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended, as the metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Success,
    /// It was rejected without effect.
    Overload,
    /// It failed, or its client disconnected.
    Error,
}

/// Values that hold at the moment of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that have been taken in and have not ended.
    pub concurrent: usize,
    /// Endpoints on the list.
    pub targets: usize,
    /// Endpoints on the list to which the router sends nothing new now.
    pub disabled: usize,
}

/// Counters of one class name.
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

/// The process's counters. They only grow.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Names of the classes, each with its counters.
    classes: Vec<(String, ClassCounters)>,
    /// For every class number, the index into `classes`: a class and its keyless variant count as one.
    name_indices: Vec<usize>,
    dispatches: AtomicU64,
}

impl Metrics {
    /// All counters at zero. Every class is listed from the start, also without a request.
    pub fn new(classes: &Classes) -> Metrics {
        let counters = classes.names().map(|name| (name.to_string(), ClassCounters::default()));
        Metrics {
            classes: counters.collect(),
            name_indices: classes.name_indices(),
            dispatches: AtomicU64::new(0),
        }
    }

    /// Counts the end of a request of the class with this number.
    pub fn record_outcome(&self, class: usize, outcome: RequestOutcome) {
        let index = self.name_indices.get(class);
        if let Some((_, counters)) = index.and_then(|index| self.classes.get(*index)) {
            counters.of(outcome).fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts an attempt that was written in full to an endpoint.
    pub fn dispatched(&self) {
        self.dispatches.fetch_add(1, Ordering::Relaxed);
    }

    /// All values in the StatsD line format: `name:value|c` for counters and `name:value|g` for gauges.
    pub fn text(&self, gauges: Gauges) -> String {
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
