use super::*;

fn voter(id: u64, index: u64) -> Voter {
    Voter { id: NodeId(id), last: (3, index), leader: NodeId::NOBODY }
}

/// Guards against two that stand against one another although they hear each other, against one that stands beside
/// a leader or without a majority, and against nobody standing. Seeded: any logs, any part heard.
#[test]
fn of_those_that_hear_one_another_exactly_one_stands_and_it_has_the_newest_log() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let size = rng.u64(1..=9);
        let voters: Vec<NodeId> = (1..=size).map(NodeId).collect();
        let mut up = Vec::new();
        for id in &voters {
            let one = voter(id.0, rng.u64(0..3));
            up.extend((rng.u8(..4) > 0).then_some(one));
        }
        let led = rng.u8(..5) == 0;
        let waited = if rng.bool() { WAIT } else { TimeDelta::ZERO };
        let mut standing = Vec::new();
        for (n, me) in up.iter().enumerate() {
            let mut others: Vec<Voter> = [&up[..n], &up[n + 1..]].concat();
            // One that only follows, and a stranger, have no say.
            others.push(voter(77, 99));
            if led && let Some(other) = others.first_mut().filter(|v| v.id < NodeId(77)) {
                other.leader = NodeId(5);
            }
            if stands(*me, &voters, &others, waited) {
                standing.push(*me);
            }
        }
        let majority = up.len() * 2 > voters.len();
        let whole = up.len() == voters.len();
        let due = majority && (whole || waited >= WAIT) && !(led && up.len() > 1);
        assert_eq!(standing.len(), usize::from(due), "seed {seed}: {standing:?}");
        let newest = up.iter().map(|v| v.last).max();
        assert!(standing.iter().all(|v| Some(v.last) == newest), "seed {seed}");
    }
}

/// Guards against letters without end, and against one that stands again because a leader has fallen silent.
#[test]
fn it_stands_again_after_a_while_and_never_once_it_has_known_a_leader() {
    let (mut lead, voters, me) = (FirstElection::default(), [1, 2, 3].map(NodeId), voter(1, 5));
    let two = [voter(2, 5)];
    let (at, tick) = (|wait: TimeDelta| Timestamp::ZERO + wait, TimeDelta::from_micros(1));
    assert!(!lead.is_due(at(TimeDelta::ZERO), me, &voters, &two), "the third one may know more");
    assert!(!lead.is_due(at(WAIT), me, &voters, &[]) && !lead.is_due(at(WAIT + tick), me, &voters, &two));
    assert!(lead.is_due(at(2 * WAIT + tick), me, &voters, &two));
    assert!(!lead.is_due(at(2 * WAIT + AGAIN), me, &voters, &two));
    assert!(lead.is_due(at(2 * WAIT + tick + AGAIN), me, &voters, &two));
    assert!(!lead.is_due(at(5 * WAIT), Voter { leader: NodeId(2), ..me }, &voters, &two));
    assert!(!lead.is_due(at(9 * WAIT), me, &voters, &two));
}

#[test]
fn one_that_only_follows_never_stands() {
    assert!(!stands(voter(9, 50), &[1, 2, 3].map(NodeId), &[voter(1, 1), voter(2, 1), voter(3, 1)], WAIT));
    assert!(stands(voter(1, 0), &[NodeId(1)], &[], TimeDelta::ZERO));
}
