use super::*;

const S: TimeDelta = TimeDelta::from_secs(1);
const COLD: SlowStartPolicy =
    SlowStartPolicy { share: 0.25, warm_up: TimeDelta::from_secs(16), multiple: 4.0 };

fn host(group: u32) -> EndpointView {
    EndpointView { group: GroupId(group), ..EndpointView::default() }
}

fn view(now: TimeDelta, hosts: Vec<EndpointView>) -> RecoveryView {
    RecoveryView { now: Timestamp::ZERO + now, listed: true, members: 3, heard: 3, hosts }
}

#[test]
fn service_returns_step_by_step_and_waits_for_no_proof_for_ever() {
    let (mut order, tick) = (RecoverySchedule::new(COLD), TimeDelta::from_micros(1));
    let early = order.advance(&RecoveryView { listed: false, ..view(TimeDelta::ZERO, vec![host(1)]) });
    assert_eq!((early.step, early.terms.unwrap().groups.len()), (RecoveryPhase::List, 0));
    let unknown = order.advance(&view(S, vec![host(1), host(1), host(2)]));
    assert_eq!((unknown.step, unknown.waits.as_str()), (RecoveryPhase::Writes, "the primary of group 1, 2"));
    let primary = EndpointView { primary: true, ..host(1) };
    let by_word = EndpointView { named: 2, ..host(2) };
    let named = order.advance(&view(S + tick, vec![primary, host(1), by_word]));
    assert_eq!((named.step, named.waits.as_str()), (RecoveryPhase::Reads, "a proven position in group 1, 2"));
    let terms = named.terms.unwrap();
    assert!(
        matches!(
            terms.groups[&GroupId(1)],
            GroupAdmission { writes: AdmissionMode::Open, reads: AdmissionMode::Closed(_) }
        ) && !terms.admit_eventual_reads
    );
    let one = EndpointView { named: 1, ..host(3) };
    let proven = EndpointView { proven: true, ..host(1) };
    let late = order.advance(&view(S + PATIENCE - tick, vec![primary, proven, by_word, one]));
    assert_eq!((late.step, late.waits.as_str()), (RecoveryPhase::Reads, "the primary of group 3"));
    assert!(
        matches!(
            late.terms.unwrap().groups[&GroupId(3)],
            GroupAdmission { writes: AdmissionMode::Closed(_), .. }
        ),
        "one of three is no majority"
    );
    let over = order.advance(&view(S + PATIENCE, vec![host(1), host(1), by_word, one]));
    assert_eq!((over.step, over.terms.unwrap().admit_eventual_reads), (RecoveryPhase::Rest, true));
    let done = order.advance(&view(S + LEAST, vec![host(1), by_word, one]));
    assert_eq!((done.step, done.terms), (RecoveryPhase::Done, None));
}

/// Guards against daemons that do not see one another and together push a cold host over, and against a part
/// that is so careful that nothing returns. Any division into islands.
#[test]
fn all_parts_together_stay_below_the_fall_whoever_hears_whom() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..5_000 {
        let members = rng.usize(1..=32);
        let multiple = 1.0 + rng.f64() * 5.0;
        // Islands, some of whose daemons are down.
        let mut left = members;
        let (mut most, mut first) = (0.0, 0.0);
        while left > 0 {
            let island = rng.usize(1..=left);
            left -= island;
            let up = rng.usize(1..=island);
            let (at_first, at_most) = part(members, up, multiple);
            assert!(at_first > 0.0 && at_first <= at_most);
            most += at_most * up as f64;
            first += at_first * up as f64;
        }
        assert!(most <= multiple * TOGETHER + 1e-9, "{members}: {most}");
        assert!(first <= 2.0 + 1e-9, "{members}: {first} at first");
        let (whole, _) = part(members, members, multiple);
        let asked = (multiple * TOGETHER).min(1.0);
        assert!((whole * members as f64 - asked).abs() < 1e-9);
    }
}

