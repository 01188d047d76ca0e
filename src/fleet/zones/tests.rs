use super::evacuation::MIN_STEP_TIME;
use super::*;
use crate::ids::{NodeId, ZoneId};
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, WeightReason, ZoneWeight};
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

const S: TimeDelta = TimeDelta::from_secs(1);

fn answering(n: u32) -> ZoneOutcomes {
    ZoneOutcomes { on_time: n, endpoints_tried: 4, endpoints_total: 4, ..ZoneOutcomes::default() }
}

fn silent(n: u32) -> ZoneOutcomes {
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
fn a_lost_zone_is_told_from_a_slow_one_a_cut_link_chance_and_an_isolated_node() {
    let (ok, lost) = (answering(20), silent(20));
    let late = ZoneOutcomes { late: 15, on_time: 5, ..ZoneOutcomes::default() };
    let unlucky = ZoneOutcomes {
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
    assert_eq!(assess_zone(ZoneId(0), &reports(&[&[unlucky, ok], &[ok, ok]])), ZoneHealth::Healthy);
    assert_eq!(assess_zone(ZoneId(0), &reports(&[&[unlucky, ok], &[unlucky, ok]])), ZoneHealth::Degraded);
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[lost, lost], &[ok, ok]])),
        ZoneHealth::Healthy,
        "its own link is cut"
    );
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[silent(2), ok], &[answering(2), ok]])),
        ZoneHealth::Unknown
    );
    // Many nodes with few attempts each have enough together.
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[silent(2), ok], &[silent(2), ok], &[silent(1), ok]])),
        ZoneHealth::Lost
    );
}

#[test]
fn one_dead_endpoint_or_an_exaggerating_node_does_not_make_a_zone_lost() {
    let ok = answering(20);
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
        "one endpoint of four is all that was tried"
    );
    let one_each = &[&[one_dead, ok][..], &[one_dead, ok], &[one_dead, ok]];
    assert_eq!(
        assess_zone(ZoneId(0), &reports(one_each)),
        ZoneHealth::Lost,
        "each node may have tried another endpoint"
    );
    // A node that reports every zone as lost, with however many attempts.
    let exaggerating = silent(u32::MAX);
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[exaggerating, exaggerating], &[ok, ok], &[ok, ok]])),
        ZoneHealth::Healthy
    );
    assert_eq!(
        assess_zone(ZoneId(0), &reports(&[&[exaggerating, ok], &[ok, ok], &[ok, ok]])),
        ZoneHealth::CutOff(BTreeSet::from([NodeId(1)]))
    );
}

/// Three zones whose endpoints fail and return cold, by seed, and their committed weights.
struct World {
    weights: BTreeMap<ZoneId, ZoneWeight>,
    /// Until when each zone is silent, and since when its endpoints run.
    silent: [Timestamp; 3],
    started: [Timestamp; 3],
}

impl World {
    fn new() -> World {
        let weights = (0..3).map(|z| (ZoneId(z), ZoneWeight::default())).collect();
        World { weights, silent: [Timestamp::ZERO; 3], started: [Timestamp::ZERO - 100 * S; 3] }
    }

    fn capacity_share(&self, now: Timestamp, zone: ZoneId) -> f64 {
        let age =
            (now - self.started[usize::from(zone.0)]).or_zero().as_micros_f64() / (16 * S).as_micros_f64();
        (0.25 + 0.75 * age).min(1.0)
    }

    fn loads(&self, now: Timestamp) -> BTreeMap<ZoneId, ZoneLoad> {
        let load = |z| ZoneLoad { reads_rps: 100.0, capacity_rps: 200.0 * self.capacity_share(now, z) };
        (0..3).map(ZoneId).map(|z| (z, load(z))).collect()
    }

    /// What `nodes` nodes report of one second, each with an equal part of the attempts.
    fn reports(&self, now: Timestamp, nodes: u64) -> ZoneReports {
        let outcomes = |zone: ZoneId| {
            let sent =
                (f64::from(self.weights[&zone].permille) / 1000.0 * 100.0 / nodes as f64).ceil() as u32;
            if self.silent[usize::from(zone.0)] > now { silent(sent) } else { answering(sent) }
        };
        let own = || (0..3).map(ZoneId).map(|z| (z, outcomes(z))).collect();
        (1..=nodes).map(|id| (NodeId(id), own())).collect()
    }
}

