//! What the router keeps of a request and its attempts.

use super::group::QueuePosition;
use super::*;

pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Timestamp,
    pub(super) open: bool,
    /// Its member has had it whole, or may have.
    pub(super) may_have_arrived: bool,
    /// It is overtaken for good once its member has answered so many.
    pub(super) overtaken_at_count: u64,
    /// When it ended without an answer for the client.
    pub(super) unserved_at: Option<Timestamp>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) consistency: Option<Consistency>,
    /// It goes the way of writes.
    pub(super) writes: bool,
    pub(super) latency_objective: TimeDelta,
    pub(super) group: GroupId,
    pub(super) arrived_at: Timestamp,
    pub(super) objective_at: Timestamp,
    /// After this an answer is worth nothing.
    pub(super) value_ends_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// For a session read: the commit its data must include.
    pub(super) required_commit: Option<Timestamp>,
    pub(super) session: u64,
    pub(super) attempts: Vec<Attempt>,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run_since: Option<Timestamp>,
    pub(super) response_started: bool,
    /// Its place among the held.
    pub(super) queue_position: Option<QueuePosition>,
    /// When it began to wait for a probe.
    pub(super) waiting_for_probe_since: Option<Timestamp>,
    pub(super) error_outcomes: u32,
    /// An attempt was taken for lost: only once, or long work would never be done.
    pub(super) lost_attempt_cancelled: bool,
}
