//! The state of gossip: all observations with their versions, how they are merged, and what peers lack.

use super::observation_table::{ObservationTable, ObservationsOfNode, StoredObservation};
use super::primary_beliefs::{PrimaryBelief, PrimaryBeliefs};
use super::record::{GossipDigest, GossipRecord, GossipVersion, MAX_RECORD_AGE};
use super::restored::{RestoredGossip, RestoredPrimary};
use super::service_rate::ServiceRate;
use crate::engine::PeerObservation;
use crate::engine::observations::Observation;
use crate::ids::{GroupId, NodeId};
use crate::store::state_machine::ClusterState;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Minimum time between two sendings of a changed log position of one endpoint: positions move with every commit, and
/// each record costs a message to every peer.
const POSITION_REFRESH: TimeDelta = TimeDelta::from_secs(5);
/// The same while this process recovers and its peers wait for its observations.
const URGENT_POSITION_REFRESH: TimeDelta = TimeDelta::from_millis(200);
/// Peers' observations count as recent up to this age: each is refreshed at least every [`POSITION_REFRESH`], and one
/// refresh may be lost.
pub(super) const MAX_RECENT_AGE: TimeDelta = TimeDelta::from_micros(2 * POSITION_REFRESH.as_micros());

/// How soon observations have to reach the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipUrgency {
    /// With the next exchange of digests.
    Routine,
    /// At once.
    Immediate,
}

/// The latest known version of a node, and when that node's observations last arrived.
#[derive(Clone, Copy, Debug, Default)]
struct KnownVersion {
    version: GossipVersion,
    received_at: Timestamp,
}

/// The observations of endpoints, received by gossip or made by this process.
#[derive(Debug, Default)]
pub struct GossipState {
    pub(super) local_node: NodeId,
    own_version: GossipVersion,
    pub(super) observations: ObservationTable,
    known_versions: BTreeMap<NodeId, KnownVersion>,
    primary_beliefs: PrimaryBeliefs,
    /// The observations from before this process started, read from disk.
    pub(super) restored: RestoredGossip,
    /// The rate at which each endpoint serves this process.
    pub(super) service_rates: BTreeMap<String, ServiceRate>,
}

impl GossipState {
    /// Returns a state without observations. `incarnation` must be greater than at any earlier start of this node.
    pub fn new(local_node: NodeId, incarnation: u64) -> GossipState {
        let own_version = GossipVersion { incarnation, sequence: 0 };
        GossipState { local_node, own_version, ..GossipState::default() }
    }

    /// Records what endpoints reported to this process, and returns how soon it has to be sent to peers. While this
    /// process recovers and peers wait for its observations, the caller passes [`GossipUrgency::Immediate`], which
    /// makes every change urgent.
    pub fn observe(
        &mut self,
        now: Timestamp,
        observations: &[Observation],
        urgency: GossipUrgency,
    ) -> GossipUrgency {
        self.observations.by_node.entry(self.local_node).or_default();
        let mut result = GossipUrgency::Routine;
        for observation in observations {
            if self.observe_one(now, observation, urgency) == GossipUrgency::Immediate {
                result = GossipUrgency::Immediate;
            }
        }
        self.known_versions
            .insert(self.local_node, KnownVersion { version: self.own_version, received_at: now });
        result
    }

    fn observe_one(&mut self, now: Timestamp, new: &Observation, urgency: GossipUrgency) -> GossipUrgency {
        let rate = self.service_rates.entry(new.endpoint_name.clone()).or_insert(ServiceRate::new(now));
        rate.add(now, new.served, new.utilization);
        let service_rate_milli = (rate.rate_rps(now) * 1000.0) as u32;
        let utilization_permille = rate.utilization_permille();

        let own: &mut ObservationsOfNode = self.observations.by_node.entry(self.local_node).or_default();
        let previous = own.get(&new.endpoint_name);
        let role_changed = previous.is_none_or(|previous| previous.is_primary != new.primary);
        let refresh_due = previous.is_none_or(|previous| needs_refresh(previous, new, urgency));
        let position_regressed = new.regression.is_some();
        if !role_changed && !refresh_due && !position_regressed {
            return GossipUrgency::Routine;
        }
        self.own_version.sequence += 1;
        let stored = StoredObservation {
            version: self.own_version,
            is_primary: new.primary,
            position: new.position,
            observed_at: new.observed_at,
            attempts_in_flight: new.in_flight,
            started_at: new.started_at,
            service_rate_milli,
            utilization_permille,
        };
        own.insert(new.endpoint_name.clone(), stored);
        let new_primary = role_changed && new.primary;
        if new_primary || position_regressed { GossipUrgency::Immediate } else { urgency }
    }

