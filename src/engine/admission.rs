//! Admission control while service recovers: which requests of each group are admitted, and at which rate. No I/O.
//!
//! The fleet sets the policy. While the endpoints of a group are warming up, the group's traffic is paced by an AIMD
//! controller, see `paced_rate`. A request that is not admitted is rejected at once with a retry-after hint.

mod paced_rate;
mod policy;

pub use policy::{AdmissionMode, AdmissionPolicy, CapacitySource, GroupAdmission, RequestKind};

use crate::routing::{AttemptOutcome, Class, GroupId, Settings, TimeDelta, Timestamp};
use paced_rate::{AnswerLatency, MIN_RETRY_AFTER, PacedRate};
use policy::Traffic;
use std::collections::BTreeMap;

/// The longest retry-after hint, unless the settings define one.
const DEFAULT_MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(1);
/// The latency objective of a class, unless the settings define one.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
/// An answer counts as delayed by a queue, and does not increase the rate, if it took longer than this multiple of its
/// class's fastest latency plus [`LATENCY_JITTER`].
const QUEUEING_LATENCY_FACTOR: f64 = 2.0;
/// Allowance for latency that scheduling and the network may add to any answer.
const LATENCY_JITTER: TimeDelta = TimeDelta::from_millis(30);
/// Upper limit of [`QUEUEING_LATENCY_FACTOR`] times the fastest latency of a class: an answer that took longer counts
/// as delayed by a queue, however slow its class is.
const MAX_PROMPT_LATENCY: TimeDelta = TimeDelta::from_secs(1);
/// A queue is too long if an answer takes longer than the latency objective of its class divided by this. Longer queues
/// make the router send reads to endpoints whose capacity is needed for other requests.
const QUEUEING_OBJECTIVE_DIVISOR: i64 = 6;
/// Weight of each answer in the fastest latency of its class. It raises the value slowly, so that a low outlier does
/// not persist.
const FASTEST_LATENCY_DRIFT: f64 = 0.002;
/// The fractional part of the golden ratio. The fractional parts of its multiples cover the interval from 0 to 1
/// evenly, whatever their number (a Weyl sequence).
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admitted,
    /// The request is rejected before any endpoint runs it.
    Rejected {
        /// How long the client should wait before it tries again.
        retry_after: TimeDelta,
    },
}

/// The controller's state of a request class.
#[derive(Clone, Copy, Debug)]
struct ClassAdmission {
    kind: RequestKind,
    /// Number of distinct higher priority weights among the classes of the same traffic.
    higher_priority_levels: usize,
    latency_objective: TimeDelta,
    /// The latency of the fastest answers; `f64::MAX` before the first answer.
    fastest_latency_micros: f64,
}

impl ClassAdmission {
    fn new(class: &Class, classes: &[Class]) -> ClassAdmission {
        let kind = RequestKind::of(class);
        let weight = |class: &Class| class.priority_weight.unwrap_or(1.0);
        let mut weights_above: Vec<f64> = classes
            .iter()
            .filter(|other| {
                RequestKind::of(other).traffic() == kind.traffic() && weight(other) > weight(class)
            })
            .map(weight)
            .collect();
        // A class and its keyless variant have the same weight and count as one level.
        weights_above.sort_by(f64::total_cmp);
        weights_above.dedup();
        ClassAdmission {
            kind,
            higher_priority_levels: weights_above.len(),
            latency_objective: class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            fastest_latency_micros: f64::MAX,
        }
    }

    /// Records the latency of an answer and returns whether a queue delayed it.
    fn record_latency(&mut self, took: TimeDelta) -> bool {
        let took_micros = took.as_micros_f64();
        self.fastest_latency_micros = self.fastest_latency_micros.min(took_micros);
        self.fastest_latency_micros += (took_micros - self.fastest_latency_micros) * FASTEST_LATENCY_DRIFT;
        let prompt =
            (self.fastest_latency_micros * QUEUEING_LATENCY_FACTOR).min(MAX_PROMPT_LATENCY.as_micros_f64());
        took > TimeDelta::from_micros_f64(prompt) + LATENCY_JITTER
    }
}

/// Admits requests according to a policy, and all requests while no policy is set.
#[derive(Debug)]
pub struct AdmissionController {
    policy: Option<AdmissionPolicy>,
    rate_limits: BTreeMap<(GroupId, Traffic), PacedRate>,
    /// Indexed by class number.
    classes: Vec<ClassAdmission>,
    max_retry_after: TimeDelta,
    /// Number of requests rejected so far. Spreads the retry-after hints for closed groups.
    rejected_count: u64,
    initial_token_rng: fastrand::Rng,
}

