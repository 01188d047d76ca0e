//! What the fleet has learned of the hosts: evidence with its age and its source, spread by digests and
//! differences. Soft: no quorum, no disk, and nothing here is proof of a position to anybody. No I/O.
//!
//! Ages go between daemons, never times: clocks may differ.

use crate::core::facts::Fact;
use crate::interface::Micros;
use crate::store::agreed::State;
use crate::store::form::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Evidence that is older is not believed.
const OLD: Micros = 60_000_000;
/// A position is told again when it has moved by so much, and no host more often than this.
const MOVED: Micros = 5_000_000;
/// A daemon that has not been heard of for so long is forgotten.
const FORGOTTEN: Micros = 600_000_000;

/// Which start of a daemon, and how many facts it has told since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Count {
    /// Its start, later ones greater.
    pub boot: u64,
    /// Its facts.
    pub facts: u64,
}

/// What one daemon heard a host say of itself, on its way to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Who heard it.
    pub by: NodeId,
    /// Its number among that daemon's facts.
    pub count: Count,
    /// The host.
    pub host: String,
    /// The host called itself the primary.
    pub primary: bool,
    /// The position that it told, in Unix microseconds of its own clock; 0: none.
    pub position: Micros,
    /// How long ago that was.
    pub age: Micros,
    /// Attempts that were out at it then.
    pub out: u16,
    /// How long ago it started, as far as known.
    pub up: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Evidence {
    count: Count,
    primary: bool,
    position: Micros,
    at: Micros,
    out: u16,
    started: Option<Micros>,
}

/// Who is believed to be the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Belief {
    /// The host.
    pub host: String,
    /// When it last called itself that, in this daemon's time.
    pub at: Micros,
    /// Who heard it.
    pub by: NodeId,
}

/// All evidence.
#[derive(Debug, Default)]
pub struct Learned {
    me: NodeId,
    own: Count,
    /// By source, by host.
    all: BTreeMap<NodeId, BTreeMap<String, Evidence>>,
    counts: BTreeMap<NodeId, (Count, Micros)>,
    beliefs: BTreeMap<u32, Belief>,
    /// Primaries by what was known before this start, by host: when each last called itself that.
    before: BTreeMap<String, Micros>,
}

impl Learned {
    /// Nothing is known yet. `boot` is greater than at any earlier start.
    pub fn new(me: NodeId, boot: u64) -> Learned {
        Learned { me, own: Count { boot, facts: 0 }, ..Learned::default() }
    }

    /// Hosts have told this daemon something; true: it is to be told at once.
    pub fn observe(&mut self, now: Micros, facts: &[Fact]) -> bool {
        let mut urgent = false;
        let own = self.all.entry(self.me).or_default();
        for fact in facts {
            let old = own.get(&fact.host);
            let turned = old.is_none_or(|o| o.primary != fact.primary);
            let moved = old.is_none_or(|o| {
                fact.at - o.at >= MOVED && fact.position != o.position || (o.out == 0) != (fact.out == 0)
            });
            if !turned && !moved {
                continue;
            }
            urgent |= turned && fact.primary;
            self.own.facts += 1;
            let Fact { primary, position, at, out, started, .. } = *fact;
            let evidence = Evidence { count: self.own, primary, position, at, out, started };
            own.insert(fact.host.clone(), evidence);
        }
        self.counts.insert(self.me, (self.own, now));
        urgent
    }

    /// What is known of each source, for others to compare.
    pub fn digest(&self) -> Vec<(NodeId, Count)> {
        self.counts.iter().map(|(id, (count, _))| (*id, *count)).collect()
    }

    /// What another daemon lacks, by its digest: this daemon's own, and of others what it does not hear itself.
    /// The oldest first, at most `most`: what is left comes the next time.
    pub fn lacks(
        &self,
        now: Micros,
        digest: &[(NodeId, Count)],
        hears: impl Fn(NodeId) -> bool,
        most: usize,
    ) -> Vec<Word> {
        let known: BTreeMap<NodeId, Count> = digest.iter().copied().collect();
        let mut words = Vec::new();
        for (by, hosts) in &self.all {
            if *by != self.me && hears(*by) {
                continue;
            }
            let known = known.get(by).copied().unwrap_or_default();
            let mut new: Vec<(&String, &Evidence)> = hosts.iter().filter(|(_, e)| e.count > known).collect();
            new.sort_by_key(|(_, e)| e.count);
            words.extend(new.into_iter().take(most.saturating_sub(words.len())).map(|(host, e)| Word {
                by: *by,
                count: e.count,
                host: host.clone(),
                primary: e.primary,
                position: e.position,
                age: (now - e.at).max(0),
                out: e.out,
                up: e.started.map(|at| (now - at).max(0)),
            }));
        }
        words
    }

