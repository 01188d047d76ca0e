//! What the router keeps of a request and its attempts.

use super::group::Rank;
use super::*;

pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent: Timestamp,
    pub(super) open: bool,
    /// Its member has had it whole, or may have.
    pub(super) written: bool,
    /// It is overtaken for good once its member has answered so many.
    pub(super) overtaken_at: u64,
    /// When it ended without an answer for the client.
    pub(super) missed_at: Option<Timestamp>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) kind: Option<Consistency>,
    /// It goes the way of writes.
    pub(super) writes: bool,
    pub(super) latency_objective: TimeDelta,
    pub(super) group: GroupId,
    pub(super) arrived: Timestamp,
    pub(super) aim_at: Timestamp,
    /// After this an answer is worth nothing.
    pub(super) end: Timestamp,
    pub(super) deadline: Timestamp,
    /// For a session read: the commit its data must include.
    pub(super) commit: Option<Timestamp>,
    pub(super) session: u64,
    pub(super) attempts: Vec<Attempt>,
    /// When the first attempt that may have run was sent.
    pub(super) first_ran: Option<Timestamp>,
    pub(super) streaming: bool,
    /// Its place among the held.
    pub(super) held: Option<Rank>,
    /// When it began to wait for a probe.
    pub(super) probed: Option<Timestamp>,
    pub(super) errors: u32,
    /// An attempt was taken for lost: only once, or long work would never be done.
    pub(super) moved: bool,
}
