//! What is let in while service returns: which kinds of requests of which groups, and how many of them a second.
//! No I/O. Whoever brings the daemon back says the terms; the gate keeps to them and finds the pace that hosts bear.
//!
//! What is not let in is refused at once, with a time to come back that is a place in a queue: those who keep it
//! return at the pace at which they can be let in, not as one wave.

use crate::routing::*;
use std::collections::BTreeMap;

/// The pace is looked at once in so long.
const ROUND: TimeDelta = TimeDelta::from_millis(100);
/// Each good answer while more is wanted than is let in adds so much to the pace, in requests a second: it doubles in
/// a third of a second, whether one daemon has all the answers or many have few each.
const GROW: f64 = 2.0;
/// The same above what hosts said that they bear, or once the pace has been too high: hosts warm by a fifth of what
/// they bear cold in a second.
const GROW_ON: f64 = 0.25;
/// When answers went badly.
const SHRINK: f64 = 0.7;
/// When they came late of a queue at the hosts.
const EASE: f64 = 0.85;
/// An answer came of a queue that took so many times the quickest of its class, and this more; it brings no growth.
const QUEUED: f64 = 2.0;
const JITTER: TimeDelta = TimeDelta::from_millis(30);
/// One that took this part of its class's aim, and came of a queue, says that less is to be sent: longer queues make
/// the module ask hosts that have better work to do.
const LONG: i64 = 6;
/// The quickest of a class is forgotten slowly.
const FADE: f64 = 0.002;
/// More is wanted than is let in for so long after one was turned away.
const WANTED: TimeDelta = TimeDelta::from_secs(1);
/// Answers went badly where so many of a hundred were turned away or never came, and no fewer than these: one may be
/// chance.
const BAD: u32 = 5;
const FEW: u32 = 2;
/// Answers that are looked at together.
const MANY: u32 = 20;
/// What may come at once, as a time at the pace, and at the least: requests come by chance, and of many daemons each
/// lets in few.
const BURST: TimeDelta = TimeDelta::from_millis(300);
const ONES: f64 = 2.0;
/// Each class of less worth leaves so much of that to those above it.
const RESERVE: f64 = 0.25;
/// Nobody is told to come back sooner than this.
const SOON: TimeDelta = TimeDelta::from_millis(20);
/// Multiples of it fill the space between two whole numbers evenly, whatever their count.
const SPREAD: f64 = 0.618_033_988_75;
/// The longest time to come back where the settings name none.
const LONGEST: TimeDelta = TimeDelta::from_secs(1);

/// Before all that happens; times since then can be told.
const LONG_AGO: Timestamp = Timestamp::from_micros(i64::MIN / 2);

/// Kinds of requests, in the order in which service returns for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// It needs the primary.
    Write,
    /// It needs a host with a proven position.
    Read,
    /// Any host will do.
    Rest,
}

/// The kind of a class.
pub fn kind(class: &Class) -> RequestKind {
    match class.consistency {
        None | Some(Consistency::Write | Consistency::Strong) => RequestKind::Write,
        Some(Consistency::Session | Consistency::Bounded) => RequestKind::Read,
        Some(Consistency::Eventual) => RequestKind::Rest,
    }
}

/// Whether requests of one kind of one group are let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionMode {
    /// None; a time to come back from which on that may be otherwise.
    Closed(TimeDelta),
    /// At a rate that is adapted to how the endpoints answer, while they are warming up.
    Paced {
        /// This process's share of the endpoints' present capacity, in requests per second. The rate starts there.
        capacity_per_s: f64,
        /// Upper bound of the rate, in requests per second.
        max_per_s: f64,
        /// Where `capacity_per_s` comes from.
        capacity_source: CapacitySource,
    },
    /// All.
    Open,
}

/// Where the capacity of a group's endpoints is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacitySource {
    /// All endpoints reported their utilization: the capacity is what they served, divided by it.
    Reported,
    /// It is what endpoints were seen to serve; the real capacity may be much greater.
    Estimated,
}

/// How requests of one group are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupAdmission {
    /// Requests that need the primary.
    pub writes: AdmissionMode,
    /// All other requests.
    pub reads: AdmissionMode,
}

impl GroupAdmission {
    /// The mode of writes, then that of reads.
    pub fn modes(&self) -> [AdmissionMode; 2] {
        [self.writes, self.reads]
    }
}

/// What a process admits while its service recovers.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// By group; groups that are not in it are closed.
    pub groups: BTreeMap<GroupId, GroupAdmission>,
    /// Whether eventual reads, which any endpoint can serve, are admitted at all.
    pub admit_eventual_reads: bool,
    /// Retry-after hint for groups that are not in the map, and for eventual reads that are not admitted.
    pub retry_after: TimeDelta,
}

