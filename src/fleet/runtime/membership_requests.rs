//! What operators want of members, and what a leader does about it.

use super::*;

impl Fleet {
    /// Has a daemon of this name get a vote, or go. `None`: there is none of this name.
    pub async fn request_membership_change(
        &self,
        name: &str,
        wish: MembershipRequest,
    ) -> Option<ChangeOutcome> {
        let done = |table: &Table| {
            let mut ids = table.state.members.iter().filter(|(_, m)| m.name == name).map(|(id, _)| id);
            match wish {
                MembershipRequest::GrantVote => ids.any(|id| table.status.configuration.voters.contains(id)),
                MembershipRequest::Remove => ids.next().is_none(),
            }
        };
        if !self.table().state.members.values().any(|m| m.name == name) {
            return None;
        }
        let woken = self.watch();
        let work = async {
            loop {
                if done(&self.table()) {
                    return;
                }
                self.record_membership_request(name.to_string(), wish);
                let (leader, me) = (self.table().status.leader, self.table().identity.id);
                if leader != me
                    && let Some(way) = self.link_to(leader)
                {
                    way.send(&PeerMessage::MembershipRequest(name.to_string(), wish).encode());
                }
                crate::fleet::peer_link::sleep_or_wake(self.limits.proposal_retry_interval, &woken).await;
            }
        };
        let done = until(Instant::now() + self.limits.agreement_timeout * 2, work).await;
        Some(if done.is_some() { ChangeOutcome::Agreed } else { ChangeOutcome::Not })
    }

    pub(super) fn record_membership_request(&self, name: String, wish: MembershipRequest) {
        let mut table = self.change();
        if table.wishes.len() < self.limits.fleet_nodes {
            table.wishes.insert((name, wish), Instant::now());
        }
    }

    /// What a leader does now and then, and after each change.
    pub(super) fn act_as_leader(&self) {
        let mut table = self.change();
        let me = table.identity.id;
        if table.status.leader != me || !table.status.participating {
            return;
        }
        let insist = TimeDelta::from(self.limits.proposal_retry_interval);
        let due = if table.state.is_complete() {
            table.marks.due_proposals(self.clock.now(), insist)
        } else {
            Vec::new()
        };
        let now = Instant::now();
        table.wishes.retain(|_, at| now - *at < self.limits.agreement_timeout);
        let recent = self.limits.peer_gone_timeout;
        table.candidates.retain(|_, (_, at)| now - *at < recent);
        let next = {
            let candidates = table.candidates.iter().map(|(id, (hello, _))| (*id, hello.clone())).collect();
            let silent = table.heard.iter().map(|(id, h)| (*id, TimeDelta::from(now - h.at))).collect();
            let wishes = table.wishes.keys().cloned().collect();
            let word = |h: &PeerStatus| VoterStatus {
                leaderless: h.leaderless.map_or(TimeDelta::ZERO, |at| TimeDelta::from(now - at)),
                hears: h.beat.reachable_peers.iter().copied().collect(),
            };
            let words = table.heard.iter().map(|(id, h)| (*id, word(h))).collect();
            let view = MembershipView {
                me,
                state: &table.state,
                conf: &table.status.configuration,
                agreed: table.status.committed,
                progress: &table.status.peer_progress,
                candidates: &candidates,
                silent: &silent,
                led_for: table.leads.map_or(TimeDelta::ZERO, |at| TimeDelta::from(now - at)),
                words: &words,
                wishes: &wishes,
                gone: TimeDelta::from(self.limits.peer_gone_timeout),
            };
            view.next_action()
        };
        drop(table);
        for change in due {
            let proposal = Proposal { from: me, token: self.next_token(), change };
            self.send_to_store(StoreCommand::Propose(proposal));
        }
        match next {
            MembershipAction::Nothing => true,
            MembershipAction::Propose(change) => self.send_to_store(StoreCommand::ChangeMembership(change)),
            MembershipAction::TransferLeadership(to) => {
                self.send_to_store(StoreCommand::TransferLeadership(to))
            }
        };
    }
}
