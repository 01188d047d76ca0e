use super::paced_rate::{BURST_LENGTH, MIN_BURST_REQUESTS};
use super::*;
use crate::routing::Consistency;

const SECOND: TimeDelta = TimeDelta::from_secs(1);
const MS: TimeDelta = TimeDelta::from_millis(1);
const GROUP: GroupId = GroupId(1);
const OTHER_GROUP: GroupId = GroupId(2);
const WRITE: usize = 0;

/// The instants at which each millisecond starts, from zero up to `length`.
fn instants(length: TimeDelta) -> impl Iterator<Item = Timestamp> {
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
    Settings { classes, max_retry_after: Some(SECOND), ..Settings::default() }
}

fn controller() -> AdmissionController {
    AdmissionController::new(&settings(), 1)
}

fn policy(
    writes: AdmissionMode,
    reads: AdmissionMode,
    admit_eventual_reads: bool,
) -> Option<AdmissionPolicy> {
    Some(AdmissionPolicy {
        groups: BTreeMap::from([(GROUP, GroupAdmission { writes, reads })]),
        admit_eventual_reads,
        retry_after: MS * 300,
    })
}

fn paced_mode(capacity_per_s: f64, max_per_s: f64, capacity_source: CapacitySource) -> AdmissionMode {
    AdmissionMode::Paced { capacity_per_s, max_per_s, capacity_source }
}

fn is_admitted(controller: &mut AdmissionController, now: Timestamp, class: usize, group: GroupId) -> bool {
    controller.admit(now, class, group) == AdmissionDecision::Admitted
}

/// The retry-after hint of a request; `None` if it is admitted.
fn retry_after(controller: &mut AdmissionController, class: usize, group: GroupId) -> Option<TimeDelta> {
    match controller.admit(Timestamp::ZERO, class, group) {
        AdmissionDecision::Admitted => None,
        AdmissionDecision::Rejected { retry_after } => Some(retry_after),
    }
}

/// Whether a request of each of the four classes is admitted.
fn admitted_classes(controller: &mut AdmissionController) -> Vec<bool> {
    (0..4).map(|class| is_admitted(controller, Timestamp::ZERO, class, GROUP)).collect()
}

#[test]
fn request_kinds_are_admitted_step_by_step_and_unlisted_groups_stay_closed() {
    let (open, closed) = (AdmissionMode::Open, AdmissionMode::Closed(MS * 200));
    let mut controller = controller();
    assert!(
        (0..4).all(|class| is_admitted(&mut controller, Timestamp::ZERO, class, GroupId(9))),
        "without a policy everything is admitted"
    );
    controller.set_policy(Timestamp::ZERO, policy(closed, closed, false));
    assert_eq!(admitted_classes(&mut controller), [false; 4]);
    let hints: Vec<TimeDelta> = (0..100).filter_map(|_| retry_after(&mut controller, WRITE, GROUP)).collect();
    for from in (200..400).step_by(20).map(|n| MS * n) {
        let within = hints.iter().filter(|hint| (from..from + MS * 20).contains(*hint)).count();
        assert!((8..=12).contains(&within));
    }
    controller.set_policy(Timestamp::ZERO, policy(open, closed, false));
    assert_eq!(admitted_classes(&mut controller), [true, false, false, false]);
    controller.set_policy(Timestamp::ZERO, policy(open, open, false));
    assert_eq!(admitted_classes(&mut controller), [true, true, true, false]);
    controller.set_policy(Timestamp::ZERO, policy(open, open, true));
    assert!(
        admitted_classes(&mut controller) == [true; 4]
            && retry_after(&mut controller, WRITE, OTHER_GROUP).is_some_and(|hint| hint >= MS * 300)
    );
    controller.set_policy(Timestamp::ZERO, None);
    assert!(is_admitted(&mut controller, Timestamp::ZERO, WRITE, OTHER_GROUP));
}

