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
mod tests {
    use super::*;

    /// Guards against a host that is asked by all daemons at once, and against one that nobody asks, whatever daemons
    /// hear of one another. Seeded.
    #[test]
    fn a_host_is_asked_once_where_words_go_round_and_seldom_where_none_do() {
        for seed in 0..400 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let daemons: Vec<NodeId> = (0..rng.u64(1..16)).map(|_| NodeId(rng.u64(1..))).collect();
            let others =
                |n: usize| daemons.iter().copied().filter(|id| *id != daemons[n]).collect::<Vec<_>>();
            let mut all: Vec<PollScheduler<u8>> =
                (0..daemons.len()).map(|n| PollScheduler::new(daemons[n], others(n))).collect();
            // How long a word is on its way; none arrives where it is cut off.
            let way = TimeDelta::from_micros(rng.i64(1_000..100_000));
            let cut = rng.bool();
            let mut asked: Vec<Vec<Timestamp>> = vec![Vec::new(); 6];
            let mut words: Vec<(Timestamp, u8)> = Vec::new();
            for now in (0..6_000_000).step_by(5_000).map(Timestamp::from_micros) {
                for (at, host) in words.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                    assert!(at <= now);
                    all.iter_mut().for_each(|a| a.told(now, host));
                }
                for own in &mut all {
                    let mut out = own.due(now);
                    if now == Timestamp::ZERO {
                        out.extend(
                            (0..6).filter(|h| own.wanted(now, *h, &format!("s-{h}")) == PollDecision::Now),
                        );
                    }
                    for host in out {
                        asked[usize::from(host)].push(now);
                        if !cut {
                            words.push((now + way, host));
                        } else {
                            own.told(now, host);
                        }
                    }
                }
            }
            for (host, times) in asked.iter().enumerate() {
                let wanted = if cut { daemons.len() } else { 1 };
                assert_eq!(times.len(), wanted, "seed {seed}, host {host}: {times:?}");
                for from in times {
                    let second = times
                        .iter()
                        .filter(|at| (*from..*from + TimeDelta::from_secs(1)).contains(*at))
                        .count();
                    assert!(second <= 4, "seed {seed}: {times:?}");
                }
            }
        }
    }

    #[test]
    fn what_was_told_a_moment_ago_is_not_asked_and_a_daemon_that_is_alone_asks_at_once() {
        let at = |since: TimeDelta| Timestamp::ZERO + since;
        let mut alone = PollScheduler::new(NodeId(7), Vec::new());
        assert_eq!(alone.wanted(Timestamp::ZERO, 1, "a"), PollDecision::Now);
        let soon = TimeDelta::from_micros(10);
        alone.told(at(soon), 1);
        assert_eq!(
            (alone.wanted(at(OBSERVATION_TTL), 1, "a"), alone.wanted(at(OBSERVATION_TTL + soon), 1, "a")),
            (PollDecision::Known, PollDecision::Now)
        );
        let later = (1..).map(NodeId).find(|id| place("a", *id, &[NodeId(1_000)]) == 1).unwrap();
        let mut asks = PollScheduler::new(later, vec![NodeId(1_000)]);
        assert_eq!(
            (asks.wanted(Timestamp::ZERO, 1, "a"), asks.next()),
            (PollDecision::Later, Some(at(POLL_STAGGER)))
        );
        assert_eq!(
            (asks.wanted(at(POLL_STAGGER / 2), 1, "a"), asks.next()),
            (PollDecision::Later, Some(at(POLL_STAGGER)))
        );
        assert_eq!(
            (asks.due(at(POLL_STAGGER - TimeDelta::from_micros(1))), asks.due(at(POLL_STAGGER))),
            (vec![], vec![1])
        );
        assert_eq!((asks.wanted(at(POLL_STAGGER), 1, "a"), asks.end()), (PollDecision::Later, vec![1]));
        // The work is divided evenly.
        let others: Vec<NodeId> = (0..12).map(NodeId).collect();
        let first = |id: NodeId| (0..600).filter(|n| place(&format!("s-{n}"), id, &others) == 0).count();
        assert!(others.iter().all(|id| (25..80).contains(&first(*id))));
    }
}
