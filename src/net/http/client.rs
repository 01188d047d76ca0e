//! The client side of HTTP/1.1: one connection, one exchange at a time.

use super::body::BodyDecoder;
use super::head::{Head, ReceivedHead};
use super::status;
use crate::config::Limits;
use crate::net::buffer::Buffer;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection to a server.
pub struct ServerConnection {
    address: String,
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
}

/// How far a body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More is to come.
    Partial,
    /// The body is complete.
    Complete,
}

fn unexpected_end<T>() -> io::Result<T> {
    Err(io::ErrorKind::UnexpectedEof.into())
}

impl ServerConnection {
    /// Takes a stream over.
    pub fn new(stream: Async<TcpStream>) -> ServerConnection {
        let address = stream.get_ref().peer_addr().map_or_else(|_| "host".into(), |peer| peer.to_string());
        ServerConnection { address, stream, buffer: Buffer::default() }
    }

    /// The server's address, as a `Host` header states it.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The connection cannot be made.
    pub async fn connect(address: SocketAddr) -> io::Result<ServerConnection> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(ServerConnection::new(stream))
    }

    /// Whether nothing has come since the last response: neither bytes nor the end of the stream.
    pub fn is_silent(&self) -> bool {
        self.buffer.unread().is_empty() && crate::net::is_silent(&self.stream)
    }

    /// Writes a request.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await
    }

    /// Reads the head of the final response; interim responses (1xx) are skipped.
    ///
    /// # Errors
    /// The connection broke or ended, or the head is out of form ([`io::ErrorKind::InvalidData`]).
    pub async fn read_head(&mut self, limits: &Limits) -> io::Result<Head> {
        loop {
            let head = self.next_head(limits).await?;
            let is_interim = (100..200).contains(&head.status()?);
            if !is_interim {
                return Ok(head);
            }
        }
    }

    async fn next_head(&mut self, limits: &Limits) -> io::Result<Head> {
        loop {
            if let Some(ReceivedHead { head, length }) = Head::decode(self.buffer.unread(), limits)? {
                self.buffer.consume(length);
                return Ok(head);
            }
            if self.fill_buffer().await? == 0 {
                return unexpected_end();
            }
        }
    }

    /// Decodes what has come of a body and reads once more where it is not complete; the data is appended to `into`,
    /// up to `max_bytes`.
    ///
    /// # Errors
    /// The connection broke, the body was cut short, or it is out of form ([`io::ErrorKind::InvalidData`]).
    pub async fn read_body_part(
        &mut self,
        body: &mut BodyDecoder,
        into: &mut Vec<u8>,
        max_bytes: usize,
    ) -> io::Result<BodyProgress> {
        let used = body.decode(self.buffer.unread(), into, max_bytes)?;
        self.buffer.consume(used);
        if body.is_complete() {
            return Ok(BodyProgress::Complete);
        }
        if self.fill_buffer().await? > 0 {
            return Ok(BodyProgress::Partial);
        }
        // Only a body that lasts until the end of the stream may end so; any other was cut short.
        if body.is_close_delimited() { Ok(BodyProgress::Complete) } else { unexpected_end() }
    }

    /// Reads the response to an upgrade: from here on the connection carries another protocol.
    ///
    /// # Errors
    /// The connection broke or ended, the head is out of form, or the server refused the upgrade.
    pub async fn read_upgrade_response(&mut self, limits: &Limits) -> io::Result<()> {
        let head = self.next_head(limits).await?;
        if head.status_text() == status::SWITCHING_PROTOCOLS.to_string() {
            return Ok(());
        }
        Err(io::Error::other(format!("status {}", head.status_text())))
    }

    /// Bytes that were received but not used.
    pub fn unread(&self) -> &[u8] {
        self.buffer.unread()
    }

    /// Uses `count` of the received bytes.
    pub fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Reads once; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn fill_buffer(&mut self) -> io::Result<usize> {
        self.buffer.fill(&self.stream).await
    }

    /// Reads once into another buffer; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read_into(&self, into: &mut Buffer) -> io::Result<usize> {
        into.fill(&self.stream).await
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// The connection broke or ended, or the response is out of form or too large ([`io::ErrorKind::InvalidData`]).
    pub async fn call(&mut self, request: &[u8], limits: &Limits) -> io::Result<Response> {
        self.send(request).await?;
        let head = self.read_head(limits).await?;
        let mut framing = BodyDecoder::for_response(&head)?;
        let is_reusable = head.response_keeps_connection_open() && !framing.is_close_delimited();
        let mut body = Vec::new();
        while self.read_body_part(&mut framing, &mut body, limits.discovery_answer_bytes).await?
            != BodyProgress::Complete
        {}
        Ok(Response { head, body, is_reusable })
    }
}
