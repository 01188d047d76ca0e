use super::*;
use crate::engine::observations::UtilizationSamples;
use crate::ids::ZoneId;
use crate::store::records::HostRecord;
use crate::store::state_machine::Member;

const S: TimeDelta = TimeDelta::from_secs(1);

/// So many seconds after the clock's zero.
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

fn fact(host: usize, primary: bool, at: Timestamp) -> Observation {
    Observation {
        endpoint_name: format!("s-{host}"),
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

/// Any order, loss and repetition, and clocks that differ: in the end all know the same, the belief of each
/// only moves on to later primaries, and nobody believes what its own ears contradict.
#[test]
fn any_schedule_converges_and_beliefs_never_go_back() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let state = state(4, 6);
        let mut nodes: Vec<GossipState> = (1..=4).map(|n| GossipState::new(NodeId(n), 1)).collect();
        let skew: Vec<TimeDelta> =
            (0..4).map(|_| TimeDelta::from_micros(rng.i64(-5_000_000..5_000_000))).collect();
        let mut mail: Vec<(usize, Vec<GossipRecord>)> = Vec::new();
        let (mut now, mut primaries) = (sec(100), [0, 3]);
        let mut last: Vec<BTreeMap<GroupId, PrimaryBelief>> = vec![BTreeMap::new(); 4];
        for _ in 0..300 {
            now += TimeDelta::from_micros(rng.i64(0..500_000));
            let (a, b) = (rng.usize(..4), rng.usize(..4));
            match rng.u8(..10) {
                0 => {
                    let group = rng.usize(..2);
                    primaries[group] = group * 3 + rng.usize(..3);
                }
                1..=4 => {
                    let host = rng.usize(..6);
                    let at = now + skew[a];
                    nodes[a].observe(at, &[fact(host, primaries.contains(&host), at)], false);
                }
                5 | 6 if a != b => {
                    let digest = nodes[b].digest();
                    mail.push((b, nodes[a].records_missing_from(now + skew[a], &digest, |_| false, 3)));
                }
                7 | 8 if !mail.is_empty() => {
                    let at = rng.usize(..mail.len());
                    let (to, words) = if rng.bool() { mail[at].clone() } else { mail.swap_remove(at) };
                    nodes[to].merge(now + skew[to], words, &state);
                }
                9 => drop(mail.pop()),
                _ => {}
            }
            for (n, node) in nodes.iter_mut().enumerate() {
                node.update_beliefs(now + skew[n], &state);
                for (group, belief) in node.primary_beliefs() {
                    if let Some(before) = last[n].get(group) {
                        assert!(belief.at >= before.at, "seed {seed}: {before:?} gave way to {belief:?}");
                    }
                }
                last[n] = node.primary_beliefs().clone();
            }
        }
        for _ in 0..40 {
            for a in 0..4 {
                for b in (0..4).filter(|b| *b != a) {
                    let digest = nodes[b].digest();
                    let words = nodes[a].records_missing_from(now + skew[a], &digest, |_| false, 3);
                    nodes[b].merge(now + skew[b], words, &state);
                }
            }
        }
        let digests: BTreeSet<_> = nodes.iter().map(GossipState::digest).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
        let lines = |n: &GossipState| n.describe(Timestamp::ZERO, |id| id.to_string()).len();
        assert!(nodes.iter().all(|n| lines(n) == lines(&nodes[0])), "seed {seed}");
    }
}

