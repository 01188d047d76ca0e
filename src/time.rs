//! Distinct types for points in time, durations and positions in a group's log.
//!
//! All three count whole microseconds. [`Timestamp`] is a reading of the program's clock, [`TimeDelta`] the signed
//! difference between two readings, and [`LogPosition`] how far an endpoint has applied its group's log.
//! Arithmetic that overflows panics, as integer arithmetic does in all builds of this program.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Div, Mul, Rem, Shl, Sub};
use std::time::Duration;

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// A point in time, in microseconds since the zero of the clock that it was read from.
///
/// The daemon's clock counts Unix time. The decision module accepts any clock that never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(i64);

/// A signed duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeDelta(i64);

/// How far an endpoint has applied its group's log: the commit time of the last applied entry, in microseconds since
/// the zero in the settings. [`LogPosition::UNKNOWN`] if the endpoint reported none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogPosition(i64);

impl Timestamp {
    /// The zero of the clock.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Earlier than every reading of a clock.
    pub const MIN: Timestamp = Timestamp(i64::MIN);
    /// Later than every reading of a clock.
    pub const MAX: Timestamp = Timestamp(i64::MAX);
    /// The end of the year 9999. Later Unix times in files and messages are invalid, so that arithmetic with those that
    /// are accepted does not overflow.
    pub const LATEST_VALID: Timestamp = Timestamp(253_402_300_799_999_999);

    /// The timestamp `micros` microseconds after the clock's zero.
    pub const fn from_micros(micros: i64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's zero.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The Unix time `millis` milliseconds after 1970; `None` if it is not valid.
    pub fn try_from_millis(millis: i64) -> Option<Timestamp> {
        millis.checked_mul(MICROS_PER_MILLI).map(Timestamp).filter(|time| time.is_valid())
    }

    /// Whether a Unix time from outside is one that this program accepts: not before 1970, and not after
    /// [`Timestamp::LATEST_VALID`].
    pub fn is_valid(self) -> bool {
        (Timestamp::ZERO..=Timestamp::LATEST_VALID).contains(&self)
    }

    /// Milliseconds since the clock's zero, truncated towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The timestamp `seconds` seconds after the clock's zero, rounded as in [`TimeDelta::from_secs_f64`].
    pub fn from_secs_f64(seconds: f64) -> Timestamp {
        Timestamp(TimeDelta::from_secs_f64(seconds).0)
    }

    /// Seconds since the clock's zero.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// The midpoint of both timestamps, rounded towards the clock's zero.
    pub fn midpoint(self, other: Timestamp) -> Timestamp {
        Timestamp((self.0 + other.0) / 2)
    }

    /// The timestamp `delta` earlier; saturates at the earliest one.
    pub fn saturating_sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }

    /// The time elapsed since `earlier`; negative if `earlier` is in fact later.
    pub fn since(self, earlier: Timestamp) -> TimeDelta {
        self - earlier
    }
}

impl TimeDelta {
    /// A duration of zero.
    pub const ZERO: TimeDelta = TimeDelta(0);
    /// The longest duration that can be represented.
    pub const MAX: TimeDelta = TimeDelta(i64::MAX);

    /// A duration of `micros` microseconds.
    pub const fn from_micros(micros: i64) -> TimeDelta {
        TimeDelta(micros)
    }

    /// A duration of `millis` milliseconds.
    pub const fn from_millis(millis: i64) -> TimeDelta {
        TimeDelta(millis * MICROS_PER_MILLI)
    }

    /// A duration of `seconds` seconds.
    pub const fn from_secs(seconds: i64) -> TimeDelta {
        TimeDelta(seconds * MICROS_PER_SECOND)
    }

    /// A duration of `seconds` seconds, rounded to whole microseconds. Saturates if out of range; NaN becomes zero.
    pub fn from_secs_f64(seconds: f64) -> TimeDelta {
        TimeDelta((seconds * MICROS_PER_SECOND as f64).round() as i64)
    }

