//! Decodes and checks the commands of a client, and submits its requests to the engine.

use super::client::{ClientHandler, PendingAnswer};
use super::open_requests::ReservedId;
use crate::engine::FinalAnswer;
use crate::ids::RequestId;
use crate::net::excerpt::excerpt;
use crate::net::postgres::client_error::ClientError;
use crate::net::postgres::endpoint::QueryAnswer;
use crate::net::postgres::session::SessionAction;
use crate::net::postgres::statement::Statement;
use crate::time::{TimeDelta, Timestamp};
use async_channel::Receiver;
use std::io;
use std::sync::Arc;

/// Bounds the pending answers of a connection, as a multiple of `Limits::pipelined_requests`. Answers to invalid
/// commands do not count as pipelined requests, and each of them is short, but without a bound they could be many.
const MAX_PENDING_PER_PIPELINED_REQUEST: usize = 2;

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) reply: Receiver<FinalAnswer<QueryAnswer>>,
    /// Length of its statement, counted against `Limits::read_ahead_bytes`.
    statement_bytes: usize,
    /// When the client stops waiting for the answer.
    pub(super) deadline: Timestamp,
    pub(super) reserved_id: ReservedId,
}

impl ClientHandler<'_> {
    /// Accepts the commands that have arrived completely, until a limit of the connection is reached or it is paused.
    ///
    /// # Errors
    /// The client has disconnected.
    pub(super) async fn accept_commands(&mut self) -> io::Result<()> {
        while !self.is_backlogged() && self.connection.paused_until().is_none() {
            let unread = self.session.input_buffer().unread().len();
            let action = self.session.next_action();
            let consumed = unread - self.session.input_buffer().unread().len();
            let answer = match action {
                SessionAction::Wait => {
                    if consumed > 0 {
                        // Messages were skipped.
                        self.connection.charge_command(consumed);
                    }
                    return Ok(());
                }
                SessionAction::Write(bytes) => PendingAnswer::Bytes(bytes),
                SessionAction::Close(bytes) => PendingAnswer::Close(bytes),
                SessionAction::EmptyQuery => {
                    self.connection.request_received();
                    PendingAnswer::EmptyQuery
                }
                SessionAction::Query(text) => self.accept_query(&text).await?,
            };
            if !matches!(answer, PendingAnswer::Request(_)) {
                self.connection.charge_command(consumed);
            }
            self.pending.push_back(answer);
            self.connection.step_over(consumed).await;
        }
        Ok(())
    }

    /// Whether the pending answers or the statements of open requests have reached a limit, so that no further command
    /// is accepted.
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
                // The answer is already known, so the query does not count as pending while earlier answers are
                // awaited.
                self.session.query_answered();
                Ok(PendingAnswer::Bytes(error.to_query_answer()))
            }
        }
    }

    /// Submits a statement whose last byte arrived at `arrived`, from which its deadline is counted.
    async fn submit(&self, text: &str, arrived: Timestamp) -> Result<OpenRequest, ClientError> {
        let statement: Statement = text.parse().map_err(|error| {
            log::warn!("client {}: invalid statement: {error}", self.connection.peer());
            error
        })?;
        let Some(request) = self.front.incoming_request(&statement) else {
            log::warn!("client {}: unknown class {:?}", self.connection.peer(), excerpt(&statement.class));
            return Err(ClientError::UnknownClass);
        };
        let Some(reserved_id) = self.front.open_requests.reserve(&statement.id) else {
            log::warn!("client {}: another request has the id {:?}", self.connection.peer(), statement.id);
            return Err(ClientError::DuplicateRequestId);
        };
        let limits = &self.front.limits;
        // Leaves time for the answer to reach the client before its timeout.
        let margin = TimeDelta::from(limits.answer_margin);
        let deadline = arrived + (statement.client_timeout - margin).or_zero();
        let statement = Arc::new(statement);
        let submitted = self.front.handle.submit(request, deadline, statement.clone()).await;
        let Some((id, reply)) = submitted else {
            return Err(ClientError::Terminating { retry_after: TimeDelta::from(limits.front_retry_after) });
        };
        log::debug!(
            "client {}: request {id} has the id {:?} and the class {:?}",
            self.connection.peer(),
            statement.id,
            statement.class
        );
        Ok(OpenRequest { id, reply, statement_bytes: text.len(), deadline, reserved_id })
    }
}
