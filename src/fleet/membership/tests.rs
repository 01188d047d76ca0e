//! The leader's membership changes, carried out on a simulated fleet.

use super::*;
use crate::ids::FleetId;
use crate::store::storage::PersistedProgress;

/// A simulated fleet in which every proposed step is committed and carried out.
struct SimulatedFleet {
    state: ClusterState,
    configuration: Configuration,
    progress: Vec<PeerProgress>,
    candidates: BTreeMap<NodeId, Handshake>,
    silent_for: BTreeMap<NodeId, TimeDelta>,
    leading_for: TimeDelta,
    voter_statuses: BTreeMap<NodeId, VoterStatus>,
    requests: BTreeSet<MemberRequest>,
}

fn member(name: &str) -> Member {
    Member { name: name.into(), address: ([127, 0, 0, 1], 9).into() }
}

fn request(member: &str, request: MembershipRequest) -> MemberRequest {
    MemberRequest { member: member.into(), request }
}

impl SimulatedFleet {
    fn new(founders: &[&str]) -> SimulatedFleet {
        let founders = founders.iter().map(|name| name.to_string()).collect();
        SimulatedFleet {
            state: ClusterState::found_fleet(FleetId(7), NodeId(1), member("a"), founders),
            configuration: Configuration { voters: vec![NodeId(1)], ..Configuration::default() },
            progress: vec![PeerProgress { id: NodeId(1), match_index: 100, recently_active: true }],
            candidates: BTreeMap::new(),
            silent_for: BTreeMap::new(),
            leading_for: TimeDelta::from_micros(60_000),
            voter_statuses: BTreeMap::new(),
            requests: BTreeSet::new(),
        }
    }

    fn add_candidate(&mut self, id: u64, name: &str) {
        let id = NodeId(id);
        let (address, progress) = (([127, 0, 0, 1], 9).into(), PersistedProgress::default());
        let handshake = Handshake { fleet: FleetId::NONE, id, name: name.into(), address, progress };
        self.candidates.insert(id, handshake);
        self.silent_for.insert(id, TimeDelta::ZERO);
    }

    fn next(&self) -> MembershipAction {
        let SimulatedFleet {
            state,
            configuration,
            progress,
            candidates,
            silent_for,
            leading_for,
            voter_statuses,
            requests,
        } = self;
        let leading_for = *leading_for;
        MembershipView {
            local_node: NodeId(1),
            state,
            configuration,
            commit_index: 100,
            progress,
            candidates,
            silent_for,
            leading_for,
            voter_statuses,
            requests,
            peer_gone_timeout: TimeDelta::from_micros(2_000),
        }
        .next_action()
    }

    /// Carries out steps until there is nothing left to do. Returns the voters after each step.
    fn run(&mut self) -> Vec<Vec<NodeId>> {
        let mut voters = Vec::new();
        while let MembershipAction::Propose(change) = self.next() {
            assert!(voters.len() < 50, "membership changes do not end: {change:?}");
            for step in &change.steps {
                let remove = |ids: &mut Vec<NodeId>, id| ids.retain(|known| *known != id);
                match *step {
                    MembershipStep::AddVoter(id) => {
                        remove(&mut self.configuration.learners, id);
                        self.configuration.voters.push(id);
                    }
                    MembershipStep::AddLearner(id) => {
                        self.configuration.learners.push(id);
                        self.progress.push(PeerProgress { id, match_index: 90, recently_active: true });
                    }
                    MembershipStep::Remove(id) => {
                        remove(&mut self.configuration.voters, id);
                        remove(&mut self.configuration.learners, id);
                    }
                }
            }
            self.state.apply_membership(&change);
            self.configuration.voters.sort_unstable();
            voters.push(self.configuration.voters.clone());
        }
        voters
    }
}

#[test]
fn founders_get_a_vote_and_others_are_learners_until_an_operator_grants_them_one() {
    let mut fleet = SimulatedFleet::new(&["b", "c"]);
    for (id, name) in [(2, "b"), (3, "c"), (4, "d")] {
        fleet.add_candidate(id, name);
    }
    fleet.run();
    assert_eq!(
        (fleet.configuration.voters.clone(), fleet.configuration.learners.clone()),
        ([1, 2, 3].map(NodeId).to_vec(), vec![NodeId(4)])
    );
    assert!(fleet.state.is_complete());
    fleet.requests.insert(request("d", MembershipRequest::GrantVote));
    assert_eq!(fleet.run(), [[1, 2, 3, 4].map(NodeId)]);
    fleet.requests = [request("b", MembershipRequest::Remove)].into();
    assert_eq!(fleet.run(), [[1, 3, 4].map(NodeId)]);
    assert_eq!(fleet.state.removed.get(&NodeId(2)).map(String::as_str), Some("b"));
    fleet.requests = [request("a", MembershipRequest::Remove)].into();
    fleet.progress.iter_mut().for_each(|progress| progress.match_index = 0);
    assert_eq!(fleet.next(), MembershipAction::Nothing, "no voter has caught up enough to lead next");
    fleet.progress.iter_mut().for_each(|progress| progress.match_index = 100);
    assert_eq!(
        fleet.next(),
        MembershipAction::TransferLeadership(NodeId(3)),
        "the leader transfers leadership before its removal"
    );
}

