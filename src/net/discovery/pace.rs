//! How often discovery may be called: how long it may hold a watch, when a call without a response is overdue, and how
//! often an overdue discovery is probed. No I/O.

use crate::config::Limits;
use crate::engine::endpoints::{EndpointUpdate, ListCoverage};
use fastrand::Rng;
use std::time::Duration;

/// A probe comes after this fraction of the interval at the earliest. The poolers of a tier lose discovery at the same
/// time and must not probe it in lockstep.
const SHORTEST_PROBE_INTERVAL: f64 = 0.75;

/// What the last response shows of discovery's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Responsiveness {
    Prompt,
    /// It came this long after it was due, and the one before was not late: discovery may have been down for that long.
    LateOnce(Duration),
    /// The last two were late, the last one by this long.
    Late(Duration),
    /// Discovery rejected the call for lack of capacity.
    Overloaded,
}

/// A response to a call that was not interrupted.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedResponse<'a> {
    pub(super) list: &'a EndpointUpdate,
    /// How long discovery was allowed to hold the call; zero for the whole list.
    pub(super) watch_timeout: Duration,
    /// Time from the start of the call to its response.
    pub(super) took: Duration,
    /// Whether the list's index is that of the known list.
    pub(super) is_unchanged: bool,
}

/// The pace of calls. While discovery responds promptly, watches are short, so that an outage is noticed soon after it
/// begins. A discovery that responds late, rejects calls, or answers each watch with the whole list is called less often.
pub(super) struct Pace<'a> {
    limits: &'a Limits,
    rng: Rng,
    responsiveness: Responsiveness,
    /// Whether a watch that ended without a change was answered with the whole list.
    sends_whole_lists: bool,
}

impl<'a> Pace<'a> {
    /// The pace for a discovery that has not responded yet. `seed` initializes the random numbers for jitter.
    pub(super) fn new(limits: &'a Limits, seed: u64) -> Pace<'a> {
        let rng = Rng::with_seed(seed);
        Pace { limits, rng, responsiveness: Responsiveness::Prompt, sends_whole_lists: false }
    }

    /// Forgets all responses, because another discovery is called from now on.
    pub(super) fn reset(&mut self) {
        self.responsiveness = Responsiveness::Prompt;
        self.sends_whole_lists = false;
    }

    /// Records a response with a list.
    pub(super) fn record_response(&mut self, response: TimedResponse<'_>) {
        let TimedResponse { list, watch_timeout, took, is_unchanged } = response;
        if took < watch_timeout {
            // A watch that was answered before it expired says nothing about how long a response takes.
            return;
        }
        let late_by = took - watch_timeout;
        self.responsiveness = match self.responsiveness {
            _ if late_by <= self.limits.discovery_probe_interval => Responsiveness::Prompt,
            Responsiveness::LateOnce(_) | Responsiveness::Late(_) => Responsiveness::Late(late_by),
            Responsiveness::Prompt | Responsiveness::Overloaded => Responsiveness::LateOnce(late_by),
        };
        if is_unchanged {
            self.sends_whole_lists = list.coverage == ListCoverage::Complete;
        }
    }

    /// Records that discovery rejected a call for lack of capacity.
    pub(super) fn record_overload(&mut self) {
        self.responsiveness = Responsiveness::Overloaded;
    }

    /// How long discovery may hold a watch.
    pub(super) fn watch_timeout(&self) -> Duration {
        let is_under_load =
            matches!(self.responsiveness, Responsiveness::Late(_) | Responsiveness::Overloaded);
        if is_under_load || self.sends_whole_lists {
            self.limits.discovery_watch_timeout
        } else {
            self.limits.discovery_short_watch_timeout
        }
    }

    /// How long after [`Pace::watch_timeout`] a call is overdue, so that discovery is probed.
    pub(super) fn overdue_after(&self) -> Duration {
        let limits = self.limits;
        match self.responsiveness {
            Responsiveness::Prompt => limits.discovery_probe_interval,
            Responsiveness::LateOnce(late_by) | Responsiveness::Late(late_by) => {
                (late_by * 2).min(limits.discovery_timeout_after_failure)
            }
            Responsiveness::Overloaded => limits.discovery_timeout,
        }
    }

    /// The time from one probe to the next, and until a probe is given up.
    pub(super) fn probe_interval(&mut self) -> Duration {
        let jitter = SHORTEST_PROBE_INTERVAL + (1.0 - SHORTEST_PROBE_INTERVAL) * self.rng.f64();
        self.limits.discovery_probe_interval.mul_f64(jitter)
    }
}

#[cfg(test)]
mod tests;
