//! How many requests per second an endpoint serves for this process.

use crate::engine::observations::UtilizationSamples;
use crate::time::{TimeDelta, Timestamp};

/// Time constant of the exponential decay that the service rate is averaged over: long enough that a few answers that
/// come together do not pass for a rate, short enough to follow a change within seconds.
pub(super) const RATE_DECAY: TimeDelta = TimeDelta::from_secs(4);
/// Time constant over which the peak rate is forgotten: what an endpoint served an hour ago may no longer be true.
const PEAK_DECAY: TimeDelta = TimeDelta::from_secs(3_600);
/// The shortest time that a rate is taken over, or the first answer alone would make a very great one.
const MIN_AVERAGING_TIME: TimeDelta = TimeDelta::from_micros(RATE_DECAY.as_micros() / 8);

/// The highest rate that an endpoint served so far, and how much of its capacity that took.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeakRate {
    /// Requests per second, decayed over [`PEAK_DECAY`].
    pub(super) rate_rps: f64,
    /// The part of the endpoint's capacity in use at that time, in thousandths; 0: it reported none.
    pub(super) utilization_permille: u16,
}

/// The rate at which one endpoint answers this process, averaged over [`RATE_DECAY`], or over the time since the first
/// answer where that is shorter.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRate {
    /// Answers, decayed as of `updated_at`.
    answers: f64,
    /// Sum of the utilizations that the endpoint reported, and their number, both decayed as `answers`.
    utilization_sum: f64,
    utilization_count: f64,
    peak: PeakRate,
    updated_at: Timestamp,
    first_at: Timestamp,
}

/// What is left of a quantity after `elapsed` when it decays with the time constant `decay`.
fn remaining(elapsed: TimeDelta, decay: TimeDelta) -> f64 {
    (-elapsed.or_zero().as_micros_f64() / decay.as_micros_f64()).exp()
}

impl ServiceRate {
    pub(super) fn new(now: Timestamp) -> ServiceRate {
        ServiceRate {
            answers: 0.0,
            utilization_sum: 0.0,
            utilization_count: 0.0,
            peak: PeakRate { rate_rps: 0.0, utilization_permille: 0 },
            updated_at: now,
            first_at: now,
        }
    }

    /// Counts answers that came since the last call, and the utilization that they reported.
    pub(super) fn add(&mut self, now: Timestamp, answers: u32, utilization: UtilizationSamples) {
        let elapsed = now - self.updated_at;
        let left = remaining(elapsed, RATE_DECAY);
        self.answers = self.answers * left + f64::from(answers);
        self.utilization_sum = self.utilization_sum * left + utilization.sum;
        self.utilization_count = self.utilization_count * left + f64::from(utilization.count);
        self.peak.rate_rps *= remaining(elapsed, PEAK_DECAY);
        self.updated_at = now;
        let rate_rps = self.rate_rps(now);
        if rate_rps >= self.peak.rate_rps {
            self.peak = PeakRate { rate_rps, utilization_permille: self.utilization_permille() };
        }
    }

    /// The part of its capacity that the endpoint reports to be in use, in thousandths; 0: it reports none.
    pub(super) fn utilization_permille(&self) -> u16 {
        if self.utilization_count <= 0.0 {
            return 0;
        }
        let permille = self.utilization_sum / self.utilization_count * 1000.0;
        (permille as u16).clamp(1, 1000)
    }

    /// Requests per second at `now`.
    pub(super) fn rate_rps(&self, now: Timestamp) -> f64 {
        let averaged_over = (now - self.first_at).max(MIN_AVERAGING_TIME);
        let weight = 1.0 - remaining(averaged_over, RATE_DECAY);
        let answers = self.answers * remaining(now - self.updated_at, RATE_DECAY);
        answers * 1e6 / (RATE_DECAY.as_micros_f64() * weight)
    }

    /// The highest rate so far.
    pub(super) fn peak(&self) -> PeakRate {
        self.peak
    }

    /// When answers were last counted.
    pub(super) fn updated_at(&self) -> Timestamp {
        self.updated_at
    }
}
