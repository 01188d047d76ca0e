//! What a cold endpoint bears, and this process's share of it.
//!
//! An endpoint that has just started has only a part of its capacity and falls over under a multiple of that. All
//! processes together have to stay below that load, whichever of them hear one another.

use crate::time::TimeDelta;

/// The part of the load under which a cold endpoint falls over that all processes together admit at most.
const SAFE_LOAD_FRACTION: f64 = 0.8;
/// The part of that left to the processes that hear no majority, all of them together.
const MINORITY_LOAD_FRACTION: f64 = 0.5;

/// How cold endpoints behave, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// The part of its capacity that an endpoint has at its start.
    pub share: f64,
    /// Time until it has all of it.
    pub warm_up: TimeDelta,
    /// It falls over above this multiple of the capacity that it has.
    pub multiple: f64,
}

impl SlowStartPolicy {
    /// The part of its capacity that an endpoint is sure to have at this age. `None`: its start is not known, and it
    /// counts as warm.
    pub fn capacity_share(&self, age: Option<TimeDelta>) -> f64 {
        let Some(age) = age else { return 1.0 };
        let warm_up = self.warm_up.max(TimeDelta::from_micros(1));
        let progress = age.or_zero().as_micros_f64() / warm_up.as_micros_f64();
        (self.share + (1.0 - self.share) * progress).min(1.0)
    }

    /// Whether an endpoint of this age has all of its capacity.
    pub(super) fn is_warm(&self, age: Option<TimeDelta>) -> bool {
        self.capacity_share(age) >= 1.0
    }
}

/// The load that one process may admit, as multiples of what the endpoints bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionShare {
    /// At the beginning.
    pub initial: f64,
    /// At the most, once answers have shown that the endpoints bear it.
    pub maximum: f64,
}

impl AdmissionShare {
    /// The share of one of `members` processes that hears `reachable` of them, itself included. A process that hears a
    /// majority divides with those it hears what the others leave; one that hears none takes its part as if all members
    /// were there, since the others may be there and serve. `overload_multiple`: see [`SlowStartPolicy::multiple`].
    pub fn new(members: usize, reachable: usize, overload_multiple: f64) -> AdmissionShare {
        let members = members.max(1);
        let reachable = reachable.clamp(1, members);
        let safe_load = overload_multiple * SAFE_LOAD_FRACTION;
        let hears_majority = reachable * 2 > members;
        if !hears_majority {
            let maximum = safe_load * MINORITY_LOAD_FRACTION / members as f64;
            return AdmissionShare { initial: (1.0 / members as f64).min(maximum), maximum };
        }
        let left_to_others =
            safe_load * MINORITY_LOAD_FRACTION * (members - reachable) as f64 / members as f64;
        let maximum = (safe_load - left_to_others) / reachable as f64;
        AdmissionShare { initial: (1.0 / reachable as f64).min(maximum), maximum }
    }
}

#[cfg(test)]
mod tests;
