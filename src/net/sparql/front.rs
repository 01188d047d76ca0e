//! The front for SPARQL clients: the state that its connections share, and serving one connection.
//!
//! - `starting`: connections that are accepted before the pooler can serve requests.
//! - `responder`: writes responses, complete or streamed.

mod responder;
mod starting;

use super::client_error::ClientError;
use super::endpoint::EndpointAnswer;
use super::error::OperationError;
use super::operation::{Operation, OperationKind};
use super::response_head::lost_commit_answer;
use crate::config::Limits;
use crate::engine::classes::{Classes, IdempotencyKey};
use crate::engine::log_rollback::LogRollbacks;
use crate::engine::{DeadlineStatus, EngineHandle, FinalAnswer, Input};
use crate::ids::GroupId;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::connection_limiter::{AcceptDecision, ConnectionSlot};
use crate::net::http::server::{self, NextRequest, Request};
use crate::net::http::status;
use crate::net::latch::Latch;
use crate::net::lifecycle::{Lifecycle, ServingState};
use crate::net::session_hash;
use crate::routing::IncomingRequest;
use crate::time::{TimeDelta, Timestamp};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use responder::{AfterResponse, Responder};
pub use starting::serve_while_starting;
use std::cell::RefCell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;

/// URL path of the readiness check.
const READINESS_PATH: &str = "/-/ready";

/// The front's configuration, from the operator's file.
#[derive(Clone, Debug, Default)]
pub struct FrontConfig {
    /// URL path at which the front accepts operations.
    pub path: String,
    /// Class of queries that name no class.
    pub query_class: String,
    /// Class of queries that send a log position but name no class; `None`: the same class as without a position.
    pub session_query_class: Option<String>,
    /// Class of updates that name no class.
    pub update_class: String,
    /// Group of requests that name no group; `None`: such requests are rejected.
    pub default_group: Option<GroupId>,
}

/// The front's state, which all its connections share.
pub struct Front {
    /// Limits on connections, message lengths and times.
    pub limits: Rc<Limits>,
    /// Handle through which requests are submitted to the engine.
    pub engine: EngineHandle<Arc<Operation>, EndpointAnswer>,
    /// The classes of the settings.
    pub classes: Classes,
    /// Path and defaults of requests.
    pub config: FrontConfig,
    /// Set once all groups are served; until then the readiness check fails.
    pub all_groups_served: Latch,
    /// Whether the pooler serves, is drained or terminates.
    pub lifecycle: Rc<Lifecycle>,
    /// The known ranges of commits that groups have lost.
    pub log_rollbacks: Rc<RefCell<LogRollbacks>>,
}

/// An operation that is ready to be submitted to the engine.
struct PreparedOperation {
    request: IncomingRequest,
    client_timeout: TimeDelta,
    operation: Operation,
}

impl Front {
    /// Serves one connection until it is closed. A connection above the limit receives an error and is closed.
    pub async fn serve(&self, stream: Async<TcpStream>, slot: ConnectionSlot, decision: AcceptDecision) {
        let clock = self.engine.clock().clone();
        let mut connection = ClientConnection::new(stream, slot, self.limits.clone(), clock);
        if decision == AcceptDecision::Reject {
            let error = ClientError::TooManyConnections { retry_after: self.retry_after() };
            let _ = connection.write(&error.to_response()).await;
            let _ = connection.linger().await;
            return;
        }
        let mut buffer = Buffer::default();
        loop {
            match self.serve_request(&mut connection, &mut buffer).await {
                // If the connection must close, what the client has sent is read and answered before.
                Ok(AfterResponse::KeepOpen) => {}
                Ok(AfterResponse::Close) => break,
                // Closes the connection without a graceful shutdown, so that the client detects the truncated response.
                Ok(AfterResponse::Abort) | Err(_) => return,
            }
        }
        let _ = connection.linger().await;
    }

    /// Waits for a request and responds to it.
    async fn serve_request(
        &self,
        connection: &mut ClientConnection,
        buffer: &mut Buffer,
    ) -> io::Result<AfterResponse> {
        if !connection.wait_until_resumed().await {
            return Ok(AfterResponse::Close);
        }
        match server::next_request(connection, buffer, &self.limits).await {
            NextRequest::ConnectionClosed => Ok(AfterResponse::Close),
            NextRequest::Rejected(error) => {
                log::warn!("client {}: request rejected: {error}", connection.peer());
                let close = [("Connection", "close")];
                connection.write(&server::text_response(error.status(), &close, &error.to_string())).await?;
                Ok(AfterResponse::Close)
            }
            NextRequest::Received(request) => {
                let mut responder = Responder { connection, buffer, request: &request };
                self.respond(&request, &mut responder).await
            }
        }
    }

    async fn respond(&self, request: &Request, responder: &mut Responder<'_>) -> io::Result<AfterResponse> {
        let (path, _) = request.path_and_query();
        if path == READINESS_PATH {
            responder.connection.charge_command(0);
            return responder.write(self.readiness_response()).await;
        }
        if path != self.config.path {
            responder.connection.charge_command(request.body.len());
            return responder.write(ClientError::NotFound.to_response()).await;
        }
        match Operation::parse(request).and_then(|operation| self.prepare(operation)) {
            Ok(prepared) => self.submit(prepared, responder).await,
            Err(error) => {
                responder.connection.charge_command(request.body.len());
                log::warn!("client {}: operation rejected: {error}", responder.connection.peer());
                responder.write(ClientError::from(error).to_response()).await
            }
        }
    }

