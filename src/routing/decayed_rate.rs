//! An exponentially decayed event rate: the time-decayed counter of Cohen and Strauss, "Maintaining Time-Decaying
//! Stream Aggregates" (PODS 2003), with exponential decay.

use super::{TimeDelta, Timestamp};

/// A rate of events, derived from an exponentially decayed count. The count starts at zero, so the rate is
/// underestimated at first.
#[derive(Default)]
pub(super) struct DecayedRate {
    /// The decayed count at the time `updated_at`.
    count: f64,
    updated_at: Timestamp,
}

impl DecayedRate {
    /// Events per microsecond. The weight of an event decays with the time constant `window`.
    pub(super) fn per_us(&self, now: Timestamp, window: TimeDelta) -> f64 {
        let decay = (-(now - self.updated_at).as_micros_f64() / window.as_micros_f64()).exp();
        self.count * decay / window.as_micros_f64()
    }

    /// Counts one event. All calls for the same rate must pass the same `window`.
    pub(super) fn record(&mut self, now: Timestamp, window: TimeDelta) {
        self.count = self.per_us(now, window) * window.as_micros_f64() + 1.0;
        self.updated_at = now;
    }
}
