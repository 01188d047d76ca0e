use super::*;
use crate::time::TimeDelta;

const SECOND: TimeDelta = TimeDelta::from_secs(1);
const POLICY: SlowStartPolicy =
    SlowStartPolicy { initial_share: 0.25, warm_up: TimeDelta::from_secs(16), overload_multiple: 4.0 };

/// The time this many seconds after the clock's zero.
fn at(seconds: i64) -> Timestamp {
    Timestamp::ZERO + seconds * SECOND
}

/// Guards against a group that counts as partly warm while its restarted endpoints report one after the other, and
/// against one cold endpoint that limits the rate of its whole group. Seeded: any order of reports, up to all three
/// endpoints restarted.
#[test]
fn single_restarts_are_reported_and_that_of_a_whole_group_marks_it_cold() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut detector = RestartDetector::default();
        let names = ["a", "b", "c"];
        let restarted_count = rng.usize(0..=3);
        let restarted_at = at(100);
        let mut known: BTreeMap<&str, KnownEndpoint> = names
            .iter()
            .map(|n| {
                (
                    *n,
                    KnownEndpoint {
                        group: GroupId(1),
                        listed_start: None,
                        observed_start: None,
                        last_heard: Some(restarted_at - SECOND),
                    },
                )
            })
            .collect();
        let mut order: Vec<usize> = (0..12).map(|n| n % 3).collect();
        rng.shuffle(&mut order);
        let (mut now, mut report_counts, mut group_is_cold) = (restarted_at, BTreeMap::new(), false);
        for n in order {
            now += TimeDelta::from_micros(rng.i64(10_000..200_000));
            // The start as computed from the reported uptime, which varies a little between reports.
            let started =
                (n < restarted_count).then(|| restarted_at + TimeDelta::from_micros(rng.i64(0..20_000)));
            known.insert(
                names[n],
                KnownEndpoint {
                    group: GroupId(1),
                    listed_start: None,
                    observed_start: started,
                    last_heard: Some(now),
                },
            );
            let report = detector.check(now, POLICY, [names[n].to_string()].into_iter(), &known);
            report
                .slow_starting
                .into_iter()
                .for_each(|endpoint| *report_counts.entry(endpoint).or_insert(0) += 1);
            group_is_cold |= report.group_is_cold;
        }
        let all_restarted = restarted_count == 3;
        assert_eq!(group_is_cold, all_restarted, "seed {seed}");
        let expected: BTreeMap<String, i32> =
            names[..restarted_count].iter().filter(|_| !all_restarted).map(|n| (n.to_string(), 1)).collect();
        assert_eq!(report_counts, expected, "seed {seed}");
    }
}

#[test]
fn a_restart_that_is_listed_or_older_than_the_warm_up_is_not_reported() {
    let mut detector = RestartDetector::default();
    let known = |listed_start, observed_start, last_heard| KnownEndpoint {
        group: GroupId(1),
        listed_start,
        observed_start,
        last_heard,
    };
    let mut all = BTreeMap::from([("a", known(Some(at(90)), Some(at(91)), Some(at(99))))]);
    all.insert("b", known(None, None, Some(at(99))));
    let reporting = || ["a".to_string(), "b".to_string(), "gone".to_string()].into_iter();
    assert_eq!(
        detector.check(at(100), POLICY, reporting(), &all),
        RestartReport::default(),
        "the list has this start already"
    );
    all.insert("a", known(None, Some(at(80)), Some(at(99))));
    assert_eq!(
        detector.check(at(100), POLICY, reporting(), &all),
        RestartReport::default(),
        "the endpoint is already warm"
    );
    all.insert("a", known(None, Some(at(95)), Some(at(99))));
    assert_eq!(detector.check(at(100), POLICY, reporting(), &all).slow_starting, ["a"]);
    assert_eq!((detector.reported_start("a"), detector.reported_start("b")), (Some(at(95)), None));
    // The only endpoint of a group is the whole group.
    let alone = BTreeMap::from([("a", known(None, Some(at(99)), Some(at(99))))]);
    assert!(detector.check(at(100), POLICY, reporting(), &alone).group_is_cold);
}