/// Submits requests at random times with random outcomes. Returns when requests were admitted, and when the rejected
/// ones may be retried.
fn random_requests(
    seed: u64,
    rng: &mut fastrand::Rng,
    mode: AdmissionMode,
) -> (Vec<Timestamp>, Vec<Timestamp>) {
    let mut controller = controller();
    controller.set_policy(Timestamp::ZERO, policy(mode, AdmissionMode::Open, true));
    let mut now = Timestamp::ZERO;
    let (mut admitted, mut returns) = (Vec::new(), Vec::new());
    for _ in 0..3_000 {
        now += TimeDelta::from_micros(rng.i64(0..4_000));
        match controller.admit(now, WRITE, GROUP) {
            AdmissionDecision::Admitted => {
                admitted.push(now);
                let overloaded = rng.u8(..20) == 0;
                let outcome = if overloaded { AttemptOutcome::Overloaded } else { AttemptOutcome::Served };
                let took = TimeDelta::from_micros(rng.i64(0..500_000));
                controller.record_attempt(now + TimeDelta::from_micros(1), WRITE, GROUP, took, outcome);
            }
            AdmissionDecision::Rejected { retry_after } => {
                assert!((MIN_RETRY_AFTER..=SECOND).contains(&retry_after), "seed {seed}: {retry_after:?}");
                returns.push(now + retry_after);
            }
        }
    }
    (admitted, returns)
}

/// Guards against a rate above its bound, and against rejected requests that return all at once. Randomized with fixed
/// seeds.
#[test]
fn the_admitted_rate_stays_below_its_bound_and_rejected_requests_return_spread_out() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (capacity, max) = (rng.f64() * 40.0 + 1.0, rng.f64() * 200.0 + 1.0);
        let mode = paced_mode(capacity, max, CapacitySource::Estimated);
        let (admitted, mut returns) = random_requests(seed, &mut rng, mode);
        for (n, from) in admitted.iter().enumerate() {
            let in_one_second = admitted[n..].iter().take_while(|at| **at - *from < SECOND).count() as f64;
            let burst = (max * BURST_LENGTH.as_micros_f64() / 1e6).max(MIN_BURST_REQUESTS);
            assert!(
                in_one_second <= max + burst + 2.0,
                "seed {seed}: {in_one_second} admitted in a second, {max} at most"
            );
        }
        returns.sort_unstable();
        let crowds = returns.windows(40).filter(|window| window[39] - window[0] < MS).count();
        assert!(
            crowds * 20 <= returns.len(),
            "seed {seed}: {crowds} crowds among {} requests",
            returns.len()
        );
    }
}

/// An attempt at the simulated endpoint.
struct SimulatedAttempt {
    /// Index of the process that sent it.
    process: usize,
    sent_at: Timestamp,
    done_at: Timestamp,
    outcome: AttemptOutcome,
}

fn take_done(in_flight: &mut Vec<SimulatedAttempt>, now: Timestamp) -> Vec<SimulatedAttempt> {
    in_flight.extract_if(.., |attempt| attempt.done_at <= now).collect()
}

/// Guards against a rate that stays above or below the endpoints' capacity.
#[test]
fn the_rate_converges_to_the_capacity() {
    for capacity in [5.0f64, 40.0, 300.0] {
        let mut controller = controller();
        let mode = paced_mode(10.0, 1_000.0, CapacitySource::Estimated);
        controller.set_policy(Timestamp::ZERO, policy(mode, AdmissionMode::Open, true));
        // The endpoint serves one request at a time and rejects those that do not fit in its queue.
        let mut in_flight: Vec<SimulatedAttempt> = Vec::new();
        let (mut free_at_micros, mut served, mut most_in_flight) = (0.0f64, 0, 0);
        for now in instants(8 * SECOND) {
            for SimulatedAttempt { sent_at, outcome, .. } in take_done(&mut in_flight, now) {
                let is_counted = now > Timestamp::ZERO + 4 * SECOND && outcome == AttemptOutcome::Served;
                served += u32::from(is_counted);
                controller.record_attempt(now, WRITE, GROUP, now - sent_at, outcome);
            }
            if is_admitted(&mut controller, now, WRITE, GROUP) {
                if in_flight.len() as f64 > capacity.max(4.0) {
                    let outcome = AttemptOutcome::Overloaded;
                    in_flight.push(SimulatedAttempt { process: 0, sent_at: now, done_at: now + MS, outcome });
                    continue;
                }
                free_at_micros = free_at_micros.max(now.as_micros() as f64) + 1e6 / capacity;
                let done_at = Timestamp::from_micros(free_at_micros as i64);
                in_flight.push(SimulatedAttempt {
                    process: 0,
                    sent_at: now,
                    done_at,
                    outcome: AttemptOutcome::Served,
                });
            }
            most_in_flight = most_in_flight.max(in_flight.len());
        }
        assert!((most_in_flight as f64) < capacity + 6.0, "{capacity}: {most_in_flight} at once");
        let rate = f64::from(served) / 4.0;
        assert!(rate > capacity * 0.85 && rate < capacity * 1.1, "{capacity}: {rate}");
    }
}

