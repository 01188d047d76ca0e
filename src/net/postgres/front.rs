//! The front for PostgreSQL clients: what its connections share, and how one connection is served.
//!
//! - `client`: the loop of one connection, which writes answers in the order of the commands
//! - `submission`: commands that have arrived, handed to the engine
//! - `open_requests`: the ids of requests that have no answer yet

mod client;
mod open_requests;
mod submission;

use super::host::QueryAnswer;
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

/// What all connections of the front share.
pub struct Front {
    /// Limits of connections, messages and times.
    pub limits: Rc<Limits>,
    /// Submits requests to the engine.
    pub handle: EngineHandle<Arc<Statement>, QueryAnswer>,
    /// The classes by name.
    pub classes: Classes,
    /// Set once the first endpoint list has arrived.
    pub ready: Latch,
    /// Whether the process serves, is drained or terminates.
    pub lifecycle: Rc<Lifecycle>,
    /// Ids of the requests that have no answer yet.
    pub open_requests: OpenRequestIds,
}

impl Front {
    /// Serves one connection to its end.
    pub async fn serve(&self, stream: Async<TcpStream>, slot: ConnectionSlot, decision: AcceptDecision) {
        let clock = self.handle.clock().clone();
        let connection = ClientConnection::new(stream, slot, self.limits.clone(), clock);
        let mut client = ClientHandler::new(self, connection);
        let served = match decision {
            AcceptDecision::Serve => client.run().await,
            AcceptDecision::Reject => client.reject().await,
        };
        if let Err(error) = served {
            log::debug!("client: connection ended: {error}");
        }
        client.cancel_open_requests().await;
    }

    /// What the engine has to know of a statement; `None` where its class is unknown.
    fn incoming_request(&self, statement: &Statement) -> Option<IncomingRequest> {
        let key =
            if statement.has_idempotency_key { IdempotencyKey::Present } else { IdempotencyKey::Absent };
        let class = self.classes.find(&statement.class, key)?;
        let now = self.handle.clock().now();
        // The decision module wants the age of the session's last commit; a client's clock that is a little ahead
        // makes it zero, not negative.
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
