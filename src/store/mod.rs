//! A small replicated store: a versioned map that converges whatever order its records arrive in.
//!
//! Records are ordered by (Lamport counter, node); a removal is a tombstone, so that a replica that has
//! missed it cannot bring the value back. What is in here is configuration and the last known list, never a
//! host's role or position: those count only from the host's own answers.

pub mod agreed;
pub mod disk;
pub mod form;
pub mod legacy;
pub mod owner;
pub mod replica;
pub mod snapshot;
pub mod sync;
pub mod view;

use std::collections::BTreeMap;

/// Counters above this are refused: one false record must not use up all numbers.
const MOST: u64 = 1 << 52;
/// Tombstones that a copy keeps.
const TOMBSTONES: usize = 10_000;
/// First line of the text form.
const FORM: &str = "brookpass-store 1";

/// When and where a record was made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The Lamport counter.
    pub counter: u64,
    /// The node, with the start at which it made the record: a restart without disk makes no stamp twice.
    pub node: String,
}

/// A value, or the trace of one that was removed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// Its place in the order.
    pub stamp: Stamp,
    /// The value; `None` is a tombstone.
    pub value: Option<String>,
}

/// One node's copy of the map.
#[derive(Clone, Debug)]
pub struct Store {
    node: String,
    counter: u64,
    records: BTreeMap<String, Record>,
    /// Local changes that have no stamp yet, in effect already.
    pending: BTreeMap<String, Option<String>>,
    caught_up: bool,
    version: u64,
    /// Tombstones that are kept.
    tombstones: usize,
}

impl Store {
    /// An empty copy. With `alone` there is nobody to catch up with.
    pub fn new(node: String, alone: bool) -> Store {
        Store {
            node,
            counter: 0,
            records: BTreeMap::new(),
            pending: BTreeMap::new(),
            caught_up: alone,
            version: 0,
            tombstones: TOMBSTONES,
        }
    }

    /// A copy that is nobody's replica and never will be one: it needs no tombstones.
    pub fn without_tombstones(self) -> Store {
        Store { tombstones: 0, ..self }
    }

    /// Grows with every change that can be seen.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether it may stamp: it has caught up with a peer, or has none.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<&str> {
        match self.pending.get(key) {
            Some(value) => value.as_deref(),
            None => self.records.get(key).and_then(|r| r.value.as_deref()),
        }
    }

    /// Whether a key was ever set, even if it was removed since.
    pub fn was_set(&self, key: &str) -> bool {
        self.records.contains_key(key) || self.pending.contains_key(key)
    }

    /// Keys with a prefix and their values, in order; the prefix is left out.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let mut keys: Vec<&String> = self.records.keys().chain(self.pending.keys()).collect();
        keys.sort();
        keys.dedup();
        keys.into_iter().filter_map(move |k| Some((k.strip_prefix(prefix)?, self.get(k)?)))
    }

    /// Sets or removes a key. It is in effect here at once. Before the store has caught up the change waits
    /// for its stamp: one made from a counter that lags would lose against records that are older than it.
    pub fn put(&mut self, key: &str, value: Option<String>) {
        let known = self.was_set(key);
        if self.get(key) == value.as_deref() && (known || value.is_none()) {
            return;
        }
        self.version += 1;
        self.pending.insert(key.to_string(), value);
        if self.caught_up {
            self.stamp();
        }
    }

    fn stamp(&mut self) {
        for (key, value) in std::mem::take(&mut self.pending) {
            self.counter += 1;
            let stamp = Stamp { counter: self.counter, node: self.node.clone() };
            self.records.insert(key, Record { stamp, value });
        }
        self.prune();
    }

    /// Hosts come and go for as long as the program runs: the oldest tombstones go. A replica that is older than
    /// so many removals may bring a host back, until an inventory is read; it never undoes a drain, which is a
    /// mark that is there and no tombstone.
    fn prune(&mut self) {
        let dead = self.records.iter().filter(|(_, r)| r.value.is_none());
        let mut dead: Vec<(Stamp, String)> = dead.map(|(k, r)| (r.stamp.clone(), k.clone())).collect();
        let more = dead.len().saturating_sub(self.tombstones);
        if more > 0 {
            dead.sort();
            dead.iter().take(more).for_each(|(_, key)| drop(self.records.remove(key)));
        }
    }

    /// Takes in records of another copy; the newer one of each key stays.
    pub fn merge(&mut self, others: BTreeMap<String, Record>) {
        for (key, other) in others {
            self.counter = self.counter.max(other.stamp.counter);
            let own = self.records.get(&key);
            // Equal stamps never differ in value; should a broken peer make some, all copies choose alike.
            if own.is_none_or(|own| *own < other) {
                self.version += u64::from(own.map(|r| &r.value) != Some(&other.value));
                self.records.insert(key, other);
            }
        }
        self.prune();
    }

    /// Gives up local changes that have no stamp yet and whose key is chosen by `which`.
    pub fn forget_pending(&mut self, which: impl Fn(&str) -> bool) {
        let before = self.pending.len();
        self.pending.retain(|key, _| !which(key));
        self.version += u64::from(self.pending.len() != before);
    }

    /// The copy now knows what a peer knows: changes that waited get their stamps.
    pub fn caught_up(&mut self) {
        self.caught_up = true;
        self.version += 1;
        self.stamp();
    }

    /// All stamped records.
    pub fn records(&self) -> &BTreeMap<String, Record> {
        &self.records
    }

    /// The text that is exchanged with peers: stamped records only.
    pub fn text(&self) -> String {
        let mut out = format!("{FORM}\n");
        for (key, record) in &self.records {
            let Record { stamp: Stamp { counter, node }, value } = record;
            let (mark, value) = value.as_ref().map_or(("-", String::new()), |v| ("+", escape(v)));
            out += &format!("{counter}\t{}\t{}\t{mark}{value}\n", escape(node), escape(key));
        }
        out
    }

    /// The text of a snapshot: changes that wait for a stamp too.
    pub fn snapshot(&self) -> String {
        let mut out = self.text();
        for (key, value) in &self.pending {
            let (mark, value) = value.as_ref().map_or(("-", String::new()), |v| ("+", escape(v)));
            out += &format!("pending\t\t{}\t{mark}{value}\n", escape(key));
        }
        out + "end\n"
    }

    /// Takes in a snapshot of its own; the error names the line.
    pub fn restore(&mut self, text: &str) -> Result<(), String> {
        let (records, pending, ended) = parse(text)?;
        if !ended {
            return Err(format!("line {}: the snapshot is cut short", text.lines().count() + 1));
        }
        self.merge(records);
        self.version += pending.len() as u64;
        self.pending.extend(pending);
        if self.caught_up {
            self.stamp();
        }
        Ok(())
    }
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('\t', "\\t").replace('\n', "\\n").replace('\r', "\\r")
}

