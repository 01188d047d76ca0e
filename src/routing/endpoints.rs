//! The list of members and what the router keeps of each.

use super::group::Group;
use super::router::*;
use super::timers::Timer;
use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// What the router keeps of a member.
#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    pub(super) availability: Availability,
    pub(super) capacity_units: f64,
    pub(super) started_at: Option<Timestamp>,
    pub(super) listed_as_primary: bool,
    /// The role last told and when; an answer sets it, other sources only where newer.
    pub(super) role: Option<bool>,
    pub(super) role_updated_at: Option<Timestamp>,
    /// The log position, as clock time, that it is proven to have reached.
    pub(super) proven_position: Option<Timestamp>,
    /// How far its position trailed its last answer.
    pub(super) replication_lag: TimeDelta,
    /// When it last answered anything, and how many attempts it has answered.
    pub(super) last_response_at: Option<Timestamp>,
    pub(super) answered_attempts: u64,
    /// Its latency against the mean of the class, smoothed.
    pub(super) relative_latency: f64,
    /// A probe is under way since.
    pub(super) probe_sent_at: Option<Timestamp>,
    /// Attempts out: when each was sent.
    pub(super) in_flight: BTreeMap<(RequestId, u8), Timestamp>,
    /// Attempts it may have out; below one, the share of time in which one may be.
    pub(super) concurrency_limit: f64,
    /// Its last send, and the time between the last two.
    pub(super) last_sent_at: Timestamp,
    pub(super) last_send_interval: TimeDelta,
    pub(super) limit_decreased_at: Timestamp,
    /// Attempts go unanswered; cleared by the next answer.
    pub(super) suspected: bool,
    /// Not to be used before this.
    pub(super) ejected_until: Option<Timestamp>,
    /// Its last attempt found no connection.
    pub(super) unreachable: bool,
    pub(super) consecutive_failures: u32,
    /// Errors since its last good answer.
    pub(super) errors_since_success: u32,
    /// Sends that a cold member may still be given.
    pub(super) slow_start_budget: f64,
    pub(super) slow_start_budget_updated_at: Timestamp,
}

impl Router {
    pub(super) fn update_endpoint_list(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
        out: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            // All drivers fail at once where the list is overloaded: they must not come back at once.
            let wait = DISCOVERY_INTERVAL << self.consecutive_list_failures.min(MAX_BACKOFF_DOUBLINGS);
            self.consecutive_list_failures += 1;
            let apart = TimeDelta::from_micros(self.rng.i64(0..wait.as_micros()));
            self.timers.insert((now + wait + apart, Timer::RetrySubscription));
            return;
        }
        self.consecutive_list_failures *= u32::from(kind == ListKind::Cached);
        if kind != ListKind::Delta {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            let binds = self.settings.only_stated_drain_binds != Some(true);
            for (id, m) in self.endpoints.iter_mut().filter(|(id, _)| binds && !named.contains(id)) {
                m.availability = Availability::Gone;
                self.groups.entry(m.group).or_default().endpoints.remove(id);
            }
        }
        for e in entries {
            self.update_endpoint(now, e);
        }
        self.forget_removed_endpoints(now);
        self.total_capacity_units = self.listed_endpoints().map(|m| m.capacity_units).sum();
        if !std::mem::replace(&mut self.received_first_list, true) {
            let subscribes = self.settings.must_subscribe == Some(true);
            out.extend(subscribes.then_some(Action::Subscribe { on: true }));
            // The design's one probe of each replica by a fresh router.
            let first = self.endpoints.iter().filter(|_| self.settings.may_probe == Some(true));
            let ready = first.filter(|(_, m)| m.availability == Availability::Ready);
            out.extend(ready.map(|(&endpoint, _)| Action::Probe { endpoint }));
        }
    }

    /// Members are replaced for as long as the router runs: what is gone for good is not kept.
    pub(super) fn forget_removed_endpoints(&mut self, now: Timestamp) {
        let old = |m: &EndpointState| {
            m.in_flight.is_empty() && m.last_response_at.is_none_or(|t| now - t > REMOVED_ENDPOINT_RETENTION)
        };
        self.endpoints.retain(|_, m| m.availability != Availability::Gone || !old(m));
        let used = |g: &Group| !(g.endpoints.is_empty() && g.queued.iter().all(BTreeSet::is_empty));
        self.groups.retain(|_, g| used(g) || g.discovery_request.is_some());
    }

    pub(super) fn listed_endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(|m| m.availability != Availability::Gone)
    }

    /// How many members are on the list, and how many of these get nothing new now.
    pub fn avoids(&self, now: Timestamp) -> (usize, usize) {
        let off = |m: &&EndpointState| {
            m.suspected || m.availability != Availability::Ready || Some(now) < m.ejected_until
        };
        (self.listed_endpoints().count(), self.listed_endpoints().filter(off).count())
    }

    pub(super) fn update_endpoint(&mut self, now: Timestamp, e: &EndpointEntry) {
        let m = self.endpoints.entry(e.endpoint).or_insert_with(|| EndpointState {
            group: e.group,
            started_at: Some(Timestamp::MIN),
            concurrency_limit: (INITIAL_LIMIT_FACTOR * self.min_concurrency_limit).max(1.0),
            ..EndpointState::default()
        });
        if m.started_at != e.started_at {
            // Another process: it is cold, holds no role, and what was held against the old one is void.
            m.started_at = e.started_at;
            (m.role, m.suspected, m.consecutive_failures, m.ejected_until) = (None, false, 0, None);
            (m.relative_latency, m.slow_start_budget, m.slow_start_budget_updated_at) =
                (1.0, self.rng.f64(), now);
        }
        let newly_named = e.primary && !m.listed_as_primary;
        m.listed_as_primary = e.primary;
        (m.zone, m.capacity_units) = (e.zone, if e.units > 0.01 { e.units.min(100.0) } else { 0.01 });
        // Where only a stated drain binds, `Gone` says nothing about a member that an earlier list named.
        let alone = self.settings.only_stated_drain_binds == Some(true);
        if !(alone && e.availability == Availability::Gone && m.availability == Availability::Ready) {
            m.availability = e.availability;
        }
        let gone = m.availability == Availability::Gone;
        let unheard = m.role_updated_at.is_none_or(|t| now - t > DISCOVERY_INTERVAL);
        let before = std::mem::replace(&mut m.group, e.group);
        self.groups.entry(before).or_default().endpoints.remove(&e.endpoint);
        let g = self.groups.entry(e.group).or_default();
        g.endpoints.extend((!gone).then_some(e.endpoint));
        // The list trails by seconds: it counts only for a member that has not answered lately.
        if newly_named && unheard && !gone {
            g.primary = Some(e.endpoint);
            (g.awaiting_primary, g.discovery_request) = (false, None);
        }
        self.groups_to_dispatch.insert(e.group);
    }
}