/// The first burst must not grow with the number of processes, and no long queue may build up at endpoints that
/// reported their capacity, since it would make the router send reads to primaries. Randomized with fixed seeds: the
/// demand exceeds the capacity.
#[test]
fn a_reported_capacity_is_used_without_a_queue_by_any_number_of_processes() {
    const CAPACITY_PER_S: f64 = 25.0;
    for (processes, seed) in [1, 3, 12].into_iter().flat_map(|n| (0..12).map(move |seed| (n, seed))) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let share = CAPACITY_PER_S / processes as f64;
        let mode = paced_mode(share, share * 3.2, CapacitySource::Reported);
        let mut controllers: Vec<AdmissionController> =
            (0..processes).map(|n| AdmissionController::new(&settings(), seed * 100 + n)).collect();
        for controller in &mut controllers {
            controller.set_policy(Timestamp::ZERO, policy(mode, AdmissionMode::Open, true));
        }
        let mut in_flight: Vec<SimulatedAttempt> = Vec::new();
        let (mut free_at_micros, mut admitted_at_start, mut served) = (0.0f64, 0, 0);
        let mut worst_latency = TimeDelta::ZERO;
        for now in instants(6 * SECOND) {
            for SimulatedAttempt { process, sent_at, done_at, outcome } in take_done(&mut in_flight, now) {
                let took = done_at - sent_at;
                served += u32::from(now > Timestamp::ZERO + SECOND);
                worst_latency = worst_latency.max(took);
                controllers[process].record_attempt(now, WRITE, GROUP, took, outcome);
            }
            let process = rng.usize(..controllers.len());
            let arrives = rng.f64() < CAPACITY_PER_S * 1.5 / 1_000.0;
            if arrives && is_admitted(&mut controllers[process], now, WRITE, GROUP) {
                admitted_at_start += u32::from(now < Timestamp::ZERO + SECOND / 5);
                free_at_micros = free_at_micros.max(now.as_micros() as f64) + 1e6 / CAPACITY_PER_S;
                let done_at = Timestamp::from_micros(free_at_micros as i64);
                in_flight.push(SimulatedAttempt {
                    process,
                    sent_at: now,
                    done_at,
                    outcome: AttemptOutcome::Served,
                });
            }
        }
        let context = format!(
            "{processes} processes, seed {seed}: {admitted_at_start} at first, {served} served, worst {worst_latency:?}"
        );
        assert!(admitted_at_start <= 8, "{context}");
        assert!(f64::from(served) > CAPACITY_PER_S * 5.0 * 0.8, "{context}");
        assert!(worst_latency < MS * 700, "{context}");
    }
}

/// Guards against requests of low priority weight displacing those of higher weight.
#[test]
fn the_class_with_the_higher_priority_weight_is_admitted_first() {
    let mut controller = controller();
    let reads = paced_mode(100.0, 100.0, CapacitySource::Estimated);
    controller.set_policy(Timestamp::ZERO, policy(AdmissionMode::Open, reads, true));
    let mut admitted = [0; 4];
    for now in instants(2 * SECOND).step_by(4) {
        for class in [3, 2, 1] {
            admitted[class] += u32::from(is_admitted(&mut controller, now, class, GROUP));
        }
    }
    assert!(admitted[1] > 150 && admitted[2] + admitted[3] < 60, "{admitted:?}");
    let ranks: Vec<_> =
        controller.classes.iter().map(|class| (class.higher_priority_levels, class.kind)).collect();
    assert_eq!(
        ranks,
        [
            (0, RequestKind::Write),
            (0, RequestKind::Read),
            (1, RequestKind::Read),
            (2, RequestKind::EventualRead)
        ]
    );
}
