use super::evacuation::MIN_STEP_TIME;
use super::*;
use crate::ids::{NodeId, ZoneId};
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: TimeDelta = TimeDelta::from_secs(1);

fn answered(n: u32) -> ZoneOutcomes {
    ZoneOutcomes { on_time: n, endpoints_tried: 4, endpoints_total: 4, ..ZoneOutcomes::default() }
}

fn unanswered(n: u32) -> ZoneOutcomes {
    ZoneOutcomes {
        unanswered: n,
        endpoints_tried: 4,
        endpoints_failed: 4,
        endpoints_total: 4,
        ..ZoneOutcomes::default()
    }
}

/// The reports of nodes 1, 2, …, each with its outcomes in zones 0, 1, ….
fn reports(all: &[&[ZoneOutcomes]]) -> ZoneReports {
    let report = |zones: &&[ZoneOutcomes]| -> ZoneReport {
        zones.iter().enumerate().map(|(zone, outcomes)| (ZoneId(zone as u8), *outcomes)).collect()
    };
    all.iter().enumerate().map(|(n, zones)| (NodeId(n as u64 + 1), report(zones))).collect()
}

#[test]
fn lost_zones_are_distinguished_from_slow_zones_cut_links_chance_and_isolated_nodes() {
    let (ok, lost) = (answered(20), unanswered(20));
    let late = ZoneOutcomes { late: 15, on_time: 5, ..ZoneOutcomes::default() };
    let one_endpoint_failing = ZoneOutcomes {
        on_time: 15,
        unanswered: 3,
        endpoints_tried: 4,
        endpoints_failed: 1,
        ..ZoneOutcomes::default()
    };
    assert_eq!(assess_zone(ZoneId(0), &reports(&[&[lost, ok], &[lost, ok], &[ok, ok]])), ZoneHealth::Lost);
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[lost, ok], &[ok, ok], &[ok, ok]])),
        ZoneHealth::CutOff(BTreeSet::from([NodeId(1)]))
    );
    assert_eq!(assess_zone(ZoneId(0), &reports(&[&[late, ok], &[late, ok], &[ok, ok]])), ZoneHealth::Slow);
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[one_endpoint_failing, ok], &[ok, ok]])),
        ZoneHealth::Healthy
    );
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[one_endpoint_failing, ok], &[one_endpoint_failing, ok]])),
        ZoneHealth::Degraded
    );
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[lost, lost], &[ok, ok]])),
        ZoneHealth::Healthy,
        "node 1 is isolated"
    );
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[unanswered(2), ok], &[answered(2), ok]])),
        ZoneHealth::Unknown
    );
    // Few attempts of each of many nodes are enough together.
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[unanswered(2), ok], &[unanswered(2), ok], &[unanswered(1), ok]])),
        ZoneHealth::Lost
    );
}

#[test]
fn neither_one_dead_endpoint_nor_one_node_with_many_attempts_makes_a_zone_lost() {
    let ok = answered(20);
    let one_dead = ZoneOutcomes {
        on_time: 0,
        unanswered: 9,
        endpoints_tried: 1,
        endpoints_failed: 1,
        endpoints_total: 4,
        ..ZoneOutcomes::default()
    };
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[one_dead, ok], &[ok, ok]])),
        ZoneHealth::CutOff(BTreeSet::from([NodeId(1)]))
    );
    assert_ne!(
        assess_zone(ZoneId(0), &reports(&[&[one_dead, ok]])),
        ZoneHealth::Lost,
        "only one of four endpoints was tried"
    );
    let one_each = &[&[one_dead, ok][..], &[one_dead, ok], &[one_dead, ok]];
    assert_eq!(
        assess_zone(ZoneId(0), &reports(one_each)),
        ZoneHealth::Lost,
        "each node may have tried a different endpoint"
    );
    // A node that reports every zone as lost, with any number of attempts.
    let all_unanswered = unanswered(u32::MAX);
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[all_unanswered, all_unanswered], &[ok, ok], &[ok, ok]])),
        ZoneHealth::Healthy
    );
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[all_unanswered, ok], &[ok, ok], &[ok, ok]])),
        ZoneHealth::CutOff(BTreeSet::from([NodeId(1)]))
    );
}

/// A simulation of three zones whose endpoints fail and return cold, with their committed weights.
struct ZoneSimulation {
    weights: BTreeMap<ZoneId, ZoneWeight>,
    /// Until when the endpoints of each zone do not respond.
    unresponsive_until: [Timestamp; 3],
    /// Since when the endpoints of each zone have been running.
    started_at: [Timestamp; 3],
}

impl ZoneSimulation {
    fn new() -> ZoneSimulation {
        let weights = (0..3).map(|z| (ZoneId(z), ZoneWeight::default())).collect();
        ZoneSimulation {
            weights,
            unresponsive_until: [Timestamp::ZERO; 3],
            started_at: [Timestamp::ZERO - 100 * SECOND; 3],
        }
    }

