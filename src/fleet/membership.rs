//! Membership changes: which one the leader carries out next, one at a time. No I/O.

use super::bootstrap::Handshake;
use crate::ids::NodeId;
use crate::store::raft_node::PeerProgress;
use crate::store::records::{Configuration, MembershipStep};
use crate::store::state_machine::{ClusterState, JoiningMember, MAX_MEMBERS, Member, MembershipChange};
use crate::time::TimeDelta;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A node counts as caught up if its log lacks at most this many committed entries, few enough that it can vote or lead
/// at once without delaying the others.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// What an operator requests for a member. The variant order is part of the message format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MembershipRequest {
    /// The member gets a vote.
    GrantVote,
    /// The member is removed from the fleet.
    Remove,
}

/// An operator's request concerning one member. The field order is part of the message format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberRequest {
    /// The member's name.
    pub member: String,
    /// What is requested for it.
    pub request: MembershipRequest,
}

/// What a voter reports about the leader and its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterStatus {
    /// Time for which no leader has been known to the voter.
    pub leaderless_for: TimeDelta,
    /// The nodes from which it receives messages.
    pub reachable_peers: BTreeSet<NodeId>,
}

/// The leader's inputs for its next membership change.
pub struct MembershipView<'a> {
    /// The leader, which is this node.
    pub local_node: NodeId,
    /// The committed state as applied by the leader.
    pub state: &'a ClusterState,
    /// The current voters and learners.
    pub configuration: &'a Configuration,
    /// The index of the last committed entry.
    pub commit_index: u64,
    /// How far the log is replicated to the other nodes.
    pub progress: &'a [PeerProgress],
    /// Nodes that connected recently and may not be members yet.
    pub candidates: &'a BTreeMap<NodeId, Handshake>,
    /// How long ago the last message from each node arrived; nodes without one are missing.
    pub silent_for: &'a BTreeMap<NodeId, TimeDelta>,
    /// How long this node has been the leader.
    pub leading_for: TimeDelta,
    /// The latest report of each voter that this node receives messages from.
    pub voter_statuses: &'a BTreeMap<NodeId, VoterStatus>,
    /// The current requests of operators.
    pub requests: &'a BTreeSet<MemberRequest>,
    /// A node that is silent for this long counts as gone.
    pub peer_gone_timeout: TimeDelta,
}

/// What the leader does next.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// No change is needed or possible now.
    Nothing,
    /// Propose this change.
    Propose(MembershipChange),
    /// Transfer leadership to this node.
    TransferLeadership(NodeId),
}

impl MembershipView<'_> {
    /// Determines the next action. Nothing is proposed while an earlier change is still in progress.
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

    /// Another member with the same name: the same node before it lost its disk.
    fn predecessor(&self, id: NodeId, name: &str) -> Option<NodeId> {
        let mut members = self.state.members.iter();
        let predecessor = members.find(|(other, member)| **other != id && member.name == name);
        predecessor.map(|(other, _)| *other)
    }

    /// The addition, as a learner, of the first candidate that may join.
    fn candidate_to_add(&self) -> Option<MembershipChange> {
        if self.state.members.len() >= MAX_MEMBERS {
            return None;
        }
        for (id, handshake) in self.candidates {
            if self.state.members.contains_key(id) || self.state.removed.contains_key(id) {
                continue;
            }
            // While the member with this name is still present, two nodes would have the same name.
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

    /// The promotion of the first learner that has caught up and either replaces its predecessor or gets a vote.
    fn learner_to_promote(&self) -> Option<MembershipChange> {
        for id in &self.configuration.learners {
            if !self.has_caught_up(*id) {
                continue;
            }
            let name = self.state.members.get(id).map_or("", |member| member.name.as_str());
            let is_founder = self.state.founders.contains(name);
            let steps = match self.predecessor(*id, name) {
                Some(predecessor) if self.is_gone(predecessor) => {
                    let has_vote = is_founder || self.configuration.voters.contains(&predecessor);
                    replacement_steps(predecessor, *id, has_vote)
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

    /// The removal of the first member whose removal an operator requested. The last voter is never removed. A leader
    /// transfers leadership before its own removal.
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

    /// A better leader, if a reachable voter has not received messages from this leader for too long: that voter would
    /// never receive committed entries. The successor reaches more voters than this node; of those that reach the most,
    /// it is the one with the lowest id.
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
            // Plus one for this node: it receives the candidate's messages, or it would be cut off from the new leader.
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

    /// The other voters that report their status and are not gone.
    fn reachable_voters(&self) -> Vec<NodeId> {
        let is_reachable = |voter: &NodeId| {
            *voter != self.local_node && self.voter_statuses.contains_key(voter) && !self.is_gone(*voter)
        };
        self.configuration.voters.iter().copied().filter(is_reachable).collect()
    }

    /// Whether a voter has not received messages from this leader for too long. Time without a leader before this
    /// node's leadership does not count; otherwise leadership would keep moving between nodes.
    fn is_cut_off_from_leader(&self, voter: NodeId) -> bool {
        let leaderless_for = self.voter_statuses[&voter].leaderless_for;
        leaderless_for.min(self.leading_for) >= self.peer_gone_timeout
    }

    /// The number of these voters that receive messages from `node`.
    fn reach(&self, voters: &[NodeId], node: NodeId) -> usize {
        let is_reached = |voter: &&NodeId| {
            let is_cut_off = node == self.local_node && self.is_cut_off_from_leader(**voter);
            **voter != node && !is_cut_off && self.voter_statuses[*voter].reachable_peers.contains(&node)
        };
        voters.iter().filter(is_reached).count()
    }
}

/// The steps by which a learner replaces its predecessor in one change. `has_vote` is whether it gets a vote.
fn replacement_steps(predecessor: NodeId, learner: NodeId, has_vote: bool) -> Vec<MembershipStep> {
    let mut steps = vec![MembershipStep::Remove(predecessor)];
    if has_vote {
        steps.push(MembershipStep::AddVoter(learner));
    }
    steps
}

#[cfg(test)]
mod tests;
