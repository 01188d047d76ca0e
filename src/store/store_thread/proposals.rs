//! Proposals on their way into the leader's log.

use crate::ids::NodeId;
use crate::store::state_machine::Proposal;
use std::collections::BTreeMap;

/// How long a proposal waits for a majority to confirm the leader, and how long an appended one is not appended again.
/// Two seconds at 50 ms a tick: longer than an election, and than a proposer takes to repeat its proposal.
const PROPOSAL_TTL_TICKS: u32 = 40;

/// A check that has not been confirmed is requested again after this many ticks: it was lost, or came before the leader
/// had committed an entry of its term.
const CHECK_RETRY_TICKS: u32 = 4;

/// Identifies a proposal.
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

/// The leader's proposals: those that wait for a leadership check, and those that were appended a short time ago.
#[derive(Default)]
pub(super) struct Proposals {
    /// By the number of the leadership check.
    unconfirmed: BTreeMap<u64, UnconfirmedProposal>,
    last_check: u64,
    /// With the ticks since each was appended.
    appended: BTreeMap<ProposalId, u32>,
}

impl Proposals {
    /// Whether a proposal was appended a short time ago.
    pub(super) fn was_appended(&self, proposal: &Proposal) -> bool {
        self.appended.contains_key(&ProposalId::of(proposal))
    }

    /// Notes that a proposal was appended.
    pub(super) fn note_appended(&mut self, proposal: &Proposal) {
        self.appended.insert(ProposalId::of(proposal), 0);
    }

    /// Has a proposal wait for a leadership check, and returns the check's number. `None`: it waits already, or `limit`
    /// proposals do.
    pub(super) fn await_check(&mut self, proposal: Proposal, limit: usize) -> Option<u64> {
        let id = ProposalId::of(&proposal);
        let is_waiting = self.unconfirmed.values().any(|waiting| ProposalId::of(&waiting.proposal) == id);
        if is_waiting || self.unconfirmed.len() >= limit {
            return None;
        }
        self.last_check += 1;
        self.unconfirmed.insert(self.last_check, UnconfirmedProposal { proposal, waited_ticks: 0 });
        Some(self.last_check)
    }

    /// Takes the proposal that waited for a check.
    pub(super) fn take_confirmed(&mut self, check: u64) -> Option<Proposal> {
        self.unconfirmed.remove(&check).map(|waiting| waiting.proposal)
    }

    /// One tick has passed: drops what has waited too long.
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

    /// The checks to request again in this tick.
    pub(super) fn checks_to_retry(&self) -> Vec<u64> {
        let is_due = |waiting: &UnconfirmedProposal| waiting.waited_ticks.is_multiple_of(CHECK_RETRY_TICKS);
        let due = self.unconfirmed.iter().filter(|(_, waiting)| is_due(waiting));
        due.map(|(check, _)| *check).collect()
    }

    /// Drops everything: this node is not the leader.
    pub(super) fn clear(&mut self) {
        self.unconfirmed.clear();
        self.appended.clear();
    }

    /// Drops the proposals that wait for a check.
    pub(super) fn clear_unconfirmed(&mut self) {
        self.unconfirmed.clear();
    }
}
