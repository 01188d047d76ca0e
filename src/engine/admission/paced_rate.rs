//! An adaptive rate limit: a token bucket whose rate is adapted to the outcomes and latencies of attempts.
//!
//! The rate is controlled by additive increase and multiplicative decrease (AIMD; Chiu and Jain, "Analysis of the
//! Increase and Decrease Algorithms for Congestion Avoidance", 1989), with a faster increase until the capacity is
//! known, as in TCP's slow start (Jacobson, "Congestion Avoidance and Control", 1988). The rate increases with each
//! prompt answer, so that the total grows equally fast whether one process receives all answers or many processes
//! receive few each. It decreases at most once per [`CONTROL_INTERVAL`]: strongly after rejections and timeouts, less
//! when a queue delayed the answers.
//!
//! The retry-after hint of a rejected request is its waiting time in a virtual queue. Clients that respect the hint
//! return at the rate at which they can be admitted, and not all at once.

use super::AdmissionDecision;
use super::policy::CapacitySource;
use crate::routing::{TimeDelta, Timestamp};

/// The shortest time between two adaptations of the rate, and thus between two decreases.
const CONTROL_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Increase of the rate, in requests per second, for each prompt answer while the capacity is unknown or the rate is
/// below it. The rate doubles in a third of a second.
const SLOW_START_INCREASE_PER_S: f64 = 2.0;
/// Increase of the rate, in requests per second, for each prompt answer once the rate has reached the known capacity.
/// The capacity is known if the endpoints reported it or the rate has exceeded it before. Endpoints that warm up gain a
/// fifth of their cold capacity per second.
const PROBING_INCREASE_PER_S: f64 = 0.25;
/// The factor by which the rate decreases after too many rejections and timeouts.
const OVERLOAD_DECREASE: f64 = 0.7;
/// The factor by which the rate decreases after an interval in which more answers waited in a long queue than were
/// prompt.
const QUEUEING_DECREASE: f64 = 0.85;
/// Attempts indicate an overload if more than this percentage of them failed, and at least [`MIN_FAILURES`].
const MAX_FAILURE_PERCENT: u32 = 5;
/// The fewest failures that indicate an overload, since a single failure may be chance.
const MIN_FAILURES: u32 = 2;
/// Number of attempts after which the measurement of the percentage of failures starts over.
const FAILURE_SAMPLE: u32 = 20;
/// How long after a rejection the rate may be increased. Without a recent rejection, the demand is below the rate.
const DEMAND_RETENTION: TimeDelta = TimeDelta::from_secs(1);
/// The time whose tokens the bucket holds, since requests arrive at random times.
pub(super) const BURST_LENGTH: TimeDelta = TimeDelta::from_millis(300);
/// The smallest capacity of the bucket, in tokens, for the low rate of each of many processes.
pub(super) const MIN_BURST_REQUESTS: f64 = 2.0;
/// Share of the bucket that a request leaves to each higher priority weight.
const RESERVED_BURST_SHARE: f64 = 0.25;
/// The shortest retry-after hint.
pub(super) const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(20);
/// The rate never falls below this share of the initial rate.
const MIN_RATE_SHARE: f64 = 0.25;
/// The lowest initial rate. With a rate of zero, no answer would ever arrive and the rate could not grow.
const MIN_START_RATE_PER_S: f64 = 0.1;
/// Stands for an event that has not happened. Half of the lowest value, so that differences do not overflow.
const NEVER: Timestamp = Timestamp::from_micros(i64::MIN / 2);

/// What the latency of an answer shows about the load of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerLatency {
    /// The answer was not delayed by a queue.
    Prompt,
    /// A queue delayed the answer, but the rate need not decrease: the queue is short, or the attempt was sent before
    /// the last decrease.
    TolerableDelay,
    /// A queue that is too long delayed the answer.
    ExcessiveDelay,
}

/// An adaptive rate limit for one part of a group's traffic.
#[derive(Debug)]
pub(super) struct PacedRate {
    rate_per_s: f64,
    min_per_s: f64,
    max_per_s: f64,
    capacity_per_s: f64,
    capacity_source: CapacitySource,
    /// Number of requests that may be admitted at once; may be fractional.
    tokens: f64,
    refilled_at: Timestamp,
    /// When the last request in the virtual queue of rejected requests could be admitted.
    queue_end: Timestamp,
    interval_end: Timestamp,
    /// Number of attempts that were served and that failed, since the measurement of failures last started over.
    served_count: u32,
    failed_count: u32,
    /// Number of answers with [`AnswerLatency::Prompt`] and [`AnswerLatency::ExcessiveDelay`] in this interval.
    prompt_count: u32,
    delayed_count: u32,
    /// Whether the rate has exceeded the capacity before.
    exceeded_capacity: bool,
    last_rejected_at: Timestamp,
    /// The outcomes of attempts that were sent before this time do not reflect the current rate.
    last_decreased_at: Timestamp,
}

impl PacedRate {
    /// A rate limit that starts at the capacity. `initial_tokens` is the initial content of the bucket.
    pub(super) fn new(now: Timestamp, capacity_per_s: f64, max_per_s: f64, initial_tokens: f64) -> PacedRate {
        let rate_per_s = capacity_per_s.min(max_per_s).max(MIN_START_RATE_PER_S);
        PacedRate {
            rate_per_s,
            min_per_s: rate_per_s * MIN_RATE_SHARE,
            max_per_s,
            capacity_per_s,
            capacity_source: CapacitySource::Estimated,
            tokens: initial_tokens,
            refilled_at: now,
            queue_end: now,
            interval_end: now + CONTROL_INTERVAL,
            served_count: 0,
            failed_count: 0,
            prompt_count: 0,
            delayed_count: 0,
            exceeded_capacity: false,
            last_rejected_at: NEVER,
            last_decreased_at: NEVER,
        }
    }

