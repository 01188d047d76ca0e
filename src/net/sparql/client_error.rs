//! Errors that a client of the SPARQL front receives in place of an answer.

use super::error::OperationError;
use super::headers::RETRY_AFTER_MS;
use crate::net::http::error::RequestError;
use crate::net::http::{server, status};
use crate::time::TimeDelta;
use thiserror::Error;

/// The retry-after hint of a rejection for which the decision gave no time.
const DEFAULT_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(1);

/// An error as the client sees it: [`Display`](std::fmt::Display) gives the body of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// The request is malformed, too large or too slow. The connection ends after it.
    #[error(transparent)]
    InvalidRequest(#[from] RequestError),
    /// The request is no operation that can be routed.
    #[error(transparent)]
    InvalidOperation(#[from] OperationError),
    /// The path of the request leads nowhere.
    #[error("nothing is here")]
    NotFound,
    /// No endpoint list names the group.
    #[error("no list names this group")]
    UnknownGroup,
    /// Rejected by admission control or without a usable endpoint; nothing was executed.
    #[error("no score host can take this now")]
    Rejected {
        /// When to retry, where the decision gave a time.
        retry_after: Option<TimeDelta>,
    },
    /// The process has just started and serves nothing yet; nothing was executed.
    #[error("this daemon has just started")]
    Starting {
        /// When to retry.
        retry_after: TimeDelta,
    },
    /// The process terminates; nothing was executed.
    #[error("the pooler is ending")]
    Terminating {
        /// When to retry, with another process.
        retry_after: TimeDelta,
    },
    /// The connection limit is reached.
    #[error("too many connections")]
    TooManyConnections {
        /// When to connect again.
        retry_after: TimeDelta,
    },
    /// The client's deadline has passed.
    #[error("no answer came in time")]
    DeadlineExceeded,
    /// Failed; an update may have had an effect.
    #[error("the request failed; it may have had an effect")]
    Failed,
    /// The answer is streamed, which HTTP/1.0 cannot tell from one that was cut short.
    #[error("the answer is too long for HTTP/1.0")]
    ChunksUnsupported,
}

impl ClientError {
    /// The status of the response.
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

    /// The retry-after hint of a rejection: a retry is harmless, nothing was executed.
    fn retry_after(&self) -> Option<TimeDelta> {
        match self {
            ClientError::Rejected { retry_after } => Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            ClientError::Starting { retry_after }
            | ClientError::Terminating { retry_after }
            | ClientError::TooManyConnections { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// The complete response.
    pub fn to_response(&self) -> Vec<u8> {
        let text = self.to_string();
        if let Some(retry_after) = self.retry_after() {
            let millis = retry_after.or_zero().as_millis();
            // The standard header counts in seconds: rounded up, so that nobody retries too early because of it.
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
