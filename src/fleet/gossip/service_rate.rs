//! How much an endpoint serves for this process.

use crate::engine::observations::UtilizationSamples;
use crate::time::{TimeDelta, Timestamp};

/// What a host serves is taken over about so long.
pub(super) const RATE: TimeDelta = TimeDelta::from_secs(4);
/// What it has served at its best is forgotten over about so long.
const PEAK: TimeDelta = TimeDelta::from_secs(3_600);

/// How many requests a second a host serves, taken over [`RATE`], or since the first where that is less.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRate {
    /// Answers, decayed, as of when.
    pub(super) count: f64,
    pub(super) at: Timestamp,
    pub(super) since: Timestamp,
    /// The most in a second so far, decayed over [`PEAK`], and the part of the host's capacity in use then.
    pub(super) peak: f64,
    pub(super) peak_used: u16,
    /// Parts in use that the host told, and how many times, decayed as `count` is.
    pub(super) used: (f64, f64),
}

impl ServiceRate {
    pub(super) fn new(now: Timestamp) -> ServiceRate {
        ServiceRate { count: 0.0, at: now, since: now, peak: 0.0, peak_used: 0, used: (0.0, 0.0) }
    }

    pub(super) fn add(&mut self, now: Timestamp, answers: u32, utilization: UtilizationSamples) {
        let UtilizationSamples { sum: used, count: times } = utilization;
        let span = (now - self.at).or_zero().as_micros_f64();
        let decay = (-span / RATE.as_micros_f64()).exp();
        self.count = self.count * decay + f64::from(answers);
        self.used = (self.used.0 * decay + used, self.used.1 * decay + f64::from(times));
        self.peak *= (-span / PEAK.as_micros_f64()).exp();
        self.at = now;
        if self.rate(now) >= self.peak {
            (self.peak, self.peak_used) = (self.rate(now), self.in_use());
        }
    }

    /// Thousandths of its capacity that the host says to be in use; 0: it does not say.
    pub(super) fn in_use(&self) -> u16 {
        let (sum, times) = self.used;
        if times <= 0.0 { 0 } else { ((sum / times * 1000.0) as u16).clamp(1, 1000) }
    }

    /// A second, now.
    pub(super) fn rate(&self, now: Timestamp) -> f64 {
        let decay = |span: TimeDelta| (-span.or_zero().as_micros_f64() / RATE.as_micros_f64()).exp();
        let seen = 1.0 - decay((now - self.since).max(RATE / 8));
        self.count * decay(now - self.at) * 1e6 / (RATE.as_micros_f64() * seen)
    }
}
