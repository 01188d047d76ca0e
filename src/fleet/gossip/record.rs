//! What peers send one another about endpoints.

use crate::engine::PeerObservation;
use crate::engine::poll_scheduler;
use crate::ids::NodeId;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

/// A record as old as this is not accepted, and a node that was not heard for so long is forgotten.
pub(super) const MAX_RECORD_AGE: TimeDelta = TimeDelta::from_secs(600);

/// The version of one node's observations: which start of the node, and how many it has made since.
///
/// Peers compare versions to find out what the other one lacks. Field order is part of the message format and of the
/// ordering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// The start of the node; a later start has a greater value.
    pub incarnation: u64,
    /// Observations since that start.
    pub sequence: u64,
}

/// The latest version known of each node, for peers to compare.
pub type GossipDigest = Vec<(NodeId, GossipVersion)>;

/// What one node observed about one endpoint, as it is sent to peers and kept on disk.
///
/// Field order is part of the message format and of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRecord {
    /// The node that made the observation.
    pub observer: NodeId,
    /// Its version among that node's observations.
    pub version: GossipVersion,
    /// The endpoint's name.
    pub endpoint: String,
    /// The endpoint called itself the primary.
    pub is_primary: bool,
    /// The log position that it reported, by its own clock.
    pub position: LogPosition,
    /// Age of the observation when the record was written.
    pub age: TimeDelta,
    /// Attempts that the observer had in flight there at that time.
    pub attempts_in_flight: u16,
    /// How long ago the endpoint started; `None`: not known.
    pub uptime: Option<TimeDelta>,
    /// What the endpoint served for the observer, in thousandths of a request per second.
    pub service_rate_milli: u32,
    /// The part of its capacity that the endpoint reported to be in use, in thousandths; 0: it reports none.
    pub utilization_permille: u16,
}

impl GossipRecord {
    /// Whether the ages can be true: not of the future, and not older than anything that is still sent.
    pub(super) fn has_plausible_age(&self) -> bool {
        let age_in_range = TimeDelta::ZERO <= self.age && self.age < MAX_RECORD_AGE;
        let uptime_in_range = self.uptime.is_none_or(|uptime| uptime >= TimeDelta::ZERO);
        age_in_range && uptime_in_range
    }

    /// The record as the engine takes observations of peers; `None` if its age is out of range.
    pub(super) fn to_peer_observation(&self, now: Timestamp) -> Option<PeerObservation> {
        if self.age < TimeDelta::ZERO || self.age >= MAX_RECORD_AGE {
            return None;
        }
        Some(PeerObservation {
            endpoint_name: self.endpoint.clone(),
            primary: self.is_primary,
            position: self.position,
            observed_at: now - self.age,
            replaces_poll: self.age < poll_scheduler::OBSERVATION_TTL,
        })
    }
}
