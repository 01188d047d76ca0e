//! A client's connection as every front uses it: reads with arrival times, writes within a time limit, waits between
//! requests, and a close that does not lose the last answer.

mod arrival_times;

use super::buffer::{Buffer, READ_CHUNK_BYTES};
use super::connection_limiter::{ConnectionSlot, SlotState};
use super::until;
use crate::clock::Clock;
use crate::config::{CloseLinger, Limits};
use crate::time::{TimeDelta, Timestamp};
use arrival_times::ArrivalTimes;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// How much of the next request is buffered while a connection waits for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Nothing of it has come.
    NotStarted,
    /// A part of it has come.
    Partial {
        /// Bytes of it that are buffered; they count against the budget of all connections.
        bytes: usize,
    },
}

impl RequestProgress {
    /// Progress of a request of which `bytes` are buffered; none: it has not started.
    pub fn of_buffered(bytes: usize) -> RequestProgress {
        if bytes > 0 { RequestProgress::Partial { bytes } } else { RequestProgress::NotStarted }
    }

    fn buffered_bytes(self) -> usize {
        match self {
            RequestProgress::NotStarted => 0,
            RequestProgress::Partial { bytes } => bytes,
        }
    }
}

/// What ended a wait for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEvent {
    /// Bytes were read.
    Data,
    /// The client closed the connection.
    Closed,
    /// The client sent nothing, and the connection is to be closed.
    CloseRequested,
    /// A part of a request has come, and the connection's descriptor is needed at once.
    Evicted,
    /// The client did not send a whole request in time.
    TimedOut,
    /// The message budget of all connections has no room for this request.
    OverBudget,
}

/// What came of reading behind open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAhead {
    /// Bytes were read.
    Received,
    /// The client has closed the connection, or it broke.
    Disconnected,
}

/// A client's connection.
pub struct ClientConnection {
    stream: Async<TcpStream>,
    slot: ConnectionSlot,
    limits: Rc<Limits>,
    clock: Clock,
    connected_at: Instant,
    arrival_times: ArrivalTimes,
    /// Since when a request is awaited: the first one since the connection was accepted, others since their first
    /// byte; `None` between requests.
    request_awaited_since: Option<Instant>,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(
        stream: Async<TcpStream>,
        slot: ConnectionSlot,
        limits: Rc<Limits>,
        clock: Clock,
    ) -> ClientConnection {
        let connected_at = Instant::now();
        ClientConnection {
            stream,
            slot,
            limits,
            clock,
            connected_at,
            arrival_times: ArrivalTimes::default(),
            request_awaited_since: Some(connected_at),
        }
    }

    /// Whether the connection is to be closed once no request is open.
    pub fn must_close(&self) -> bool {
        self.slot.must_close()
    }

    /// Records that a whole request was taken out of the buffer.
    pub fn request_received(&mut self) {
        self.request_awaited_since = None;
        self.slot.request_received();
    }

    /// When the last byte of the request arrived that was just taken, where `unread` bytes are buffered behind it.
    pub fn arrival_time(&mut self, unread: usize) -> Timestamp {
        self.arrival_times.last_consumed_at(unread).unwrap_or_else(|| self.clock.now())
    }

    /// Whether the client has closed its connection, though bytes of it may be unread.
    pub fn has_disconnected(&self) -> bool {
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let without_waiting = Timespec { tv_sec: 0, tv_nsec: 0 };
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        poll(&mut polled, Some(&without_waiting))
            .is_ok_and(|n| n > 0 && polled[0].revents().intersects(closed))
    }

    /// Whether the client of a request that arrived at `arrived_at` has closed its connection meanwhile.
    ///
    /// Costs a system call, and so is looked for only where the request may have waited to be read: at a connection's
    /// first request, and after `Limits::departure_check_interval` in the buffer.
    pub fn has_disconnected_since(&self, arrived_at: Timestamp) -> bool {
        let check_interval = TimeDelta::from(self.limits.departure_check_interval);
        let waited = self.clock.now() - arrived_at >= check_interval;
        (waited || !self.slot.has_received_request()) && self.has_disconnected()
    }

