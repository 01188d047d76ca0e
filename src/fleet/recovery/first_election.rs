//! Which node starts the first election after a start.
//!
//! By default an election starts after 10 to 20 ticks without a heartbeat, since an existing leader sends one within
//! that time. After a power failure there is no leader to wait for: once a majority of the voters is reachable and
//! none of them reports a leader, the one with the newest log starts an election at once. Raft still
//! determines whether it wins, and ensures that a term has at most one winner: a wrong choice here costs one exchange
//! of messages.

use crate::ids::NodeId;
use crate::store::records::EntryId;
use crate::time::{TimeDelta, Timestamp};
use std::cmp::Reverse;

/// While some voters are unreachable, the reachable majority waits this long for them: one of them may have a newer
/// log.
const UNREACHABLE_VOTER_WAIT: TimeDelta = TimeDelta::from_millis(150);
/// A node whose election produced no leader starts the next one after this time.
const ELECTION_RETRY: TimeDelta = TimeDelta::from_millis(150);

/// The latest state of one voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// The voter's node.
    pub id: NodeId,
    /// The last entry of the voter's log.
    pub last_entry: EntryId,
    /// The leader that the voter follows; [`NodeId::NONE`] if none.
    pub leader: NodeId,
}

impl Voter {
    fn knows_leader(&self) -> bool {
        self.leader != NodeId::NONE
    }

    /// Whether this voter is to be elected rather than `other`: the one with the newer log by term, then index, as in
    /// Raft; of equal logs the one with the lower id.
    fn is_preferred_over(&self, other: &Voter) -> bool {
        (self.last_entry, Reverse(self.id)) > (other.last_entry, Reverse(other.id))
    }
}

/// The first election after a start, as seen by one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstElection {
    /// Since when a majority of the voters is reachable.
    majority_since: Option<Timestamp>,
    /// When this node last started an election.
    started_at: Option<Timestamp>,
    /// A leader was known to this node at some time since its start: from then on, elections start only by Raft's own
    /// timeout.
    leader_known: bool,
}

impl FirstElection {
    /// Whether this node starts an election now; if so, the call counts as its start. `reachable` lists the other nodes
    /// that are reachable and participate in the consensus.
    pub fn is_due(&mut self, now: Timestamp, local: Voter, voters: &[NodeId], reachable: &[Voter]) -> bool {
        self.leader_known |= local.knows_leader();
        let reachable_count = reachable.iter().filter(|voter| voters.contains(&voter.id)).count() + 1;
        if reachable_count * 2 > voters.len() {
            self.majority_since.get_or_insert(now);
        } else {
            self.majority_since = None;
        }
        let majority_duration = self.majority_since.map_or(TimeDelta::ZERO, |since| now - since);
        let started_recently = self.started_at.is_some_and(|started_at| now - started_at < ELECTION_RETRY);
        let is_due = !self.leader_known
            && !started_recently
            && is_candidate(local, voters, reachable, majority_duration);
        if is_due {
            self.started_at = Some(now);
        }
        is_due
    }
}

/// Whether the local node is the one to be elected. `majority_duration` is how long a majority of all voters has been
/// reachable.
fn is_candidate(local: Voter, voters: &[NodeId], reachable: &[Voter], majority_duration: TimeDelta) -> bool {
    if !voters.contains(&local.id) || local.knows_leader() {
        return false;
    }
    let mut reachable_count = 1;
    for voter in reachable {
        if !voters.contains(&voter.id) || voter.id == local.id {
            continue;
        }
        if voter.knows_leader() || !local.is_preferred_over(voter) {
            return false;
        }
        reachable_count += 1;
    }
    let is_majority = reachable_count * 2 > voters.len();
    is_majority && (reachable_count == voters.len() || majority_duration >= UNREACHABLE_VOTER_WAIT)
}

#[cfg(test)]
mod tests;
