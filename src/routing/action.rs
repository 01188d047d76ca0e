//! Actions: what the decision module asks the runtime to do.

use crate::ids::{EndpointId, RequestId};
use crate::time::{TimeDelta, Timestamp};

/// Something to do. The runtime carries actions out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When to abandon the attempt; `None`: at the client's deadline.
        stop_at: Option<Timestamp>,
    },
    /// Final answer: rejected, with the promise that a retry by the client is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt. Its outcome is reported all the same.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Set a timer, which is reported by [`super::Event::TimerFired`]. It cannot be cancelled.
    SetTimer {
        /// Time from now.
        span: TimeDelta,
        /// A number that the event hands back.
        timer: u64,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list, or unsubscribe.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the whole endpoint list once.
    FetchList,
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a message to another pooler, or to all of them.
    SendToPeers {
        /// That pooler's number; `None`: all.
        to: Option<u16>,
        /// The message, of 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
