//! What the fleet has learned of the hosts: evidence with its age and its source, spread by digests and
//! differences. Soft: no quorum, no disk, and nothing here is proof of a position to anybody. No I/O.
//!
//! Ages go between daemons, never times: clocks may differ.

use crate::engine::PeerObservation;
use crate::engine::observations::{Observation, UtilizationSamples};
use crate::engine::poll_scheduler;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::store::state_machine::State;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// StoredObservation that is older is not believed.
const OLD: TimeDelta = TimeDelta::from_secs(60);
/// A position is told again when it has moved by so much, and no host more often than this.
const MOVED: TimeDelta = TimeDelta::from_secs(5);
/// While this daemon returns, others wait for its words: a position is told again after this.
const MOVED_IN_HASTE: TimeDelta = TimeDelta::from_millis(200);
/// Others' words of a host are of a moment ago for so long: none is told anew more often than every [`MOVED`].
const MOMENT: TimeDelta = TimeDelta::from_micros(2 * MOVED.as_micros());
/// What a host serves is taken over about so long.
const RATE: TimeDelta = TimeDelta::from_secs(4);
/// RestoredHistory what a host says of its capacity is believed so many answers count as if all of it had been in use.
const DOUBT: f64 = 4.0;
/// What says that less is in use says no more than that: loads are rounded, and come by chance.
const LEAST_USED: f64 = 0.1;
/// What it has served at its best is forgotten over about so long.
const PEAK: TimeDelta = TimeDelta::from_secs(3_600);
/// A daemon that has not been heard of for so long is forgotten.
const FORGOTTEN: TimeDelta = TimeDelta::from_secs(600);

/// Which start of a daemon, and how many facts it has told since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// Its start, later ones greater.
    pub boot: u64,
    /// Its facts.
    pub facts: u64,
}

/// What one daemon heard a host say of itself, on its way to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRecord {
    /// Who heard it.
    pub by: NodeId,
    /// Its number among that daemon's facts.
    pub count: GossipVersion,
    /// The host.
    pub host: String,
    /// The host called itself the primary.
    pub primary: bool,
    /// The position that it told, by its own clock.
    pub position: LogPosition,
    /// How long ago that was.
    pub age: TimeDelta,
    /// Attempts that were out at it then.
    pub out: u16,
    /// How long ago it started, as far as known.
    pub up: Option<TimeDelta>,
    /// Thousandths of a request that it served a second, for that daemon.
    pub rate: u32,
    /// Thousandths of its capacity that it said to be in use at that time; 0: it does not say.
    pub used: u16,
}

#[derive(Clone, Debug)]
struct StoredObservation {
    count: GossipVersion,
    primary: bool,
    position: LogPosition,
    at: Timestamp,
    out: u16,
    started: Option<Timestamp>,
    rate: u32,
    used: u16,
}

/// What was known of a host before this start.
#[derive(Clone, Copy, Debug, Default)]
struct RestoredHistory {
    /// When it last called itself the primary.
    primary: Option<Timestamp>,
    /// The greatest position that it told, and when.
    position: (LogPosition, Timestamp),
    /// Thousandths of a request that it served a second, for all daemons.
    rate: u32,
    /// The part of these for which it said what was in use, and that times the part in use.
    said: (f64, f64),
}

impl RestoredHistory {
    /// Requests a second that it bears when warm: what it served, by the part of its capacity that this took, as far
    /// as that rests on enough answers.
    fn bears(&self) -> f64 {
        let rate = f64::from(self.rate) / 1000.0;
        let (said, used) = self.said;
        if said <= 0.0 {
            return rate;
        }
        let answers = said * RATE.as_micros_f64() / 1e6;
        let used = (used / said * answers + DOUBT) / (answers + DOUBT);
        rate / used.max(LEAST_USED)
    }
}

/// Who is believed to be the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryBelief {
    /// The host.
    pub host: String,
    /// When it last called itself that, in this daemon's time.
    pub at: Timestamp,
    /// Who heard it.
    pub by: NodeId,
}

