use super::*;

fn voter(id: u64, index: u64) -> Voter {
    Voter { id: NodeId(id), last_entry: EntryId { term: 3, index }, leader: NodeId::NONE }
}

/// Guards against two candidates that reach each other, a candidate beside a leader or without a majority, and no
/// candidate at all. Seeded: any logs, any subset of the voters running.
#[test]
fn exactly_one_of_the_reachable_voters_is_candidate_and_it_has_the_newest_log() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let size = rng.u64(1..=9);
        let voters: Vec<NodeId> = (1..=size).map(NodeId).collect();
        let mut running = Vec::new();
        for id in &voters {
            let candidate = voter(id.0, rng.u64(0..3));
            running.extend((rng.u8(..4) > 0).then_some(candidate));
        }
        let leader_known = rng.u8(..5) == 0;
        let majority_duration = if rng.bool() { UNREACHABLE_VOTER_WAIT } else { TimeDelta::ZERO };
        let mut candidates = Vec::new();
        for (n, local) in running.iter().enumerate() {
            let mut others: Vec<Voter> = [&running[..n], &running[n + 1..]].concat();
            // A learner or a node outside the fleet has no vote.
            others.push(voter(77, 99));
            if leader_known && let Some(other) = others.first_mut().filter(|v| v.id < NodeId(77)) {
                other.leader = NodeId(5);
            }
            if is_candidate(*local, &voters, &others, majority_duration) {
                candidates.push(*local);
            }
        }
        let majority = running.len() * 2 > voters.len();
        let all_running = running.len() == voters.len();
        let due = majority
            && (all_running || majority_duration >= UNREACHABLE_VOTER_WAIT)
            && !(leader_known && running.len() > 1);
        assert_eq!(candidates.len(), usize::from(due), "seed {seed}: {candidates:?}");
        let newest = running.iter().map(|v| v.last_entry).max();
        assert!(candidates.iter().all(|v| Some(v.last_entry) == newest), "seed {seed}");
    }
}

/// Guards against elections at every call, and against one that starts because a known leader has become unreachable.
#[test]
fn an_election_is_retried_after_a_delay_but_not_once_a_leader_was_known() {
    let (mut election, voters, local) = (FirstElection::default(), [1, 2, 3].map(NodeId), voter(1, 5));
    let others = [voter(2, 5)];
    let (at, tick) = (|elapsed: TimeDelta| Timestamp::ZERO + elapsed, TimeDelta::from_micros(1));
    assert!(
        !election.is_due(at(TimeDelta::ZERO), local, &voters, &others),
        "the third voter may have a newer log"
    );
    assert!(
        !election.is_due(at(UNREACHABLE_VOTER_WAIT), local, &voters, &[])
            && !election.is_due(at(UNREACHABLE_VOTER_WAIT + tick), local, &voters, &others)
    );
    assert!(election.is_due(at(2 * UNREACHABLE_VOTER_WAIT + tick), local, &voters, &others));
    assert!(!election.is_due(at(2 * UNREACHABLE_VOTER_WAIT + ELECTION_RETRY), local, &voters, &others));
    assert!(election.is_due(at(2 * UNREACHABLE_VOTER_WAIT + tick + ELECTION_RETRY), local, &voters, &others));
    assert!(!election.is_due(
        at(5 * UNREACHABLE_VOTER_WAIT),
        Voter { leader: NodeId(2), ..local },
        &voters,
        &others
    ));
    assert!(!election.is_due(at(9 * UNREACHABLE_VOTER_WAIT), local, &voters, &others));
}

#[test]
fn a_learner_is_never_candidate() {
    assert!(!is_candidate(
        voter(9, 50),
        &[1, 2, 3].map(NodeId),
        &[voter(1, 1), voter(2, 1), voter(3, 1)],
        UNREACHABLE_VOTER_WAIT
    ));
    assert!(is_candidate(voter(1, 0), &[NodeId(1)], &[], TimeDelta::ZERO));
}
