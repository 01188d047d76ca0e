//! Writes the answers of a client connection: those that the front encodes itself, and the final answers of the engine.

use super::client::{ClientHandler, PendingAnswer};
use crate::engine::{DeadlineStatus, FinalAnswer};
use crate::net::answer_stream::{AnswerEvent, StreamChunk, next_event};
use crate::net::lifecycle::ServingState;
use crate::net::postgres::client_error::ClientError;
use crate::net::postgres::codec;
use crate::net::postgres::endpoint::QueryAnswer;
use crate::net::postgres::session::Session;
use crate::net::until;
use crate::time::TimeDelta;
use async_channel::Receiver;
use futures_lite::future;
use std::io;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// Answers that are written later than this after the deadline are reported.
const REPORTED_ANSWER_DELAY: Duration = Duration::from_millis(50);

impl ClientHandler<'_> {
    /// Removes the oldest pending answers that are available, and returns their messages one after the other.
    pub(super) fn take_available_answers(&mut self) -> Vec<u8> {
        let mut messages = Vec::new();
        loop {
            match self.pending.front() {
                Some(PendingAnswer::Bytes(bytes)) => messages.extend_from_slice(bytes),
                Some(PendingAnswer::EmptyQuery) if self.front.ready.is_set() => {
                    messages.extend(self.empty_query_answer());
                    self.session.query_answered();
                }
                _ => return messages,
            }
            self.pending.pop_front();
        }
    }

    /// Because of the error, the platform's front layer sends no new clients to a drained pooler.
    fn empty_query_answer(&self) -> Vec<u8> {
        match self.front.lifecycle.state() {
            ServingState::Drained => ClientError::Drained.to_query_answer(),
            ServingState::Serving | ServingState::Terminating => Session::empty_query_answer(),
        }
    }

    /// Answers an empty query once the pooler is ready, or after `Limits::readiness_timeout`.
    pub(super) async fn wait_for_readiness(&mut self) -> io::Result<ControlFlow<()>> {
        let ready = async {
            self.front.ready.wait().await;
            ControlFlow::Continue(())
        };
        let connection = &mut self.connection;
        let input = self.session.input_buffer();
        let client_disconnected = async {
            connection.wait_for_disconnect(input).await;
            ControlFlow::Break(())
        };
        let deadline = Instant::now() + self.front.limits.readiness_timeout;
        if until(deadline, future::or(ready, client_disconnected)).await == Some(ControlFlow::Break(())) {
            return Ok(ControlFlow::Break(()));
        }
        self.write_answer(&self.empty_query_answer()).await?;
        Ok(ControlFlow::Continue(()))
    }

    /// Handles an event of the oldest pending query; `None` stands for the end of a pause.
    pub(super) async fn handle_answer_event(
        &mut self,
        event: Option<AnswerEvent<FinalAnswer<QueryAnswer>>>,
    ) -> io::Result<ControlFlow<()>> {
        match event {
            Some(AnswerEvent::Received(answer)) => self.write_final_answer(answer).await?,
            Some(AnswerEvent::ChannelClosed) => {
                self.write_final_answer(FinalAnswer::Failed { deadline: DeadlineStatus::Pending }).await?;
            }
            Some(AnswerEvent::ClientDisconnected) => return Ok(ControlFlow::Break(())),
            Some(AnswerEvent::ClientData) | None => {}
        }
        Ok(ControlFlow::Continue(()))
    }

    async fn write_final_answer(&mut self, answer: FinalAnswer<QueryAnswer>) -> io::Result<()> {
        self.log_answer(&answer);
        let error = match answer {
            FinalAnswer::Served(QueryAnswer::Streamed(chunks)) => return self.write_stream(chunks).await,
            FinalAnswer::Served(QueryAnswer::Buffered(mut rows)) => {
                codec::put_ready_for_query(&mut rows);
                return self.write_answer(&rows).await;
            }
            FinalAnswer::Rejected { retry_after, .. } => ClientError::Rejected { retry_after },
            FinalAnswer::Failed { deadline: DeadlineStatus::Passed } => ClientError::DeadlineExceeded,
            FinalAnswer::Failed { deadline: DeadlineStatus::Pending } => ClientError::Failed,
            FinalAnswer::UnknownGroup => {
                self.connection.charge_command(0);
                ClientError::UnknownGroup
            }
        };
        self.write_answer(&error.to_query_answer()).await
    }

    /// Logs how the oldest pending query is answered, and warns if its client no longer waits for the answer.
    fn log_answer(&self, answer: &FinalAnswer<QueryAnswer>) {
        let Some(PendingAnswer::Request(request)) = self.pending.front() else { return };
        let kind = match answer {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::Failed { deadline: DeadlineStatus::Passed } => "failed at its deadline",
            FinalAnswer::Failed { deadline: DeadlineStatus::Pending } => "failed",
            FinalAnswer::UnknownGroup => "unknown group",
        };
        log::debug!("client {}: request {}: {kind}", self.connection.peer(), request.id);
        let delay = self.front.handle.clock().now() - request.deadline;
        if delay > TimeDelta::from(REPORTED_ANSWER_DELAY) {
            log::warn!(
                "client {}: id {:?}: {kind}, {} ms after the deadline",
                self.connection.peer(),
                request.reserved_id.id(),
                delay.as_millis()
            );
        }
    }

    /// Writes a streamed answer to the oldest pending query. If the endpoint breaks off, the connection is closed
    /// without ReadyForQuery, so that the client can detect that the answer is incomplete.
    async fn write_stream(&mut self, chunks: Receiver<StreamChunk>) -> io::Result<()> {
        loop {
            match next_event(&chunks, &mut self.connection, self.session.input_buffer()).await {
                AnswerEvent::Received(StreamChunk::Data(bytes)) => self.connection.write(&bytes).await?,
                AnswerEvent::Received(StreamChunk::End) => {
                    let mut end = Vec::new();
                    codec::put_ready_for_query(&mut end);
                    return self.write_answer(&end).await;
                }
                AnswerEvent::ChannelClosed => {
                    let reason = "the endpoint closed the connection in the middle of an answer";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
                }
                AnswerEvent::ClientData => {}
                // A stalled endpoint must not keep the attempt running for a client that has disconnected.
                AnswerEvent::ClientDisconnected => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        }
    }

    /// Writes the answer to the oldest pending query.
    async fn write_answer(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.connection.write(bytes).await?;
        self.pending.pop_front();
        self.session.query_answered();
        Ok(())
    }
}