/// All evidence.
#[derive(Debug, Default)]
pub struct GossipState {
    me: NodeId,
    own: GossipVersion,
    /// By source, by host.
    all: BTreeMap<NodeId, BTreeMap<String, StoredObservation>>,
    counts: BTreeMap<NodeId, (GossipVersion, Timestamp)>,
    beliefs: BTreeMap<GroupId, PrimaryBelief>,
    /// What was known before this start, by host.
    before: BTreeMap<String, RestoredHistory>,
    /// What each host serves for this daemon.
    rates: BTreeMap<String, ServiceRate>,
}

/// How many requests a second a host serves, taken over [`RATE`], or since the first where that is less.
#[derive(Clone, Copy, Debug)]
struct ServiceRate {
    /// Answers, decayed, as of when.
    count: f64,
    at: Timestamp,
    since: Timestamp,
    /// The most in a second so far, decayed over [`PEAK`], and the part of the host's capacity in use then.
    peak: f64,
    peak_used: u16,
    /// Parts in use that the host told, and how many times, decayed as `count` is.
    used: (f64, f64),
}

impl ServiceRate {
    fn new(now: Timestamp) -> ServiceRate {
        ServiceRate { count: 0.0, at: now, since: now, peak: 0.0, peak_used: 0, used: (0.0, 0.0) }
    }

    fn add(&mut self, now: Timestamp, answers: u32, utilization: UtilizationSamples) {
        let UtilizationSamples { sum: used, count: times } = utilization;
        let span = (now - self.at).or_zero().as_micros_f64();
        let decay = (-span / RATE.as_micros_f64()).exp();
        self.count = self.count * decay + f64::from(answers);
        self.used = (self.used.0 * decay + used, self.used.1 * decay + f64::from(times));
        self.peak *= (-span / PEAK.as_micros_f64()).exp();
        self.at = now;
        if self.rate(now) >= self.peak {
            (self.peak, self.peak_used) = (self.rate(now), self.in_use());
        }
    }

    /// Thousandths of its capacity that the host says to be in use; 0: it does not say.
    fn in_use(&self) -> u16 {
        let (sum, times) = self.used;
        if times <= 0.0 { 0 } else { ((sum / times * 1000.0) as u16).clamp(1, 1000) }
    }

    /// A second, now.
    fn rate(&self, now: Timestamp) -> f64 {
        let decay = |span: TimeDelta| (-span.or_zero().as_micros_f64() / RATE.as_micros_f64()).exp();
        let seen = 1.0 - decay((now - self.since).max(RATE / 8));
        self.count * decay(now - self.at) * 1e6 / (RATE.as_micros_f64() * seen)
    }
}

/// What is known of a host by words of a moment ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSummary {
    /// It called itself the primary.
    pub primary: bool,
    /// Daemons that last heard it call itself that, and not too long ago.
    pub named: usize,
    /// It told a position.
    pub proven: bool,
    /// When it started, as far as known.
    pub started: Option<Timestamp>,
    /// Requests a second that it bore when warm, by what it served all daemons together at its best before this
    /// daemon's start, and the part of its capacity that it said this took.
    pub bore: f64,
    /// It said which part that was.
    pub said: bool,
    /// Those that it serves for them now.
    pub serves: f64,
}

impl GossipState {
    /// Nothing is known yet. `boot` is greater than at any earlier start.
    pub fn new(me: NodeId, boot: u64) -> GossipState {
        GossipState { me, own: GossipVersion { boot, facts: 0 }, ..GossipState::default() }
    }

