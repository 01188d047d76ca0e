//! Shared health checks: which of several poolers polls an endpoint first when many of them start at once. No I/O.
//!
//! Every endpoint ranks all poolers by a hash of its name and their ids (rendezvous hashing: Thaler and Ravishankar,
//! "Using Name-Based Mappings to Increase Hit Rates", 1998). The first one polls at once; each later one polls only
//! if no observation of the endpoint has arrived by its turn. While gossip arrives, an endpoint is polled once,
//! whatever the number of poolers; without any, at a rate that it can bear.

use crate::ids::NodeId;
use crate::routing::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A pooler waits this long for an observation by each pooler that ranks before it. Long enough for a poll and its
/// gossip; poolers that hear nothing from each other still poll an endpoint at most four times a second.
pub const POLL_STAGGER: TimeDelta = TimeDelta::from_millis(250);
/// How long an observation replaces a poll of the endpoint. Shorter than [`POLL_STAGGER`]: it has expired before the
/// turn of the next pooler.
pub const OBSERVATION_TTL: TimeDelta = TimeDelta::from_millis(200);

/// Multiplier that spreads the 32 bits of the name's checksum over 64: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The SplitMix64 finalizer (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// How many of `peers` poll an endpoint before `local` does.
pub fn poll_rank(endpoint_name: &str, local: NodeId, peers: &[NodeId]) -> usize {
    let name_hash = u64::from(crc32fast::hash(endpoint_name.as_bytes())).wrapping_mul(GOLDEN_GAMMA);
    let order = |id: NodeId| (mix(id.0 ^ name_hash), id);
    peers.iter().filter(|peer| **peer != local && order(**peer) < order(local)).count()
}

/// What to do about a poll that the router wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// Send it now.
    Send,
    /// Wait for a peer's observation until this pooler's turn.
    Defer,
    /// The last observation of the endpoint answers it.
    AlreadyAnswered,
}

/// Poll schedule of one pooler, keyed by endpoint id `K`.
#[derive(Debug)]
pub struct PollScheduler<K> {
    local: NodeId,
    peers: Vec<NodeId>,
    /// Polls that wait for a peer's observation, with the time of their turn.
    deferred: BTreeMap<K, Timestamp>,
    /// When each endpoint was last observed, here or by a peer.
    observed_at: BTreeMap<K, Timestamp>,
}

impl<K: Ord + Copy> PollScheduler<K> {
    /// An empty schedule of `local`, which receives gossip from `peers`.
    pub fn new(local: NodeId, peers: Vec<NodeId>) -> PollScheduler<K> {
        PollScheduler { local, peers, deferred: BTreeMap::new(), observed_at: BTreeMap::new() }
    }

    /// Replaces the peers from which gossip arrives.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.peers = peers;
    }

    /// The router wants an endpoint polled.
    pub fn request(&mut self, now: Timestamp, key: K, endpoint_name: &str) -> PollDecision {
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

    /// An endpoint was observed, by this pooler or by a peer.
    pub fn observed(&mut self, now: Timestamp, key: K) {
        self.deferred.remove(&key);
        self.observed_at.insert(key, now);
    }

    /// Removes and returns the endpoints whose turn has come without an observation.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<K> {
        let is_due = |(_, turn): &(&K, &Timestamp)| **turn <= now;
        let due: Vec<K> = self.deferred.iter().filter(is_due).map(|(key, _)| *key).collect();
        self.deferred.retain(|_, turn| *turn > now);
        due
    }

    /// When the next deferred poll has its turn.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.deferred.values().min().copied()
    }

    /// Ends the sharing: the endpoints whose polls were still deferred.
    pub fn into_deferred(self) -> Vec<K> {
        self.deferred.into_keys().collect()
    }
}

#[cfg(test)]
mod tests;
