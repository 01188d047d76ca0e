//! Stores all observations, by observing node and by endpoint.

use super::record::{GossipRecord, GossipVersion};
use crate::ids::NodeId;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// What one node observed about one endpoint; times are by this process's clock.
#[derive(Clone, Debug)]
pub(super) struct StoredObservation {
    pub(super) version: GossipVersion,
    pub(super) is_primary: bool,
    pub(super) position: LogPosition,
    pub(super) observed_at: Timestamp,
    pub(super) attempts_in_flight: u16,
    pub(super) started_at: Option<Timestamp>,
    pub(super) service_rate_milli: u32,
    pub(super) utilization_permille: u16,
}

impl StoredObservation {
    pub(super) fn age(&self, now: Timestamp) -> TimeDelta {
        now - self.observed_at
    }

    /// Converts the observation to a record to send: times become ages.
    pub(super) fn to_record(&self, now: Timestamp, observer: NodeId, endpoint: &str) -> GossipRecord {
        GossipRecord {
            observer,
            version: self.version,
            endpoint: endpoint.to_string(),
            is_primary: self.is_primary,
            position: self.position,
            age: self.age(now).or_zero(),
            attempts_in_flight: self.attempts_in_flight,
            uptime: self.started_at.map(|started_at| (now - started_at).or_zero()),
            service_rate_milli: self.service_rate_milli,
            utilization_permille: self.utilization_permille,
        }
    }

    /// Returns the observation carried by a record that was received at `now`.
    pub(super) fn from_record(now: Timestamp, record: &GossipRecord) -> StoredObservation {
        StoredObservation {
            version: record.version,
            is_primary: record.is_primary,
            position: record.position,
            observed_at: now - record.age,
            attempts_in_flight: record.attempts_in_flight,
            started_at: record.uptime.map(|uptime| now - uptime),
            service_rate_milli: record.service_rate_milli,
            utilization_permille: record.utilization_permille,
        }
    }
}

/// The observations of one node, by endpoint name.
pub(super) type ObservationsOfNode = BTreeMap<String, StoredObservation>;

/// The observations of all nodes: the latest of each node about each endpoint.
#[derive(Debug, Default)]
pub(super) struct ObservationTable {
    pub(super) by_node: BTreeMap<NodeId, ObservationsOfNode>,
}

impl ObservationTable {
    /// The last observation of each node about one endpoint, ordered by node.
    pub(super) fn about(&self, endpoint: &str) -> impl Iterator<Item = (NodeId, &StoredObservation)> {
        self.by_node.iter().filter_map(move |(node, observations)| {
            let observation = observations.get(endpoint)?;
            Some((*node, observation))
        })
    }

    /// All observations with their node and endpoint, ordered by node, then endpoint.
    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &String, &StoredObservation)> {
        self.by_node.iter().flat_map(|(node, observations)| {
            observations.iter().map(|(endpoint, observation)| (*node, endpoint, observation))
        })
    }

    /// The endpoints observed by any node.
    pub(super) fn endpoints(&self) -> BTreeSet<&String> {
        self.by_node.values().flat_map(BTreeMap::keys).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.by_node.values().map(BTreeMap::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }
}
