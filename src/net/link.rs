//! A client's connection as every front uses it: reads, writes within a time, waits between requests, and
//! an end that does not lose the last answer.

use super::buffer::Buffer;
use super::listen::Place;
use super::until;
use crate::clock::Clock;
use crate::config::Limits;
use crate::interface::Micros;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Read at a time.
const CHUNK: usize = 8192;

/// What a client did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Bytes came.
    More,
    /// It has gone.
    Gone,
    /// It did nothing, and the connection is to end.
    Ends,
}

/// A client's connection.
pub struct Link {
    stream: Async<TcpStream>,
    place: Place,
    limits: Rc<Limits>,
    clock: Clock,
    /// When the last bytes came.
    pub read_at: Micros,
}

impl Link {
    /// Takes a connection over.
    pub fn new(stream: Async<TcpStream>, place: Place, limits: Rc<Limits>, clock: Clock) -> Link {
        Link { read_at: clock.now(), stream, place, limits, clock }
    }

    /// Whether the connection is to end between requests.
    pub fn ends(&self) -> bool {
        self.place.ends()
    }

    /// Reads once; 0 at the end of the stream.
    pub async fn read(&mut self, into: &mut Buffer) -> io::Result<usize> {
        let mut chunk = [0; CHUNK];
        let n = self.stream.read(&mut chunk).await?;
        self.read_at = self.clock.now();
        into.push(&chunk[..n]);
        Ok(n)
    }

    /// Writes all, within the time a client has to take it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let work = self.stream.write_all(bytes);
        until(Instant::now() + self.limits.write, work).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for bytes; between requests (`idle`) also for the wish to end.
    pub async fn hear(&mut self, idle: bool, into: &mut Buffer) -> io::Result<Heard> {
        self.place.idle(idle);
        let mut chunk = [0; CHUNK];
        let (stream, place) = (&self.stream, &self.place);
        let ends = async {
            if !idle {
                future::pending::<()>().await;
            }
            place.ended().await;
            Ok(None)
        };
        let read = async { (&*stream).read(&mut chunk).await.map(Some) };
        // What has come is read before the wish to end is heard.
        let heard = future::or(read, ends).await;
        self.place.idle(false);
        Ok(match heard? {
            None => Heard::Ends,
            Some(0) => Heard::Gone,
            Some(n) => {
                self.read_at = self.clock.now();
                into.push(&chunk[..n]);
                Heard::More
            }
        })
    }

    /// Comes back when the client has gone. What it sends meanwhile is kept, up to `most` bytes.
    pub async fn gone(&mut self, into: &mut Buffer, most: usize) {
        while into.unread().len() <= most {
            if !matches!(self.read(into).await, Ok(n) if n > 0) {
                return;
            }
        }
        future::pending().await
    }

    /// Closes so that what was written arrives: a close over unread bytes would reset the connection.
    pub async fn linger(&mut self) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let read = async { while matches!(self.stream.read(&mut [0; 1024]).await, Ok(n) if n > 0) {} };
        until(Instant::now() + self.limits.linger, read).await;
        Ok(())
    }
}
