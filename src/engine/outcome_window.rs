//! What became of the attempts at each host within the last moments, for whoever judges zones by it. Fed by the
//! owner, read now and then. No I/O.
//!
//! An attempt that is still out counts as silent before its time is over: in a zone that has gone nothing ends.

use crate::routing::{AttemptOutcome, EndpointId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A moment, in parts that fade one by one.
const PARTS: i64 = 6;
const PART: TimeDelta = TimeDelta::from_millis(100);
/// How long a moment is.
pub const WINDOW_LENGTH: TimeDelta = TimeDelta::from_micros(PARTS * PART.as_micros());
/// An answer is late that took so many times the usual of its class, and this more.
const LATE: f64 = 5.0;
const JITTER: TimeDelta = TimeDelta::from_millis(30);
/// An attempt that is out is silent after that time, and no sooner than after this.
const SILENT: TimeDelta = TimeDelta::from_millis(400);
/// What has failed at a host since its last answer is told for so long: it is tried seldom then, and nobody would know
/// that it is still gone. Less than a zone stays left.
const HELD: TimeDelta = TimeDelta::from_secs(2);
/// So many of a kind are.
const FEW: u32 = 4;
/// No attempt is out for so long.
const LONG: TimeDelta = TimeDelta::from_secs(600);
/// The usual is what sound hosts take: slower answers raise it slowly, faster ones lower it soon.
const RISE: f64 = 0.01;
const FALL: f64 = 0.1;

/// What one host did with the attempts of one daemon within the last moments.
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

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Where.
    pub endpoint: EndpointId,
    /// Its class.
    pub class: usize,
    /// When it was sent.
    pub sent: Timestamp,
}

/// All hosts. Off until somebody reads it: nothing is kept for nobody.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    on: bool,
    /// By host, the number of the part and what was seen in it.
    all: BTreeMap<EndpointId, Vec<(i64, OutcomeCounts)>>,
    usual: BTreeMap<usize, f64>,
    busy: BTreeMap<EndpointId, f64>,
    /// When each last answered an attempt: one that answers questions about itself alone does no work.
    answered: BTreeMap<EndpointId, Timestamp>,
    /// What failed since, and when last.
    failed: BTreeMap<EndpointId, (OutcomeCounts, Timestamp)>,
}

impl OutcomeWindow {
    fn bound(&self, class: usize) -> TimeDelta {
        self.usual.get(&class).map_or(SILENT, |usual| TimeDelta::from_micros_f64(usual * LATE)) + JITTER
    }

    /// An attempt that is out for longer is overdue.
    fn client_timeout(&self, class: usize) -> TimeDelta {
        self.bound(class).max(SILENT)
    }

    /// An attempt has ended. Whoever stops waiting early says nothing about the host.
    pub fn ended(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        class: usize,
        took: TimeDelta,
        outcome: AttemptOutcome,
    ) {
        if !self.on {
            return;
        }
        let bound = self.bound(class);
        let mut seen = OutcomeCounts::default();
        match outcome {
            AttemptOutcome::Served if took > bound => seen.late = 1,
            AttemptOutcome::Served
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Overloaded
            | AttemptOutcome::Error => seen.on_time = 1,
            AttemptOutcome::ConnectFailed => seen.connect_failed = 1,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset => seen.unanswered = 1,
            AttemptOutcome::Cancelled if took > self.client_timeout(class) => seen.unanswered = 1,
            _ => return,
        }
        if outcome == AttemptOutcome::Served {
            let usual = self.usual.entry(class).or_insert(took.as_micros_f64());
            let weight = if took.as_micros_f64() > *usual { RISE } else { FALL };
            *usual += (took.as_micros_f64() - *usual) * weight;
        }
        if seen.on_time + seen.late > 0 {
            self.answered.insert(endpoint, now);
            self.failed.remove(&endpoint);
        } else {
            let (failed, at) = self.failed.entry(endpoint).or_default();
            failed.add(&seen);
            *at = now;
        }
        let part = now.since(Timestamp::ZERO) / PART;
        let parts = self.all.entry(endpoint).or_default();
        parts.retain(|(n, _)| part - n < PARTS);
        match parts.last_mut() {
            Some((n, known)) if *n == part => known.add(&seen),
            _ => parts.push((part, seen)),
        }
    }

    /// A host has said which part of its capacity is in use.
    pub fn busy(&mut self, endpoint: EndpointId, util: f64) {
        if !self.on {
            return;
        }
        let known = self.busy.entry(endpoint).or_insert(util);
        *known += (util.clamp(0.0, 1.0) - *known) * FALL;
    }

    /// Whether an attempt has been out for longer than any sound answer of its class takes.
    pub fn is_overdue(&self, now: Timestamp, out: &InFlightAttempt) -> bool {
        now - out.sent > self.client_timeout(out.class)
    }

    /// What was seen of each host within the last moment. `out`: the attempts that are out now.
    pub fn read(
        &mut self,
        now: Timestamp,
        out: impl Iterator<Item = InFlightAttempt>,
    ) -> BTreeMap<EndpointId, OutcomeCounts> {
        self.on = true;
        let part = now.since(Timestamp::ZERO) / PART;
        self.all.retain(|_, parts| {
            parts.retain(|(n, _)| part - n < PARTS);
            !parts.is_empty()
        });
        self.answered.retain(|_, at| now - *at < LONG);
        self.failed.retain(|_, (_, at)| now - *at < HELD);
        let OutcomeWindow { all, busy, .. } = self;
        busy.retain(|endpoint, _| all.contains_key(endpoint));
        let mut seen: BTreeMap<EndpointId, OutcomeCounts> = BTreeMap::new();
        for (endpoint, parts) in &self.all {
            parts.iter().for_each(|(_, s)| seen.entry(*endpoint).or_default().add(s));
        }
        for (endpoint, (failed, _)) in &self.failed {
            let seen = seen.entry(*endpoint).or_default();
            seen.unanswered = seen.unanswered.max(failed.unanswered.min(FEW));
            seen.connect_failed = seen.connect_failed.max(failed.connect_failed.min(FEW));
        }
        for one in out.filter(|out| self.is_overdue(now, out)) {
            let seen = seen.entry(one.endpoint).or_default();
            // Whatever comes of it, it is late: where one request in three gets lost its host answers the others.
            if self.answered.get(&one.endpoint).is_some_and(|at| *at >= one.sent) {
                seen.late += 1;
            } else {
                seen.unanswered += 1;
            }
        }
        for (endpoint, seen) in &mut seen {
            seen.utilization_permille =
                self.busy.get(endpoint).map_or(0, |busy| ((busy * 1000.0) as u16).max(1));
        }
        seen
    }
}

#[cfg(test)]
mod tests;
