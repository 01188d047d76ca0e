//! Drains that are not agreed yet. They act where they are known, also where no majority can be reached, until
//! the log has said what became of them. No I/O.

use crate::ids::NodeId;
use crate::store::records;
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
        if self.open.is_empty() { 0 } else { crc32fast::hash(&records::write(&self.all())) }
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
mod tests {
    use super::*;

    /// Guards against a drain that is said in a minority and lost, whoever dies meanwhile, and against an undrain
    /// that undoes what it had not heard of. Seeded: three daemons that hear one another now and then, a log that
    /// takes what one of them holds.
    #[test]
    fn a_drain_acts_where_it_is_known_until_the_log_has_settled_it() {
        for seed in 0..500 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut state = State::default();
            let mut nodes: Vec<PendingDrains> = (0..3).map(|_| PendingDrains::default()).collect();
            let mut said: BTreeSet<(String, DrainMark)> = BTreeSet::new();
            let mut undone: BTreeSet<DrainMark> = BTreeSet::new();
            for step in 0..200i64 {
                let n = rng.usize(..3);
                let host = format!("s-{}", rng.u8(..4));
                match rng.u8(..10) {
                    0 => {
                        let mark =
                            nodes[n].request_drain(&host, NodeId(n as u64 + 1), Timestamp::from_micros(step));
                        said.insert((host, mark));
                    }
                    1..=3 => {
                        let all = nodes[rng.usize(..3)].all();
                        nodes[n].merge(all, &state, 1000);
                    }
                    4 => {
                        for change in
                            nodes[n].due_proposals(Timestamp::from_micros(step), TimeDelta::from_micros(10))
                        {
                            state.apply(step as u64, &change);
                        }
                    }
                    5 => {
                        let known = state.drains.get(&host).into_iter().flatten().copied();
                        let marks: Vec<DrainMark> = known.chain(nodes[n].drains_of(&host)).collect();
                        undone.extend(&marks);
                        state.apply(step as u64, &Change::Undrain { host, marks });
                    }
                    6 => {
                        nodes[n].remove_settled(&state);
                    }
                    _ => {}
                }
                for (host, mark) in said.iter().filter(|(_, mark)| !undone.contains(mark)) {
                    let agreed = state.is_drained(host);
                    let by = &nodes[mark.by.0 as usize - 1];
                    assert!(agreed || by.is_draining(host), "seed {seed}, step {step}: {mark:?} of {host}");
                }
            }
            for node in &mut nodes {
                node.remove_settled(&state);
            }
            for (host, mark) in &said {
                assert_eq!(
                    state.settled(host, *mark),
                    !nodes.iter().any(|n| n.drains_of(host).contains(mark))
                );
            }
        }
    }

    #[test]
    fn a_number_is_never_used_twice_and_what_is_held_is_bounded() {
        let (mut marks, me, at) = (PendingDrains::default(), NodeId(7), Timestamp::from_micros);
        let first = marks.request_drain("a", me, at(1_000));
        assert_eq!(marks.request_drain("a", me, at(2_000)), first, "it is drained already");
        assert!(marks.request_drain("b", me, at(1_000)).number > first.number);
        assert!(
            PendingDrains::default().request_drain("a", me, at(5_000)).number > first.number,
            "after a restart without disk"
        );
        let many = (0..50).map(|n| (format!("s-{n}"), DrainMark { by: NodeId(9), number: n })).collect();
        assert!(marks.merge(many, &State::default(), 10));
        assert_eq!(marks.all().len(), 10);
        assert_ne!(marks.digest(), 0);
        let mut due = |now| marks.due_proposals(at(now), TimeDelta::from_micros(100)).len();
        assert_eq!((due(0), due(50), due(100)), (10, 0, 10));
    }
}
