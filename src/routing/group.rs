//! State of a group: its ring of endpoints, its believed primary and its queued requests.

use super::decayed_rate::DecayedRate;
use super::request::RequestPath;
use super::{EndpointId, RequestId, Timestamp};
use std::collections::BTreeSet;

/// The state that the router keeps of a group, which consists of one primary and its replicas.
#[derive(Default)]
pub(super) struct Group {
    /// Its endpoints that the list has not removed. In sorted order they form the ring along which a write searches for
    /// the primary.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// The believed primary: the endpoint that is the primary according to the latest information. If there is
    /// none when the first write arrives, the first endpoint of the ring.
    pub(super) primary: Option<EndpointId>,
    /// Whether a round of the ring found no primary or the primary is suspected. Writes stay queued until an endpoint's
    /// report, a peer's hint or the endpoint list names a primary. Until then
    /// [`super::timers::Timer::PrimaryDiscovery`] sends one of them to one endpoint at a time.
    pub(super) awaiting_primary: bool,
    /// The one write that searches for the primary along the ring; `None` if no write does. The group's other writes
    /// stay queued meanwhile.
    pub(super) discovery_request: Option<RequestId>,
    /// Endpoints to which a write was sent in the current round of the ring, and the believed primary that was lost.
    pub(super) tried_in_round: BTreeSet<EndpointId>,
    /// When [`super::timers::Timer::PrimaryDiscovery`] runs next, or ran last.
    pub(super) discovery_timer_at: Option<Timestamp>,
    pub(super) queued: RequestQueues,
    /// Rate of the attempts that this pooler sends to the group.
    pub(super) send_rate: DecayedRate,
}

impl Group {
    /// Makes `endpoint` the believed primary, which ends a search for the primary.
    pub(super) fn set_primary(&mut self, endpoint: EndpointId) {
        self.primary = Some(endpoint);
        self.awaiting_primary = false;
        self.discovery_request = None;
    }

    /// Whether `endpoint` is the believed primary and no search for another one is in progress.
    pub(super) fn is_settled_on(&self, endpoint: EndpointId) -> bool {
        self.primary == Some(endpoint) && !self.awaiting_primary && self.discovery_request.is_none()
    }

    /// Whether the group has endpoints, queued requests or a search for its primary, so that its state is kept.
    pub(super) fn is_in_use(&self) -> bool {
        !self.endpoints.is_empty() || !self.queued.is_empty() || self.discovery_request.is_some()
    }
}

/// The queued requests of a group by path, each queue in dispatch order.
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

/// The place of a request in its queue. Ordered by urgency, then by age, since request ids increase.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) urgency: Urgency,
    pub(super) request: RequestId,
}

/// How urgent a queued request is. The order of the variants matters: requests that can still meet their latency
/// objective go first. Within a variant the earlier time goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// The request can still meet its latency objective, which ends at this time.
    WithinObjective(Timestamp),
    /// The request can no longer meet its latency objective; its deadline is at this time.
    PastObjective(Timestamp),
}
