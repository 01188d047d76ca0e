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
mod tests {
    use super::*;

    const A: EndpointId = EndpointId { ip: [0; 4], port: 1 };
    const MS: TimeDelta = TimeDelta::from_millis(1);

    fn at(since: TimeDelta) -> Timestamp {
        Timestamp::ZERO + since
    }

    /// Somebody reads it.
    fn outcomes() -> OutcomeWindow {
        let mut outcomes = OutcomeWindow::default();
        assert!(outcomes.read(Timestamp::ZERO, std::iter::empty()).is_empty());
        outcomes
    }

    /// Guards against memory that grows with hosts that come and go where nobody ever looks.
    #[test]
    fn nothing_is_kept_before_somebody_reads_it_nor_of_what_is_long_gone() {
        let mut outcomes = OutcomeWindow::default();
        outcomes.ended(Timestamp::ZERO, A, 0, MS, AttemptOutcome::Served);
        outcomes.busy(A, 0.5);
        assert!(outcomes.read(at(MS), std::iter::empty()).is_empty());
        outcomes.ended(Timestamp::ZERO, A, 0, MS, AttemptOutcome::Served);
        outcomes.busy(A, 0.5);
        outcomes.read(at(LONG), std::iter::empty());
        let kept = (outcomes.all.len(), outcomes.busy.len(), outcomes.answered.len(), outcomes.failed.len());
        assert_eq!(kept, (0, 0, 0, 0));
    }

    /// Guards against a silence that is seen only when requests are given up, and against one that is laid to a host
    /// which goes on answering.
    #[test]
    fn what_is_out_too_long_is_silent_unless_its_host_was_heard_since() {
        let mut outcomes = outcomes();
        (0..50).for_each(|n| outcomes.ended(at(n * 10 * MS), A, 0, 5 * MS, AttemptOutcome::Served));
        let out = |sent| [InFlightAttempt { endpoint: A, class: 0, sent }].into_iter();
        // It last answered at 490.
        assert_eq!(outcomes.read(at(880 * MS), out(at(500 * MS))).get(&A).map_or(0, |s| s.unanswered), 0);
        assert_eq!(outcomes.read(at(950 * MS), out(at(500 * MS)))[&A].unanswered, 1);
        let seen = outcomes.read(at(950 * MS), out(at(480 * MS)))[&A];
        assert_eq!((seen.unanswered, seen.late), (0, 1), "it has answered since, but not this one");
        outcomes.ended(at(960 * MS), A, 0, 5 * MS, AttemptOutcome::Served);
        assert_eq!(outcomes.read(at(970 * MS), out(at(500 * MS)))[&A].unanswered, 0);
        assert!(outcomes.read(at(5_000 * MS), std::iter::empty()).is_empty(), "what is old has faded");
    }

    /// Guards against a host that is gone, is tried seldom for that, and is forgotten between two tries.
    #[test]
    fn what_failed_last_is_told_until_the_host_answers_or_a_while_has_passed() {
        let mut outcomes = outcomes();
        (0..9).for_each(|_| outcomes.ended(Timestamp::ZERO, A, 0, MS, AttemptOutcome::ConnectFailed));
        let none = std::iter::empty;
        assert_eq!(outcomes.read(at(MS), none())[&A].connect_failed, 9);
        assert_eq!(outcomes.read(at(1_900 * MS), none())[&A].connect_failed, FEW);
        assert!(outcomes.read(at(HELD), none()).is_empty());
        outcomes.ended(at(HELD), A, 0, MS, AttemptOutcome::Reset);
        outcomes.ended(at(HELD), A, 0, MS, AttemptOutcome::Served);
        assert!(outcomes.read(at(HELD + 700 * MS), none()).is_empty(), "it has answered");
    }

    /// Guards against a usual that follows a slow zone until nothing there is late any more. Seeded: a third of the
    /// answers slow by ten times.
    #[test]
    fn a_third_that_is_slow_stays_late() {
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (mut outcomes, b) = (outcomes(), EndpointId { ip: [0; 4], port: 2 });
            for n in 0..2_000 {
                let usual = rng.i64(10..20) * MS;
                let slow = n > 300 && rng.u8(..3) == 0;
                let (endpoint, took) = if slow { (b, usual * 10) } else { (A, usual) };
                outcomes.ended(at(n * MS), endpoint, 0, took, AttemptOutcome::Served);
            }
            let seen = outcomes.read(at(2_000 * MS), std::iter::empty());
            assert!(seen[&A].late * 10 < seen[&A].on_time, "seed {seed}: {seen:?}");
            assert!(seen[&b].late > seen[&b].on_time, "seed {seed}: {seen:?}");
        }
    }

    #[test]
    fn each_outcome_counts_as_what_it_says_of_the_host() {
        let mut outcomes = outcomes();
        let all = [
            AttemptOutcome::Served,
            AttemptOutcome::Misdirected,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Reset,
        ];
        all.into_iter().for_each(|outcome| outcomes.ended(at(MS), A, 0, MS, outcome));
        outcomes.ended(at(MS), A, 0, MS, AttemptOutcome::Cancelled);
        outcomes.ended(at(MS), A, 0, 500 * MS, AttemptOutcome::Cancelled);
        let seen = outcomes.read(at(2 * MS), std::iter::empty())[&A];
        assert_eq!(
            seen,
            OutcomeCounts { on_time: 2, late: 0, unanswered: 3, connect_failed: 1, utilization_permille: 0 }
        );
        assert_eq!(seen.total(), 6);
    }
}
