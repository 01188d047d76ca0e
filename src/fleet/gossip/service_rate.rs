//! The rate at which an endpoint serves this process.

use crate::engine::observations::UtilizationSamples;
use crate::time::{TimeDelta, Timestamp};

/// Time constant of the exponential decay that averages the service rate: long enough that a short burst of answers
/// does not count as a rate, short enough to follow a change within seconds.
pub(super) const RATE_DECAY: TimeDelta = TimeDelta::from_secs(4);
/// Time constant of the decay of the peak rate: what an endpoint served an hour ago may no longer hold.
const PEAK_DECAY: TimeDelta = TimeDelta::from_secs(3_600);
/// Minimum time to average over; otherwise the first answer alone would give a very high rate.
const MIN_AVERAGING_TIME: TimeDelta = TimeDelta::from_micros(RATE_DECAY.as_micros() / 8);

/// The highest rate at which an endpoint has served so far, and its utilization at that rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeakRate {
    /// Requests per second, decayed over [`PEAK_DECAY`].
    pub(super) rate_rps: f64,
    /// The endpoint's reported utilization at that time, in thousandths; 0 if it reported none.
    pub(super) utilization_permille: u16,
}

/// The rate at which one endpoint answers this process, averaged over [`RATE_DECAY`] or, if shorter, over the time
/// since the first answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRate {
    /// Number of answers, decayed as of `updated_at`.
    answers: f64,
    /// Sum and number of the utilizations that the endpoint reported, both decayed like `answers`.
    utilization_sum: f64,
    utilization_count: f64,
    peak: PeakRate,
    updated_at: Timestamp,
    first_answer_at: Timestamp,
}

/// Returns the fraction left of a quantity after `elapsed` if it decays with the time constant `decay`.
fn decay_factor(elapsed: TimeDelta, decay: TimeDelta) -> f64 {
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
            first_answer_at: now,
        }
    }

    /// Adds the answers since the last call, and the utilizations that they reported.
    pub(super) fn add(&mut self, now: Timestamp, answers: u32, utilization: UtilizationSamples) {
        let elapsed = now - self.updated_at;
        let factor = decay_factor(elapsed, RATE_DECAY);
        self.answers = self.answers * factor + f64::from(answers);
        self.utilization_sum = self.utilization_sum * factor + utilization.sum;
        self.utilization_count = self.utilization_count * factor + f64::from(utilization.count);
        self.peak.rate_rps *= decay_factor(elapsed, PEAK_DECAY);
        self.updated_at = now;
        let rate_rps = self.rate_rps(now);
        if rate_rps >= self.peak.rate_rps {
            self.peak = PeakRate { rate_rps, utilization_permille: self.utilization_permille() };
        }
    }

    /// The endpoint's average reported utilization, in thousandths; 0 if it reports none.
    pub(super) fn utilization_permille(&self) -> u16 {
        if self.utilization_count <= 0.0 {
            return 0;
        }
        let permille = self.utilization_sum / self.utilization_count * 1000.0;
        (permille as u16).clamp(1, 1000)
    }

    /// The rate at `now`, in requests per second.
    pub(super) fn rate_rps(&self, now: Timestamp) -> f64 {
        let averaged_over = (now - self.first_answer_at).max(MIN_AVERAGING_TIME);
        let weight = 1.0 - decay_factor(averaged_over, RATE_DECAY);
        let answers = self.answers * decay_factor(now - self.updated_at, RATE_DECAY);
        answers * 1e6 / (RATE_DECAY.as_micros_f64() * weight)
    }

    /// The highest rate so far.
    pub(super) fn peak(&self) -> PeakRate {
        self.peak
    }

    /// When answers were last added.
    pub(super) fn updated_at(&self) -> Timestamp {
        self.updated_at
    }
}
