//! The records about endpoints that peers exchange.

use crate::engine::PeerObservation;
use crate::engine::poll_scheduler;
use crate::ids::NodeId;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

/// A record that states a longer time since its endpoint's start is rejected: some thousand years, so that arithmetic with
/// it does not overflow.
const MAX_UPTIME: TimeDelta = TimeDelta::from_micros(Timestamp::LATEST_VALID.as_micros());

/// Records of this age or older are rejected, and a node is removed if none of its observations arrived for this long.
pub(super) const MAX_RECORD_AGE: TimeDelta = TimeDelta::from_secs(600);

/// The version of one node's observations: the node's incarnation and a counter within it.
///
/// Peers compare versions to find out what the other one lacks. Field order is part of the message format and
/// determines the ordering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// Identifies the start of the node; each later start has a greater value.
    pub incarnation: u64,
    /// Number of observations since that start.
    pub sequence: u64,
}

/// The latest known version of each node, sent to peers for comparison.
pub type GossipDigest = Vec<(NodeId, GossipVersion)>;

/// What one node observed about one endpoint, as sent to peers and stored on disk.
///
/// Field order is part of the message format and of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRecord {
    /// The node that made the observation.
    pub observer: NodeId,
    /// The version of the observation among those of its observer.
    pub version: GossipVersion,
    /// The endpoint's name.
    pub endpoint: String,
    /// Whether the endpoint reported itself as the primary.
    pub is_primary: bool,
    /// The log position that the endpoint reported, by the endpoint's clock.
    pub position: LogPosition,
    /// Age of the observation when the record was written.
    pub age: TimeDelta,
    /// Attempts that the observer had in flight to the endpoint at that time.
    pub attempts_in_flight: u16,
    /// Time since the endpoint started; `None` if not known.
    pub uptime: Option<TimeDelta>,
    /// Rate at which the endpoint served the observer, in thousandths of a request per second.
    pub service_rate_milli: u32,
    /// The endpoint's reported utilization, in thousandths; 0 if it reports none.
    pub utilization_permille: u16,
}

impl GossipRecord {
    /// Whether the ages are plausible: not negative, the observation younger than [`MAX_RECORD_AGE`], and the endpoint not
    /// older than [`MAX_UPTIME`].
    pub(super) fn has_plausible_ages(&self) -> bool {
        let age_in_range = TimeDelta::ZERO <= self.age && self.age < MAX_RECORD_AGE;
        let uptime_in_range =
            self.uptime.is_none_or(|uptime| (TimeDelta::ZERO..=MAX_UPTIME).contains(&uptime));
        age_in_range && uptime_in_range
    }

    /// Converts the record for the engine; `None` if its age is out of range.
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
