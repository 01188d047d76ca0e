//! In which order service returns, and at which pace where hosts are cold. No I/O.
//!
//! 1. Drains and the agreed list: before that nothing is let in.
//! 2. Writes, group by group: its primary has answered, here or to another daemon a moment ago, or a majority of the
//!    daemons names it.
//! 3. Reads, group by group: a host's position is proven.
//! 4. The rest, once all groups have both.
//!
//! A group that gets no such proof is opened after [`PATIENCE`] all the same: from then on the module looks for its
//! primary with the requests themselves, as ever. A group whose hosts are all cold opens at a pace: this daemon's part
//! of what they bear. What all daemons let in together stays below [`TOGETHER`] of the load under which a cold host
//! falls, whoever hears whom.

use crate::engine::admission::{AdmissionMode, AdmissionPolicy, CapacitySource, GroupAdmission};
use crate::ids::GroupId;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::fmt;

/// A group is opened without proof after this.
pub const PATIENCE: TimeDelta = TimeDelta::from_millis(600);
/// Hosts are asked in turn for so long, and until all have answered, but no longer than [`LEAST`]: a position is worth
/// something for a second, and whoever waits for another's word of it has its reads go to the primary.
pub const FIRST: TimeDelta = TimeDelta::from_secs(1);
/// Service is not as ever before this.
pub const LEAST: TimeDelta = TimeDelta::from_secs(2);
/// Of the load under which a cold host falls, all daemons together let in so much.
pub const TOGETHER: f64 = 0.8;
/// Of that, daemons that hear no majority take so much together.
pub const APART: f64 = 0.5;
/// What a host bears at the least when it is warm, in requests a second: nobody may have seen it at work.
pub const UNSEEN: f64 = 10.0;
/// What is waited for at first.
pub const WAITING_FOR_LIST: &str = "a majority's word of what is agreed";
/// Whoever is turned away from a group that is shut comes back after this.
const AGAIN: TimeDelta = TimeDelta::from_millis(100);

/// How far service has returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// Drains and the agreed list are awaited.
    #[default]
    List,
    /// Primaries are awaited.
    Writes,
    /// Positions are awaited.
    Reads,
    /// All is served; where hosts are cold, at a pace.
    Rest,
    /// All is as ever.
    Done,
}

impl fmt::Display for RecoveryPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecoveryPhase::List => "1 of 4, drains and the agreed list",
            RecoveryPhase::Writes => "2 of 4, writes",
            RecoveryPhase::Reads => "3 of 4, reads with proven positions",
            RecoveryPhase::Rest => "4 of 4, the rest",
            RecoveryPhase::Done => "done",
        })
    }
}

/// How cold hosts behave, by the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// The share of its capacity that one has at its start.
    pub share: f64,
    /// It has all of it after this.
    pub warm_up: TimeDelta,
    /// It falls over above this multiple of what it has.
    pub multiple: f64,
}

impl SlowStartPolicy {
    /// The share of its capacity that a host has for certain, so long after its start.
    pub fn capacity_share(&self, age: Option<TimeDelta>) -> f64 {
        let Some(age) = age else { return 1.0 };
        let grown =
            age.or_zero().as_micros_f64() / self.warm_up.max(TimeDelta::from_micros(1)).as_micros_f64();
        (self.share + (1.0 - self.share) * grown).min(1.0)
    }
}

/// Former name of [`SlowStartPolicy`], for the parts that still use it.
pub type Cold = SlowStartPolicy;

/// Former name of [`RecoveryPhase`], for the parts that still use it.
pub type Step = RecoveryPhase;

