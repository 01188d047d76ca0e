use super::*;
use crate::store::storage::PersistedProgress;

/// A fleet on paper: every step that is proposed is agreed.
struct Paper {
    state: ClusterState,
    conf: Configuration,
    progress: Vec<PeerProgress>,
    candidates: BTreeMap<NodeId, Handshake>,
    silent: BTreeMap<NodeId, TimeDelta>,
    led_for: TimeDelta,
    words: BTreeMap<NodeId, VoterStatus>,
    wishes: BTreeSet<(String, MembershipRequest)>,
}

fn member(name: &str) -> Member {
    Member { name: name.into(), address: ([127, 0, 0, 1], 9).into() }
}

impl Paper {
    fn new(founders: &[&str]) -> Paper {
        let founders = founders.iter().map(|f| f.to_string()).collect();
        Paper {
            state: ClusterState::found_fleet(7, NodeId(1), member("a"), founders),
            conf: Configuration { voters: vec![NodeId(1)], ..Configuration::default() },
            progress: vec![PeerProgress { id: NodeId(1), match_index: 100, recently_active: true }],
            candidates: BTreeMap::new(),
            silent: BTreeMap::new(),
            led_for: TimeDelta::from_micros(60_000),
            words: BTreeMap::new(),
            wishes: BTreeSet::new(),
        }
    }

    fn meet(&mut self, id: u64, name: &str) {
        let id = NodeId(id);
        let (address, witness) = (([127, 0, 0, 1], 9).into(), PersistedProgress::default());
        let hello = Handshake { fleet: 0, id, name: name.into(), address, witness };
        self.candidates.insert(id, hello);
        self.silent.insert(id, TimeDelta::ZERO);
    }

    fn next(&self) -> MembershipAction {
        let Paper { state, conf, progress, candidates, silent, led_for, words, wishes } = self;
        let led_for = *led_for;
        MembershipView {
            me: NodeId(1),
            state,
            conf,
            agreed: 100,
            progress,
            candidates,
            silent,
            led_for,
            words,
            wishes,
            gone: TimeDelta::from_micros(2_000),
        }
        .next_action()
    }

    /// Carries steps out until there is nothing to do; the voters after each.
    fn run(&mut self) -> Vec<Vec<NodeId>> {
        let mut voters = Vec::new();
        while let MembershipAction::Propose(change) = self.next() {
            assert!(voters.len() < 50, "it never ends: {change:?}");
            for step in &change.steps {
                let gone = |ids: &mut Vec<NodeId>, id| ids.retain(|i| *i != id);
                match *step {
                    MembershipStep::AddVoter(id) => {
                        gone(&mut self.conf.learners, id);
                        self.conf.voters.push(id);
                    }
                    MembershipStep::AddLearner(id) => {
                        self.conf.learners.push(id);
                        self.progress.push(PeerProgress { id, match_index: 90, recently_active: true });
                    }
                    MembershipStep::Remove(id) => {
                        gone(&mut self.conf.voters, id);
                        gone(&mut self.conf.learners, id);
                    }
                }
            }
            self.state.apply_membership(&change);
            self.conf.voters.sort_unstable();
            voters.push(self.conf.voters.clone());
        }
        voters
    }
}

#[test]
fn founders_get_a_vote_others_follow_until_an_operator_says_so() {
    let mut paper = Paper::new(&["b", "c"]);
    for (id, name) in [(2, "b"), (3, "c"), (4, "d")] {
        paper.meet(id, name);
    }
    paper.run();
    assert_eq!(
        (paper.conf.voters.clone(), paper.conf.learners.clone()),
        ([1, 2, 3].map(NodeId).to_vec(), vec![NodeId(4)])
    );
    assert!(paper.state.is_complete());
    paper.wishes.insert(("d".into(), MembershipRequest::GrantVote));
    assert_eq!(paper.run(), [[1, 2, 3, 4].map(NodeId)]);
    paper.wishes = [("b".to_string(), MembershipRequest::Remove)].into();
    assert_eq!(paper.run(), [[1, 3, 4].map(NodeId)]);
    assert_eq!(paper.state.removed.get(&NodeId(2)).map(String::as_str), Some("b"));
    paper.wishes = [("a".to_string(), MembershipRequest::Remove)].into();
    paper.progress.iter_mut().for_each(|p| p.match_index = 0);
    assert_eq!(paper.next(), MembershipAction::Nothing, "nobody has caught up enough to lead after it");
    paper.progress.iter_mut().for_each(|p| p.match_index = 100);
    assert_eq!(
        paper.next(),
        MembershipAction::TransferLeadership(NodeId(3)),
        "it leads itself: another has to, first"
    );
}

