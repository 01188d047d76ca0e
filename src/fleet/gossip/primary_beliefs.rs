//! Who is believed to be primary.

use super::{GossipState, OLD};
use crate::ids::{GroupId, NodeId};
use crate::store::state_machine::ClusterState;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Who is believed to be the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryBelief {
    /// The host.
    pub host: String,
    /// When it last called itself that, in this daemon's time.
    pub at: Timestamp,
    /// Who heard it.
    pub by: NodeId,
}

impl GossipState {
    /// Works out who is primary where, from evidence that is not too old; what is new since the last time. What
    /// this daemon heard of a host itself voids every word of others about it from before, and a later primary
    /// is never replaced by an earlier one.
    pub fn update_beliefs(&mut self, now: Timestamp, state: &ClusterState) -> Vec<(GroupId, PrimaryBelief)> {
        let empty = BTreeMap::new();
        let own = self.all.get(&self.me).unwrap_or(&empty);
        let mut found: BTreeMap<GroupId, PrimaryBelief> = BTreeMap::new();
        for (by, hosts) in &self.all {
            for (host, e) in hosts.iter().filter(|(_, e)| e.primary && now - e.at < OLD) {
                let Some(group) = state.hosts.get(host).map(|h| h.group) else { continue };
                let voided = *by != self.me && own.get(host).is_some_and(|o| o.at >= e.at);
                if voided || found.get(&group).is_some_and(|b| (b.at, b.by) >= (e.at, *by)) {
                    continue;
                }
                found.insert(group, PrimaryBelief { host: host.clone(), at: e.at, by: *by });
            }
        }
        let mut new = Vec::new();
        for (group, belief) in found {
            let old = self.beliefs.get(&group);
            if old.is_some_and(|old| old.at > belief.at) {
                continue;
            }
            if old.is_none_or(|old| old.host != belief.host) {
                new.push((group, belief.clone()));
            }
            self.beliefs.insert(group, belief);
        }
        self.beliefs.retain(|group, b| state.hosts.get(&b.host).is_some_and(|h| h.group == *group));
        new
    }

    /// Who is believed to be the primary of each group.
    pub fn primary_beliefs(&self) -> &BTreeMap<GroupId, PrimaryBelief> {
        &self.beliefs
    }

    /// Whether a group's primary is known: the host that is believed to be that has not said otherwise since.
    pub fn is_primary_known(&self, group: GroupId) -> bool {
        let Some(belief) = self.beliefs.get(&group) else { return false };
        let words = self.all.values().filter_map(|hosts| hosts.get(&belief.host));
        words.max_by_key(|e| e.at).is_none_or(|last| last.primary)
    }
}
