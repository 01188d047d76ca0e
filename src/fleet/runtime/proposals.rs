//! Changes on their way to the leader.

use super::*;

impl Fleet {
    pub(super) fn next_token(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Brings a change to the leader.
    pub(super) fn forward_to_leader(&self, proposal: Proposal) {
        let (leader, me) = {
            let table = self.table();
            (table.status.leader, table.identity.id)
        };
        if leader == me {
            self.send_to_store(StoreCommand::Propose(proposal));
        } else if let Some(way) = self.link_to(leader) {
            way.send(&PeerMessage::ForwardedProposal(proposal).encode());
        }
    }

    /// Has a change agreed, or gives it up in time.
    pub(super) async fn commit_change(&self, change: Change) -> ChangeOutcome {
        let (from, token) = (self.table().identity.id, self.next_token());
        self.tokens.borrow_mut().insert(token, None);
        let woken = self.watch();
        let work = async {
            loop {
                self.forward_to_leader(Proposal { from, token, change: change.clone() });
                let end = Instant::now() + self.limits.proposal_retry_interval;
                loop {
                    if let Some(Some(_)) = self.tokens.borrow().get(&token) {
                        return;
                    }
                    if until(end, woken.recv()).await.is_none() {
                        break;
                    }
                }
            }
        };
        let done = until(Instant::now() + self.limits.agreement_timeout, work).await;
        self.tokens.borrow_mut().remove(&token);
        if done.is_some() { ChangeOutcome::Agreed } else { ChangeOutcome::Not }
    }
}
