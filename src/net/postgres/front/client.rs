//! The loop of one client's connection.
//!
//! A client may send further commands before the first has its answer. They are submitted as they arrive, because
//! each has its own deadline and must not lose time while an earlier one waits; their answers are written in the
//! order of the commands, because the protocol has no other way to tell which answer is whose.

use super::Front;
use super::submission::OpenRequest;
use crate::engine::{FinalAnswer, Input};
use crate::net::answer_stream::{AnswerEvent, StreamChunk, next_event};
use crate::net::connection::{ClientConnection, ReadEvent, RequestProgress};
use crate::net::lifecycle::ServingState;
use crate::net::postgres::client_error::ClientError;
use crate::net::postgres::codec;
use crate::net::postgres::host::QueryAnswer;
use crate::net::postgres::session::{Session, SessionAction, SessionState};
use crate::net::until;
use crate::time::TimeDelta;
use async_channel::Receiver;
use futures_lite::future;
use std::collections::VecDeque;
use std::io;
use std::ops::ControlFlow;
use std::time::Instant;

/// A client's connection while it is served.
pub(super) struct ClientHandler<'a> {
    pub(super) front: &'a Front,
    pub(super) connection: ClientConnection,
    pub(super) session: Session,
    /// Answers that are owed, in the order of the commands.
    pub(super) pending: VecDeque<PendingAnswer>,
}

/// An answer that is owed.
pub(super) enum PendingAnswer {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The answer to the readiness query.
    EmptyQuery,
    /// The final answer to a request, once it is there.
    Request(OpenRequest),
    /// These bytes, then the end of the connection.
    Close(Vec<u8>),
}

impl<'a> ClientHandler<'a> {
    /// Takes a connection over.
    pub(super) fn new(front: &'a Front, connection: ClientConnection) -> ClientHandler<'a> {
        let session = Session::new(&front.limits);
        ClientHandler { front, connection, session, pending: VecDeque::new() }
    }

    /// Serves the connection to its end.
    pub(super) async fn run(&mut self) -> io::Result<()> {
        loop {
            self.accept_commands().await?;
            if self.answer_next().await?.is_break() {
                return Ok(());
            }
        }
    }

    /// Tells the engine of a connection that has ended that nobody waits for its open requests any more.
    pub(super) async fn cancel_open_requests(self) {
        for pending in self.pending {
            if let PendingAnswer::Request(request) = pending {
                self.front.handle.send_input(Input::RequestCancelled(request.id)).await;
            }
        }
    }

    /// Writes the oldest answer that is owed, as far as it is there; waits for a command where none is owed.
    async fn answer_next(&mut self) -> io::Result<ControlFlow<()>> {
        match self.pending.front() {
            None => return self.wait_for_command().await,
            Some(PendingAnswer::Bytes(bytes)) => {
                self.connection.write(bytes).await?;
                self.pending.pop_front();
            }
            Some(PendingAnswer::EmptyQuery) => return self.answer_empty_query().await,
            Some(PendingAnswer::Request(request)) => {
                let input = self.session.input_buffer();
                match next_event(&request.reply, &mut self.connection, input).await {
                    AnswerEvent::Received(answer) => self.write_final_answer(answer).await?,
                    AnswerEvent::ChannelClosed => {
                        self.write_final_answer(FinalAnswer::Failed { overdue: false }).await?;
                    }
                    AnswerEvent::ClientData => {}
                    AnswerEvent::ClientDisconnected => return Ok(ControlFlow::Break(())),
                }
            }
            Some(PendingAnswer::Close(bytes)) => {
                self.connection.write(bytes).await?;
                self.connection.linger().await?;
                return Ok(ControlFlow::Break(()));
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    async fn wait_for_command(&mut self) -> io::Result<ControlFlow<()>> {
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

    /// Answers the readiness query once the process is ready, or when the limit of that wait is over.
    async fn answer_empty_query(&mut self) -> io::Result<ControlFlow<()>> {
        let ready = async {
            self.front.ready.wait().await;
            ControlFlow::Continue(())
        };
        let connection = &mut self.connection;
        let input = self.session.input_buffer();
        let client_left = async {
            connection.wait_for_disconnect(input).await;
            ControlFlow::Break(())
        };
        let deadline = Instant::now() + self.front.limits.readiness_timeout;
        if until(deadline, future::or(ready, client_left)).await == Some(ControlFlow::Break(())) {
            return Ok(ControlFlow::Break(()));
        }
        // The platform's front layer must bring no new clients to a process that is drained.
        let bytes = match self.front.lifecycle.state() {
            ServingState::Drained => ClientError::Drained.to_query_answer(),
            ServingState::Serving | ServingState::Terminating => Session::empty_query_answer(),
        };
        self.write_answer(&bytes).await?;
        Ok(ControlFlow::Continue(()))
    }

    async fn write_final_answer(&mut self, answer: FinalAnswer<QueryAnswer>) -> io::Result<()> {
        let error = match answer {
            FinalAnswer::Served(QueryAnswer::Streamed(chunks)) => return self.write_stream(chunks).await,
            FinalAnswer::Served(QueryAnswer::Buffered(mut rows)) => {
                codec::put_ready_for_query(&mut rows);
                return self.write_answer(&rows).await;
            }
            FinalAnswer::Rejected { retry_after, .. } => ClientError::Rejected { retry_after },
            FinalAnswer::Failed { overdue: true } => ClientError::DeadlineExceeded,
            FinalAnswer::Failed { overdue: false } => ClientError::Failed,
            FinalAnswer::UnknownGroup => ClientError::UnknownGroup,
        };
        self.write_answer(&error.to_query_answer()).await
    }

    /// Writes the answer to the oldest query as it comes. Where the host breaks off the connection ends without
    /// ReadyForQuery, so that the client can tell.
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
                    let reason = "the host ended in the middle of an answer";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
                }
                AnswerEvent::ClientData => {}
                // A host that stalls must not hold an attempt for a client that has left.
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

    /// Writes a fatal error and ends the connection.
    async fn close_with(&mut self, error: ClientError) -> io::Result<()> {
        log::debug!("client: connection closed: {error}");
        self.connection.write(&error.to_error_response()).await?;
        self.connection.linger().await
    }

    /// Tells a client that there are too many connections: after its StartupMessage, since clients read no error
    /// before they have sent it.
    pub(super) async fn reject(&mut self) -> io::Result<()> {
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