    /// The latest known version of each node.
    pub fn digest(&self) -> GossipDigest {
        self.known_versions.iter().map(|(node, known)| (*node, known.version)).collect()
    }

    /// Returns the records that a peer with this digest lacks: this node's own observations, and those of nodes that
    /// the peer does not reach itself (`peer_reaches`). Returns at most `limit` records, the oldest of each node first;
    /// the others follow with the next digest.
    pub fn records_missing_from(
        &self,
        now: Timestamp,
        digest: &[(NodeId, GossipVersion)],
        peer_reaches: impl Fn(NodeId) -> bool,
        limit: usize,
    ) -> Vec<GossipRecord> {
        let versions_at_peer: BTreeMap<NodeId, GossipVersion> = digest.iter().copied().collect();
        let mut records = Vec::new();
        for (node, observations) in &self.observations.by_node {
            if *node != self.local_node && peer_reaches(*node) {
                continue;
            }
            let version_at_peer = versions_at_peer.get(node).copied().unwrap_or_default();
            let mut missing: Vec<(&String, &StoredObservation)> = observations
                .iter()
                .filter(|(_, observation)| observation.version > version_at_peer)
                .collect();
            missing.sort_by_key(|(_, observation)| observation.version);
            missing.truncate(limit.saturating_sub(records.len()));
            for (endpoint, observation) in missing {
                records.push(observation.to_record(now, *node, endpoint));
            }
        }
        records
    }

    /// Merges the records of a peer. It ignores observations of endpoints that are not on the committed list, of nodes
    /// that are not members and of this node, and records with implausible ages.
    pub fn merge(&mut self, now: Timestamp, records: Vec<GossipRecord>, state: &ClusterState) {
        for record in records {
            self.merge_one(now, record, state);
        }
    }

    fn merge_one(&mut self, now: Timestamp, record: GossipRecord, state: &ClusterState) {
        let observer = record.observer;
        let is_member = state.members.contains_key(&observer);
        if observer == self.local_node || !is_member || !record.has_plausible_ages() {
            return;
        }
        let known = self.known_versions.get(&observer).copied().unwrap_or_default().version;
        if record.version.incarnation > known.incarnation {
            // The node has restarted: its earlier observations are no longer valid.
            self.observations.by_node.remove(&observer);
        } else if record.version < known {
            return;
        }
        let version = record.version.max(known);
        self.known_versions.insert(observer, KnownVersion { version, received_at: now });
        if state.hosts.contains_key(&record.endpoint) {
            let observation = StoredObservation::from_record(now, &record);
            self.observations.by_node.entry(observer).or_default().insert(record.endpoint, observation);
        }
    }

    /// Removes endpoints that are no longer listed, and nodes that are not members or of which no observation has
    /// arrived for [`MAX_RECORD_AGE`].
    pub fn remove_departed(&mut self, now: Timestamp, state: &ClusterState) {
        let local_node = self.local_node;
        self.known_versions.retain(|node, known| {
            let is_current = state.members.contains_key(node) && now - known.received_at < MAX_RECORD_AGE;
            *node == local_node || is_current
        });
        let known_versions = &self.known_versions;
        self.observations.by_node.retain(|node, observations| {
            observations.retain(|endpoint, _| state.hosts.contains_key(endpoint));
            known_versions.contains_key(node)
        });
        self.service_rates.retain(|endpoint, _| state.hosts.contains_key(endpoint));
    }

    /// Updates the believed primaries from recent observations, and returns the groups whose believed primary has
    /// changed. A claim is never replaced by an earlier one.
    pub fn update_beliefs(
        &mut self,
        now: Timestamp,
        state: &ClusterState,
    ) -> BTreeMap<GroupId, PrimaryBelief> {
        self.primary_beliefs.update(now, self.local_node, &self.observations, state)
    }

    /// The believed primary of each group.
    pub fn primary_beliefs(&self) -> &BTreeMap<GroupId, PrimaryBelief> {
        self.primary_beliefs.by_group()
    }