    fn readiness_response(&self) -> Vec<u8> {
        if self.lifecycle.state() == ServingState::Drained {
            return server::text_response(status::SERVICE_UNAVAILABLE, &[], "drained");
        }
        if !self.all_groups_served.is_set() {
            return server::text_response(status::SERVICE_UNAVAILABLE, &[], "not all groups are served yet");
        }
        server::text_response(status::OK, &[], "ready")
    }

    /// Adds the defaults to an operation and checks that its class exists and fits the operation.
    fn prepare(&self, operation: Operation) -> Result<PreparedOperation, OperationError> {
        let class_name = operation.class.as_deref().unwrap_or_else(|| self.default_class(&operation));
        let key = if operation.key.is_some() { IdempotencyKey::Present } else { IdempotencyKey::Absent };
        let Some(class) = self.classes.find(class_name, key) else {
            return Err(OperationError::UnknownClass(class_name.to_string()));
        };
        if operation.is_update() && !self.classes.writes(class_name) {
            return Err(OperationError::ClassNotForUpdates(class_name.to_string()));
        }
        if operation.position.is_some() && !self.classes.honors_client_position(class_name) {
            return Err(OperationError::ClassIgnoresPositions(class_name.to_string()));
        }
        let group = operation.group.or(self.config.default_group).ok_or(OperationError::MissingGroup)?;
        let now = self.engine.clock().now();
        // If the client's clock is ahead, the age is zero instead of negative.
        let last_commit_age =
            operation.position.map(|position| (now - position.commit_time(Timestamp::ZERO)).or_zero());
        let session = operation.session.as_deref().map_or(0, session_hash);
        let client_timeout = operation.client_timeout.or(self.classes.deadline(class_name));
        let client_timeout = client_timeout.unwrap_or(TimeDelta::from(self.limits.default_client_timeout));
        let request =
            IncomingRequest { class, group, last_commit_age, session, ..IncomingRequest::default() };
        Ok(PreparedOperation { request, client_timeout, operation })
    }

    /// The class of an operation that names no class.
    fn default_class(&self, operation: &Operation) -> &str {
        let config = &self.config;
        match (operation.kind, &config.session_query_class) {
            (OperationKind::Update, _) => &config.update_class,
            (OperationKind::Query, Some(session)) if operation.position.is_some() => session,
            (OperationKind::Query, _) => &config.query_class,
        }
    }

    /// Submits an operation to the engine, waits for the answer and writes it.
    async fn submit(
        &self,
        prepared: PreparedOperation,
        responder: &mut Responder<'_>,
    ) -> io::Result<AfterResponse> {
        let PreparedOperation { request, client_timeout, operation } = prepared;
        let session_commit = operation.position.filter(|_| !operation.is_update());
        let lost_position = session_commit
            .and_then(|commit| self.log_rollbacks.borrow().rolled_back_to(request.group, commit));
        if let Some(position) = lost_position {
            return responder.write_answer(lost_commit_answer(position)).await;
        }
        let arrived_at = responder.connection.arrival_time(responder.buffer.unread().len());
        if responder.connection.has_disconnected() {
            return Ok(AfterResponse::Abort);
        }
        // The margin leaves time for the answer to reach the client before it stops waiting.
        let margin = TimeDelta::from(self.limits.answer_margin);
        let deadline = arrived_at + (client_timeout - margin).or_zero();
        let Some((id, reply)) = self.engine.submit(request, deadline, Arc::new(operation)).await else {
            let error = ClientError::Terminating { retry_after: self.retry_after() };
            return responder.write_and_close(error.to_response()).await;
        };
        let written = match self.wait_for_answer(&reply, responder).await {
            Some(answer) => write_final_answer(answer, responder).await,
            None => Ok(AfterResponse::Abort),
        };
        if !matches!(written, Ok(AfterResponse::KeepOpen | AfterResponse::Close)) {
            // No client waits for the answer any more: ends all attempts of the request.
            self.engine.send_input(Input::RequestCancelled(id)).await;
        }
        written
    }

    /// Waits for the final answer; `None` if the client disconnects first.
    async fn wait_for_answer(
        &self,
        reply: &Receiver<FinalAnswer<EndpointAnswer>>,
        responder: &mut Responder<'_>,
    ) -> Option<FinalAnswer<EndpointAnswer>> {
        let answered = async {
            Some(reply.recv().await.unwrap_or(FinalAnswer::Failed { deadline: DeadlineStatus::Pending }))
        };
        let client_disconnected = async {
            responder.connection.wait_for_disconnect(responder.buffer).await;
            None
        };
        // An answer that is available takes precedence over the disconnect of the client.
        future::or(answered, client_disconnected).await
    }

    fn retry_after(&self) -> TimeDelta {
        TimeDelta::from(self.limits.front_retry_after)
    }
}

/// Writes an answer of the engine: an endpoint's answer, or an error response.
async fn write_final_answer(
    answer: FinalAnswer<EndpointAnswer>,
    responder: &mut Responder<'_>,
) -> io::Result<AfterResponse> {
    let error = match answer {
        FinalAnswer::Served(answer) => return responder.write_answer(answer).await,
        FinalAnswer::Rejected { deadline: DeadlineStatus::Passed, .. }
        | FinalAnswer::Failed { deadline: DeadlineStatus::Passed } => ClientError::DeadlineExceeded,
        FinalAnswer::Rejected { retry_after, deadline: DeadlineStatus::Pending } => {
            ClientError::Rejected { retry_after }
        }
        FinalAnswer::Failed { deadline: DeadlineStatus::Pending } => ClientError::Failed,
        FinalAnswer::UnknownGroup => {
            responder.connection.charge_command(0);
            ClientError::UnknownGroup
        }
    };
    responder.write(error.to_response()).await
}
