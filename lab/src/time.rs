//! Wall-clock timestamps and log positions. All processes of a cluster run on one machine, so their timestamps are
//! comparable unless a test gives a process a clock offset.

use std::ops::{Add, Range, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A wall-clock time, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

impl Timestamp {
    /// The latest timestamp, which stands for the end of a period that has not ended yet.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// The current time.
    pub fn now() -> Timestamp {
        Timestamp(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64)
    }

    /// Creates a timestamp from microseconds since the Unix epoch.
    pub const fn from_micros(micros: i64) -> Timestamp {
        Timestamp(micros)
    }

    /// Creates a timestamp from milliseconds since the Unix epoch.
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

    /// The time elapsed since `earlier`; zero if that is later than this timestamp.
    pub fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0).max(0) as u64)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.as_micros() as i64))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.as_micros() as i64))
    }
}

/// The timestamps from the start of a window to its end, exclusive, at intervals of `step`.
pub fn steps(window: Range<Timestamp>, step: Duration) -> impl Iterator<Item = Timestamp> {
    (window.start.0..window.end.0).step_by(step.as_micros() as usize).map(Timestamp)
}

/// A position in the log of a group: the commit time of the last entry that the data contains, in milliseconds since
/// the Unix epoch. The header `Brookpass-Position` carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition(i64);

impl LogPosition {
    /// Creates a position from its value in the header.
    pub const fn from_millis(millis: i64) -> LogPosition {
        LogPosition(millis)
    }

    /// The value of the position in the header.
    pub const fn as_millis(self) -> i64 {
        self.0
    }

    /// The position of a commit at a time.
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

    fn sub(self, duration: Duration) -> LogPosition {
        LogPosition(self.0 - duration.as_millis() as i64)
    }
}
