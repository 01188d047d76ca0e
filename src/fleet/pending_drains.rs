//! Drains that are not agreed yet. They act where they are known, also where no majority can be reached, until
//! the log has said what became of them. No I/O.

use crate::ids::NodeId;
use crate::store::codec;
use crate::store::state_machine::{Change, DrainMark, State};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Drains that wait for a majority.
#[derive(Debug, Default)]
pub struct PendingDrains {
    open: BTreeMap<(String, DrainMark), Option<Timestamp>>,
    hosts: BTreeMap<String, usize>,
    last: u64,
    /// Grows with every change.
    version: u64,
}

impl PendingDrains {
    /// What a disk held.
    pub fn new(held: Vec<(String, DrainMark)>) -> PendingDrains {
        let mut marks = PendingDrains::default();
        held.into_iter().for_each(|(host, mark)| {
            marks.add(host, mark);
        });
        marks
    }

    fn add(&mut self, host: String, mark: DrainMark) -> bool {
        let key = (host, mark);
        if self.open.contains_key(&key) {
            return false;
        }
        *self.hosts.entry(key.0.clone()).or_default() += 1;
        self.open.insert(key, None);
        self.version += 1;
        true
    }

    /// A drain is said here; `now` makes its number one that this daemon never used, also after a restart.
    pub fn request_drain(&mut self, host: &str, by: NodeId, now: Timestamp) -> DrainMark {
        let own = self.open.keys().find(|(h, m)| h == host && m.by == by);
        if let Some((_, mark)) = own {
            return *mark;
        }
        self.last = (self.last + 1).max(now.as_micros().max(0) as u64);
        let mark = DrainMark { by, number: self.last };
        self.add(host.to_string(), mark);
        mark
    }

    /// Takes in what another daemon holds, as far as the log has not settled it; true: something was new. More
    /// than `most` are not kept.
    pub fn merge(&mut self, others: Vec<(String, DrainMark)>, state: &State, most: usize) -> bool {
        let before = self.version;
        for (host, mark) in others {
            if !state.settled(&host, mark) && self.open.len() < most {
                self.add(host, mark);
            }
        }
        self.version != before
    }

    /// Forgets what the log has settled, and says what that was.
    pub fn remove_settled(&mut self, state: &State) -> Vec<(String, DrainMark)> {
        let settled: Vec<(String, DrainMark)> =
            self.open.keys().filter(|(host, mark)| state.settled(host, *mark)).cloned().collect();
        for key in &settled {
            self.open.remove(key);
            if let Some(count) = self.hosts.get_mut(&key.0) {
                *count -= 1;
                if *count == 0 {
                    self.hosts.remove(&key.0);
                }
            }
        }
        self.version += u64::from(!settled.is_empty());
        settled
    }

    /// Whether a host is drained by one of them.
    pub fn is_draining(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Those of a host.
    pub fn drains_of(&self, host: &str) -> BTreeSet<DrainMark> {
        self.open.keys().filter(|(h, _)| h == host).map(|(_, mark)| *mark).collect()
    }

    /// All of them.
    pub fn all(&self) -> Vec<(String, DrainMark)> {
        self.open.keys().cloned().collect()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Grows with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Alike at daemons that hold the same.
    pub fn digest(&self) -> u32 {
        if self.open.is_empty() { 0 } else { crc32fast::hash(&codec::write(&self.all())) }
    }

    /// What the leader has to put into the log: each at once, and again where it was not settled for `insist`.
    pub fn due_proposals(&mut self, now: Timestamp, insist: TimeDelta) -> Vec<Change> {
        let mut due = Vec::new();
        for ((host, mark), proposed) in &mut self.open {
            if proposed.is_none_or(|at| now - at >= insist) {
                *proposed = Some(now);
                due.push(Change::Drain { host: host.clone(), mark: *mark });
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