#[derive(Debug)]
struct PacedRate {
    rate: f64,
    floor: f64,
    most: f64,
    bears: f64,
    said: bool,
    tokens: f64,
    at: Timestamp,
    /// When the next one that is turned away may come back.
    next: Timestamp,
    round: Timestamp,
    well: u32,
    badly: u32,
    /// Quick answers of this round, and those that came of a long queue.
    quick: u32,
    queued: u32,
    /// It has been too high once.
    found: bool,
    /// When one was last turned away.
    wanted: Timestamp,
    /// When it last shrank: what was sent before that says nothing about what it is now.
    shrunk: Timestamp,
}

impl PacedRate {
    /// `phase`: which part of a request it has saved up at first.
    fn new(now: Timestamp, start: f64, most: f64, phase: f64) -> PacedRate {
        let rate = start.min(most).max(0.1);
        PacedRate {
            rate,
            floor: rate / 4.0,
            most,
            bears: start,
            said: false,
            tokens: phase,
            at: now,
            next: now,
            round: now + ROUND,
            well: 0,
            badly: 0,
            quick: 0,
            queued: 0,
            found: false,
            wanted: LONG_AGO,
            shrunk: LONG_AGO,
        }
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST.as_micros_f64() / 1e6).max(ONES)
    }

    /// Grows by the quick answers of a round. Up to what hosts are known to bear there is no need to feel one's way.
    fn grow(&mut self) {
        let quick = f64::from(self.quick);
        self.rate = match () {
            _ if !(self.said || self.found) => self.rate + GROW * quick,
            _ if self.rate < self.bears => (self.rate + GROW * quick).min(self.bears),
            _ => self.rate + GROW_ON * quick,
        };
    }

    fn go_on(&mut self, now: Timestamp) {
        if now >= self.round {
            let answers = self.well + self.badly;
            if self.badly >= FEW && self.badly * 100 > answers * BAD {
                self.rate *= SHRINK;
                (self.shrunk, self.well, self.badly, self.found) = (now, 0, 0, true);
            } else if self.queued > self.quick {
                self.rate *= EASE;
                (self.shrunk, self.found) = (now, true);
            } else if now - self.wanted < WANTED {
                self.grow();
            }
            if answers >= MANY {
                (self.well, self.badly) = (0, 0);
            }
            (self.quick, self.queued, self.round) = (0, 0, now + ROUND);
        }
        self.rate = self.rate.clamp(self.floor.min(self.most), self.most);
        let burst = self.burst();
        self.tokens = (self.tokens + self.rate * (now - self.at).or_zero().as_micros_f64() / 1e6).min(burst);
        self.at = now;
    }

    /// `rank`: classes of the same kind that are worth more.
    fn take(&mut self, now: Timestamp, rank: usize, longest: TimeDelta) -> Result<(), TimeDelta> {
        self.go_on(now);
        let burst = self.burst();
        let needs = (1.0 + RESERVE * rank as f64 * (burst - 1.0)).min(burst);
        if self.tokens >= needs {
            self.tokens -= 1.0;
            return Ok(());
        }
        self.wanted = now;
        let step = TimeDelta::from_micros_f64(1e6 / self.rate);
        self.next = self.next.max(now) + step;
        let wait = self.next - now;
        if wait > longest {
            // The queue is longer than anybody waits: its end is spread over the later half.
            self.next = now + longest / 2;
        }
        Err(wait.clamp(SOON, longest.max(SOON)))
    }
}

/// The gate. Open to all unless terms are set.
#[derive(Debug, Default)]
pub struct AdmissionController {
    terms: Option<AdmissionPolicy>,
    paces: BTreeMap<(GroupId, usize), PacedRate>,
    /// By class: its kind, and the classes of that kind that are worth more.
    ranks: Vec<(usize, RequestKind)>,
    latency_objectives: Vec<TimeDelta>,
    /// What the quickest answers of each class take.
    quickest: Vec<f64>,
    longest: TimeDelta,
    /// Requests that were turned away: each has another time to come back.
    turned_away: u64,
    phases: fastrand::Rng,
}

fn side(kind: RequestKind) -> usize {
    usize::from(kind != RequestKind::Write)
}

