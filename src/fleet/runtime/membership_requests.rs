//! Membership changes: requests from operators, and the next step that the leader takes. Also the leader's proposals of
//! pending drains.

use super::Fleet;
use super::proposals::NoMajority;
use crate::fleet::membership::{
    MemberRequest, MembershipAction, MembershipRequest, MembershipView, VoterStatus,
};
use crate::fleet::message::PeerMessage;
use crate::fleet::peer_link::sleep_or_wake;
use crate::ids::NodeId;
use crate::net::until;
use crate::store::state_machine::{Change, Proposal};
use crate::store::store_thread::StoreCommand;
use crate::time::TimeDelta;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Operators' requests to change members. They expire unless they are repeated.
pub(super) struct MembershipRequests {
    /// The open requests, each with the time at which it was last received.
    requested_at: BTreeMap<MemberRequest, Instant>,
    max_requests: usize,
}

impl MembershipRequests {
    /// Creates an empty set of at most `max_requests` requests.
    pub(super) fn new(max_requests: usize) -> MembershipRequests {
        MembershipRequests { requested_at: BTreeMap::new(), max_requests }
    }

    /// Records a request or its repetition, unless the set is full.
    pub(super) fn record(&mut self, request: MemberRequest) {
        if self.requested_at.len() < self.max_requests {
            self.requested_at.insert(request, Instant::now());
        }
    }

    /// Whether there are no open requests.
    pub(super) fn is_empty(&self) -> bool {
        self.requested_at.is_empty()
    }

    /// Removes requests that were not repeated for `age`.
    fn expire(&mut self, age: Duration) {
        let now = Instant::now();
        self.requested_at.retain(|_, requested_at| now - *requested_at < age);
    }

    /// Removes a request that is no longer awaited.
    fn forget(&mut self, request: &MemberRequest) {
        self.requested_at.remove(request);
    }

    fn current(&self) -> BTreeSet<MemberRequest> {
        self.requested_at.keys().cloned().collect()
    }
}

/// Why an operator's request was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipRequestError {
    /// The fleet has no member of this name.
    #[error("no daemon {0:?} in the fleet")]
    UnknownMember(String),
    /// It was not committed in time.
    #[error(transparent)]
    NoMajority(#[from] NoMajority),
}

impl Fleet {
    /// Grants a member a vote or removes it from the fleet. Returns once the change is applied here. If it is applied
    /// already, a majority has to confirm that first.
    ///
    /// # Errors
    ///
    /// [`MembershipRequestError`] if there is no such member or the change takes longer than two agreement timeouts.
    pub async fn change_membership(&self, request: MemberRequest) -> Result<(), MembershipRequestError> {
        if self.is_member_name(&request.member) && self.is_carried_out(&request) {
            self.confirm_state(self.limits.agreement_timeout).await?;
        }
        if !self.is_member_name(&request.member) {
            return Err(MembershipRequestError::UnknownMember(request.member));
        }
        let was_sent = Cell::new(false);
        let carried_out = self.request_until_carried_out(&request, &was_sent);
        let result = until(Instant::now() + self.limits.agreement_timeout * 2, carried_out).await;
        if result.is_none() {
            // This node might become the leader shortly after its answer.
            self.requests.borrow_mut().forget(&request);
        }
        Ok(result.ok_or_else(|| NoMajority::of_change(was_sent.get()))?)
    }

    fn is_member_name(&self, name: &str) -> bool {
        self.agreed().state().members.values().any(|member| member.name == name)
    }

    /// Sends a request to the leader repeatedly until it is carried out. Sets `was_sent` once a leader has it.
    async fn request_until_carried_out(&self, request: &MemberRequest, was_sent: &Cell<bool>) {
        let changed = self.changes.subscribe();
        while !self.is_carried_out(request) {
            self.requests.borrow_mut().record(request.clone());
            let (leader, is_leader) = {
                let agreed = self.agreed();
                (agreed.status().leader, agreed.is_leader())
            };
            if is_leader || self.send_membership_request(leader, request) {
                was_sent.set(true);
            }
            sleep_or_wake(self.limits.proposal_retry_interval, &changed).await;
        }
    }

