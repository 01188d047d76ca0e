use super::*;
use crate::time::TimeDelta;

const S: TimeDelta = TimeDelta::from_secs(1);
const COLD: SlowStartPolicy =
    SlowStartPolicy { share: 0.25, warm_up: TimeDelta::from_secs(16), multiple: 4.0 };

/// The point this many seconds after the clock's zero.
fn sec(seconds: i64) -> Timestamp {
    Timestamp::ZERO + seconds * S
}

/// Guards against a group that is taken for half warm while its endpoints are heard one after the other, and against
/// one cold endpoint that slows down its whole group. Seeded: any order of reports, up to all three endpoints restarted.
#[test]
fn a_single_restart_is_reported_and_that_of_a_whole_group_starts_its_recovery() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut detector = RestartDetector::default();
        let names = ["a", "b", "c"];
        let restarted = rng.usize(0..=3);
        let at = sec(100);
        let mut all: BTreeMap<&str, KnownEndpoint> = names
            .iter()
            .map(|n| {
                (
                    *n,
                    KnownEndpoint {
                        group: GroupId(1),
                        listed_start: None,
                        observed_start: None,
                        last_heard: Some(at - S),
                    },
                )
            })
            .collect();
        let mut order: Vec<usize> = (0..12).map(|n| n % 3).collect();
        rng.shuffle(&mut order);
        let (mut now, mut reported, mut cold) = (at, BTreeMap::new(), false);
        for n in order {
            now += TimeDelta::from_micros(rng.i64(10_000..200_000));
            // Its start as computed from the uptime that it reports: never quite the same.
            let started = (n < restarted).then(|| at + TimeDelta::from_micros(rng.i64(0..20_000)));
            all.insert(
                names[n],
                KnownEndpoint {
                    group: GroupId(1),
                    listed_start: None,
                    observed_start: started,
                    last_heard: Some(now),
                },
            );
            let report = detector.record(now, COLD, [names[n].to_string()].into_iter(), &all);
            report.slow_starting.into_iter().for_each(|endpoint| *reported.entry(endpoint).or_insert(0) += 1);
            cold |= report.group_is_cold;
        }
        let all_restarted = restarted == 3;
        assert_eq!(cold, all_restarted, "seed {seed}");
        let expected: BTreeMap<String, i32> =
            names[..restarted].iter().filter(|_| !all_restarted).map(|n| (n.to_string(), 1)).collect();
        assert_eq!(reported, expected, "seed {seed}");
    }
}

#[test]
fn a_restart_that_is_listed_or_long_over_is_not_reported() {
    let mut detector = RestartDetector::default();
    let known = |listed_start, observed_start, last_heard| KnownEndpoint {
        group: GroupId(1),
        listed_start,
        observed_start,
        last_heard,
    };
    let mut all = BTreeMap::from([("a", known(Some(sec(90)), Some(sec(91)), Some(sec(99))))]);
    all.insert("b", known(None, None, Some(sec(99))));
    let heard = || ["a".to_string(), "b".to_string(), "gone".to_string()].into_iter();
    assert_eq!(
        detector.record(sec(100), COLD, heard(), &all),
        RestartReport::default(),
        "the list has that start"
    );
    all.insert("a", known(None, Some(sec(80)), Some(sec(99))));
    assert_eq!(detector.record(sec(100), COLD, heard(), &all), RestartReport::default(), "it is warm by now");
    all.insert("a", known(None, Some(sec(95)), Some(sec(99))));
    assert_eq!(detector.record(sec(100), COLD, heard(), &all).slow_starting, ["a"]);
    assert_eq!((detector.reported_start("a"), detector.reported_start("b")), (Some(sec(95)), None));
    // An endpoint that is alone in its group is the whole group.
    let alone = BTreeMap::from([("a", known(None, Some(sec(99)), Some(sec(99))))]);
    assert!(detector.record(sec(100), COLD, heard(), &alone).group_is_cold);
}
