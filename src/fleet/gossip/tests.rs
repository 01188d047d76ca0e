use super::*;
use crate::engine::observations::{Observation, UtilizationSamples};
use crate::ids::{GroupId, NodeId, ZoneId};
use crate::store::records::HostRecord;
use crate::store::state_machine::{ClusterState, Member};
use crate::time::{LogPosition, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

const S: TimeDelta = TimeDelta::from_secs(1);

/// The point this many seconds after the clock's zero.
fn sec(seconds: i64) -> Timestamp {
    Timestamp::ZERO + seconds * S
}

fn state(members: u64, hosts: usize) -> ClusterState {
    let member = |n| Member { name: format!("b{n}"), address: ([127, 0, 0, 1], n as u16).into() };
    let host = |n: usize| HostRecord {
        address: ([127, 0, 0, 1], 1).into(),
        group: GroupId(n as u32 / 3),
        zone: ZoneId(0),
        weight: 1.0,
        draining: false,
        started_at: None,
    };
    ClusterState {
        members: (1..=members).map(|n| (NodeId(n), member(n))).collect(),
        hosts: (0..hosts).map(|n| (format!("s-{n}"), host(n))).collect(),
        ..ClusterState::default()
    }
}

fn observation(endpoint: usize, primary: bool, at: Timestamp) -> Observation {
    Observation {
        endpoint_name: format!("s-{endpoint}"),
        primary,
        position: LogPosition::of_commit(at, Timestamp::ZERO),
        observed_at: at,
        in_flight: 0,
        started_at: None,
        served: 0,
        utilization: UtilizationSamples::default(),
        regression: None,
    }
}

/// Four nodes whose clocks differ, over a network that loses, repeats and reorders messages.
struct Network {
    rng: fastrand::Rng,
    state: ClusterState,
    nodes: Vec<GossipState>,
    clock_skew: Vec<TimeDelta>,
    in_transit: Vec<(usize, Vec<GossipRecord>)>,
    now: Timestamp,
    /// The endpoints that are primaries, of two groups with three endpoints each.
    primaries: [usize; 2],
}

impl Network {
    fn new(seed: u64) -> Network {
        let mut rng = fastrand::Rng::with_seed(seed);
        Network {
            state: state(4, 6),
            nodes: (1..=4).map(|n| GossipState::new(NodeId(n), 1)).collect(),
            clock_skew: (0..4).map(|_| TimeDelta::from_micros(rng.i64(-5_000_000..5_000_000))).collect(),
            in_transit: Vec::new(),
            now: sec(100),
            primaries: [0, 3],
            rng,
        }
    }

    /// The time by a node's clock.
    fn clock(&self, node: usize) -> Timestamp {
        self.now + self.clock_skew[node]
    }

    fn records_between(&self, from: usize, to: usize) -> Vec<GossipRecord> {
        let digest = self.nodes[to].digest();
        self.nodes[from].records_missing_from(self.clock(from), &digest, |_| false, 3)
    }

    fn deliver(&mut self, to: usize, records: Vec<GossipRecord>) {
        let now = self.clock(to);
        self.nodes[to].merge(now, records, &self.state);
    }

    /// A failover, an observation, a message that is sent, delivered or lost, or nothing.
    fn step(&mut self) {
        self.now += TimeDelta::from_micros(self.rng.i64(0..500_000));
        let (node, other) = (self.rng.usize(..4), self.rng.usize(..4));
        match self.rng.u8(..10) {
            0 => {
                let group = self.rng.usize(..2);
                self.primaries[group] = group * 3 + self.rng.usize(..3);
            }
            1..=4 => {
                let endpoint = self.rng.usize(..6);
                let now = self.clock(node);
                let observed = observation(endpoint, self.primaries.contains(&endpoint), now);
                self.nodes[node].observe(now, &[observed], GossipUrgency::Routine);
            }
            5 | 6 if node != other => {
                let records = self.records_between(node, other);
                self.in_transit.push((other, records));
            }
            7 | 8 if !self.in_transit.is_empty() => {
                let index = self.rng.usize(..self.in_transit.len());
                let is_repeated = self.rng.bool();
                let (to, records) = if is_repeated {
                    self.in_transit[index].clone()
                } else {
                    self.in_transit.swap_remove(index)
                };
                self.deliver(to, records);
            }
            9 => drop(self.in_transit.pop()),
            _ => {}
        }
    }

    /// All nodes exchange what they know until they know the same.
    fn exchange_all(&mut self) {
        for _ in 0..40 {
            for from in 0..4 {
                for to in (0..4).filter(|to| *to != from) {
                    let records = self.records_between(from, to);
                    self.deliver(to, records);
                }
            }
        }
    }
}

/// Seeded: messages in any order, lost and repeated, and clocks that differ. In the end all nodes know the same, and
/// the beliefs of each only move on to later claims.
#[test]
fn any_schedule_converges_and_beliefs_never_go_back() {
    for seed in 0..400 {
        let mut network = Network::new(seed);
        let mut last: Vec<BTreeMap<GroupId, PrimaryBelief>> = vec![BTreeMap::new(); 4];
        for _ in 0..300 {
            network.step();
            for (n, last) in last.iter_mut().enumerate() {
                let now = network.clock(n);
                let node = &mut network.nodes[n];
                node.update_beliefs(now, &network.state);
                for (group, belief) in node.primary_beliefs() {
                    if let Some(before) = last.get(group) {
                        assert!(
                            belief.observed_at >= before.observed_at,
                            "seed {seed}: {before:?} gave way to {belief:?}"
                        );
                    }
                }
                *last = node.primary_beliefs().clone();
            }
        }
        network.exchange_all();
        let nodes = &network.nodes;
        let digests: BTreeSet<_> = nodes.iter().map(GossipState::digest).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
        let lines = |node: &GossipState| node.describe(Timestamp::ZERO, |id| id.to_string()).len();
        assert!(nodes.iter().all(|node| lines(node) == lines(&nodes[0])), "seed {seed}");
    }
}

/// Guards against a peer that names an endpoint that is not listed, overrides what was observed here later, or speaks
/// for another node.
#[test]
fn records_of_peers_do_not_override_later_observations_of_this_node() {
    let state = state(3, 3);
    let mut node = GossipState::new(NodeId(1), 1);
    node.observe(
        sec(50),
        &[observation(0, true, sec(50)), observation(1, false, sec(52))],
        GossipUrgency::Routine,
    );
    let record = |observer, sequence, endpoint: &str, age| GossipRecord {
        observer: NodeId(observer),
        version: GossipVersion { incarnation: 1, sequence },
        endpoint: endpoint.into(),
        is_primary: true,
        position: LogPosition::from_micros(i64::MAX),
        age,
        attempts_in_flight: 2,
        uptime: None,
        service_rate_milli: 0,
        utilization_permille: 0,
    };
    let believed = |node: &mut GossipState| {
        node.update_beliefs(sec(60), &state);
        node.primary_beliefs()[&GroupId(0)].endpoint.clone()
    };
    assert_eq!(believed(&mut node), "s-0");
    // Observed at 51 s: earlier than what s-1 reported to this node itself.
    node.merge(
        sec(60),
        vec![
            record(2, 1, "s-1", 9 * S),
            record(2, 2, "s-77", TimeDelta::ZERO),
            record(9, 1, "s-1", TimeDelta::ZERO),
        ],
        &state,
    );
    assert_eq!((believed(&mut node).as_str(), node.len()), ("s-0", 3));
    node.merge(
        sec(60),
        vec![
            record(1, 99, "s-2", TimeDelta::ZERO),
            record(2, 3, "s-2", TimeDelta::from_micros(-5)),
            record(2, 3, "s-2", TimeDelta::MAX),
        ],
        &state,
    );
    assert_eq!(believed(&mut node), "s-0");
    node.merge(sec(60), vec![record(2, 4, "s-2", 4 * S)], &state);
    assert_eq!((believed(&mut node).as_str(), node.attempts_in_flight("s-2")), ("s-2", 2));
    node.merge(sec(60), vec![record(3, 1, "s-1", 5 * S)], &state);
    assert_eq!(believed(&mut node), "s-2", "an earlier claim never replaces a later one");
    // What a restarted node observed before its restart no longer counts.
    node.merge(
        sec(60),
        vec![GossipRecord {
            version: GossipVersion { incarnation: 2, sequence: 1 },
            ..record(2, 0, "s-0", S)
        }],
        &state,
    );
    assert_eq!(node.attempts_in_flight("s-2"), 0);
    node.remove_departed(sec(60), &self::state(1, 1));
    assert_eq!(node.len(), 1);
}

#[test]
fn an_observation_that_hardly_changed_is_not_sent_again() {
    let mut node = GossipState::new(NodeId(1), 1);
    assert_eq!(
        node.observe(sec(1), &[observation(0, true, sec(1))], GossipUrgency::Routine),
        GossipUrgency::Immediate
    );
    let reported = node.digest();
    assert_eq!(
        node.observe(sec(2), &[observation(0, true, sec(2))], GossipUrgency::Routine),
        GossipUrgency::Routine
    );
    assert_eq!(node.digest(), reported);
    assert_eq!(
        node.observe(sec(7), &[observation(0, true, sec(7))], GossipUrgency::Routine),
        GossipUrgency::Routine,
        "sent, but not at once"
    );
    assert_ne!(node.digest(), reported);
    assert_eq!(node.records_missing_from(sec(9), &reported, |_| false, 10)[0].age, 2 * S);
    assert_eq!(
        node.observe(sec(8), &[observation(1, true, sec(8))], GossipUrgency::Routine),
        GossipUrgency::Immediate,
        "a new primary"
    );
}

/// Guards against a guess that outlives what was observed since, or that is sent to peers as if it were observed.
#[test]
fn a_restored_primary_is_a_guess_until_something_is_observed() {
    let state = state(2, 6);
    let mut old = GossipState::new(NodeId(1), 1);
    old.observe(
        sec(50),
        &[
            observation(0, true, sec(40)),
            observation(1, true, sec(48)),
            observation(2, false, sec(49)),
            observation(3, true, sec(49)),
        ],
        GossipUrgency::Routine,
    );
    let records = old.records_to_persist(sec(50));
    assert_eq!(records.len(), 4);
    let mut new = GossipState::new(NodeId(1), 2);
    new.restore(sec(100), &records, 30 * S);
    let restored =
        |n: usize, seconds| RestoredPrimary { endpoint: format!("s-{n}"), observed_at: sec(seconds) };
    let primaries = new.restored_primaries(&state);
    assert_eq!(primaries, BTreeMap::from([(GroupId(0), restored(1, 68)), (GroupId(1), restored(3, 69))]));
    assert!(new.digest().is_empty() && new.is_empty(), "nothing of it is sent");
    new.observe(sec(101), &[observation(2, true, sec(101))], GossipUrgency::Routine);
    new.update_beliefs(sec(101), &state);
    assert_eq!(new.restored_primaries(&state), BTreeMap::from([(GroupId(1), restored(3, 69))]));
    assert!(
        new.restored_primaries(&self::state(2, 2)).is_empty(),
        "the committed list no longer has either group"
    );
}

/// Guards against observations from before an endpoint's start that open its group, and against an endpoint whose
/// capacity looks small because this process has only just restarted.
#[test]
fn observations_before_an_endpoints_start_prove_only_its_capacity() {
    let state = state(3, 3);
    let mut old = GossipState::new(NodeId(1), 1);
    for n in 1..=80 {
        let served = Observation { served: 5, ..observation(0, true, Timestamp::ZERO + n * S / 4) };
        old.observe(Timestamp::ZERO + n * S / 4, &[served], GossipUrgency::Routine);
    }
    let rate = old.endpoint_summary(sec(20), "s-0").current_rate_rps;
    assert!((14.0..22.0).contains(&rate), "{rate}");
    let mut new = GossipState::new(NodeId(1), 2);
    new.restore(sec(100), &old.records_to_persist(sec(20)), 70 * S);
    let reported = &new.restored_positions()[0];
    assert!(
        (sec(15)..=sec(20)).contains(&reported.position.commit_time(Timestamp::ZERO))
            && !reported.replaces_poll,
        "{reported:?}"
    );
    let before = new.endpoint_summary(sec(100), "s-0");
    assert_eq!((before.is_primary, before.position_known, before.primary_claims), (false, false, 0));
    assert!(
        before.warm_capacity_rps >= rate
            && before.warm_capacity_rps < rate * 2.0
            && before.current_rate_rps == 0.0,
        "{before:?}"
    );
    let record = |observer, age, uptime| GossipRecord {
        observer: NodeId(observer),
        version: GossipVersion { incarnation: 1, sequence: 1 },
        endpoint: "s-0".into(),
        is_primary: true,
        position: LogPosition::of_commit(sec(99), Timestamp::ZERO),
        age,
        attempts_in_flight: 0,
        uptime,
        service_rate_milli: 1_000,
        utilization_permille: 0,
    };
    new.merge(sec(100), vec![record(2, 12 * S, None)], &state);
    let stale = new.endpoint_summary(sec(100), "s-0");
    assert_eq!(
        (stale.is_primary, stale.position_known, stale.primary_claims),
        (false, false, 1),
        "too long ago, but still a claim"
    );
    new.merge(sec(100), vec![record(3, S, Some(5 * S))], &state);
    let fresh = new.endpoint_summary(sec(100), "s-0");
    assert_eq!(
        (fresh.is_primary, fresh.position_known, fresh.primary_claims),
        (true, true, 1),
        "the other claim is from before the start"
    );
    assert_eq!((fresh.started_at, new.started_at("s-1")), (Some(sec(95)), None));
    let reported = GossipState::peer_observations(
        sec(100),
        &[record(2, S / 10, None), record(2, S, None), record(2, TimeDelta::from_micros(-1), None)],
    );
    assert_eq!(
        reported.iter().map(|t| (t.observed_at, t.replaces_poll)).collect::<Vec<_>>(),
        [(sec(100) - S / 10, true), (sec(99), false)]
    );
}

/// Guards against an admission rate that starts at the little that was asked of an endpoint, and against one that
/// starts at what one or two reports of its utilization make of it.
#[test]
fn the_capacity_is_the_rate_served_divided_by_the_utilization_reported() {
    let capacity = |answers: u32, utilization: Option<f64>| {
        let mut old = GossipState::new(NodeId(1), 1);
        for n in 1..=80 {
            let samples = utilization.map_or(UtilizationSamples::default(), |part| UtilizationSamples {
                sum: part * f64::from(answers),
                count: answers,
            });
            let served = Observation {
                served: answers,
                utilization: samples,
                ..observation(0, false, Timestamp::ZERO + n * S / 4)
            };
            old.observe(Timestamp::ZERO + n * S / 4, &[served], GossipUrgency::Routine);
        }
        let mut new = GossipState::new(NodeId(1), 2);
        new.restore(sec(100), &old.records_to_persist(sec(20)), 70 * S);
        let summary = new.endpoint_summary(sec(100), "s-0");
        assert_eq!(summary.utilization_reported, utilization.is_some());
        summary.warm_capacity_rps
    };
    let (served, half, idle) = (capacity(5, None), capacity(5, Some(0.5)), capacity(5, Some(0.0)));
    assert!(half > served * 1.6 && half < served * 2.0, "{served} {half}");
    assert!(idle > served * 5.0 && idle <= served * 10.0, "{served} {idle}");
    assert!(capacity(5, Some(1.0)) < served * 1.01);
}
