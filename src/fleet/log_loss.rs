//! Decides which commits of a group were lost, from what its primary reports after a restart. No I/O.
//!
//! Commits carry times of the primary's clock, and a restart is dated by this node's clock. The two may differ by up to
//! [`MAX_CLOCK_ERROR`]. Every position that a primary reports is a time that its clock had reached when the report was
//! made, so each report gives a lower bound for the difference; a position that is higher than in the report before was
//! committed after that one, which gives an upper bound. The clock is taken to be right unless these bounds show that it
//! is not; a loss is declared up to the restart by the clock so assumed.

use super::gossip::PrimaryBelief;
use crate::engine::log_rollback::LogRollback;
use crate::engine::observations::Observation;
use crate::ids::GroupId;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// The most by which the clock of an endpoint may be ahead of this node's.
const MAX_CLOCK_ERROR: TimeDelta = TimeDelta::from_secs(1);

/// The same, for a clock that is behind.
const MIN_CLOCK_ERROR: TimeDelta = TimeDelta::from_secs(-1);

/// A clock is taken to be behind only if the upper bound shows at least this difference, since reports may wait before
/// they are read.
const MIN_CLOCK_LAG: TimeDelta = TimeDelta::from_millis(100);

/// A bound for a clock is replaced by a wider one after this time, since clocks drift and are set.
const CLOCK_BOUND_TTL: TimeDelta = TimeDelta::from_secs(60);

/// A rollback is extended in steps of at least this size, since each extension costs a message to every peer. An endpoint
/// takes longer to start, so no commit is that close to its start.
const MIN_EXTENSION: TimeDelta = TimeDelta::from_millis(10);

/// A position that an endpoint reported while it was the primary.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryPosition {
    /// The endpoint's group.
    pub group: GroupId,
    /// The position, by the endpoint's clock.
    pub position: LogPosition,
    /// When the report arrived, by this node's clock.
    pub observed_at: Timestamp,
}

/// A bound for the time by which an endpoint's clock is ahead of this node's; negative if it is behind.
#[derive(Clone, Copy, Debug)]
struct ClockBound {
    lead: TimeDelta,
    observed_at: Timestamp,
}

impl ClockBound {
    /// Whether a bound that was observed at `now` replaces this one although it is wider.
    fn is_outdated(&self, now: Timestamp) -> bool {
        now - self.observed_at > CLOCK_BOUND_TTL
    }
}

/// What the positions of an endpoint show about its clock.
#[derive(Clone, Copy, Debug)]
struct EndpointClock {
    at_least: ClockBound,
    /// `None` until a position has increased.
    at_most: Option<ClockBound>,
    /// The last position, and when it was observed last.
    last: PrimaryPosition,
}

impl EndpointClock {
    fn new(reported: PrimaryPosition) -> EndpointClock {
        EndpointClock { at_least: lower_bound(reported), at_most: None, last: reported }
    }

    fn record(&mut self, reported: PrimaryPosition) {
        let now = reported.observed_at;
        if reported.group != self.last.group {
            *self = EndpointClock::new(reported);
        }
        if now < self.last.observed_at {
            return;
        }
        let at_least = lower_bound(reported);
        if at_least.lead >= self.at_least.lead || self.at_least.is_outdated(now) {
            self.at_least = at_least;
        }
        if reported.position > self.last.position {
            let at_most =
                ClockBound { lead: lead(reported.position, self.last.observed_at), observed_at: now };
            if self.at_most.is_none_or(|known| at_most.lead <= known.lead || known.is_outdated(now)) {
                self.at_most = Some(at_most);
            }
        }
        self.last = reported;
    }

    /// How far the clock is assumed to be ahead: not at all unless the bounds show otherwise, and then as little as they
    /// allow.
    fn assumed_lead(&self) -> TimeDelta {
        let is_behind = self.at_most.is_some_and(|at_most| at_most.lead <= TimeDelta::ZERO - MIN_CLOCK_LAG);
        if is_behind { self.at_least.lead } else { self.at_least.lead.or_zero() }
    }
}

fn lead(position: LogPosition, at: Timestamp) -> TimeDelta {
    (position.commit_time(Timestamp::ZERO) - at).clamp(MIN_CLOCK_ERROR, MAX_CLOCK_ERROR)
}

fn lower_bound(reported: PrimaryPosition) -> ClockBound {
    let PrimaryPosition { position, observed_at, .. } = reported;
    let rounded_up_at = observed_at + LogPosition::RESOLUTION;
    ClockBound { lead: lead(position, rounded_up_at), observed_at }
}

