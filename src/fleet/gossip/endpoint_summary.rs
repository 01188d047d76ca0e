//! Summarizes the observations of one endpoint at a moment, for recovery decisions.

use super::primary_beliefs::MAX_CLAIM_AGE;
use super::restored::RestoredEndpoint;
use super::state::{GossipState, MAX_RECENT_AGE};
use crate::time::Timestamp;

/// A summary of the observations of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSummary {
    /// The endpoint reported itself as the primary to this process, or recently to a peer.
    pub is_primary: bool,
    /// Number of nodes to which the endpoint last reported itself as the primary, except for claims that are too old.
    pub primary_claims: usize,
    /// The endpoint reported a log position to this process, or recently to a peer.
    pub position_known: bool,
    /// When the endpoint started; `None` if not known.
    pub started_at: Option<Timestamp>,
    /// Requests per second that the endpoint can serve when warm, from its service rate for all peers together before
    /// this process started and the utilization that it reported with it; 0 if not known.
    pub warm_capacity_rps: f64,
    /// Whether the endpoint reported its own utilization before this process started.
    pub utilization_reported: bool,
    /// Requests per second that the endpoint serves for all peers together now.
    pub current_rate_rps: f64,
}

impl GossipState {
    /// Summarizes the observations of an endpoint as of `now`.
    ///
    /// This process's own observations were all made since its start and always count; those of peers count if they are
    /// recent. Observations from before the endpoint's last start count only for its capacity.
    pub fn endpoint_summary(&self, now: Timestamp, endpoint: &str) -> EndpointSummary {
        let restored = self.restored.get(endpoint);
        let started_at = self.started_at(endpoint);
        let mut summary = EndpointSummary {
            started_at,
            warm_capacity_rps: restored.map_or(0.0, RestoredEndpoint::warm_capacity_rps),
            utilization_reported: restored.is_some_and(RestoredEndpoint::reported_utilization),
            ..EndpointSummary::default()
        };
        let mut peer_rate_milli = 0;
        for (node, observation) in self.observations.about(endpoint) {
            let is_own = node == self.local_node;
            let age = observation.age(now);
            if !is_own && age <= MAX_RECENT_AGE {
                peer_rate_milli += u64::from(observation.service_rate_milli);
            }
            if started_at.is_some_and(|started_at| observation.observed_at < started_at) {
                continue;
            }
            let is_recent = is_own || age < MAX_RECENT_AGE;
            summary.is_primary |= is_recent && observation.is_primary;
            summary.position_known |= is_recent && observation.position.is_known();
            summary.primary_claims += usize::from(observation.is_primary && age < MAX_CLAIM_AGE);
        }
        let own_rate_rps = self.service_rates.get(endpoint).map_or(0.0, |rate| rate.rate_rps(now));
        summary.current_rate_rps = own_rate_rps + peer_rate_milli as f64 / 1000.0;
        summary
    }
}
