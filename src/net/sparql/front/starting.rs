//! Connections that are accepted before the pooler can serve requests.

use super::READINESS_PATH;
use crate::clock::Clock;
use crate::config::Limits;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::connection_limiter::ConnectionSlot;
use crate::net::http::server::{self, NextRequest};
use crate::net::http::status;
use crate::net::sparql::client_error::ClientError;
use crate::time::TimeDelta;
use async_io::Async;
use std::net::TcpStream;
use std::rc::Rc;

/// Rejects the first request of a connection and closes the connection. A later connection may be served. `retry_after`
/// is called for the retry-after hint of each response.
pub async fn serve_while_starting(
    stream: Async<TcpStream>,
    slot: ConnectionSlot,
    limits: Rc<Limits>,
    clock: Clock,
    retry_after: impl Fn() -> TimeDelta,
) {
    let mut connection = ClientConnection::new(stream, slot, limits.clone(), clock);
    let mut buffer = Buffer::default();
    let response = match server::next_request(&mut connection, &mut buffer, &limits).await {
        NextRequest::ConnectionClosed => return,
        NextRequest::Rejected(error) => ClientError::from(error).to_response(),
        NextRequest::Received(request) if request.path_and_query().0 == READINESS_PATH => {
            server::text_response(status::SERVICE_UNAVAILABLE, &[], "no list of hosts yet")
        }
        NextRequest::Received(_) => ClientError::Starting { retry_after: retry_after() }.to_response(),
    };
    let _ = connection.write(&server::with_connection_close(response)).await;
    let _ = connection.linger().await;
}
