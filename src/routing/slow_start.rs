//! What a cold member is given.

use super::endpoints::EndpointState;
use super::router::*;
use super::*;

impl Router {
    /// The share of its full capacity that a member has for certain.
    pub(super) fn warmth(&self, now: Timestamp, m: &EndpointState) -> f64 {
        let (Some(share), Some(span)) = (self.settings.cold_capacity, self.settings.warm_up) else {
            return 1.0;
        };
        let Some(started) = m.started_at else { return 1.0 };
        let age = (now - started).or_zero().as_micros_f64() / span.as_micros_f64().max(1.0);
        (share + (1.0 - share) * age).min(1.0)
    }

    /// A cold member falls over when all drivers together send it too much. Each gives it the most answers
    /// that it saw come from a member of its size, less than such a one bears, times its warmth and the
    /// multiple. With many drivers that is less than one send in a warm-up: each starts at its own point, and
    /// a saved-up send lapses after what counts as chance, 2 root of N + 2, or most of the time between two
    /// requests for the group. What was sent just now is no pace: where all are cold it follows demand.
    pub(super) fn slow_start_allowance(&self, now: Timestamp, m: &EndpointState) -> f64 {
        let warmth = self.warmth(now, m);
        let (Some(multiple), true) = (self.settings.overload_multiple, warmth < 1.0) else { return f64::MAX };
        let rate = self.peak_rate_per_unit * m.capacity_units * warmth * multiple * SLOW_START_UTILIZATION;
        let (saved, most) = (
            m.slow_start_budget + rate * (now - m.slow_start_budget_updated_at).as_micros_f64(),
            rate * self.overload_window.as_micros_f64() / 4.0,
        );
        let bears = most * 4.0 * MIN_CONCURRENCY_OF_ALL_POOLERS
            / (self.min_concurrency_limit * SLOW_START_UTILIZATION);
        let kept = most * (1.0 + 4.0 * (2.0 / bears.sqrt() + 2.0 / bears) / SLOW_START_UTILIZATION);
        let endpoints = self.groups.get(&m.group).map_or(1, |g| g.endpoints.len()) as f64;
        let kept = kept.max(warmth * multiple * SLOW_START_UTILIZATION * SLOW_START_UTILIZATION / endpoints);
        let lapsing = saved.fract() + f64::from(u8::from(saved.fract() <= kept));
        if saved >= 1.0 && most < 1.0 { lapsing } else { saved.min(most.max(1.0)) }
    }
}
