//! A client's connection as every front uses it: reads, writes within a time, waits between requests, and
//! an end that does not lose the last answer.

use super::buffer::{Buffer, CHUNK};
use super::connection_limiter::{ConnectionSlot, SlotState};
use super::until;
use crate::clock::Clock;
use crate::config::Limits;
use crate::time::{TimeDelta, Timestamp};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Reads whose times are kept for a connection.
const READS: usize = 64;

/// What a client did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEvent {
    /// Bytes came.
    Data,
    /// It has gone.
    Closed,
    /// It did nothing, and the connection is to end.
    CloseRequested,
    /// A part of a request has come, and its descriptor is needed at once.
    Evicted,
    /// It has not sent a whole request in time.
    TimedOut,
    /// There is no room for what it sends.
    OverBudget,
}

/// A client's connection.
pub struct ClientConnection {
    stream: Async<TcpStream>,
    place: ConnectionSlot,
    limits: Rc<Limits>,
    clock: Clock,
    connected: Instant,
    arrivals: Arrivals,
    /// Since when a request is awaited: from the connection for the first, from its first byte for others.
    awaited: Option<Instant>,
}

/// When the bytes of a connection came: a request that waits behind others in the buffer has its own time.
#[derive(Default)]
struct Arrivals {
    /// Bytes that were read so far.
    total: u64,
    /// Up to which byte was read at which time, for what is not used yet.
    reads: VecDeque<(u64, Timestamp)>,
    /// Since when nothing was read, though bytes may have come.
    paused: Option<Timestamp>,
}

impl Arrivals {
    /// Reads once into a buffer; 0 at the end of the stream.
    async fn fill(
        &mut self,
        stream: &Async<TcpStream>,
        into: &mut Buffer,
        clock: &Clock,
    ) -> io::Result<usize> {
        let unread = into.unread().len();
        let n = into.fill(stream).await?;
        self.read(unread, n, clock.now());
        Ok(n)
    }

    /// Notes a read behind so many bytes that are not used yet. What comes after a pause may have waited for as long
    /// as that, until less than a full read is there.
    fn read(&mut self, unread: usize, bytes: usize, now: Timestamp) {
        let used = self.total.saturating_sub(unread as u64);
        while self.reads.front().is_some_and(|(end, _)| *end <= used) {
            self.reads.pop_front();
        }
        if self.reads.len() >= READS
            && let Some((end, _)) = self.reads.remove(1)
        {
            // What comes in many pieces is taken to have come earlier rather than later.
            self.reads[0].0 = end;
        }
        self.total += bytes as u64;
        self.reads.push_back((self.total, self.paused.unwrap_or(now)));
        if bytes < CHUNK {
            self.paused = None;
        }
    }

    /// When the last byte came that was used, where so many bytes are not used yet.
    fn of_used(&mut self, unread: usize) -> Option<Timestamp> {
        let used = self.total.saturating_sub(unread as u64);
        while self.reads.len() > 1 && self.reads.front().is_some_and(|(end, _)| *end < used) {
            self.reads.pop_front();
        }
        self.reads.front().map(|(_, at)| *at)
    }
}

impl ClientConnection {
    /// Takes a connection over.
    pub fn new(
        stream: Async<TcpStream>,
        place: ConnectionSlot,
        limits: Rc<Limits>,
        clock: Clock,
    ) -> ClientConnection {
        let connected = Instant::now();
        let (arrivals, awaited) = (Arrivals::default(), Some(connected));
        ClientConnection { stream, place, limits, clock, connected, arrivals, awaited }
    }

    /// Whether the connection is to end between requests.
    pub fn ends(&self) -> bool {
        self.place.must_close()
    }

    /// A whole request has come.
    pub fn request_received(&mut self) {
        self.awaited = None;
        self.place.request_received();
    }

    /// When the last byte of the request came that was just taken, where so many bytes are not used yet.
    pub fn arrival_time(&mut self, unread: usize) -> Timestamp {
        self.arrivals.of_used(unread).unwrap_or_else(|| self.clock.now())
    }

    /// Whether the client has closed its connection, though bytes of it may be unread.
    pub fn has_departed(&self) -> bool {
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        poll(&mut polled, Some(&at_once)).is_ok_and(|n| n > 0 && polled[0].revents().intersects(over))
    }

