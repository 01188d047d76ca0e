//! Former names of the fleet's operations, by which the daemon calls them. To be removed with the renaming of the
//! daemon: each stands for the operation that it forwards to.

use super::{Files, Fleet, LocalNode};
use crate::engine::admission::AdmissionPolicy;
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::engine::observations::Observation;
use crate::engine::outcome_window::OutcomeCounts;
use crate::engine::{PeerObservation, PollParticipants};
use crate::fleet::recovery::slow_start::SlowStartPolicy;
use crate::store::store_thread::StoreEvent;
use async_channel::Receiver;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Former name of [`LocalNode`].
pub type Me = LocalNode;

impl Fleet {
    /// See [`Fleet::run`].
    pub async fn go_on(self: &Rc<Fleet>) {
        self.run().await;
    }

    /// See [`Fleet::handle_store_events`].
    pub async fn hear_store(&self, events: &Receiver<StoreEvent>) {
        self.handle_store_events(events).await;
    }

    /// See [`Fleet::update_own_files`].
    pub fn read_files(&self, update: impl FnOnce(&mut Files)) {
        self.update_own_files(update);
    }

    /// See [`Fleet::subscribe`].
    pub fn watch(&self) -> Receiver<()> {
        self.subscribe()
    }

    /// See [`Fleet::committed_settings`].
    pub fn settings(&self) -> Option<String> {
        self.committed_settings()
    }

    /// See [`Fleet::next_endpoint_update`].
    pub fn list_change(&self, list: &mut BTreeMap<String, EndpointRecord>) -> Option<EndpointUpdate> {
        self.next_endpoint_update(list)
    }

    /// See [`Fleet::is_up_to_date`].
    pub fn is_current(&self) -> bool {
        self.is_up_to_date()
    }

    /// See [`Fleet::start_recovery`].
    pub fn returns_by(&self, slow_start: SlowStartPolicy) {
        self.start_recovery(slow_start);
    }

    /// See [`Fleet::is_recovering`].
    pub fn returns(&self) -> bool {
        self.is_recovering()
    }

    /// See [`Fleet::advance_recovery`].
    pub fn return_on(&self, has_list: bool) -> (Option<AdmissionPolicy>, Option<PollParticipants>) {
        let rules = self.advance_recovery(has_list);
        (rules.admission, rules.poll_participants)
    }

    /// See [`Fleet::recovery_status`].
    pub fn service(&self) -> super::RecoveryStatus {
        self.recovery_status()
    }

    /// See [`Fleet::record_observations`].
    pub fn observe(&self, observations: &[Observation]) {
        self.record_observations(observations);
    }

    /// See [`Fleet::update_zones`].
    pub fn look_at_zones(&self, outcomes: &BTreeMap<String, OutcomeCounts>) -> BTreeSet<String> {
        self.update_zones(outcomes)
    }

    /// See [`Fleet::restored_positions`].
    pub fn told_before(&self) -> Vec<PeerObservation> {
        self.restored_positions()
    }

    /// See [`Fleet::next_peer_observations`].
    pub async fn told(&self) -> Option<Vec<PeerObservation>> {
        self.next_peer_observations().await
    }

    /// See [`Fleet::initial_primary_hints`].
    pub fn first_hints(&self) -> Vec<Vec<u8>> {
        self.initial_primary_hints()
    }

    /// See [`Fleet::send_primary_hint`].
    pub fn hint(&self, hint: &[u8]) {
        self.send_primary_hint(hint);
    }

    /// See [`Fleet::next_primary_hint`].
    pub async fn hinted(&self) -> Option<Vec<u8>> {
        self.next_primary_hint().await
    }
}