/// What is known of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointView {
    /// Its group.
    pub group: GroupId,
    /// It called itself the primary, here or to another daemon a moment ago.
    pub primary: bool,
    /// Daemons that heard it call itself that, by their last words of this group.
    pub named: usize,
    /// It told its position, here or to another daemon a moment ago.
    pub proven: bool,
    /// How long ago it started, where that is known.
    pub age: Option<TimeDelta>,
    /// Requests a second that it bears from all daemons together when warm, by what it did before; 0: not known.
    pub bore: f64,
    /// It said itself which part of its capacity that took.
    pub said: bool,
    /// Those that it serves for them now: it bears at least as many.
    pub serves: f64,
}

/// All that the order depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryView {
    /// The present.
    pub now: Timestamp,
    /// The list is there.
    pub listed: bool,
    /// Daemons of the fleet.
    pub members: usize,
    /// Those that are heard, with this one.
    pub heard: usize,
    /// The hosts that may be used.
    pub hosts: Vec<EndpointView>,
}

/// What holds now.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryDecision {
    /// The step.
    pub step: RecoveryPhase,
    /// What is waited for, in words; empty: nothing.
    pub waits: String,
    /// On which terms requests are let in; `None`: all are.
    pub terms: Option<AdmissionPolicy>,
    /// Hosts are asked in turn with other daemons that return.
    pub turns: bool,
}

/// The order of one daemon's return.
#[derive(Clone, Debug)]
pub struct RecoverySchedule {
    cold: SlowStartPolicy,
    listed: Option<Timestamp>,
    /// By group: writes and reads were opened.
    opened: BTreeMap<GroupId, [bool; 2]>,
    step: RecoveryPhase,
}

/// This daemon's part of what all may let in, as a multiple of what hosts bear: `(at first, at the most)`. Whoever
/// hears a majority shares with those it hears what the others leave; whoever hears none takes its part of all
/// members, since the others may be there and serve.
pub fn part(members: usize, heard: usize, multiple: f64) -> (f64, f64) {
    let members = members.max(1);
    let heard = heard.clamp(1, members);
    let all = multiple * TOGETHER;
    if heard * 2 <= members {
        let most = all * APART / members as f64;
        return ((1.0 / members as f64).min(most), most);
    }
    let apart = all * APART * (members - heard) as f64 / members as f64;
    let most = (all - apart) / heard as f64;
    ((1.0 / heard as f64).min(most), most)
}

fn names(groups: &[GroupId]) -> String {
    let some: Vec<String> = groups.iter().take(8).map(GroupId::to_string).collect();
    let more = groups.len().saturating_sub(8);
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    format!("group {}{more}", some.join(", "))
}

impl RecoverySchedule {
    /// Nothing is there yet.
    pub fn new(cold: SlowStartPolicy) -> RecoverySchedule {
        RecoverySchedule { cold, listed: None, opened: BTreeMap::new(), step: RecoveryPhase::List }
    }