    fn capacity_share(&self, now: Timestamp, zone: ZoneId) -> f64 {
        let age = (now - self.started_at[usize::from(zone.0)]).or_zero().as_micros_f64()
            / (16 * SECOND).as_micros_f64();
        (0.25 + 0.75 * age).min(1.0)
    }

    fn loads(&self, now: Timestamp) -> BTreeMap<ZoneId, ZoneLoad> {
        let load = |z| ZoneLoad { reads_rps: 100.0, capacity_rps: 200.0 * self.capacity_share(now, z) };
        (0..3).map(ZoneId).map(|z| (z, load(z))).collect()
    }

    /// What `nodes` nodes report for one second, each with an equal share of the attempts.
    fn reports(&self, now: Timestamp, nodes: u64) -> ZoneReports {
        let outcomes = |zone: ZoneId| {
            let sent =
                (f64::from(self.weights[&zone].permille) / 1000.0 * 100.0 / nodes as f64).ceil() as u32;
            if self.unresponsive_until[usize::from(zone.0)] > now { unanswered(sent) } else { answered(sent) }
        };
        let report = || (0..3).map(ZoneId).map(|z| (z, outcomes(z))).collect();
        (1..=nodes).map(|id| (NodeId(id), report())).collect()
    }
}

/// Guards against evacuating the last zone, two changes of weights at once, a return step beyond a zone's capacity,
/// flapping, and a zone that never returns. Seeded: zones stop answering and return cold at any time.
#[test]
fn zones_are_evacuated_at_once_and_return_no_faster_than_they_warm_up() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut simulation, mut controller) = (ZoneSimulation::new(), EvacuationController::default());
        let mut moves: Vec<(Timestamp, ZoneId, ZoneWeight)> = Vec::new();
        let (last_fault, end) = (Timestamp::ZERO + 120 * SECOND, Timestamp::ZERO + 400 * SECOND);
        let mut now = Timestamp::ZERO;
        while now < end {
            now += TimeDelta::from_millis(100);
            if now < last_fault && rng.u16(..600) == 0 {
                let zone = rng.usize(..3);
                simulation.unresponsive_until[zone] =
                    now + TimeDelta::from_micros(rng.i64(1_000_000..10_000_000));
                simulation.started_at[zone] = simulation.unresponsive_until[zone];
            }
            let (reports, loads) = (simulation.reports(now, 5), simulation.loads(now));
            let due = controller.next_moves(now, &simulation.weights, |zone| vec![zone], &reports, &loads);
            assert!(
                due.len() < 2 || due.iter().all(|next| next.weight.reason == WeightReason::Lost),
                "seed {seed}: {due:?}"
            );
            for ZoneMove { zone, weight } in due {
                let old = simulation.weights[&zone];
                assert_eq!(weight.version, old.version + 1, "seed {seed}");
                assert_ne!(weight.permille, old.permille, "seed {seed}: a move that changes nothing");
                if weight.permille > old.permille && old.permille > 0 {
                    let load = loads[&zone];
                    assert!(
                        load.capacity_rps >= load.reads_rps * f64::from(weight.permille) / 1000.0,
                        "seed {seed}"
                    );
                    assert!(
                        simulation.unresponsive_until[usize::from(zone.0)] <= now,
                        "seed {seed}: a step up of a zone that does not answer"
                    );
                }
                simulation.weights.insert(zone, weight);
                assert!(
                    simulation.weights.values().any(|weight| weight.permille > 0),
                    "seed {seed}: all zones are evacuated"
                );
                moves.push((now, zone, weight));
            }
        }
        assert!(
            simulation.weights.values().all(|weight| weight.permille == FULL_WEIGHT_PERMILLE),
            "seed {seed}: {:?}",
            simulation.weights
        );
        for zone in (0..3).map(ZoneId) {
            let zone_moves: Vec<_> = moves.iter().filter(|(_, moved, _)| *moved == zone).collect();
            for pair in zone_moves.windows(2) {
                let (old, new) = (pair[0].2, pair[1].2);
                let elapsed = pair[1].0 - pair[0].0;
                assert!(
                    old.permille > 0 || new.permille == 0 || elapsed >= EvacuationBackoff::default().initial,
                    "seed {seed}: the zone flaps"
                );
            }
        }
    }
}