/// Guards against evacuating the last zone, two moves at once, a step on the way back that the zone does not bear,
/// flapping, and a zone that never returns. Seeded: zones fall silent and return cold at any time.
#[test]
fn zones_are_evacuated_at_once_and_return_no_faster_than_they_warm_up() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut world, mut controller) = (World::new(), EvacuationController::default());
        let mut moves: Vec<(Timestamp, ZoneId, ZoneWeight)> = Vec::new();
        let (last_fault, end) = (Timestamp::ZERO + 120 * S, Timestamp::ZERO + 400 * S);
        let mut now = Timestamp::ZERO;
        while now < end {
            now += TimeDelta::from_millis(100);
            if now < last_fault && rng.u16(..600) == 0 {
                let zone = rng.usize(..3);
                world.silent[zone] = now + TimeDelta::from_micros(rng.i64(1_000_000..10_000_000));
                world.started[zone] = world.silent[zone];
            }
            let (reports, loads) = (world.reports(now, 5), world.loads(now));
            let due = controller.next_moves(now, &world.weights, |zone| vec![zone], &reports, &loads);
            assert!(
                due.len() < 2 || due.iter().all(|next| next.weight.reason == WeightReason::Lost),
                "seed {seed}: {due:?}"
            );
            for ZoneMove { zone, weight } in due {
                let old = world.weights[&zone];
                assert_eq!(weight.version, old.version + 1, "seed {seed}");
                assert_ne!(weight.permille, old.permille, "seed {seed}: a move that changes nothing");
                if weight.permille > old.permille && old.permille > 0 {
                    let load = loads[&zone];
                    assert!(
                        load.capacity_rps >= load.reads_rps * f64::from(weight.permille) / 1000.0,
                        "seed {seed}"
                    );
                    assert!(
                        world.silent[usize::from(zone.0)] <= now,
                        "seed {seed}: a step into a silent zone"
                    );
                }
                world.weights.insert(zone, weight);
                assert!(
                    world.weights.values().any(|weight| weight.permille > 0),
                    "seed {seed}: all zones are evacuated"
                );
                moves.push((now, zone, weight));
            }
        }
        assert!(
            world.weights.values().all(|weight| weight.permille == FULL_WEIGHT_PERMILLE),
            "seed {seed}: {:?}",
            world.weights
        );
        for zone in (0..3).map(ZoneId) {
            let own: Vec<_> = moves.iter().filter(|(_, z, _)| *z == zone).collect();
            for pair in own.windows(2) {
                let (left, back) = (pair[0].2, pair[1].2);
                let rested = pair[1].0 - pair[0].0;
                assert!(
                    left.permille > 0 || back.permille == 0 || rested >= EvacuationBackoff::default().initial,
                    "seed {seed}: it flaps"
                );
            }
        }
    }
}

