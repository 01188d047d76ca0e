//! Changes on their way into the log: forwarded to the leader, and repeated until they are committed.

use super::Fleet;
use crate::fleet::message::PeerMessage;
use crate::net::until;
use crate::store::state_machine::{Change, Proposal};
use crate::store::store_thread::StoreCommand;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// No majority committed a change in time. Except for drains a leader puts a change into its log only once a majority
/// has confirmed that it leads, so what failed does not lie in a log to be committed much later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no majority agreed in time")]
pub struct NoMajority;

/// A change that this node's own files ask for, as it was last proposed.
struct RecentProposal {
    token: u64,
    proposed_at: Instant,
}

/// Proposals of this node that are not committed yet.
pub(super) struct PendingProposals {
    last_token: u64,
    /// Tokens of changes that a caller waits for, with whether they were applied.
    awaited: BTreeMap<u64, bool>,
    /// Changes that this node's own files ask for, by a key that names the content.
    from_files: BTreeMap<String, RecentProposal>,
}

impl PendingProposals {
    /// Without proposals. Tokens start at the clock: one of an earlier start must not answer a call of this one.
    pub(super) fn new(now: Timestamp) -> PendingProposals {
        let last_token = now.as_micros().max(0) as u64;
        PendingProposals { last_token, awaited: BTreeMap::new(), from_files: BTreeMap::new() }
    }

    /// A token that names a new proposal of this node.
    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// A change of this node was applied.
    pub(super) fn record_applied(&mut self, token: u64) {
        if let Some(is_applied) = self.awaited.get_mut(&token) {
            *is_applied = true;
        }
    }

    fn is_applied(&self, token: u64) -> bool {
        self.awaited.get(&token).is_some_and(|is_applied| *is_applied)
    }

    /// Whether a change that the own files ask for is not committed yet.
    pub(super) fn has_file_proposals(&self) -> bool {
        !self.from_files.is_empty()
    }

    /// Forgets proposals from files that are not asked for any more.
    pub(super) fn retain_file_proposals(&mut self, wanted: &BTreeSet<&String>) {
        self.from_files.retain(|key, _| wanted.contains(key));
    }

    /// The token to propose a file's change with now; `None` if it was proposed less than `retry_interval` ago:
    /// the leader may still have it.
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
    /// A token that names a new proposal of this node.
    pub(super) fn next_token(&self) -> u64 {
        self.proposals.borrow_mut().next_token()
    }

    /// Hands a proposal to the leader, if one is known and reached.
    pub(super) fn forward_to_leader(&self, proposal: Proposal) {
        let (leader, is_leader) = {
            let agreed = self.agreed();
            (agreed.status().leader, agreed.is_leader())
        };
        if is_leader {
            self.send_to_store(StoreCommand::Propose(proposal));
        } else if let Some(link) = self.link_to(leader) {
            link.send(&PeerMessage::ForwardedProposal(proposal).encode());
        }
    }

    /// Proposes a change until it is applied here.
    ///
    /// # Errors
    ///
    /// [`NoMajority`] where that took longer than the agreement timeout.
    pub(super) async fn commit_change(&self, change: Change) -> Result<(), NoMajority> {
        let token = self.next_token();
        let proposal = Proposal { from: self.agreed().local_id(), token, change };
        self.proposals.borrow_mut().awaited.insert(token, false);
        let committed = self.propose_until_applied(proposal);
        let result = until(Instant::now() + self.limits.agreement_timeout, committed).await;
        self.proposals.borrow_mut().awaited.remove(&token);
        result.ok_or(NoMajority)
    }

    /// Repeats a proposal until it is applied here: a message may be lost, and the leader may change.
    async fn propose_until_applied(&self, proposal: Proposal) {
        let changed = self.changes.subscribe();
        loop {
            self.forward_to_leader(proposal.clone());
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
