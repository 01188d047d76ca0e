//! A sliding window of how the attempts at each endpoint ended, from which the fleet detects failing zones. Fed by the
//! request engine, read from time to time. No I/O.
//!
//! An attempt in flight counts as unanswered before its timeout: in a zone that has failed no attempt ends.

use crate::routing::{AttemptOutcome, EndpointId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// The window consists of this many buckets, which expire one by one.
const BUCKETS: i64 = 6;
const BUCKET_LENGTH: TimeDelta = TimeDelta::from_millis(100);
/// How far the window reaches back.
pub const WINDOW_LENGTH: TimeDelta = TimeDelta::from_micros(BUCKETS * BUCKET_LENGTH.as_micros());
/// An answer is late that took more than this multiple of its class's usual latency, plus [`LATENCY_JITTER`].
const LATE_FACTOR: f64 = 5.0;
/// Latency that scheduling and the network add to any answer.
const LATENCY_JITTER: TimeDelta = TimeDelta::from_millis(30);
/// No attempt is overdue before this time: a short pause of an endpoint is no failure. Also the bound of a class whose
/// usual latency is not known yet.
const MIN_OVERDUE: TimeDelta = TimeDelta::from_millis(400);
/// How long failures since an endpoint's last answer are reported. A failed endpoint is tried seldom; its failures
/// would expire between two attempts. Shorter than a zone stays evacuated.
const FAILURE_RETENTION: TimeDelta = TimeDelta::from_secs(2);
/// At most this many failures of each kind are reported beyond the window.
const MAX_RETAINED_FAILURES: u32 = 4;
/// How long the time of an endpoint's last answer is kept. No attempt is in flight for longer.
const LAST_ANSWER_RETENTION: TimeDelta = TimeDelta::from_secs(600);
/// Weight of a slower answer in the moving average of a class's latency. Small: the average is to stay at the latency
/// of healthy endpoints while others are slow.
const BASELINE_RISE: f64 = 0.01;
/// Weight of a faster answer in that average.
const BASELINE_FALL: f64 = 0.1;
/// Weight of a report in the moving average of an endpoint's utilization.
const UTILIZATION_SMOOTHING: f64 = 0.1;

/// How the attempts of one process at one endpoint ended within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered within the usual time of their class.
    pub on_time: u32,
    /// Answered later than that, or overdue while the endpoint answers others.
    pub late: u32,
    /// Not answered: overdue, cancelled when overdue, timed out, or the connection broke.
    pub unanswered: u32,
    /// No connection was made.
    pub connect_failed: u32,
    /// Share of its capacity that the endpoint last reported to be in use, per mille; 0 where it reports none.
    pub utilization_permille: u16,
}

impl OutcomeCounts {
    /// What one ended attempt counts as; `None`: it says nothing about its endpoint.
    fn of_attempt(outcome: AttemptOutcome, took: TimeDelta, bounds: LatencyBounds) -> Option<OutcomeCounts> {
        let mut counts = OutcomeCounts::default();
        match outcome {
            AttemptOutcome::Served if took > bounds.late_after => counts.late = 1,
            AttemptOutcome::Served
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Overloaded
            | AttemptOutcome::Error => counts.on_time = 1,
            AttemptOutcome::ConnectFailed => counts.connect_failed = 1,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset => counts.unanswered = 1,
            // One that was cancelled early might still have been answered on time.
            AttemptOutcome::Cancelled if took > bounds.overdue_after => counts.unanswered = 1,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return None,
        }
        Some(counts)
    }

    /// Whether the endpoint answered.
    fn is_answered(&self) -> bool {
        self.on_time + self.late > 0
    }

    fn add(&mut self, other: &OutcomeCounts) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.connect_failed += other.connect_failed;
    }

    /// Number of attempts counted.
    pub fn total(&self) -> u32 {
        self.on_time + self.late + self.unanswered + self.connect_failed
    }
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
    /// The number of its request's class.
    pub class: usize,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// The latencies that a class's answers are held against.
#[derive(Clone, Copy, Debug)]
struct LatencyBounds {
    late_after: TimeDelta,
    overdue_after: TimeDelta,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The time since the clock's zero, in bucket lengths.
    index: i64,
    counts: OutcomeCounts,
}

impl Bucket {
    fn index_at(now: Timestamp) -> i64 {
        now.since(Timestamp::ZERO) / BUCKET_LENGTH
    }
}

/// Failures since an endpoint's last answer.
#[derive(Clone, Copy, Debug, Default)]
struct RecentFailures {
    counts: OutcomeCounts,
    last_at: Timestamp,
}

/// The window of all endpoints. Nothing is recorded until it is read for the first time: without a fleet nobody reads
/// it.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    recording: bool,
    buckets: BTreeMap<EndpointId, Vec<Bucket>>,
    /// By class number, the moving average of answers' latencies in microseconds.
    usual_latency_micros: BTreeMap<usize, f64>,
    /// The moving average of the utilization that endpoints report, from 0 to 1.
    utilization: BTreeMap<EndpointId, f64>,
    /// When each endpoint last answered an attempt. Answers to health checks do not count: they take no work.
    last_answer_at: BTreeMap<EndpointId, Timestamp>,
    recent_failures: BTreeMap<EndpointId, RecentFailures>,
}

