//! Drains that are not agreed yet. They act where they are known, also where no majority can be reached, until
//! the log has said what became of them. No I/O.

use crate::ids::NodeId;
use crate::store::codec;
use crate::store::state_machine::{Change, ClusterState, DrainId};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Drains that wait for a majority.
#[derive(Debug, Default)]
pub struct PendingDrains {
    open: BTreeMap<(String, DrainId), Option<Timestamp>>,
    hosts: BTreeMap<String, usize>,
    last: u64,
    /// Grows with every change.
    version: u64,
}

impl PendingDrains {
    /// What a disk held.
    pub fn new(held: Vec<(String, DrainId)>) -> PendingDrains {
        let mut marks = PendingDrains::default();
        held.into_iter().for_each(|(host, mark)| {
            marks.add(host, mark);
        });
        marks
    }

    fn add(&mut self, host: String, mark: DrainId) -> bool {
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
    pub fn request_drain(&mut self, host: &str, by: NodeId, now: Timestamp) -> DrainId {
        let own = self.open.keys().find(|(h, m)| h == host && m.node == by);
        if let Some((_, mark)) = own {
            return *mark;
        }
        self.last = (self.last + 1).max(now.as_micros().max(0) as u64);
        let mark = DrainId { node: by, sequence: self.last };
        self.add(host.to_string(), mark);
        mark
    }

    /// Takes in what another daemon holds, as far as the log has not settled it; true: something was new. More
    /// than `most` are not kept.
    pub fn merge(&mut self, others: Vec<(String, DrainId)>, state: &ClusterState, most: usize) -> bool {
        let before = self.version;
        for (host, mark) in others {
            if !state.is_resolved(&host, mark) && self.open.len() < most {
                self.add(host, mark);
            }
        }
        self.version != before
    }

    /// Forgets what the log has settled, and says what that was.
    pub fn remove_settled(&mut self, state: &ClusterState) -> Vec<(String, DrainId)> {
        let settled: Vec<(String, DrainId)> =
            self.open.keys().filter(|(host, mark)| state.is_resolved(host, *mark)).cloned().collect();
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
    pub fn drains_of(&self, host: &str) -> BTreeSet<DrainId> {
        self.open.keys().filter(|(h, _)| h == host).map(|(_, mark)| *mark).collect()
    }

    /// All of them.
    pub fn all(&self) -> Vec<(String, DrainId)> {
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
        if self.open.is_empty() { 0 } else { crc32fast::hash(&codec::encode(&self.all())) }
    }

    /// What the leader has to put into the log: each at once, and again where it was not settled for `insist`.
    pub fn due_proposals(&mut self, now: Timestamp, insist: TimeDelta) -> Vec<Change> {
        let mut due = Vec::new();
        for ((host, mark), proposed) in &mut self.open {
            if proposed.is_none_or(|at| now - at >= insist) {
                *proposed = Some(now);
                due.push(Change::Drain { host: host.clone(), drain: *mark });
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
