//! Who asks a host first when many daemons return at once. No I/O.
//!
//! Each host has an order of all daemons, worked out from names alone. The first asks at once, each later one only
//! where nobody's word of that host has come in its time: with words that go round, a host is asked once, whatever
//! the number of daemons; with none, so seldom that it bears it.

use crate::ids::NodeId;
use crate::routing::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A daemon waits so long for the word of each one before it. In a second a host is asked by four at the most
/// that hear nothing of one another.
pub const POLL_STAGGER: TimeDelta = TimeDelta::from_millis(250);
/// A word of a host is as good as an answer for so long.
pub const OBSERVATION_TTL: TimeDelta = TimeDelta::from_millis(200);

/// The place of a daemon in the order in which a host is asked, among these others.
pub fn place(host: &str, me: NodeId, others: &[NodeId]) -> usize {
    let name = u64::from(crc32fast::hash(host.as_bytes()));
    let order = |id: NodeId| {
        let mut x = id.0 ^ name.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31), id)
    };
    others.iter().filter(|id| **id != me && order(**id) < order(me)).count()
}

/// What becomes of a question to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// It goes out.
    Now,
    /// It waits for another daemon's word.
    Later,
    /// What was last told of the host answers it.
    Known,
}

/// Questions of one daemon. `K`: how hosts are named.
#[derive(Debug)]
pub struct PollScheduler<K> {
    me: NodeId,
    others: Vec<NodeId>,
    later: BTreeMap<K, Timestamp>,
    told: BTreeMap<K, Timestamp>,
}

impl<K: Ord + Copy> PollScheduler<K> {
    /// Questions of `me`, where these others are heard.
    pub fn new(me: NodeId, others: Vec<NodeId>) -> PollScheduler<K> {
        PollScheduler { me, others, later: BTreeMap::new(), told: BTreeMap::new() }
    }

    /// Others are heard now.
    pub fn hears(&mut self, others: Vec<NodeId>) {
        self.others = others;
    }

    /// A question to a host is wanted.
    pub fn wanted(&mut self, now: Timestamp, key: K, host: &str) -> PollDecision {
        if self.told.get(&key).is_some_and(|at| now - *at < OBSERVATION_TTL) {
            return PollDecision::Known;
        }
        let place = place(host, self.me, &self.others);
        if place == 0 {
            self.later.remove(&key);
            return PollDecision::Now;
        }
        self.later.entry(key).or_insert(now + POLL_STAGGER * place as i64);
        PollDecision::Later
    }

    /// A host was heard, by this daemon or by another one.
    pub fn told(&mut self, now: Timestamp, key: K) {
        self.later.remove(&key);
        self.told.insert(key, now);
    }

    /// Questions whose time has come.
    pub fn due(&mut self, now: Timestamp) -> Vec<K> {
        let due: Vec<K> = self.later.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key).collect();
        self.later.retain(|_, at| *at > now);
        due
    }

    /// When the next one's time comes.
    pub fn next(&self) -> Option<Timestamp> {
        self.later.values().min().copied()
    }

    /// All that wait: nobody's word is waited for any more.
    pub fn end(self) -> Vec<K> {
        self.later.into_keys().collect()
    }
}

#[cfg(test)]
mod tests;
