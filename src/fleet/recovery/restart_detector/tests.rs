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
                (*n, KnownEndpoint { group: GroupId(1), listed: None, started: None, heard: Some(at - S) })
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
    assert_eq!(restarts.record(sec(100), COLD, heard(), &all), RestartReport::default(), "the list said so");
    all.insert("a", known(None, Some(sec(80)), Some(sec(99))));
    assert_eq!(restarts.record(sec(100), COLD, heard(), &all), RestartReport::default(), "it is warm by now");
    all.insert("a", known(None, Some(sec(95)), Some(sec(99))));
    assert_eq!(restarts.record(sec(100), COLD, heard(), &all).spared, ["a"]);
    assert_eq!((restarts.reported_start("a"), restarts.reported_start("b")), (Some(sec(95)), None));
    // One that is alone in its group is the whole group.
    let alone = BTreeMap::from([("a", known(None, Some(sec(99)), Some(sec(99))))]);
    assert!(restarts.record(sec(100), COLD, heard(), &alone).group_cold);
}
