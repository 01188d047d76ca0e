//! Drains: requested by operators here, received from peers, kept on disk until the log has resolved them.
//!
//! A drain only takes traffic away, so it acts wherever it is known, also without a majority. The end of a drain
//! gives traffic back and needs the consensus.

use super::Fleet;
use super::proposals::NoMajority;
use crate::fleet::message::PeerMessage;
use crate::fleet::pending_drains::PendingDrains;
use crate::net::until;
use crate::store::state_machine::{Change, DrainId, PendingDrain};
use crate::store::store_thread::StoreCommand;
use async_channel::Receiver;
use std::collections::BTreeSet;
use std::time::Instant;

/// Drains that are not committed yet, and which version of them is on disk.
pub struct DrainState {
    pending: PendingDrains,
    /// The last version that was handed to the store's thread.
    submitted_version: u64,
    /// The last version that is on disk.
    persisted_version: u64,
}

impl DrainState {
    /// Drains that the storage held.
    pub(super) fn new(pending: PendingDrains) -> DrainState {
        DrainState { pending, submitted_version: 0, persisted_version: 0 }
    }

    /// Drains that are not committed yet.
    pub fn pending(&self) -> &PendingDrains {
        &self.pending
    }

    /// The same, to be changed.
    pub(super) fn pending_mut(&mut self) -> &mut PendingDrains {
        &mut self.pending
    }

    /// The store's thread has written this version.
    pub(super) fn record_persisted(&mut self, version: u64) {
        self.persisted_version = self.persisted_version.max(version);
    }

    /// The storage is a new one: everything has to be written again.
    pub(super) fn storage_replaced(&mut self) {
        self.submitted_version = 0;
    }
}

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// It is committed.
    Committed,
    /// It acts here and at the peers that are reached, and awaits a majority.
    AwaitsMajority,
}

/// The committed inventory has no endpoint of this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no host {0:?}")]
pub struct UnknownEndpoint(pub String);

impl Fleet {
    /// Drains an endpoint: at once here and at all peers that are reached, for good once a majority has committed
    /// it. Returns when that is so, or after the agreement timeout, once the drain is on disk.
    ///
    /// # Errors
    ///
    /// [`UnknownEndpoint`] where the inventory has no such endpoint.
    pub async fn drain(&self, endpoint: &str) -> Result<DrainOutcome, UnknownEndpoint> {
        let drain_id = {
            let agreed = self.agreed();
            if !agreed.state().hosts.contains_key(endpoint) {
                return Err(UnknownEndpoint(endpoint.to_string()));
            }
            if agreed.state().is_drained(endpoint) {
                return Ok(DrainOutcome::Committed);
            }
            self.mark_endpoints_changed([endpoint.to_string()]);
            let mut drains = self.drains.borrow_mut();
            drains.pending.request_drain(endpoint, agreed.local_id(), self.clock.now())
        };
        log::info!("fleet: endpoint {endpoint} is drained here");
        self.changes.notify();
        self.broadcast_pending_drains();
        self.persist_pending_drains();
        self.act_as_leader();
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

    /// Ends the drains of an endpoint that this node knows of, once a majority has committed that.
    ///
    /// # Errors
    ///
    /// [`NoMajority`] where that took longer than the agreement timeout; the endpoint stays drained.
    pub async fn undrain(&self, endpoint: &str) -> Result<(), NoMajority> {
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

    /// Waits until the log has resolved a drain: it is committed, or was undone.
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

    /// Merges the pending drains of a peer. What is new is sent on: a peer that the sender does not reach may be
    /// reached from here.
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

    /// Forgets pending drains that the log has resolved.
    pub(super) fn remove_settled_drains(&self) {
        let settled = {
            let agreed = self.agreed();
            self.drains.borrow_mut().pending.remove_settled(agreed.state())
        };
        if settled.is_empty() {
            return;
        }
        self.mark_endpoints_changed(settled.into_iter().map(|pending| pending.host));
        self.persist_pending_drains();
    }

    /// Has the store's thread write the pending drains, if they have changed. A full queue is tried again with the
    /// next round of the event loop.
    pub(super) fn persist_pending_drains(&self) {
        let mut drains = self.drains.borrow_mut();
        let version = drains.pending.version();
        if drains.submitted_version < version
            && self.send_to_store(StoreCommand::PersistDrains { drains: drains.pending.all(), version })
        {
            drains.submitted_version = version;
        }
    }

    /// Sends all pending drains to all peers.
    fn broadcast_pending_drains(&self) {
        let drains = self.drains().pending.all();
        self.broadcast(&PeerMessage::PendingDrains(drains));
    }
}
