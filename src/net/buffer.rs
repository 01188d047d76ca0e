//! Bytes that came in and were not used yet.

use async_io::Async;
use std::io::{self, Read};
use std::net::TcpStream;

/// Read at a time.
pub const CHUNK: usize = 16 * 1024;
/// An empty buffer larger than this gives its memory back: hundreds of connections stand idle.
const KEEP: usize = 4 * 1024;

/// A growing buffer with a front that moves.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// What has not been used.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Uses `n` bytes.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.bytes.len());
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > KEEP {
                self.bytes = Vec::new();
            }
        }
    }

    /// Adds bytes.
    pub fn push(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Reads once from a stream; 0 at its end. What is read into lives on the stack for the moment of the read
    /// only: hundreds of connections wait at any time.
    pub async fn fill(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        stream
            .read_with(|mut stream| {
                let mut chunk = [0; CHUNK];
                let n = stream.read(&mut chunk)?;
                self.push(&chunk[..n]);
                Ok(n)
            })
            .await
    }
}