/// Guards against steps that go back, groups that are shut again, and service that never returns. Seeded: any
/// evidence at any time.
#[test]
fn no_step_is_gone_back_and_all_is_open_in_the_end() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut order = RecoverySchedule::new(COLD);
        let started = rng.bool().then(|| TimeDelta::from_micros(rng.i64(-20_000_000..2_000_000)));
        let (mut now, mut last, mut open) = (TimeDelta::ZERO, RecoveryPhase::List, BTreeMap::new());
        let listed_at = TimeDelta::from_micros(rng.i64(0..1_000_000));
        let gap = TimeDelta::from_millis(300);
        while now < 30 * S {
            now += TimeDelta::from_micros(rng.i64(1..300_000));
            let hosts = (0..6u32).map(|n| EndpointView {
                primary: n % 3 == 0 && rng.bool(),
                proven: rng.bool(),
                named: rng.usize(0..4),
                age: started.map(|at| now - at),
                bore: f64::from(n) * 5.0,
                said: rng.bool(),
                serves: f64::from(n),
                group: GroupId(n / 3),
            });
            let hosts = hosts.collect();
            let view = RecoveryView { listed: now >= listed_at, heard: rng.usize(1..=3), ..view(now, hosts) };
            let stand = order.advance(&view);
            assert!(stand.step >= last, "seed {seed}: {last:?} then {:?}", stand.step);
            last = stand.step;
            if !view.listed {
                assert!(stand.terms.as_ref().is_some_and(|t| t.groups.is_empty() && !t.admit_eventual_reads));
            }
            for (group, ways) in stand.terms.iter().flat_map(|t| &t.groups) {
                for (side, way) in ways.modes().into_iter().enumerate() {
                    let is_open = !matches!(way, AdmissionMode::Closed(_));
                    let was = open.insert((*group, side), is_open).unwrap_or(false);
                    assert!(is_open || !was, "seed {seed}: group {group} was shut again");
                    assert!(is_open || now < listed_at + gap + PATIENCE, "seed {seed}");
                    if let AdmissionMode::Paced { capacity_per_s: start, max_per_s: most, .. } = way {
                        assert!(start > 0.0 && start <= most, "seed {seed}: {way:?}");
                    }
                }
            }
            if started.is_none_or(|at| now > at + 16 * S) && now > listed_at + gap + LEAST {
                assert_eq!(stand.step, RecoveryPhase::Done, "seed {seed}");
            }
        }
    }
}

#[test]
fn cold_hosts_open_at_this_daemons_part_of_what_they_bear() {
    let mut order = RecoverySchedule::new(COLD);
    let cold =
        |primary, bore| EndpointView { primary, bore, proven: true, age: Some(TimeDelta::ZERO), ..host(1) };
    let stand =
        order.advance(&view(TimeDelta::ZERO, vec![cold(true, 20.0), cold(false, 20.0), cold(false, 0.0)]));
    let [
        AdmissionMode::Paced { capacity_per_s: start, max_per_s: most, .. },
        AdmissionMode::Paced { capacity_per_s: reads, .. },
    ] = stand.terms.unwrap().groups[&GroupId(1)].modes()
    else {
        panic!("no pace");
    };
    assert!((start - 20.0 * 0.25 / 3.0).abs() < 1e-9 && (most - 20.0 * 0.25 * 3.2 / 3.0).abs() < 1e-9);
    assert!((reads - 30.0 * 0.25 / 3.0).abs() < 1e-9);
    // A host that has said nothing yet is neither warm nor of help.
    let silent = EndpointView { bore: 50.0, ..host(1) };
    let early =
        order.advance(&view(TimeDelta::from_micros(1), vec![cold(true, 20.0), cold(false, 20.0), silent]));
    let [_, AdmissionMode::Paced { capacity_per_s: early, .. }] =
        early.terms.unwrap().groups[&GroupId(1)].modes()
    else {
        panic!("no pace")
    };
    assert!((early - 20.0 * 0.25 / 3.0).abs() < 1e-9);
    // Nobody knows who is primary: the weakest may be.
    let mut order = RecoverySchedule::new(COLD);
    order.advance(&view(TimeDelta::ZERO, vec![]));
    let unknown = view(PATIENCE, vec![cold(false, 20.0), cold(false, 12.0)]);
    let [AdmissionMode::Paced { capacity_per_s: start, .. }, _] =
        order.advance(&unknown).terms.unwrap().groups[&GroupId(1)].modes()
    else {
        panic!("no pace");
    };
    assert!((start - 12.0 * 0.25 / 3.0).abs() < 1e-9);
}
