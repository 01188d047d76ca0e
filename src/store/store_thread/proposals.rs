//! The leader's bookkeeping of proposals: those that wait to be appended, and those that were appended recently.

use crate::ids::NodeId;
use crate::store::state_machine::Proposal;
use std::collections::BTreeMap;

/// How long a proposal waits for a majority to confirm the leadership, and how long an appended proposal is recorded
/// so that it is not appended again. 40 ticks of 50 ms are 2 s, which is longer than an election and than the interval
/// at which a proposer repeats its proposal.
const PROPOSAL_TTL_TICKS: u32 = 40;

/// The number of ticks after which an unconfirmed leadership check is requested again. It may have been lost, or may
/// have been requested before the leader had committed an entry of its term.
const CHECK_RETRY_TICKS: u32 = 4;

/// Identifies a proposal by its proposer and the proposer's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProposalId {
    from: NodeId,
    token: u64,
}

impl ProposalId {
    fn of(proposal: &Proposal) -> ProposalId {
        ProposalId { from: proposal.from, token: proposal.token }
    }
}

/// A proposal that waits until a majority has confirmed that this node is still the leader.
struct UnconfirmedProposal {
    proposal: Proposal,
    waited_ticks: u32,
}

/// The leader's proposals: those that wait for a leadership check, and those that were appended recently.
#[derive(Default)]
pub(super) struct Proposals {
    /// The waiting proposals, by the number of the leadership check that each waits for.
    unconfirmed: BTreeMap<u64, UnconfirmedProposal>,
    last_check: u64,
    /// The recently appended proposals, with the number of ticks since each was appended.
    appended: BTreeMap<ProposalId, u32>,
}

impl Proposals {
    /// Whether a proposal was appended within the last [`PROPOSAL_TTL_TICKS`].
    pub(super) fn was_appended(&self, proposal: &Proposal) -> bool {
        self.appended.contains_key(&ProposalId::of(proposal))
    }

    /// Records that a proposal was appended.
    pub(super) fn record_appended(&mut self, proposal: &Proposal) {
        self.appended.insert(ProposalId::of(proposal), 0);
    }

    /// Adds a proposal that waits for a new leadership check, and returns the number of that check. Returns `None` if
    /// the proposal waits already, or if `limit` proposals wait.
    pub(super) fn add_unconfirmed(&mut self, proposal: Proposal, limit: usize) -> Option<u64> {
        let id = ProposalId::of(&proposal);
        let is_waiting = self.unconfirmed.values().any(|waiting| ProposalId::of(&waiting.proposal) == id);
        if is_waiting || self.unconfirmed.len() >= limit {
            return None;
        }
        self.last_check += 1;
        self.unconfirmed.insert(self.last_check, UnconfirmedProposal { proposal, waited_ticks: 0 });
        Some(self.last_check)
    }

    /// Removes and returns the proposal that waited for a check, which is now confirmed.
    pub(super) fn take_confirmed(&mut self, check: u64) -> Option<Proposal> {
        self.unconfirmed.remove(&check).map(|waiting| waiting.proposal)
    }

    /// Advances the age of all proposals by one tick, and drops those that have expired.
    pub(super) fn tick(&mut self) {
        for waiting in self.unconfirmed.values_mut() {
            waiting.waited_ticks += 1;
        }
        self.unconfirmed.retain(|_, waiting| waiting.waited_ticks < PROPOSAL_TTL_TICKS);
        for ticks in self.appended.values_mut() {
            *ticks += 1;
        }
        self.appended.retain(|_, ticks| *ticks < PROPOSAL_TTL_TICKS);
    }

    /// The leadership checks to request again in this tick.
    pub(super) fn checks_to_retry(&self) -> Vec<u64> {
        let is_due = |waiting: &UnconfirmedProposal| waiting.waited_ticks.is_multiple_of(CHECK_RETRY_TICKS);
        let due = self.unconfirmed.iter().filter(|(_, waiting)| is_due(waiting));
        due.map(|(check, _)| *check).collect()
    }

    /// Drops all proposals. Called while this node is not the leader.
    pub(super) fn clear(&mut self) {
        self.unconfirmed.clear();
        self.appended.clear();
    }

    /// Drops the proposals that wait for a leadership check.
    pub(super) fn clear_unconfirmed(&mut self) {
        self.unconfirmed.clear();
    }
}
