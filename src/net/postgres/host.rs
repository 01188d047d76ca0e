//! The host side of PostgreSQL's protocol: a startup, then one simple query at a time on a pooled connection.

use super::codec;
use super::response::{BackendResponse, RowLimits};
use super::sqlstate::SqlState;
use super::statement::Statement;
use crate::config::Limits;
use crate::net::answer_stream::StreamChunk;
use crate::net::backend_pool::{AttemptContext, BackendProtocol, ExchangeResult};
use crate::net::buffer::Buffer;
use crate::net::{is_silent, until};
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

/// The user of the StartupMessage, as the platform names it.
const USER: &str = "web";
/// The database of the StartupMessage, as the platform names it.
const DATABASE: &str = "orders";

/// What a host answered to a query: RowDescription, DataRow and CommandComplete.
#[derive(Clone, Debug)]
pub enum QueryAnswer {
    /// The complete answer.
    Buffered(Vec<u8>),
    /// An answer with a long row, as it comes.
    Streamed(Receiver<StreamChunk>),
}

/// PostgreSQL's protocol towards hosts.
pub struct PostgresBackend {
    limits: Rc<Limits>,
    report_fields: Vec<String>,
}

/// A connection to a host that is past its startup.
pub struct BackendConnection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// An answer that was read to its end.
struct ReceivedResponse {
    response: BackendResponse,
    /// Where its long row was streamed to.
    stream: Option<Sender<StreamChunk>>,
}

/// Why an answer could not be read.
#[derive(Debug, Error)]
enum ReceiveError {
    /// The connection broke or ended.
    #[error("the connection was lost")]
    ConnectionLost,
    /// What came is no answer, or stopped in the middle. The connection is of no further use.
    #[error("the answer is malformed or incomplete")]
    Malformed,
    /// Nobody takes the streamed row any more.
    #[error("the client has left")]
    ClientDisconnected,
}

impl PostgresBackend {
    /// Load reports are read with these fields.
    pub fn new(limits: Rc<Limits>, report_fields: Vec<String>) -> PostgresBackend {
        PostgresBackend { limits, report_fields }
    }

    /// Reads an answer to its end. A long row is sent on as it comes, to the channel that `open_stream` gives.
    async fn receive(
        &self,
        connection: &mut BackendConnection,
        mut response: BackendResponse,
        open_stream: impl AsyncFn() -> Sender<StreamChunk>,
    ) -> Result<ReceivedResponse, ReceiveError> {
        let mut stream: Option<Sender<StreamChunk>> = None;
        loop {
            let used = response.feed(connection.buffer.unread()).map_err(|error| {
                log::debug!("host: {error}");
                ReceiveError::Malformed
            })?;
            connection.buffer.consume(used);
            if response.is_streamed() {
                let rows = response.take_rows();
                if !rows.is_empty() {
                    if stream.is_none() {
                        stream = Some(open_stream().await);
                    }
                    send_chunk(stream.as_ref(), rows).await?;
                }
            }
            if response.is_complete() {
                return Ok(ReceivedResponse { response, stream });
            }
            match self.read_more(connection, &response, stream.is_some()).await? {
                Ok(count) if count > 0 => {}
                // The end of the stream in place of ReadyForQuery, after a fatal error.
                _ if response.may_end_with_stream() => return Ok(ReceivedResponse { response, stream }),
                _ => return Err(ReceiveError::ConnectionLost),
            }
        }
    }

    /// Reads once. An answer that has begun must go on within the stall timeout; before that the deadline of the
    /// attempt is the only bound.
    async fn read_more(
        &self,
        connection: &mut BackendConnection,
        response: &BackendResponse,
        is_streaming: bool,
    ) -> Result<io::Result<usize>, ReceiveError> {
        let has_begun = response.has_begun() || !connection.buffer.unread().is_empty();
        let read = connection.buffer.fill(&connection.stream);
        if !has_begun {
            return Ok(read.await);
        }
        let stall_timeout = if is_streaming {
            self.limits.backend_stall_timeout
        } else {
            self.limits.buffered_answer_stall_timeout
        };
        until(Instant::now() + stall_timeout, read).await.ok_or(ReceiveError::Malformed)
    }
}

async fn send_chunk(stream: Option<&Sender<StreamChunk>>, rows: Vec<u8>) -> Result<(), ReceiveError> {
    let Some(stream) = stream else { return Ok(()) };
    stream.send(StreamChunk::Data(rows)).await.map_err(|_| ReceiveError::ClientDisconnected)
}

impl BackendProtocol for PostgresBackend {
    type Request = Arc<Statement>;
    type Answer = QueryAnswer;
    type Connection = BackendConnection;

    async fn handshake(&self, stream: Async<TcpStream>) -> Result<BackendConnection, AttemptOutcome> {
        let mut connection = BackendConnection { stream, buffer: Buffer::default() };
        let startup = codec::encode_startup_message(USER, DATABASE);
        let written = connection.stream.write_all(&startup).await;
        written.map_err(|_| AttemptOutcome::ConnectFailed)?;
        // An answer to a startup has no row: nothing is ever sent there.
        let no_stream = async || async_channel::bounded(1).0;
        let received = self.receive(&mut connection, BackendResponse::to_startup(), no_stream).await;
        let response = received.map_err(|_| AttemptOutcome::ConnectFailed)?.response;
        match response.error() {
            None if response.is_idle() => Ok(connection),
            Some(SqlState::TOO_MANY_CONNECTIONS | SqlState::CANNOT_CONNECT_NOW) => {
                Err(AttemptOutcome::Overloaded)
            }
            _ => Err(AttemptOutcome::ConnectFailed),
        }
    }

    fn is_silent(&self, connection: &BackendConnection) -> bool {
        connection.buffer.unread().is_empty() && is_silent(&connection.stream)
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
        // From its first bytes on a long row is the client's, and the request cannot be retried any more.
        let open_stream = async || {
            let (stream, chunks) = async_channel::bounded(self.limits.answer_chunks);
            attempt.start_response(QueryAnswer::Streamed(chunks)).await;
            stream
        };
        let row_limits = RowLimits {
            max_bytes: self.limits.postgres_row_bytes,
            stream_above_bytes: Some(self.limits.postgres_row_buffer_bytes),
        };
        let response = BackendResponse::to_query(row_limits);
        let received = match self.receive(connection, response, open_stream).await {
            Ok(received) => received,
            Err(ReceiveError::ClientDisconnected) => {
                return ExchangeResult::outcome_only(AttemptOutcome::Cancelled);
            }
            Err(ReceiveError::ConnectionLost) => {
                return ExchangeResult::outcome_only(attempt.connection_lost());
            }
            // It has run, or may have: as with an error of the host. Nothing that it said is used.
            Err(ReceiveError::Malformed) => return ExchangeResult::outcome_only(AttemptOutcome::Error),
        };
        let ReceivedResponse { mut response, stream } = received;
        let outcome = response.outcome();
        let is_served = outcome == AttemptOutcome::Served;
        if let Some(stream) = stream.filter(|_| is_served) {
            // Only a complete answer gets its end; the client may have left meanwhile.
            let _ = stream.send(StreamChunk::End).await;
        }
        ExchangeResult {
            outcome,
            replica_status: response.replica_status(),
            report: response.load_report(&self.report_fields),
            reusable: response.is_idle() && connection.buffer.unread().is_empty(),
            answer: is_served.then(|| QueryAnswer::Buffered(response.take_rows())),
        }
    }
}
