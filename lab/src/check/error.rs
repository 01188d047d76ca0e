//! The violations that checks report.

use crate::endpoint::Arrival;
use crate::{LogPosition, Timestamp};
use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// The connection of an attempt when a later attempt of the same request arrived elsewhere. It tells a true overlap from
/// an endpoint's thread that recorded the end of its attempt late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierConnection {
    /// The pooler had not closed it: both attempts were in flight.
    Open,
    /// The pooler had closed it, or the endpoint had recorded the end of the attempt.
    Closed,
}

impl EarlierConnection {
    /// The connection of `earlier` when `later` arrived.
    pub(super) fn of(earlier: &Arrival, later: &Arrival) -> EarlierConnection {
        if later.open_elsewhere.contains(&earlier.endpoint) {
            EarlierConnection::Open
        } else {
            EarlierConnection::Closed
        }
    }
}

impl fmt::Display for EarlierConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EarlierConnection::Open => "open",
            EarlierConnection::Closed => "closed",
        })
    }
}

/// A violation of a checked property, with its place in the history.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CheckError {
    /// A log line that contains the text of an applied entry cannot be parsed.
    #[error("the log of node {node} has a malformed line: {line}")]
    MalformedLogLine {
        /// The node's index.
        node: usize,
        /// The whole line.
        line: String,
    },
    /// A node applied entries out of order.
    #[error("node {node} applied entry {index} after entry {previous}")]
    OutOfOrder {
        /// The node's index.
        node: usize,
        /// The index of the entry that was applied late or twice.
        index: u64,
        /// The index of the entry applied before it.
        previous: u64,
    },
    /// Two nodes applied different entries at the same index.
    #[error("at index {index} node {first_node} applied {first:?} and node {second_node} {second:?}")]
    Diverged {
        /// The index of the entries.
        index: u64,
        /// The index of one of the nodes.
        first_node: usize,
        /// The entry that it applied.
        first: String,
        /// The index of the other node.
        second_node: usize,
        /// The entry that the other node applied.
        second: String,
    },
    /// A node applied an entry before a majority had it on disk.
    #[error("node {node} applied entry {index} at {applied_at:?}, when no majority had it on disk")]
    NoMajority {
        /// The node's index.
        node: usize,
        /// The index of the entry.
        index: u64,
        /// When it was applied.
        applied_at: Timestamp,
    },
    /// A read was served with data older than the position that it required.
    #[error("the read {request_id} required {required:?} and was served with {observed:?}")]
    StaleRead {
        /// The request's id.
        request_id: u64,
        /// The position that the data had to contain.
        required: LogPosition,
        /// The position of the data.
        observed: LogPosition,
    },
    /// A read that required a lost write was served.
    #[error(
        "the read {request_id} of the session's write {required:?} was served, although that write is lost"
    )]
    LostWriteServed {
        /// The request's id.
        request_id: u64,
        /// The position of the lost write.
        required: LogPosition,
    },
    /// A write was reported as lost to its session although it is not lost.
    #[error("the read {request_id} was told that the write {required:?} is lost although it is not")]
    FalseLossReported {
        /// The request's id.
        request_id: u64,
        /// The position of the write.
        required: LogPosition,
    },
    /// A request got no response.
    #[error("the request {request_id} to node {node} has no response")]
    NoResponse {
        /// The request's id.
        request_id: u64,
        /// The node's index.
        node: usize,
    },
    /// A response took longer than the timeout.
    #[error("the response to request {request_id} of node {node} took {latency:?}")]
    LateResponse {
        /// The request's id.
        request_id: u64,
        /// The node's index.
        node: usize,
        /// From sending the request to its response.
        latency: Duration,
    },
    /// Two attempts of a request were at endpoints at the same time.
    #[error(
        "attempts of request {request_id} were at {first} and {second} at the same time; when the later one arrived, the connection of the earlier one was {earlier_connection}"
    )]
    OverlappingAttempts {
        /// The request's id.
        request_id: u64,
        /// The endpoint of the earlier attempt.
        first: String,
        /// The endpoint of the later one.
        second: String,
        /// The connection of the earlier attempt when the later one arrived.
        earlier_connection: EarlierConnection,
    },
    /// A write without an idempotency key was executed more than once.
    #[error("the write {request_id} was executed {executions} times")]
    DuplicateWrite {
        /// The request's id.
        request_id: u64,
        /// Number of times that the write was executed.
        executions: usize,
    },
    /// A request reached an endpoint after its drain had taken effect.
    #[error("{endpoint} was sent request {request_id} {lateness:?} after its drain had taken effect")]
    ArrivalWhileDrained {
        /// The endpoint's name.
        endpoint: String,
        /// The request's id.
        request_id: u64,
        /// Time since the drain took effect.
        lateness: Duration,
    },
    /// A cold endpoint got more requests within one second than its bound.
    #[error(
        "{endpoint} got {requests} requests in the second from {since_start:?} after its start; its bound is {limit:.0}"
    )]
    ColdEndpointOverloaded {
        /// The endpoint's name.
        endpoint: String,
        /// Number of requests in that second.
        requests: usize,
        /// The start of that second, relative to the endpoint's start.
        since_start: Duration,
        /// The bound for that second.
        limit: f64,
    },
}
