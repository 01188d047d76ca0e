//! What the fleet has learned of the hosts: evidence with its age and its source, spread by digests and
//! differences. Soft: no quorum, no disk, and nothing here is proof of a position to anybody. No I/O.
//!
//! Ages go between daemons, never times: clocks may differ.

mod endpoint_summary;
mod primary_beliefs;
mod record;
mod restored;
mod service_rate;

pub use self::endpoint_summary::EndpointSummary;
pub use self::primary_beliefs::PrimaryBelief;
pub use self::record::{GossipRecord, GossipVersion};

use self::restored::RestoredHistory;
use self::service_rate::ServiceRate;
use crate::engine::PeerObservation;
use crate::engine::observations::Observation;
use crate::engine::poll_scheduler;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::store::state_machine::ClusterState;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A position is told again when it has moved by so much, and no host more often than this.
/// StoredObservation that is older is not believed.
const OLD: TimeDelta = TimeDelta::from_secs(60);
const MOVED: TimeDelta = TimeDelta::from_secs(5);
/// While this daemon returns, others wait for its words: a position is told again after this.
const MOVED_IN_HASTE: TimeDelta = TimeDelta::from_millis(200);
/// Others' words of a host are of a moment ago for so long: none is told anew more often than every [`MOVED`].
const MOMENT: TimeDelta = TimeDelta::from_micros(2 * MOVED.as_micros());
/// A daemon that has not been heard of for so long is forgotten.
const FORGOTTEN: TimeDelta = TimeDelta::from_secs(600);

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
    pub fn merge(&mut self, now: Timestamp, words: Vec<GossipRecord>, state: &ClusterState) {
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
    pub fn remove_departed(&mut self, now: Timestamp, state: &ClusterState) {
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
