//! Hosts that began anew, and who spares them while they are cold. No I/O.
//!
//! Where a group has a warm host beside it the module is told, and spares the cold one for the others. Where all of a
//! group are cold nothing is left to spare it for: service returns to that group in order, at the pace that its hosts
//! bear. What is not known yet waits: hosts of one group are heard one after the other, also when all lost their power.

use super::phases::SlowStartPolicy;
use crate::engine::observations::START_TIME_TOLERANCE;
use crate::ids::GroupId;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownEndpoint {
    /// Its group.
    pub group: GroupId,
    /// Its start by the agreed list.
    pub listed: Option<Timestamp>,
    /// Its start by anybody's word.
    pub started: Option<Timestamp>,
    /// When it was last heard.
    pub heard: Option<Timestamp>,
}

/// What follows from what was heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartReport {
    /// The module is to be told of these.
    pub spared: Vec<String>,
    /// All hosts of a group are cold.
    pub group_cold: bool,
}

/// Starts that were seen in service.
#[derive(Clone, Debug, Default)]
pub struct RestartDetector {
    told: BTreeMap<String, Timestamp>,
    /// It is not known yet whether these are alone with it.
    open: BTreeSet<String>,
}

impl RestartDetector {
    /// The start that the module was told of.
    pub fn reported_start(&self, host: &str) -> Option<Timestamp> {
        self.told.get(host).copied()
    }

    /// Whether it is not known yet of some host whether its group has a warm one.
    pub fn has_undecided(&self) -> bool {
        !self.open.is_empty()
    }

    /// These hosts were heard; `all` has what is known of every host.
    pub fn record(
        &mut self,
        now: Timestamp,
        cold: SlowStartPolicy,
        heard: impl Iterator<Item = String>,
        all: &BTreeMap<&str, KnownEndpoint>,
    ) -> RestartReport {
        self.told.retain(|host, _| all.contains_key(host.as_str()));
        let mut news = RestartReport::default();
        let open = std::mem::take(&mut self.open);
        for host in heard.chain(open).collect::<BTreeSet<String>>() {
            let Some(known) = all.get(host.as_str()) else { continue };
            let Some(started) = known.started else { continue };
            let before = self.reported_start(&host).max(known.listed);
            if now - started >= cold.warm_up || before.is_some_and(|at| started <= at + START_TIME_TOLERANCE)
            {
                continue;
            }
            match warm_beside(now, cold, &host, started, known.group, all) {
                Some(true) => {
                    self.told.insert(host.clone(), started);
                    news.spared.push(host);
                }
                Some(false) => news.group_cold = true,
                None => drop(self.open.insert(host)),
            }
        }
        news
    }
}

/// Whether a host that started at `since` has a warm one beside it: one that was heard since and did not start then
/// too. `None`: that is not known yet.
fn warm_beside(
    now: Timestamp,
    cold: SlowStartPolicy,
    host: &str,
    since: Timestamp,
    group: GroupId,
    all: &BTreeMap<&str, KnownEndpoint>,
) -> Option<bool> {
    let mut none_warm = true;
    for (_, other) in all.iter().filter(|(name, known)| known.group == group && **name != host) {
        let started = other.started.max(other.listed);
        let warm = cold.capacity_share(started.map(|at| now - at)) >= 1.0;
        if warm && other.heard > Some(since) {
            return Some(true);
        }
        none_warm &= !warm;
    }
    none_warm.then_some(false)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::TimeDelta;

    const S: TimeDelta = TimeDelta::from_secs(1);
    const COLD: SlowStartPolicy =
        SlowStartPolicy { share: 0.25, warm_up: TimeDelta::from_secs(16), multiple: 4.0 };

    /// So many seconds after the clock's zero.
    fn sec(seconds: i64) -> Timestamp {
        Timestamp::ZERO + seconds * S
    }

    /// Guards against a group that is taken for half warm while its hosts are heard one after the other, and against
    /// one cold host that slows its whole group. Seeded: any order of words, one to all of three hosts restarted.
    #[test]
    fn a_lone_restart_is_told_and_that_of_a_whole_group_returns_in_order() {
        for seed in 0..500 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut restarts = RestartDetector::default();
            let names = ["a", "b", "c"];
            let restarted = rng.usize(0..=3);
            let at = sec(100);
            let mut all: BTreeMap<&str, KnownEndpoint> = names
                .iter()
                .map(|n| {
                    (
                        *n,
                        KnownEndpoint { group: GroupId(1), listed: None, started: None, heard: Some(at - S) },
                    )
                })
                .collect();
            let mut order: Vec<usize> = (0..12).map(|n| n % 3).collect();
            rng.shuffle(&mut order);
            let (mut now, mut told, mut cold) = (at, BTreeMap::new(), false);
            for n in order {
                now += TimeDelta::from_micros(rng.i64(10_000..200_000));
                // How long it runs, as it says: never quite the same.
                let started = (n < restarted).then(|| at + TimeDelta::from_micros(rng.i64(0..20_000)));
                all.insert(
                    names[n],
                    KnownEndpoint { group: GroupId(1), listed: None, started, heard: Some(now) },
                );
                let news = restarts.record(now, COLD, [names[n].to_string()].into_iter(), &all);
                news.spared.into_iter().for_each(|host| *told.entry(host).or_insert(0) += 1);
                cold |= news.group_cold;
            }
            let whole = restarted == 3;
            assert_eq!(cold, whole, "seed {seed}");
            let wanted: BTreeMap<String, i32> =
                names[..restarted].iter().filter(|_| !whole).map(|n| (n.to_string(), 1)).collect();
            assert_eq!(told, wanted, "seed {seed}");
        }
    }

    #[test]
    fn what_the_list_knows_and_what_is_warm_by_now_is_no_news() {
        let mut restarts = RestartDetector::default();
        let known = |listed, started, heard| KnownEndpoint { group: GroupId(1), listed, started, heard };
        let mut all = BTreeMap::from([("a", known(Some(sec(90)), Some(sec(91)), Some(sec(99))))]);
        all.insert("b", known(None, None, Some(sec(99))));
        let heard = || ["a".to_string(), "b".to_string(), "gone".to_string()].into_iter();
        assert_eq!(
            restarts.record(sec(100), COLD, heard(), &all),
            RestartReport::default(),
            "the list said so"
        );
        all.insert("a", known(None, Some(sec(80)), Some(sec(99))));
        assert_eq!(
            restarts.record(sec(100), COLD, heard(), &all),
            RestartReport::default(),
            "it is warm by now"
        );
        all.insert("a", known(None, Some(sec(95)), Some(sec(99))));
        assert_eq!(restarts.record(sec(100), COLD, heard(), &all).spared, ["a"]);
        assert_eq!((restarts.reported_start("a"), restarts.reported_start("b")), (Some(sec(95)), None));
        // One that is alone in its group is the whole group.
        let alone = BTreeMap::from([("a", known(None, Some(sec(99)), Some(sec(99))))]);
        assert!(restarts.record(sec(100), COLD, heard(), &alone).group_cold);
    }
}