    /// Hosts have told this daemon something; true: it is to be told at once. `haste`: whatever is new is.
    pub fn observe(&mut self, now: Timestamp, facts: &[Observation], haste: bool) -> bool {
        let mut urgent = false;
        let own = self.all.entry(self.me).or_default();
        let moved_by = if haste { MOVED_IN_HASTE } else { MOVED };
        for fact in facts {
            let served = self.rates.entry(fact.endpoint_name.clone()).or_insert(ServiceRate::new(now));
            served.add(now, fact.served, fact.utilization);
            let (rate, used) = ((served.rate(now) * 1000.0) as u32, served.in_use());
            let old = own.get(&fact.endpoint_name);
            let turned = old.is_none_or(|o| o.primary != fact.primary);
            let moved = old.is_none_or(|o| {
                fact.observed_at - o.at >= moved_by && fact.position != o.position
                    || (o.out == 0) != (fact.in_flight == 0)
            });
            if !turned && !moved && fact.regression.is_none() {
                continue;
            }
            urgent |= turned && fact.primary || haste || fact.regression.is_some();
            self.own.facts += 1;
            let Observation {
                primary, position, observed_at: at, in_flight: out, started_at: started, ..
            } = *fact;
            let evidence =
                StoredObservation { count: self.own, primary, position, at, out, started, rate, used };
            own.insert(fact.endpoint_name.clone(), evidence);
        }
        self.counts.insert(self.me, (self.own, now));
        urgent
    }

    /// What is known of each source, for others to compare.
    pub fn digest(&self) -> Vec<(NodeId, GossipVersion)> {
        self.counts.iter().map(|(id, (count, _))| (*id, *count)).collect()
    }

    /// What another daemon lacks, by its digest: this daemon's own, and of others what it does not hear itself.
    /// The oldest first, at most `most`: what is left comes the next time.
    pub fn records_missing_from(
        &self,
        now: Timestamp,
        digest: &[(NodeId, GossipVersion)],
        hears: impl Fn(NodeId) -> bool,
        most: usize,
    ) -> Vec<GossipRecord> {
        let known: BTreeMap<NodeId, GossipVersion> = digest.iter().copied().collect();
        let mut words = Vec::new();
        for (by, hosts) in &self.all {
            if *by != self.me && hears(*by) {
                continue;
            }
            let known = known.get(by).copied().unwrap_or_default();
            let mut new: Vec<(&String, &StoredObservation)> =
                hosts.iter().filter(|(_, e)| e.count > known).collect();
            new.sort_by_key(|(_, e)| e.count);
            words.extend(new.into_iter().take(most.saturating_sub(words.len())).map(|(host, e)| {
                GossipRecord {
                    by: *by,
                    count: e.count,
                    host: host.clone(),
                    primary: e.primary,
                    position: e.position,
                    age: (now - e.at).or_zero(),
                    out: e.out,
                    up: e.started.map(|at| (now - at).or_zero()),
                    rate: e.rate,
                    used: e.used,
                }
            }));
        }
        words
    }

    /// Takes in what another daemon passed on. A host that the agreed list has not is not taken in, nor is
    /// anything of a daemon that is no member; what this daemon said itself comes back to nobody.
    pub fn merge(&mut self, now: Timestamp, words: Vec<GossipRecord>, state: &State) {
        for word in words {
            let GossipRecord { by, count, host, primary, position, age, out, up, rate, used } = word;
            let is_sound =
                (TimeDelta::ZERO..FORGOTTEN).contains(&age) && up.is_none_or(|up| up >= TimeDelta::ZERO);
            if by == self.me || !state.members.contains_key(&by) || !is_sound {
                continue;
            }
            let (known, _) = self.counts.get(&by).copied().unwrap_or_default();
            if count.boot > known.boot {
                // It began anew: what it said before its start is nobody's word any more.
                self.all.remove(&by);
            } else if count < known {
                continue;
            }
            self.counts.insert(by, (count.max(known), now));
            if !state.hosts.contains_key(&host) {
                continue;
            }
            let started = up.map(|up| now - up);
            let evidence =
                StoredObservation { count, primary, position, at: now - age, out, started, rate, used };
            self.all.entry(by).or_default().insert(host, evidence);
        }
    }

    /// Forgets hosts that are gone, and daemons that are.
    pub fn remove_departed(&mut self, now: Timestamp, state: &State) {
        let me = self.me;
        self.counts
            .retain(|id, (_, at)| *id == me || state.members.contains_key(id) && now - *at < FORGOTTEN);
        let counts = &self.counts;
        self.all.retain(|id, hosts| {
            hosts.retain(|host, _| state.hosts.contains_key(host));
            counts.contains_key(id)
        });
        self.rates.retain(|host, _| state.hosts.contains_key(host));
    }

