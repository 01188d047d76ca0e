use super::*;

const S: TimeDelta = TimeDelta::from_secs(1);
const COLD: SlowStartPolicy =
    SlowStartPolicy { share: 0.25, warm_up: TimeDelta::from_secs(16), multiple: 4.0 };

/// The mode of writes, then that of reads.
fn modes(admission: &GroupAdmission) -> [AdmissionMode; 2] {
    [admission.writes, admission.reads]
}

fn endpoint(group: u32) -> EndpointView {
    EndpointView { group: GroupId(group), ..EndpointView::default() }
}

fn view(now: TimeDelta, endpoints: Vec<EndpointView>) -> RecoveryView {
    RecoveryView {
        now: Timestamp::ZERO + now,
        list_received: true,
        member_count: 3,
        reachable_count: 3,
        endpoints,
    }
}

#[test]
fn service_returns_phase_by_phase_and_waits_no_longer_than_the_timeout_for_proof() {
    let (mut schedule, tick) = (RecoverySchedule::new(COLD), TimeDelta::from_micros(1));
    let early =
        schedule.advance(&RecoveryView { list_received: false, ..view(TimeDelta::ZERO, vec![endpoint(1)]) });
    assert_eq!((early.phase, early.admission.unwrap().groups.len()), (RecoveryPhase::List, 0));
    let unknown = schedule.advance(&view(S, vec![endpoint(1), endpoint(1), endpoint(2)]));
    assert_eq!(
        (unknown.phase, unknown.waiting_for.as_str()),
        (RecoveryPhase::Writes, "the primary of group 1, 2")
    );
    let primary = EndpointView { is_primary: true, ..endpoint(1) };
    let claimed = EndpointView { primary_claims: 2, ..endpoint(2) };
    let named = schedule.advance(&view(S + tick, vec![primary, endpoint(1), claimed]));
    assert_eq!(
        (named.phase, named.waiting_for.as_str()),
        (RecoveryPhase::Reads, "a proven position in group 1, 2")
    );
    let admission = named.admission.unwrap();
    assert!(
        matches!(
            admission.groups[&GroupId(1)],
            GroupAdmission { writes: AdmissionMode::Open, reads: AdmissionMode::Closed(_) }
        ) && !admission.admit_eventual_reads
    );
    let one = EndpointView { primary_claims: 1, ..endpoint(3) };
    let proven = EndpointView { position_known: true, ..endpoint(1) };
    let late = schedule.advance(&view(S + PROOF_TIMEOUT - tick, vec![primary, proven, claimed, one]));
    assert_eq!((late.phase, late.waiting_for.as_str()), (RecoveryPhase::Reads, "the primary of group 3"));
    assert!(
        matches!(
            late.admission.unwrap().groups[&GroupId(3)],
            GroupAdmission { writes: AdmissionMode::Closed(_), .. }
        ),
        "one of three is no majority"
    );
    let over = schedule.advance(&view(S + PROOF_TIMEOUT, vec![endpoint(1), endpoint(1), claimed, one]));
    assert_eq!((over.phase, over.admission.unwrap().admit_eventual_reads), (RecoveryPhase::Remaining, true));
    let done = schedule.advance(&view(S + MIN_RECOVERY_TIME, vec![endpoint(1), claimed, one]));
    assert_eq!((done.phase, done.admission), (RecoveryPhase::Done, None));
}

