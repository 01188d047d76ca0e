//! Rates of events.

use super::{TimeDelta, Timestamp};

/// An exponentially decayed count of events, low at first.
#[derive(Default)]
pub(super) struct DecayedRate {
    pub(super) count: f64,
    pub(super) at: Timestamp,
}

impl DecayedRate {
    pub(super) fn per_us(&self, now: Timestamp, span: TimeDelta) -> f64 {
        self.count * (-(now - self.at).as_micros_f64() / span.as_micros_f64()).exp() / span.as_micros_f64()
    }

    pub(super) fn add(&mut self, now: Timestamp, span: TimeDelta) {
        (self.count, self.at) = (self.per_us(now, span) * span.as_micros_f64() + 1.0, now);
    }
}
