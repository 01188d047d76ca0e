//! Members and founders.

use super::*;

#[test]
fn a_fleet_is_complete_when_its_founders_vote_or_were_removed() {
    let member = |n: u16| Member { name: format!("b{n}"), address: ([127, 0, 0, 1], n).into() };
    let founders = ["b2", "b3"].map(String::from).into();
    let mut state = ClusterState::found_fleet(FleetId(7), NodeId(1), member(1), founders);
    let mut change = |step, joining| {
        state.apply_membership(&MembershipChange { steps: vec![step], joining });
        state.clone()
    };
    let joins = |n: u16| Some(JoiningMember { id: NodeId(u64::from(n)), member: member(n) });
    let joined = change(MembershipStep::AddLearner(NodeId(2)), joins(2));
    assert!(!joined.is_complete() && joined.members.len() == 2);
    change(MembershipStep::AddVoter(NodeId(2)), None);
    change(MembershipStep::AddLearner(NodeId(3)), joins(3));
    let complete = change(MembershipStep::Remove(NodeId(3)), None);
    assert!(complete.is_complete());
    let last = change(MembershipStep::Remove(NodeId(2)), None);
    assert_eq!(last.removed, BTreeMap::from([(NodeId(2), "b2".to_string()), (NodeId(3), "b3".to_string())]));
}
