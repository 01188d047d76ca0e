//! Instants of the wall clock and positions in logs. All processes of a cluster run on one machine, so that their
//! timestamps compare, except where a test sets a process's clock off on purpose.

use std::ops::{Add, Range, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// An instant of the wall clock, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

impl Timestamp {
    /// Later than every other instant: the end of what has not ended yet.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// The present.
    pub fn now() -> Timestamp {
        Timestamp(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64)
    }

    /// From microseconds since the Unix epoch.
    pub const fn from_micros(micros: i64) -> Timestamp {
        Timestamp(micros)
    }

    /// From milliseconds since the Unix epoch.
    pub const fn from_millis(millis: i64) -> Timestamp {
        Timestamp(millis * 1_000)
    }

    /// Microseconds since the Unix epoch.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Whole milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> i64 {
        self.0 / 1_000
    }

    /// The time since an earlier instant; zero where that one is later.
    pub fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0).max(0) as u64)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, length: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(length.as_micros() as i64))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, length: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(length.as_micros() as i64))
    }
}

/// The instants of a window from its start on, `step` apart.
pub fn steps(window: Range<Timestamp>, step: Duration) -> impl Iterator<Item = Timestamp> {
    (window.start.0..window.end.0).step_by(step.as_micros() as usize).map(Timestamp)
}

/// A position in the log of a group: the commit time of the last entry that data contains, in milliseconds since the
/// Unix epoch, as the header `Brookpass-Position` carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition(i64);

impl LogPosition {
    /// From its value in the header.
    pub const fn from_millis(millis: i64) -> LogPosition {
        LogPosition(millis)
    }

    /// Its value in the header.
    pub const fn as_millis(self) -> i64 {
        self.0
    }

    /// The position of a commit at an instant.
    pub const fn at(time: Timestamp) -> LogPosition {
        LogPosition(time.as_millis())
    }

    /// The smallest later position.
    pub const fn next(self) -> LogPosition {
        LogPosition(self.0 + 1)
    }
}

impl Sub<Duration> for LogPosition {
    type Output = LogPosition;

    fn sub(self, length: Duration) -> LogPosition {
        LogPosition(self.0 - length.as_millis() as i64)
    }
}
