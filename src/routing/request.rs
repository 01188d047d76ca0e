//! State of a request from its arrival to its final answer, and of its attempts.

use super::group::QueuePosition;
use super::{Consistency, EndpointId, GroupId, RequestId, TimeDelta, Timestamp};

/// Which endpoints a request may be sent to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPath {
    /// To a replica that is fresh enough, or to the primary where none is.
    Read,
    /// To the primary only: writes, and strong reads where replicas reject what they may not answer.
    Write,
}

/// Identifies one attempt. Ordered by the request, then by the attempt's number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// Counts from 0 in the order of sending.
    pub(super) number: u8,
}

/// A request that was sent to an endpoint.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Timestamp,
    /// Its outcome has yet to come.
    pub(super) open: bool,
    /// The endpoint may have received it: any outcome but a failed connection.
    pub(super) may_have_arrived: bool,
    /// The endpoint's `answered_attempts` from which on this attempt counts as overtaken.
    pub(super) overtaken_at_count: u64,
    /// When it ended without a response for the client, other than by a rejection for overload.
    pub(super) unserved_at: Option<Timestamp>,
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
    /// A response by then meets the latency objective, which grows with the request's own work.
    pub(super) objective_at: Timestamp,
    /// A response after this has no value.
    pub(super) value_ends_at: Timestamp,
    /// The client gives up.
    pub(super) deadline: Timestamp,
    /// For a session read: commit time of the last write that the response must reflect.
    pub(super) required_commit: Option<Timestamp>,
    pub(super) session: u64,
    pub(super) attempts: Vec<Attempt>,
    /// When the first attempt was sent that may have run without being served.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// The response has begun to reach the client: no other attempt can replace it.
    pub(super) response_started: bool,
    /// Its place in its group's queue; `None` while it is not queued.
    pub(super) queue_position: Option<QueuePosition>,
    pub(super) waiting_for_probe_since: Option<Timestamp>,
    /// Attempts that ended in [`super::AttemptOutcome::Error`].
    pub(super) error_outcomes: u32,
    /// An attempt was taken for lost and cancelled. Once at most, or long work would never complete.
    pub(super) lost_attempt_cancelled: bool,
}

impl Request {
    pub(super) fn attempt(&self, number: u8) -> Option<&Attempt> {
        self.attempts.get(usize::from(number))
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.open)
    }
}
