//! One call to discovery.

use super::backoff::CallTimes;
use super::error::DiscoveryError;
use crate::config::Limits;
use crate::endpoint_list_json;
use crate::engine::endpoints::EndpointUpdate;
use crate::net::http::client::{Response, ServerConnection};
use crate::net::until;
use std::net::SocketAddr;
use std::time::Instant;

/// A call for the whole list, or for what has changed since the list that is held.
pub(super) struct DiscoveryCall<'a> {
    pub(super) address: SocketAddr,
    /// The index of the list that is held; `None` asks for the whole list.
    pub(super) held_index: Option<u64>,
    pub(super) times: CallTimes,
    /// Names of the zones by number.
    pub(super) zones: &'a [String],
    pub(super) limits: &'a Limits,
}

impl DiscoveryCall<'_> {
    /// Runs the call on the connection of the call before, or on a new one, and leaves the connection for the next
    /// call if it may be used again.
    pub(super) async fn run(
        &self,
        kept_connection: &mut Option<ServerConnection>,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let deadline = Instant::now() + self.times.timeout;
        let text =
            until(deadline, self.fetch(kept_connection)).await.unwrap_or(Err(DiscoveryError::TimedOut))?;
        // A list that cannot be read must not cost the one that is held: that stays, and the call is repeated.
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
        let path = match self.held_index {
            None => "/api/targets".to_string(),
            Some(after) => {
                format!("/api/targets?after={after}&wait_ms={}", self.times.watch_timeout.as_millis())
            }
        };
        format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n")
    }

    /// Accepts a list only if it can be added to the one that is held. Changes to an older list are changes to
    /// something else: discovery has restarted.
    fn check_index(&self, update: EndpointUpdate) -> Result<EndpointUpdate, DiscoveryError> {
        match self.held_index {
            Some(held) if !update.whole && update.index < held => {
                Err(DiscoveryError::IndexWentBack { held, received: update.index })
            }
            None if !update.whole => Err(DiscoveryError::ChangesWithoutList),
            _ => Ok(update),
        }
    }
}
