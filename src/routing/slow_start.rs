//! Slow start: how much an endpoint that has just started may be given.
//!
//! An endpoint starts with a share of its capacity (`Settings::cold_capacity`) and warms up linearly
//! (`Settings::warm_up`). It falls over when all poolers together send it more than `Settings::overload_multiple`
//! times its present capacity for longer than `Settings::overload_window`. Poolers do not coordinate: each meters its
//! own part by a token bucket whose unit is one attempt of the heaviest class.

use super::capacity::MIN_CONCURRENCY_OF_ALL_POOLERS;
use super::endpoints::EndpointState;
use super::router::Router;
use super::{TimeDelta, Timestamp};

/// Share of what a cold endpoint bears that is used: the peaks that poolers measured at different times add up to
/// more than the endpoints ever served together, and sends arrive at random.
const SLOW_START_UTILIZATION: f64 = 0.8;
/// A bucket holds this fraction of an overload window's tokens at most: a burst uses a part of the window only.
const BUCKETS_PER_OVERLOAD_WINDOW: f64 = 4.0;
/// The served rate is taken over this many overload windows, so that its peak is not one burst.
const SERVED_RATE_WINDOWS: i64 = 4;
/// Lower bound of the listed capacity where the served rate is divided by it.
const MIN_TOTAL_CAPACITY: f64 = 0.01;

impl Router {
    /// The share of its full capacity that an endpoint has for certain, up to 1.
    pub(super) fn warmth(&self, now: Timestamp, endpoint: &EndpointState) -> f64 {
        let Some(cold_capacity) = self.settings.cold_capacity else { return 1.0 };
        let Some(warm_up) = self.settings.warm_up else { return 1.0 };
        let Some(started_at) = endpoint.started_at else { return 1.0 };
        let age = (now - started_at).or_zero();
        let progress = age.as_micros_f64() / warm_up.as_micros_f64().max(1.0);
        (cold_capacity + (1.0 - cold_capacity) * progress).min(1.0)
    }

    /// Attempts that a cold endpoint may still be given by this pooler; unbounded for a warm one.
    ///
    /// The bucket fills at the highest rate that this pooler saw one unit of capacity serve, which is less than such
    /// an endpoint bears, times the endpoint's size, its warmth and the tolerated multiple. The rate just now is no
    /// measure instead of the peak: where all endpoints are cold, it follows demand.
    pub(super) fn slow_start_allowance(&self, now: Timestamp, endpoint: &EndpointState) -> f64 {
        let warmth = self.warmth(now, endpoint);
        let Some(multiple) = self.settings.overload_multiple else { return f64::MAX };
        if warmth >= 1.0 {
            return f64::MAX;
        }
        let rate_per_us =
            self.peak_rate_per_unit * endpoint.capacity_units * warmth * multiple * SLOW_START_UTILIZATION;
        let elapsed = now - endpoint.slow_start_budget_updated_at;
        let saved = endpoint.slow_start_budget + rate_per_us * elapsed.as_micros_f64();
        let bucket_size = rate_per_us * self.overload_window.as_micros_f64() / BUCKETS_PER_OVERLOAD_WINDOW;
        if saved >= 1.0 && bucket_size < 1.0 {
            let group = self.groups.get(&endpoint.group);
            let endpoints_in_group = group.map_or(1, |group| group.endpoints.len()) as f64;
            let token_validity = self.token_validity(bucket_size, warmth * multiple, endpoints_in_group);
            lapsing_tokens(saved, token_validity)
        } else {
            saved.min(bucket_size.max(1.0))
        }
    }

    /// How long a token stays valid where a bucket holds less than one, measured in tokens that accrue meanwhile.
    ///
    /// With many poolers each one's part is below one attempt in a whole warm-up. If each kept its token until it is
    /// used, a burst after a pause would spend them all at once. So a token lapses after the bucket's size plus what
    /// counts as chance (twice the root of the expected number of sends in a window, plus 2), but not before most of
    /// the time between two requests for the group has passed.
    ///
    /// `overload_factor`: the endpoint's tolerated load against its full capacity.
    fn token_validity(&self, bucket_size: f64, overload_factor: f64, endpoints_in_group: f64) -> f64 {
        // What all poolers together may send in an overload window.
        let tolerated_sends = bucket_size * BUCKETS_PER_OVERLOAD_WINDOW * MIN_CONCURRENCY_OF_ALL_POOLERS
            / (self.min_concurrency_limit * SLOW_START_UTILIZATION);
        let chance = 2.0 / tolerated_sends.sqrt() + 2.0 / tolerated_sends;
        let by_bucket = bucket_size * (1.0 + BUCKETS_PER_OVERLOAD_WINDOW * chance / SLOW_START_UTILIZATION);
        let by_demand =
            overload_factor * SLOW_START_UTILIZATION * SLOW_START_UTILIZATION / endpoints_in_group;
        by_bucket.max(by_demand)
    }

    /// What an attempt of `class` takes from a cold endpoint's bucket. The budget is one of work: a class that is
    /// lighter than the heaviest takes less than one token.
    pub(super) fn slow_start_cost(&self, class: usize) -> f64 {
        let heaviest_us = self.class_latency_us.iter().copied().fold(1.0, f64::max);
        self.class_latency_us[class] / heaviest_us
    }

    /// Counts a served attempt and keeps the highest rate that a unit of listed capacity has served.
    pub(super) fn record_served(&mut self, now: Timestamp) {
        let window: TimeDelta = self.overload_window * SERVED_RATE_WINDOWS;
        self.served_rate.record(now, window);
        let capacity = self.total_capacity_units.max(MIN_TOTAL_CAPACITY);
        let rate_per_unit = self.served_rate.per_us(now, window) / capacity;
        self.peak_rate_per_unit = self.peak_rate_per_unit.max(rate_per_unit);
    }
}

/// The part of `saved` tokens that has not lapsed: the one that accrues now, and a whole one for `validity` after it
/// was complete.
fn lapsing_tokens(saved: f64, validity: f64) -> f64 {
    let accruing = saved.fract();
    if accruing <= validity { accruing + 1.0 } else { accruing }
}
