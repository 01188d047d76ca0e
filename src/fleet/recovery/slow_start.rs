//! How much load a cold endpoint can take, and the share of it that this process may send.
//!
//! An endpoint that has just started has only part of its capacity and fails under a multiple of that. All processes
//! together have to stay below that load, whichever of them reach one another.

use crate::time::TimeDelta;

/// The maximum load that all processes together admit to a cold endpoint, as a fraction of the load at which it fails.
const SAFE_LOAD_FRACTION: f64 = 0.8;
/// The fraction of that load reserved for the processes that reach no majority, all of them together.
const MINORITY_LOAD_FRACTION: f64 = 0.5;

/// How cold endpoints behave, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// The fraction of its capacity that an endpoint has at its start.
    pub initial_share: f64,
    /// Time from an endpoint's start until it has its full capacity.
    pub warm_up: TimeDelta,
    /// An endpoint fails under a load above this multiple of its current capacity.
    pub overload_multiple: f64,
}

impl SlowStartPolicy {
    /// The minimum fraction of its full capacity that an endpoint has at this age. An endpoint without a known start
    /// (`None`) counts as warm.
    pub fn capacity_share(&self, age: Option<TimeDelta>) -> f64 {
        let Some(age) = age else { return 1.0 };
        let warm_up = self.warm_up.max(TimeDelta::from_micros(1));
        let progress = age.or_zero().as_micros_f64() / warm_up.as_micros_f64();
        (self.initial_share + (1.0 - self.initial_share) * progress).min(1.0)
    }

    /// Whether an endpoint of this age has its full capacity.
    pub(super) fn is_warm(&self, age: Option<TimeDelta>) -> bool {
        self.capacity_share(age) >= 1.0
    }
}

/// The load that one process may admit, as a multiple of the endpoints' current capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionShare {
    /// The load to start with.
    pub initial: f64,
    /// The upper limit, reached once responses have shown that the endpoints can take it.
    pub maximum: f64,
}

impl AdmissionShare {
    /// The share of one of `members` processes that reaches `reachable` of them, itself included. Processes that reach
    /// a majority divide among themselves what is not reserved for the others. A process without a majority takes its
    /// part as if all members were running, since the others may be running and serving. For `overload_multiple` see
    /// [`SlowStartPolicy::overload_multiple`].
    pub fn new(members: usize, reachable: usize, overload_multiple: f64) -> AdmissionShare {
        let members = members.max(1);
        let reachable = reachable.clamp(1, members);
        let safe_load = overload_multiple * SAFE_LOAD_FRACTION;
        let reaches_majority = reachable * 2 > members;
        if !reaches_majority {
            let maximum = safe_load * MINORITY_LOAD_FRACTION / members as f64;
            return AdmissionShare { initial: (1.0 / members as f64).min(maximum), maximum };
        }
        let reserved_for_others =
            safe_load * MINORITY_LOAD_FRACTION * (members - reachable) as f64 / members as f64;
        let maximum = (safe_load - reserved_for_others) / reachable as f64;
        AdmissionShare { initial: (1.0 / reachable as f64).min(maximum), maximum }
    }
}

#[cfg(test)]
mod tests;
