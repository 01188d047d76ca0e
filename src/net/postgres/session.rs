//! The protocol state machine of a client connection, without I/O.
//!
//! The owner appends received bytes to [`Session::input_buffer`] and carries out what [`Session::next_action`] returns:
//!
//! | state | message | next state |
//! | --- | --- | --- |
//! | `Startup` | SSLRequest, GSSENCRequest | `Startup` |
//! | `Startup` | StartupMessage | `Ready` |
//! | `Startup` | CancelRequest | `Closed` |
//! | `Ready` | Query, Sync, FunctionCall | `Ready` |
//! | `Ready` | a message of the extended query protocol | `SkippingUntilSync` |
//! | `SkippingUntilSync` | Sync | `Ready` |
//! | `SkippingUntilSync` | any other message except Terminate | `SkippingUntilSync` |
//! | `Ready`, `SkippingUntilSync` | Terminate | `Closed` |
//! | any | protocol violation | `Closed` |

use super::client_error::ClientError;
use super::codec::{self, Message, ProtocolViolation, StartupKind, backend, frontend};
use crate::config::Limits;
use crate::net::buffer::Buffer;

/// One-byte answer to an encryption request: not supported; the client may continue without encryption.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// State of a client connection, see the table of this module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// The StartupMessage has not arrived yet.
    Startup,
    /// Queries are accepted.
    Ready,
    /// A message of the extended query protocol was answered with an error: messages are discarded until Sync.
    SkippingUntilSync,
    /// The connection is to be closed; further input is ignored.
    Closed,
}

/// Next step for the owner of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Read more bytes, or answer a pending query first if the limit of pending queries is reached.
    Wait,
    /// Write these bytes.
    Write(Vec<u8>),
    /// An empty query, which clients use as a readiness check. Once the pooler is ready, answer it in the order of the
    /// commands with [`Session::empty_query_answer`], then call [`Session::query_answered`].
    EmptyQuery,
    /// The text of a query. Answer it in the order of the commands, then call [`Session::query_answered`].
    Query(String),
    /// Write these bytes, then close the connection.
    Close(Vec<u8>),
}

/// Protocol state of one client connection.
pub struct Session {
    state: SessionState,
    buffer: Buffer,
    max_message_bytes: usize,
    max_startup_bytes: usize,
    /// Number of queries that have no answer yet, empty ones included.
    pending_queries: usize,
    max_pending_queries: usize,
}

impl Session {
    /// The state of a connection that was just accepted.
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

    /// Current state; only [`Self::next_action`] changes it.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// The buffer to which the owner appends received bytes.
    pub fn input_buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    /// Records that the oldest pending query was answered.
    pub fn query_answered(&mut self) {
        self.pending_queries = self.pending_queries.saturating_sub(1);
    }

    /// Encodes the answer to an empty query: EmptyQueryResponse, then ReadyForQuery.
    pub fn empty_query_answer() -> Vec<u8> {
        let mut out = Vec::new();
        codec::put_message(&mut out, backend::EMPTY_QUERY_RESPONSE, &[]);
        codec::put_ready_for_query(&mut out);
        out
    }

    /// Decodes buffered input up to the next message that requires an action.
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
            // Copies the text, because `consume` below removes its bytes from the buffer.
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

    /// Handles a message other than an accepted query; returns `None` if it is discarded.
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
