//! The agreed state: settings, inventory, drain marks, members. No I/O and no clock: the same changes in the
//! same order make the same state at every daemon.

use super::codec;
use super::records::{FleetId, HostRecord, Step};
use super::zone_weights::Share;
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::ids::NodeId;
use crate::ids::ZoneId;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts that an inventory may name. The same at all daemons, as all that decides here.
pub const HOSTS: usize = 20_000;
/// Daemons that a fleet may have, those that only follow included.
pub const MEMBERS: usize = 32;
/// Marks that were undone, and daemons that were removed, which are remembered.
const REMEMBERED: usize = 10_000;

/// One drain that was said: who said it, and that daemon's count of what it said. It is undone only by whoever
/// had heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DrainMark {
    /// The daemon.
    pub by: NodeId,
    /// Its count.
    pub number: u64,
}

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name in its operator's file.
    pub name: String,
    /// Where the others reach it, unless their own files say otherwise.
    pub address: std::net::SocketAddr,
}

/// A change that is proposed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Nothing new to a host.
    Drain {
        /// The host's name.
        host: String,
        /// Which drain this is.
        mark: DrainMark,
    },
    /// These drains of a host end; others of it stay.
    Undrain {
        /// The host's name.
        host: String,
        /// The drains that the one who says it had heard of.
        marks: Vec<DrainMark>,
    },
    /// What an inventory file says differently from the agreed one.
    Inventory {
        /// The daemon that read the file.
        by: String,
        /// When the file was last changed.
        changed: Timestamp,
        /// The version of the agreed inventory that this was compared with.
        base: u64,
        /// New and changed hosts.
        set: Vec<(String, HostRecord)>,
        /// Hosts that are gone.
        gone: Vec<String>,
    },
    /// The settings of the service.
    Settings {
        /// The daemon that read the file.
        by: String,
        /// When the file was last changed.
        changed: Timestamp,
        /// A line for each path.
        text: String,
    },
    /// A zone gets this part of its usual reads.
    Zone {
        /// Its number.
        zone: ZoneId,
        /// The share; its number is one more than that of the one before.
        share: Share,
    },
    /// What an inventory file says of regions.
    Regions {
        /// The daemon that read the file.
        by: String,
        /// When the file was last changed.
        changed: Timestamp,
        /// By zone.
        regions: BTreeMap<ZoneId, String>,
    },
}

impl Change {
    /// Whether it only takes away: such a change acts where it is said before it is agreed.
    pub fn restricts(&self) -> bool {
        matches!(self, Change::Drain { .. })
    }
}

/// A change on its way into the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Whose it is.
    pub from: NodeId,
    /// That daemon's number for it.
    pub token: u64,
    /// What is to change.
    pub change: Change,
}

/// A change of the membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// What the consensus is to do, all at once.
    pub steps: Vec<Step>,
    /// A daemon that comes in.
    pub comes: Option<(NodeId, Member)>,
}

/// Where settings or an inventory come from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The daemon that read the file.
    pub by: String,
    /// When the file was last changed.
    pub changed: Timestamp,
    /// The place in the log at which it was agreed.
    pub version: u64,
}

/// The state that all daemons agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The fleet.
    pub fleet: FleetId,
    /// Its daemons.
    pub members: BTreeMap<NodeId, Member>,
    /// Daemons that were removed, with their names.
    pub removed: BTreeMap<NodeId, String>,
    /// Names of daemons that founded the fleet with the first one and are still to come in.
    pub founders: BTreeSet<String>,
    /// The settings of the service.
    pub settings: Option<(Source, String)>,
    /// Where the inventory comes from; `None` before the first one.
    pub inventory: Option<Source>,
    /// Its hosts.
    pub hosts: BTreeMap<String, HostRecord>,
    /// Drains in force, by host.
    pub drains: BTreeMap<String, BTreeSet<DrainMark>>,
    /// Drains that were undone, each with its place in the log: one that comes late stays undone.
    pub undone: BTreeMap<DrainMark, u64>,
    /// Fleets that this one goes on from, on an operator's word: whoever is still of one of them comes over.
    pub former: BTreeSet<FleetId>,
    /// A check sum over all that was agreed: alike at two daemons only where both took in the same sequence.
    pub digest: u32,
    /// Shares of zones that were ever moved.
    pub zones: BTreeMap<ZoneId, Share>,
    /// Regions by zone, and when the file that said so was changed.
    pub regions: (Timestamp, BTreeMap<ZoneId, String>),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is in force.
    Done,
    /// It was agreed before, or something newer was.
    Overtaken,
    /// It was compared with a version that is no longer the last one.
    Outdated,
    /// It is out of bounds.
    Refused,
}