/// Guards against a peer that names a host nobody agreed on, undoes what was heard here, or speaks for others.
#[test]
fn a_peers_word_counts_for_less_than_ones_own_ears() {
    let state = state(3, 3);
    let mut node = GossipState::new(NodeId(1), 1);
    node.observe(sec(50), &[fact(0, true, sec(50)), fact(1, false, sec(52))], false);
    let word = |by, facts, host: &str, age| GossipRecord {
        by: NodeId(by),
        count: GossipVersion { boot: 1, facts },
        host: host.into(),
        primary: true,
        position: LogPosition::from_micros(i64::MAX),
        age,
        out: 2,
        up: None,
        rate: 0,
        used: 0,
    };
    let believed = |node: &mut GossipState| {
        node.update_beliefs(sec(60), &state);
        node.primary_beliefs()[&GroupId(0)].host.clone()
    };
    assert_eq!(believed(&mut node), "s-0");
    // Of 51 s: earlier than what this daemon heard s-1 say itself.
    node.merge(
        sec(60),
        vec![
            word(2, 1, "s-1", 9 * S),
            word(2, 2, "s-77", TimeDelta::ZERO),
            word(9, 1, "s-1", TimeDelta::ZERO),
        ],
        &state,
    );
    assert_eq!((believed(&mut node).as_str(), node.len()), ("s-0", 3));
    node.merge(
        sec(60),
        vec![
            word(1, 99, "s-2", TimeDelta::ZERO),
            word(2, 3, "s-2", TimeDelta::from_micros(-5)),
            word(2, 3, "s-2", TimeDelta::MAX),
        ],
        &state,
    );
    assert_eq!(believed(&mut node), "s-0");
    node.merge(sec(60), vec![word(2, 4, "s-2", 4 * S)], &state);
    assert_eq!((believed(&mut node).as_str(), node.attempts_in_flight("s-2")), ("s-2", 2));
    node.merge(sec(60), vec![word(3, 1, "s-1", 5 * S)], &state);
    assert_eq!(believed(&mut node), "s-2", "an earlier primary never replaces a later one");
    // A daemon that began anew has said nothing yet.
    node.merge(
        sec(60),
        vec![GossipRecord { count: GossipVersion { boot: 2, facts: 1 }, ..word(2, 0, "s-0", S) }],
        &state,
    );
    assert_eq!(node.attempts_in_flight("s-2"), 0);
    node.remove_departed(sec(60), &super::tests::state(1, 1));
    assert_eq!(node.len(), 1);
}

#[test]
fn what_has_hardly_changed_is_not_told_again() {
    let mut node = GossipState::new(NodeId(1), 1);
    assert!(node.observe(sec(1), &[fact(0, true, sec(1))], false));
    let told = node.digest();
    assert!(!node.observe(sec(2), &[fact(0, true, sec(2))], false));
    assert_eq!(node.digest(), told);
    assert!(!node.observe(sec(7), &[fact(0, true, sec(7))], false), "told, but not in haste");
    assert_ne!(node.digest(), told);
    assert_eq!(node.records_missing_from(sec(9), &told, |_| false, 10)[0].age, 2 * S);
    assert!(node.observe(sec(8), &[fact(1, true, sec(8))], false), "a new primary is news");
}

/// Guards against a guess that outlives what was heard since, or that is told to others as if it were heard.
#[test]
fn what_was_known_before_is_a_guess_until_something_is_heard() {
    let state = state(2, 6);
    let mut old = GossipState::new(NodeId(1), 1);
    old.observe(
        sec(50),
        &[fact(0, true, sec(40)), fact(1, true, sec(48)), fact(2, false, sec(49)), fact(3, true, sec(49))],
        false,
    );
    let words = old.records_to_persist(sec(50));
    assert_eq!(words.len(), 4);
    let mut new = GossipState::new(NodeId(1), 2);
    new.restore(sec(100), &words, 30 * S);
    let host = |n: usize| format!("s-{n}");
    let guesses = new.restored_primaries(&state);
    assert_eq!(guesses, BTreeMap::from([(GroupId(0), (host(1), sec(68))), (GroupId(1), (host(3), sec(69)))]));
    assert!(new.digest().is_empty() && new.is_empty(), "nobody is told");
    new.observe(sec(101), &[fact(2, true, sec(101))], false);
    new.update_beliefs(sec(101), &state);
    assert_eq!(new.restored_primaries(&state), BTreeMap::from([(GroupId(1), (host(3), sec(69)))]));
    assert!(
        new.restored_primaries(&super::tests::state(2, 2)).is_empty(),
        "the agreed list has neither group any more"
    );
}

