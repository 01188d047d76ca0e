//! A single call to discovery.

use super::DiscoveryClient;
use super::backoff::CallTimes;
use super::error::DiscoveryError;
use crate::endpoint_list_json;
use crate::engine::endpoints::{EndpointUpdate, ListCoverage};
use crate::net::http::body::BodyDecoder;
use crate::net::http::client::{BodyProgress, ServerConnection};
use crate::net::until;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

/// A response is in progress if this many bytes of its body have arrived within a probe interval. A response that
/// trickles has fewer.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;

/// How much of the body of a response has arrived.
#[derive(Debug, Default)]
pub(super) struct Transfer {
    received: Cell<usize>,
    /// `received` at the last call of [`Transfer::has_progressed`].
    checked: Cell<usize>,
}

impl Transfer {
    /// Whether a long response is on its way: at least [`MIN_PROGRESS_BYTES`] have arrived since the last call.
    pub(super) fn has_progressed(&self) -> bool {
        let received = self.received.get();
        received - self.checked.replace(received) >= MIN_PROGRESS_BYTES
    }
}

/// A call that fetches the whole list, or waits for changes since a known list.
pub(super) struct DiscoveryCall<'a> {
    pub(super) client: DiscoveryClient<'a>,
    /// The index of the known list; `None` to fetch the whole list.
    pub(super) known_index: Option<u64>,
    pub(super) times: CallTimes,
    /// Where the progress of the response is recorded.
    pub(super) transfer: &'a Transfer,
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
        let update = endpoint_list_json::parse(&text, self.client.zones)?;
        self.check_index(update)
    }

    async fn fetch(&self, kept_connection: &mut Option<ServerConnection>) -> Result<String, DiscoveryError> {
        let address = self.client.address.get();
        let mut connection = match kept_connection.take() {
            Some(connection) => connection,
            None => ServerConnection::connect(address).await?,
        };
        connection.send(self.request(address).as_bytes()).await?;
        let head = connection.read_head(self.client.limits).await?;
        let framing = BodyDecoder::for_response(&head).map_err(std::io::Error::from)?;
        let is_reusable = head.response_keeps_connection_open() && !framing.is_close_delimited();
        let body = self.read_body(&mut connection, framing).await?;
        *kept_connection = is_reusable.then_some(connection);
        let status = head.status_text();
        match status {
            "200" => String::from_utf8(body).map_err(|_| DiscoveryError::NotUtf8),
            "429" | "503" => Err(DiscoveryError::Overloaded { status: status.to_string() }),
            _ => Err(DiscoveryError::Status { status: status.to_string() }),
        }
    }

    async fn read_body(
        &self,
        connection: &mut ServerConnection,
        mut framing: BodyDecoder,
    ) -> Result<Vec<u8>, DiscoveryError> {
        let max_bytes = self.client.limits.discovery_answer_bytes;
        let mut body = Vec::new();
        loop {
            let progress = connection.read_body_part(&mut framing, &mut body, max_bytes).await?;
            self.transfer.received.set(body.len());
            if progress == BodyProgress::Complete {
                return Ok(body);
            }
        }
    }

    fn request(&self, address: SocketAddr) -> String {
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
