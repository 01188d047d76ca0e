//! What was known before this start.

use super::service_rate::RATE;
use super::{GossipRecord, GossipState};
use crate::engine::PeerObservation;
use crate::ids::GroupId;
use crate::store::state_machine::ClusterState;
use crate::time::{LogPosition, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// RestoredHistory what a host says of its capacity is believed so many answers count as if all of it had been in use.
const DOUBT: f64 = 4.0;
/// What says that less is in use says no more than that: loads are rounded, and come by chance.
const LEAST_USED: f64 = 0.1;

/// What was known of a host before this start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RestoredHistory {
    /// When it last called itself the primary.
    pub(super) primary: Option<Timestamp>,
    /// The greatest position that it told, and when.
    pub(super) position: (LogPosition, Timestamp),
    /// Thousandths of a request that it served a second, for all daemons.
    pub(super) rate: u32,
    /// The part of these for which it said what was in use, and that times the part in use.
    pub(super) said: (f64, f64),
}

impl RestoredHistory {
    /// Requests a second that it bears when warm: what it served, by the part of its capacity that this took, as far
    /// as that rests on enough answers.
    pub(super) fn bears(&self) -> f64 {
        let rate = f64::from(self.rate) / 1000.0;
        let (said, used) = self.said;
        if said <= 0.0 {
            return rate;
        }
        let answers = said * RATE.as_micros_f64() / 1e6;
        let used = (used / said * answers + DOUBT) / (answers + DOUBT);
        rate / used.max(LEAST_USED)
    }
}

impl GossipState {
    /// What was known before this start, older by `since` than when it was written: for guesses only.
    pub fn restore(&mut self, now: Timestamp, words: &[GossipRecord], since: TimeDelta) {
        for word in words.iter().filter(|w| w.age >= TimeDelta::ZERO) {
            let at = now.saturating_sub(word.age).saturating_sub(since);
            let known = self.before.entry(word.host.clone()).or_default();
            if word.primary {
                known.primary = known.primary.max(Some(at));
            }
            known.position = known.position.max((word.position, at));
            known.rate = known.rate.saturating_add(word.rate);
            if word.used > 0 {
                let rate = f64::from(word.rate) / 1000.0;
                let used = f64::from(word.used.min(1000)) / 1000.0;
                known.said = (known.said.0 + rate, known.said.1 + rate * used);
            }
        }
    }

    /// Positions from before this start. Each is proof only of what its host once said: one that now tells less has
    /// gone back.
    pub fn restored_positions(&self) -> Vec<PeerObservation> {
        let told = |(host, b): (&String, &RestoredHistory)| PeerObservation {
            endpoint_name: host.clone(),
            primary: b.primary.is_some(),
            position: b.position.0,
            observed_at: b.position.1,
            replaces_poll: false,
        };
        self.before.iter().map(told).collect()
    }

    /// First guesses at the primaries of groups of which nothing was heard since the start, from what was known
    /// before it; of several hosts of a group the one that called itself that last.
    pub fn restored_primaries(&self, state: &ClusterState) -> BTreeMap<GroupId, (String, Timestamp)> {
        let mut found: BTreeMap<GroupId, (String, Timestamp)> = BTreeMap::new();
        for (host, at) in self.before.iter().filter_map(|(host, b)| Some((host, b.primary?))) {
            let Some(group) = state.hosts.get(host).map(|h| h.group) else { continue };
            let later = found.get(&group).is_none_or(|(_, known)| *known < at);
            if later && !self.beliefs.contains_key(&group) {
                found.insert(group, (host.clone(), at));
            }
        }
        found
    }
}
