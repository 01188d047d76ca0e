//! Slow start: limits the attempts sent to an endpoint that has just started.
//!
//! An endpoint starts with a fraction of its capacity (`Settings::cold_capacity`), which grows linearly to the full
//! capacity (`Settings::warm_up`). It fails if all poolers together send it more than `Settings::overload_multiple`
//! times its current capacity for longer than `Settings::overload_window`. Poolers do not coordinate: each limits its
//! own part by a token bucket. A token is worth one attempt of the class with the highest latency.

use super::capacity::MIN_CONCURRENCY_OF_ALL_POOLERS;
use super::endpoints::EndpointState;
use super::router::Router;
use super::{TimeDelta, Timestamp};

/// Fraction of a cold endpoint's tolerated load that is used. The rest is a margin: poolers measure their peak rates at
/// different times, so these add up to more than the endpoints ever served, and attempts arrive at random times.
const SLOW_START_UTILIZATION: f64 = 0.8;
/// A bucket holds at most the tokens of an overload window divided by this, so that a burst uses only a part of the
/// window.
const BUCKETS_PER_OVERLOAD_WINDOW: f64 = 4.0;
/// The served rate is measured over this many overload windows, so that a single burst does not determine its peak.
const SERVED_RATE_WINDOWS: i64 = 4;
/// Lower bound of the total capacity, to avoid a division by zero.
const MIN_TOTAL_CAPACITY: f64 = 0.01;

impl Router {
    /// The fraction of its full capacity that an endpoint is guaranteed to have at `now`; 1 once it is warm.
    pub(super) fn warm_up_fraction(&self, now: Timestamp, endpoint: &EndpointState) -> f64 {
        let Some(cold_capacity) = self.settings.cold_capacity else { return 1.0 };
        let Some(warm_up) = self.settings.warm_up else { return 1.0 };
        let Some(started_at) = endpoint.started_at else { return 1.0 };
        let age = (now - started_at).or_zero();
        let progress = age.as_micros_f64() / warm_up.as_micros_f64().max(1.0);
        (cold_capacity + (1.0 - cold_capacity) * progress).min(1.0)
    }

    /// The tokens in this pooler's bucket for a cold endpoint; [`f64::MAX`] for a warm one.
    ///
    /// The bucket fills at the highest served rate per unit of capacity that this pooler has measured, times the
    /// endpoint's capacity, its warm-up fraction and the tolerated overload. The peak rate is a safe estimate, because
    /// an endpoint can serve at least as much as it has already served. The current rate is not used, because it
    /// follows demand: while all endpoints are cold, it would not show what they can serve.
    pub(super) fn slow_start_allowance(&self, now: Timestamp, endpoint: &EndpointState) -> f64 {
        let warm_up_fraction = self.warm_up_fraction(now, endpoint);
        let Some(multiple) = self.settings.overload_multiple else { return f64::MAX };
        if warm_up_fraction >= 1.0 {
            return f64::MAX;
        }
        let rate_per_us = self.peak_rate_per_unit
            * endpoint.capacity_units
            * warm_up_fraction
            * multiple
            * SLOW_START_UTILIZATION;
        let elapsed = now - endpoint.slow_start_budget_updated_at;
        let tokens = endpoint.slow_start_budget + rate_per_us * elapsed.as_micros_f64();
        let bucket_size = rate_per_us * self.overload_window.as_micros_f64() / BUCKETS_PER_OVERLOAD_WINDOW;
        if tokens >= 1.0 && bucket_size < 1.0 {
            let group = self.groups.get(&endpoint.group);
            let endpoints_in_group = group.map_or(1, |group| group.endpoints.len()) as f64;
            let token_validity =
                self.token_validity(bucket_size, warm_up_fraction * multiple, endpoints_in_group);
            unexpired_tokens(tokens, token_validity)
        } else {
            tokens.min(bucket_size.max(1.0))
        }
    }

    /// How long a token stays valid if the bucket's size is less than one token, measured in the tokens that accrue in
    /// that time.
    ///
    /// With many poolers, the part of each one is less than one attempt during the whole warm-up. If each pooler kept
    /// its token until it is used, a burst after a pause would spend all of them at once. So a token expires after the
    /// bucket's size plus an allowance for random variation (twice the square root of the expected number of sends in
    /// an overload window, plus 2), but not before most of the time between two requests for the group has passed.
    ///
    /// `overload_factor` is the endpoint's tolerated load divided by its full capacity.
    fn token_validity(&self, bucket_size: f64, overload_factor: f64, endpoints_in_group: f64) -> f64 {
        // The number of attempts that all poolers together may send in an overload window.
        let tolerated_sends = bucket_size * BUCKETS_PER_OVERLOAD_WINDOW * MIN_CONCURRENCY_OF_ALL_POOLERS
            / (self.min_concurrency_limit * SLOW_START_UTILIZATION);
        let variation_allowance = 2.0 / tolerated_sends.sqrt() + 2.0 / tolerated_sends;
        let by_bucket =
            bucket_size * (1.0 + BUCKETS_PER_OVERLOAD_WINDOW * variation_allowance / SLOW_START_UTILIZATION);
        let by_demand =
            overload_factor * SLOW_START_UTILIZATION * SLOW_START_UTILIZATION / endpoints_in_group;
        by_bucket.max(by_demand)
    }

    /// The tokens that an attempt of `class` takes from a cold endpoint's bucket: its typical latency divided by that
    /// of the slowest class. The bucket limits work rather than attempts, so an attempt of a faster class takes less
    /// than one token.
    pub(super) fn slow_start_cost(&self, class: usize) -> f64 {
        let slowest_class_us = self.class_latency_us.iter().copied().fold(1.0, f64::max);
        self.class_latency_us[class] / slowest_class_us
    }

    /// Counts a served attempt and updates the peak rate of attempts served per unit of listed capacity.
    pub(super) fn record_served(&mut self, now: Timestamp) {
        let window: TimeDelta = self.overload_window * SERVED_RATE_WINDOWS;
        self.served_rate.record(now, window);
        let capacity = self.total_capacity_units.max(MIN_TOTAL_CAPACITY);
        let rate_per_unit = self.served_rate.per_us(now, window) / capacity;
        self.peak_rate_per_unit = self.peak_rate_per_unit.max(rate_per_unit);
    }
}

/// The part of `tokens` that has not expired: the token that is accruing, plus one complete token for the time
/// `validity` after its completion.
fn unexpired_tokens(tokens: f64, validity: f64) -> f64 {
    let partial_token = tokens.fract();
    if partial_token <= validity { partial_token + 1.0 } else { partial_token }
}
