//! Which endpoint of each group is believed to be the primary.

use super::observation_table::{ObservationTable, ObservationsOfNode};
use crate::ids::{GroupId, NodeId};
use crate::store::state_machine::ClusterState;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// An older claim to be the primary is ignored: a failover takes less time than this.
pub(super) const MAX_CLAIM_AGE: TimeDelta = TimeDelta::from_secs(60);

/// The endpoint that is believed to be the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryBelief {
    /// The endpoint's name.
    pub endpoint: String,
    /// When the endpoint last reported itself as the primary, by this process's clock.
    pub observed_at: Timestamp,
    /// The node that observed the claim.
    pub observer: NodeId,
}

/// The believed primary of each group. It is only replaced by a later claim.
#[derive(Debug, Default)]
pub(super) struct PrimaryBeliefs {
    by_group: BTreeMap<GroupId, PrimaryBelief>,
}

impl PrimaryBeliefs {
    pub(super) fn by_group(&self) -> &BTreeMap<GroupId, PrimaryBelief> {
        &self.by_group
    }

    /// Applies the latest claims, and returns the groups whose believed primary has changed.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        local_node: NodeId,
        observations: &ObservationTable,
        state: &ClusterState,
    ) -> BTreeMap<GroupId, PrimaryBelief> {
        let mut changed = BTreeMap::new();
        for (group, belief) in latest_claims(now, local_node, observations, state) {
            let known = self.by_group.get(&group);
            if known.is_some_and(|known| known.observed_at > belief.observed_at) {
                continue;
            }
            if known.is_none_or(|known| known.endpoint != belief.endpoint) {
                changed.insert(group, belief.clone());
            }
            self.by_group.insert(group, belief);
        }
        self.by_group.retain(|group, belief| {
            state.hosts.get(&belief.endpoint).is_some_and(|host| host.group == *group)
        });
        changed
    }
}

/// Returns the latest claim to be the primary of each group, among those that are neither too old nor contradicted.
fn latest_claims(
    now: Timestamp,
    local_node: NodeId,
    observations: &ObservationTable,
    state: &ClusterState,
) -> BTreeMap<GroupId, PrimaryBelief> {
    let no_observations = ObservationsOfNode::new();
    let own_observations = observations.by_node.get(&local_node).unwrap_or(&no_observations);
    let mut claims: BTreeMap<GroupId, PrimaryBelief> = BTreeMap::new();
    for (observer, endpoint, observation) in observations.iter() {
        if !observation.is_primary || observation.age(now) >= MAX_CLAIM_AGE {
            continue;
        }
        let Some(group) = state.hosts.get(endpoint).map(|host| host.group) else { continue };
        // An observation of this process overrides every earlier observation of a peer about the same endpoint.
        let own = own_observations.get(endpoint);
        let contradicted =
            observer != local_node && own.is_some_and(|own| own.observed_at >= observation.observed_at);
        let earlier_than_known = claims
            .get(&group)
            .is_some_and(|known| (known.observed_at, known.observer) >= (observation.observed_at, observer));
        if contradicted || earlier_than_known {
            continue;
        }
        let belief =
            PrimaryBelief { endpoint: endpoint.clone(), observed_at: observation.observed_at, observer };
        claims.insert(group, belief);
    }
    claims
}