    /// Takes in what another daemon passed on. A host that the agreed list has not is not taken in, nor is
    /// anything of a daemon that is no member; what this daemon said itself comes back to nobody.
    pub fn hear(&mut self, now: Micros, words: Vec<Word>, state: &State) {
        for word in words {
            let Word { by, count, host, primary, position, age, out, up } = word;
            let is_sound = (0..FORGOTTEN).contains(&age) && up.is_none_or(|up| up >= 0);
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
            let evidence = Evidence { count, primary, position, at: now - age, out, started };
            self.all.entry(by).or_default().insert(host, evidence);
        }
    }

    /// Forgets hosts that are gone, and daemons that are.
    pub fn tidy(&mut self, now: Micros, state: &State) {
        let me = self.me;
        self.counts
            .retain(|id, (_, at)| *id == me || state.members.contains_key(id) && now - *at < FORGOTTEN);
        let counts = &self.counts;
        self.all.retain(|id, hosts| {
            hosts.retain(|host, _| state.hosts.contains_key(host));
            counts.contains_key(id)
        });
    }

    /// Works out who is primary where, from evidence that is not too old; what is new since the last time. What
    /// this daemon heard of a host itself voids every word of others about it from before, and a later primary
    /// is never replaced by an earlier one.
    pub fn believe(&mut self, now: Micros, state: &State) -> Vec<(u32, Belief)> {
        let empty = BTreeMap::new();
        let own = self.all.get(&self.me).unwrap_or(&empty);
        let mut found: BTreeMap<u32, Belief> = BTreeMap::new();
        for (by, hosts) in &self.all {
            for (host, e) in hosts.iter().filter(|(_, e)| e.primary && now - e.at < OLD) {
                let Some(group) = state.hosts.get(host).map(|h| h.group) else { continue };
                let voided = *by != self.me && own.get(host).is_some_and(|o| o.at >= e.at);
                if voided || found.get(&group).is_some_and(|b| (b.at, b.by) >= (e.at, *by)) {
                    continue;
                }
                found.insert(group, Belief { host: host.clone(), at: e.at, by: *by });
            }
        }
        let mut new = Vec::new();
        for (group, belief) in found {
            let old = self.beliefs.get(&group);
            if old.is_some_and(|old| old.at > belief.at) {
                continue;
            }
            if old.is_none_or(|old| old.host != belief.host) {
                new.push((group, belief.clone()));
            }
            self.beliefs.insert(group, belief);
        }
        self.beliefs.retain(|group, b| state.hosts.get(&b.host).is_some_and(|h| h.group == *group));
        new
    }

    /// Who is believed to be the primary of each group.
    pub fn beliefs(&self) -> &BTreeMap<u32, Belief> {
        &self.beliefs
    }

    /// All that is known, to lie on the disk.
    pub fn words(&self, now: Micros) -> Vec<Word> {
        self.lacks(now, &[], |_| false, usize::MAX)
    }

