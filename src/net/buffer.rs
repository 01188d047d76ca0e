//! Bytes that were read from a stream and not consumed yet.

use async_io::Async;
use std::io::{self, Read};
use std::net::TcpStream;

/// Most bytes taken from a stream by one read: a whole request, but for long values.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// An empty buffer with a larger capacity is freed: hundreds of idle connections have one each.
const RETAINED_CAPACITY_BYTES: usize = 4 * 1024;

/// A growing byte queue: bytes are appended at the end and consumed from the front.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Position in `bytes` of the first one that is not consumed.
    start: usize,
}

impl Buffer {
    /// The bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Removes `count` bytes from the front; all of them if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > RETAINED_CAPACITY_BYTES {
                self.bytes = Vec::new();
            }
        }
    }

    /// Appends bytes.
    pub fn push(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Reads once from a stream and returns the number of bytes, 0 at its end.
    ///
    /// The space that is read into is on the stack and only for the duration of the read: hundreds of connections
    /// wait at any time, and none of them may hold a chunk meanwhile.
    ///
    /// # Errors
    /// The error of the read.
    pub async fn fill(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        stream
            .read_with(|mut stream| {
                let mut chunk = [0; READ_CHUNK_BYTES];
                let count = stream.read(&mut chunk)?;
                self.push(&chunk[..count]);
                Ok(count)
            })
            .await
    }
}
