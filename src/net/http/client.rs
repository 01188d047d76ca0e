//! The calling side: one connection, one exchange at a time.

use super::codec::{Body, Head, Malformed, head};
use crate::config::Limits;
use crate::net::buffer::Buffer;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection to a server.
pub struct Client {
    address: String,
    stream: Async<TcpStream>,
    buffer: Buffer,
}

impl From<Malformed> for io::Error {
    fn from(why: Malformed) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, why.to_string())
    }
}

impl Client {
    /// Takes a stream over.
    pub fn new(stream: Async<TcpStream>) -> Client {
        let address = stream.get_ref().peer_addr().map_or_else(|_| "host".into(), |a| a.to_string());
        Client { address, stream, buffer: Buffer::default() }
    }

    /// Where it leads, as a `Host` header says it.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Client::new(stream))
    }

    /// Whether nothing came since the last answer.
    pub fn is_silent(&self) -> bool {
        self.buffer.unread().is_empty() && crate::net::is_silent(&self.stream)
    }

    /// Writes a request.
    pub async fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await
    }

    /// Reads the head of the answer; interim answers are passed over.
    pub async fn head(&mut self, limits: &Limits) -> io::Result<Head> {
        loop {
            if let Some((head, used)) = head(self.buffer.unread(), limits)? {
                self.buffer.consume(used);
                let code = head.line[1].as_str();
                if head.line[0].starts_with("HTTP/1.")
                    && code.len() == 3
                    && code.bytes().all(|b| b.is_ascii_digit())
                {
                    if code.starts_with('1') {
                        continue;
                    }
                    return Ok(head);
                }
                return Err(Malformed::Form("the status line is out of form").into());
            }
            if self.buffer.fill(&self.stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next part of a body, into at most `most` bytes; true once it is whole.
    pub async fn part(&mut self, body: &mut Body, into: &mut Vec<u8>, most: usize) -> io::Result<bool> {
        let used = body.take(self.buffer.unread(), into, most)?;
        self.buffer.consume(used);
        if *body == Body::Done {
            return Ok(true);
        }
        if self.buffer.fill(&self.stream).await? == 0 {
            // Only a body that lasts until the end may end so; any other was cut short.
            return if *body == Body::UntilEnd { Ok(true) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        Ok(false)
    }

    /// Reads the answer to an upgrade: from here on the connection speaks something else.
    pub async fn upgraded(&mut self, limits: &Limits) -> io::Result<()> {
        loop {
            if let Some((head, used)) = head(self.buffer.unread(), limits)? {
                self.buffer.consume(used);
                return if head.line[1] == "101" {
                    Ok(())
                } else {
                    Err(io::Error::other(format!("status {}", head.line[1])))
                };
            }
            if self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// What came and was not used.
    pub fn unread(&self) -> &[u8] {
        self.buffer.unread()
    }

    /// Uses so many bytes of it.
    pub fn consume(&mut self, n: usize) {
        self.buffer.consume(n);
    }

    /// Reads once more; 0 at the end of the stream.
    pub async fn more(&mut self) -> io::Result<usize> {
        self.buffer.fill(&self.stream).await
    }

    /// Reads once into another buffer; 0 at the end of the stream.
    pub async fn more_of(&self, into: &mut Buffer) -> io::Result<usize> {
        into.fill(&self.stream).await
    }

    /// Sends a request and reads the whole answer; the second value: the connection may be used again.
    pub async fn call(&mut self, request: &[u8], limits: &Limits) -> io::Result<(Head, Vec<u8>, bool)> {
        self.send(request).await?;
        let head = self.head(limits).await?;
        let mut framing = Body::of(&head, true)?;
        let keeps = head.keeps_open(&head.line[0]) && framing != Body::UntilEnd;
        let mut body = Vec::new();
        while !self.part(&mut framing, &mut body, limits.discovery_answer).await? {}
        Ok((head, body, keeps))
    }
}
