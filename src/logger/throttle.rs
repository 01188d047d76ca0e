//! Limits the rate of warnings. Peers can cause warnings as fast as they send; without a limit, the log would take more
//! time than the service, and grow without bound.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Period in which the warnings of one call site are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Warnings of one call site that are logged in one period.
const WARNINGS_PER_PERIOD: u32 = 10;

/// The place in the source that logs a warning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallSite {
    /// Path of the source file.
    pub(super) file: &'static str,
    pub(super) line: u32,
}

/// What to do with a warning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Log it.
    Log {
        /// Number of warnings of the same call site that were suppressed since the last one that was logged.
        suppressed_before: u64,
    },
    /// Drop it.
    Suppress,
}

/// The warnings of one call site in its current period.
#[derive(Clone, Copy, Debug)]
struct Count {
    period_start: Instant,
    logged: u32,
    /// Includes those of earlier periods that were not reported yet.
    suppressed: u64,
}

/// Counts the warnings of all call sites.
#[derive(Debug)]
pub(super) struct WarningThrottle {
    /// Its size is bounded by the number of call sites in the program.
    counts: BTreeMap<CallSite, Count>,
}

impl WarningThrottle {
    pub(super) const fn new() -> WarningThrottle {
        WarningThrottle { counts: BTreeMap::new() }
    }

    /// Counts a warning.
    pub(super) fn check(&mut self, call_site: CallSite, now: Instant) -> Verdict {
        let new_count = Count { period_start: now, logged: 0, suppressed: 0 };
        let count = self.counts.entry(call_site).or_insert(new_count);
        if now.saturating_duration_since(count.period_start) >= PERIOD {
            count.period_start = now;
            count.logged = 0;
        }
        if count.logged >= WARNINGS_PER_PERIOD {
            count.suppressed += 1;
            return Verdict::Suppress;
        }
        count.logged += 1;
        Verdict::Log { suppressed_before: std::mem::take(&mut count.suppressed) }
    }
}

#[cfg(test)]
mod tests;
