//! An adaptive rate limit: a token bucket whose rate follows how the endpoints answer.
//!
//! The rate is controlled by additive increase and multiplicative decrease (AIMD; Chiu and Jain, "Analysis of the
//! Increase and Decrease Algorithms for Congestion Avoidance", 1989), with a faster increase until the capacity is
//! known, as in TCP's slow start (Jacobson, "Congestion Avoidance and Control", 1988). The increase is per prompt
//! answer: one process that receives all answers and many that receive few each grow alike. The decrease comes once in
//! [`CONTROL_INTERVAL`]: by much after rejections and timeouts, by less when answers were delayed by a queue.
//!
//! A rejected request is given a retry-after hint that is its place in a virtual queue: clients that respect it return
//! at the rate at which they can be admitted and not all at once.

use super::AdmissionDecision;
use super::policy::CapacitySource;
use crate::routing::{TimeDelta, Timestamp};

/// The rate is decreased at most once in this time.
const CONTROL_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Increase of the rate, in requests per second, for each prompt answer below the known capacity: the rate doubles in
/// a third of a second.
const SLOW_START_INCREASE_PER_S: f64 = 2.0;
/// The same above the reported capacity, or once the rate was too high: endpoints warm up by a fifth of their cold
/// capacity in a second.
const PROBING_INCREASE_PER_S: f64 = 0.25;
/// The rate is multiplied by this after too many rejections and timeouts.
const OVERLOAD_DECREASE: f64 = 0.7;
/// The rate is multiplied by this after an interval in which most answers were delayed by a queue.
const QUEUEING_DECREASE: f64 = 0.85;
/// More than this share of failures, and at least [`MIN_FAILURES`], is an overload.
const MAX_FAILURE_PERCENT: u32 = 5;
/// A single failure may be chance.
const MIN_FAILURES: u32 = 2;
/// Answers over which the share of failures is measured.
const FAILURE_SAMPLE: u32 = 20;
/// The rate is increased only within this time after a rejection: without one, demand is below the rate.
const DEMAND_RETENTION: TimeDelta = TimeDelta::from_secs(1);
/// The bucket holds the tokens of this time, since requests arrive at random.
pub(super) const BURST_LENGTH: TimeDelta = TimeDelta::from_millis(300);
/// It holds at least this many tokens: each of many processes admits few requests.
pub(super) const MIN_BURST_REQUESTS: f64 = 2.0;
/// Share of the bucket that requests leave to each class of greater priority weight.
const RESERVED_BURST_SHARE: f64 = 0.25;
/// The shortest retry-after hint.
pub(super) const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(20);
/// The rate never falls below this share of the rate at the start.
const MIN_RATE_SHARE: f64 = 0.25;
/// The lowest rate at the start: a rate of zero would never see an answer.
const MIN_START_RATE_PER_S: f64 = 0.1;
/// Earlier than anything that happens; early enough to be far from it, late enough for differences not to overflow.
const NEVER: Timestamp = Timestamp::from_micros(i64::MIN / 2);

/// What an answered attempt says about the load of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerLatency {
    /// It waited in no queue.
    Prompt,
    /// It waited in a queue that is no reason to send less: a short one, or one of before the last decrease.
    Delayed,
    /// It waited in a queue that is too long.
    Queued,
}

/// An adaptive rate limit for one part of a group's traffic.
#[derive(Debug)]
pub(super) struct PacedRate {
    rate_per_s: f64,
    min_per_s: f64,
    max_per_s: f64,
    capacity_per_s: f64,
    capacity_source: CapacitySource,
    /// Requests that may be admitted at once.
    tokens: f64,
    refilled_at: Timestamp,
    /// The end of the virtual queue of rejected requests.
    queue_end: Timestamp,
    interval_end: Timestamp,
    /// Attempts served and failed since the failure sample began.
    served: u32,
    failed: u32,
    /// Prompt and queued answers of this interval.
    prompt: u32,
    queued: u32,
    /// The rate has exceeded the capacity once.
    exceeded_capacity: bool,
    last_rejected_at: Timestamp,
    /// Attempts sent before this say nothing about the present rate.
    last_decreased_at: Timestamp,
}

