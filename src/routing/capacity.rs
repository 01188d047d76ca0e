//! Whether an endpoint accepts an attempt now: its concurrency limit, the pauses between attempts, and its ejection.
//!
//! The concurrency limit follows additive increase, multiplicative decrease (AIMD; Chiu and Jain, "Analysis of the
//! Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989). It grows by one per window
//! of early responses, and is halved when responses are late or the endpoint rejects work. A limit below one is the
//! fraction of time in which one attempt may be in flight, so that many poolers can share one endpoint.

use super::endpoints::{EndpointState, MAX_BACKOFF_DOUBLINGS};
use super::router::Router;
use super::{Availability, EndpointId, TimeDelta, Timestamp};

/// Attempts that all poolers together may always have in flight at an endpoint. With fewer, its recovery could not be
/// observed.
pub(super) const MIN_CONCURRENCY_OF_ALL_POOLERS: f64 = 3.0;
/// Initial concurrency limit of an endpoint as a multiple of its minimum; the initial limit is at least one.
pub(super) const INITIAL_LIMIT_FACTOR: f64 = 8.0;
/// Factor by which the concurrency limit is decreased.
const LIMIT_DECREASE_FACTOR: f64 = 0.5;
/// Minimum time between two decreases: responses to attempts sent before a decrease do not show its effect.
const LIMIT_DECREASE_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// A response increases the limit if it took less than the latency objective divided by this: at the right limit,
/// responses come well before the objective.
const EARLY_RESPONSE_DIVISOR: i64 = 3;
/// How often a cold endpoint is checked again while its slow-start bucket fills.
const SLOW_START_RECHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(62_500);

impl EndpointState {
    /// Additive increase of the concurrency limit after a served attempt that took `took`. While less than half of the
    /// limit is in use, responses do not show whether a higher limit is safe, so it stays.
    pub(super) fn increase_concurrency_limit(&mut self, took: TimeDelta, latency_objective: TimeDelta) {
        let in_use = (self.in_flight.len() + 1) as f64 > self.concurrency_limit / 2.0;
        if in_use && took < latency_objective / EARLY_RESPONSE_DIVISOR {
            self.concurrency_limit += self.concurrency_limit.min(1.0 / self.concurrency_limit);
        }
    }
}

impl Router {
    /// Whether an endpoint is in service, not ejected, and may get one more attempt. A suspected one gets one at a
    /// time.
    pub(super) fn accepts_attempt(&self, now: Timestamp, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[&id];
        let below_limit = (endpoint.in_flight.len() as f64) < endpoint.concurrency_limit;
        let responsive = !endpoint.suspected || endpoint.in_flight.is_empty();
        endpoint.availability == Availability::Ready
            && below_limit
            && responsive
            && now >= self.accepts_attempts_from(now, endpoint)
    }

    /// When an endpoint accepts attempts again, considering only what ends with time: its ejection, the refill of its
    /// slow-start bucket, and the pause that a limit below one requires. In the past if none of these applies.
    pub(super) fn accepts_attempts_from(&self, now: Timestamp, endpoint: &EndpointState) -> Timestamp {
        let pause_ends_at = endpoint.last_sent_at + self.pause_between_attempts(endpoint);
        let mut bucket_checked_at = Timestamp::ZERO;
        if self.slow_start_allowance(now, endpoint) < 1.0 {
            let since_update = now - endpoint.slow_start_budget_updated_at;
            let since_last_check = since_update % SLOW_START_RECHECK_INTERVAL;
            bucket_checked_at = now + SLOW_START_RECHECK_INTERVAL - since_last_check;
        }
        let ejected_until = endpoint.ejected_until.unwrap_or(Timestamp::ZERO);
        pause_ends_at.max(bucket_checked_at).max(ejected_until)
    }

    /// Minimum time between the sending of two attempts at a limit below one: the typical latency of the first class
    /// divided by the limit. Zero at a higher limit.
    fn pause_between_attempts(&self, endpoint: &EndpointState) -> TimeDelta {
        match self.class_latency_us.first() {
            Some(typical_latency_us) if endpoint.concurrency_limit < 1.0 => {
                TimeDelta::from_micros_f64(typical_latency_us / endpoint.concurrency_limit)
            }
            _ => TimeDelta::ZERO,
        }
    }

    /// Multiplicative decrease of the concurrency limit, starting from the concurrency that was in use.
    ///
    /// `unserved_latency_us` is the typical latency of the attempt's class if the attempt was not served, otherwise
    /// `None`. An endpoint that does not serve attempts may be busy with abandoned work. For a pooler that rarely sends
    /// to it, the concurrency in use is then the fraction of time in which this pooler has an attempt in flight.
    pub(super) fn decrease_concurrency_limit(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        unserved_latency_us: Option<f64>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if now - endpoint.limit_decreased_at <= LIMIT_DECREASE_INTERVAL {
            return;
        }
        let mut share_in_use = 1.0;
        if let Some(latency_us) = unserved_latency_us
            && endpoint.in_flight.is_empty()
        {
            share_in_use = (latency_us / endpoint.last_send_interval.as_micros_f64().max(1.0)).min(1.0);
        }
        let in_use = (endpoint.in_flight.len() + 1) as f64 * share_in_use;
        endpoint.concurrency_limit =
            (endpoint.concurrency_limit.min(in_use) * LIMIT_DECREASE_FACTOR).max(self.min_concurrency_limit);
        endpoint.limit_decreased_at = now;
    }

    /// Ejects an endpoint that failed, for a time that is `base` at first and doubles with each consecutive failure.
    /// Without ejection, an endpoint that fails fast looks idle and attracts all reads.
    pub(super) fn eject(&mut self, now: Timestamp, id: EndpointId, base: TimeDelta) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let doublings = endpoint.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        endpoint.ejected_until = Some(now + (base << doublings));
        endpoint.consecutive_failures += 1;
    }
}
