//! The state of a request from its arrival to its final answer, and of its attempts.

use super::group::QueuePosition;
use super::{Consistency, EndpointId, GroupId, RequestId, TimeDelta, Timestamp};

/// Which endpoints a request may be sent to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPath {
    /// A replica that is fresh enough, or the primary if there is none.
    Read,
    /// Only the primary. For writes, and for strong reads if replicas reject reads that need fresher data.
    Write,
}

/// Identifies one attempt. Ordered by the request, then by the attempt's number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// Counted from 0 in the order of sending.
    pub(super) number: u8,
}

/// Where an attempt is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct SendTarget {
    pub(super) endpoint: EndpointId,
    /// The last time at which the endpoint's position proves that its data is fresh enough; `None` if the request needs
    /// no proof that expires.
    pub(super) fresh_until: Option<Timestamp>,
}

impl SendTarget {
    /// An endpoint that may serve the request whenever the attempt is written.
    pub(super) fn without_expiry(endpoint: EndpointId) -> SendTarget {
        SendTarget { endpoint, fresh_until: None }
    }
}

/// One sending of a request to an endpoint.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Timestamp,
    /// Whether its outcome is still pending.
    pub(super) open: bool,
    /// Whether the endpoint may have received it: for any outcome but a failed connection.
    pub(super) may_have_arrived: bool,
    /// This attempt counts as overtaken once the endpoint's `answered_attempts` reaches this number.
    pub(super) overtaken_at_count: u64,
    /// When it ended; `None` while it is open, and after a rejection as overloaded, since the same request may then try
    /// the endpoint again.
    pub(super) unserved_at: Option<Timestamp>,
}

/// An attempt without an outcome, as its endpoint's state keeps it. It may outlive its request.
pub(super) struct InFlightAttempt {
    pub(super) sent_at: Timestamp,
    /// The session whose commit this attempt is, once it is served; `None` on the read path.
    pub(super) writing_session: Option<u64>,
}

/// A request without a final answer yet.
pub(super) struct Request {
    /// Index into `Settings::classes`.
    pub(super) class: usize,
    pub(super) consistency: Option<Consistency>,
    pub(super) path: RequestPath,
    pub(super) latency_objective: TimeDelta,
    pub(super) group: GroupId,
    pub(super) arrived_at: Timestamp,
    /// End of the latency objective, which includes an allowance for the client's estimate of the service time.
    pub(super) objective_at: Timestamp,
    /// A response after this has no value.
    pub(super) value_ends_at: Timestamp,
    /// When the client stops waiting for the answer.
    pub(super) deadline: Timestamp,
    /// Commit time of the last write that a session read must reflect; `None` if there is none.
    pub(super) required_commit: Option<Timestamp>,
    pub(super) session: u64,
    pub(super) attempts: Vec<Attempt>,
    /// When the earliest of its attempts that may have run without being served was sent; `None` if there is none.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// Whether a part of the response has been sent to the client, so that no other attempt can replace it.
    pub(super) response_started: bool,
    /// Its place in its group's queue; `None` while it is not queued.
    pub(super) queue_position: Option<QueuePosition>,
    /// When it first waited for a probe; `None` if it never did.
    pub(super) waiting_for_probe_since: Option<Timestamp>,
    /// Number of attempts that ended in [`super::AttemptOutcome::Error`].
    pub(super) error_count: u32,
    /// Whether an attempt was considered lost and cancelled. Done only once per request, since a long-running request
    /// would never complete otherwise.
    pub(super) lost_attempt_cancelled: bool,
}

impl Request {
    pub(super) fn attempt(&self, number: u8) -> Option<&Attempt> {
        self.attempts.get(usize::from(number))
    }

    /// The session whose commit an attempt of this request is, once it is served; `None` on the read path.
    pub(super) fn writing_session(&self) -> Option<u64> {
        (self.path == RequestPath::Write).then_some(self.session)
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.open)
    }
}
