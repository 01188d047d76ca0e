//! Errors that the PostgreSQL front sends to clients as an ErrorResponse.

use super::codec::{self, ProtocolViolation, Severity};
use super::sqlstate::SqlState;
use super::statement::StatementError;
use crate::time::TimeDelta;
use thiserror::Error;

/// Lower bound of the retry-after hint: a hint of 0 ms would make the client retry immediately.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(1);

/// An error as the client receives it: [`Display`](std::fmt::Display) yields the message field of the ErrorResponse,
/// [`ClientError::sqlstate`] its code. Clients decide from the code alone whether they may retry.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// The received bytes are not a valid message. Fatal, because the start of the next message is unknown.
    #[error(transparent)]
    ProtocolViolation(#[from] ProtocolViolation),
    /// The client sent a message of the extended query protocol, or a FunctionCall.
    #[error("only simple queries are spoken here")]
    ExtendedQueryUnsupported,
    /// The routing comment of the statement is missing or invalid.
    #[error(transparent)]
    InvalidStatement(#[from] StatementError),
    /// The routing comment names a class that is not configured.
    #[error("unknown class")]
    UnknownClass,
    /// Another open request has the same id.
    #[error("a request with this id is open")]
    DuplicateRequestId,
    /// No endpoint list contains the group.
    #[error("no list names this group")]
    UnknownGroup,
    /// Rejected by admission control, or because no endpoint is usable; nothing was executed.
    #[error("no score host can take this now")]
    Rejected {
        /// Delay after which to retry; `None` if the router set none.
        retry_after: Option<TimeDelta>,
    },
    /// The pooler is shutting down; nothing was executed.
    #[error("the pooler is ending")]
    Terminating {
        /// Delay after which to retry on another node.
        retry_after: TimeDelta,
    },
    /// The client's deadline passed before an answer arrived.
    #[error("no answer came in time")]
    DeadlineExceeded,
    /// The request failed; the statement may have had an effect.
    #[error("the request failed")]
    Failed,
    /// Answer to the readiness query while the pooler is drained.
    #[error("drained: clients are to go elsewhere")]
    Drained,
    /// The limit of client connections is reached. Fatal.
    #[error("too many connections")]
    TooManyConnections {
        /// Delay after which to connect again.
        retry_after: TimeDelta,
    },
    /// A connection with an incomplete request was closed to free its file descriptor for another one. Fatal.
    #[error("no room for a request that is not whole")]
    Evicted,
    /// The client did not complete a request within its timeout. Fatal.
    #[error("no whole request came in time")]
    RequestTimeout,
    /// The memory budget for long messages is exhausted. Fatal.
    #[error("no room for a message of this length")]
    MessageBudgetExhausted,
}

impl ClientError {
    /// The SQLSTATE that clients receive for this error.
    pub fn sqlstate(&self) -> SqlState {
        match self {
            ClientError::ProtocolViolation(_) => SqlState::PROTOCOL_VIOLATION,
            ClientError::ExtendedQueryUnsupported => SqlState::FEATURE_NOT_SUPPORTED,
            ClientError::InvalidStatement(_) => SqlState::SYNTAX_ERROR,
            ClientError::UnknownClass => SqlState::INVALID_PARAMETER_VALUE,
            ClientError::DuplicateRequestId => SqlState::DUPLICATE_OBJECT,
            ClientError::UnknownGroup => SqlState::UNDEFINED_OBJECT,
            ClientError::Rejected { .. }
            | ClientError::Terminating { .. }
            | ClientError::TooManyConnections { .. } => SqlState::TOO_MANY_CONNECTIONS,
            ClientError::DeadlineExceeded => SqlState::QUERY_CANCELED,
            ClientError::Failed => SqlState::SYSTEM_ERROR,
            ClientError::Drained | ClientError::Evicted => SqlState::CANNOT_CONNECT_NOW,
            ClientError::RequestTimeout => SqlState::IDLE_SESSION_TIMEOUT,
            ClientError::MessageBudgetExhausted => SqlState::OUT_OF_MEMORY,
        }
    }

    /// `Fatal` if the connection is closed after the error.
    fn severity(&self) -> Severity {
        match self {
            ClientError::ProtocolViolation(_)
            | ClientError::TooManyConnections { .. }
            | ClientError::Evicted
            | ClientError::RequestTimeout
            | ClientError::MessageBudgetExhausted => Severity::Fatal,
            _ => Severity::Error,
        }
    }

    /// The retry-after hint, at least [`MIN_RETRY_AFTER`]; `None` for errors without one.
    fn retry_after(&self) -> Option<TimeDelta> {
        let retry_after = match self {
            ClientError::Rejected { retry_after } => *retry_after,
            ClientError::Terminating { retry_after } | ClientError::TooManyConnections { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        };
        retry_after.map(|hint| hint.max(MIN_RETRY_AFTER))
    }

    /// Appends the ErrorResponse to `out`, without ReadyForQuery.
    pub fn encode(&self, out: &mut Vec<u8>) {
        codec::put_error_response(out, self.severity(), self.sqlstate(), self, self.retry_after());
    }

    /// Encodes the ErrorResponse without ReadyForQuery: for fatal errors, and for messages up to the next Sync.
    pub fn to_error_response(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.encode(&mut out);
        out
    }

    /// Encodes the complete answer to a failed query: ErrorResponse, then ReadyForQuery.
    pub fn to_query_answer(&self) -> Vec<u8> {
        let mut out = self.to_error_response();
        codec::put_ready_for_query(&mut out);
        out
    }
}
