//! A client's connection, as used by all fronts: reads that record arrival times, writes with a timeout, waits between
//! requests, and a close that does not lose the last answer.

mod arrival_times;
mod pacing;

use super::buffer::{Buffer, READ_CHUNK_BYTES};
use super::connection_limiter::{ConnectionSlot, SlotState};
use super::turn::Turn;
use super::{is_idle, until};
use crate::clock::Clock;
use crate::config::{CloseLinger, Limits};
use crate::time::{TimeDelta, Timestamp};
use arrival_times::ArrivalTimes;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use pacing::CommandPacer;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How much longer than `Limits::first_request_timeout` a client may send without a break until a request is complete.
const CONSTANT_INPUT_GRACE: Duration = Duration::from_millis(250);

/// How much of the next request is buffered while a connection waits for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// No byte has been received.
    NotStarted,
    /// Some bytes, but not all, have been received.
    Partial {
        /// Number of buffered bytes; they count against `Limits::message_budget_bytes`.
        bytes: usize,
    },
}

impl RequestProgress {
    /// Progress of an incomplete request of which `bytes` bytes are buffered.
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

/// The event that ended a wait for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEvent {
    /// Bytes were read.
    Data,
    /// The client closed the connection.
    Closed,
    /// The limiter notified the connection to close, and no request has started.
    CloseRequested,
    /// The limiter evicted the connection while a request was incomplete.
    Evicted,
    /// The client did not send a complete request in time.
    TimedOut,
    /// The request does not fit into the message budget that all connections share.
    OverBudget,
}

/// Result of reading ahead while requests are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAhead {
    /// Bytes were read.
    Received,
    /// The client has closed the connection, or the connection broke.
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
    turn: Turn,
    pacer: CommandPacer,
    /// Whether input was read since the last check whether the client has disconnected.
    has_unchecked_input: bool,
    /// Start of the timeout for the next complete request: for the first request the time of the accept, for others
    /// that of their first byte; `None` between requests.
    request_awaited_since: Option<Instant>,
}