/// Guards against words of before a host's start that open its group, and against a host that is taken for weak
/// because this daemon has only just come back.
#[test]
fn words_of_before_a_hosts_start_prove_nothing_but_what_it_bore() {
    let state = state(3, 3);
    let mut old = GossipState::new(NodeId(1), 1);
    for n in 1..=80 {
        let served = Observation { served: 5, ..fact(0, true, Timestamp::ZERO + n * S / 4) };
        old.observe(Timestamp::ZERO + n * S / 4, &[served], false);
    }
    let rate = old.endpoint_summary(sec(20), "s-0").serves;
    assert!((14.0..22.0).contains(&rate), "{rate}");
    let mut new = GossipState::new(NodeId(1), 2);
    new.restore(sec(100), &old.records_to_persist(sec(20)), 70 * S);
    let told = &new.restored_positions()[0];
    assert!(
        (sec(15)..=sec(20)).contains(&told.position.commit_time(Timestamp::ZERO)) && !told.replaces_poll,
        "{told:?}"
    );
    let before = new.endpoint_summary(sec(100), "s-0");
    assert_eq!((before.primary, before.proven, before.named), (false, false, 0));
    assert!(before.bore >= rate && before.bore < rate * 2.0 && before.serves == 0.0, "{before:?}");
    let word = |by, age, up| GossipRecord {
        by: NodeId(by),
        count: GossipVersion { boot: 1, facts: 1 },
        host: "s-0".into(),
        primary: true,
        position: LogPosition::of_commit(sec(99), Timestamp::ZERO),
        age,
        out: 0,
        up,
        rate: 1_000,
        used: 0,
    };
    new.merge(sec(100), vec![word(2, 12 * S, None)], &state);
    let stale = new.endpoint_summary(sec(100), "s-0");
    assert_eq!((stale.primary, stale.proven, stale.named), (false, false, 1), "too long ago, but a word");
    new.merge(sec(100), vec![word(3, S, Some(5 * S))], &state);
    let fresh = new.endpoint_summary(sec(100), "s-0");
    assert_eq!((fresh.primary, fresh.proven, fresh.named), (true, true, 1), "the other one heard it before");
    assert_eq!((fresh.started, new.started_at("s-1")), (Some(sec(95)), None));
    let told = GossipState::peer_observations(
        sec(100),
        &[word(2, S / 10, None), word(2, S, None), word(2, TimeDelta::from_micros(-1), None)],
    );
    assert_eq!(
        told.iter().map(|t| (t.observed_at, t.replaces_poll)).collect::<Vec<_>>(),
        [(sec(100) - S / 10, true), (sec(99), false)]
    );
}

/// Guards against a pace that begins at what little was asked of a host, and against one that begins at what a
/// word or two of its load make of it.
#[test]
fn a_host_bears_what_it_served_by_the_part_of_its_capacity_that_this_took() {
    let bore = |each: u32, used: Option<f64>| {
        let mut old = GossipState::new(NodeId(1), 1);
        for n in 1..=80 {
            let utilization = used.map_or(UtilizationSamples::default(), |u| UtilizationSamples {
                sum: u * f64::from(each),
                count: each,
            });
            let served =
                Observation { served: each, utilization, ..fact(0, false, Timestamp::ZERO + n * S / 4) };
            old.observe(Timestamp::ZERO + n * S / 4, &[served], false);
        }
        let mut new = GossipState::new(NodeId(1), 2);
        new.restore(sec(100), &old.records_to_persist(sec(20)), 70 * S);
        let moment = new.endpoint_summary(sec(100), "s-0");
        assert_eq!(moment.said, used.is_some());
        moment.bore
    };
    let (served, half, idle) = (bore(5, None), bore(5, Some(0.5)), bore(5, Some(0.0)));
    assert!(half > served * 1.6 && half < served * 2.0, "{served} {half}");
    assert!(idle > served * 5.0 && idle <= served * 10.0, "{served} {idle}");
    assert!(bore(5, Some(1.0)) < served * 1.01);
}
