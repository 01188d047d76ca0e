//! The front for PostgreSQL clients: the state that its connections share, and the handling of one connection.
//!
//! - `client`: main loop of a connection, which answers its commands in their order
//! - `answers`: writes the answers
//! - `submission`: decodes received commands and submits them to the engine
//! - `open_requests`: ids of the requests that have no answer yet

mod answers;
mod client;
mod open_requests;
mod submission;

use super::endpoint::QueryAnswer;
use super::statement::Statement;
use crate::config::Limits;
use crate::engine::EngineHandle;
use crate::engine::classes::{Classes, IdempotencyKey};
use crate::net::connection::ClientConnection;
use crate::net::connection_limiter::{AcceptDecision, ConnectionSlot};
use crate::net::latch::Latch;
use crate::net::lifecycle::Lifecycle;
use crate::net::session_hash;
use crate::routing::IncomingRequest;
use crate::time::Timestamp;
use async_io::Async;
use client::ClientHandler;
pub use open_requests::OpenRequestIds;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// State shared by all client connections of the front.
pub struct Front {
    /// Limits on connections, message lengths and waiting times.
    pub limits: Rc<Limits>,
    /// Submits requests to the engine.
    pub handle: EngineHandle<Arc<Statement>, QueryAnswer>,
    /// The configured classes, which routing comments refer to by name.
    pub classes: Classes,
    /// Set once the first endpoint list has arrived.
    pub ready: Latch,
    /// Whether the pooler serves clients, is drained or is shutting down.
    pub lifecycle: Rc<Lifecycle>,
    /// Ids of the requests that have no answer yet.
    pub open_requests: OpenRequestIds,
    /// Whether the settings permit that an attempt is cancelled once its client has disconnected.
    pub cancels_attempts: bool,
}

impl Front {
    /// Serves one connection until it is closed. With [`AcceptDecision::Reject`] the client only receives an error.
    pub async fn serve(&self, stream: Async<TcpStream>, slot: ConnectionSlot, decision: AcceptDecision) {
        let clock = self.handle.clock().clone();
        let connection = ClientConnection::new(stream, slot, self.limits.clone(), clock);
        let mut client = ClientHandler::new(self, connection);
        let served = match decision {
            AcceptDecision::Serve => client.run().await,
            AcceptDecision::Reject => client.reject_connection().await,
        };
        match served {
            Ok(()) => log::debug!("client {}: connection ended", client.connection.peer()),
            Err(error) => log::debug!("client {}: connection ended: {error}", client.connection.peer()),
        }
        client.cancel_open_requests().await;
    }

    /// When the last attempt of a request with this deadline ends if its client disconnects now.
    fn may_run_until(&self, deadline: Timestamp) -> Instant {
        let clock = self.handle.clock();
        let now = clock.now();
        clock.instant_of(if self.cancels_attempts { now } else { deadline.max(now) })
    }

    /// Converts a statement to a request for the engine; `None` if its class is unknown.
    fn incoming_request(&self, statement: &Statement) -> Option<IncomingRequest> {
        let key =
            if statement.has_idempotency_key { IdempotencyKey::Present } else { IdempotencyKey::Absent };
        let class = self.classes.find(&statement.class, key)?;
        let now = self.handle.clock().now();
        // The router expects the age of the session's last commit. It is zero rather than negative if the client's
        // clock is slightly ahead.
        let last_commit_age = statement
            .required_position
            .map(|position| (now - position.commit_time(Timestamp::ZERO)).or_zero());
        Some(IncomingRequest {
            class,
            group: statement.group,
            last_commit_age,
            session: session_hash(&statement.session_key),
            is_client_retry: statement.is_client_retry,
            ..IncomingRequest::default()
        })
    }
}
