use super::*;

const S: TimeDelta = TimeDelta::from_secs(1);
const MS: TimeDelta = TimeDelta::from_millis(1);
const G: GroupId = GroupId(1);

/// From the first moment on, one each millisecond.
fn moments(length: TimeDelta) -> impl Iterator<Item = Timestamp> {
    (0..length / MS).map(|n| Timestamp::ZERO + MS * n)
}

fn class(consistency: Consistency, priority_weight: f64) -> Class {
    Class {
        consistency: Some(consistency),
        priority_weight: Some(priority_weight),
        latency_objective: Some(MS * 600),
        ..Class::default()
    }
}

fn settings() -> Settings {
    let classes = vec![
        class(Consistency::Write, 6.0),
        class(Consistency::Bounded, 3.0),
        class(Consistency::Session, 1.0),
        class(Consistency::Eventual, 0.5),
    ];
    Settings { classes, max_retry_after: Some(S), ..Settings::default() }
}

fn gate() -> AdmissionController {
    AdmissionController::new(&settings(), 1)
}

fn terms(writes: AdmissionMode, reads: AdmissionMode, rest: bool) -> Option<AdmissionPolicy> {
    Some(AdmissionPolicy {
        groups: BTreeMap::from([(G, GroupAdmission { writes, reads })]),
        admit_eventual_reads: rest,
        retry_after: MS * 300,
    })
}

#[test]
fn kinds_return_one_after_the_other_and_groups_that_are_not_named_wait() {
    let mut gate = gate();
    assert!(
        (0..4).all(|class| gate.admit(Timestamp::ZERO, class, GroupId(9)).is_ok()),
        "without terms all are let in"
    );
    let seen = |gate: &mut AdmissionController| {
        (0..4).map(|c| gate.admit(Timestamp::ZERO, c, G).is_ok()).collect::<Vec<_>>()
    };
    gate.set(Timestamp::ZERO, terms(AdmissionMode::Closed(MS * 200), AdmissionMode::Closed(MS * 200), false));
    assert_eq!(seen(&mut gate), [false; 4]);
    let waits: Vec<TimeDelta> = (0..100).filter_map(|_| gate.admit(Timestamp::ZERO, 0, G).err()).collect();
    for from in (200..400).step_by(20).map(|n| MS * n) {
        assert!((8..=12).contains(&waits.iter().filter(|w| (from..from + MS * 20).contains(*w)).count()));
    }
    gate.set(Timestamp::ZERO, terms(AdmissionMode::Open, AdmissionMode::Closed(MS * 200), false));
    assert_eq!(seen(&mut gate), [true, false, false, false]);
    gate.set(Timestamp::ZERO, terms(AdmissionMode::Open, AdmissionMode::Open, false));
    assert_eq!(seen(&mut gate), [true, true, true, false]);
    gate.set(Timestamp::ZERO, terms(AdmissionMode::Open, AdmissionMode::Open, true));
    assert!(
        seen(&mut gate) == [true; 4]
            && gate.admit(Timestamp::ZERO, 0, GroupId(2)).is_err_and(|w| w >= MS * 300)
    );
    gate.set(Timestamp::ZERO, None);
    assert!(gate.admit(Timestamp::ZERO, 0, GroupId(2)).is_ok());
}

/// Guards against a pace that is left, and against a wave: those that are turned away come back one after the
/// other. Seeded: any arrivals, any outcomes.
#[test]
fn no_more_are_let_in_than_the_bound_and_the_others_come_back_one_by_one() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut gate = gate();
        let (start, most) = (rng.f64() * 40.0 + 1.0, rng.f64() * 200.0 + 1.0);
        gate.set(
            Timestamp::ZERO,
            terms(
                AdmissionMode::Paced {
                    capacity_per_s: start,
                    max_per_s: most,
                    capacity_source: CapacitySource::Estimated,
                },
                AdmissionMode::Open,
                true,
            ),
        );
        let (mut now, mut let_in) = (Timestamp::ZERO, Vec::new());
        let mut back: Vec<Timestamp> = Vec::new();
        for _ in 0..3_000 {
            now += TimeDelta::from_micros(rng.i64(0..4_000));
            match gate.admit(now, 0, G) {
                Ok(()) => {
                    let_in.push(now);
                    let outcome =
                        if rng.u8(..20) == 0 { AttemptOutcome::Overloaded } else { AttemptOutcome::Served };
                    let took = TimeDelta::from_micros(rng.i64(0..500_000));
                    gate.ended(now + TimeDelta::from_micros(1), 0, G, took, outcome);
                }
                Err(wait) => {
                    assert!((SOON..=S).contains(&wait), "seed {seed}: {wait:?}");
                    back.push(now + wait);
                }
            }
        }
        for (n, from) in let_in.iter().enumerate() {
            let second = let_in[n..].iter().take_while(|at| **at - *from < S).count() as f64;
            let burst = (most * BURST.as_micros_f64() / 1e6).max(ONES);
            assert!(second <= most + burst + 2.0, "seed {seed}: {second} in a second, {most} at most");
        }
        back.sort_unstable();
        let crowd = back.windows(40).filter(|w| w[39] - w[0] < MS).count();
        assert!(crowd * 20 <= back.len(), "seed {seed}: {crowd} crowds among {}", back.len());
    }
}