    /// Sets the known capacity and the upper bound; the rate keeps its current value within the bound.
    pub(super) fn set_bounds(&mut self, capacity_per_s: f64, max_per_s: f64, source: CapacitySource) {
        self.capacity_per_s = capacity_per_s;
        self.max_per_s = max_per_s;
        self.capacity_source = source;
    }

    /// Admits a request if there are enough tokens, and otherwise rejects it with a hint of at most `max_retry_after`.
    /// `higher_priority_levels` is the number of higher priority weights, whose share of the bucket is left unused.
    pub(super) fn try_admit(
        &mut self,
        now: Timestamp,
        higher_priority_levels: usize,
        max_retry_after: TimeDelta,
    ) -> AdmissionDecision {
        self.advance(now);
        let burst = self.burst();
        let needed = (1.0 + RESERVED_BURST_SHARE * higher_priority_levels as f64 * (burst - 1.0)).min(burst);
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return AdmissionDecision::Admitted;
        }
        self.last_rejected_at = now;
        AdmissionDecision::Rejected { retry_after: self.enqueue(now, max_retry_after) }
    }

    /// Appends a request to the virtual queue and returns its retry-after hint.
    fn enqueue(&mut self, now: Timestamp, max_retry_after: TimeDelta) -> TimeDelta {
        let spacing = TimeDelta::from_micros_f64(1e6 / self.rate_per_s);
        self.queue_end = self.queue_end.max(now) + spacing;
        let wait = self.queue_end - now;
        if wait > max_retry_after {
            // The queue is longer than the longest hint. Spread the next requests over the later half of that time.
            self.queue_end = now + max_retry_after / 2;
        }
        wait.clamp(MIN_RETRY_AFTER, max_retry_after.max(MIN_RETRY_AFTER))
    }

    /// Records an attempt that was served.
    pub(super) fn record_served(&mut self, latency: AnswerLatency) {
        self.served_count += 1;
        match latency {
            AnswerLatency::Prompt => self.prompt_count += 1,
            AnswerLatency::ExcessiveDelay => self.delayed_count += 1,
            AnswerLatency::TolerableDelay => {}
        }
    }

    /// Records an attempt that was rejected or timed out.
    pub(super) fn record_failed(&mut self) {
        self.failed_count += 1;
    }

    /// Whether an attempt was sent after the last decrease, so that its outcome reflects the current rate.
    pub(super) fn reflects_current_rate(&self, sent_at: Timestamp) -> bool {
        sent_at >= self.last_decreased_at
    }

    /// Adapts the rate if an interval has ended, and adds the tokens for the time since the last call.
    pub(super) fn advance(&mut self, now: Timestamp) {
        if now >= self.interval_end {
            self.adapt(now);
            self.prompt_count = 0;
            self.delayed_count = 0;
            self.interval_end = now + CONTROL_INTERVAL;
        }
        self.rate_per_s = self.rate_per_s.clamp(self.min_per_s.min(self.max_per_s), self.max_per_s);
        let elapsed = (now - self.refilled_at).or_zero();
        self.tokens = (self.tokens + self.rate_per_s * elapsed.as_micros_f64() / 1e6).min(self.burst());
        self.refilled_at = now;
    }

    fn adapt(&mut self, now: Timestamp) {
        let attempts = self.served_count + self.failed_count;
        if self.failed_count >= MIN_FAILURES && self.failed_count * 100 > attempts * MAX_FAILURE_PERCENT {
            self.decrease(now, OVERLOAD_DECREASE);
            self.served_count = 0;
            self.failed_count = 0;
        } else if self.delayed_count > self.prompt_count {
            self.decrease(now, QUEUEING_DECREASE);
        } else if now - self.last_rejected_at < DEMAND_RETENTION {
            self.increase();
        }
        if attempts >= FAILURE_SAMPLE {
            self.served_count = 0;
            self.failed_count = 0;
        }
    }

    fn decrease(&mut self, now: Timestamp, factor: f64) {
        self.rate_per_s *= factor;
        self.last_decreased_at = now;
        self.exceeded_capacity = true;
    }

    /// Increases the rate for the prompt answers of the interval: fast up to the known capacity, slowly above it.
    fn increase(&mut self) {
        let prompt_answers = f64::from(self.prompt_count);
        let capacity_known = self.capacity_source == CapacitySource::Reported || self.exceeded_capacity;
        if !capacity_known {
            self.rate_per_s += SLOW_START_INCREASE_PER_S * prompt_answers;
        } else if self.rate_per_s < self.capacity_per_s {
            let increased = self.rate_per_s + SLOW_START_INCREASE_PER_S * prompt_answers;
            self.rate_per_s = increased.min(self.capacity_per_s);
        } else {
            self.rate_per_s += PROBING_INCREASE_PER_S * prompt_answers;
        }
    }

    /// The capacity of the bucket, in requests.
    fn burst(&self) -> f64 {
        (self.rate_per_s * BURST_LENGTH.as_micros_f64() / 1e6).max(MIN_BURST_REQUESTS)
    }
}
