//! When discovery is called again after a failure, and how long a call may take.

use super::error::DiscoveryError;
use crate::config::Limits;
use fastrand::Rng;
use std::time::Duration;

/// How long a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTimes {
    /// How long discovery is asked to hold the call until the list changes.
    pub(super) watch_timeout: Duration,
    /// How long the call may take in all.
    pub(super) timeout: Duration,
}

/// Exponential backoff with jitter. Poolers start, fail and recover together: each chooses its own time, or discovery
/// would receive all their calls at once again.
pub(super) struct Backoff<'a> {
    rng: Rng,
    limits: &'a Limits,
    /// The pause after the next failure, before jitter.
    next_pause: Duration,
    /// How long discovery may take to answer beyond the watch; `None`: no call has failed since the last answer.
    timeout_after_failure: Option<Duration>,
}

impl<'a> Backoff<'a> {
    /// A backoff after which no call has failed yet.
    pub(super) fn new(limits: &'a Limits, seed: u64) -> Backoff<'a> {
        let (first_pause, _) = limits.discovery_backoff;
        Backoff { rng: Rng::with_seed(seed), limits, next_pause: first_pause, timeout_after_failure: None }
    }

    /// Records that a call was answered, or that what failed no longer counts.
    pub(super) fn reset(&mut self) {
        let (first_pause, _) = self.limits.discovery_backoff;
        self.next_pause = first_pause;
        self.timeout_after_failure = None;
    }

    /// How long the next call may take: a watch for changes, or a call for the whole list.
    ///
    /// After a failure a watch is short: discovery's changes count from the time at which they are there, whether or
    /// not a watch is open, and the time in which a silent call is waited for is lost. Discovery gets more time to
    /// answer with every failure: it may have other poolers to answer first.
    pub(super) fn call_times(&self, is_watch: bool) -> CallTimes {
        let limits = self.limits;
        if !is_watch {
            return CallTimes {
                watch_timeout: Duration::ZERO,
                timeout: limits.discovery_timeout_after_failure,
            };
        }
        let (watch_timeout, answer_timeout) = match self.timeout_after_failure {
            None => (limits.discovery_watch_timeout, limits.discovery_timeout),
            Some(timeout) => (limits.discovery_recheck_timeout, timeout),
        };
        CallTimes { watch_timeout, timeout: watch_timeout + answer_timeout }
    }

    /// Records that a call failed, and returns the pause before the next one.
    pub(super) fn record_failure(&mut self, error: &DiscoveryError) -> Duration {
        let limits = self.limits;
        let (_, longest_pause) = limits.discovery_backoff;
        let pause = self.next_pause.mul_f64(0.5 + self.rng.f64());
        self.next_pause = (self.next_pause * 2).min(longest_pause);
        let timeout = self.timeout_after_failure.map_or(limits.discovery_timeout, |timeout| timeout * 2);
        self.timeout_after_failure = Some(timeout.min(limits.discovery_timeout_after_failure));
        match error {
            // Calls that wait at an overloaded discovery are what keeps the others out: all poolers of a tier together
            // must call less often than it answers.
            DiscoveryError::Overloaded { .. } => pause.max(limits.discovery_spread.mul_f64(self.rng.f64())),
            _ => pause,
        }
    }
}

#[cfg(test)]
mod tests;
