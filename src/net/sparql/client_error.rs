//! Errors that the SPARQL front sends to a client in place of an endpoint's answer.

use super::error::OperationError;
use super::headers::RETRY_AFTER_MS;
use crate::net::http::error::RequestError;
use crate::net::http::{server, status};
use crate::time::TimeDelta;
use thiserror::Error;

/// The retry-after hint of a rejection for which the router set none.
const DEFAULT_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(1);

/// An error response. [`Display`](std::fmt::Display) gives its body.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// The request is malformed, too large or too slow. The connection is closed after the response.
    #[error(transparent)]
    InvalidRequest(#[from] RequestError),
    /// The request is not a valid operation, or lacks what is needed to route it.
    #[error(transparent)]
    InvalidOperation(#[from] OperationError),
    /// The path is neither that of operations nor that of the readiness check.
    #[error("nothing is here")]
    NotFound,
    /// No endpoint list contains the group.
    #[error("no list names this group")]
    UnknownGroup,
    /// Rejected by admission control, or because no endpoint is usable; nothing was executed.
    #[error("no score host can take this now")]
    Rejected {
        /// How long to wait before a retry; `None` if the router set none.
        retry_after: Option<TimeDelta>,
    },
    /// The pooler has just started and cannot serve requests yet; nothing was executed.
    #[error("this daemon has just started")]
    Starting {
        /// How long to wait before a retry.
        retry_after: TimeDelta,
    },
    /// The pooler is shutting down; nothing was executed.
    #[error("the pooler is ending")]
    Terminating {
        /// How long to wait before a retry, which should go to another pooler.
        retry_after: TimeDelta,
    },
    /// The connection limit is reached.
    #[error("too many connections")]
    TooManyConnections {
        /// How long to wait before the next connection.
        retry_after: TimeDelta,
    },
    /// The client's deadline passed. An update may have been executed.
    #[error("no answer came in time")]
    DeadlineExceeded,
    /// An attempt failed; an update may have been executed.
    #[error("the request failed; it may have had an effect")]
    Failed,
    /// The answer is streamed, but the client uses HTTP/1.0: without chunks it could not detect a truncated answer.
    #[error("the answer is too long for HTTP/1.0")]
    ChunksUnsupported,
}

impl ClientError {
    /// The status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            ClientError::InvalidRequest(error) => error.status(),
            ClientError::InvalidOperation(error) => error.status(),
            ClientError::NotFound | ClientError::UnknownGroup => status::NOT_FOUND,
            ClientError::Rejected { .. }
            | ClientError::Starting { .. }
            | ClientError::Terminating { .. }
            | ClientError::TooManyConnections { .. } => status::SERVICE_UNAVAILABLE,
            ClientError::DeadlineExceeded => status::GATEWAY_TIMEOUT,
            ClientError::Failed | ClientError::ChunksUnsupported => status::BAD_GATEWAY,
        }
    }

    /// The retry-after hint; `None` if the request may have been executed or a retry would fail in the same way.
    fn retry_after(&self) -> Option<TimeDelta> {
        match self {
            ClientError::Rejected { retry_after } => Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            ClientError::Starting { retry_after }
            | ClientError::Terminating { retry_after }
            | ClientError::TooManyConnections { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// Encodes the complete response.
    pub fn to_response(&self) -> Vec<u8> {
        let text = self.to_string();
        if let Some(retry_after) = self.retry_after() {
            let millis = retry_after.or_zero().as_millis();
            // Retry-After is in seconds. It is rounded up so that clients that use it do not retry too early.
            let seconds = ((millis + 999) / 1000).max(1).to_string();
            let millis = millis.max(1).to_string();
            return server::text_response(
                self.status(),
                &[("Retry-After", &seconds), (RETRY_AFTER_MS, &millis)],
                &text,
            );
        }
        match self.status() {
            status::METHOD_NOT_ALLOWED => {
                server::text_response(status::METHOD_NOT_ALLOWED, &[("Allow", "GET, POST")], &text)
            }
            other => server::text_response(other, &[], &text),
        }
    }
}
