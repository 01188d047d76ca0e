//! Violations that the checks find.

use crate::{LogPosition, Timestamp};
use std::time::Duration;
use thiserror::Error;

/// A property that a history violates, and where.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CheckError {
    /// A log line does not have the form that its text promises.
    #[error("the log of node {node} has a malformed line: {line}")]
    MalformedLogLine {
        /// The node's index.
        node: usize,
        /// The line.
        line: String,
    },
    /// A node applied entries out of order.
    #[error("node {node} applied entry {index} after entry {previous}")]
    OutOfOrder {
        /// The node's index.
        node: usize,
        /// The entry that came late, or twice.
        index: u64,
        /// The entry applied before it.
        previous: u64,
    },
    /// Two nodes applied different entries at one index.
    #[error("at index {index} node {first_node} applied {first:?} and node {second_node} {second:?}")]
    Diverged {
        /// The index.
        index: u64,
        /// A node.
        first_node: usize,
        /// What it applied.
        first: String,
        /// Another node.
        second_node: usize,
        /// What that one applied.
        second: String,
    },
    /// A node applied an entry before a majority had it on disk.
    #[error("node {node} applied entry {index} at {applied_at:?}, when no majority had it on disk")]
    NoMajority {
        /// The node's index.
        node: usize,
        /// The entry.
        index: u64,
        /// When it was applied.
        applied_at: Timestamp,
    },
    /// A read was served with data that is too old.
    #[error("the read {request_id} required {required:?} and was served with {observed:?}")]
    StaleRead {
        /// The request.
        request_id: u64,
        /// The position that the data had to contain.
        required: LogPosition,
        /// The position of the data.
        observed: LogPosition,
    },
    /// A read of a write that is lost was served.
    #[error(
        "the read {request_id} of the session's write {required:?} was served, although that write is lost"
    )]
    LostWriteServed {
        /// The request.
        request_id: u64,
        /// The position of the lost write.
        required: LogPosition,
    },
    /// A session was told that its write is lost, which it is not.
    #[error("the read {request_id} was told that the write {required:?} is lost, which it is not")]
    FalseLossReported {
        /// The request.
        request_id: u64,
        /// The position of the write.
        required: LogPosition,
    },
    /// A request got no response.
    #[error("the request {request_id} to node {node} has no response")]
    NoResponse {
        /// The request.
        request_id: u64,
        /// The node's index.
        node: usize,
    },
    /// A response came too late.
    #[error("the response to request {request_id} of node {node} took {latency:?}")]
    LateResponse {
        /// The request.
        request_id: u64,
        /// The node's index.
        node: usize,
        /// From sending to response.
        latency: Duration,
    },
    /// Two attempts of a request were at endpoints at the same time.
    #[error("attempts of request {request_id} were at {first} and {second} at the same time")]
    OverlappingAttempts {
        /// The request.
        request_id: u64,
        /// The endpoint of the earlier attempt.
        first: String,
        /// The endpoint of the later one.
        second: String,
    },
    /// A write without an idempotency key was executed more than once.
    #[error("the write {request_id} was executed {executions} times")]
    DuplicateWrite {
        /// The request.
        request_id: u64,
        /// How often.
        executions: usize,
    },
    /// A drained endpoint was sent a request.
    #[error("{endpoint} was sent request {request_id} {lateness:?} after its drain had taken effect")]
    ArrivalWhileDrained {
        /// The endpoint's name.
        endpoint: String,
        /// The request.
        request_id: u64,
        /// Since the drain took effect.
        lateness: Duration,
    },
    /// A cold endpoint got more requests than it bears.
    #[error(
        "{endpoint} got {requests} requests in the second from {since_start:?} after its start, and bears {limit:.0}"
    )]
    ColdEndpointOverloaded {
        /// The endpoint's name.
        endpoint: String,
        /// Requests in that second.
        requests: usize,
        /// The beginning of that second, from the endpoint's start.
        since_start: Duration,
        /// The bound in it.
        limit: f64,
    },
}