    /// Works out who is primary where, from evidence that is not too old; what is new since the last time. What
    /// this daemon heard of a host itself voids every word of others about it from before, and a later primary
    /// is never replaced by an earlier one.
    pub fn update_beliefs(&mut self, now: Timestamp, state: &State) -> Vec<(GroupId, PrimaryBelief)> {
        let empty = BTreeMap::new();
        let own = self.all.get(&self.me).unwrap_or(&empty);
        let mut found: BTreeMap<GroupId, PrimaryBelief> = BTreeMap::new();
        for (by, hosts) in &self.all {
            for (host, e) in hosts.iter().filter(|(_, e)| e.primary && now - e.at < OLD) {
                let Some(group) = state.hosts.get(host).map(|h| h.group) else { continue };
                let voided = *by != self.me && own.get(host).is_some_and(|o| o.at >= e.at);
                if voided || found.get(&group).is_some_and(|b| (b.at, b.by) >= (e.at, *by)) {
                    continue;
                }
                found.insert(group, PrimaryBelief { host: host.clone(), at: e.at, by: *by });
            }
        }
        let mut new = Vec::new();
        for (group, belief) in found {
            let old = self.beliefs.get(&group);
            if old.is_some_and(|old| old.at > belief.at) {
                continue;
            }
            if old.is_none_or(|old| old.host != belief.host) {
                new.push((group, belief.clone()));
            }
            self.beliefs.insert(group, belief);
        }
        self.beliefs.retain(|group, b| state.hosts.get(&b.host).is_some_and(|h| h.group == *group));
        new
    }

    /// Who is believed to be the primary of each group.
    pub fn primary_beliefs(&self) -> &BTreeMap<GroupId, PrimaryBelief> {
        &self.beliefs
    }

    /// Whether a group's primary is known: the host that is believed to be that has not said otherwise since.
    pub fn is_primary_known(&self, group: GroupId) -> bool {
        let Some(belief) = self.beliefs.get(&group) else { return false };
        let words = self.all.values().filter_map(|hosts| hosts.get(&belief.host));
        words.max_by_key(|e| e.at).is_none_or(|last| last.primary)
    }

    /// All that is known, to lie on the disk. Of what hosts served this daemon, the best.
    pub fn records_to_persist(&self, now: Timestamp) -> Vec<GossipRecord> {
        let mut words = self.records_missing_from(now, &[], |_| false, usize::MAX);
        for word in words.iter_mut().filter(|w| w.by == self.me) {
            let best = self.rates.get(&word.host).map(|s| ((s.peak * 1000.0) as u32, s.peak_used));
            if let Some((rate, used)) = best.filter(|(rate, _)| *rate >= word.rate) {
                (word.rate, word.used) = (rate, used);
            }
        }
        words
    }

    /// What was known before this start, older by `since` than when it was written: for guesses only.
    pub fn restore(&mut self, now: Timestamp, words: &[GossipRecord], since: TimeDelta) {
        for word in words.iter().filter(|w| w.age >= TimeDelta::ZERO) {
            let at = now.saturating_sub(word.age).saturating_sub(since);
            let known = self.before.entry(word.host.clone()).or_default();
            if word.primary {
                known.primary = known.primary.max(Some(at));
            }
            known.position = known.position.max((word.position, at));
            known.rate = known.rate.saturating_add(word.rate);
            if word.used > 0 {
                let rate = f64::from(word.rate) / 1000.0;
                let used = f64::from(word.used.min(1000)) / 1000.0;
                known.said = (known.said.0 + rate, known.said.1 + rate * used);
            }
        }
    }

    /// Positions from before this start. Each is proof only of what its host once said: one that now tells less has
    /// gone back.
    pub fn restored_positions(&self) -> Vec<PeerObservation> {
        let told = |(host, b): (&String, &RestoredHistory)| PeerObservation {
            endpoint_name: host.clone(),
            primary: b.primary.is_some(),
            position: b.position.0,
            observed_at: b.position.1,
            replaces_poll: false,
        };
        self.before.iter().map(told).collect()
    }