impl State {
    /// From its bytes; those of a version that knew no regions, or no shares either, are read too.
    pub fn read(bytes: &[u8]) -> Option<State> {
        let earlier = |missing: &[u8]| codec::read_earlier(bytes, missing);
        codec::read(bytes).or_else(|| earlier(&[0, 0])).or_else(|| earlier(&[0, 0, 0]))
    }

    /// Zones of the same region as this one, itself among them.
    pub fn region(&self, zone: ZoneId) -> Vec<ZoneId> {
        let Some(region) = self.regions.1.get(&zone) else { return vec![zone] };
        self.regions.1.iter().filter(|(_, r)| *r == region).map(|(z, _)| *z).collect()
    }

    /// The share of a zone.
    pub fn share(&self, zone: ZoneId) -> Share {
        self.zones.get(&zone).copied().unwrap_or_default()
    }

    /// A new fleet of one, which waits for the other founders.
    pub fn found(fleet: FleetId, id: NodeId, member: Member, founders: BTreeSet<String>) -> State {
        let members = BTreeMap::from([(id, member)]);
        State { fleet, members, founders, ..State::default() }
    }

    /// A fleet of one that goes on from this state, on an operator's word.
    pub fn refound(&self, fleet: FleetId, id: NodeId, member: Member) -> State {
        let mut former = self.former.clone();
        former.insert(self.fleet);
        let (members, founders) = (BTreeMap::from([(id, member)]), BTreeSet::new());
        State { fleet, members, founders, former, ..self.clone() }
    }

    /// Whether all founders are in: before that the fleet agrees on nothing else.
    pub fn is_complete(&self) -> bool {
        self.founders.is_empty()
    }

    /// Whether a host is drained by a mark.
    pub fn is_drained(&self, host: &str) -> bool {
        self.drains.contains_key(host)
    }

    /// Whether the log has said all that there is to say of a mark.
    pub fn settled(&self, host: &str, mark: DrainMark) -> bool {
        self.undone.contains_key(&mark) || self.drains.get(host).is_some_and(|m| m.contains(&mark))
    }

    /// Takes in the change at `index`.
    pub fn apply(&mut self, index: u64, change: &Change) -> Effect {
        match change {
            Change::Drain { host, mark } => {
                if self.settled(host, *mark) {
                    return Effect::Overtaken;
                }
                self.drains.entry(host.clone()).or_default().insert(*mark);
                Effect::Done
            }
            Change::Undrain { host, marks } => {
                let mut known = self.drains.remove(host).unwrap_or_default();
                for mark in marks {
                    // Also one that the log has not seen yet: it comes undone.
                    known.remove(mark);
                    self.undone.insert(*mark, index);
                }
                if !known.is_empty() {
                    self.drains.insert(host.clone(), known);
                }
                self.forget();
                Effect::Done
            }
            Change::Inventory { by, changed, base, set, gone } => {
                let (version, known) =
                    self.inventory.as_ref().map_or((0, None), |i| (i.version, Some(i.changed)));
                if known.is_some_and(|known| *changed <= known) {
                    return Effect::Overtaken;
                }
                if *base != version {
                    return Effect::Outdated;
                }
                let names: BTreeSet<&String> = self.hosts.keys().chain(set.iter().map(|(n, _)| n)).collect();
                if names.len() > HOSTS + gone.len() {
                    return Effect::Refused;
                }
                for name in gone {
                    self.hosts.remove(name);
                }
                self.hosts.extend(set.iter().cloned());
                self.inventory = Some(Source { by: by.clone(), changed: *changed, version: index });
                Effect::Done
            }
            Change::Settings { by, changed, text } => {
                if self.settings.as_ref().is_some_and(|(known, _)| *changed <= known.changed) {
                    return Effect::Overtaken;
                }
                let source = Source { by: by.clone(), changed: *changed, version: index };
                self.settings = Some((source, text.clone()));
                Effect::Done
            }
            Change::Zone { zone, share } => {
                if share.number != self.share(*zone).number + 1 {
                    return Effect::Overtaken;
                }
                // Two that are said at once, each while the other zone was in service, must not take all away.
                let mut zones = self.hosts.values().map(|h| h.zone).filter(|z| z != zone);
                if share.part == 0 && !zones.any(|other| self.share(other).part > 0) {
                    return Effect::Refused;
                }
                self.zones.insert(*zone, *share);
                Effect::Done
            }
            Change::Regions { changed, regions, .. } => {
                if *changed <= self.regions.0 {
                    return Effect::Overtaken;
                }
                self.regions = (*changed, regions.clone());
                Effect::Done
            }
        }
    }

