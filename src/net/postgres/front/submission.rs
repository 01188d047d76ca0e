//! Commands of a client that have arrived: decoded, checked and submitted to the engine.

use super::client::{ClientHandler, PendingAnswer};
use super::open_requests::ReservedId;
use crate::engine::FinalAnswer;
use crate::ids::RequestId;
use crate::net::postgres::client_error::ClientError;
use crate::net::postgres::host::QueryAnswer;
use crate::net::postgres::session::SessionAction;
use crate::net::postgres::statement::Statement;
use crate::time::{TimeDelta, Timestamp};
use async_channel::Receiver;
use std::io;
use std::sync::Arc;

/// Owed answers for each pipelined request that a connection may have open: answers to invalid commands are short but
/// may be many, and each command that is read costs one.
const MAX_PENDING_PER_PIPELINED_REQUEST: usize = 2;

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) reply: Receiver<FinalAnswer<QueryAnswer>>,
    /// Bytes of its statement.
    statement_bytes: usize,
    _reserved_id: ReservedId,
}

impl ClientHandler<'_> {
    /// Accepts all commands that have arrived completely, within the limits of a connection.
    ///
    /// # Errors
    /// The client has left.
    pub(super) async fn accept_commands(&mut self) -> io::Result<()> {
        while !self.is_backlogged() {
            let answer = match self.session.next_action() {
                SessionAction::Wait => return Ok(()),
                SessionAction::Write(bytes) => PendingAnswer::Bytes(bytes),
                SessionAction::Close(bytes) => PendingAnswer::Close(bytes),
                SessionAction::EmptyQuery => {
                    self.connection.request_received();
                    PendingAnswer::EmptyQuery
                }
                SessionAction::Query(text) => self.accept_query(&text).await?,
            };
            self.pending.push_back(answer);
        }
        Ok(())
    }

    /// Whether so much is owed that no further command is accepted.
    fn is_backlogged(&self) -> bool {
        let limits = &self.front.limits;
        let mut statement_bytes = 0;
        for answer in &self.pending {
            if let PendingAnswer::Request(request) = answer {
                statement_bytes += request.statement_bytes;
            }
        }
        statement_bytes > limits.read_ahead_bytes
            || self.pending.len() > limits.pipelined_requests * MAX_PENDING_PER_PIPELINED_REQUEST
    }

    async fn accept_query(&mut self, text: &str) -> io::Result<PendingAnswer> {
        let unread = self.session.input_buffer().unread().len();
        let arrived = self.connection.arrival_time(unread);
        if self.connection.has_disconnected_since(arrived) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.connection.request_received();
        match self.submit(text, arrived).await {
            Ok(request) => Ok(PendingAnswer::Request(request)),
            Err(error) => {
                // Its answer is known: it does not count as open while earlier answers are awaited.
                self.session.query_answered();
                Ok(PendingAnswer::Bytes(error.to_query_answer()))
            }
        }
    }

    /// Submits a statement that arrived at `arrived`.
    async fn submit(&self, text: &str, arrived: Timestamp) -> Result<OpenRequest, ClientError> {
        let statement: Statement = text.parse().map_err(|error| {
            log::warn!("client: invalid statement: {error}");
            error
        })?;
        let Some(request) = self.front.incoming_request(&statement) else {
            log::warn!("client: unknown class {:?}", statement.class);
            return Err(ClientError::UnknownClass);
        };
        let Some(reserved_id) = self.front.open_requests.reserve(&statement.id) else {
            log::warn!("client: another open request has the id {:?}", statement.id);
            return Err(ClientError::DuplicateRequestId);
        };
        let limits = &self.front.limits;
        // The answer has to reach the client before it stops waiting.
        let margin = TimeDelta::from(limits.answer_margin);
        let deadline = arrived + (statement.client_timeout - margin).or_zero();
        let submitted = self.front.handle.submit(request, deadline, Arc::new(statement)).await;
        let Some((id, reply)) = submitted else {
            return Err(ClientError::Terminating { retry_after: TimeDelta::from(limits.front_retry_after) });
        };
        Ok(OpenRequest { id, reply, statement_bytes: text.len(), _reserved_id: reserved_id })
    }
}
