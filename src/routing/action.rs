//! What the decision module can ask for.

use crate::ids::{EndpointId, RequestId};
use crate::time::{TimeDelta, Timestamp};

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When to abandon it; `None`: when the client does.
        stop_at: Option<Timestamp>,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Ask for a `Wake`.
    SetTimer {
        /// From now.
        span: TimeDelta,
        /// Handed back.
        timer: u64,
    },
    /// Probe a member.
    Probe {
        /// The member.
        endpoint: EndpointId,
    },
    /// Subscribe to list changes, or stop.
    Subscribe {
        /// On or off.
        on: bool,
    },
    /// Ask for the whole list once.
    FetchList,
    /// Close idle connections to a member.
    CloseIdle {
        /// The member.
        endpoint: EndpointId,
    },
    /// A message to another driver, or to all of them.
    SendToPeers {
        /// Its number; `None`: all.
        to: Option<u16>,
        /// The message, 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// A line for the operators.
    Log {
        /// The line.
        text: String,
    },
}
