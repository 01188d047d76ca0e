//! Admission control while service recovers: which requests of which groups are admitted, and at which rate. No I/O.
//!
//! The fleet sets the policy. Traffic of a group whose endpoints are warming up is paced by an AIMD controller, see
//! `paced_rate`. A request that is not admitted is rejected at once, with a retry-after hint.

mod paced_rate;
mod policy;

pub use policy::{AdmissionMode, AdmissionPolicy, CapacitySource, GroupAdmission, RequestKind};

use crate::routing::{AttemptOutcome, Class, GroupId, Settings, TimeDelta, Timestamp};
use paced_rate::{AnswerLatency, MIN_RETRY_AFTER, PacedRate};
use policy::Traffic;
use std::collections::BTreeMap;

/// The longest retry-after hint where the settings name none.
const DEFAULT_MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(1);
/// The latency objective of a class where the settings name none.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
/// An answer waited in a queue that took more than this multiple of the fastest of its class, plus
/// [`LATENCY_JITTER`]; it increases no rate.
const QUEUEING_LATENCY_FACTOR: f64 = 2.0;
/// Latency that scheduling and the network add to any answer.
const LATENCY_JITTER: TimeDelta = TimeDelta::from_millis(30);
/// An answer that took longer waited in a queue, however slow its class is.
const MAX_PROMPT_LATENCY: TimeDelta = TimeDelta::from_secs(1);
/// A queue in which answers wait for longer than this part of their class's latency objective is too long: it makes
/// the router send reads to endpoints that have better work to do.
const QUEUEING_OBJECTIVE_DIVISOR: i64 = 6;
/// Weight of each answer in the fastest latency of its class, so that an outlier is forgotten slowly.
const FASTEST_LATENCY_DRIFT: f64 = 0.002;
/// Multiples of the golden ratio's fraction fill the interval from 0 to 1 evenly, whatever their number (a Weyl
/// sequence).
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is.
    Admitted,
    /// It is rejected without effect.
    Rejected {
        /// When its client should try again.
        retry_after: TimeDelta,
    },
}

/// What the controller needs to know of a request class.
#[derive(Clone, Copy, Debug)]
struct ClassAdmission {
    kind: RequestKind,
    /// Number of distinct priority weights above its own among classes of the same traffic.
    classes_above: usize,
    latency_objective: TimeDelta,
    /// What its fastest answers take; `f64::MAX` before the first.
    fastest_micros: f64,
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
        // A class and its keyless variant have the same weight and count as one.
        weights_above.sort_by(f64::total_cmp);
        weights_above.dedup();
        ClassAdmission {
            kind,
            classes_above: weights_above.len(),
            latency_objective: class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            fastest_micros: f64::MAX,
        }
    }

    /// Records an answer's latency, and says whether it waited in a queue.
    fn record_latency(&mut self, took: TimeDelta) -> bool {
        let took_micros = took.as_micros_f64();
        self.fastest_micros = self.fastest_micros.min(took_micros);
        self.fastest_micros += (took_micros - self.fastest_micros) * FASTEST_LATENCY_DRIFT;
        let prompt = (self.fastest_micros * QUEUEING_LATENCY_FACTOR).min(MAX_PROMPT_LATENCY.as_micros_f64());
        took > TimeDelta::from_micros_f64(prompt) + LATENCY_JITTER
    }
}

/// Admits requests by a policy; all of them while none is set.
#[derive(Debug)]
pub struct AdmissionController {
    policy: Option<AdmissionPolicy>,
    paced: BTreeMap<(GroupId, Traffic), PacedRate>,
    /// By class number.
    classes: Vec<ClassAdmission>,
    max_retry_after: TimeDelta,
    /// Requests rejected so far, which spreads the hints for closed groups.
    rejected: u64,
    initial_tokens: fastrand::Rng,
}