impl PacedRate {
    /// A rate limit that starts at the capacity. `initial_tokens`: which part of a request it has saved up.
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
            served: 0,
            failed: 0,
            prompt: 0,
            queued: 0,
            exceeded_capacity: false,
            last_rejected_at: NEVER,
            last_decreased_at: NEVER,
        }
    }

    /// Sets what is known of the capacity now; the rate itself goes on from where it is.
    pub(super) fn set_bounds(&mut self, capacity_per_s: f64, max_per_s: f64, source: CapacitySource) {
        self.capacity_per_s = capacity_per_s;
        self.max_per_s = max_per_s;
        self.capacity_source = source;
    }

    /// Admits a request if there is a token for it; otherwise it is rejected with a hint of at most `max_retry_after`.
    /// `classes_above`: how many classes of the same traffic have a greater priority weight.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        classes_above: usize,
        max_retry_after: TimeDelta,
    ) -> AdmissionDecision {
        self.advance(now);
        let burst = self.burst();
        let needed = (1.0 + RESERVED_BURST_SHARE * classes_above as f64 * (burst - 1.0)).min(burst);
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return AdmissionDecision::Admitted;
        }
        self.last_rejected_at = now;
        AdmissionDecision::Rejected { retry_after: self.enqueue(now, max_retry_after) }
    }

    /// The retry-after hint of the next request in the virtual queue.
    fn enqueue(&mut self, now: Timestamp, max_retry_after: TimeDelta) -> TimeDelta {
        let spacing = TimeDelta::from_micros_f64(1e6 / self.rate_per_s);
        self.queue_end = self.queue_end.max(now) + spacing;
        let wait = self.queue_end - now;
        if wait > max_retry_after {
            // The queue is longer than any client waits: what comes now is spread over the later half of it.
            self.queue_end = now + max_retry_after / 2;
        }
        wait.clamp(MIN_RETRY_AFTER, max_retry_after.max(MIN_RETRY_AFTER))
    }

    /// Records an attempt that was served.
    pub(super) fn record_served(&mut self, latency: AnswerLatency) {
        self.served += 1;
        match latency {
            AnswerLatency::Prompt => self.prompt += 1,
            AnswerLatency::Queued => self.queued += 1,
            AnswerLatency::Delayed => {}
        }
    }

    /// Records an attempt that was rejected or timed out.
    pub(super) fn record_failed(&mut self) {
        self.failed += 1;
    }

    /// Whether an attempt was sent at the present rate and not before its last decrease.
    pub(super) fn is_of_present_rate(&self, sent_at: Timestamp) -> bool {
        sent_at >= self.last_decreased_at
    }

    /// Adapts the rate if an interval has ended, and adds the tokens of the time that has passed.
    pub(super) fn advance(&mut self, now: Timestamp) {
        if now >= self.interval_end {
            self.adapt(now);
            self.prompt = 0;
            self.queued = 0;
            self.interval_end = now + CONTROL_INTERVAL;
        }
        self.rate_per_s = self.rate_per_s.clamp(self.min_per_s.min(self.max_per_s), self.max_per_s);
        let elapsed = (now - self.refilled_at).or_zero();
        self.tokens = (self.tokens + self.rate_per_s * elapsed.as_micros_f64() / 1e6).min(self.burst());
        self.refilled_at = now;
    }

    fn adapt(&mut self, now: Timestamp) {
        let answers = self.served + self.failed;
        if self.failed >= MIN_FAILURES && self.failed * 100 > answers * MAX_FAILURE_PERCENT {
            self.decrease(now, OVERLOAD_DECREASE);
            self.served = 0;
            self.failed = 0;
        } else if self.queued > self.prompt {
            self.decrease(now, QUEUEING_DECREASE);
        } else if now - self.last_rejected_at < DEMAND_RETENTION {
            self.increase();
        }
        if answers >= FAILURE_SAMPLE {
            self.served = 0;
            self.failed = 0;
        }
    }

    fn decrease(&mut self, now: Timestamp, factor: f64) {
        self.rate_per_s *= factor;
        self.last_decreased_at = now;
        self.exceeded_capacity = true;
    }

    /// Increases the rate for the prompt answers of the interval: fast up to the known capacity, slowly beyond it.
    fn increase(&mut self) {
        let prompt = f64::from(self.prompt);
        let capacity_known = self.capacity_source == CapacitySource::Reported || self.exceeded_capacity;
        if !capacity_known {
            self.rate_per_s += SLOW_START_INCREASE_PER_S * prompt;
        } else if self.rate_per_s < self.capacity_per_s {
            let increased = self.rate_per_s + SLOW_START_INCREASE_PER_S * prompt;
            self.rate_per_s = increased.min(self.capacity_per_s);
        } else {
            self.rate_per_s += PROBING_INCREASE_PER_S * prompt;
        }
    }

    /// The capacity of the bucket, in requests.
    fn burst(&self) -> f64 {
        (self.rate_per_s * BURST_LENGTH.as_micros_f64() / 1e6).max(MIN_BURST_REQUESTS)
    }
}
