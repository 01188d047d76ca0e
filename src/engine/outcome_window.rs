//! A sliding window of attempt outcomes per endpoint, from which the fleet detects failing zones. The request engine
//! records outcomes, and the fleet reads the window periodically. No I/O.
//!
//! An overdue attempt counts as unanswered even before it times out, since in a failed zone no attempt ends.

use crate::routing::{AttemptOutcome, EndpointId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Number of buckets in the window. They expire one by one.
const BUCKETS: i64 = 6;
const BUCKET_LENGTH: TimeDelta = TimeDelta::from_millis(100);
/// The length of the window, which ends at the time of reading.
pub const WINDOW_LENGTH: TimeDelta = TimeDelta::from_micros(BUCKETS * BUCKET_LENGTH.as_micros());
/// An answer is late if it took longer than this multiple of its class's usual latency plus [`LATENCY_JITTER`].
const LATE_LATENCY_FACTOR: f64 = 5.0;
/// Allowance for latency that scheduling and the network may add to any answer.
const LATENCY_JITTER: TimeDelta = TimeDelta::from_millis(30);
/// The shortest time after which an attempt is overdue, since a short pause of an endpoint is not a failure. Also
/// replaces the multiple of the usual latency for a class whose usual latency is not known yet.
const MIN_OVERDUE_AFTER: TimeDelta = TimeDelta::from_millis(400);
/// How long failures since an endpoint's last answer are reported. A failed endpoint gets few attempts, so its failures
/// would otherwise expire between two of them. Shorter than the time for which a zone stays evacuated.
const FAILURE_RETENTION: TimeDelta = TimeDelta::from_secs(2);
/// The number of failures of each kind that are reported after they have left the window, at most.
const MAX_RETAINED_FAILURES: u32 = 4;
/// How long the time of an endpoint's last answer is kept. No attempt is in flight for longer than this.
const LAST_ANSWER_RETENTION: TimeDelta = TimeDelta::from_secs(600);
/// Weight of an answer slower than the moving average of its class's latency. It is small, so that the average stays at
/// the latency of healthy endpoints while others are slow.
const SLOWER_ANSWER_WEIGHT: f64 = 0.01;
/// Weight of an answer faster than that average.
const FASTER_ANSWER_WEIGHT: f64 = 0.1;
/// Weight of a reported value in the moving average of an endpoint's utilization.
const UTILIZATION_SAMPLE_WEIGHT: f64 = 0.1;

/// How many attempts of one process at one endpoint had which outcome within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Attempts that were answered within the usual time of their class.
    pub on_time: u32,
    /// Attempts that were answered later than that, or are overdue while the endpoint has answered others since.
    pub late: u32,
    /// Attempts without an answer: overdue, cancelled when overdue, timed out, or cut off by a broken connection.
    pub unanswered: u32,
    /// Attempts for which no connection could be established.
    pub connect_failed: u32,
    /// Moving average of the utilization that the endpoint reports, per mille and at least 1; 0 if it reports none.
    pub utilization_permille: u16,
}

impl OutcomeCounts {
    /// How an ended attempt is counted; `None` if it shows nothing about its endpoint.
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
            // An attempt that was cancelled earlier might still have been answered on time.
            AttemptOutcome::Cancelled if took > bounds.overdue_after => counts.unanswered = 1,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::FreshnessExpired => {
                return None;
            }
        }
        Some(counts)
    }

    /// Whether the endpoint answered at least one attempt.
    fn is_answered(&self) -> bool {
        self.on_time + self.late > 0
    }

    fn add(&mut self, other: &OutcomeCounts) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.connect_failed += other.connect_failed;
    }

    /// Number of attempts with any of the four outcomes.
    pub fn total(&self) -> u32 {
        self.on_time + self.late + self.unanswered + self.connect_failed
    }
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The endpoint to which the attempt was sent.
    pub endpoint: EndpointId,
    /// The class number of the request.
    pub class: usize,
    /// When the attempt was sent.
    pub sent_at: Timestamp,
}

/// The latencies from which on attempts of a class are late or overdue.
#[derive(Clone, Copy, Debug)]
struct LatencyBounds {
    late_after: TimeDelta,
    overdue_after: TimeDelta,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Number of bucket lengths between the clock's zero and the start of the bucket.
    index: i64,
    counts: OutcomeCounts,
}

impl Bucket {
    fn index_at(now: Timestamp) -> i64 {
        now.since(Timestamp::ZERO) / BUCKET_LENGTH
    }
}

