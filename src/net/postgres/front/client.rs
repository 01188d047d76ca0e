//! Main loop of a client connection.
//!
//! Clients may pipeline commands. Requests are submitted as they arrive, because each has its own deadline and must not
//! lose time while an earlier one is pending. Answers are written in the order of the commands, because the protocol
//! matches answers to commands by order alone.

use super::Front;
use super::submission::OpenRequest;
use crate::engine::Input;
use crate::net::answer_stream::next_event;
use crate::net::connection::{ClientConnection, ReadEvent, RequestProgress};
use crate::net::postgres::client_error::ClientError;
use crate::net::postgres::session::{Session, SessionAction, SessionState};
use crate::net::until;
use crate::time::TimeDelta;
use std::collections::VecDeque;
use std::io;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// How long the id of a request whose client has disconnected stays reserved after its last attempt has ended. An
/// endpoint that does not notice the end may run it until its client's timeout, which is 3 s at most on the platform.
const ABANDONED_ID_RETENTION: Duration = Duration::from_secs(5);

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
