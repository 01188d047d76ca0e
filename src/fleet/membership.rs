//! Changes of the membership: the leader's next step, one at a time. No I/O.

use super::bootstrap::Handshake;
use crate::ids::NodeId;
use crate::store::raft_node::PeerProgress;
use crate::store::records::{Configuration, MembershipStep};
use crate::store::state_machine::{ClusterState, JoiningMember, MAX_MEMBERS, Member, MembershipChange};
use crate::time::TimeDelta;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A node has caught up if its log lacks no more committed entries than this: few enough for it to vote or lead at once
/// without holding up the others.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// What an operator requests of a member. The order of variants is part of the message format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MembershipRequest {
    /// The member is to have a vote.
    GrantVote,
    /// The member is to leave the fleet.
    Remove,
}

/// An operator's request, with the name of the member that it is about. Field order is part of the message format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberRequest {
    /// The member's name.
    pub member: String,
    /// What is requested of it.
    pub request: MembershipRequest,
}

/// What a voter reports of the leader and of its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterStatus {
    /// How long it has known no leader.
    pub leaderless_for: TimeDelta,
    /// The nodes that it hears.
    pub reachable_peers: BTreeSet<NodeId>,
}

/// All that the leader knows.
pub struct MembershipView<'a> {
    /// The leader, which is this node.
    pub local_node: NodeId,
    /// The committed state.
    pub state: &'a ClusterState,
    /// The voters and learners.
    pub configuration: &'a Configuration,
    /// The index of the last committed entry.
    pub commit_index: u64,
    /// How far the logs of the other nodes are.
    pub progress: &'a [PeerProgress],
    /// Nodes that were met recently and are no members.
    pub candidates: &'a BTreeMap<NodeId, Handshake>,
    /// How long ago each node was last heard.
    pub silent_for: &'a BTreeMap<NodeId, TimeDelta>,
    /// How long this node has led.
    pub leading_for: TimeDelta,
    /// What each voter that is heard reports.
    pub voter_statuses: &'a BTreeMap<NodeId, VoterStatus>,
    /// What operators request.
    pub requests: &'a BTreeSet<MemberRequest>,
    /// A node that was silent for this long counts as gone.
    pub peer_gone_timeout: TimeDelta,
}

/// What the leader is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Nothing.
    Nothing,
    /// Propose this change.
    Propose(MembershipChange),
    /// Hand leadership over to this node.
    TransferLeadership(NodeId),
}