    /// First guesses at the primaries of groups of which nothing was heard since the start, from what was known
    /// before it; of several hosts of a group the one that called itself that last.
    pub fn restored_primaries(&self, state: &State) -> BTreeMap<GroupId, (String, Timestamp)> {
        let mut found: BTreeMap<GroupId, (String, Timestamp)> = BTreeMap::new();
        for (host, at) in self.before.iter().filter_map(|(host, b)| Some((host, b.primary?))) {
            let Some(group) = state.hosts.get(host).map(|h| h.group) else { continue };
            let later = found.get(&group).is_none_or(|(_, known)| *known < at);
            if later && !self.beliefs.contains_key(&group) {
                found.insert(group, (host.clone(), at));
            }
        }
        found
    }

    /// What others' words say of hosts, for this daemon's own module.
    pub fn peer_observations(now: Timestamp, words: &[GossipRecord]) -> Vec<PeerObservation> {
        let told = |w: &GossipRecord| PeerObservation {
            endpoint_name: w.host.clone(),
            primary: w.primary,
            position: w.position,
            observed_at: now - w.age,
            replaces_poll: w.age < poll_scheduler::OBSERVATION_TTL,
        };
        words.iter().filter(|w| (TimeDelta::ZERO..FORGOTTEN).contains(&w.age)).map(told).collect()
    }

    /// When a host started, by the latest word of it.
    pub fn started_at(&self, host: &str) -> Option<Timestamp> {
        self.all.values().filter_map(|hosts| hosts.get(host)?.started).max()
    }

    /// When a host was last heard, by whomever.
    pub fn last_heard(&self, host: &str) -> Option<Timestamp> {
        let others = self.all.values().filter_map(|hosts| Some(hosts.get(host)?.at)).max();
        others.max(self.rates.get(host).map(|served| served.at))
    }

    /// What is known of a host now. This daemon's own evidence is of this start; others' counts if it is of a moment
    /// ago. What was heard before the host's last start says nothing any more but what it bore.
    pub fn endpoint_summary(&self, now: Timestamp, host: &str) -> EndpointSummary {
        let started = self.started_at(host);
        let mut moment = EndpointSummary { started, ..EndpointSummary::default() };
        let mut rate = 0;
        let own = self.rates.get(host).map_or(0.0, |served| served.rate(now));
        for (by, e) in self.all.iter().filter_map(|(by, hosts)| Some((by, hosts.get(host)?))) {
            rate += if *by == self.me || now - e.at > MOMENT { 0 } else { u64::from(e.rate) };
            if started.is_some_and(|at| e.at < at) {
                continue;
            }
            let recent = *by == self.me || now - e.at < MOMENT;
            moment.primary |= recent && e.primary;
            moment.proven |= recent && e.position.is_known();
            moment.named += usize::from(e.primary && now - e.at < OLD);
        }
        let before = self.before.get(host);
        moment.bore = before.map_or(0.0, RestoredHistory::bears);
        moment.said = before.is_some_and(|b| b.said.0 > 0.0);
        moment.serves = own + rate as f64 / 1000.0;
        moment
    }

    /// Attempts that all daemons together have out at a host, by their last words.
    pub fn attempts_in_flight(&self, host: &str) -> u32 {
        self.all.values().filter_map(|hosts| hosts.get(host)).map(|e| u32::from(e.out)).sum()
    }

    /// StoredObservation that is kept.
    pub fn len(&self) -> usize {
        self.all.values().map(BTreeMap::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All of it in words, a line for each: host, who heard it, role, position, age in ms, attempts out.
    pub fn describe(&self, now: Timestamp, name: impl Fn(NodeId) -> String) -> Vec<String> {
        let hosts: BTreeSet<&String> = self.all.values().flat_map(BTreeMap::keys).collect();
        let mut lines = Vec::new();
        for host in hosts {
            for (by, e) in self.all.iter().filter_map(|(by, hosts)| Some((by, hosts.get(host)?))) {
                let role = if e.primary { "primary" } else { "replica" };
                let (position, age) = (e.position.as_millis(), (now - e.at).as_millis());
                lines.push(format!("{host} {} {role} {position} {age} {}", name(*by), e.out));
            }
        }
        lines
    }
}

#[cfg(test)]
mod tests;
