//! The state machine of a client's connection, without I/O.
//!
//! Bytes go into [`Session::input_buffer`], [`Session::next_action`] says what to do about them:
//!
//! | state | on | to |
//! | --- | --- | --- |
//! | `Startup` | SSLRequest, GSSENCRequest | `Startup` |
//! | `Startup` | StartupMessage | `Ready` |
//! | `Startup` | CancelRequest | `Closed` |
//! | `Ready` | Query, Sync, FunctionCall | `Ready` |
//! | `Ready` | a message of the extended query protocol | `SkippingUntilSync` |
//! | `SkippingUntilSync` | Sync | `Ready` |
//! | `SkippingUntilSync` | any other message but Terminate | `SkippingUntilSync` |
//! | `Ready`, `SkippingUntilSync` | Terminate | `Closed` |
//! | any | a violation of the protocol | `Closed` |

use super::client_error::ClientError;
use super::codec::{self, Message, ProtocolViolation, StartupKind, backend, frontend};
use crate::config::Limits;
use crate::net::buffer::Buffer;

/// The one-byte answer to a request for encryption: not supported, the client may go on without.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// State of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// Before the StartupMessage.
    Startup,
    /// Accepts queries.
    Ready,
    /// After an error in the extended query protocol: messages are discarded until Sync.
    SkippingUntilSync,
    /// Closed; nothing is read any more.
    Closed,
}

/// What the owner of a session has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Read more bytes, or answer a pending query first where the limit of pending queries is reached.
    Wait,
    /// Write these bytes.
    Write(Vec<u8>),
    /// An empty query, which clients use as a readiness check: when its turn comes and the process is ready, answer
    /// with [`Session::empty_query_answer`], then call [`Session::query_answered`].
    EmptyQuery,
    /// A query: answer it when its turn comes, then call [`Session::query_answered`].
    Query(String),
    /// Write these bytes, then close the connection.
    Close(Vec<u8>),
}

/// A client's connection.
pub struct Session {
    state: SessionState,
    buffer: Buffer,
    max_message_bytes: usize,
    max_startup_bytes: usize,
    /// Queries that have no answer yet.
    pending_queries: usize,
    max_pending_queries: usize,
}

impl Session {
    /// A connection that has just been accepted.
    pub fn new(limits: &Limits) -> Session {
        Session {
            state: SessionState::Startup,
            buffer: Buffer::default(),
            max_message_bytes: limits.client_message_bytes,
            max_startup_bytes: limits.startup_message_bytes,
            pending_queries: 0,
            max_pending_queries: limits.pipelined_requests,
        }
    }

    /// The state.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// The buffer that received bytes go into.
    pub fn input_buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    /// Notes that the oldest pending query has its answer.
    pub fn query_answered(&mut self) {
        self.pending_queries = self.pending_queries.saturating_sub(1);
    }

    /// The answer to an empty query: EmptyQueryResponse and ReadyForQuery.
    pub fn empty_query_answer() -> Vec<u8> {
        let mut out = Vec::new();
        codec::put_message(&mut out, backend::EMPTY_QUERY_RESPONSE, &[]);
        codec::put_ready_for_query(&mut out);
        out
    }

    /// Decodes what has arrived, up to the next thing to do.
    pub fn next_action(&mut self) -> SessionAction {
        let action = match self.state {
            SessionState::Startup => self.decode_startup(),
            SessionState::Closed => Ok(SessionAction::Wait),
            _ if self.pending_queries >= self.max_pending_queries => Ok(SessionAction::Wait),
            SessionState::Ready | SessionState::SkippingUntilSync => self.decode_messages(),
        };
        action.unwrap_or_else(|violation| {
            log::warn!("client: protocol violation: {violation}");
            self.close(ClientError::from(violation).to_error_response())
        })
    }

    fn close(&mut self, last_bytes: Vec<u8>) -> SessionAction {
        self.state = SessionState::Closed;
        SessionAction::Close(last_bytes)
    }

    fn decode_startup(&mut self) -> Result<SessionAction, ProtocolViolation> {
        let packet = codec::decode_startup(self.buffer.unread(), self.max_startup_bytes)?;
        let Some(packet) = packet else { return Ok(SessionAction::Wait) };
        self.buffer.consume(packet.length);
        Ok(match packet.kind {
            StartupKind::Encryption => SessionAction::Write(ENCRYPTION_REFUSED.to_vec()),
            StartupKind::Cancel => self.close(Vec::new()),
            StartupKind::Startup => {
                self.state = SessionState::Ready;
                let mut answer = Vec::new();
                codec::put_startup_answer(&mut answer);
                SessionAction::Write(answer)
            }
        })
    }

    fn decode_messages(&mut self) -> Result<SessionAction, ProtocolViolation> {
        loop {
            let message = codec::decode_message(self.buffer.unread(), self.max_message_bytes)?;
            let Some(Message { message_type, body, length }) = message else {
                return Ok(SessionAction::Wait);
            };
            // The text is copied before its bytes leave the buffer.
            let query = match message_type {
                frontend::QUERY if self.state == SessionState::Ready => {
                    Some(codec::decode_query(body)?.to_string())
                }
                _ => None,
            };
            let action = match query {
                Some(text) => Some(self.accept_query(text)),
                None => self.handle_message(message_type)?,
            };
            self.buffer.consume(length);
            if let Some(action) = action {
                return Ok(action);
            }
        }
    }

    fn accept_query(&mut self, text: String) -> SessionAction {
        self.pending_queries += 1;
        if text.trim().is_empty() { SessionAction::EmptyQuery } else { SessionAction::Query(text) }
    }

    /// Handles any message but a query; `None` where it is discarded.
    fn handle_message(&mut self, message_type: u8) -> Result<Option<SessionAction>, ProtocolViolation> {
        match message_type {
            frontend::TERMINATE => Ok(Some(self.close(Vec::new()))),
            frontend::SYNC => {
                self.state = SessionState::Ready;
                let mut answer = Vec::new();
                codec::put_ready_for_query(&mut answer);
                Ok(Some(SessionAction::Write(answer)))
            }
            _ if self.state == SessionState::SkippingUntilSync => Ok(None),
            frontend::FUNCTION_CALL => {
                log_unsupported(message_type);
                Ok(Some(SessionAction::Write(ClientError::ExtendedQueryUnsupported.to_query_answer())))
            }
            frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE
            | frontend::FLUSH => {
                log_unsupported(message_type);
                self.state = SessionState::SkippingUntilSync;
                Ok(Some(SessionAction::Write(ClientError::ExtendedQueryUnsupported.to_error_response())))
            }
            _ => Err(ProtocolViolation::UnknownMessageType),
        }
    }
}

fn log_unsupported(message_type: u8) {
    log::warn!("client: message type {:?}: only simple queries are supported", char::from(message_type));
}