impl AdmissionController {
    /// A gate that is open to all. `seed`: another one in each daemon.
    pub fn new(settings: &Settings, seed: u64) -> AdmissionController {
        let classes = &settings.classes;
        let priority_weight = |c: &Class| c.priority_weight.unwrap_or(1.0);
        let rank = |c: &Class| {
            let above = classes
                .iter()
                .filter(|o| side(kind(o)) == side(kind(c)) && priority_weight(o) > priority_weight(c));
            // A class and its twin without keys are one.
            let mut worths: Vec<f64> = above.map(priority_weight).collect();
            worths.sort_by(f64::total_cmp);
            worths.dedup();
            (worths.len(), kind(c))
        };
        AdmissionController {
            ranks: classes.iter().map(rank).collect(),
            latency_objectives: classes.iter().map(|c| c.latency_objective.unwrap_or(LONGEST)).collect(),
            quickest: vec![f64::MAX; classes.len()],
            longest: settings.max_retry_after.unwrap_or(LONGEST),
            phases: fastrand::Rng::with_seed(seed),
            ..AdmissionController::default()
        }
    }

    /// Sets the terms; `None`: open to all from now on. A pace that runs goes on under the new bound.
    pub fn set(&mut self, now: Timestamp, terms: Option<AdmissionPolicy>) {
        let groups = terms.as_ref().map(|t| &t.groups);
        self.paces.retain(|(group, side), _| {
            let ways = groups.and_then(|groups| groups.get(group));
            ways.is_some_and(|ways| matches!(ways.modes()[*side], AdmissionMode::Paced { .. }))
        });
        for (group, ways) in terms.iter().flat_map(|t| &t.groups) {
            for (side, way) in ways.modes().into_iter().enumerate() {
                if let AdmissionMode::Paced { capacity_per_s: bears, max_per_s: most, capacity_source } = way
                {
                    let said = capacity_source == CapacitySource::Reported;
                    let pace = self.paces.entry((*group, side));
                    // One whole for each daemon would be a wave that grows with their number.
                    let pace = pace.or_insert_with(|| PacedRate::new(now, bears, most, self.phases.f64()));
                    (pace.bears, pace.most, pace.said) = (bears, most, said);
                }
            }
        }
        self.terms = terms;
    }

    /// Whether a request of this class and group is let in; an error: when to come back.
    pub fn admit(&mut self, now: Timestamp, class: usize, group: GroupId) -> Result<(), TimeDelta> {
        let Some(terms) = &self.terms else { return Ok(()) };
        let Some(&(rank, kind)) = self.ranks.get(class) else { return Ok(()) };
        let shut = AdmissionMode::Closed(terms.retry_after);
        let way = match kind {
            RequestKind::Rest if !terms.admit_eventual_reads => shut,
            _ => terms.groups.get(&group).map_or(shut, |ways| ways.modes()[side(kind)]),
        };
        let let_in = match way {
            AdmissionMode::Open => Ok(()),
            AdmissionMode::Closed(wait) => {
                // Spread over as long again: they would all come back in the moment in which it opens.
                let n = self.turned_away as f64 * SPREAD;
                let wait = wait + TimeDelta::from_micros_f64(wait.as_micros_f64() * (n - n.floor()));
                Err(wait.clamp(SOON, self.longest.max(SOON)))
            }
            AdmissionMode::Paced { .. } => match self.paces.get_mut(&(group, side(kind))) {
                Some(pace) => pace.take(now, rank, self.longest),
                None => Ok(()),
            },
        };
        self.turned_away += u64::from(let_in.is_err());
        let_in
    }

    /// An attempt for a request of this class and group has ended.
    pub fn ended(
        &mut self,
        now: Timestamp,
        class: usize,
        group: GroupId,
        took: TimeDelta,
        outcome: AttemptOutcome,
    ) {
        let Some(&(_, kind)) = self.ranks.get(class) else { return };
        let Some(pace) = self.paces.get_mut(&(group, side(kind))) else { return };
        let counts = now - took >= pace.shrunk;
        match outcome {
            AttemptOutcome::Served => {
                let quickest = &mut self.quickest[class];
                *quickest = (*quickest).min(took.as_micros_f64());
                *quickest += (took.as_micros_f64() - *quickest) * FADE;
                let queued = took
                    > TimeDelta::from_micros_f64((*quickest * QUEUED).min(LONGEST.as_micros_f64())) + JITTER;
                pace.well += 1;
                pace.quick += u32::from(!queued);
                // What was sent before it last shrank says nothing about what it is now.
                pace.queued += u32::from(queued && counts && took > self.latency_objectives[class] / LONG);
            }
            AttemptOutcome::Overloaded | AttemptOutcome::TimedOut if counts => pace.badly += 1,
            _ => {}
        }
        pace.go_on(now);
    }
}

#[cfg(test)]
mod tests;
