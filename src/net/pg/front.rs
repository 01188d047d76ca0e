//! The clients' side: connections that carry one request at a time, and what they are answered.

use super::codec;
use super::session::{Session, State, Step};
use super::statement::{self, Statement};
use crate::config::Limits;
use crate::core::{Final, Handle, Input};
use crate::interface::*;
use crate::net::listen::{Place, Welcome};
use crate::net::until;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What all connections of the front share.
pub struct Front {
    /// The limits.
    pub limits: Rc<Limits>,
    /// The way to the core.
    pub handle: Handle<Arc<Statement>, Vec<u8>>,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Closed once the first list is there.
    pub ready: Receiver<()>,
}

/// Refusals of the front itself ask to come back after so long.
const AGAIN_MS: u32 = 200;
/// A connection that is closed is read for so long, or its last answer may be lost with a reset.
const LINGER: Duration = Duration::from_millis(500);

struct Client<'a> {
    front: &'a Front,
    stream: Async<TcpStream>,
    session: Session,
    place: Place,
    /// When the last bytes came.
    read_at: Micros,
}

enum Heard {
    More,
    Gone,
    Ends,
}

impl Front {
    /// Serves one connection to its end.
    pub async fn serve(&self, stream: Async<TcpStream>, place: Place, welcome: Welcome) {
        let session = Session::new(self.limits.message);
        let mut client = Client { front: self, stream, session, place, read_at: 0 };
        let served = match welcome {
            Welcome::Served => client.run().await,
            Welcome::TurnedAway => client.turn_away().await,
        };
        if let Err(e) = served {
            log::debug!("client: {e}");
        }
    }

    fn ask(&self, s: &Statement) -> Option<Ask> {
        let class = self.classes.iter().position(|c| *c == s.class)?;
        let now = self.handle.clock().now();
        // The module wants the age of the session's last commit; a clock a little ahead makes it no older.
        let token_age = s.after.map(|at| (now - at).max(0));
        Some(Ask {
            class,
            group: s.group,
            token_age,
            session: hash(&s.key),
            repeated: s.repeated,
            ..Ask::default()
        })
    }
}

