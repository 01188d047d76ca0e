//! When the bytes of a connection were read.
//!
//! A client may send requests ahead of their answers. Each of them has a deadline of its own that counts from the
//! arrival of its last byte, not from the time at which it is taken out of the buffer.

use crate::clock::Clock;
use crate::net::buffer::{Buffer, READ_CHUNK_BYTES};
use crate::time::Timestamp;
use async_io::Async;
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

/// Most reads whose times are kept for one connection: bounds the memory of a client that sends byte by byte.
const MAX_TRACKED_READS: usize = 64;

/// One read from the stream.
struct Read {
    /// Position in the stream of the byte after the last one of this read.
    end: u64,
    /// When it was read, or the earliest time at which it may have arrived.
    arrived_at: Timestamp,
}

/// The reads of a connection whose bytes are not all consumed yet.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    /// Bytes read from the stream so far.
    total_bytes: u64,
    reads: VecDeque<Read>,
    /// Since when reading has been paused, though bytes may have arrived in the kernel's buffer.
    paused_since: Option<Timestamp>,
}

impl ArrivalTimes {
    /// Reads once from the stream into a buffer and records the time; 0 at the end of the stream.
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

    /// Records that reading is paused; a pause that lasts already keeps its begin.
    pub(super) fn pause(&mut self, now: Timestamp) {
        self.paused_since.get_or_insert(now);
    }

    /// Records a read of `count` bytes behind `unread` bytes of the buffer.
    ///
    /// Bytes that are read after a pause may have arrived as early as its begin, up to the first read that is shorter
    /// than a chunk: by then the kernel's buffer was empty.
    fn record_read(&mut self, unread: usize, count: usize, now: Timestamp) {
        let consumed = self.total_bytes.saturating_sub(unread as u64);
        while self.reads.front().is_some_and(|read| read.end <= consumed) {
            self.reads.pop_front();
        }
        if self.reads.len() >= MAX_TRACKED_READS
            && let Some(second) = self.reads.remove(1)
        {
            // Bytes that come in many pieces count as arrived earlier rather than later.
            self.reads[0].end = second.end;
        }
        self.total_bytes += count as u64;
        let arrived_at = self.paused_since.unwrap_or(now);
        self.reads.push_back(Read { end: self.total_bytes, arrived_at });
        if count < READ_CHUNK_BYTES {
            self.paused_since = None;
        }
    }

    /// When the last consumed byte arrived, where the buffer holds `unread` bytes behind it; `None` before the first
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
