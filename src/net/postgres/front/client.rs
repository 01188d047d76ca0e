//! Main loop of a client connection.
//!
//! Clients may pipeline commands. Requests are submitted as they arrive, because each has its own deadline and must not
//! lose time while an earlier one is pending. Answers are written in the order of the commands, because the protocol
//! matches answers to commands by order alone.

use super::Front;
use super::submission::OpenRequest;
use crate::engine::{DeadlineStatus, FinalAnswer, Input};
use crate::net::answer_stream::{AnswerEvent, StreamChunk, next_event};
use crate::net::connection::{ClientConnection, ReadEvent, RequestProgress};
use crate::net::lifecycle::ServingState;
use crate::net::postgres::client_error::ClientError;
use crate::net::postgres::codec;
use crate::net::postgres::endpoint::QueryAnswer;
use crate::net::postgres::session::{Session, SessionAction, SessionState};
use crate::net::until;
use crate::time::TimeDelta;
use async_channel::Receiver;
use futures_lite::future;
use std::collections::VecDeque;
use std::io;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// How long the id of a request whose client has disconnected stays reserved after its last attempt has ended. An
/// endpoint that does not notice the end may run it until its client's timeout, which is 3 s at most on the platform.
const ABANDONED_ID_RETENTION: Duration = Duration::from_secs(5);

/// Answers that are written later than this after the deadline are reported.
const REPORTED_ANSWER_DELAY: Duration = Duration::from_millis(50);

/// A client connection with its protocol state and pending answers.
pub(super) struct ClientHandler<'a> {
    pub(super) front: &'a Front,
    pub(super) connection: ClientConnection,
    pub(super) session: Session,
    /// Answers that were not written yet, in the order of the commands.
    pub(super) pending: VecDeque<PendingAnswer>,
}

/// An answer that was not written yet.
pub(super) enum PendingAnswer {
    /// Encoded messages that can be written without waiting.
    Bytes(Vec<u8>),
    /// The answer to an empty query, which serves as the readiness check.
    EmptyQuery,
    /// The final answer to a request, which the engine sends.
    Request(OpenRequest),
    /// Encoded messages after which the connection is closed.
    Close(Vec<u8>),
}

impl<'a> ClientHandler<'a> {
    /// The handler of a connection that was just accepted.
    pub(super) fn new(front: &'a Front, connection: ClientConnection) -> ClientHandler<'a> {
        let session = Session::new(&front.limits);
        ClientHandler { front, connection, session, pending: VecDeque::new() }
    }

    /// Serves the connection until the client or the pooler closes it.
    pub(super) async fn run(&mut self) -> io::Result<()> {
        loop {
            self.accept_commands().await?;
            if self.answer_next().await?.is_break() {
                return Ok(());
            }
        }
    }

    /// Cancels the open requests of a closed connection, since no client waits for their answers. Their ids stay
    /// reserved for a while, because an endpoint may still run them.
    pub(super) async fn cancel_open_requests(self) {
        for pending in self.pending {
            if let PendingAnswer::Request(request) = pending {
                log::debug!("request {}: its client has disconnected", request.id);
                self.front.handle.send_input(Input::RequestCancelled(request.id)).await;
                let retained_until = self.front.may_run_until(request.deadline) + ABANDONED_ID_RETENTION;
                request.reserved_id.retain(retained_until);
            }
        }
    }

    /// Writes the oldest pending answer once it is available, or waits for a command if no answer is pending. Returns
    /// early if the client sends more.
    async fn answer_next(&mut self) -> io::Result<ControlFlow<()>> {
        let available = self.take_available_answers();
        if !available.is_empty() {
            self.connection.write(&available).await?;
            return Ok(ControlFlow::Continue(()));
        }
        match self.pending.front() {
            None => return self.wait_for_command().await,
            // Available only once the pooler is ready.
            Some(PendingAnswer::EmptyQuery) => return self.wait_for_readiness().await,
            Some(PendingAnswer::Request(request)) => {
                let paused_until = self.connection.paused_until();
                let event = next_event(&request.reply, &mut self.connection, self.session.input_buffer());
                let event = match paused_until {
                    // Commands behind the query are accepted once the pause ends.
                    Some(resume_at) => until(resume_at, event).await,
                    None => Some(event.await),
                };
                return self.handle_answer_event(event).await;
            }
            Some(PendingAnswer::Bytes(_)) => {}
            Some(PendingAnswer::Close(bytes)) => {
                self.connection.write(bytes).await?;
                self.connection.linger().await?;
                return Ok(ControlFlow::Break(()));
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    async fn wait_for_command(&mut self) -> io::Result<ControlFlow<()>> {
        if self.connection.paused_until().is_some() {
            return self.wait_until_resumed().await;
        }
        let input = self.session.input_buffer();
        let progress = RequestProgress::of_buffered(input.unread().len());
        let error = match self.connection.wait_for_input(progress, input).await? {
            ReadEvent::Data => return Ok(ControlFlow::Continue(())),
            ReadEvent::Closed => return Ok(ControlFlow::Break(())),
            ReadEvent::CloseRequested => {
                self.connection.linger().await?;
                return Ok(ControlFlow::Break(()));
            }
            ReadEvent::Evicted => ClientError::Evicted,
            ReadEvent::TimedOut => ClientError::RequestTimeout,
            ReadEvent::OverBudget => ClientError::MessageBudgetExhausted,
        };
        self.close_with(error).await?;
        Ok(ControlFlow::Break(()))
    }

    /// Waits for the end of a pause. A connection that must close, and whose commands are all answered, is closed
    /// instead: its client may never let it rest.
    async fn wait_until_resumed(&mut self) -> io::Result<ControlFlow<()>> {
        if !self.connection.wait_until_resumed().await {
            self.close_with(ClientError::Evicted).await?;
            return Ok(ControlFlow::Break(()));
        }
        if self.connection.is_request_overdue() {
            self.close_with(ClientError::RequestTimeout).await?;
            return Ok(ControlFlow::Break(()));
        }
        if self.connection.must_close() && self.session.input_buffer().unread().is_empty() {
            self.connection.linger().await?;
            return Ok(ControlFlow::Break(()));
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Removes the oldest pending answers that are available, and returns their messages one after the other.
    fn take_available_answers(&mut self) -> Vec<u8> {
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
    async fn wait_for_readiness(&mut self) -> io::Result<ControlFlow<()>> {
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
    async fn handle_answer_event(
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

    /// Writes a fatal error and closes the connection.
    async fn close_with(&mut self, error: ClientError) -> io::Result<()> {
        log::warn!("client {}: connection closed: {error}", self.connection.peer());
        self.connection.write(&error.to_error_response()).await?;
        self.connection.linger().await
    }

    /// Sends the error "too many connections" and closes the connection. The error follows the client's StartupMessage,
    /// because clients do not read an error before they have sent that.
    pub(super) async fn reject_connection(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + self.front.limits.close_linger.timeout;
        while self.session.state() == SessionState::Startup {
            match self.session.next_action() {
                SessionAction::Write(bytes) if self.session.state() == SessionState::Startup => {
                    self.connection.write(&bytes).await?;
                }
                SessionAction::Wait => {
                    let read = self.connection.read(self.session.input_buffer());
                    match until(deadline, read).await {
                        Some(Ok(count)) if count > 0 => {}
                        _ => return Ok(()),
                    }
                }
                _ => break,
            }
        }
        let retry_after = TimeDelta::from(self.front.limits.front_retry_after);
        let error = ClientError::TooManyConnections { retry_after };
        self.connection.write(&error.to_error_response()).await?;
        self.connection.linger().await
    }
}