    /// Whether the client of a request that came at `arrived` has gone meanwhile. It is looked for only where the
    /// request may have waited to be read.
    pub fn has_departed_since(&self, arrived: Timestamp) -> bool {
        let waited = self.clock.now() - arrived >= TimeDelta::from(self.limits.departure_check_interval);
        (waited || !self.place.has_received_request()) && self.has_departed()
    }

    /// Reads once; 0 at the end of the stream.
    pub async fn read(&mut self, into: &mut Buffer) -> io::Result<usize> {
        self.arrivals.fill(&self.stream, into, &self.clock).await
    }

    /// Writes all, within the time a client has to take it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let work = self.stream.write_all(bytes);
        let done = until(Instant::now() + self.limits.client_write_timeout, work).await;
        done.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for bytes where no request is open. With `partial` a part of one has come, `held` bytes of it.
    /// Whoever has yet to send a whole one has so long for it, and may make room for others meanwhile; so may
    /// who stands between requests. One that is to end may complete what it has begun, and one that has just come
    /// may ask.
    pub async fn wait_for_input(
        &mut self,
        partial: bool,
        held: usize,
        into: &mut Buffer,
    ) -> io::Result<ReadEvent> {
        if !self.place.reserve_message_bytes(held) {
            return Ok(ReadEvent::OverBudget);
        }
        let now = Instant::now();
        if partial {
            self.awaited.get_or_insert(now);
        }
        let (standing, since) =
            self.awaited.map_or((SlotState::Idle, now), |at| (SlotState::AwaitingRequest, at));
        self.place.set_state(standing, since);
        let late = self.awaited.map(|at| at + self.limits.first_request_timeout);
        let (stream, place) = (&self.stream, &self.place);
        let fresh =
            (!place.has_received_request()).then_some(self.connected + self.limits.silent_client_grace);
        let ends = async {
            if partial {
                place.evicted().await;
                return Ok(ReadEvent::Evicted);
            }
            place.close_requested().await;
            if let Some(at) = fresh {
                future::or(place.evicted(), async { _ = Timer::at(at).await }).await;
            }
            Ok(ReadEvent::CloseRequested)
        };
        let late = async {
            match late {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Ok(ReadEvent::TimedOut)
        };
        let (arrivals, clock) = (&mut self.arrivals, &self.clock);
        let read = async {
            let n = arrivals.fill(stream, into, clock).await?;
            Ok(if n > 0 { ReadEvent::Data } else { ReadEvent::Closed })
        };
        // What has come is read before the wish to end is heard.
        future::or(read, future::or(ends, late)).await
    }

    /// Reads once behind requests that are open; false: the client has gone. Once `Limits::ahead` bytes wait it
    /// reads no more, and only looks whether the client is still there.
    pub async fn read_ahead(&mut self, into: &mut Buffer) -> bool {
        if into.unread().len() > self.limits.read_ahead {
            self.arrivals.paused.get_or_insert(self.clock.now());
            while !self.has_departed() {
                Timer::after(self.limits.departure_check_interval).await;
            }
            return false;
        }
        matches!(self.read(into).await, Ok(n) if n > 0)
    }

    /// Comes back when the client has gone. What it sends meanwhile is kept, up to `Limits::ahead`.
    pub async fn wait_for_departure(&mut self, into: &mut Buffer) {
        while self.read_ahead(into).await {}
    }

    /// Closes so that what was written arrives: a close over unread bytes would reset the connection. What
    /// comes meanwhile is passed over, not kept, and not for ever.
    pub async fn linger(&mut self) -> io::Result<()> {
        let (time, mut left) = self.limits.close_linger;
        self.place.reserve_message_bytes(0);
        self.place.set_state(SlotState::Closing, Instant::now());
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let (stream, place) = (&self.stream, &self.place);
        let pass = |mut stream: &TcpStream| stream.read(&mut [0; CHUNK]);
        let read = async {
            while let Ok(n) = stream.read_with(pass).await
                && n > 0
                && n < left
            {
                left -= n;
            }
        };
        until(Instant::now() + time, future::or(read, place.evicted())).await;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