/// Guards against a node that gets a second vote after it lost its disk, and against one that takes a live member's
/// name.
#[test]
fn a_node_that_lost_its_disk_replaces_its_predecessor() {
    let mut fleet = SimulatedFleet::new(&["b", "c"]);
    fleet.add_candidate(2, "b");
    fleet.add_candidate(3, "c");
    fleet.run();
    fleet.add_candidate(5, "b");
    assert_eq!(fleet.next(), MembershipAction::Nothing, "the other b is reachable");
    fleet.silent_for.insert(NodeId(2), TimeDelta::from_micros(5_000));
    // The new node joins as a learner, then replaces the old one in a single step.
    assert_eq!(fleet.run(), [[1, 2, 3].map(NodeId), [1, 3, 5].map(NodeId)]);
    assert!(!fleet.state.members.contains_key(&NodeId(2)));
    fleet.candidates.remove(&NodeId(5));
    assert_eq!(fleet.next(), MembershipAction::Nothing, "the removed node is not added again");
}

#[test]
fn nothing_is_proposed_during_a_change_or_for_the_removal_of_the_last_voter() {
    let mut fleet = SimulatedFleet::new(&[]);
    fleet.requests.insert(request("a", MembershipRequest::Remove));
    assert_eq!(fleet.next(), MembershipAction::Nothing);
    fleet.add_candidate(2, "b");
    assert_ne!(fleet.next(), MembershipAction::Nothing);
    fleet.configuration.voters_outgoing = vec![NodeId(1)];
    assert_eq!(fleet.next(), MembershipAction::Nothing);
}

/// Guards against a node that receives messages from all nodes but the leader and so never receives committed changes,
/// and against leadership that keeps moving between nodes.
#[test]
fn a_leader_that_does_not_reach_all_voters_transfers_leadership_to_one_that_does() {
    let mut fleet = SimulatedFleet::new(&["b", "c", "d", "e"]);
    for (id, name) in [(2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        fleet.add_candidate(id, name);
    }
    fleet.run();
    let status = |node: u64, leaderless, unreachable: &[u64]| {
        let reachable_peers =
            (1..=5).filter(|id| *id != node && !unreachable.contains(id)).map(NodeId).collect();
        (NodeId(node), VoterStatus { leaderless_for: TimeDelta::from_micros(leaderless), reachable_peers })
    };
    fleet.voter_statuses = (2..=5).map(|id| status(id, 0, &[])).collect();
    assert_eq!(fleet.next(), MembershipAction::Nothing);
    fleet.voter_statuses.extend([status(2, 1_000, &[1]), status(3, 1_000, &[1])]);
    assert_eq!(fleet.next(), MembershipAction::Nothing, "not for long enough yet");
    fleet.voter_statuses.extend([status(2, 2_000, &[1]), status(3, 2_000, &[1])]);
    fleet.leading_for = TimeDelta::from_micros(1_999);
    assert_eq!(fleet.next(), MembershipAction::Nothing, "the report is about the previous leader");
    fleet.leading_for = TimeDelta::from_micros(2_000);
    assert_eq!(fleet.next(), MembershipAction::TransferLeadership(NodeId(4)));
    fleet.voter_statuses.extend([status(2, 2_000, &[1, 4]), status(3, 2_000, &[1])]);
    assert_eq!(
        fleet.next(),
        MembershipAction::TransferLeadership(NodeId(5)),
        "node 4 does not reach every other voter"
    );
    // A voter that no node reaches is no reason for a transfer: no other leader would reach it either.
    fleet.voter_statuses = (2..=4).map(|id| status(id, 0, &[5])).collect();
    fleet.voter_statuses.extend([status(5, 9_000, &[1, 2, 3, 4])]);
    assert_eq!(fleet.next(), MembershipAction::Nothing);
}