impl OutcomeWindow {
    fn bounds(&self, class: usize) -> LatencyBounds {
        let bound = match self.usual_latency_micros.get(&class) {
            Some(usual) => TimeDelta::from_micros_f64(usual * LATE_FACTOR),
            None => MIN_OVERDUE,
        };
        let late_after = bound + LATENCY_JITTER;
        LatencyBounds { late_after, overdue_after: late_after.max(MIN_OVERDUE) }
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, now: Timestamp, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        if !self.recording {
            return;
        }
        let InFlightAttempt { endpoint, class, sent_at } = *attempt;
        let took = now - sent_at;
        let Some(counts) = OutcomeCounts::of_attempt(outcome, took, self.bounds(class)) else { return };
        if outcome == AttemptOutcome::Served {
            self.record_latency(class, took);
        }
        if counts.is_answered() {
            self.last_answer_at.insert(endpoint, now);
            self.recent_failures.remove(&endpoint);
        } else {
            let failures = self.recent_failures.entry(endpoint).or_default();
            failures.counts.add(&counts);
            failures.last_at = now;
        }
        self.count(now, endpoint, counts);
    }

    fn record_latency(&mut self, class: usize, took: TimeDelta) {
        let took = took.as_micros_f64();
        let usual = self.usual_latency_micros.entry(class).or_insert(took);
        let weight = if took > *usual { BASELINE_RISE } else { BASELINE_FALL };
        *usual += (took - *usual) * weight;
    }

    fn count(&mut self, now: Timestamp, endpoint: EndpointId, counts: OutcomeCounts) {
        let index = Bucket::index_at(now);
        let buckets = self.buckets.entry(endpoint).or_default();
        buckets.retain(|bucket| index - bucket.index < BUCKETS);
        match buckets.last_mut() {
            Some(bucket) if bucket.index == index => bucket.counts.add(&counts),
            _ => buckets.push(Bucket { index, counts }),
        }
    }

    /// Records an endpoint's report of the share of its capacity in use, from 0 to 1.
    pub fn record_utilization(&mut self, endpoint: EndpointId, utilization: f64) {
        if !self.recording {
            return;
        }
        let average = self.utilization.entry(endpoint).or_insert(utilization);
        *average += (utilization.clamp(0.0, 1.0) - *average) * UTILIZATION_SMOOTHING;
    }

    /// Whether an attempt has been in flight for longer than a healthy endpoint takes for its class.
    pub fn is_overdue(&self, now: Timestamp, attempt: &InFlightAttempt) -> bool {
        now - attempt.sent_at > self.bounds(attempt.class).overdue_after
    }

    /// How attempts at each endpoint ended within the window; `in_flight`: all attempts that have not ended. The first
    /// call starts recording.
    pub fn read(
        &mut self,
        now: Timestamp,
        in_flight: impl Iterator<Item = InFlightAttempt>,
    ) -> BTreeMap<EndpointId, OutcomeCounts> {
        self.recording = true;
        self.expire(now);
        let mut counts: BTreeMap<EndpointId, OutcomeCounts> = BTreeMap::new();
        for (endpoint, buckets) in &self.buckets {
            let sum = counts.entry(*endpoint).or_default();
            buckets.iter().for_each(|bucket| sum.add(&bucket.counts));
        }
        for (endpoint, failures) in &self.recent_failures {
            let sum = counts.entry(*endpoint).or_default();
            let retained = &failures.counts;
            sum.unanswered = sum.unanswered.max(retained.unanswered.min(MAX_RETAINED_FAILURES));
            sum.connect_failed = sum.connect_failed.max(retained.connect_failed.min(MAX_RETAINED_FAILURES));
        }
        for attempt in in_flight.filter(|attempt| self.is_overdue(now, attempt)) {
            let sum = counts.entry(attempt.endpoint).or_default();
            // An endpoint that has answered another attempt since is slow or lost one message: that is no failure.
            if self.last_answer_at.get(&attempt.endpoint).is_some_and(|at| *at >= attempt.sent_at) {
                sum.late += 1;
            } else {
                sum.unanswered += 1;
            }
        }
        for (endpoint, sum) in &mut counts {
            if let Some(utilization) = self.utilization.get(endpoint) {
                // At least 1: 0 stands for an endpoint that reports none.
                sum.utilization_permille = ((utilization * 1000.0) as u16).max(1);
            }
        }
        counts
    }

    fn expire(&mut self, now: Timestamp) {
        let index = Bucket::index_at(now);
        for buckets in self.buckets.values_mut() {
            buckets.retain(|bucket| index - bucket.index < BUCKETS);
        }
        self.buckets.retain(|_, buckets| !buckets.is_empty());
        self.last_answer_at.retain(|_, at| now - *at < LAST_ANSWER_RETENTION);
        self.recent_failures.retain(|_, failures| now - failures.last_at < FAILURE_RETENTION);
        let buckets = &self.buckets;
        self.utilization.retain(|endpoint, _| buckets.contains_key(endpoint));
    }
}

#[cfg(test)]
mod tests;
