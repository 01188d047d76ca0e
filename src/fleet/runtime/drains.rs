//! Drains requested by operators here or received from peers, kept on disk until the log has committed or undone them.
//!
//! A drain only removes traffic from an endpoint, so each node that knows of one applies it at once, even without a
//! majority. Undoing a drain returns traffic to the endpoint and requires the consensus.

use super::Fleet;
use super::proposals::NoMajority;
use crate::fleet::message::PeerMessage;
use crate::fleet::pending_drains::PendingDrains;
use crate::net::until;
use crate::store::state_machine::{Change, DrainId, PendingDrain};
use crate::store::store_thread::StoreCommand;
use async_channel::Receiver;
use futures_lite::future;
use std::collections::BTreeSet;
use std::time::Instant;

/// Up to this many pending drains are sent again in short intervals. Operators drain a few endpoints at a time.
const MAX_REPEATED_DRAINS: usize = 64;

/// The drains that are not committed yet, and the version of them that is on disk.
pub struct DrainState {
    pending: PendingDrains,
    /// The last version that was queued for the store's thread.
    submitted_version: u64,
    /// The last version that the store's thread has reported as written.
    persisted_version: u64,
}

impl DrainState {
    /// Creates the state from the drains that the storage held.
    pub(super) fn new(pending: PendingDrains) -> DrainState {
        DrainState { pending, submitted_version: 0, persisted_version: 0 }
    }

    /// Drains that are not committed yet.
    pub fn pending(&self) -> &PendingDrains {
        &self.pending
    }

    /// Mutable access to the drains that are not committed yet.
    pub(super) fn pending_mut(&mut self) -> &mut PendingDrains {
        &mut self.pending
    }

    /// Records that the store's thread has written this version.
    pub(super) fn record_persisted(&mut self, version: u64) {
        self.persisted_version = self.persisted_version.max(version);
    }

    /// Marks the drains as not submitted, because the storage was replaced by an empty one.
    pub(super) fn reset_submitted(&mut self) {
        self.submitted_version = 0;
    }
}

/// The state of a drain when its request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// A majority has committed it, or has undone it meanwhile.
    Committed,
    /// It is in force here and at all reachable peers, but a majority has not committed it yet. If the storage is slow
    /// or has failed, it may not be on this node's disk either.
    AwaitsMajority,
}

/// The committed inventory has no endpoint of this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no host {0:?}")]
pub struct UnknownEndpoint(pub String);

impl Fleet {
    /// Drains an endpoint. The drain takes effect at once here and at all reachable peers, and on every node once a
    /// majority has committed it. It is proposed by the leader, which learns of it as of any pending drain; see
    /// `Fleet::act_as_leader`.
    ///
    /// A drain by another node that is in force here does not replace the requested one: if this node is cut off, the
    /// majority may have undone it. An earlier drain by this node does once a majority has confirmed that it is in
    /// force, so that repeated requests do not add drains without bound.
    ///
    /// Waits for the commit for at most the agreement timeout, then for the write to this node's disk for at most
    /// another one.
    ///
    /// # Errors
    ///
    /// [`UnknownEndpoint`] if the committed inventory has no such endpoint.
    pub async fn drain(&self, endpoint: &str) -> Result<DrainOutcome, UnknownEndpoint> {
        if !self.agreed().state().hosts.contains_key(endpoint) {
            return Err(UnknownEndpoint(endpoint.to_string()));
        }
        if self.confirm_own_drain(endpoint).await {
            return Ok(DrainOutcome::Committed);
        }
        let drain_id = self.request_drain(endpoint);
        let version = self.drains().pending.version();
        let changed = self.changes.subscribe();
        let committed = self.wait_until_resolved(endpoint, drain_id, &changed);
        if until(Instant::now() + self.limits.agreement_timeout, committed).await.is_some() {
            return Ok(DrainOutcome::Committed);
        }
        let persisted = self.wait_until_persisted(version, &changed);
        until(Instant::now() + self.limits.agreement_timeout, persisted).await;
        let is_committed = self.agreed().state().is_resolved(endpoint, drain_id);
        Ok(if is_committed { DrainOutcome::Committed } else { DrainOutcome::AwaitsMajority })
    }

    /// Whether a majority confirms that an earlier drain of the endpoint by this node is in force. Returns false as soon
    /// as this node learns that it was undone, or if there is no answer within the proposals' retry interval: the
    /// requested drain must not wait for longer.
    async fn confirm_own_drain(&self, endpoint: &str) -> bool {
        if !self.agreed().has_leader() || !self.has_committed_own_drain(endpoint) {
            return false;
        }
        let changed = self.changes.subscribe();
        let confirmed = async { self.confirm_state(self.limits.proposal_retry_interval).await.is_ok() };
        let undone = async {
            while self.has_committed_own_drain(endpoint) {
                let _ = changed.recv().await;
            }
            false
        };
        future::or(undone, confirmed).await
    }

    /// Whether a drain of the endpoint by this node is in force in the committed state as applied here.
    fn has_committed_own_drain(&self, endpoint: &str) -> bool {
        let agreed = self.agreed();
        let local_id = agreed.local_id();
        let committed = agreed.state().drains.get(endpoint);
        committed.is_some_and(|drains| drains.iter().any(|drain| drain.node == local_id))
    }