    /// Takes in a change of the membership. The consensus has the last word on who votes.
    pub fn apply_members(&mut self, change: &Membership) {
        if let Some((id, member)) = &change.comes {
            self.members.insert(*id, member.clone());
        }
        for step in &change.steps {
            match step {
                Step::Remove(id) => {
                    if let Some(member) = self.members.remove(id) {
                        self.founders.remove(&member.name);
                        self.removed.insert(*id, member.name);
                    }
                }
                Step::Vote(id) => {
                    if let Some(member) = self.members.get(id) {
                        self.founders.remove(&member.name);
                    }
                }
                Step::Follow(_) => {}
            }
        }
        while self.removed.len() > REMEMBERED {
            self.removed.pop_first();
        }
    }

    fn forget(&mut self) {
        let more = self.undone.len().saturating_sub(REMEMBERED);
        if more > 0 {
            let mut oldest: Vec<(u64, DrainMark)> = self.undone.iter().map(|(m, at)| (*at, *m)).collect();
            oldest.sort_unstable();
            oldest.iter().take(more).for_each(|(_, mark)| {
                self.undone.remove(mark);
            });
        }
    }

    /// The list as it is agreed, with hosts closed that `also` names: drains that are not agreed yet.
    pub fn listing(&self, index: u64, also: impl Fn(&str) -> bool) -> EndpointUpdate {
        let one =
            |(name, host): (&String, &HostRecord)| host.listed(name, self.is_drained(name) || also(name));
        EndpointUpdate { index, whole: true, entries: self.hosts.iter().map(one).collect() }
    }

    /// What a file's hosts change in the agreed inventory; `None`: the agreed one is as new, or says the same.
    /// A host that is new to a list in use starts cold, and so does one that has moved: nobody has seen what it
    /// bears.
    pub fn inventory_change(
        &self,
        by: &str,
        hosts: &[EndpointRecord],
        changed: Timestamp,
        now: Timestamp,
    ) -> Option<Change> {
        if self.inventory.as_ref().is_some_and(|i| changed <= i.changed) {
            return None;
        }
        let running = self.inventory.is_some();
        let (mut set, mut named) = (Vec::new(), BTreeSet::new());
        for listed in hosts {
            named.insert(listed.name.as_str());
            let old = self.hosts.get(&listed.name);
            let known = old.filter(|o| o.address == listed.address);
            let started_at = match (listed.started_at, known) {
                (Some(stated), _) => Some(stated),
                (None, Some(known)) => known.started_at,
                (None, None) => running.then_some(now),
            };
            let new = HostRecord { started_at, ..HostRecord::of(listed) };
            if old != Some(&new) {
                set.push((listed.name.clone(), new));
            }
        }
        let gone: Vec<String> = self.hosts.keys().filter(|n| !named.contains(n.as_str())).cloned().collect();
        let base = self.inventory.as_ref().map_or(0, |i| i.version);
        Some(Change::Inventory { by: by.to_string(), changed, base, set, gone })
    }

    /// How a file's hosts differ from the agreed ones: added, changed, missing.
    pub fn differs(&self, hosts: &[EndpointRecord]) -> (usize, usize, usize) {
        let (mut added, mut changed) = (0, 0);
        for listed in hosts {
            match self.hosts.get(&listed.name) {
                None => added += 1,
                Some(known) => {
                    let stated = listed.started_at.or(known.started_at);
                    changed +=
                        usize::from(*known != HostRecord { started_at: stated, ..HostRecord::of(listed) });
                }
            }
        }
        let named: BTreeSet<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
        (added, changed, self.hosts.keys().filter(|n| !named.contains(n.as_str())).count())
    }
}

#[cfg(test)]
mod tests;
