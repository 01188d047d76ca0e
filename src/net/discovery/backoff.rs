//! Timeouts of calls to discovery, and the pauses between calls after failures.

use super::error::DiscoveryError;
use crate::config::Limits;
use fastrand::Rng;
use std::time::Duration;

/// The times of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTimes {
    /// How long discovery may hold the call while the list does not change; zero to fetch the whole list.
    pub(super) watch_timeout: Duration,
    /// How long the call may take in total, from connecting to the complete response.
    pub(super) timeout: Duration,
}

/// Exponential backoff with jitter. The poolers of a tier start, lose discovery and recover at the same time; without
/// jitter discovery would keep receiving all their calls at once.
pub(super) struct Backoff<'a> {
    rng: Rng,
    limits: &'a Limits,
    /// The pause after the next failure, before jitter.
    next_pause: Duration,
    /// How long discovery may take to respond in addition to `CallTimes::watch_timeout`; `None` if no call has failed
    /// since the last response.
    timeout_after_failure: Option<Duration>,
    /// Whether discovery has responded to the last call, though without a list.
    has_responded: bool,
}

impl<'a> Backoff<'a> {
    /// A backoff without failures. `seed` initializes the random numbers for jitter.
    pub(super) fn new(limits: &'a Limits, seed: u64) -> Backoff<'a> {
        Backoff {
            rng: Rng::with_seed(seed),
            limits,
            next_pause: limits.discovery_backoff.min,
            timeout_after_failure: None,
            has_responded: false,
        }
    }

    /// Records that a call has succeeded, or that earlier failures no longer matter.
    pub(super) fn reset(&mut self) {
        self.next_pause = self.limits.discovery_backoff.min;
        self.timeout_after_failure = None;
    }

    /// The times of the next call: a watch that discovery may usually hold for `watch_timeout`, or, with `None`, a call
    /// that fetches the whole list.
    ///
    /// After a failure, watches are short. A change takes effect when it is made, even if no call is waiting for it, so
    /// the time spent on a call that gets no response delays its receipt. With each failure discovery gets more time to
    /// respond, since it may have to respond to other poolers first.
    pub(super) fn call_times(&self, watch_timeout: Option<Duration>) -> CallTimes {
        let limits = self.limits;
        let Some(watch_timeout) = watch_timeout else {
            return CallTimes {
                watch_timeout: Duration::ZERO,
                timeout: limits.discovery_timeout_after_failure,
            };
        };
        let (watch_timeout, answer_timeout) = match self.timeout_after_failure {
            None => (watch_timeout, limits.discovery_timeout),
            Some(timeout) => (watch_timeout.min(limits.discovery_recheck_timeout), timeout),
        };
        CallTimes { watch_timeout, timeout: watch_timeout + answer_timeout }
    }

    /// Records that a call failed, and returns the pause before the next one.
    pub(super) fn record_failure(&mut self, error: &DiscoveryError) -> Duration {
        let limits = self.limits;
        let had_responded = std::mem::replace(&mut self.has_responded, error.kind().is_response());
        if self.has_responded && !had_responded {
            // Discovery is back, so the failures until now do not matter.
            self.next_pause = limits.discovery_backoff.min;
        }
        let pause = self.next_pause.mul_f64(0.5 + self.rng.f64());
        self.next_pause = (self.next_pause * 2).min(limits.discovery_backoff.max);
        let timeout = self.timeout_after_failure.map_or(limits.discovery_timeout, |timeout| timeout * 2);
        self.timeout_after_failure = Some(timeout.min(limits.discovery_timeout_after_failure));
        match error {
            // Waiting calls are what keeps discovery overloaded. All poolers of a tier together must call less often
            // than discovery can respond.
            DiscoveryError::Overloaded { .. } => {
                let spread = limits.discovery_spread.mul_f64(self.rng.f64());
                pause.min(limits.discovery_overload_pause).max(spread)
            }
            _ => pause,
        }
    }
}

#[cfg(test)]
mod tests;