    /// Whether a group has a believed primary that no later observation contradicts.
    pub fn is_primary_known(&self, group: GroupId) -> bool {
        let Some(belief) = self.primary_beliefs().get(&group) else { return false };
        let latest = self.observations.about(&belief.endpoint).max_by_key(|(_, latest)| latest.observed_at);
        latest.is_none_or(|(_, latest)| latest.is_primary)
    }

    /// All observations, to be stored on disk. Own records carry the peak service rate if it is greater than the
    /// current one: after the next start it shows how much the endpoint can serve.
    pub fn records_to_persist(&self, now: Timestamp) -> Vec<GossipRecord> {
        let mut records = self.records_missing_from(now, &[], |_| false, usize::MAX);
        for record in &mut records {
            if record.observer != self.local_node {
                continue;
            }
            let Some(rate) = self.service_rates.get(&record.endpoint) else { continue };
            let peak = rate.peak();
            let peak_milli = (peak.rate_rps * 1000.0) as u32;
            if peak_milli >= record.service_rate_milli {
                record.service_rate_milli = peak_milli;
                record.utilization_permille = peak.utilization_permille;
            }
        }
        records
    }

    /// Adds records that were read from disk, `elapsed` after they were written. They serve first guesses only.
    pub fn restore(&mut self, now: Timestamp, records: &[GossipRecord], elapsed: TimeDelta) {
        self.restored.add(now, records, elapsed);
    }

    /// Log positions from before this start. They only prove what their endpoints once reported: a lower
    /// position reported now shows that the endpoint's log was rolled back.
    pub fn restored_positions(&self) -> Vec<PeerObservation> {
        self.restored.positions()
    }

    /// The primaries observed before this start, as guesses for groups without a believed primary.
    pub fn restored_primaries(&self, state: &ClusterState) -> BTreeMap<GroupId, RestoredPrimary> {
        self.restored.primaries(state, |group| self.primary_beliefs().contains_key(&group))
    }

    /// Converts records of peers for the engine, leaving out those whose age is out of range.
    pub fn peer_observations(now: Timestamp, records: &[GossipRecord]) -> Vec<PeerObservation> {
        records.iter().filter_map(|record| record.to_peer_observation(now)).collect()
    }

    /// When an endpoint started: the latest start that any node observed; `None` if not known.
    pub fn started_at(&self, endpoint: &str) -> Option<Timestamp> {
        self.observations.about(endpoint).filter_map(|(_, observation)| observation.started_at).max()
    }

    /// When an endpoint last reported anything to any node; `None` if never.
    pub fn last_heard(&self, endpoint: &str) -> Option<Timestamp> {
        let observed =
            self.observations.about(endpoint).map(|(_, observation)| observation.observed_at).max();
        let served = self.service_rates.get(endpoint).map(ServiceRate::updated_at);
        observed.max(served)
    }

    /// Attempts that all nodes together had in flight to an endpoint when they last observed it.
    pub fn attempts_in_flight(&self, endpoint: &str) -> u32 {
        let observations = self.observations.about(endpoint);
        observations.map(|(_, observation)| u32::from(observation.attempts_in_flight)).sum()
    }

    /// The number of observations stored, of all nodes.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether no node's observations are stored.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Lists all observations for operators, one per line: endpoint, observer, role, position, age in ms, attempts in
    /// flight.
    pub fn describe(&self, now: Timestamp, node_name: impl Fn(NodeId) -> String) -> Vec<String> {
        let mut lines = Vec::new();
        for endpoint in self.observations.endpoints() {
            for (node, observation) in self.observations.about(endpoint) {
                let role = if observation.is_primary { "primary" } else { "replica" };
                let position = observation.position.as_millis();
                let age = observation.age(now).as_millis();
                let node = node_name(node);
                let in_flight = observation.attempts_in_flight;
                lines.push(format!("{endpoint} {node} {role} {position} {age} {in_flight}"));
            }
        }
        lines
    }
}

/// Whether an observation has to be sent again although the endpoint's role has not changed.
fn needs_refresh(previous: &StoredObservation, new: &Observation, urgency: GossipUrgency) -> bool {
    let interval = match urgency {
        GossipUrgency::Routine => POSITION_REFRESH,
        GossipUrgency::Immediate => URGENT_POSITION_REFRESH,
    };
    let position_moved =
        new.observed_at - previous.observed_at >= interval && new.position != previous.position;
    let became_busy_or_idle = (previous.attempts_in_flight == 0) != (new.in_flight == 0);
    position_moved || became_busy_or_idle
}