#[test]
fn a_slow_zone_is_evacuated_as_far_as_the_others_can_carry_it_and_a_lost_one_wholly() {
    let late = ZoneOutcomes { late: 20, ..ZoneOutcomes::default() };
    let (ok, lost) = (answering(20), silent(20));
    let weights: BTreeMap<ZoneId, ZoneWeight> = (0..2).map(|z| (ZoneId(z), ZoneWeight::default())).collect();
    let loads = BTreeMap::from([
        (ZoneId(0), ZoneLoad { reads_rps: 100.0, capacity_rps: 150.0 }),
        (ZoneId(1), ZoneLoad { reads_rps: 100.0, capacity_rps: 150.0 }),
    ]);
    let (mut controller, zero) = (EvacuationController::default(), Timestamp::ZERO);
    let own = |zone| vec![zone];
    assert!(
        controller.next_moves(zero, &weights, own, &reports(&[&[late, ok]]), &loads).is_empty(),
        "not with the first report"
    );
    let ZoneMove { zone, weight } =
        controller.next_moves(zero + MIN_STEP_TIME, &weights, own, &reports(&[&[late, ok]]), &loads)[0];
    // The other zone can carry 35 of its 100 reads.
    assert_eq!((zone, weight.permille, weight.reason), (ZoneId(0), 650, WeightReason::Slow));
    let ZoneMove { zone, weight } =
        EvacuationController::default().next_moves(zero, &weights, own, &reports(&[&[lost, ok]]), &loads)[0];
    assert_eq!((zone, weight.permille, weight.reason), (ZoneId(0), 0, WeightReason::Lost));
    // Both are slow: nothing would be gained. Only one is left that works: it stays.
    assert!(
        controller
            .next_moves(zero + 2 * MIN_STEP_TIME, &weights, own, &reports(&[&[late, late]]), &loads)
            .is_empty()
    );
    let mut one_left = weights.clone();
    one_left.insert(
        ZoneId(0),
        ZoneWeight { permille: 0, reason: WeightReason::Lost, version: 1, failed_returns: 0 },
    );
    let both = reports(&[&[ZoneOutcomes::default(), lost], &[ZoneOutcomes::default(), lost]]);
    assert!(EvacuationController::default().next_moves(zero, &one_left, own, &both, &loads).is_empty());
    // A zone that an operator evacuated returns on a command only.
    let mut held = weights.clone();
    held.insert(
        ZoneId(0),
        ZoneWeight { permille: 0, reason: WeightReason::Operator, version: 1, failed_returns: 0 },
    );
    let mut controller = EvacuationController::default();
    for now in [zero, zero + EvacuationBackoff::default().maximum * 2] {
        assert!(
            controller
                .next_moves(now, &held, own, &reports(&[&[ZoneOutcomes::default(), ok]]), &loads)
                .is_empty()
        );
    }
}

/// Guards against a lost region of which only the zone with much traffic is evacuated, against lost zones that are
/// evacuated one after the other, and against one zone's fault that is taken for its region's.
#[test]
fn a_lost_region_is_evacuated_wholly_and_a_lost_zone_alone() {
    let (ok, lost, none) = (answering(20), silent(20), ZoneOutcomes::default());
    let weights: BTreeMap<ZoneId, ZoneWeight> = (0..4).map(|z| (ZoneId(z), ZoneWeight::default())).collect();
    let loads = BTreeMap::new();
    // Zones 0, 1 and 2 are a region.
    let region = |zone: ZoneId| if zone.0 < 3 { [0, 1, 2].map(ZoneId).to_vec() } else { vec![zone] };
    let left = |seen: &[&[ZoneOutcomes]]| -> Vec<(u8, u16)> {
        let due = EvacuationController::default().next_moves(
            Timestamp::ZERO,
            &weights,
            region,
            &reports(seen),
            &loads,
        );
        due.into_iter().map(|ZoneMove { zone, weight }| (zone.0, weight.permille)).collect()
    };
    assert_eq!(left(&[&[lost, silent(3), none, ok], &[lost, none, none, ok]]), [(0, 0), (1, 0), (2, 0)]);
    assert_eq!(
        left(&[&[lost, lost, ok, ok], &[lost, lost, ok, ok]]),
        [(0, 0), (1, 0)],
        "one of its zones works"
    );
    assert_eq!(
        left(&[&[lost, none, none, ok], &[lost, none, none, ok]]),
        [(0, 0)],
        "nothing was tried elsewhere"
    );
    assert_eq!(
        left(&[&[lost, lost, lost, lost], &[lost, lost, lost, lost]]),
        [],
        "no zone is left to move to"
    );
    // The same without regions: few attempts tell nothing.
    let seen = reports(&[&[lost, silent(3), none, ok], &[lost, none, none, ok]]);
    let alone = EvacuationController::default().next_moves(
        Timestamp::ZERO,
        &weights,
        |zone| vec![zone],
        &seen,
        &loads,
    );
    assert_eq!(alone.iter().map(|next| next.zone).collect::<Vec<_>>(), [ZoneId(0)]);
}
