//! Input buffer of a stream.

use async_io::Async;
use std::io::{self, Read};
use std::net::TcpStream;

/// Maximum number of bytes per read. A whole request fits, unless it contains long values.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// An empty buffer with a larger capacity is freed, since each of hundreds of idle connections has a buffer.
const RETAINED_CAPACITY_BYTES: usize = 4 * 1024;

/// A growing byte queue: bytes are appended at the end and consumed from the front.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Index in `bytes` of the first unread byte.
    start: usize,
}

impl Buffer {
    /// The bytes that have not been consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Removes `count` bytes from the front, or all if there are fewer.
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

    /// Appends bytes at the end. Consumed bytes are removed first, so that the buffer does not grow without bound.
    pub fn push(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Reads once from a stream and returns the number of bytes, 0 at the end of the stream.
    ///
    /// The data is read into a chunk on the stack that only lives for the duration of the read: hundreds of connections
    /// wait for input at any time, and must not hold a chunk each while they wait.
    ///
    /// # Errors
    /// The I/O error of the read.
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