    /// What was known before this start, older by `since` than when it was written: for guesses only.
    pub fn remember(&mut self, now: Micros, words: &[Word], since: Micros) {
        for word in words.iter().filter(|w| w.primary && w.age >= 0) {
            let at = now.saturating_sub(word.age).saturating_sub(since);
            let known = self.before.entry(word.host.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// First guesses at the primaries of groups of which nothing was heard since the start, from what was known
    /// before it; of several hosts of a group the one that called itself that last.
    pub fn guesses(&self, state: &State) -> BTreeMap<u32, (String, Micros)> {
        let mut found: BTreeMap<u32, (String, Micros)> = BTreeMap::new();
        for (host, at) in &self.before {
            let Some(group) = state.hosts.get(host).map(|h| h.group) else { continue };
            let later = found.get(&group).is_none_or(|(_, known)| known < at);
            if later && !self.beliefs.contains_key(&group) {
                found.insert(group, (host.clone(), *at));
            }
        }
        found
    }

    /// Attempts that all daemons together have out at a host, by their last words.
    pub fn out(&self, host: &str) -> u32 {
        self.all.values().filter_map(|hosts| hosts.get(host)).map(|e| u32::from(e.out)).sum()
    }

    /// Evidence that is kept.
    pub fn len(&self) -> usize {
        self.all.values().map(BTreeMap::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All of it in words, a line for each: host, who heard it, role, position, age in ms, attempts out.
    pub fn describe(&self, now: Micros, name: impl Fn(NodeId) -> String) -> Vec<String> {
        let hosts: BTreeSet<&String> = self.all.values().flat_map(BTreeMap::keys).collect();
        let mut lines = Vec::new();
        for host in hosts {
            for (by, e) in self.all.iter().filter_map(|(by, hosts)| Some((by, hosts.get(host)?))) {
                let role = if e.primary { "primary" } else { "replica" };
                let (position, age) = (e.position / 1000, (now - e.at) / 1000);
                lines.push(format!("{host} {} {role} {position} {age} {}", name(*by), e.out));
            }
        }
        lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::store::agreed::Member;
    use crate::store::form::HostRecord;

    const S: Micros = 1_000_000;

    fn state(members: u64, hosts: usize) -> State {
        let member = |n| Member { name: format!("b{n}"), address: ([127, 0, 0, 1], n as u16).into() };
        let host = |n: usize| HostRecord {
            address: ([127, 0, 0, 1], 1).into(),
            group: n as u32 / 3,
            zone: 0,
            weight: 1.0,
            leaving: false,
            started_at: None,
        };
        State {
            members: (1..=members).map(|n| (n, member(n))).collect(),
            hosts: (0..hosts).map(|n| (format!("s-{n}"), host(n))).collect(),
            ..State::default()
        }
    }

    fn fact(host: usize, primary: bool, at: Micros) -> Fact {
        Fact { host: format!("s-{host}"), primary, position: at, at, out: 0, started: None }
    }

    /// Any order, loss and repetition, and clocks that differ: in the end all know the same, the belief of each
    /// only moves on to later primaries, and nobody believes what its own ears contradict.
    #[test]
    fn any_schedule_converges_and_beliefs_never_go_back() {
        for seed in 0..400 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let state = state(4, 6);
            let mut nodes: Vec<Learned> = (1..=4).map(|n| Learned::new(n, 1)).collect();
            let skew: Vec<Micros> = (0..4).map(|_| rng.i64(-5 * S..5 * S)).collect();
            let mut mail: Vec<(usize, Vec<Word>)> = Vec::new();
            let (mut now, mut primaries) = (100 * S, [0, 3]);
            let mut last: Vec<BTreeMap<u32, Belief>> = vec![BTreeMap::new(); 4];
            for _ in 0..300 {
                now += rng.i64(0..S / 2);
                let (a, b) = (rng.usize(..4), rng.usize(..4));
                match rng.u8(..10) {
                    0 => {
                        let group = rng.usize(..2);
                        primaries[group] = group * 3 + rng.usize(..3);
                    }
                    1..=4 => {
                        let host = rng.usize(..6);
                        let at = now + skew[a];
                        nodes[a].observe(at, &[fact(host, primaries.contains(&host), at)]);
                    }
                    5 | 6 if a != b => {
                        let digest = nodes[b].digest();
                        mail.push((b, nodes[a].lacks(now + skew[a], &digest, |_| false, 3)));
                    }
                    7 | 8 if !mail.is_empty() => {
                        let at = rng.usize(..mail.len());
                        let (to, words) = if rng.bool() { mail[at].clone() } else { mail.swap_remove(at) };
                        nodes[to].hear(now + skew[to], words, &state);
                    }
                    9 => drop(mail.pop()),
                    _ => {}
                }
                for (n, node) in nodes.iter_mut().enumerate() {
                    node.believe(now + skew[n], &state);
                    for (group, belief) in node.beliefs() {
                        if let Some(before) = last[n].get(group) {
                            assert!(belief.at >= before.at, "seed {seed}: {before:?} gave way to {belief:?}");
                        }
                    }
                    last[n] = node.beliefs().clone();
                }
            }
            for _ in 0..40 {
                for a in 0..4 {
                    for b in (0..4).filter(|b| *b != a) {
                        let digest = nodes[b].digest();
                        let words = nodes[a].lacks(now + skew[a], &digest, |_| false, 3);
                        nodes[b].hear(now + skew[b], words, &state);
                    }
                }
            }
            let digests: BTreeSet<_> = nodes.iter().map(Learned::digest).collect();
            assert_eq!(digests.len(), 1, "seed {seed}");
            let lines = |n: &Learned| n.describe(0, |id| id.to_string()).len();
            assert!(nodes.iter().all(|n| lines(n) == lines(&nodes[0])), "seed {seed}");
        }
    }

    /// Guards against a peer that names a host nobody agreed on, undoes what was heard here, or speaks for others.
    #[test]
    fn a_peers_word_counts_for_less_than_ones_own_ears() {
        let state = state(3, 3);
        let mut node = Learned::new(1, 1);
        node.observe(50 * S, &[fact(0, true, 50 * S), fact(1, false, 52 * S)]);
        let word = |by, facts, host: &str, age| Word {
            by,
            count: Count { boot: 1, facts },
            host: host.into(),
            primary: true,
            position: i64::MAX,
            age,
            out: 2,
            up: None,
        };
        let believed = |node: &mut Learned| {
            node.believe(60 * S, &state);
            node.beliefs()[&0].host.clone()
        };
        assert_eq!(believed(&mut node), "s-0");
        // Of 51 s: earlier than what this daemon heard s-1 say itself.
        node.hear(
            60 * S,
            vec![word(2, 1, "s-1", 9 * S), word(2, 2, "s-77", 0), word(9, 1, "s-1", 0)],
            &state,
        );
        assert_eq!((believed(&mut node).as_str(), node.len()), ("s-0", 3));
        node.hear(
            60 * S,
            vec![word(1, 99, "s-2", 0), word(2, 3, "s-2", -5), word(2, 3, "s-2", Micros::MAX)],
            &state,
        );
        assert_eq!(believed(&mut node), "s-0");
        node.hear(60 * S, vec![word(2, 4, "s-2", 4 * S)], &state);
        assert_eq!((believed(&mut node).as_str(), node.out("s-2")), ("s-2", 2));
        node.hear(60 * S, vec![word(3, 1, "s-1", 5 * S)], &state);
        assert_eq!(believed(&mut node), "s-2", "an earlier primary never replaces a later one");
        // A daemon that began anew has said nothing yet.
        node.hear(60 * S, vec![Word { count: Count { boot: 2, facts: 1 }, ..word(2, 0, "s-0", S) }], &state);
        assert_eq!(node.out("s-2"), 0);
        node.tidy(60 * S, &super::tests::state(1, 1));
        assert_eq!(node.len(), 1);
    }

    #[test]
    fn what_has_hardly_changed_is_not_told_again() {
        let mut node = Learned::new(1, 1);
        assert!(node.observe(S, &[fact(0, true, S)]));
        let told = node.digest();
        assert!(!node.observe(2 * S, &[fact(0, true, 2 * S)]));
        assert_eq!(node.digest(), told);
        assert!(!node.observe(7 * S, &[fact(0, true, 7 * S)]), "told, but not in haste");
        assert_ne!(node.digest(), told);
        assert_eq!(node.lacks(9 * S, &told, |_| false, 10)[0].age, 2 * S);
        assert!(node.observe(8 * S, &[fact(1, true, 8 * S)]), "a new primary is news");
    }

    /// Guards against a guess that outlives what was heard since, or that is told to others as if it were heard.
    #[test]
    fn what_was_known_before_is_a_guess_until_something_is_heard() {
        let state = state(2, 6);
        let mut old = Learned::new(1, 1);
        old.observe(
            50 * S,
            &[fact(0, true, 40 * S), fact(1, true, 48 * S), fact(2, false, 49 * S), fact(3, true, 49 * S)],
        );
        let words = old.words(50 * S);
        assert_eq!(words.len(), 4);
        let mut new = Learned::new(1, 2);
        new.remember(100 * S, &words, 30 * S);
        let host = |n: usize| format!("s-{n}");
        let guesses = new.guesses(&state);
        assert_eq!(guesses, BTreeMap::from([(0, (host(1), 68 * S)), (1, (host(3), 69 * S))]));
        assert!(new.digest().is_empty() && new.is_empty(), "nobody is told");
        new.observe(101 * S, &[fact(2, true, 101 * S)]);
        new.believe(101 * S, &state);
        assert_eq!(new.guesses(&state), BTreeMap::from([(1, (host(3), 69 * S))]));
        assert!(
            new.guesses(&super::tests::state(2, 2)).is_empty(),
            "the agreed list has neither group any more"
        );
    }
}