    /// Where things stand. What was opened is not shut again, and no step is gone back.
    pub fn advance(&mut self, view: &RecoveryView) -> RecoveryDecision {
        if !view.listed {
            let waits = WAITING_FOR_LIST.to_string();
            let terms = Some(AdmissionPolicy {
                groups: BTreeMap::new(),
                admit_eventual_reads: false,
                retry_after: AGAIN,
            });
            return RecoveryDecision { step: self.step, waits, terms, turns: true };
        }
        let listed = *self.listed.get_or_insert(view.now);
        let out_of_patience = view.now - listed >= PATIENCE;
        let mut groups: BTreeMap<GroupId, Vec<&EndpointView>> = BTreeMap::new();
        view.hosts.iter().for_each(|host| groups.entry(host.group).or_default().push(host));
        self.opened.retain(|group, _| groups.contains_key(group));
        let (mut shut, mut ways) = ([Vec::new(), Vec::new()], BTreeMap::new());
        let mut paced = Vec::new();
        for (group, hosts) in &groups {
            let opened = self.opened.entry(*group).or_default();
            let primary = hosts.iter().position(|h| h.primary || h.named * 2 > view.members);
            opened[0] |= primary.is_some() || out_of_patience;
            opened[1] |= hosts.iter().any(|h| h.proven) || out_of_patience;
            let mut both = RecoverySchedule::ways(self.cold, view, hosts, primary);
            for (side, way) in both.iter_mut().enumerate().filter(|(side, _)| !opened[*side]) {
                *way = AdmissionMode::Closed(AGAIN);
                shut[side].push(*group);
            }
            if both.iter().any(|way| matches!(way, AdmissionMode::Paced { .. })) {
                paced.push(*group);
            }
            ways.insert(*group, GroupAdmission { writes: both[0], reads: both[1] });
        }
        let rest = shut.iter().all(Vec::is_empty);
        let (step, waits) = match () {
            _ if !shut[0].is_empty() => {
                (RecoveryPhase::Writes, format!("the primary of {}", names(&shut[0])))
            }
            _ if !shut[1].is_empty() => {
                (RecoveryPhase::Reads, format!("a proven position in {}", names(&shut[1])))
            }
            _ if !paced.is_empty() => (RecoveryPhase::Rest, format!("cold hosts of {}", names(&paced))),
            _ if view.now - listed < LEAST => {
                (RecoveryPhase::Rest, "the first answers of all hosts".to_string())
            }
            _ => (RecoveryPhase::Done, String::new()),
        };
        self.step = self.step.max(step);
        let terms = (self.step != RecoveryPhase::Done).then_some(AdmissionPolicy {
            groups: ways,
            admit_eventual_reads: rest,
            retry_after: AGAIN,
        });
        let turn = view.now - listed;
        let turns = turn < FIRST || turn < LEAST && !view.hosts.iter().all(|h| h.proven);
        RecoveryDecision { step: self.step, waits, terms, turns }
    }

    /// How writes and reads go to the hosts of a group; `primary`: which of them is known to be that.
    fn ways(
        cold: SlowStartPolicy,
        view: &RecoveryView,
        hosts: &[&EndpointView],
        primary: Option<usize>,
    ) -> [AdmissionMode; 2] {
        let Some(n) = primary else {
            return [
                RecoverySchedule::way(cold, view, hosts, true),
                RecoverySchedule::way(cold, view, hosts, false),
            ];
        };
        let others: Vec<&EndpointView> = [&hosts[..n], &hosts[n + 1..]].concat();
        // One that is alone serves the reads too.
        let readers = if others.is_empty() { hosts } else { &others };
        [
            RecoverySchedule::way(cold, view, &hosts[n..=n], false),
            RecoverySchedule::way(cold, view, readers, false),
        ]
    }

    /// How requests go to these hosts; `any`: each of them may turn out to be the one that takes them.
    fn way(cold: SlowStartPolicy, view: &RecoveryView, hosts: &[&EndpointView], any: bool) -> AdmissionMode {
        // One that has said nothing yet is not taken for warm beside one that is known to be cold, nor for any help.
        let heard: Vec<&EndpointView> =
            hosts.iter().copied().filter(|h| h.proven || h.primary || h.age.is_some()).collect();
        // Where one of them is warm the module spares the others by itself.
        if heard.is_empty() || heard.iter().any(|h| cold.capacity_share(h.age) >= 1.0) {
            return AdmissionMode::Open;
        }
        let bears = |h: &&EndpointView| (h.bore.max(UNSEEN) * cold.capacity_share(h.age)).max(h.serves);
        let all = heard.iter().map(bears);
        let bears = if any { all.fold(f64::MAX, f64::min) } else { all.sum() };
        let (first, most) = part(view.members, view.heard, cold.multiple);
        let capacity_source = match heard.iter().all(|h| h.said) {
            true => CapacitySource::Reported,
            false => CapacitySource::Estimated,
        };
        AdmissionMode::Paced { capacity_per_s: bears * first, max_per_s: bears * most, capacity_source }
    }
}

#[cfg(test)]
mod tests;
