//! Errors that a client of the PostgreSQL front receives as an ErrorResponse.

use super::codec::{self, ProtocolViolation, Severity};
use super::sqlstate::SqlState;
use super::statement::StatementError;
use crate::time::TimeDelta;
use thiserror::Error;

/// The retry-after hint of a rejection is never shorter than this: a hint of 0 would ask for an immediate retry.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(1);

/// An error as the client sees it: [`Display`](std::fmt::Display) gives the message of the ErrorResponse,
/// [`ClientError::sqlstate`] its code. Clients decide by the code alone whether they may retry.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// Bytes that are no message of the protocol. Fatal: the start of the next message is unknown.
    #[error(transparent)]
    ProtocolViolation(#[from] ProtocolViolation),
    /// A message of the extended query protocol.
    #[error("only simple queries are spoken here")]
    ExtendedQueryUnsupported,
    /// The statement's comment cannot be read.
    #[error(transparent)]
    InvalidStatement(#[from] StatementError),
    /// The comment names a class that the settings do not have.
    #[error("unknown class")]
    UnknownClass,
    /// Another open request has the same id.
    #[error("a request with this id is open")]
    DuplicateRequestId,
    /// No endpoint list names the group.
    #[error("no list names this group")]
    UnknownGroup,
    /// Rejected by admission control or without a usable endpoint; nothing was executed.
    #[error("no score host can take this now")]
    Rejected {
        /// When to retry, where the decision gave a time.
        retry_after: Option<TimeDelta>,
    },
    /// The process terminates; nothing was executed.
    #[error("the pooler is ending")]
    Terminating {
        /// When to retry, with another process.
        retry_after: TimeDelta,
    },
    /// The client's deadline has passed.
    #[error("no answer came in time")]
    DeadlineExceeded,
    /// Failed; the statement may have had an effect.
    #[error("the request failed")]
    Failed,
    /// The answer to the readiness query while the process is drained.
    #[error("drained: clients are to go elsewhere")]
    Drained,
    /// The connection limit is reached. Fatal.
    #[error("too many connections")]
    TooManyConnections {
        /// When to connect again.
        retry_after: TimeDelta,
    },
    /// The descriptor of a connection with an incomplete request is needed for others. Fatal.
    #[error("no room for a request that is not whole")]
    Evicted,
    /// No complete request arrived in time. Fatal.
    #[error("no whole request came in time")]
    RequestTimeout,
    /// The memory budget for long messages is used up. Fatal.
    #[error("no room for a message of this length")]
    MessageBudgetExhausted,
}

impl ClientError {
    /// The code of the error.
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

    /// Whether the connection survives the error.
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

    /// The retry-after hint, which clients find in the field for details, in milliseconds.
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

    /// Appends the ErrorResponse.
    pub fn encode(&self, out: &mut Vec<u8>) {
        codec::put_error_response(out, self.severity(), self.sqlstate(), self, self.retry_after());
    }

    /// The ErrorResponse alone.
    pub fn to_error_response(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.encode(&mut out);
        out
    }

    /// The complete answer to a query: the ErrorResponse and ReadyForQuery.
    pub fn to_query_answer(&self) -> Vec<u8> {
        let mut out = self.to_error_response();
        codec::put_ready_for_query(&mut out);
        out
    }
}