/// Guards against phases that go back, groups that are closed again, and service that never returns. Seeded: any
/// observations at any time.
#[test]
fn phases_only_go_forward_and_all_is_open_in_the_end() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut schedule = RecoverySchedule::new(COLD);
        let started = rng.bool().then(|| TimeDelta::from_micros(rng.i64(-20_000_000..2_000_000)));
        let (mut now, mut last, mut open) = (TimeDelta::ZERO, RecoveryPhase::List, BTreeMap::new());
        let listed_at = TimeDelta::from_micros(rng.i64(0..1_000_000));
        let gap = TimeDelta::from_millis(300);
        while now < 30 * S {
            now += TimeDelta::from_micros(rng.i64(1..300_000));
            let endpoints = (0..6u32).map(|n| EndpointView {
                is_primary: n % 3 == 0 && rng.bool(),
                position_known: rng.bool(),
                primary_claims: rng.usize(0..4),
                age: started.map(|at| now - at),
                warm_capacity_rps: f64::from(n) * 5.0,
                utilization_reported: rng.bool(),
                current_rate_rps: f64::from(n),
                group: GroupId(n / 3),
            });
            let endpoints = endpoints.collect();
            let view = RecoveryView {
                list_received: now >= listed_at,
                reachable_count: rng.usize(1..=3),
                ..view(now, endpoints)
            };
            let decision = schedule.advance(&view);
            assert!(decision.phase >= last, "seed {seed}: {last:?} then {:?}", decision.phase);
            last = decision.phase;
            if !view.list_received {
                assert!(
                    decision
                        .admission
                        .as_ref()
                        .is_some_and(|policy| policy.groups.is_empty() && !policy.admit_eventual_reads)
                );
            }
            for (group, admission) in decision.admission.iter().flat_map(|t| &t.groups) {
                for (side, mode) in modes(admission).into_iter().enumerate() {
                    let is_open = !matches!(mode, AdmissionMode::Closed(_));
                    let was = open.insert((*group, side), is_open).unwrap_or(false);
                    assert!(is_open || !was, "seed {seed}: group {group} was closed again");
                    assert!(is_open || now < listed_at + gap + PROOF_TIMEOUT, "seed {seed}");
                    if let AdmissionMode::Paced { capacity_per_s: start, max_per_s: most, .. } = mode {
                        assert!(start > 0.0 && start <= most, "seed {seed}: {mode:?}");
                    }
                }
            }
            if started.is_none_or(|at| now > at + 16 * S) && now > listed_at + gap + MIN_RECOVERY_TIME {
                assert_eq!(decision.phase, RecoveryPhase::Done, "seed {seed}");
            }
        }
    }
}

#[test]
fn cold_endpoints_are_admitted_at_this_process_share_of_their_capacity() {
    let mut schedule = RecoverySchedule::new(COLD);
    let cold = |is_primary, warm_capacity_rps| EndpointView {
        is_primary,
        warm_capacity_rps,
        position_known: true,
        age: Some(TimeDelta::ZERO),
        ..endpoint(1)
    };
    let decision =
        schedule.advance(&view(TimeDelta::ZERO, vec![cold(true, 20.0), cold(false, 20.0), cold(false, 0.0)]));
    let [
        AdmissionMode::Paced { capacity_per_s: start, max_per_s: most, .. },
        AdmissionMode::Paced { capacity_per_s: reads, .. },
    ] = modes(&decision.admission.unwrap().groups[&GroupId(1)])
    else {
        panic!("not paced");
    };
    assert!((start - 20.0 * 0.25 / 3.0).abs() < 1e-9 && (most - 20.0 * 0.25 * 3.2 / 3.0).abs() < 1e-9);
    assert!((reads - 30.0 * 0.25 / 3.0).abs() < 1e-9);
    // An endpoint that was not heard yet is neither warm nor adds capacity.
    let silent = EndpointView { warm_capacity_rps: 50.0, ..endpoint(1) };
    let early =
        schedule.advance(&view(TimeDelta::from_micros(1), vec![cold(true, 20.0), cold(false, 20.0), silent]));
    let [_, AdmissionMode::Paced { capacity_per_s: early, .. }] =
        modes(&early.admission.unwrap().groups[&GroupId(1)])
    else {
        panic!("not paced")
    };
    assert!((early - 20.0 * 0.25 / 3.0).abs() < 1e-9);
    // The primary is not known: it may be the weakest.
    let mut schedule = RecoverySchedule::new(COLD);
    schedule.advance(&view(TimeDelta::ZERO, vec![]));
    let unknown = view(PROOF_TIMEOUT, vec![cold(false, 20.0), cold(false, 12.0)]);
    let [AdmissionMode::Paced { capacity_per_s: start, .. }, _] =
        modes(&schedule.advance(&unknown).admission.unwrap().groups[&GroupId(1)])
    else {
        panic!("not paced");
    };
    assert!((start - 12.0 * 0.25 / 3.0).abs() < 1e-9);
}
