//! Shared health checks: decides which of several poolers polls an endpoint first when many of them start at once. No
//! I/O.
//!
//! For each endpoint, all poolers are ranked by a hash of the endpoint's name and their ids (rendezvous hashing: Thaler
//! and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). The first pooler polls at once. Each
//! later one polls only if no observation of the endpoint has arrived by its scheduled time. While gossip arrives, an
//! endpoint is polled once, whatever the number of poolers. Without gossip, it is polled at a limited rate.

use crate::ids::NodeId;
use crate::routing::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// How long a pooler waits for an observation, multiplied by the number of poolers that rank before it. The time
/// suffices for a poll and the gossip of its result, and limits poolers that receive nothing from each other to four
/// polls of an endpoint per second in total.
pub const POLL_STAGGER: TimeDelta = TimeDelta::from_millis(250);
/// How long an observation replaces a poll of the endpoint. Shorter than [`POLL_STAGGER`], so that it has expired by
/// the scheduled time of the next pooler.
pub const OBSERVATION_TTL: TimeDelta = TimeDelta::from_millis(200);

/// Multiplier that spreads the 32-bit checksum of a name over 64 bits: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The SplitMix64 finalizer (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The number of `peers` that poll an endpoint before `local` does.
pub fn poll_rank(endpoint_name: &str, local: NodeId, peers: &[NodeId]) -> usize {
    let name_hash = u64::from(crc32fast::hash(endpoint_name.as_bytes())).wrapping_mul(GOLDEN_GAMMA);
    let sort_key = |id: NodeId| (mix(id.0 ^ name_hash), id);
    peers.iter().filter(|peer| **peer != local && sort_key(**peer) < sort_key(local)).count()
}

/// What to do about a poll that the router requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// Send the poll now.
    Send,
    /// Wait for a peer's observation until this pooler's scheduled time.
    Defer,
    /// Do not send the poll: the last observation of the endpoint is recent enough to answer it.
    AlreadyAnswered,
}

/// The poll schedule of one pooler. `K` is the type of endpoint ids.
#[derive(Debug)]
pub struct PollScheduler<K> {
    local: NodeId,
    peers: Vec<NodeId>,
    /// Polls that wait for a peer's observation, with the time at which they are sent without one.
    deferred: BTreeMap<K, Timestamp>,
    /// When each endpoint was last observed, by this pooler or by a peer.
    observed_at: BTreeMap<K, Timestamp>,
}

impl<K: Ord + Copy> PollScheduler<K> {
    /// An empty schedule for the pooler `local`, which receives gossip from `peers`.
    pub fn new(local: NodeId, peers: Vec<NodeId>) -> PollScheduler<K> {
        PollScheduler { local, peers, deferred: BTreeMap::new(), observed_at: BTreeMap::new() }
    }

    /// Replaces the peers from which gossip arrives.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.peers = peers;
    }

    /// Decides on a poll that the router requested, and schedules it if it is deferred.
    pub fn decide(&mut self, now: Timestamp, key: K, endpoint_name: &str) -> PollDecision {
        if self.observed_at.get(&key).is_some_and(|at| now - *at < OBSERVATION_TTL) {
            return PollDecision::AlreadyAnswered;
        }
        let rank = poll_rank(endpoint_name, self.local, &self.peers);
        if rank == 0 {
            self.deferred.remove(&key);
            return PollDecision::Send;
        }
        self.deferred.entry(key).or_insert(now + POLL_STAGGER * rank as i64);
        PollDecision::Defer
    }

    /// Records that an endpoint was observed, by this pooler or by a peer; a deferred poll of it is dropped.
    pub fn record_observation(&mut self, now: Timestamp, key: K) {
        self.deferred.remove(&key);
        self.observed_at.insert(key, now);
    }

    /// Removes and returns the endpoints whose deferred polls are due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<K> {
        let is_due = |(_, due_at): &(&K, &Timestamp)| **due_at <= now;
        let due: Vec<K> = self.deferred.iter().filter(is_due).map(|(key, _)| *key).collect();
        self.deferred.retain(|_, due_at| *due_at > now);
        due
    }

    /// When the next deferred poll is due; `None` if no poll is deferred.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.deferred.values().min().copied()
    }

    /// Consumes the schedule and returns the endpoints whose polls were still deferred.
    pub fn into_deferred(self) -> Vec<K> {
        self.deferred.into_keys().collect()
    }
}

#[cfg(test)]
mod tests;
