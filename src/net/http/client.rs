//! The client side of HTTP/1.1: connections to servers, with one request at a time on each.

use super::body::BodyDecoder;
use super::head::{Head, ReceivedHead};
use super::status;
use crate::config::Limits;
use crate::net::buffer::Buffer;
use crate::net::turn::Turn;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection to a server, with the input that was received on it but not yet decoded.
pub struct ServerConnection {
    address: String,
    stream: Async<TcpStream>,
    buffer: Buffer,
    turn: Turn,
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status line and headers.
    pub head: Head,
    /// The decoded body, without its framing.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub is_reusable: bool,
}

/// Progress of a body that is read in parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// A part of the body has not been received yet.
    Partial,
    /// The body is complete.
    Complete,
}

fn unexpected_end<T>() -> io::Result<T> {
    Err(io::ErrorKind::UnexpectedEof.into())
}

impl ServerConnection {
    /// Wraps a TCP stream that is already connected.
    pub fn new(stream: Async<TcpStream>) -> ServerConnection {
        let address = stream.get_ref().peer_addr().map_or_else(|_| "host".into(), |peer| peer.to_string());
        ServerConnection { address, stream, buffer: Buffer::default(), turn: Turn::default() }
    }

    /// The server's address, for the `Host` header.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Opens a connection, with `TCP_NODELAY` set.
    ///
    /// # Errors
    /// The connection cannot be established.
    pub async fn connect(address: SocketAddr) -> io::Result<ServerConnection> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(ServerConnection::new(stream))
    }

    /// Whether the connection is open and nothing was received after the last response.
    pub fn is_silent(&self) -> bool {
        self.buffer.unread().is_empty() && crate::net::is_idle(&self.stream)
    }

    /// Writes an encoded request, or other bytes after an upgrade.
    ///
    /// # Errors
    /// The connection was lost.
    pub async fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await
    }

    /// Reads the head of the final response; interim responses (1xx) are skipped.
    ///
    /// # Errors
    /// The connection was lost or closed, or the head is malformed ([`io::ErrorKind::InvalidData`]).
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

    /// Decodes the buffered part of a body and appends its data to `into`. If the body is not complete, reads once from
    /// the socket; the next call decodes what was read.
    ///
    /// # Errors
    /// The connection was lost, the body was truncated, or it is malformed or longer than `max_bytes`
    /// ([`io::ErrorKind::InvalidData`]).
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
        // The server closed the connection. Any body that is not delimited by the close was truncated.
        if body.is_close_delimited() { Ok(BodyProgress::Complete) } else { unexpected_end() }
    }

    /// Reads the response to an upgrade request. After status 101 the connection carries the other protocol.
    ///
    /// # Errors
    /// The connection was lost or closed, the head is malformed, or the server rejected the upgrade.
    pub async fn read_upgrade_response(&mut self, limits: &Limits) -> io::Result<()> {
        let head = self.next_head(limits).await?;
        if head.status_text() == status::SWITCHING_PROTOCOLS.to_string() {
            return Ok(());
        }
        Err(io::Error::other(format!("the server rejected the upgrade with status {}", head.status_text())))
    }

    /// Input that was received but not consumed.
    pub fn unread(&self) -> &[u8] {
        self.buffer.unread()
    }

    /// Removes `count` bytes from the front of [`ServerConnection::unread`].
    pub fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Reads once from the socket into the connection's buffer and returns the number of bytes; 0 if the server closed
    /// the connection.
    ///
    /// # Errors
    /// The connection was lost.
    pub async fn fill_buffer(&mut self) -> io::Result<usize> {
        self.turn.step().await;
        self.buffer.fill(&self.stream).await
    }

    /// Reads once from the socket into a buffer of the caller and returns the number of bytes; 0 if the server closed
    /// the connection. Bytes that are already buffered stay where they are.
    ///
    /// # Errors
    /// The connection was lost.
    pub async fn read_into(&self, into: &mut Buffer) -> io::Result<usize> {
        self.turn.step().await;
        into.fill(&self.stream).await
    }

    /// Sends a request and reads the complete response, whose body may have up to `Limits::discovery_answer_bytes`.
    ///
    /// # Errors
    /// The connection was lost or closed, or the response is malformed or too large
    /// ([`io::ErrorKind::InvalidData`]).
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
