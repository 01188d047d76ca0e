//! Proposals of changes: forwarded to the leader and repeated until they are applied here or given up.
//!
//! Drains are not proposed here: the leader proposes the pending drains that it knows of; see `Fleet::act_as_leader`.

use super::Fleet;
use crate::fleet::message::PeerMessage;
use crate::net::until;
use crate::store::state_machine::{Change, Proposal};
use crate::store::store_thread::StoreCommand;
use crate::time::Timestamp;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// No majority is known to have committed a change in time. A leader appends a change other than a drain to its log only
/// after a majority has confirmed its leadership, so a failed change does not remain in a log to be committed much later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoMajority {
    /// The change was passed to no leader: it has no effect, now or later.
    #[error("no majority agreed in time")]
    NotProposed,
    /// The change was passed to a leader. It may have been committed without this node having learned of it.
    #[error("no majority is known to have agreed in time")]
    OutcomeUnknown,
}

impl NoMajority {
    /// The failure of a change that was passed to a leader, or to none.
    pub(super) fn of_change(was_proposed: bool) -> NoMajority {
        if was_proposed { NoMajority::OutcomeUnknown } else { NoMajority::NotProposed }
    }
}

/// The last proposal of a change from this node's own files.
struct RecentProposal {
    token: u64,
    proposed_at: Instant,
}

/// Proposals of this node that are not committed yet.
pub(super) struct PendingProposals {
    last_token: u64,
    /// Tokens of the changes that callers wait for, and whether the log entry of each was applied.
    awaited: BTreeMap<u64, bool>,
    /// Changes from this node's own files, by a key that identifies their content.
    from_files: BTreeMap<String, RecentProposal>,
}

impl PendingProposals {
    /// Creates an empty set. Tokens start at the current clock, so that a proposal from before a restart cannot
    /// complete a call made after it.
    pub(super) fn new(now: Timestamp) -> PendingProposals {
        let last_token = now.as_micros().max(0) as u64;
        PendingProposals { last_token, awaited: BTreeMap::new(), from_files: BTreeMap::new() }
    }

    /// Returns a new token to identify a proposal of this node.
    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Records that the log entry of a change proposed by this node was applied.
    pub(super) fn record_applied(&mut self, token: u64) {
        if let Some(is_applied) = self.awaited.get_mut(&token) {
            *is_applied = true;
        }
    }

    fn is_applied(&self, token: u64) -> bool {
        self.awaited.get(&token).is_some_and(|is_applied| *is_applied)
    }

    /// Whether a change from this node's own files is not committed yet.
    pub(super) fn has_file_proposals(&self) -> bool {
        !self.from_files.is_empty()
    }

    /// Removes proposals from files whose keys are not in `wanted`.
    pub(super) fn retain_file_proposals(&mut self, wanted: &BTreeSet<&String>) {
        self.from_files.retain(|key, _| wanted.contains(key));
    }

    /// Returns the token with which to propose a change from a file now. Returns `None` if the change was proposed less
    /// than `retry_interval` ago, because the leader may still be processing it.
    pub(super) fn file_proposal_token(&mut self, key: &str, retry_interval: Duration) -> Option<u64> {
        let now = Instant::now();
        let token = match self.from_files.get(key) {
            Some(recent) if now - recent.proposed_at < retry_interval => return None,
            Some(recent) => recent.token,
            None => self.next_token(),
        };
        self.from_files.insert(key.to_string(), RecentProposal { token, proposed_at: now });
        Some(token)
    }
}

impl Fleet {
    /// Returns a new token to identify a proposal of this node.
    pub(super) fn next_token(&self) -> u64 {
        self.proposals.borrow_mut().next_token()
    }

    /// Passes a proposal to the leader. Returns whether it may arrive: not if no leader is known, or there is no link to
    /// it.
    pub(super) fn forward_to_leader(&self, proposal: Proposal) -> bool {
        let (leader, is_leader) = {
            let agreed = self.agreed();
            (agreed.status().leader, agreed.is_leader())
        };
        if is_leader {
            return self.send_to_store(StoreCommand::Propose(proposal));
        }
        let link = self.link_to(leader);
        link.is_some_and(|link| link.send(&PeerMessage::ForwardedProposal(proposal).encode()))
    }

    /// Proposes a change and waits until its log entry is applied here. Success does not imply that the change took
    /// effect: the state machine may have rejected it.
    ///
    /// # Errors
    ///
    /// [`NoMajority`] if that takes longer than the agreement timeout.
    pub(super) async fn commit_change(&self, change: Change) -> Result<(), NoMajority> {
        self.commit_change_within(self.limits.agreement_timeout, change).await
    }

    /// Waits until the state applied here includes everything that was committed before this call. The state of a node
    /// that is cut off from the majority is old, so what such a node finds there must not be answered as the fleet's
    /// state without this.
    ///
    /// # Errors
    ///
    /// [`NoMajority`] if that takes longer than `timeout`. The state may then be old.
    pub(super) async fn confirm_state(&self, timeout: Duration) -> Result<(), NoMajority> {
        self.commit_change_within(timeout, Change::no_op()).await
    }

    async fn commit_change_within(&self, timeout: Duration, change: Change) -> Result<(), NoMajority> {
        let token = self.next_token();
        let proposal = Proposal { from: self.agreed().local_id(), token, change };
        self.proposals.borrow_mut().awaited.insert(token, false);
        let was_proposed = Cell::new(false);
        let committed = self.propose_until_applied(proposal, &was_proposed);
        let result = until(Instant::now() + timeout, committed).await;
        self.proposals.borrow_mut().awaited.remove(&token);
        result.ok_or_else(|| NoMajority::of_change(was_proposed.get()))
    }

    /// Repeats a proposal until it is applied here, because a message may be lost and the leader may change. Sets
    /// `was_proposed` once it was passed to a leader.
    async fn propose_until_applied(&self, proposal: Proposal, was_proposed: &Cell<bool>) {
        let changed = self.changes.subscribe();
        loop {
            if self.forward_to_leader(proposal.clone()) {
                was_proposed.set(true);
            }
            let retry_at = Instant::now() + self.limits.proposal_retry_interval;
            loop {
                if self.proposals.borrow().is_applied(proposal.token) {
                    return;
                }
                if until(retry_at, changed.recv()).await.is_none() {
                    break;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