/// The failures of an endpoint since its last answer.
#[derive(Clone, Copy, Debug, Default)]
struct RecentFailures {
    counts: OutcomeCounts,
    last_at: Timestamp,
}

/// The windows of all endpoints. Nothing is recorded until the first read, since nothing reads the window in a pooler
/// without a fleet.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    recording: bool,
    buckets: BTreeMap<EndpointId, Vec<Bucket>>,
    /// The moving average of answer latencies in microseconds, by class number.
    usual_latency_micros: BTreeMap<usize, f64>,
    /// The moving average of the utilization that each endpoint reports, from 0 to 1.
    utilization: BTreeMap<EndpointId, f64>,
    /// When each endpoint last answered an attempt. Answers to health checks do not count, since a health check
    /// involves no work.
    last_answer_at: BTreeMap<EndpointId, Timestamp>,
    recent_failures: BTreeMap<EndpointId, RecentFailures>,
}

impl OutcomeWindow {
    fn latency_bounds(&self, class: usize) -> LatencyBounds {
        let bound = match self.usual_latency_micros.get(&class) {
            Some(usual) => TimeDelta::from_micros_f64(usual * LATE_LATENCY_FACTOR),
            None => MIN_OVERDUE_AFTER,
        };
        let late_after = bound + LATENCY_JITTER;
        LatencyBounds { late_after, overdue_after: late_after.max(MIN_OVERDUE_AFTER) }
    }

    /// Records the outcome of an attempt that ended now.
    pub fn record(&mut self, now: Timestamp, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        if !self.recording {
            return;
        }
        let InFlightAttempt { endpoint, class, sent_at } = *attempt;
        let took = now - sent_at;
        let Some(counts) = OutcomeCounts::of_attempt(outcome, took, self.latency_bounds(class)) else {
            return;
        };
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
        self.add_to_window(now, endpoint, counts);
    }

    fn record_latency(&mut self, class: usize, took: TimeDelta) {
        let took = took.as_micros_f64();
        let usual = self.usual_latency_micros.entry(class).or_insert(took);
        let weight = if took > *usual { SLOWER_ANSWER_WEIGHT } else { FASTER_ANSWER_WEIGHT };
        *usual += (took - *usual) * weight;
    }

    fn add_to_window(&mut self, now: Timestamp, endpoint: EndpointId, counts: OutcomeCounts) {
        let index = Bucket::index_at(now);
        let buckets = self.buckets.entry(endpoint).or_default();
        buckets.retain(|bucket| index - bucket.index < BUCKETS);
        match buckets.last_mut() {
            Some(bucket) if bucket.index == index => bucket.counts.add(&counts),
            _ => buckets.push(Bucket { index, counts }),
        }
    }

    /// Records the utilization that an endpoint reported, from 0 to 1.
    pub fn record_utilization(&mut self, endpoint: EndpointId, utilization: f64) {
        if !self.recording {
            return;
        }
        let average = self.utilization.entry(endpoint).or_insert(utilization);
        *average += (utilization.clamp(0.0, 1.0) - *average) * UTILIZATION_SAMPLE_WEIGHT;
    }

    /// Whether an attempt has been in flight for longer than a healthy endpoint needs for its class.
    pub fn is_overdue(&self, now: Timestamp, attempt: &InFlightAttempt) -> bool {
        now - attempt.sent_at > self.latency_bounds(attempt.class).overdue_after
    }

    /// The outcomes of attempts at each endpoint within the window. `in_flight` yields all attempts that have not
    /// ended. The first call starts the recording.
    pub fn read(
        &mut self,
        now: Timestamp,
        in_flight: impl Iterator<Item = InFlightAttempt>,
    ) -> BTreeMap<EndpointId, OutcomeCounts> {
        self.recording = true;
        self.drop_expired(now);
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
            // An endpoint that has answered another attempt since is slow or lost one message, but it has not failed.
            if self.last_answer_at.get(&attempt.endpoint).is_some_and(|at| *at >= attempt.sent_at) {
                sum.late += 1;
            } else {
                sum.unanswered += 1;
            }
        }
        for (endpoint, sum) in &mut counts {
            if let Some(utilization) = self.utilization.get(endpoint) {
                // At least 1, since 0 means that the endpoint reports no utilization.
                sum.utilization_permille = ((utilization * 1000.0) as u16).max(1);
            }
        }
        counts
    }

    fn drop_expired(&mut self, now: Timestamp) {
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
