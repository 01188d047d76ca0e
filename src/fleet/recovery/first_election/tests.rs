use super::*;

fn voter(id: u64, index: u64) -> Voter {
    Voter { id: NodeId(id), last_entry: EntryId { term: 3, index }, leader: NodeId::NONE }
}

/// Guards against two candidates that hear each other, against a candidate beside a leader or without a majority, and
/// against none at all. Seeded: any logs, any subset of the voters up.
#[test]
fn of_the_voters_that_hear_one_another_exactly_one_is_candidate_and_it_has_the_newest_log() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let size = rng.u64(1..=9);
        let voters: Vec<NodeId> = (1..=size).map(NodeId).collect();
        let mut up = Vec::new();
        for id in &voters {
            let one = voter(id.0, rng.u64(0..3));
            up.extend((rng.u8(..4) > 0).then_some(one));
        }
        let leader_known = rng.u8(..5) == 0;
        let waited = if rng.bool() { SILENT_VOTER_WAIT } else { TimeDelta::ZERO };
        let mut candidates = Vec::new();
        for (n, local) in up.iter().enumerate() {
            let mut others: Vec<Voter> = [&up[..n], &up[n + 1..]].concat();
            // A learner or a stranger has no vote.
            others.push(voter(77, 99));
            if leader_known && let Some(other) = others.first_mut().filter(|v| v.id < NodeId(77)) {
                other.leader = NodeId(5);
            }
            if is_candidate(*local, &voters, &others, waited) {
                candidates.push(*local);
            }
        }
        let majority = up.len() * 2 > voters.len();
        let all_up = up.len() == voters.len();
        let due = majority && (all_up || waited >= SILENT_VOTER_WAIT) && !(leader_known && up.len() > 1);
        assert_eq!(candidates.len(), usize::from(due), "seed {seed}: {candidates:?}");
        let newest = up.iter().map(|v| v.last_entry).max();
        assert!(candidates.iter().all(|v| Some(v.last_entry) == newest), "seed {seed}");
    }
}

/// Guards against elections without end, and against one that is started because a known leader has fallen silent.
#[test]
fn an_election_is_retried_after_a_pause_and_never_once_a_leader_was_known() {
    let (mut election, voters, local) = (FirstElection::default(), [1, 2, 3].map(NodeId), voter(1, 5));
    let second = [voter(2, 5)];
    let (at, tick) = (|wait: TimeDelta| Timestamp::ZERO + wait, TimeDelta::from_micros(1));
    assert!(
        !election.is_due(at(TimeDelta::ZERO), local, &voters, &second),
        "the third voter may have a newer log"
    );
    assert!(
        !election.is_due(at(SILENT_VOTER_WAIT), local, &voters, &[])
            && !election.is_due(at(SILENT_VOTER_WAIT + tick), local, &voters, &second)
    );
    assert!(election.is_due(at(2 * SILENT_VOTER_WAIT + tick), local, &voters, &second));
    assert!(!election.is_due(at(2 * SILENT_VOTER_WAIT + ELECTION_RETRY), local, &voters, &second));
    assert!(election.is_due(at(2 * SILENT_VOTER_WAIT + tick + ELECTION_RETRY), local, &voters, &second));
    assert!(!election.is_due(
        at(5 * SILENT_VOTER_WAIT),
        Voter { leader: NodeId(2), ..local },
        &voters,
        &second
    ));
    assert!(!election.is_due(at(9 * SILENT_VOTER_WAIT), local, &voters, &second));
}

#[test]
fn a_learner_is_never_candidate() {
    assert!(!is_candidate(
        voter(9, 50),
        &[1, 2, 3].map(NodeId),
        &[voter(1, 1), voter(2, 1), voter(3, 1)],
        SILENT_VOTER_WAIT
    ));
    assert!(is_candidate(voter(1, 0), &[NodeId(1)], &[], TimeDelta::ZERO));
}