    /// Reads once; 0 at the end of the stream.
    ///
    /// # Errors
    /// The error of the read: the connection is broken.
    pub async fn read(&mut self, into: &mut Buffer) -> io::Result<usize> {
        self.arrival_times.fill(&self.stream, into, &self.clock).await
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The error of the write, or `TimedOut` where the client does not take them within
    /// `Limits::client_write_timeout`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let deadline = Instant::now() + self.limits.client_write_timeout;
        let written = until(deadline, self.stream.write_all(bytes)).await;
        written.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for input while no request is open.
    ///
    /// The first whole request, and the rest of any that has started, must come within
    /// `Limits::first_request_timeout`. A connection that is to be closed may complete a request that has started,
    /// and one that was just accepted keeps `Limits::silent_client_grace` to send its first, unless it is evicted.
    ///
    /// # Errors
    /// The error of the read: the connection is broken.
    pub async fn wait_for_input(
        &mut self,
        progress: RequestProgress,
        into: &mut Buffer,
    ) -> io::Result<ReadEvent> {
        if !self.slot.try_reserve_message_bytes(progress.buffered_bytes()) {
            return Ok(ReadEvent::OverBudget);
        }
        let now = Instant::now();
        if progress != RequestProgress::NotStarted {
            self.request_awaited_since.get_or_insert(now);
        }
        match self.request_awaited_since {
            Some(since) => self.slot.set_state(SlotState::AwaitingRequest, since),
            None => self.slot.set_state(SlotState::Idle, now),
        }
        let request_deadline =
            self.request_awaited_since.map(|since| since + self.limits.first_request_timeout);
        let grace_end = match self.slot.has_received_request() {
            true => None,
            false => Some(self.connected_at + self.limits.silent_client_grace),
        };
        let closed = async { Ok(wait_for_close(&self.slot, progress, grace_end).await) };
        let timed_out = async { Ok(wait_for_timeout(request_deadline).await) };
        let read = async {
            let count = self.arrival_times.fill(&self.stream, into, &self.clock).await?;
            Ok(if count > 0 { ReadEvent::Data } else { ReadEvent::Closed })
        };
        // Input that has come is read before a request to close is looked at.
        future::or(read, future::or(closed, timed_out)).await
    }

    /// Reads once behind open requests. Once more than `Limits::read_ahead_bytes` bytes are buffered it reads nothing, and
    /// only waits until the client closes the connection.
    pub async fn read_ahead(&mut self, into: &mut Buffer) -> ReadAhead {
        if into.unread().len() > self.limits.read_ahead_bytes {
            self.arrival_times.pause(self.clock.now());
            while !self.has_disconnected() {
                Timer::after(self.limits.departure_check_interval).await;
            }
            return ReadAhead::Disconnected;
        }
        match self.read(into).await {
            Ok(count) if count > 0 => ReadAhead::Received,
            _ => ReadAhead::Disconnected,
        }
    }

    /// Waits until the client closes the connection. Input that comes meanwhile is buffered, up to
    /// `Limits::read_ahead_bytes`.
    pub async fn wait_for_disconnect(&mut self, into: &mut Buffer) {
        while self.read_ahead(into).await == ReadAhead::Received {}
    }

    /// Closes the connection so that what was written arrives: a close with unread input would reset the connection
    /// (RFC 1122, 4.2.2.13), and the client could lose the last answer. Input is read and dropped until the client
    /// closes, up to the time and the bytes of `Limits::close_linger`.
    ///
    /// # Errors
    /// The error of the shutdown: the connection is already broken.
    pub async fn linger(&mut self) -> io::Result<()> {
        let CloseLinger { timeout, bytes: mut bytes_left } = self.limits.close_linger;
        self.slot.release_message_bytes();
        self.slot.set_state(SlotState::Closing, Instant::now());
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let read_chunk = |mut stream: &TcpStream| stream.read(&mut [0; READ_CHUNK_BYTES]);
        let drain = async {
            while let Ok(count) = self.stream.read_with(read_chunk).await
                && count > 0
                && count < bytes_left
            {
                bytes_left -= count;
            }
        };
        until(Instant::now() + timeout, future::or(drain, self.slot.evicted())).await;
        Ok(())
    }
}

/// Waits until the connection has to give way: one with a partial request only to eviction, any other to a request to
/// close. A new one keeps until `grace_end` to send its first request.
async fn wait_for_close(
    slot: &ConnectionSlot,
    progress: RequestProgress,
    grace_end: Option<Instant>,
) -> ReadEvent {
    if progress != RequestProgress::NotStarted {
        slot.evicted().await;
        return ReadEvent::Evicted;
    }
    slot.close_requested().await;
    if let Some(grace_end) = grace_end {
        until(grace_end, slot.evicted()).await;
    }
    ReadEvent::CloseRequested
}

/// Waits until `deadline`; without one, for ever.
async fn wait_for_timeout(deadline: Option<Instant>) -> ReadEvent {
    match deadline {
        Some(deadline) => drop(Timer::at(deadline).await),
        None => future::pending().await,
    }
    ReadEvent::TimedOut
}