impl AdmissionController {
    /// A controller without a policy. `seed` should differ between processes, so that they do not admit their first
    /// requests at the same time.
    pub fn new(settings: &Settings, seed: u64) -> AdmissionController {
        let classes = &settings.classes;
        AdmissionController {
            policy: None,
            rate_limits: BTreeMap::new(),
            classes: classes.iter().map(|class| ClassAdmission::new(class, classes)).collect(),
            max_retry_after: settings.max_retry_after.unwrap_or(DEFAULT_MAX_RETRY_AFTER),
            rejected_count: 0,
            initial_token_rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the policy; with `None`, all requests are admitted from now on. Rates that are being adapted keep their
    /// current value within their new bounds.
    pub fn set_policy(&mut self, now: Timestamp, policy: Option<AdmissionPolicy>) {
        let is_paced = |group: &GroupId, traffic: Traffic| {
            let group = policy.as_ref().and_then(|policy| policy.groups.get(group));
            group.is_some_and(|group| matches!(group.mode(traffic), AdmissionMode::Paced { .. }))
        };
        self.rate_limits.retain(|(group, traffic), _| is_paced(group, *traffic));
        for (group, admission) in policy.iter().flat_map(|policy| &policy.groups) {
            for traffic in [Traffic::Writes, Traffic::Reads] {
                self.set_rate_limit(now, *group, traffic, admission.mode(traffic));
            }
        }
        self.policy = policy;
    }

    /// Creates or adjusts the rate limit of one part of a group's traffic, if its mode has a rate limit.
    fn set_rate_limit(&mut self, now: Timestamp, group: GroupId, traffic: Traffic, mode: AdmissionMode) {
        let AdmissionMode::Paced { capacity_per_s, max_per_s, capacity_source } = mode else { return };
        let rate_limit = self.rate_limits.entry((group, traffic)).or_insert_with(|| {
            // If each process started with a whole token, the first burst would grow with the number of processes.
            PacedRate::new(now, capacity_per_s, max_per_s, self.initial_token_rng.f64())
        });
        rate_limit.set_bounds(capacity_per_s, max_per_s, capacity_source);
    }

    /// Decides whether to admit a request for a group, by the number of its class. Requests of classes that the
    /// settings do not define are admitted.
    pub fn admit(&mut self, now: Timestamp, class: usize, group: GroupId) -> AdmissionDecision {
        let decision = self.decide(now, class, group);
        if decision != AdmissionDecision::Admitted {
            self.rejected_count += 1;
        }
        decision
    }

    fn decide(&mut self, now: Timestamp, class: usize, group: GroupId) -> AdmissionDecision {
        let Some(policy) = &self.policy else { return AdmissionDecision::Admitted };
        let Some(&ClassAdmission { kind, higher_priority_levels, .. }) = self.classes.get(class) else {
            return AdmissionDecision::Admitted;
        };
        let closed = AdmissionMode::Closed(policy.retry_after);
        let mode = match kind {
            RequestKind::EventualRead if !policy.admit_eventual_reads => closed,
            _ => policy.groups.get(&group).map_or(closed, |group| group.mode(kind.traffic())),
        };
        match mode {
            AdmissionMode::Open => AdmissionDecision::Admitted,
            AdmissionMode::Closed(retry_after) => {
                AdmissionDecision::Rejected { retry_after: self.spread_retry_after(retry_after) }
            }
            AdmissionMode::Paced { .. } => {
                let Some(rate_limit) = self.rate_limits.get_mut(&(group, kind.traffic())) else {
                    return AdmissionDecision::Admitted;
                };
                rate_limit.try_admit(now, higher_priority_levels, self.max_retry_after)
            }
        }
    }

    /// Lengthens a retry-after hint by up to its own length, evenly over successive requests. Otherwise all clients
    /// would return at the same moment when the group opens.
    fn spread_retry_after(&self, retry_after: TimeDelta) -> TimeDelta {
        let multiple = self.rejected_count as f64 * GOLDEN_RATIO_FRACTION;
        let fraction = multiple - multiple.floor();
        let spread = retry_after + TimeDelta::from_micros_f64(retry_after.as_micros_f64() * fraction);
        spread.clamp(MIN_RETRY_AFTER, self.max_retry_after.max(MIN_RETRY_AFTER))
    }

    /// Records the outcome of an attempt for a request for a group, by the number of the request's class.
    pub fn record_attempt(
        &mut self,
        now: Timestamp,
        class: usize,
        group: GroupId,
        took: TimeDelta,
        outcome: AttemptOutcome,
    ) {
        let Some(class) = self.classes.get_mut(class) else { return };
        let Some(rate_limit) = self.rate_limits.get_mut(&(group, class.kind.traffic())) else { return };
        let reflects_current_rate = rate_limit.reflects_current_rate(now - took);
        match outcome {
            AttemptOutcome::Served => {
                let was_delayed = class.record_latency(took);
                let too_long = took > class.latency_objective / QUEUEING_OBJECTIVE_DIVISOR;
                rate_limit.record_served(match was_delayed {
                    false => AnswerLatency::Prompt,
                    true if reflects_current_rate && too_long => AnswerLatency::ExcessiveDelay,
                    true => AnswerLatency::TolerableDelay,
                });
            }
            AttemptOutcome::Overloaded | AttemptOutcome::TimedOut if reflects_current_rate => {
                rate_limit.record_failed();
            }
            _ => {}
        }
        rate_limit.advance(now);
    }
}

#[cfg(test)]
mod tests;