impl MembershipView<'_> {
    /// The next step. Nothing is proposed while an earlier change is still being carried out.
    pub fn next_action(&self) -> MembershipAction {
        if !self.configuration.voters_outgoing.is_empty() {
            return MembershipAction::Nothing;
        }
        if let Some(successor) = self.better_connected_leader() {
            return MembershipAction::TransferLeadership(successor);
        }
        match self.learner_to_promote().or_else(|| self.candidate_to_add()) {
            Some(change) => MembershipAction::Propose(change),
            None => self.requested_removal(),
        }
    }

    fn has_caught_up(&self, id: NodeId) -> bool {
        let has_caught_up = |progress: &PeerProgress| {
            progress.recently_active && progress.match_index + CAUGHT_UP_ENTRIES >= self.commit_index
        };
        self.progress.iter().any(|progress| progress.id == id && has_caught_up(progress))
    }

    fn is_gone(&self, id: NodeId) -> bool {
        let is_silent =
            || self.silent_for.get(&id).is_none_or(|silent_for| *silent_for >= self.peer_gone_timeout);
        id != self.local_node && is_silent()
    }

    fn is_requested(&self, member: &str, request: MembershipRequest) -> bool {
        self.requests.contains(&MemberRequest { member: member.to_string(), request })
    }

    /// Another member of the same name: the same node before it lost its disk.
    fn predecessor(&self, id: NodeId, name: &str) -> Option<NodeId> {
        let mut members = self.state.members.iter();
        let predecessor = members.find(|(other, member)| **other != id && member.name == name);
        predecessor.map(|(other, _)| *other)
    }

    /// The first candidate that may join, as a learner.
    fn candidate_to_add(&self) -> Option<MembershipChange> {
        if self.state.members.len() >= MAX_MEMBERS {
            return None;
        }
        for (id, handshake) in self.candidates {
            if self.state.members.contains_key(id) || self.state.removed.contains_key(id) {
                continue;
            }
            // While the member of the same name is there, two nodes would pass for one.
            let predecessor = self.predecessor(*id, &handshake.name);
            if predecessor.is_some_and(|predecessor| !self.is_gone(predecessor)) {
                continue;
            }
            let member = Member { name: handshake.name.clone(), address: handshake.address };
            return Some(MembershipChange {
                steps: vec![MembershipStep::AddLearner(*id)],
                joining: Some(JoiningMember { id: *id, member }),
            });
        }
        None
    }

    /// The first learner that has caught up and takes its predecessor's place, or is to vote.
    fn learner_to_promote(&self) -> Option<MembershipChange> {
        for id in &self.configuration.learners {
            if !self.has_caught_up(*id) {
                continue;
            }
            let name = self.state.members.get(id).map_or("", |member| member.name.as_str());
            let is_founder = self.state.founders.contains(name);
            let steps = match self.predecessor(*id, name) {
                Some(predecessor) if self.is_gone(predecessor) => {
                    let votes = is_founder || self.configuration.voters.contains(&predecessor);
                    replacement_steps(predecessor, *id, votes)
                }
                Some(_) => continue,
                None if is_founder || self.is_requested(name, MembershipRequest::GrantVote) => {
                    vec![MembershipStep::AddVoter(*id)]
                }
                None => continue,
            };
            return Some(MembershipChange { steps, joining: None });
        }
        None
    }

    /// The removal of the first member that an operator wants to leave. The last voter stays. A leader that is to leave
    /// hands over leadership first.
    fn requested_removal(&self) -> MembershipAction {
        let voters = &self.configuration.voters;
        for (id, member) in &self.state.members {
            if !self.is_requested(&member.name, MembershipRequest::Remove) {
                continue;
            }
            let is_last_voter = voters.len() == 1 && voters.contains(id);
            if is_last_voter {
                continue;
            }
            if *id == self.local_node {
                return self.transfer_to_any_voter();
            }
            let steps = vec![MembershipStep::Remove(*id)];
            return MembershipAction::Propose(MembershipChange { steps, joining: None });
        }
        MembershipAction::Nothing
    }

    fn transfer_to_any_voter(&self) -> MembershipAction {
        let voters = self.configuration.voters.iter().copied();
        let successors = voters.filter(|voter| *voter != self.local_node && self.has_caught_up(*voter));
        match successors.min() {
            Some(successor) => MembershipAction::TransferLeadership(successor),
            None => MembershipAction::Nothing,
        }
    }

    /// A node to lead instead of this one, if a voter that is there has not heard this leader for too long: it would
    /// never learn what is committed. The successor is heard by more voters than this node, the lowest id of those that
    /// are heard by most.
    fn better_connected_leader(&self) -> Option<NodeId> {
        let reachable = self.reachable_voters();
        if !reachable.iter().any(|voter| self.is_cut_off_from_leader(*voter)) {
            return None;
        }
        let own_reach = self.reach(&reachable, self.local_node);
        let mut best: Option<(usize, NodeId)> = None;
        for candidate in &reachable {
            if !self.has_caught_up(*candidate) || self.is_cut_off_from_leader(*candidate) {
                continue;
            }
            // This node hears its successor as well, or it would be the next to learn nothing.
            let reach = self.reach(&reachable, *candidate) + 1;
            let is_better = best.is_none_or(|(largest_reach, id)| {
                reach > largest_reach || reach == largest_reach && *candidate < id
            });
            if reach > own_reach && is_better {
                best = Some((reach, *candidate));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The other voters that are heard and report their status.
    fn reachable_voters(&self) -> Vec<NodeId> {
        let is_reachable = |voter: &NodeId| {
            *voter != self.local_node && self.voter_statuses.contains_key(voter) && !self.is_gone(*voter)
        };
        self.configuration.voters.iter().copied().filter(is_reachable).collect()
    }

    /// Whether a voter has not heard this leader for too long. What it reported while another node led says nothing
    /// about this one: leadership would go round in circles.
    fn is_cut_off_from_leader(&self, voter: NodeId) -> bool {
        let leaderless_for = self.voter_statuses[&voter].leaderless_for;
        leaderless_for.min(self.leading_for) >= self.peer_gone_timeout
    }

    /// How many of these voters hear `node`.
    fn reach(&self, voters: &[NodeId], node: NodeId) -> usize {
        let hears = |voter: &&NodeId| {
            let is_cut_off = node == self.local_node && self.is_cut_off_from_leader(**voter);
            **voter != node && !is_cut_off && self.voter_statuses[*voter].reachable_peers.contains(&node)
        };
        voters.iter().filter(hears).count()
    }
}

/// A learner takes its predecessor's place in one step, with its vote if it had one.
fn replacement_steps(predecessor: NodeId, learner: NodeId, votes: bool) -> Vec<MembershipStep> {
    let mut steps = vec![MembershipStep::Remove(predecessor)];
    if votes {
        steps.push(MembershipStep::AddVoter(learner));
    }
    steps
}

#[cfg(test)]
mod tests;