/// A log that ended at `from` when its primary had started. What was committed after that and before the start is lost.
#[derive(Clone, Copy, Debug)]
struct SuspectedLoss {
    group: GroupId,
    from: LogPosition,
    /// A position that was reported before, and that the log no longer reaches; `from` if there is none.
    known_lost: LogPosition,
    /// The primary had started by this time, by this node's clock, and committed nothing since.
    started_by: Timestamp,
    /// The end of the rollback that was returned last; `None` before the first one.
    declared_until: Option<LogPosition>,
}

/// Detects losses of commits from the reports of primaries, including those that peers received.
#[derive(Debug, Default)]
pub struct LossDetector {
    clocks: BTreeMap<String, EndpointClock>,
    suspected: BTreeMap<String, SuspectedLoss>,
}

impl LossDetector {
    /// Records an own observation of an endpoint in `group`, whose primary is believed to be `belief`. Returns the
    /// rollback of the group's log if one is new, or extends further than the last one that was returned.
    pub fn observe(
        &mut self,
        group: GroupId,
        observation: &Observation,
        belief: Option<&PrimaryBelief>,
    ) -> Option<LogRollback> {
        let endpoint = &observation.endpoint_name;
        if !observation.primary || is_replaced(observation, belief) {
            self.suspected.remove(endpoint);
            return None;
        }
        if let Some(loss) = suspected_loss(group, observation) {
            self.suspect(endpoint, loss);
        }
        let Observation { position, observed_at, .. } = *observation;
        self.observe_position(endpoint, PrimaryPosition { group, position, observed_at })
    }

    /// Records the position of a primary, which it reported to this node or to a peer. Returns a rollback as
    /// [`LossDetector::observe`] does.
    pub fn observe_position(&mut self, endpoint: &str, reported: PrimaryPosition) -> Option<LogRollback> {
        if !reported.position.is_known() {
            return None;
        }
        let clock = self.clocks.entry(endpoint.to_string()).or_insert_with(|| EndpointClock::new(reported));
        clock.record(reported);
        let lead = clock.assumed_lead();
        let loss = self.suspected.get_mut(endpoint)?;
        if loss.group != reported.group {
            self.suspected.remove(endpoint);
            return None;
        }
        loss.next_rollback(lead)
    }

    /// Forgets the endpoints for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.clocks.retain(|endpoint, _| is_listed(endpoint));
        self.suspected.retain(|endpoint, _| is_listed(endpoint));
    }

    /// Keeps a suspected loss, unless the log's end was known earlier after the same start.
    fn suspect(&mut self, endpoint: &str, loss: SuspectedLoss) {
        let known = self.suspected.get(endpoint);
        let is_known = known.is_some_and(|known| {
            known.group == loss.group && known.started_by == loss.started_by && known.from <= loss.from
        });
        if !is_known {
            self.suspected.insert(endpoint.to_string(), loss);
        }
    }
}

impl SuspectedLoss {
    /// The rollback up to the start by the primary's clock, which is taken to be ahead by `lead`. `None` if it is empty, or
    /// does not extend the last one by [`MIN_EXTENSION`].
    fn next_rollback(&mut self, lead: TimeDelta) -> Option<LogRollback> {
        let started_by = LogPosition::of_commit(self.started_by + lead, Timestamp::ZERO);
        let to = started_by.max(self.known_lost);
        let is_new = match self.declared_until {
            Some(declared_until) => to >= declared_until + MIN_EXTENSION,
            None => to > self.from,
        };
        if !is_new {
            return None;
        }
        self.declared_until = Some(to);
        Some(LogRollback { group: self.group, from: self.from, to })
    }
}

/// Whether another endpoint was observed as the primary after this one started: this one has just been demoted, and its
/// log is not the group's.
fn is_replaced(observation: &Observation, belief: Option<&PrimaryBelief>) -> bool {
    belief.is_some_and(|belief| {
        belief.endpoint != observation.endpoint_name && Some(belief.observed_at) > observation.started_at
    })
}

/// The loss that a primary's report may show.
fn suspected_loss(group: GroupId, observation: &Observation) -> Option<SuspectedLoss> {
    if let Some(regression) = observation.regression {
        return Some(SuspectedLoss {
            group,
            from: regression.position,
            known_lost: regression.previous,
            started_by: regression.restarted_by,
            declared_until: None,
        });
    }
    // The log of a primary ended before its start, so it has lost everything written in between. The answer to an
    // update does not state where the log ends, nor does one from before the start.
    let started_by = observation.started_at?;
    let applied = observation.applied.filter(|applied| applied.requested_at >= started_by)?;
    let from = applied.position;
    let is_from_before_start = from.commit_time(Timestamp::ZERO) < started_by + MAX_CLOCK_ERROR;
    is_from_before_start.then_some(SuspectedLoss {
        group,
        from,
        known_lost: from,
        started_by,
        declared_until: None,
    })
}

#[cfg(test)]
mod tests;
