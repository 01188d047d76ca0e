//! The host side: a startup, then one simple query at a time on a connection that is kept.

use super::codec::{self, Malformed};
use super::reply::Reply;
use super::statement::Statement;
use crate::config::Limits;
use crate::net::backend_pool::{AttemptContext, BackendProtocol, ExchangeResult};
use crate::net::buffer::Buffer;
use crate::net::{is_silent, until};
use crate::routing::*;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// What a host gave: RowDescription, DataRow and CommandComplete.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Whole.
    Whole(Vec<u8>),
    /// As it comes, an empty part at its end. Without that end it has broken off.
    Parts(Receiver<Vec<u8>>),
}

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

    /// Reads until the host is ready for a query. A long row passes on as it comes, once `begin` has said where to.
    async fn reply(
        &self,
        c: &mut Connection,
        mut reply: Reply,
        begin: impl AsyncFn() -> Sender<Vec<u8>>,
    ) -> Result<(Reply, Option<Sender<Vec<u8>>>), Broken> {
        let mut parts: Option<Sender<Vec<u8>>> = None;
        loop {
            let used =
                reply.take(c.buffer.unread(), self.limits.postgres_row).map_err(|Malformed(why)| {
                    log::debug!("host: {why}");
                    Broken::Spoilt
                })?;
            c.buffer.consume(used);
            if reply.passes() && !reply.rows.is_empty() {
                let part = std::mem::take(&mut reply.rows);
                if parts.is_none() {
                    parts = Some(begin().await);
                }
                if let Some(to) = &parts
                    && to.send(part).await.is_err()
                {
                    return Err(Broken::Left);
                }
            }
            if reply.finished() {
                return Ok((reply, parts));
            }
            // What has begun comes whole: a host that stops in the midst of an answer has spoilt it.
            let begun = reply.begun() || !c.buffer.unread().is_empty();
            let more = c.buffer.fill(&c.stream);
            let stall = if parts.is_some() {
                self.limits.backend_stall_timeout
            } else {
                self.limits.buffered_answer_stall_timeout
            };
            let more = match begun {
                true => until(Instant::now() + stall, more).await.ok_or(Broken::Spoilt)?,
                false => more.await,
            };
            match more {
                Ok(n) if n > 0 => {}
                // A fatal error needs no ReadyForQuery: the end of the stream ends the reply.
                _ if reply.may_end() => return Ok((reply, parts)),
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
    /// Nobody takes it any more.
    Left,
}

impl BackendProtocol for Pg {
    type Request = Arc<Statement>;
    type Answer = Answer;
    type Connection = Connection;

    async fn handshake(&self, stream: Async<TcpStream>) -> Result<Connection, AttemptOutcome> {
        let mut c = Connection { stream, buffer: Buffer::default() };
        c.stream
            .write_all(&codec::hello("web", "orders"))
            .await
            .map_err(|_| AttemptOutcome::ConnectFailed)?;
        let nowhere = async || async_channel::bounded(1).0;
        let reply = self.reply(&mut c, Reply::to_startup(), nowhere).await;
        let (reply, _) = reply.map_err(|_| AttemptOutcome::ConnectFailed)?;
        match reply.error.as_deref() {
            None if reply.idle() => Ok(c),
            Some("53300" | "57P03") => Err(AttemptOutcome::Overloaded),
            _ => Err(AttemptOutcome::ConnectFailed),
        }
    }

    fn is_silent(&self, c: &Connection) -> bool {
        c.buffer.unread().is_empty() && is_silent(&c.stream)
    }

    async fn exchange(
        &self,
        c: &mut Connection,
        work: &Arc<Statement>,
        trip: &AttemptContext<'_, Arc<Statement>, Answer>,
    ) -> ExchangeResult<Answer> {
        if c.stream.write_all(&codec::query(&work.with_wait(trip.time_left()))).await.is_err() {
            return ExchangeResult::outcome_only(trip.connection_lost());
        }
        trip.mark_sent();
        // A long value is the client's from its first bytes on, and cannot be repeated any more.
        let begin = async || {
            let (to, parts) = async_channel::bounded(self.limits.answer_chunks);
            trip.start_response(Answer::Parts(parts)).await;
            to
        };
        let (reply, parts) =
            match self.reply(c, Reply::to_query(self.limits.postgres_row_buffer), begin).await {
                Ok(replied) => replied,
                Err(Broken::Left) => return ExchangeResult::outcome_only(AttemptOutcome::Cancelled),
                Err(Broken::Off) => return ExchangeResult::outcome_only(trip.connection_lost()),
                // It has run, or may have: as with an error of the host's own. Nothing that it told is believed.
                Err(Broken::Spoilt) => return ExchangeResult::outcome_only(AttemptOutcome::Error),
            };
        let outcome = reply.outcome();
        if let Some(to) = parts.filter(|_| outcome == AttemptOutcome::Served) {
            // Its end is told only where it came whole.
            let _ = to.send(Vec::new()).await;
        }
        ExchangeResult {
            outcome,
            replica_status: reply.replica_status(),
            report: reply.report(&self.report_fields),
            reusable: reply.idle() && c.buffer.unread().is_empty(),
            answer: (outcome == AttemptOutcome::Served).then_some(Answer::Whole(reply.rows)),
        }
    }
}