fn hash(key: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    key.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

fn refusal(text: &str, retry_ms: Option<i64>) -> Vec<u8> {
    let mut out = Vec::new();
    codec::error(&mut out, false, "53300", text, retry_ms.map(|ms| ms.to_string()).as_deref());
    codec::ready(&mut out);
    out
}

fn failure(code: &str, text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    codec::error(&mut out, false, code, text, None);
    codec::ready(&mut out);
    out
}

/// The bytes of a final answer.
pub fn answer(last: Final<Vec<u8>>) -> Vec<u8> {
    match last {
        Final::Served(mut rows) => {
            codec::ready(&mut rows);
            rows
        }
        Final::Refused { retry_in, .. } => {
            refusal("no score host can take this now", retry_in.map(|t| (t / 1000).max(1)))
        }
        Final::Failed { overdue: true } => failure("57014", "no answer came in time"),
        Final::Failed { overdue: false } => failure("58000", "the request failed"),
        Final::UnknownGroup => failure("42704", "no list names this group"),
    }
}

impl Client<'_> {
    async fn read(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let n = self.stream.read(&mut chunk).await?;
        self.read_at = self.front.handle.clock().now();
        self.session.push(&chunk[..n]);
        Ok(n)
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let work = self.stream.write_all(bytes);
        until(Instant::now() + self.front.limits.write, work)
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for bytes, or for the wish to end between requests.
    async fn hear(&mut self) -> io::Result<Heard> {
        let idle = self.session.state() == State::Idle && !self.session.pending();
        self.place.idle(idle);
        let mut chunk = [0; 8192];
        let ends = async {
            if !idle {
                future::pending::<()>().await;
            }
            self.place.ended().await;
            Ok(None)
        };
        let stream = &self.stream;
        let read = async { (&*stream).read(&mut chunk).await.map(Some) };
        // What has come is read before the wish to end is heard.
        let heard = future::or(read, ends).await;
        self.place.idle(false);
        Ok(match heard? {
            None => Heard::Ends,
            Some(0) => Heard::Gone,
            Some(n) => {
                self.read_at = self.front.handle.clock().now();
                self.session.push(&chunk[..n]);
                Heard::More
            }
        })
    }

    async fn run(&mut self) -> io::Result<()> {
        let startup = Instant::now() + self.front.limits.startup;
        loop {
            match self.session.step() {
                Step::Wait if self.session.state() == State::Startup => {
                    let Some(heard) = until(startup, self.hear()).await else { return Ok(()) };
                    if matches!(heard?, Heard::Gone) {
                        return Ok(());
                    }
                }
                Step::Wait => match self.hear().await? {
                    Heard::More => {}
                    Heard::Gone => return Ok(()),
                    Heard::Ends => return self.linger().await,
                },
                Step::Write(bytes) => self.write(&bytes).await?,
                Step::Ready => {
                    let ready = async { while self.front.ready.recv().await.is_ok() {} };
                    until(Instant::now() + self.front.limits.ready, ready).await;
                    self.write(&Session::empty()).await?;
                    self.session.answered();
                }
                Step::Query(text) => {
                    let Some(bytes) = self.query(&text).await? else { return Ok(()) };
                    self.write(&bytes).await?;
                    self.session.answered();
                }
                Step::Close(bytes) => {
                    self.write(&bytes).await?;
                    return self.linger().await;
                }
            }
        }
    }

    /// The one answer to a statement; `None` when the client has gone.
    async fn query(&mut self, text: &str) -> io::Result<Option<Vec<u8>>> {
        let statement = match statement::parse(text) {
            Ok(statement) => statement,
            Err(why) => {
                log::warn!("client: {why}");
                return Ok(Some(failure("42601", &why)));
            }
        };
        let Some(ask) = self.front.ask(&statement) else {
            log::warn!("client: unknown class {:?}", statement.class);
            return Ok(Some(failure("22023", "unknown class")));
        };
        let margin = self.front.limits.margin.as_micros() as Micros;
        let deadline = self.read_at + (statement.patience - margin).max(0);
        let front = self.front;
        let Some((id, reply)) = front.handle.submit(ask, deadline, Arc::new(statement)).await else {
            return Ok(Some(refusal("the pooler is ending", Some(AGAIN_MS.into()))));
        };
        let last = async { Some(reply.recv().await) };
        let gone = async {
            while !self.session.full() {
                if !matches!(self.read().await, Ok(n) if n > 0) {
                    return None;
                }
            }
            future::pending().await
        };
        match future::or(last, gone).await {
            Some(last) => Ok(Some(answer(last.unwrap_or(Final::Failed { overdue: false })))),
            None => {
                front.handle.input(Input::Lapsed(id)).await;
                Ok(None)
            }
        }
    }

    /// Tells a client that there are too many connections: a refusal, so that it may come again.
    async fn turn_away(&mut self) -> io::Result<()> {
        let end = Instant::now() + LINGER;
        while self.session.state() == State::Startup {
            match self.session.step() {
                Step::Write(bytes) if self.session.state() == State::Startup => self.write(&bytes).await?,
                Step::Wait => match until(end, self.read()).await {
                    Some(Ok(n)) if n > 0 => {}
                    _ => return Ok(()),
                },
                _ => break,
            }
        }
        let mut out = Vec::new();
        codec::error(&mut out, true, "53300", "too many connections", Some(&AGAIN_MS.to_string()));
        self.write(&out).await?;
        self.linger().await
    }

    /// Closes so that what was written arrives: reads on for a while.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let read = async { while matches!(self.stream.read(&mut [0; 1024]).await, Ok(n) if n > 0) {} };
        until(Instant::now() + LINGER, read).await;
        Ok(())
    }
}
