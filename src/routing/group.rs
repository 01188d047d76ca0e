//! State of a group: its ring of endpoints, its believed primary and its queued requests.

use super::decayed_rate::DecayedRate;
use super::request::RequestPath;
use super::{EndpointId, RequestId, Timestamp};
use std::collections::BTreeSet;

/// A group: one primary and its replicas.
#[derive(Default)]
pub(super) struct Group {
    /// Its endpoints that the list has not removed. In sorted order they form the ring on which a write looks for
    /// the primary.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// The believed primary.
    pub(super) primary: Option<EndpointId>,
    /// A round of the ring found no primary: writes stay queued until a role names one or the timer fires.
    pub(super) awaiting_primary: bool,
    /// The only write that looks for the primary along the ring; other writes wait for its result.
    pub(super) discovery_request: Option<RequestId>,
    /// Endpoints that were tried in this round of the ring.
    pub(super) tried_in_round: BTreeSet<EndpointId>,
    /// When the discovery timer fires next, or last fired.
    pub(super) discovery_timer_at: Option<Timestamp>,
    pub(super) queued: RequestQueues,
    /// Attempts that this pooler sends to the group.
    pub(super) send_rate: DecayedRate,
}

impl Group {
    /// Believes `endpoint` to be the primary, which ends any discovery.
    pub(super) fn set_primary(&mut self, endpoint: EndpointId) {
        self.primary = Some(endpoint);
        self.awaiting_primary = false;
        self.discovery_request = None;
    }

    /// Whether `endpoint` is the believed primary and nothing searches for another.
    pub(super) fn is_settled_on(&self, endpoint: EndpointId) -> bool {
        self.primary == Some(endpoint) && !self.awaiting_primary && self.discovery_request.is_none()
    }

    /// Whether there is anything left to remember about it.
    pub(super) fn is_in_use(&self) -> bool {
        !self.endpoints.is_empty() || !self.queued.is_empty() || self.discovery_request.is_some()
    }
}

/// The queued requests of a group, in the order in which they are dispatched.
#[derive(Default)]
pub(super) struct RequestQueues {
    reads: BTreeSet<QueuePosition>,
    writes: BTreeSet<QueuePosition>,
}

impl RequestQueues {
    pub(super) fn on_path(&self, path: RequestPath) -> &BTreeSet<QueuePosition> {
        match path {
            RequestPath::Read => &self.reads,
            RequestPath::Write => &self.writes,
        }
    }

    pub(super) fn on_path_mut(&mut self, path: RequestPath) -> &mut BTreeSet<QueuePosition> {
        match path {
            RequestPath::Read => &mut self.reads,
            RequestPath::Write => &mut self.writes,
        }
    }

    fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.writes.is_empty()
    }
}

/// The place of a queued request. Ordered by urgency, then by age (request ids grow).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) urgency: Urgency,
    pub(super) request: RequestId,
}

/// How urgent a queued request is. Requests that can still meet their objective go first, each kind by its next
/// point in time: the order of the variants matters.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// It can still meet its latency objective, which ends then.
    WithinObjective(Timestamp),
    /// It will be late; its deadline is then.
    PastObjective(Timestamp),
}