fn unescape(text: &str) -> Option<String> {
    let (mut out, mut chars) = (String::new(), text.chars());
    while let Some(c) = chars.next() {
        out.push(match c {
            '\\' => match chars.next()? {
                '\\' => '\\',
                't' => '\t',
                'n' => '\n',
                'r' => '\r',
                _ => return None,
            },
            c => c,
        });
    }
    Some(out)
}

type Parsed = (BTreeMap<String, Record>, BTreeMap<String, Option<String>>, bool);

/// Reads the text form: stamped records, pending changes, and whether its end was seen.
pub fn parse(text: &str) -> Result<Parsed, String> {
    let (mut records, mut pending, mut ended) = (BTreeMap::new(), BTreeMap::new(), false);
    for (n, line) in text.lines().enumerate() {
        let fault = |what: &str| format!("line {}: {what}", n + 1);
        if n == 0 {
            if line != FORM {
                return Err(fault("not a store of this form"));
            }
            continue;
        }
        if ended {
            return Err(fault("something after the end"));
        }
        if line == "end" {
            ended = true;
            continue;
        }
        let fields: Vec<&str> = line.split('\t').collect();
        let &[counter, node, key, value] = &fields[..] else { return Err(fault("a record has four fields")) };
        let text = |t: &str| unescape(t).ok_or_else(|| fault("a broken escape"));
        let value = match value.split_at_checked(1) {
            Some(("+", v)) => Some(text(v)?),
            Some(("-", "")) => None,
            _ => return Err(fault("neither a value nor a removal")),
        };
        let key = text(key)?;
        if counter == "pending" {
            pending.insert(key, value);
            continue;
        }
        let counter = counter.parse().ok().filter(|c| *c <= MOST).ok_or_else(|| fault("no such counter"))?;
        records.insert(key, Record { stamp: Stamp { counter, node: text(node)? }, value });
    }
    if text.is_empty() {
        return Err("line 1: not a store of this form".into());
    }
    Ok((records, pending, ended))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    /// The same cases at every run.
    fn runner(cases: u32) -> TestRunner {
        let config = Config { cases, failure_persistence: None, ..Config::default() };
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
    }

    fn three() -> Vec<Store> {
        (0..3).map(|n| Store::new(format!("n{n}"), true)).collect()
    }

    /// Any order, loss and repetition of deliveries: once all have heard of all, all copies are alike.
    #[test]
    fn any_order_of_delivery_converges() {
        let step = (0usize..3, 0usize..3, 0u8..4, proptest::option::of(0u8..3), any::<bool>());
        let steps = proptest::collection::vec(step, 1..40);
        let check = |steps: Vec<(usize, usize, u8, Option<u8>, bool)>| {
            let mut nodes = three();
            for (node, other, key, value, delivers) in steps {
                if delivers {
                    let records = nodes[node].records().clone();
                    nodes[other].merge(records);
                } else {
                    nodes[node].put(&format!("k{key}"), value.map(|v| v.to_string()));
                }
            }
            let all: Vec<_> = nodes.iter().map(|n| n.records().clone()).collect();
            for (n, node) in nodes.iter_mut().enumerate() {
                // Each hears the copies in an order of its own, its own among them.
                (0..3).for_each(|k| node.merge(all[(n + k) % 3].clone()));
            }
            prop_assert_eq!(nodes[0].records(), nodes[1].records());
            prop_assert_eq!(nodes[1].records(), nodes[2].records());
            let (read, ..) = parse(&nodes[0].text()).map_err(TestCaseError::fail)?;
            prop_assert_eq!(&read, nodes[0].records());
            Ok(())
        };
        runner(300).run(&steps, check).unwrap();
    }

    /// Guards against memory that grows with every host that was ever removed.
    #[test]
    fn the_oldest_tombstones_go() {
        let mut alone = Store::new("a".into(), true).without_tombstones();
        let mut shared = Store { tombstones: 3, ..Store::new("a".into(), true) };
        for store in [&mut alone, &mut shared] {
            store.put("drain/kept", Some("1".into()));
            for n in 0..100 {
                store.put(&format!("host/{n:03}"), Some("x".into()));
                store.put(&format!("host/{n:03}"), None);
            }
        }
        assert_eq!(alone.records().keys().collect::<Vec<_>>(), ["drain/kept"]);
        assert_eq!(
            shared.records().keys().collect::<Vec<_>>(),
            ["drain/kept", "host/097", "host/098", "host/099"]
        );
        // An old copy brings back a host at the worst; the drain stays.
        let mut stale = Store::new("b".into(), true);
        stale.put("drain/kept", None);
        shared.merge(stale.records().clone());
        assert_eq!(shared.get("drain/kept"), Some("1"));
    }

    /// Guards against a drain that a replica with an old copy undoes.
    #[test]
    fn a_stale_replica_never_undoes_a_drain() {
        let mut nodes = three();
        nodes[0].put("drain/s-1", Some("1".into()));
        nodes[0].put("drain/s-1", None);
        let stale = nodes[0].records().clone();
        nodes[1].merge(stale.clone());
        nodes[1].put("drain/s-1", Some("1".into()));
        nodes[1].merge(stale);
        assert_eq!(nodes[1].get("drain/s-1"), Some("1"));
        let newer = nodes[1].records().clone();
        nodes[0].merge(newer);
        assert_eq!(nodes[0].get("drain/s-1"), Some("1"));
    }

    /// Guards against a restart without disk: a counter that begins anew would lose to the old tombstone.
    #[test]
    fn a_drain_before_catching_up_holds_at_once_and_afterwards() {
        let mut old = Store::new("a".into(), true);
        (0..5).for_each(|_| {
            old.put("drain/s-1", Some("1".into()));
            old.put("drain/s-1", None);
        });
        let mut fresh = Store::new("b".into(), false);
        fresh.put("drain/s-1", Some("1".into()));
        assert_eq!(fresh.get("drain/s-1"), Some("1"));
        assert!(fresh.records().is_empty(), "no stamp before it has caught up");
        fresh.merge(old.records().clone());
        assert_eq!(fresh.get("drain/s-1"), Some("1"));
        fresh.caught_up();
        old.merge(fresh.records().clone());
        assert_eq!(old.get("drain/s-1"), Some("1"));
    }

    #[test]
    fn a_snapshot_keeps_all_and_one_that_is_cut_short_is_refused() {
        let mut store = Store::new("a".into(), true);
        store.put("host/x", Some("tab\there\nand \\ there".into()));
        store.put("host/y", Some("1".into()));
        store.put("host/y", None);
        store.caught_up = false;
        store.put("drain/x", Some("1".into()));
        let text = store.snapshot();
        let mut read = Store::new("a".into(), false);
        read.restore(&text).unwrap();
        assert_eq!((read.records(), &read.pending), (store.records(), &store.pending));
        let cut = text.strip_suffix("end\n").unwrap();
        assert!(Store::new("a".into(), false).restore(cut).unwrap_err().contains("cut short"));
        let broken = text.replace("\t+1", "\t1");
        assert!(Store::new("a".into(), false).restore(&broken).unwrap_err().starts_with("line "));
    }
}
