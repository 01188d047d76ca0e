//! Which node starts the first election after a start.
//!
//! Elections come by themselves after 10 to 20 ticks without a heartbeat of a leader, since a leader sends one that
//! often. After a power failure there is no leader to wait for: once enough voters are heard and none of them knows a
//! leader, the one with the newest log starts an election at once. Raft decides whether it wins, and that nobody wins a
//! term twice: a wrong guess here costs one exchange of messages.

use crate::ids::NodeId;
use crate::store::records::EntryId;
use crate::time::{TimeDelta, Timestamp};
use std::cmp::Reverse;

/// While some voters are silent, those of a majority wait this long for them: one of them may have a newer log.
const SILENT_VOTER_WAIT: TimeDelta = TimeDelta::from_millis(150);
/// A node whose election brought no leader starts the next one after this.
const ELECTION_RETRY: TimeDelta = TimeDelta::from_millis(150);

/// What is known of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// The node.
    pub id: NodeId,
    /// The last entry of its log.
    pub last_entry: EntryId,
    /// The leader that it knows; [`NodeId::NONE`]: none.
    pub leader: NodeId,
}

impl Voter {
    fn knows_leader(&self) -> bool {
        self.leader != NodeId::NONE
    }

    /// Whether this voter rather than `other` is to be elected: the newer log by term, then index, as in Raft; of equal
    /// ones the lower id.
    fn precedes(&self, other: &Voter) -> bool {
        (self.last_entry, Reverse(self.id)) > (other.last_entry, Reverse(other.id))
    }
}

/// The first election as one node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstElection {
    /// Since when a majority of the voters is heard.
    majority_since: Option<Timestamp>,
    /// When this node last started an election.
    started_at: Option<Timestamp>,
    /// This node has known a leader since its start: from then on elections come by themselves.
    leader_known: bool,
}

impl FirstElection {
    /// Whether this node starts an election now. `heard`: the other nodes that are heard and take part in the
    /// consensus.
    pub fn is_due(&mut self, now: Timestamp, local: Voter, voters: &[NodeId], heard: &[Voter]) -> bool {
        self.leader_known |= local.knows_leader();
        let reachable = heard.iter().filter(|voter| voters.contains(&voter.id)).count() + 1;
        if reachable * 2 > voters.len() {
            self.majority_since.get_or_insert(now);
        } else {
            self.majority_since = None;
        }
        let waited = self.majority_since.map_or(TimeDelta::ZERO, |since| now - since);
        let started_recently = self.started_at.is_some_and(|started_at| now - started_at < ELECTION_RETRY);
        let is_due = !self.leader_known && !started_recently && is_candidate(local, voters, heard, waited);
        if is_due {
            self.started_at = Some(now);
        }
        is_due
    }
}

/// Whether the local node is the one to be elected. `waited`: how long a majority of all voters has been heard.
fn is_candidate(local: Voter, voters: &[NodeId], heard: &[Voter], waited: TimeDelta) -> bool {
    if !voters.contains(&local.id) || local.knows_leader() {
        return false;
    }
    let mut reachable = 1;
    for voter in heard {
        if !voters.contains(&voter.id) || voter.id == local.id {
            continue;
        }
        if voter.knows_leader() || !local.precedes(voter) {
            return false;
        }
        reachable += 1;
    }
    let is_majority = reachable * 2 > voters.len();
    is_majority && (reachable == voters.len() || waited >= SILENT_VOTER_WAIT)
}

#[cfg(test)]
mod tests;
