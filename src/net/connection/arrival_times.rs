//! Tracks when the bytes of a connection were read.
//!
//! Clients may pipeline requests. The deadline of each request counts from the arrival of its last byte, not from the
//! time at which it is taken out of the buffer.

use crate::clock::Clock;
use crate::net::buffer::{Buffer, READ_CHUNK_BYTES};
use crate::time::Timestamp;
use async_io::Async;
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

/// Maximum number of tracked reads per connection; bounds the memory for a client that sends byte by byte.
const MAX_TRACKED_READS: usize = 64;

/// One read from the stream.
struct Read {
    /// Offset in the stream of the end of this read (exclusive).
    end: u64,
    /// When the bytes were read or, after a pause, the earliest time at which they may have arrived.
    arrived_at: Timestamp,
}

/// The reads of a connection that contain unconsumed bytes.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    /// Bytes read from the stream so far.
    total_bytes: u64,
    reads: VecDeque<Read>,
    /// Start of the current pause, during which bytes may have arrived in the kernel's receive buffer.
    paused_since: Option<Timestamp>,
}

impl ArrivalTimes {
    /// Reads once from the stream into a buffer and records the time. Returns the number of bytes, 0 at the end of the
    /// stream.
    pub(super) async fn fill(
        &mut self,
        stream: &Async<TcpStream>,
        into: &mut Buffer,
        clock: &Clock,
    ) -> io::Result<usize> {
        let unread = into.unread().len();
        let count = into.fill(stream).await?;
        self.record_read(unread, count, clock.now());
        Ok(count)
    }

    /// Records that reading is paused. Repeated calls keep the start of the pause.
    pub(super) fn pause(&mut self, now: Timestamp) {
        self.paused_since.get_or_insert(now);
    }

    /// Records a read of `count` bytes that was appended to `unread` bytes in the buffer.
    ///
    /// Bytes that are read after a pause may have arrived as early as its start. This holds up to and including the
    /// first read that does not fill a chunk, since that one emptied the kernel's receive buffer.
    fn record_read(&mut self, unread: usize, count: usize, now: Timestamp) {
        let consumed = self.total_bytes.saturating_sub(unread as u64);
        while self.reads.front().is_some_and(|read| read.end <= consumed) {
            self.reads.pop_front();
        }
        if self.reads.len() >= MAX_TRACKED_READS
            && let Some(second) = self.reads.remove(1)
        {
            // Merges the two oldest reads: bytes may be given an earlier arrival time, never a later one.
            self.reads[0].end = second.end;
        }
        self.total_bytes += count as u64;
        let arrived_at = self.paused_since.unwrap_or(now);
        self.reads.push_back(Read { end: self.total_bytes, arrived_at });
        if count < READ_CHUNK_BYTES {
            self.paused_since = None;
        }
    }

    /// Arrival time of the last consumed byte if the buffer holds `unread` bytes after it; `None` before the first
    /// read.
    pub(super) fn last_consumed_at(&mut self, unread: usize) -> Option<Timestamp> {
        let consumed = self.total_bytes.saturating_sub(unread as u64);
        while self.reads.len() > 1 && self.reads.front().is_some_and(|read| read.end < consumed) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.arrived_at)
    }
}

#[cfg(test)]
mod tests;
