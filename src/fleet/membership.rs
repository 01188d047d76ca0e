//! Who comes into the fleet and who goes: the leader's next step, one at a time. No I/O.

use super::bootstrap::Handshake;
use crate::ids::NodeId;
use crate::store::raft_node::PeerProgress;
use crate::store::records::{Configuration, MembershipStep};
use crate::store::state_machine::{ClusterState, MAX_MEMBERS, Member, MembershipChange};
use crate::time::TimeDelta;
use std::collections::{BTreeMap, BTreeSet};

/// A daemon that lags behind by no more entries than this has caught up.
const CLOSE: u64 = 64;

/// What an operator wants of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum MembershipRequest {
    /// It is to have a vote.
    GrantVote,
    /// It is to go.
    Remove,
}

/// What a voter says of the leader and of whom it hears.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterStatus {
    /// It has known no leader for so long.
    pub leaderless: TimeDelta,
    /// Whom it hears.
    pub hears: BTreeSet<NodeId>,
}

/// All that the leader knows.
pub struct MembershipView<'a> {
    /// The leader.
    pub me: NodeId,
    /// What is agreed.
    pub state: &'a ClusterState,
    /// Who votes and who follows.
    pub conf: &'a Configuration,
    /// The last place that is agreed.
    pub agreed: u64,
    /// How far the others are.
    pub progress: &'a [PeerProgress],
    /// Daemons that were met a moment ago and are no members.
    pub candidates: &'a BTreeMap<NodeId, Handshake>,
    /// How long ago each member was last heard.
    pub silent: &'a BTreeMap<NodeId, TimeDelta>,
    /// The leader has led for so long.
    pub led_for: TimeDelta,
    /// What each voter that is heard says.
    pub words: &'a BTreeMap<NodeId, VoterStatus>,
    /// What operators want, by name.
    pub wishes: &'a BTreeSet<(String, MembershipRequest)>,
    /// Silent for so long, a member counts as gone.
    pub gone: TimeDelta,
}

/// What the leader is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Nothing.
    Nothing,
    /// Propose this.
    Propose(MembershipChange),
    /// Hand the lead over first: it is itself the one to go.
    TransferLeadership(NodeId),
}

impl MembershipView<'_> {
    fn caught_up(&self, id: NodeId) -> bool {
        self.progress.iter().any(|p| p.id == id && p.recently_active && p.match_index + CLOSE >= self.agreed)
    }

    fn is_gone(&self, id: NodeId) -> bool {
        id != self.me && self.silent.get(&id).is_none_or(|span| *span >= self.gone)
    }

    fn wishes(&self, name: &str, wish: MembershipRequest) -> bool {
        self.wishes.contains(&(name.to_string(), wish))
    }

    /// Another member of the same name: an earlier self that has lost its disk.
    fn former(&self, id: NodeId, name: &str) -> Option<NodeId> {
        self.state.members.iter().find(|(other, m)| **other != id && m.name == name).map(|(other, _)| *other)
    }

    fn comes(&self) -> Option<MembershipChange> {
        if self.state.members.len() >= MAX_MEMBERS {
            return None;
        }
        for (id, hello) in self.candidates {
            if self.state.members.contains_key(id) || self.state.removed.contains_key(id) {
                continue;
            }
            // One of the same name that is still there: two daemons must not pass for one.
            if self.former(*id, &hello.name).is_some_and(|former| !self.is_gone(former)) {
                continue;
            }
            let member = Member { name: hello.name.clone(), address: hello.address };
            return Some(MembershipChange {
                steps: vec![MembershipStep::AddLearner(*id)],
                joining: Some((*id, member)),
            });
        }
        None
    }

    fn rises(&self) -> Option<MembershipChange> {
        let plain = |steps| Some(MembershipChange { steps, joining: None });
        for id in self.conf.learners.iter().filter(|id| self.caught_up(**id)) {
            let name = self.state.members.get(id).map_or("", |m| m.name.as_str());
            match self.former(*id, name) {
                Some(former) if self.is_gone(former) => {
                    let votes = self.conf.voters.contains(&former);
                    let mut steps = vec![MembershipStep::Remove(former)];
                    if votes || self.state.founders.contains(name) {
                        steps.push(MembershipStep::AddVoter(*id));
                    }
                    return plain(steps);
                }
                Some(_) => {}
                None if self.state.founders.contains(name)
                    || self.wishes(name, MembershipRequest::GrantVote) =>
                {
                    return plain(vec![MembershipStep::AddVoter(*id)]);
                }
                None => {}
            }
        }
        None
    }

    fn goes(&self) -> MembershipAction {
        for (id, member) in &self.state.members {
            if !self.wishes(&member.name, MembershipRequest::Remove) {
                continue;
            }
            let votes = self.conf.voters.contains(id);
            if votes && self.conf.voters.len() == 1 {
                continue;
            }
            if *id == self.me {
                let heirs = self.conf.voters.iter().filter(|v| **v != self.me && self.caught_up(**v));
                return heirs
                    .min()
                    .map_or(MembershipAction::Nothing, |heir| MembershipAction::TransferLeadership(*heir));
            }
            return MembershipAction::Propose(MembershipChange {
                steps: vec![MembershipStep::Remove(*id)],
                joining: None,
            });
        }
        MembershipAction::Nothing
    }

    /// One to lead instead: where a voter that is there has not heard this leader for long, it would never learn
    /// what is agreed. Whoever leads next is heard by more of the voters than this one.
    fn yields(&self) -> Option<NodeId> {
        let there = |id: &&NodeId| **id != self.me && self.words.contains_key(id) && !self.is_gone(**id);
        let voters: Vec<&NodeId> = self.conf.voters.iter().filter(there).collect();
        // What was said while another one led is no word about this one: the lead would go round and round.
        let deaf = |id: &&&NodeId| self.words[**id].leaderless.min(self.led_for) >= self.gone;
        if !voters.iter().any(|id| deaf(&id)) {
            return None;
        }
        let hearers = |leader: NodeId| {
            let hears = |id: &&&NodeId| {
                ***id != leader
                    && self.words[**id].hears.contains(&leader)
                    && !(leader == self.me && deaf(id))
            };
            voters.iter().filter(hears).count()
        };
        // The one that goes now hears its heir as well, or it would be the next to learn nothing.
        let own = hearers(self.me);
        let heirs = voters.iter().filter(|id| self.caught_up(***id) && !deaf(id));
        heirs
            .map(|id| (hearers(**id) + 1, std::cmp::Reverse(**id)))
            .filter(|(n, _)| *n > own)
            .max()
            .map(|(_, id)| id.0)
    }

    /// The next step.
    pub fn next_action(&self) -> MembershipAction {
        if !self.conf.voters_outgoing.is_empty() {
            return MembershipAction::Nothing;
        }
        if let Some(heir) = self.yields() {
            return MembershipAction::TransferLeadership(heir);
        }
        match self.rises().or_else(|| self.comes()) {
            Some(change) => MembershipAction::Propose(change),
            None => self.goes(),
        }
    }
}

#[cfg(test)]
mod tests;
