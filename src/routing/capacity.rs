//! How much an endpoint may be given now: its concurrency limit, the pauses between attempts, and its ejection.
//!
//! The concurrency limit follows additive increase, multiplicative decrease (AIMD; Chiu and Jain, "Analysis of the
//! Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989): it grows by one for a
//! window of responses that come well in time, and halves when they come late or the endpoint rejects work. Below
//! one it is the share of time in which one attempt may be in flight, so that many poolers can share one endpoint.

use super::endpoints::{EndpointState, MAX_BACKOFF_DOUBLINGS};
use super::router::Router;
use super::{Availability, EndpointId, TimeDelta, Timestamp};

/// Attempts that all poolers together may always have in flight at an endpoint; with fewer it could not be seen to
/// recover.
pub(super) const MIN_CONCURRENCY_OF_ALL_POOLERS: f64 = 3.0;
/// A pooler's first concurrency limit against its lowest, before it has seen how the endpoint bears it; one at least.
pub(super) const INITIAL_LIMIT_FACTOR: f64 = 8.0;
/// Multiplicative decrease of the concurrency limit.
const LIMIT_DECREASE_FACTOR: f64 = 0.5;
/// The limit decreases once in this time at most: responses to attempts of before a decrease say nothing about it.
const LIMIT_DECREASE_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// Responses within the latency objective divided by this raise the limit: a limit that is right leaves a margin.
const EARLY_RESPONSE_DIVISOR: i64 = 3;
/// How often a cold endpoint is looked at again while its slow-start bucket fills.
const SLOW_START_RECHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(62_500);

impl EndpointState {
    /// Additive increase after a served attempt. A limit that is not in use says nothing and stays.
    pub(super) fn increase_concurrency_limit(&mut self, took: TimeDelta, latency_objective: TimeDelta) {
        let in_use = (self.in_flight.len() + 1) as f64 > self.concurrency_limit / 2.0;
        if in_use && took < latency_objective / EARLY_RESPONSE_DIVISOR {
            self.concurrency_limit += self.concurrency_limit.min(1.0 / self.concurrency_limit);
        }
    }
}

impl Router {
    /// Whether an endpoint is in service, not ejected, and has room for one more attempt. A suspected one takes one at
    /// a time.
    pub(super) fn accepts_attempt(&self, now: Timestamp, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[&id];
        let below_limit = (endpoint.in_flight.len() as f64) < endpoint.concurrency_limit;
        let responsive = !endpoint.suspected || endpoint.in_flight.is_empty();
        endpoint.availability == Availability::Ready
            && below_limit
            && responsive
            && now >= self.accepts_attempts_from(now, endpoint)
    }

    /// When an endpoint may accept an attempt, as far as time decides that: its ejection ends, its slow-start bucket
    /// fills, or the pause that a limit below one requires is over. Past for one that waits for none of these.
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

    /// Time between two attempts at a limit below one: an attempt's usual latency, which is that of the first class,
    /// divided by the share of time in which one may be in flight.
    fn pause_between_attempts(&self, endpoint: &EndpointState) -> TimeDelta {
        match self.class_latency_us.first() {
            Some(usual_us) if endpoint.concurrency_limit < 1.0 => {
                TimeDelta::from_micros_f64(usual_us / endpoint.concurrency_limit)
            }
            _ => TimeDelta::ZERO,
        }
    }

    /// Multiplicative decrease of the concurrency limit, starting from what was in use.
    ///
    /// `unserved_latency_us`: after an attempt that was not served, the usual latency of its class. The endpoint may
    /// be busy with work that no client waits for any more, so a pooler that sends seldom counts as using the share
    /// of time that its attempts take.
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

    /// Ejects an endpoint that failed, for `base` and twice as long each time in a row. One that fails fast looks idle
    /// and would otherwise draw all reads to itself.
    pub(super) fn eject(&mut self, now: Timestamp, id: EndpointId, base: TimeDelta) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let doublings = endpoint.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        endpoint.ejected_until = Some(now + (base << doublings));
        endpoint.consecutive_failures += 1;
    }
}