impl AdmissionController {
    /// A controller without a policy. `seed` should differ between processes.
    pub fn new(settings: &Settings, seed: u64) -> AdmissionController {
        let classes = &settings.classes;
        AdmissionController {
            policy: None,
            paced: BTreeMap::new(),
            classes: classes.iter().map(|class| ClassAdmission::new(class, classes)).collect(),
            max_retry_after: settings.max_retry_after.unwrap_or(DEFAULT_MAX_RETRY_AFTER),
            rejected: 0,
            initial_tokens: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the policy; `None`: everything is admitted from now on. A rate that is being adapted goes on within its
    /// new bounds.
    pub fn set_policy(&mut self, now: Timestamp, policy: Option<AdmissionPolicy>) {
        let is_paced = |group: &GroupId, traffic: Traffic| {
            let group = policy.as_ref().and_then(|policy| policy.groups.get(group));
            group.is_some_and(|group| matches!(group.mode(traffic), AdmissionMode::Paced { .. }))
        };
        self.paced.retain(|(group, traffic), _| is_paced(group, *traffic));
        for (group, admission) in policy.iter().flat_map(|policy| &policy.groups) {
            for traffic in [Traffic::Writes, Traffic::Reads] {
                self.pace(now, *group, traffic, admission.mode(traffic));
            }
        }
        self.policy = policy;
    }

    /// Starts or adjusts the rate limit of one part of a group's traffic, if its mode has one.
    fn pace(&mut self, now: Timestamp, group: GroupId, traffic: Traffic, mode: AdmissionMode) {
        let AdmissionMode::Paced { capacity_per_s, max_per_s, capacity_source } = mode else { return };
        let paced = self.paced.entry((group, traffic)).or_insert_with(|| {
            // A whole token in each process would be a burst that grows with their number.
            PacedRate::new(now, capacity_per_s, max_per_s, self.initial_tokens.f64())
        });
        paced.set_bounds(capacity_per_s, max_per_s, capacity_source);
    }

    /// Decides on a request of the class with this number, for a group. Classes that the settings do not name are
    /// admitted.
    pub fn admit(&mut self, now: Timestamp, class: usize, group: GroupId) -> AdmissionDecision {
        let decision = self.decide(now, class, group);
        if decision != AdmissionDecision::Admitted {
            self.rejected += 1;
        }
        decision
    }

    fn decide(&mut self, now: Timestamp, class: usize, group: GroupId) -> AdmissionDecision {
        let Some(policy) = &self.policy else { return AdmissionDecision::Admitted };
        let Some(&ClassAdmission { kind, classes_above, .. }) = self.classes.get(class) else {
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
                AdmissionDecision::Rejected { retry_after: self.spread(retry_after) }
            }
            AdmissionMode::Paced { .. } => {
                let Some(paced) = self.paced.get_mut(&(group, kind.traffic())) else {
                    return AdmissionDecision::Admitted;
                };
                paced.take(now, classes_above, self.max_retry_after)
            }
        }
    }

    /// Spreads a retry-after hint over the same time again, since all clients would return in the moment in which the
    /// group opens.
    fn spread(&self, retry_after: TimeDelta) -> TimeDelta {
        let multiple = self.rejected as f64 * GOLDEN_RATIO_FRACTION;
        let fraction = multiple - multiple.floor();
        let spread = retry_after + TimeDelta::from_micros_f64(retry_after.as_micros_f64() * fraction);
        spread.clamp(MIN_RETRY_AFTER, self.max_retry_after.max(MIN_RETRY_AFTER))
    }

    /// Records the end of an attempt for a request of the class with this number, for a group.
    pub fn record_attempt(
        &mut self,
        now: Timestamp,
        class: usize,
        group: GroupId,
        took: TimeDelta,
        outcome: AttemptOutcome,
    ) {
        let Some(class) = self.classes.get_mut(class) else { return };
        let Some(paced) = self.paced.get_mut(&(group, class.kind.traffic())) else { return };
        let is_of_present_rate = paced.is_of_present_rate(now - took);
        match outcome {
            AttemptOutcome::Served => {
                let waited = class.record_latency(took);
                let too_long = took > class.latency_objective / QUEUEING_OBJECTIVE_DIVISOR;
                paced.record_served(match waited {
                    false => AnswerLatency::Prompt,
                    true if is_of_present_rate && too_long => AnswerLatency::Queued,
                    true => AnswerLatency::Delayed,
                });
            }
            AttemptOutcome::Overloaded | AttemptOutcome::TimedOut if is_of_present_rate => {
                paced.record_failed();
            }
            _ => {}
        }
        paced.advance(now);
    }
}

#[cfg(test)]
mod tests;
