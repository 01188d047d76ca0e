//! A client's connection as every front uses it: reads, writes within a time, waits between requests, and
//! an end that does not lose the last answer.

use super::buffer::Buffer;
use super::listen::{Place, Standing};
use super::until;
use crate::clock::Clock;
use crate::config::Limits;
use crate::interface::Micros;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Read at a time of what is passed over.
const CHUNK: usize = 16 * 1024;

/// What a client did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Bytes came.
    More,
    /// It has gone.
    Gone,
    /// It did nothing, and the connection is to end.
    Ends,
    /// It has not sent a whole request in time.
    Late,
    /// There is no room for what it sends.
    Full,
}

/// A client's connection.
pub struct Link {
    stream: Async<TcpStream>,
    place: Place,
    limits: Rc<Limits>,
    clock: Clock,
    /// When the last bytes came.
    pub read_at: Micros,
    /// Since when a request is awaited: from the connection for the first, from its first byte for others.
    awaited: Option<Instant>,
    wrote: Option<Instant>,
}

impl Link {
    /// Takes a connection over.
    pub fn new(stream: Async<TcpStream>, place: Place, limits: Rc<Limits>, clock: Clock) -> Link {
        let awaited = Some(Instant::now());
        Link { read_at: clock.now(), stream, place, limits, clock, awaited, wrote: None }
    }

    /// Whether the connection is to end between requests.
    pub fn ends(&self) -> bool {
        self.place.ends()
    }

    /// A whole request has come.
    pub fn taken(&mut self) {
        self.awaited = None;
        self.place.asked();
    }

    /// Reads once; 0 at the end of the stream.
    pub async fn read(&mut self, into: &mut Buffer) -> io::Result<usize> {
        let n = into.fill(&self.stream).await?;
        self.read_at = self.clock.now();
        Ok(n)
    }

    /// Writes all, within the time a client has to take it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let work = self.stream.write_all(bytes);
        let done = until(Instant::now() + self.limits.write, work).await;
        self.wrote = Some(Instant::now());
        done.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for bytes where no request is open. With `partial` a part of one has come, `held` bytes of it.
    /// Whoever has yet to send a whole one has so long for it, and may make room for others meanwhile; so may
    /// who stands between requests.
    pub async fn hear(&mut self, partial: bool, held: usize, into: &mut Buffer) -> io::Result<Heard> {
        if !self.place.hold(held) {
            return Ok(Heard::Full);
        }
        let now = Instant::now();
        if partial {
            self.awaited.get_or_insert(now);
        }
        let (standing, since) = self.awaited.map_or((Standing::Idle, now), |at| (Standing::Waiting, at));
        self.place.stands(standing, since);
        let late = self.awaited.map(|at| at + self.limits.startup);
        let (stream, place) = (&self.stream, &self.place);
        let ends = async {
            place.ended().await;
            Ok(Heard::Ends)
        };
        let late = async {
            match late {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Ok(Heard::Late)
        };
        let read = async { into.fill(stream).await.map(|n| if n > 0 { Heard::More } else { Heard::Gone }) };
        // What has come is read before the wish to end is heard.
        let heard = future::or(read, future::or(ends, late)).await;
        self.read_at = self.clock.now();
        heard
    }

    /// Reads once behind requests that are open; false: the client has gone. Comes back no more once
    /// `Limits::ahead` bytes wait.
    pub async fn more(&mut self, into: &mut Buffer) -> bool {
        if into.unread().len() > self.limits.ahead {
            future::pending::<()>().await;
        }
        matches!(self.read(into).await, Ok(n) if n > 0)
    }

    /// Comes back when the client has gone. What it sends meanwhile is kept, up to `Limits::ahead`.
    pub async fn gone(&mut self, into: &mut Buffer) {
        while self.more(into).await {}
    }

    /// Closes so that what was written arrives: a close over unread bytes would reset the connection. What
    /// comes meanwhile is passed over, not kept, and not for ever.
    pub async fn linger(&mut self) -> io::Result<()> {
        let (time, mut left) = self.limits.linger;
        if self.wrote.is_none_or(|at| at.elapsed() > time) {
            return Ok(());
        }
        self.place.hold(0);
        self.place.stands(Standing::Waiting, Instant::now());
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
        until(Instant::now() + time, future::or(read, place.ended())).await;
        Ok(())
    }
}