#[test]
fn a_slow_zone_is_evacuated_as_far_as_others_have_capacity_and_a_lost_zone_completely() {
    let late = ZoneOutcomes { late: 20, ..ZoneOutcomes::default() };
    let (ok, lost) = (answered(20), unanswered(20));
    let weights: BTreeMap<ZoneId, ZoneWeight> = (0..2).map(|z| (ZoneId(z), ZoneWeight::default())).collect();
    let loads = BTreeMap::from([
        (ZoneId(0), ZoneLoad { reads_rps: 100.0, capacity_rps: 150.0 }),
        (ZoneId(1), ZoneLoad { reads_rps: 100.0, capacity_rps: 150.0 }),
    ]);
    let (mut controller, zero) = (EvacuationController::default(), Timestamp::ZERO);
    let own_region = |zone| vec![zone];
    assert!(
        controller.next_moves(zero, &weights, own_region, &reports(&[&[late, ok]]), &loads).is_empty(),
        "not with the first report"
    );
    let ZoneMove { zone, weight } =
        controller.next_moves(zero + MIN_STEP_TIME, &weights, own_region, &reports(&[&[late, ok]]), &loads)
            [0];
    // The other zone can serve 35 of its 100 reads.
    assert_eq!((zone, weight.permille, weight.reason), (ZoneId(0), 650, WeightReason::Slow));
    let ZoneMove { zone, weight } = EvacuationController::default().next_moves(
        zero,
        &weights,
        own_region,
        &reports(&[&[lost, ok]]),
        &loads,
    )[0];
    assert_eq!((zone, weight.permille, weight.reason), (ZoneId(0), 0, WeightReason::Lost));
    // Both zones are slow: moving load between them would gain nothing.
    assert!(
        controller
            .next_moves(zero + 2 * MIN_STEP_TIME, &weights, own_region, &reports(&[&[late, late]]), &loads)
            .is_empty()
    );
    // Zone 1 is the last one in service: it keeps its weight although it is lost.
    let mut last_in_service = weights.clone();
    last_in_service.insert(
        ZoneId(0),
        ZoneWeight { permille: 0, reason: WeightReason::Lost, version: 1, failed_returns: 0 },
    );
    let both = reports(&[&[ZoneOutcomes::default(), lost], &[ZoneOutcomes::default(), lost]]);
    assert!(
        EvacuationController::default()
            .next_moves(zero, &last_in_service, own_region, &both, &loads)
            .is_empty()
    );
    // A zone that an operator evacuated returns only on a command.
    let mut held = weights.clone();
    held.insert(
        ZoneId(0),
        ZoneWeight { permille: 0, reason: WeightReason::Operator, version: 1, failed_returns: 0 },
    );
    let mut controller = EvacuationController::default();
    for now in [zero, zero + EvacuationBackoff::default().maximum * 2] {
        assert!(
            controller
                .next_moves(now, &held, own_region, &reports(&[&[ZoneOutcomes::default(), ok]]), &loads)
                .is_empty()
        );
    }
}

/// Guards against a lost region of which only the zone with much traffic is evacuated, against lost zones that are
/// evacuated one after the other, and against a fault of a single zone that is attributed to its region.
#[test]
fn a_lost_region_is_evacuated_completely_and_a_lost_zone_alone() {
    let (ok, lost, none) = (answered(20), unanswered(20), ZoneOutcomes::default());
    let weights: BTreeMap<ZoneId, ZoneWeight> = (0..4).map(|z| (ZoneId(z), ZoneWeight::default())).collect();
    let loads = BTreeMap::new();
    // Zones 0, 1 and 2 form a region.
    let region = |zone: ZoneId| if zone.0 < 3 { [0, 1, 2].map(ZoneId).to_vec() } else { vec![zone] };
    let evacuated = |reports_seen: &[&[ZoneOutcomes]]| -> Vec<(u8, u16)> {
        let due_moves = EvacuationController::default().next_moves(
            Timestamp::ZERO,
            &weights,
            region,
            &reports(reports_seen),
            &loads,
        );
        due_moves.into_iter().map(|ZoneMove { zone, weight }| (zone.0, weight.permille)).collect()
    };
    assert_eq!(
        evacuated(&[&[lost, unanswered(3), none, ok], &[lost, none, none, ok]]),
        [(0, 0), (1, 0), (2, 0)]
    );
    assert_eq!(
        evacuated(&[&[lost, lost, ok, ok], &[lost, lost, ok, ok]]),
        [(0, 0), (1, 0)],
        "zone 2 of the region answers"
    );
    assert_eq!(
        evacuated(&[&[lost, none, none, ok], &[lost, none, none, ok]]),
        [(0, 0)],
        "no other zone of the region was tried"
    );
    assert_eq!(
        evacuated(&[&[lost, lost, lost, lost], &[lost, lost, lost, lost]]),
        [],
        "no zone is left to move to"
    );
    // Without regions the same few attempts are not enough.
    let reports_seen = reports(&[&[lost, unanswered(3), none, ok], &[lost, none, none, ok]]);
    let due_moves = EvacuationController::default().next_moves(
        Timestamp::ZERO,
        &weights,
        |zone| vec![zone],
        &reports_seen,
        &loads,
    );
    assert_eq!(due_moves.iter().map(|next| next.zone).collect::<Vec<_>>(), [ZoneId(0)]);
}
