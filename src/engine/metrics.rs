//! What the pooler reports of itself: counts that grow from the start of the process, fed by the core for every
//! front, and the text that an operator is given.

use super::classes::Classes;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Success,
    /// Refused.
    Overload,
    /// Failed.
    Error,
}

/// What holds at the moment of the question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub concurrent: usize,
    /// Hosts on the list.
    pub targets: usize,
    /// Those among them that the module avoids.
    pub disabled: usize,
}

/// The counts.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Names of the classes, each with its counts by [`End`].
    classes: Vec<(String, [AtomicU64; 3])>,
    /// For every number of a class, that of its name: a class and its twin without keys are one.
    named: Vec<usize>,
    dispatches: AtomicU64,
}

impl Metrics {
    /// Nothing has happened yet. All classes are there, also those that no request names.
    pub fn new(classes: &Classes) -> Metrics {
        let (names, named) = classes.names();
        let classes = names.iter().map(|name| (name.clone(), Default::default())).collect();
        Metrics { classes, named, dispatches: AtomicU64::new(0) }
    }

    /// A request of this class has its final answer.
    pub fn ended(&self, class: usize, end: RequestOutcome) {
        if let Some((_, counts)) = self.named.get(class).and_then(|n| self.classes.get(*n)) {
            counts[end as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// An attempt was written whole to a host.
    pub fn dispatched(&self) {
        self.dispatches.fetch_add(1, Ordering::Relaxed);
    }

    /// The figures as text, a line each.
    pub fn text(&self, gauges: Gauges) -> String {
        let mut out = String::new();
        for (name, counts) in &self.classes {
            for (what, count) in ["success", "overload", "error"].iter().zip(counts) {
                let _ = writeln!(out, "svc.{what}.{name}:{}|c", count.load(Ordering::Relaxed));
            }
        }
        let _ = writeln!(out, "svc.dispatches:{}|c", self.dispatches.load(Ordering::Relaxed));
        let Gauges { concurrent, targets, disabled } = gauges;
        for (name, value) in
            [("concurrent", concurrent), ("targets", targets), ("targets_disabled", disabled)]
        {
            let _ = writeln!(out, "svc.{name}:{value}|g");
        }
        out
    }
}

#[cfg(test)]
mod tests;
