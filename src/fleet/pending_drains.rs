//! Drains that are not committed yet. No I/O.
//!
//! A pending drain takes effect on every node that has received it, even without a majority, until the log resolves it
//! by committing or undoing it.

use crate::ids::NodeId;
use crate::store::codec;
use crate::store::state_machine::{Change, ClusterState, DrainId, PendingDrain};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The drains that this node knows of and that the log has not resolved yet.
#[derive(Debug, Default)]
pub struct PendingDrains {
    /// The pending drains, each with the time at which this node, as the leader, last proposed it; `None` if it has not
    /// proposed it.
    proposed_at: BTreeMap<PendingDrain, Option<Timestamp>>,
    /// The number of pending drains of each endpoint, without zeros.
    count_by_endpoint: BTreeMap<String, usize>,
    last_sequence: u64,
    version: u64,
}

impl PendingDrains {
    /// Restores the drains that were stored on disk.
    pub fn new(persisted: Vec<PendingDrain>) -> PendingDrains {
        let mut drains = PendingDrains::default();
        for drain in persisted {
            drains.add(drain);
        }
        drains
    }

    fn add(&mut self, drain: PendingDrain) {
        if self.proposed_at.contains_key(&drain) {
            return;
        }
        *self.count_by_endpoint.entry(drain.host.clone()).or_default() += 1;
        self.proposed_at.insert(drain, None);
        self.version += 1;
    }

    fn remove(&mut self, drain: &PendingDrain) {
        self.proposed_at.remove(drain);
        if let Some(count) = self.count_by_endpoint.get_mut(&drain.host) {
            *count -= 1;
            if *count == 0 {
                self.count_by_endpoint.remove(&drain.host);
            }
        }
    }

    /// Adds a drain of an endpoint with a new id of this node, and returns the id. The sequence number is derived from
    /// `now`, so that it is new even if the node lost its disk.
    ///
    /// The id is new even if a drain of the endpoint by this node is pending: the others may have committed and undone
    /// that one without this node's knowledge. Only if `limit` drains are pending, the id of the latest such drain is
    /// returned instead.
    pub fn request_drain(
        &mut self,
        endpoint: &str,
        local_node: NodeId,
        now: Timestamp,
        limit: usize,
    ) -> DrainId {
        let pending = self.drains_of(endpoint).into_iter().filter(|drain| drain.node == local_node).max();
        if let Some(latest) = pending.filter(|_| self.proposed_at.len() >= limit) {
            return latest;
        }
        let time_sequence = now.as_micros().max(0) as u64;
        self.last_sequence = (self.last_sequence + 1).max(time_sequence);
        let id = DrainId { node: local_node, sequence: self.last_sequence };
        self.add(PendingDrain { host: endpoint.to_string(), drain: id });
        id
    }

    /// Adds a peer's pending drains that the log has not resolved, up to `limit` drains in total. Returns whether any
    /// of them was new.
    pub fn merge(&mut self, received: Vec<PendingDrain>, state: &ClusterState, limit: usize) -> bool {
        let version_before = self.version;
        for drain in received {
            if !state.is_resolved(&drain.host, drain.drain) && self.proposed_at.len() < limit {
                self.add(drain);
            }
        }
        self.version != version_before
    }

    /// Removes the drains that the log has resolved, and returns them.
    pub fn remove_resolved(&mut self, state: &ClusterState) -> Vec<PendingDrain> {
        let is_resolved = |drain: &&PendingDrain| state.is_resolved(&drain.host, drain.drain);
        let resolved: Vec<PendingDrain> = self.proposed_at.keys().filter(is_resolved).cloned().collect();
        for drain in &resolved {
            self.remove(drain);
        }
        if !resolved.is_empty() {
            self.version += 1;
        }
        resolved
    }

    /// Whether any pending drain is for this endpoint.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.count_by_endpoint.contains_key(endpoint)
    }

    /// The ids of an endpoint's pending drains.
    pub fn drains_of(&self, endpoint: &str) -> BTreeSet<DrainId> {
        let keys = self.proposed_at.keys();
        keys.filter(|pending| pending.host == endpoint).map(|pending| pending.drain).collect()
    }

    /// All pending drains, ordered by endpoint name and id.
    pub fn all(&self) -> Vec<PendingDrain> {
        self.proposed_at.keys().cloned().collect()
    }

    /// Number of pending drains.
    pub fn len(&self) -> usize {
        self.proposed_at.len()
    }

    /// Whether there are no pending drains.
    pub fn is_empty(&self) -> bool {
        self.proposed_at.is_empty()
    }

    /// A number that grows with every change, so that the drains are written to disk only after a change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A checksum that is equal on nodes with the same drains; 0 if there are none.
    pub fn digest(&self) -> u32 {
        if self.is_empty() { 0 } else { crc32fast::hash(&codec::encode(&self.all())) }
    }

    /// Returns the drains that the leader has to propose now, and records them as proposed. Each is due at once, and
    /// again every `retry_interval` until the log resolves it.
    pub fn due_proposals(&mut self, now: Timestamp, retry_interval: TimeDelta) -> Vec<Change> {
        let mut due = Vec::new();
        for (pending, proposed_at) in &mut self.proposed_at {
            if proposed_at.is_none_or(|proposed_at| now - proposed_at >= retry_interval) {
                *proposed_at = Some(now);
                due.push(Change::Drain { host: pending.host.clone(), drain: pending.drain });
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
