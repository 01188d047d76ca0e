//! The endpoint side of PostgreSQL's protocol: a startup handshake, then one simple query at a time on a pooled
//! connection.

use super::codec;
use super::response::{BackendResponse, RowLimits};
use super::sqlstate::SqlState;
use super::statement::Statement;
use crate::config::Limits;
use crate::net::answer_stream::StreamChunk;
use crate::net::backend_pool::{AttemptContext, BackendProtocol, ExchangeResult};
use crate::net::buffer::Buffer;
use crate::net::turn::Turn;
use crate::net::{is_idle, until};
use crate::routing::AttemptOutcome;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;

/// User name in the StartupMessage; the platform prescribes it.
const USER: &str = "web";
/// Database name in the StartupMessage; the platform prescribes it.
const DATABASE: &str = "orders";

/// An endpoint's answer to a query: the encoded RowDescription, DataRow and CommandComplete messages.
#[derive(Clone, Debug)]
pub enum QueryAnswer {
    /// The complete answer.
    Buffered(Vec<u8>),
    /// An answer with a long row, forwarded in chunks as they arrive.
    Streamed(Receiver<StreamChunk>),
}

/// PostgreSQL's protocol on connections to endpoints.
pub struct PostgresBackend {
    limits: Rc<Limits>,
    report_fields: Vec<String>,
}

/// A connection to an endpoint; the pool holds it only after its startup handshake.
pub struct BackendConnection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    turn: Turn,
}

/// Reasons why an answer could not be received.
#[derive(Debug, Error)]
enum ReceiveError {
    /// The connection failed or was closed.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The received bytes are not a valid answer, or the answer stalled halfway. The connection must not be reused.
    #[error("the answer is malformed or incomplete")]
    Malformed,
    /// The receiver of the streamed row was dropped.
    #[error("the client disconnected")]
    ClientDisconnected,
}

impl PostgresBackend {
    /// `report_fields` names the fields that are read from an endpoint's load report.
    pub fn new(limits: Rc<Limits>, report_fields: Vec<String>) -> PostgresBackend {
        PostgresBackend { limits, report_fields }
    }

    /// Receives an answer until it is complete. A long row is forwarded as it arrives, to the channel that `open_stream`
    /// returns, or discarded if it returns none. Returns the channel of a row that was forwarded.
    async fn receive(
        &self,
        connection: &mut BackendConnection,
        response: &mut BackendResponse,
        open_stream: impl AsyncFn() -> Option<Sender<StreamChunk>>,
    ) -> Result<Option<Sender<StreamChunk>>, ReceiveError> {
        let mut stream: Option<Sender<StreamChunk>> = None;
        loop {
            let consumed = response.feed(connection.buffer.unread()).map_err(|error| {
                log::debug!("endpoint: invalid answer: {error}");
                ReceiveError::Malformed
            })?;
            connection.buffer.consume(consumed);
            if response.is_streamed() {
                let bytes = response.take_result_bytes();
                if !bytes.is_empty() {
                    if stream.is_none() {
                        stream = open_stream().await;
                    }
                    if let Some(stream) = &stream {
                        let sent = stream.send(StreamChunk::Data(bytes)).await;
                        sent.map_err(|_| ReceiveError::ClientDisconnected)?;
                    }
                }
            }
            if response.is_complete() {
                return Ok(stream);
            }
            match self.read_more(connection, response).await? {
                Ok(count) if count > 0 => {}
                // After a fatal error the server closes the connection without sending ReadyForQuery.
                _ if response.allows_end_of_stream() => return Ok(stream),
                _ => return Err(ReceiveError::ConnectionLost),
            }
        }
    }

    /// Receives the rest of a streamed answer whose client has disconnected, and discards the row: the endpoint reports
    /// its position at the end, and with it the commit of a write. The router cancels the attempt if the settings permit
    /// that; otherwise it ends at its deadline, which applies again.
    ///
    /// # Errors
    /// [`ReceiveError::ClientDisconnected`] if the deadline has passed.
    async fn receive_unforwarded(
        &self,
        connection: &mut BackendConnection,
        response: &mut BackendResponse,
        attempt: &AttemptContext<'_, Arc<Statement>, QueryAnswer>,
    ) -> Result<Option<Sender<StreamChunk>>, ReceiveError> {
        let deadline = Instant::now() + attempt.time_left().to_duration();
        let received = until(deadline, self.receive(connection, response, async || None)).await;
        received.unwrap_or(Err(ReceiveError::ClientDisconnected))
    }