/// Guards against a daemon without its disk that has two votes, or takes the name of one that lives.
#[test]
fn one_that_lost_its_disk_comes_back_for_its_former_self() {
    let mut paper = Paper::new(&["b", "c"]);
    paper.meet(2, "b");
    paper.meet(3, "c");
    paper.run();
    paper.meet(5, "b");
    assert_eq!(paper.next(), MembershipAction::Nothing, "the other b is there");
    paper.silent.insert(NodeId(2), TimeDelta::from_micros(5_000));
    // The new one follows first, then changes places with the old one in one step.
    assert_eq!(paper.run(), [[1, 2, 3].map(NodeId), [1, 3, 5].map(NodeId)]);
    assert!(!paper.state.members.contains_key(&NodeId(2)));
    paper.candidates.remove(&NodeId(5));
    assert_eq!(paper.next(), MembershipAction::Nothing, "the one that was removed does not come back");
}

#[test]
fn nothing_is_proposed_while_a_change_goes_on_or_by_the_last_voter_against_itself() {
    let mut paper = Paper::new(&[]);
    paper.wishes.insert(("a".into(), MembershipRequest::Remove));
    assert_eq!(paper.next(), MembershipAction::Nothing);
    paper.meet(2, "b");
    assert_ne!(paper.next(), MembershipAction::Nothing);
    paper.conf.voters_outgoing = vec![NodeId(1)];
    assert_eq!(paper.next(), MembershipAction::Nothing);
}

/// Guards against a daemon that hears everybody but the leader and learns nothing for ever, and against a lead
/// that goes round and round.
#[test]
fn a_leader_that_some_do_not_hear_hands_the_lead_to_one_that_all_hear() {
    let mut paper = Paper::new(&["b", "c", "d", "e"]);
    for (id, name) in [(2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        paper.meet(id, name);
    }
    paper.run();
    let word = |me: u64, leaderless, lacks: &[u64]| {
        let hears = (1..=5).filter(|id| *id != me && !lacks.contains(id)).map(NodeId).collect();
        (NodeId(me), VoterStatus { leaderless: TimeDelta::from_micros(leaderless), hears })
    };
    paper.words = (2..=5).map(|id| word(id, 0, &[])).collect();
    assert_eq!(paper.next(), MembershipAction::Nothing);
    paper.words.extend([word(2, 1_000, &[1]), word(3, 1_000, &[1])]);
    assert_eq!(paper.next(), MembershipAction::Nothing, "not for so long yet");
    paper.words.extend([word(2, 2_000, &[1]), word(3, 2_000, &[1])]);
    paper.led_for = TimeDelta::from_micros(1_999);
    assert_eq!(paper.next(), MembershipAction::Nothing, "that was said of the leader before");
    paper.led_for = TimeDelta::from_micros(2_000);
    assert_eq!(paper.next(), MembershipAction::TransferLeadership(NodeId(4)));
    paper.words.extend([word(2, 2_000, &[1, 4]), word(3, 2_000, &[1])]);
    assert_eq!(paper.next(), MembershipAction::TransferLeadership(NodeId(5)), "not every other one hears 4");
    // One that hears nobody is no reason to go: nobody would be heard better.
    paper.words = (2..=4).map(|id| word(id, 0, &[5])).collect();
    paper.words.extend([word(5, 9_000, &[1, 2, 3, 4])]);
    assert_eq!(paper.next(), MembershipAction::Nothing);
}
