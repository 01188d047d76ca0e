//! Observations of endpoints from before this start, as read from disk.
//!
//! They serve first guesses only: they are not sent to peers, do not prove anything, and are replaced by whatever is
//! observed after the start.

use super::record::GossipRecord;
use super::service_rate::RATE_DECAY;
use crate::engine::PeerObservation;
use crate::ids::GroupId;
use crate::store::state_machine::ClusterState;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Number of assumed responses at full utilization that are averaged with the reported utilization: without them, a few
/// reports of a low utilization could give a capacity many times the rate served.
const PRIOR_ANSWERS_AT_FULL_UTILIZATION: f64 = 4.0;
/// A lower utilization counts as this: endpoints round it, and it varies by chance.
const MIN_UTILIZATION: f64 = 0.1;

/// A guess at the primary of a group, from before this start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredPrimary {
    /// The endpoint's name.
    pub endpoint: String,
    /// When the endpoint last reported itself as the primary, by this process's clock.
    pub observed_at: Timestamp,
}

/// The observations of one endpoint from before this start, summarized.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RestoredEndpoint {
    /// When the endpoint last reported itself as the primary.
    primary_at: Option<Timestamp>,
    /// The greatest log position that the endpoint reported, and when it did.
    position: LogPosition,
    position_at: Timestamp,
    /// Rate at which the endpoint served all peers together, in thousandths of a request per second.
    service_rate_milli: u32,
    /// The sum of the service rates, in requests per second, of the records that contain a utilization, and the sum of
    /// the products of rate and utilization.
    reported_rate_rps: f64,
    utilized_rate_rps: f64,
}

impl RestoredEndpoint {
    fn add(&mut self, record: &GossipRecord, observed_at: Timestamp) {
        if record.is_primary {
            self.primary_at = self.primary_at.max(Some(observed_at));
        }
        if (record.position, observed_at) > (self.position, self.position_at) {
            self.position = record.position;
            self.position_at = observed_at;
        }
        self.service_rate_milli = self.service_rate_milli.saturating_add(record.service_rate_milli);
        if record.utilization_permille > 0 {
            let rate_rps = f64::from(record.service_rate_milli) / 1000.0;
            let utilization = f64::from(record.utilization_permille.min(1000)) / 1000.0;
            self.reported_rate_rps += rate_rps;
            self.utilized_rate_rps += rate_rps * utilization;
        }
    }

    /// Whether the endpoint reported its utilization.
    pub(super) fn reported_utilization(&self) -> bool {
        self.reported_rate_rps > 0.0
    }

    /// Requests per second that the endpoint can serve when warm: the rate served divided by the utilization. The fewer
    /// responses the reported utilization is based on, the closer to 1 is the utilization that is assumed.
    pub(super) fn warm_capacity_rps(&self) -> f64 {
        let rate_rps = f64::from(self.service_rate_milli) / 1000.0;
        if !self.reported_utilization() {
            return rate_rps;
        }
        let answers = self.reported_rate_rps * RATE_DECAY.as_micros_f64() / 1e6;
        let reported = self.utilized_rate_rps / self.reported_rate_rps;
        let prior = PRIOR_ANSWERS_AT_FULL_UTILIZATION;
        let utilization = (reported * answers + prior) / (answers + prior);
        rate_rps / utilization.max(MIN_UTILIZATION)
    }
}

/// The observations of all endpoints from before this start, summarized.
#[derive(Debug, Default)]
pub(super) struct RestoredGossip {
    by_endpoint: BTreeMap<String, RestoredEndpoint>,
}

impl RestoredGossip {
    /// Adds records that were written `elapsed` before `now`.
    pub(super) fn add(&mut self, now: Timestamp, records: &[GossipRecord], elapsed: TimeDelta) {
        for record in records {
            if record.age < TimeDelta::ZERO {
                continue;
            }
            let observed_at = now.saturating_sub(record.age).saturating_sub(elapsed);
            self.by_endpoint.entry(record.endpoint.clone()).or_default().add(record, observed_at);
        }
    }

    pub(super) fn get(&self, endpoint: &str) -> Option<&RestoredEndpoint> {
        self.by_endpoint.get(endpoint)
    }

    /// The greatest log position that each endpoint reported.
    pub(super) fn positions(&self) -> Vec<PeerObservation> {
        let mut positions = Vec::new();
        for (endpoint, restored) in &self.by_endpoint {
            positions.push(PeerObservation {
                endpoint_name: endpoint.clone(),
                primary: restored.primary_at.is_some(),
                position: restored.position,
                observed_at: restored.position_at,
                replaces_poll: false,
            });
        }
        positions
    }

    /// Returns for each group the endpoint that last reported itself as the primary. Endpoints that `state` does not
    /// list and groups for which `is_known` holds are left out.
    pub(super) fn primaries(
        &self,
        state: &ClusterState,
        is_known: impl Fn(GroupId) -> bool,
    ) -> BTreeMap<GroupId, RestoredPrimary> {
        let mut primaries: BTreeMap<GroupId, RestoredPrimary> = BTreeMap::new();
        for (endpoint, restored) in &self.by_endpoint {
            let Some(observed_at) = restored.primary_at else { continue };
            let Some(group) = state.hosts.get(endpoint).map(|host| host.group) else { continue };
            let is_later = primaries.get(&group).is_none_or(|known| known.observed_at < observed_at);
            if is_later && !is_known(group) {
                primaries.insert(group, RestoredPrimary { endpoint: endpoint.clone(), observed_at });
            }
        }
        primaries
    }
}
