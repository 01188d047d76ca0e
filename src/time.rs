//! Points in time, lengths of time and positions in a group's log, as types that cannot be mixed up.
//!
//! All three count whole microseconds. [`Timestamp`] is a reading of the program's clock, [`TimeDelta`] the signed
//! distance between two readings, and [`LogPosition`] how far an endpoint has applied its group's log.
//! Arithmetic that overflows panics, as it does for plain integers in this program's builds.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Div, Mul, Rem, Shl, Sub};
use std::time::Duration;

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// A point in time: microseconds since the zero of the clock that it was read from.
///
/// In the daemon that clock counts Unix time; the decision module accepts any clock that never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(i64);

/// A signed length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeDelta(i64);

/// How far an endpoint has applied its group's log: the commit time of the last applied entry, in microseconds after
/// the zero that the settings name. [`LogPosition::UNKNOWN`] where the endpoint reported none.
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

    /// The point `micros` microseconds after the clock's zero.
    pub const fn from_micros(micros: i64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's zero.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The point `millis` milliseconds after the clock's zero; `None` where that is out of range.
    pub fn try_from_millis(millis: i64) -> Option<Timestamp> {
        millis.checked_mul(MICROS_PER_MILLI).map(Timestamp)
    }

    /// Whole milliseconds since the clock's zero, rounded towards it.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The point `seconds` seconds after the clock's zero, rounded as in [`TimeDelta::from_secs_f64`].
    pub fn from_secs_f64(seconds: f64) -> Timestamp {
        Timestamp(TimeDelta::from_secs_f64(seconds).0)
    }

    /// Seconds since the clock's zero.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// The middle between both points, rounded towards the clock's zero.
    pub fn midpoint(self, other: Timestamp) -> Timestamp {
        Timestamp((self.0 + other.0) / 2)
    }

    /// The point `delta` earlier, or the earliest one where it would be before that.
    pub fn saturating_sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }

    /// Time since `earlier`; negative where `earlier` is the later one.
    pub fn since(self, earlier: Timestamp) -> TimeDelta {
        self - earlier
    }
}

impl TimeDelta {
    /// No time at all.
    pub const ZERO: TimeDelta = TimeDelta(0);
    /// The longest time that can be expressed.
    pub const MAX: TimeDelta = TimeDelta(i64::MAX);

    /// A length of `micros` microseconds.
    pub const fn from_micros(micros: i64) -> TimeDelta {
        TimeDelta(micros)
    }

    /// A length of `millis` milliseconds.
    pub const fn from_millis(millis: i64) -> TimeDelta {
        TimeDelta(millis * MICROS_PER_MILLI)
    }

    /// A length of `seconds` seconds.
    pub const fn from_secs(seconds: i64) -> TimeDelta {
        TimeDelta(seconds * MICROS_PER_SECOND)
    }

    /// A length of `seconds` seconds, rounded to whole microseconds; out of range it saturates, not a number is zero.
    pub fn from_secs_f64(seconds: f64) -> TimeDelta {
        TimeDelta((seconds * MICROS_PER_SECOND as f64).round() as i64)
    }

    /// A length of `micros` microseconds, cut to whole ones; out of range it saturates, not a number is zero.
    pub fn from_micros_f64(micros: f64) -> TimeDelta {
        TimeDelta(micros as i64)
    }

    /// Microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Whole milliseconds, rounded towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Microseconds, for rates and weights.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// The same length for the standard library; a negative one is zero.
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.max(0) as u64)
    }

    /// Its length without its sign.
    pub fn abs(self) -> TimeDelta {
        TimeDelta(self.0.abs())
    }

    /// This length, or zero where it is negative.
    pub fn or_zero(self) -> TimeDelta {
        self.max(TimeDelta::ZERO)
    }

    /// This many times the length, or the longest length where it would overflow.
    pub fn saturating_mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0.saturating_mul(factor))
    }
}

impl LogPosition {
    /// The endpoint reported no position.
    pub const UNKNOWN: LogPosition = LogPosition(0);

    /// The position whose commit time is `micros` microseconds after the settings' zero.
    pub const fn from_micros(micros: i64) -> LogPosition {
        LogPosition(micros)
    }

    /// The position whose commit time is `millis` milliseconds after the settings' zero.
    pub const fn from_millis(millis: i64) -> LogPosition {
        LogPosition(millis * MICROS_PER_MILLI)
    }

    /// Microseconds after the settings' zero.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The position whose commit time is `millis` milliseconds after the settings' zero; `None` where that is out
    /// of range.
    pub fn try_from_millis(millis: i64) -> Option<LogPosition> {
        millis.checked_mul(MICROS_PER_MILLI).map(LogPosition)
    }

    /// Whole milliseconds after the settings' zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Whether the endpoint reported a position.
    pub const fn is_known(self) -> bool {
        self.0 > 0
    }

    /// The position of a commit at `time`, where positions count from `zero`.
    pub fn of_commit(time: Timestamp, zero: Timestamp) -> LogPosition {
        LogPosition(time.0 - zero.0)
    }

    /// When the last applied entry was committed, where positions count from `zero`.
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
    fn mul(self, length: TimeDelta) -> TimeDelta {
        length * self
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
    /// How many whole periods it has, rounded towards zero.
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
    /// Doubles the length `doublings` times.
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