    /// Reads once from the socket. After the first bytes of an answer each read is bounded by a stall timeout; before
    /// them only the attempt's deadline applies.
    async fn read_more(
        &self,
        connection: &mut BackendConnection,
        response: &BackendResponse,
    ) -> Result<io::Result<usize>, ReceiveError> {
        let has_started = response.has_started() || !connection.buffer.unread().is_empty();
        connection.turn.step().await;
        let read = connection.buffer.fill(&connection.stream);
        if !has_started {
            return Ok(read.await);
        }
        let stall_timeout = if response.is_streamed() {
            self.limits.backend_stall_timeout
        } else {
            self.limits.buffered_answer_stall_timeout
        };
        until(Instant::now() + stall_timeout, read).await.ok_or(ReceiveError::Malformed)
    }
}

impl BackendProtocol for PostgresBackend {
    type Request = Arc<Statement>;
    type Answer = QueryAnswer;
    type Connection = BackendConnection;

    async fn handshake(&self, stream: Async<TcpStream>) -> Result<BackendConnection, AttemptOutcome> {
        let mut connection = BackendConnection { stream, buffer: Buffer::default(), turn: Turn::default() };
        let startup = codec::encode_startup_message(USER, DATABASE);
        let written = connection.stream.write_all(&startup).await;
        written.map_err(|_| AttemptOutcome::ConnectFailed)?;
        let mut response = BackendResponse::for_startup();
        // The answer to a StartupMessage contains no row.
        let received = self.receive(&mut connection, &mut response, async || None).await;
        received.map_err(|_| AttemptOutcome::ConnectFailed)?;
        match response.error() {
            None if response.is_idle() => Ok(connection),
            Some(SqlState::TOO_MANY_CONNECTIONS | SqlState::CANNOT_CONNECT_NOW) => {
                Err(AttemptOutcome::Overloaded)
            }
            _ => Err(AttemptOutcome::ConnectFailed),
        }
    }

    fn is_silent(&self, connection: &BackendConnection) -> bool {
        connection.buffer.unread().is_empty() && is_idle(&connection.stream)
    }

    async fn exchange(
        &self,
        connection: &mut BackendConnection,
        statement: &Arc<Statement>,
        attempt: &AttemptContext<'_, Arc<Statement>, QueryAnswer>,
    ) -> ExchangeResult<QueryAnswer> {
        let query = codec::encode_query(&statement.with_timeout(attempt.time_left()));
        if connection.stream.write_all(&query).await.is_err() {
            return ExchangeResult::outcome_only(attempt.connection_lost());
        }
        attempt.mark_sent();
        // Once the first bytes of a long row are forwarded to the client, the request cannot be retried.
        let open_stream = async || {
            let (stream, chunks) = async_channel::bounded(self.limits.answer_chunks);
            attempt.start_response(QueryAnswer::Streamed(chunks)).await;
            Some(stream)
        };
        let row_limits = RowLimits {
            max_bytes: self.limits.postgres_row_bytes,
            stream_above_bytes: Some(self.limits.postgres_row_buffer_bytes),
        };
        let mut response = BackendResponse::for_query(row_limits);
        let mut received = self.receive(connection, &mut response, open_stream).await;
        if let Err(ReceiveError::ClientDisconnected) = received {
            received = self.receive_unforwarded(connection, &mut response, attempt).await;
        }
        let stream = match received {
            Ok(stream) => stream,
            Err(ReceiveError::ClientDisconnected) => {
                return ExchangeResult::outcome_only(AttemptOutcome::Cancelled);
            }
            Err(ReceiveError::ConnectionLost) => {
                return ExchangeResult::outcome_only(attempt.connection_lost());
            }
            // The statement may have been executed, as after an ErrorResponse. Nothing from the answer is used.
            Err(ReceiveError::Malformed) => return ExchangeResult::outcome_only(AttemptOutcome::Error),
        };
        let outcome = response.outcome();
        let is_served = outcome == AttemptOutcome::Served;
        if let Some(stream) = stream.filter(|_| is_served) {
            // Marks only a complete answer as such. A send error means that the client has disconnected.
            let _ = stream.send(StreamChunk::End).await;
        }
        ExchangeResult {
            outcome,
            replica_status: response.replica_status(),
            report: response.load_report(&self.report_fields),
            reusable: response.is_idle() && connection.buffer.unread().is_empty(),
            answer: is_served.then(|| QueryAnswer::Buffered(response.take_result_bytes())),
        }
    }
}