impl ClientConnection {
    /// Wraps a connection that was just accepted; the timeout for its first request starts now.
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
            turn: Turn::default(),
            pacer: CommandPacer::new(connected_at),
            has_unchecked_input: false,
            request_awaited_since: Some(connected_at),
        }
    }

    /// Whether the front must close the connection once no request is open.
    pub fn must_close(&self) -> bool {
        self.slot.must_close()
    }

    /// Records that a complete request was taken out of the buffer.
    pub fn request_received(&mut self) {
        self.request_awaited_since = None;
        self.slot.request_received();
    }

    /// Arrival time of the last byte of the request that was just taken out of the buffer, which still holds `unread`
    /// bytes after it.
    pub fn arrival_time(&mut self, unread: usize) -> Timestamp {
        self.arrival_times.last_consumed_at(unread).unwrap_or_else(|| self.clock.now())
    }

    /// Whether the socket has input that was not read, or the client has closed the connection.
    pub fn has_input(&self) -> bool {
        !is_idle(&self.stream)
    }

    /// Whether the client has closed its connection, even if received bytes are still unread.
    pub fn has_disconnected(&self) -> bool {
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let without_waiting = Timespec { tv_sec: 0, tv_nsec: 0 };
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        poll(&mut polled, Some(&without_waiting))
            .is_ok_and(|ready_count| ready_count > 0 && polled[0].revents().intersects(closed))
    }

    /// Whether the client of a request that was read at `read_at` has closed its connection.
    ///
    /// The check costs a system call, so it is made only if the answer may have changed: for the first request after
    /// each read, since its bytes may have waited in the socket, and for those that waited in the buffer for
    /// `Limits::departure_check_interval`.
    pub fn has_disconnected_since(&mut self, read_at: Timestamp) -> bool {
        let check_interval = TimeDelta::from(self.limits.departure_check_interval);
        let has_waited = self.clock.now() - read_at >= check_interval;
        let is_first_after_read = std::mem::take(&mut self.has_unchecked_input);
        (has_waited || is_first_after_read) && self.has_disconnected()
    }

    /// Counts a step in which the connection's task decoded `bytes` bytes of input, see [`Turn::step_over`]. Loops that
    /// neither read nor write call it.
    pub async fn step_over(&self, bytes: usize) {
        self.turn.step_over(bytes).await;
    }

    /// Counts a command of `bytes` bytes that the front answers without an endpoint. Too many of them begin a pause.
    pub fn charge_command(&mut self, bytes: usize) {
        let now = Instant::now();
        self.pacer.charge(now, bytes, self.slot.paced_connections());
        let is_paced = self.pacer.is_paced(now);
        if is_paced && !self.slot.is_paced() {
            log::warn!(
                "client {}: paced: it sends commands that no endpoint gets at full speed",
                self.peer()
            );
        }
        self.slot.set_paced(is_paced);
    }

    /// When the current pause ends; `None` if there is none. Until then the front takes no command out of its buffer.
    pub fn paused_until(&self) -> Option<Instant> {
        self.pacer.paused_until(Instant::now())
    }

    /// Waits until the current pause ends, or the connection is evicted. Returns false in the second case.
    pub async fn wait_until_resumed(&mut self) -> bool {
        let Some(resume_at) = self.paused_until() else { return true };
        self.arrival_times.pause(self.clock.now());
        until(resume_at, self.slot.evicted()).await.is_none()
    }

    /// Whether the client has not completed a request in time although it sends without a break.
    pub fn is_request_overdue(&self) -> bool {
        let longest_wait = self.limits.first_request_timeout + CONSTANT_INPUT_GRACE;
        self.request_awaited_since.is_some_and(|since| since.elapsed() >= longest_wait)
    }

    /// The client's address, for log lines.
    pub fn peer(&self) -> String {
        self.stream.get_ref().peer_addr().map_or_else(|_| "(disconnected)".into(), |peer| peer.to_string())
    }

    /// Reads once and returns the number of bytes, 0 at the end of the stream.
    ///
    /// # Errors
    /// The I/O error of the read; the connection is broken.
    pub async fn read(&mut self, into: &mut Buffer) -> io::Result<usize> {
        self.turn.step().await;
        let count = self.arrival_times.fill(&self.stream, into, &self.clock).await?;
        self.has_unchecked_input = true;
        Ok(count)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The I/O error of the write, or `TimedOut` if the client does not accept all bytes within
    /// `Limits::client_write_timeout`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.turn.step().await;
        let deadline = Instant::now() + self.limits.client_write_timeout;
        let written = until(deadline, self.stream.write_all(bytes)).await;
        written.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for input while no request is open.
    ///
    /// The complete first request must arrive within `Limits::first_request_timeout` of the accept, any other request
    /// within the same time of its first byte. A connection that was notified to close may still complete a request
    /// that has started, and a new one has `Limits::silent_client_grace` to send its first request, unless it is
    /// evicted.
    ///
    /// # Errors
    /// The I/O error of the read; the connection is broken.
    pub async fn wait_for_input(
        &mut self,
        progress: RequestProgress,
        into: &mut Buffer,
    ) -> io::Result<ReadEvent> {
        if !self.slot.try_reserve_message_bytes(progress.buffered_bytes()) {
            return Ok(ReadEvent::OverBudget);
        }
        self.turn.step().await;
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
        // The timeout below fires only when there is nothing to read.
        if self.is_request_overdue() {
            return Ok(ReadEvent::TimedOut);
        }
        let grace_end = match self.slot.has_received_request() {
            true => None,
            false => Some(self.connected_at + self.limits.silent_client_grace),
        };
        let closed = async { Ok(wait_for_close(&self.slot, progress, grace_end).await) };
        let timed_out = async { Ok(wait_for_timeout(request_deadline).await) };
        let read = async {
            let count = self.arrival_times.fill(&self.stream, into, &self.clock).await?;
            self.has_unchecked_input = true;
            Ok(if count > 0 { ReadEvent::Data } else { ReadEvent::Closed })
        };
        // `or` prefers its first argument: input that has arrived is read before a request to close takes effect.
        future::or(read, future::or(closed, timed_out)).await
    }

    /// Reads once while requests are open. If more than `Limits::read_ahead_bytes` bytes are buffered, reads nothing
    /// and only waits until the client closes the connection.
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

    /// Waits until the client closes the connection. Input that arrives in the meantime is buffered, until more than
    /// `Limits::read_ahead_bytes` are.
    pub async fn wait_for_disconnect(&mut self, into: &mut Buffer) {
        while self.read_ahead(into).await == ReadAhead::Received {}
    }

    /// Closes the connection without losing written data: closing with unread input would reset the connection
    /// (RFC 1122, 4.2.2.13), and the client could lose the last answer. Shuts down the write side, then reads and
    /// discards input until the client closes, within the time and the bytes of `Limits::close_linger`.
    ///
    /// # Errors
    /// The I/O error of the shutdown; the connection is already broken.
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
                self.turn.step().await;
            }
        };
        until(Instant::now() + timeout, future::or(drain, self.slot.evicted())).await;
        Ok(())
    }
}

/// Waits until the limiter closes the connection. A partial request ends only on eviction; without one, a request to
/// close suffices, but a new connection may use the time until `grace_end` to send its first request.
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

/// Waits until `deadline`, or forever if there is none.
async fn wait_for_timeout(deadline: Option<Instant>) -> ReadEvent {
    match deadline {
        Some(deadline) => drop(Timer::at(deadline).await),
        None => future::pending().await,
    }
    ReadEvent::TimedOut
}