    /// Adds a new drain of an endpoint, which takes effect here at once, and sends it to the peers and to the disk.
    fn request_drain(&self, endpoint: &str) -> DrainId {
        let (local_id, now) = (self.agreed().local_id(), self.clock.now());
        let limit = self.limits.pending_drains;
        let drain_id = self.drains.borrow_mut().pending.request_drain(endpoint, local_id, now, limit);
        self.mark_endpoints_changed([endpoint.to_string()]);
        log::info!("fleet: endpoint {endpoint} is drained here");
        self.changes.notify();
        self.broadcast_pending_drains();
        self.persist_pending_drains();
        self.act_as_leader();
        drain_id
    }

    /// Undoes all drains of an endpoint that this node knows of, committed or pending. Returns once the undrain is
    /// committed and applied here, or once a majority has confirmed that there is none. Returns at once if there is
    /// neither a drain nor an endpoint of this name. An endpoint that the inventory marks as draining stays out of
    /// service.
    ///
    /// # Errors
    ///
    /// [`NoMajority`] if the confirmation or the commit takes longer than the agreement timeout. The endpoint then stays
    /// drained, if it was, unless the outcome is unknown.
    pub async fn undrain(&self, endpoint: &str) -> Result<(), NoMajority> {
        if self.known_drains(endpoint).is_empty() {
            if !self.agreed().state().hosts.contains_key(endpoint) {
                return Ok(());
            }
            // Without an undrain of its own, a request that is not confirmed has no effect.
            let confirmed = self.confirm_state(self.limits.agreement_timeout).await;
            confirmed.map_err(|_| NoMajority::NotProposed)?;
        }
        let drains = self.known_drains(endpoint);
        if drains.is_empty() {
            return Ok(());
        }
        let change = Change::Undrain { host: endpoint.to_string(), drains: drains.into_iter().collect() };
        self.commit_change(change).await
    }

    /// The drains of an endpoint, committed or not.
    fn known_drains(&self, endpoint: &str) -> BTreeSet<DrainId> {
        let mut known = self.drains().pending.drains_of(endpoint);
        if let Some(committed) = self.agreed().state().drains.get(endpoint) {
            known.extend(committed);
        }
        known
    }

    /// Waits until the log has resolved a drain, by committing or undoing it.
    async fn wait_until_resolved(&self, endpoint: &str, drain_id: DrainId, changed: &Receiver<()>) {
        while !self.agreed().state().is_resolved(endpoint, drain_id) {
            let _ = changed.recv().await;
        }
    }

    /// Waits until a version of the pending drains is on disk, or the storage has failed.
    async fn wait_until_persisted(&self, version: u64, changed: &Receiver<()>) {
        while self.drains().persisted_version < version && self.agreed().storage_failure().is_none() {
            let _ = changed.recv().await;
        }
    }

    /// Merges a peer's pending drains with this node's. New ones are forwarded to all peers, because this node may
    /// reach peers that the sender does not.
    pub(super) fn receive_pending_drains(&self, received: Vec<PendingDrain>) {
        let has_changed = {
            let agreed = self.agreed();
            self.mark_endpoints_changed(received.iter().map(|pending| pending.host.clone()));
            let mut drains = self.drains.borrow_mut();
            drains.pending.merge(received, agreed.state(), self.limits.pending_drains)
        };
        if has_changed {
            self.changes.notify();
            self.persist_pending_drains();
            self.broadcast_pending_drains();
            self.act_as_leader();
        }
    }

    /// Removes pending drains that the log has resolved. Those that it has committed stay in force as part of the
    /// committed state.
    pub(super) fn remove_settled_drains(&self) {
        let settled = {
            let agreed = self.agreed();
            self.drains.borrow_mut().pending.remove_resolved(agreed.state())
        };
        if settled.is_empty() {
            return;
        }
        self.mark_endpoints_changed(settled.into_iter().map(|pending| pending.host));
        self.persist_pending_drains();
    }

    /// Queues the pending drains for writing to disk, if they have changed since the last time. If the store's queue is
    /// full, the next round of the event loop retries.
    pub(super) fn persist_pending_drains(&self) {
        let mut drains = self.drains.borrow_mut();
        let version = drains.pending.version();
        if drains.submitted_version < version
            && self.send_to_store(StoreCommand::PersistDrains { drains: drains.pending.all(), version })
        {
            drains.submitted_version = version;
        }
    }

    /// Sends the pending drains again to each connected peer that lacks some, by its last heartbeat: a message may be lost
    /// while a link is cut. If there are many, the peers get them with their heartbeats only.
    pub(super) fn repeat_pending_drains(&self) {
        let drains = self.drains();
        let pending = drains.pending();
        if pending.is_empty() || pending.len() > MAX_REPEATED_DRAINS {
            return;
        }
        let digest = pending.digest();
        let message = PeerMessage::PendingDrains(pending.all()).encode();
        let peers = self.peers();
        for link in peers.links().filter(|link| link.is_up()) {
            let status = peers.status(link.peer_id());
            if status.is_none_or(|status| status.heartbeat.pending_drains_digest != digest) {
                link.send(&message);
            }
        }
    }

    /// Sends all pending drains to all connected peers.
    fn broadcast_pending_drains(&self) {
        let drains = self.drains().pending.all();
        self.broadcast(&PeerMessage::PendingDrains(drains));
    }
}
