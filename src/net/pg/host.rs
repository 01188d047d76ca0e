//! The host side: a startup, then one simple query at a time on a connection that is kept.

use super::codec::{self, Malformed};
use super::reply::Reply;
use super::statement::Statement;
use crate::config::Limits;
use crate::interface::*;
use crate::net::buffer::Buffer;
use crate::net::hosts::{Exchange, Trip, Wire, silent};
use crate::net::until;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// PostgreSQL's protocol towards hosts.
pub struct Pg {
    limits: Rc<Limits>,
    report_fields: Vec<String>,
}

/// A connection that is past its startup.
pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

impl Pg {
    /// Reads load reports with these fields.
    pub fn new(limits: Rc<Limits>, report_fields: Vec<String>) -> Pg {
        Pg { limits, report_fields }
    }

    /// Reads until the host is ready for a query.
    async fn reply(&self, c: &mut Connection, mut reply: Reply) -> Result<Reply, Broken> {
        loop {
            let used = reply.take(c.buffer.unread(), self.limits.answer).map_err(|Malformed(why)| {
                log::debug!("host: {why}");
                Broken::Spoilt
            })?;
            c.buffer.consume(used);
            if reply.finished() {
                return Ok(reply);
            }
            // What has begun comes whole: a host that stops in the midst of an answer has spoilt it.
            let begun = reply.begun() || !c.buffer.unread().is_empty();
            let more = c.buffer.fill(&c.stream);
            let more = match begun {
                true => until(Instant::now() + self.limits.answer_stall, more).await.ok_or(Broken::Spoilt)?,
                false => more.await,
            };
            match more {
                Ok(n) if n > 0 => {}
                // A fatal error needs no ReadyForQuery: the end of the stream ends the reply.
                _ if reply.may_end() => return Ok(reply),
                _ => return Err(Broken::Off),
            }
        }
    }
}

/// Why there is no reply.
enum Broken {
    /// The connection broke or ended.
    Off,
    /// What came is no answer. The connection serves no further use.
    Spoilt,
}

impl Wire for Pg {
    type Work = Arc<Statement>;
    type Answer = Vec<u8>;
    type Connection = Connection;

    async fn open(&self, stream: Async<TcpStream>) -> Result<Connection, Outcome> {
        let mut c = Connection { stream, buffer: Buffer::default() };
        c.stream.write_all(&codec::hello("web", "orders")).await.map_err(|_| Outcome::ConnectFailed)?;
        let reply = self.reply(&mut c, Reply::to_startup()).await.map_err(|_| Outcome::ConnectFailed)?;
        match reply.error.as_deref() {
            None if reply.idle() => Ok(c),
            Some("53300" | "57P03") => Err(Outcome::Full),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    fn quiet(&self, c: &Connection) -> bool {
        c.buffer.unread().is_empty() && silent(&c.stream)
    }

    async fn exchange(
        &self,
        c: &mut Connection,
        work: &Arc<Statement>,
        trip: &Trip<'_, Arc<Statement>, Vec<u8>>,
    ) -> Exchange<Vec<u8>> {
        if c.stream.write_all(&codec::query(&work.with_wait(trip.left()))).await.is_err() {
            return Exchange::bare(trip.broken());
        }
        trip.written();
        let reply = match self.reply(c, Reply::default()).await {
            Ok(reply) => reply,
            Err(Broken::Off) => return Exchange::bare(trip.broken()),
            // It has run, or may have: as with an error of the host's own. Nothing that it told is believed.
            Err(Broken::Spoilt) => return Exchange::bare(Outcome::Error),
        };
        let outcome = reply.outcome();
        Exchange {
            outcome,
            mark: reply.mark(),
            report: reply.report(&self.report_fields),
            reusable: reply.idle() && c.buffer.unread().is_empty(),
            answer: (outcome == Outcome::Ok).then_some(reply.rows),
        }
    }
}