/// Guards against a pace that hosts do not bear, and against one that never gets to what they do.
#[test]
fn the_pace_finds_what_hosts_bear() {
    for bears in [5.0f64, 40.0, 300.0] {
        let mut gate = gate();
        gate.set(
            Timestamp::ZERO,
            terms(
                AdmissionMode::Paced {
                    capacity_per_s: 10.0,
                    max_per_s: 1_000.0,
                    capacity_source: CapacitySource::Estimated,
                },
                AdmissionMode::Open,
                true,
            ),
        );
        // One after the other: when each was sent, and is done or was turned away.
        let mut out: Vec<(Timestamp, Timestamp, AttemptOutcome)> = Vec::new();
        let (mut free, mut served, mut most) = (0.0f64, 0, 0);
        for now in moments(8 * S) {
            for (sent, _, outcome) in out.extract_if(.., |(_, done, _)| *done <= now).collect::<Vec<_>>() {
                served += u32::from(now > Timestamp::ZERO + 4 * S && outcome == AttemptOutcome::Served);
                gate.ended(now, 0, G, now - sent, outcome);
            }
            if gate.admit(now, 0, G).is_ok() {
                if out.len() as f64 > bears.max(4.0) {
                    out.push((now, now + MS, AttemptOutcome::Overloaded));
                    continue;
                }
                free = free.max(now.as_micros() as f64) + 1e6 / bears;
                out.push((now, Timestamp::from_micros(free as i64), AttemptOutcome::Served));
            }
            most = most.max(out.len());
        }
        assert!((most as f64) < bears + 6.0, "{bears}: {most} at once");
        let rate = f64::from(served) / 4.0;
        assert!(rate > bears * 0.85 && rate < bears * 1.1, "{bears}: {rate}");
    }
}

/// Guards against a wave that grows with the number of daemons, and against queues at hosts that said what they
/// bear: longer ones make reads go to primaries. Seeded: more is wanted of one host than it bears.
#[test]
fn what_hosts_said_that_they_bear_is_used_without_a_queue_by_any_number_of_daemons() {
    const BEARS: f64 = 25.0;
    for (daemons, seed) in [1, 3, 12].into_iter().flat_map(|d| (0..12).map(move |seed| (d, seed))) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let bears = BEARS / daemons as f64;
        let way = AdmissionMode::Paced {
            capacity_per_s: bears,
            max_per_s: bears * 3.2,
            capacity_source: CapacitySource::Reported,
        };
        let mut gates: Vec<AdmissionController> =
            (0..daemons).map(|n| AdmissionController::new(&settings(), seed * 100 + n)).collect();
        gates.iter_mut().for_each(|gate| gate.set(Timestamp::ZERO, terms(way, AdmissionMode::Open, true)));
        let mut out: Vec<(Timestamp, Timestamp, usize)> = Vec::new();
        let (mut free, mut first, mut served, mut worst) = (0.0f64, 0, 0, TimeDelta::ZERO);
        for now in moments(6 * S) {
            for (sent, done, n) in out.extract_if(.., |(_, done, _)| *done <= now).collect::<Vec<_>>() {
                served += u32::from(now > Timestamp::ZERO + S);
                worst = worst.max(done - sent);
                gates[n].ended(now, 0, G, done - sent, AttemptOutcome::Served);
            }
            let n = rng.usize(..gates.len());
            if rng.f64() < BEARS * 1.5 / 1_000.0 && gates[n].admit(now, 0, G).is_ok() {
                first += u32::from(now < Timestamp::ZERO + S / 5);
                free = free.max(now.as_micros() as f64) + 1e6 / BEARS;
                out.push((now, Timestamp::from_micros(free as i64), n));
            }
        }
        let what = format!("{daemons} daemons, seed {seed}: {first} at first, {served}, worst {worst:?}");
        assert!(first <= 8, "{what}");
        assert!(f64::from(served) > BEARS * 5.0 * 0.8, "{what}");
        assert!(worst < MS * 700, "{what}");
    }
}

/// Guards against work of little worth that takes the place of better work.
#[test]
fn the_class_that_is_worth_more_goes_first() {
    let mut gate = gate();
    gate.set(
        Timestamp::ZERO,
        terms(
            AdmissionMode::Open,
            AdmissionMode::Paced {
                capacity_per_s: 100.0,
                max_per_s: 100.0,
                capacity_source: CapacitySource::Estimated,
            },
            true,
        ),
    );
    let mut let_in = [0; 4];
    for now in moments(2 * S).step_by(4) {
        for class in [3, 2, 1] {
            let_in[class] += u32::from(gate.admit(now, class, G).is_ok());
        }
    }
    assert!(let_in[1] > 150 && let_in[2] + let_in[3] < 60, "{let_in:?}");
    assert_eq!(
        gate.ranks,
        [(0, RequestKind::Write), (0, RequestKind::Read), (1, RequestKind::Read), (2, RequestKind::Rest)]
    );
}