    /// A duration of `micros` microseconds, truncated to whole ones. Saturates if out of range; NaN becomes zero.
    pub fn from_micros_f64(micros: f64) -> TimeDelta {
        TimeDelta(micros as i64)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The duration in milliseconds, truncated towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The duration in microseconds as a float, for rates and weights.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Converts to a standard [`Duration`]; a negative value becomes zero.
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.max(0) as u64)
    }

    /// The duration without its sign.
    pub fn abs(self) -> TimeDelta {
        TimeDelta(self.0.abs())
    }

    /// The duration, or zero if it is negative.
    pub fn or_zero(self) -> TimeDelta {
        self.max(TimeDelta::ZERO)
    }

    /// The duration multiplied by `factor`; saturates on overflow.
    pub fn saturating_mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0.saturating_mul(factor))
    }
}

impl LogPosition {
    /// The endpoint reported no position.
    pub const UNKNOWN: LogPosition = LogPosition(0);
    /// Resolution of reported positions: endpoints round how far they have applied the log down to whole milliseconds,
    /// and the commit of an update up.
    pub const RESOLUTION: TimeDelta = TimeDelta::from_millis(1);

    /// The position of an entry committed `micros` microseconds after the zero in the settings.
    pub const fn from_micros(micros: i64) -> LogPosition {
        LogPosition(micros)
    }

    /// The position of an entry committed `millis` milliseconds after the zero in the settings.
    pub const fn from_millis(millis: i64) -> LogPosition {
        LogPosition(millis * MICROS_PER_MILLI)
    }

    /// Microseconds since the zero in the settings.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The position of an entry committed `millis` milliseconds after the zero in the settings; `None` if it is out of
    /// range.
    pub fn try_from_millis(millis: i64) -> Option<LogPosition> {
        millis.checked_mul(MICROS_PER_MILLI).map(LogPosition)
    }

    /// Milliseconds since the zero in the settings, truncated towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Whether the endpoint reported a position.
    pub const fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Whether a log that ends at this reported position lacks the entry with the reported position `commit` for certain,
    /// however both were rounded.
    pub fn lacks(self, commit: LogPosition) -> bool {
        commit.0.saturating_sub(self.0) > LogPosition::RESOLUTION.0
    }

    /// The position of an entry committed at `time`, where positions count from `zero`.
    pub fn of_commit(time: Timestamp, zero: Timestamp) -> LogPosition {
        LogPosition(time.0 - zero.0)
    }

    /// When the last applied entry was committed, given that positions count from `zero`.
    pub fn commit_time(self, zero: Timestamp) -> Timestamp {
        Timestamp(zero.0 + self.0)
    }
}

impl From<Duration> for TimeDelta {
    fn from(duration: Duration) -> TimeDelta {
        TimeDelta(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0 + delta.0)
    }
}

impl AddAssign<TimeDelta> for Timestamp {
    fn add_assign(&mut self, delta: TimeDelta) {
        *self = *self + delta;
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0 - delta.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0 - earlier.0)
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 + other.0)
    }
}

impl AddAssign for TimeDelta {
    fn add_assign(&mut self, other: TimeDelta) {
        *self = *self + other;
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 - other.0)
    }
}

impl Mul<i64> for TimeDelta {
    type Output = TimeDelta;
    fn mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0 * factor)
    }
}

impl Mul<TimeDelta> for i64 {
    type Output = TimeDelta;
    fn mul(self, delta: TimeDelta) -> TimeDelta {
        delta * self
    }
}

impl Div<i64> for TimeDelta {
    type Output = TimeDelta;
    fn div(self, divisor: i64) -> TimeDelta {
        TimeDelta(self.0 / divisor)
    }
}

impl Div for TimeDelta {
    type Output = i64;
    /// The number of whole periods, truncated towards zero.
    fn div(self, period: TimeDelta) -> i64 {
        self.0 / period.0
    }
}

impl Rem for TimeDelta {
    type Output = TimeDelta;
    fn rem(self, period: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 % period.0)
    }
}

impl Shl<u32> for TimeDelta {
    type Output = TimeDelta;
    /// Doubles the duration `doublings` times.
    fn shl(self, doublings: u32) -> TimeDelta {
        TimeDelta(self.0 << doublings)
    }
}

impl Add<TimeDelta> for LogPosition {
    type Output = LogPosition;
    fn add(self, delta: TimeDelta) -> LogPosition {
        LogPosition(self.0 + delta.0)
    }
}