    /// Sends a request to the leader. Returns whether it may arrive.
    fn send_membership_request(&self, leader: NodeId, request: &MemberRequest) -> bool {
        let link = self.link_to(leader);
        link.is_some_and(|link| link.send(&PeerMessage::MembershipRequest(request.clone()).encode()))
    }

    fn is_carried_out(&self, request: &MemberRequest) -> bool {
        let agreed = self.agreed();
        let members = agreed.state().members.iter();
        let mut ids = members.filter(|(_, member)| member.name == request.member).map(|(id, _)| id);
        match request.request {
            MembershipRequest::GrantVote => ids.any(|id| agreed.status().configuration.voters.contains(id)),
            MembershipRequest::Remove => ids.next().is_none(),
        }
    }

    /// Does the leader's work, periodically and after each change: proposes drains that are not committed yet, and
    /// takes the next step of a membership change. Does nothing on other nodes.
    pub(super) fn act_as_leader(&self) {
        if !self.agreed().is_active_leader() {
            return;
        }
        let due_drains = self.due_drain_proposals();
        self.requests.borrow_mut().expire(self.limits.agreement_timeout);
        self.peers.borrow_mut().expire_candidates(self.limits.peer_gone_timeout);
        let action = self.next_membership_action();
        let from = self.agreed().local_id();
        for change in due_drains {
            let token = self.next_token();
            self.send_to_store(StoreCommand::Propose(Proposal { from, token, change }));
        }
        match action {
            MembershipAction::Nothing => {}
            MembershipAction::Propose(change) => {
                self.send_to_store(StoreCommand::ChangeMembership(change));
            }
            MembershipAction::TransferLeadership(to) => {
                self.send_to_store(StoreCommand::TransferLeadership(to));
            }
        }
    }

    /// Proposals for pending drains that were not proposed within the retry interval. Empty until all founders have a
    /// vote, because until then the fleet commits only membership changes.
    fn due_drain_proposals(&self) -> Vec<Change> {
        if !self.agreed().state().is_complete() {
            return Vec::new();
        }
        let retry_interval = TimeDelta::from(self.limits.proposal_retry_interval);
        self.drains.borrow_mut().pending_mut().due_proposals(self.clock.now(), retry_interval)
    }

    /// Decides the leader's next membership step from what the members report.
    fn next_membership_action(&self) -> MembershipAction {
        let (agreed, peers, now) = (self.agreed(), self.peers(), Instant::now());
        let mut candidates = BTreeMap::new();
        for (id, candidate) in peers.candidates() {
            candidates.insert(*id, candidate.handshake.clone());
        }
        let mut silence: BTreeMap<NodeId, TimeDelta> = BTreeMap::new();
        let mut voters = BTreeMap::new();
        for (id, status) in peers.statuses() {
            silence.insert(*id, TimeDelta::from(now - status.last_heard));
            let leaderless_for =
                status.leaderless_since.map_or(TimeDelta::ZERO, |since| (now - since).into());
            let reachable_peers = status.heartbeat.reachable_peers.iter().copied().collect();
            voters.insert(*id, VoterStatus { leaderless_for, reachable_peers });
        }
        let status = agreed.status();
        let view = MembershipView {
            local_node: agreed.local_id(),
            state: agreed.state(),
            configuration: &status.configuration,
            commit_index: status.committed,
            progress: &status.peer_progress,
            candidates: &candidates,
            silent_for: &silence,
            leading_for: agreed.leading_since().map_or(TimeDelta::ZERO, |since| (now - since).into()),
            voter_statuses: &voters,
            requests: &self.requests.borrow().current(),
            peer_gone_timeout: TimeDelta::from(self.limits.peer_gone_timeout),
        };
        view.next_action()
    }
}
