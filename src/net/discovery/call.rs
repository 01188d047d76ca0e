//! A single call to discovery.

use super::backoff::CallTimes;
use super::error::DiscoveryError;
use crate::config::Limits;
use crate::endpoint_list_json;
use crate::engine::endpoints::{EndpointUpdate, ListCoverage};
use crate::net::http::client::{Response, ServerConnection};
use crate::net::until;
use std::net::SocketAddr;
use std::time::Instant;

/// A call that fetches the whole list, or waits for changes since a known list.
pub(super) struct DiscoveryCall<'a> {
    pub(super) address: SocketAddr,
    /// The index of the known list; `None` to fetch the whole list.
    pub(super) known_index: Option<u64>,
    pub(super) times: CallTimes,
    /// The names of the zones by number.
    pub(super) zones: &'a [String],
    pub(super) limits: &'a Limits,
}

impl DiscoveryCall<'_> {
    /// Makes the call, on `kept_connection` or on a new connection. Afterwards `kept_connection` holds the connection
    /// if it can be reused.
    pub(super) async fn run(
        &self,
        kept_connection: &mut Option<ServerConnection>,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let deadline = Instant::now() + self.times.timeout;
        let text =
            until(deadline, self.fetch(kept_connection)).await.unwrap_or(Err(DiscoveryError::TimedOut))?;
        // A malformed list does not replace the known one: the error leads to another call.
        let update = endpoint_list_json::parse(&text, self.zones)?;
        self.check_index(update)
    }

    async fn fetch(&self, kept_connection: &mut Option<ServerConnection>) -> Result<String, DiscoveryError> {
        let mut connection = match kept_connection.take() {
            Some(connection) => connection,
            None => ServerConnection::connect(self.address).await?,
        };
        let Response { head, body, is_reusable } =
            connection.call(self.request().as_bytes(), self.limits).await?;
        *kept_connection = is_reusable.then_some(connection);
        let status = head.status_text();
        match status {
            "200" => String::from_utf8(body).map_err(|_| DiscoveryError::NotUtf8),
            "429" | "503" => Err(DiscoveryError::Overloaded { status: status.to_string() }),
            _ => Err(DiscoveryError::Status { status: status.to_string() }),
        }
    }

    fn request(&self) -> String {
        let address = self.address;
        let path = match self.known_index {
            None => "/api/targets".to_string(),
            Some(after) => {
                format!("/api/targets?after={after}&wait_ms={}", self.times.watch_timeout.as_millis())
            }
        };
        format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n")
    }

    /// Rejects changes that do not apply to the known list. If their index is lower than that of the known list,
    /// discovery has restarted, and they refer to a different list.
    fn check_index(&self, update: EndpointUpdate) -> Result<EndpointUpdate, DiscoveryError> {
        match self.known_index {
            Some(known) if update.coverage == ListCoverage::Changes && update.version < known => {
                Err(DiscoveryError::IndexWentBack { known, received: update.version })
            }
            None if update.coverage == ListCoverage::Changes => Err(DiscoveryError::ChangesWithoutList),
            _ => Ok(update),
        }
    }
}
