//! The timers that the router sets.

use crate::routing::Timestamp;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouterTimer {
    due_at: Timestamp,
    /// The number by which the router identifies the timer.
    number: u64,
}

/// The router's pending timers, ordered by due time. Setting the same timer for the same time twice has no effect.
#[derive(Debug, Default)]
pub(super) struct RouterTimers(BTreeSet<RouterTimer>);

impl RouterTimers {
    pub(super) fn set(&mut self, due_at: Timestamp, number: u64) {
        self.0.insert(RouterTimer { due_at, number });
    }

    /// Removes the earliest timer if it is due, and returns its number.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<u64> {
        let earliest = self.0.first().filter(|timer| timer.due_at <= now)?.number;
        self.0.pop_first();
        Some(earliest)
    }

    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.0.first().map(|timer| timer.due_at)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
