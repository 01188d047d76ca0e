//! The condition of discovery as this process sees it: how old the list is, since when calls fail and how. Log lines
//! and metrics are made from it.

use super::error::DiscoveryError;
use std::cell::Cell;
use std::fmt;
use std::fmt::Write;
use std::io;
use std::time::{Duration, Instant};

/// While calls fail, a log line reports it this often.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No complete response came in time.
    Silent,
    /// No connection was accepted.
    Refused,
    /// The connection was lost before the response was complete.
    Reset,
    /// The response has no usable list.
    Malformed,
    /// Discovery rejected the call for lack of capacity.
    Overloaded,
    /// This machine could not make the call: no descriptor, no route.
    Unreachable,
}

impl FailureKind {
    const ALL: [FailureKind; 6] = [
        FailureKind::Silent,
        FailureKind::Refused,
        FailureKind::Reset,
        FailureKind::Malformed,
        FailureKind::Overloaded,
        FailureKind::Unreachable,
    ];

    /// The name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            FailureKind::Silent => "silent",
            FailureKind::Refused => "refused",
            FailureKind::Reset => "reset",
            FailureKind::Malformed => "malformed",
            FailureKind::Overloaded => "overloaded",
            FailureKind::Unreachable => "unreachable",
        }
    }

    /// Whether discovery has responded, so that it is known to run.
    pub(super) fn is_response(self) -> bool {
        matches!(self, FailureKind::Malformed | FailureKind::Overloaded)
    }
}

impl DiscoveryError {
    /// How the call failed.
    pub(super) fn kind(&self) -> FailureKind {
        match self {
            DiscoveryError::TimedOut => FailureKind::Silent,
            DiscoveryError::Overloaded { .. } => FailureKind::Overloaded,
            DiscoveryError::Io(error) => match error.kind() {
                io::ErrorKind::ConnectionRefused => FailureKind::Refused,
                io::ErrorKind::InvalidData => FailureKind::Malformed,
                io::ErrorKind::TimedOut => FailureKind::Silent,
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof => FailureKind::Reset,
                _ => FailureKind::Unreachable,
            },
            DiscoveryError::Status { .. }
            | DiscoveryError::NotUtf8
            | DiscoveryError::List(_)
            | DiscoveryError::IndexWentBack { .. }
            | DiscoveryError::ChangesWithoutList => FailureKind::Malformed,
        }
    }
}

/// Numbers of failed calls, by [`FailureKind`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FailureCounts([u64; FailureKind::ALL.len()]);

impl FailureCounts {
    fn increment(&mut self, kind: FailureKind) {
        self.0[kind as usize] += 1;
    }

    fn of(&self, kind: FailureKind) -> u64 {
        self.0[kind as usize]
    }
}

impl fmt::Display for FailureCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for kind in FailureKind::ALL.into_iter().filter(|kind| self.of(*kind) > 0) {
            write!(f, "{separator}{} {}", self.of(kind), kind.name())?;
            separator = ", ";
        }
        Ok(())
    }
}

/// A time in which calls fail.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Instant,
    failures: FailureCounts,
    /// Whether a log line has reported it.
    reported: bool,
}

/// The condition of discovery. Its methods write the log lines.
#[derive(Debug, Default)]
pub struct DiscoveryStatus {
    /// When the last response arrived that proves that the list is current.
    current_at: Cell<Option<Instant>>,
    outage: Cell<Option<Outage>>,
    /// Failed calls since the start of the process.
    failures: Cell<FailureCounts>,
    /// Times at which calls began to fail.
    outages: Cell<u64>,
    last_report_at: Cell<Option<Instant>>,
}

impl DiscoveryStatus {
    /// Records that a call failed.
    pub(super) fn record_failure(&self, now: Instant, error: &DiscoveryError) {
        let kind = error.kind();
        let mut failures = self.failures.get();
        failures.increment(kind);
        self.failures.set(failures);
        let mut outage = self.outage.get().unwrap_or_else(|| {
            self.outages.set(self.outages.get() + 1);
            Outage { since: now, failures: FailureCounts::default(), reported: false }
        });
        outage.failures.increment(kind);
        if self.may_report(now) {
            self.report(now, &outage, error);
            outage.reported = true;
        }
        self.outage.set(Some(outage));
    }

    /// Records a response that proves that the list, whose index is `index`, is current.
    pub(super) fn record_current(&self, now: Instant, index: u64) {
        self.current_at.set(Some(now));
        let Some(outage) = self.outage.take().filter(|outage| outage.reported) else { return };
        let length = (now - outage.since).as_secs_f64();
        log::info!(
            "discovery: the list is current again, index {index}; calls failed for {length:.3} s: {}",
            outage.failures
        );
    }

    /// The metrics in the StatsD line format, see [`crate::engine::metrics::Metrics::statsd_text`]. The age of the list
    /// is missing until discovery has sent one.
    pub fn statsd_text(&self, now: Instant) -> String {
        let mut text = String::new();
        if let Some(current_at) = self.current_at.get() {
            let _ = writeln!(text, "svc.discovery.list_age_ms:{}|g", (now - current_at).as_millis());
        }
        let failing = self.outage.get().map_or(Duration::ZERO, |outage| now - outage.since);
        let _ = writeln!(text, "svc.discovery.failing_ms:{}|g", failing.as_millis());
        let _ = writeln!(text, "svc.discovery.outages:{}|c", self.outages.get());
        for kind in FailureKind::ALL {
            let count = self.failures.get().of(kind);
            let _ = writeln!(text, "svc.discovery.failed.{}:{count}|c", kind.name());
        }
        text
    }

    fn may_report(&self, now: Instant) -> bool {
        self.last_report_at.get().is_none_or(|reported_at| now - reported_at >= REPORT_INTERVAL)
    }

    fn report(&self, now: Instant, outage: &Outage, error: &DiscoveryError) {
        self.last_report_at.set(Some(now));
        let age = match self.current_at.get() {
            Some(current_at) => format!("{:.3} s old", (now - current_at).as_secs_f64()),
            None => "not from discovery".to_string(),
        };
        log::warn!(
            "discovery: {error}; calls fail for {:.3} s: {}; the last endpoint list, {age}, stays in use",
            (now - outage.since).as_secs_f64(),
            outage.failures
        );
    }
}

#[cfg(test)]
mod tests;
