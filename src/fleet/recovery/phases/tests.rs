use super::*;

const SECOND: TimeDelta = TimeDelta::from_secs(1);
const POLICY: SlowStartPolicy =
    SlowStartPolicy { initial_share: 0.25, warm_up: TimeDelta::from_secs(16), overload_multiple: 4.0 };

/// The admission mode of writes, then that of reads.
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
fn service_returns_phase_by_phase_and_groups_open_after_the_readiness_timeout() {
    let (mut schedule, tick) = (RecoverySchedule::new(POLICY), TimeDelta::from_micros(1));
    let before_list =
        schedule.advance(&RecoveryView { list_received: false, ..view(TimeDelta::ZERO, vec![endpoint(1)]) });
    assert_eq!(
        (before_list.phase, before_list.admission.unwrap().groups.len()),
        (RecoveryPhase::EndpointList, 0)
    );
    let unknown = schedule.advance(&view(SECOND, vec![endpoint(1), endpoint(1), endpoint(2)]));
    assert_eq!(
        (unknown.phase, unknown.waiting_for.as_str()),
        (RecoveryPhase::Writes, "the primary of group 1, 2")
    );
    let primary = EndpointView { is_primary: true, ..endpoint(1) };
    let claimed = EndpointView { primary_claims: 2, ..endpoint(2) };
    let named = schedule.advance(&view(SECOND + tick, vec![primary, endpoint(1), claimed]));
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
    let single_claim = EndpointView { primary_claims: 1, ..endpoint(3) };
    let with_position = EndpointView { position_known: true, ..endpoint(1) };
    let late = schedule.advance(&view(
        SECOND + READINESS_TIMEOUT - tick,
        vec![primary, with_position, claimed, single_claim],
    ));
    assert_eq!((late.phase, late.waiting_for.as_str()), (RecoveryPhase::Reads, "the primary of group 3"));
    assert!(
        matches!(
            late.admission.unwrap().groups[&GroupId(3)],
            GroupAdmission { writes: AdmissionMode::Closed(_), .. }
        ),
        "one of three nodes is not a majority"
    );
    let timed_out = schedule
        .advance(&view(SECOND + READINESS_TIMEOUT, vec![endpoint(1), endpoint(1), claimed, single_claim]));
    assert_eq!(
        (timed_out.phase, timed_out.admission.unwrap().admit_eventual_reads),
        (RecoveryPhase::Remaining, true)
    );
    let done = schedule.advance(&view(SECOND + MIN_RECOVERY_TIME, vec![endpoint(1), claimed, single_claim]));
    assert_eq!((done.phase, done.admission), (RecoveryPhase::Done, None));
}

/// Guards against phases that go back, groups that are closed again, and a recovery that never ends. Seeded: any
/// observations at any time.
#[test]
fn phases_only_advance_and_all_groups_are_open_in_the_end() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut schedule = RecoverySchedule::new(POLICY);
        let started_at = rng.bool().then(|| TimeDelta::from_micros(rng.i64(-20_000_000..2_000_000)));
        let (mut now, mut last_phase, mut open_modes) =
            (TimeDelta::ZERO, RecoveryPhase::EndpointList, BTreeMap::new());
        let listed_at = TimeDelta::from_micros(rng.i64(0..1_000_000));
        let max_step = TimeDelta::from_millis(300);
        while now < 30 * SECOND {
            now += TimeDelta::from_micros(rng.i64(1..300_000));
            let endpoints = (0..6u32).map(|n| EndpointView {
                is_primary: n % 3 == 0 && rng.bool(),
                position_known: rng.bool(),
                primary_claims: rng.usize(0..4),
                age: started_at.map(|started_at| now - started_at),
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
            assert!(decision.phase >= last_phase, "seed {seed}: {last_phase:?} then {:?}", decision.phase);
            last_phase = decision.phase;
            if !view.list_received {
                assert!(
                    decision
                        .admission
                        .as_ref()
                        .is_some_and(|policy| policy.groups.is_empty() && !policy.admit_eventual_reads)
                );
            }
            for (group, admission) in decision.admission.iter().flat_map(|policy| &policy.groups) {
                for (side, mode) in modes(admission).into_iter().enumerate() {
                    let is_open = !matches!(mode, AdmissionMode::Closed(_));
                    let was_open = open_modes.insert((*group, side), is_open).unwrap_or(false);
                    assert!(is_open || !was_open, "seed {seed}: group {group} was closed again");
                    assert!(is_open || now < listed_at + max_step + READINESS_TIMEOUT, "seed {seed}");
                    if let AdmissionMode::Paced { capacity_per_s: initial, max_per_s: maximum, .. } = mode {
                        assert!(initial > 0.0 && initial <= maximum, "seed {seed}: {mode:?}");
                    }
                }
            }
            if started_at.is_none_or(|started_at| now > started_at + 16 * SECOND)
                && now > listed_at + max_step + MIN_RECOVERY_TIME
            {
                assert_eq!(decision.phase, RecoveryPhase::Done, "seed {seed}");
            }
        }
    }
}

#[test]
fn requests_to_cold_endpoints_are_limited_to_this_process_share_of_their_capacity() {
    let mut schedule = RecoverySchedule::new(POLICY);
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
        AdmissionMode::Paced { capacity_per_s: initial, max_per_s: maximum, .. },
        AdmissionMode::Paced { capacity_per_s: reads, .. },
    ] = modes(&decision.admission.unwrap().groups[&GroupId(1)])
    else {
        panic!("not paced");
    };
    assert!((initial - 20.0 * 0.25 / 3.0).abs() < 1e-9 && (maximum - 20.0 * 0.25 * 3.2 / 3.0).abs() < 1e-9);
    assert!((reads - 30.0 * 0.25 / 3.0).abs() < 1e-9);
    // An endpoint that has not reported yet neither counts as warm nor adds capacity.
    let not_reporting = EndpointView { warm_capacity_rps: 50.0, ..endpoint(1) };
    let one_not_reporting = schedule
        .advance(&view(TimeDelta::from_micros(1), vec![cold(true, 20.0), cold(false, 20.0), not_reporting]));
    let [_, AdmissionMode::Paced { capacity_per_s: reads, .. }] =
        modes(&one_not_reporting.admission.unwrap().groups[&GroupId(1)])
    else {
        panic!("not paced")
    };
    assert!((reads - 20.0 * 0.25 / 3.0).abs() < 1e-9);
    // The primary is not known: it may be the weakest endpoint.
    let mut schedule = RecoverySchedule::new(POLICY);
    schedule.advance(&view(TimeDelta::ZERO, vec![]));
    let unknown = view(READINESS_TIMEOUT, vec![cold(false, 20.0), cold(false, 12.0)]);
    let [AdmissionMode::Paced { capacity_per_s: initial, .. }, _] =
        modes(&schedule.advance(&unknown).admission.unwrap().groups[&GroupId(1)])
    else {
        panic!("not paced");
    };
    assert!((initial - 12.0 * 0.25 / 3.0).abs() < 1e-9);
}
