//! Membership changes while the founders of a fleet join.

use super::*;

#[test]
fn a_fleet_is_complete_once_its_founders_vote_or_are_removed() {
    let member =
        |number: u16| Member { name: format!("b{number}"), address: ([127, 0, 0, 1], number).into() };
    let founders = ["b2", "b3"].map(String::from).into();
    let mut state = ClusterState::found_fleet(FleetId(7), NodeId(1), member(1), founders);
    let mut apply = |step, joining| {
        state.apply_membership(&MembershipChange { steps: vec![step], joining });
        state.clone()
    };
    let joins = |number: u16| Some(JoiningMember { id: NodeId(u64::from(number)), member: member(number) });
    let joined = apply(MembershipStep::AddLearner(NodeId(2)), joins(2));
    assert!(!joined.is_complete() && joined.members.len() == 2);
    apply(MembershipStep::AddVoter(NodeId(2)), None);
    apply(MembershipStep::AddLearner(NodeId(3)), joins(3));
    let complete = apply(MembershipStep::Remove(NodeId(3)), None);
    assert!(complete.is_complete());
    let last = apply(MembershipStep::Remove(NodeId(2)), None);
    assert_eq!(last.removed, BTreeMap::from([(NodeId(2), "b2".to_string()), (NodeId(3), "b3".to_string())]));
}
