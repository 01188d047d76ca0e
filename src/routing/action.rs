//! Actions: what the router asks its caller, the engine or the simulator adapter, to do.

use crate::ids::{EndpointId, RequestId};
use crate::time::{TimeDelta, Timestamp};

/// An instruction to the caller, which carries out actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint.
    Send {
        /// The request to send.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// When to abandon the attempt; `None` for the client's deadline.
        stop_at: Option<Timestamp>,
        /// The last time at which the attempt may be written: after it, the endpoint's known log position no longer
        /// proves that its data is fresh enough. `None` if there is no such limit.
        fresh_until: Option<Timestamp>,
    },
    /// Final answer: rejected. The client may safely send the request again.
    Reject {
        /// The request to answer.
        id: RequestId,
        /// How long the client should wait before it retries; `None` if the answer carries no such hint.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: failed. The request may have run, or its class is unknown.
    Fail {
        /// The request to answer.
        id: RequestId,
    },
    /// Cancel an attempt. Its outcome must still be reported.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt's number within the request, counted from 0.
        attempt: u8,
    },
    /// Set a timer that fires as [`super::Event::TimerFired`]. It cannot be cancelled.
    SetTimer {
        /// Time from now until the timer fires.
        delay: TimeDelta,
        /// Number of the timer, which the event returns.
        timer: u64,
    },
    /// Send a probe, which ends in [`super::Event::ProbeFinished`].
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list, or unsubscribe from it.
    Subscribe {
        /// `true` to subscribe, `false` to unsubscribe.
        on: bool,
    },
    /// Fetch the whole endpoint list once.
    FetchList,
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint whose connections are closed.
        endpoint: EndpointId,
    },
    /// Send a message to another pooler, or to all of them.
    SendToPeers {
        /// The number of the receiving pooler; `None` for all other poolers.
        to: Option<u16>,
        /// The encoded message, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line, without a line break.
        text: String,
    },
}
