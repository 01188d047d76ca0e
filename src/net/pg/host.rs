//! The host side: a startup, then one simple query at a time on a connection that is kept.

use super::codec::{self, message};
use super::statement::Statement;
use crate::config::Limits;
use crate::interface::*;
use crate::net::buffer::Buffer;
use crate::net::hosts::{Exchange, Trip, Wire, figure, report_of, silent};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;

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

/// What came back on a query, until it is ready for another.
#[derive(Default)]
struct Reply {
    /// RowDescription, DataRow and CommandComplete as they came.
    rows: Vec<u8>,
    described: bool,
    row: usize,
    complete: bool,
    error: Option<String>,
    role: Option<bool>,
    position: Option<Micros>,
    vitals: Option<String>,
    finished: bool,
}

impl Reply {
    /// Takes one message.
    fn take(&mut self, kind: u8, body: &[u8], whole: &[u8]) {
        match kind {
            b'T' => self.described = true,
            b'D' => self.row += 1,
            b'C' => self.complete = true,
            b'E' => {
                let code = codec::field(body, b'C').unwrap_or("").to_string();
                log::debug!("host: {code} {}", codec::field(body, b'M').unwrap_or(""));
                self.error = Some(code);
            }
            b'S' => match codec::status(body) {
                Some(("rank", value)) => self.role = Some(value == "source"),
                Some(("as_of", value)) => {
                    self.position = value.parse().ok().and_then(|ms: Micros| ms.checked_mul(1000));
                }
                Some(("vitals", value)) => self.vitals = Some(value.to_string()),
                _ => {}
            },
            b'Z' => self.finished = true,
            _ => {}
        }
        if matches!(kind, b'T' | b'D' | b'C') {
            self.rows.extend_from_slice(whole);
        }
    }

    fn outcome(&self) -> Outcome {
        match self.error.as_deref() {
            None if self.described && self.row == 1 && self.complete => Outcome::Ok,
            Some("25006" | "72000") => Outcome::Miss,
            Some("53300" | "57P03") => Outcome::Full,
            _ => Outcome::Error,
        }
    }

    fn mark(&self) -> Option<Mark> {
        Some(Mark { primary: self.role?, position: self.position.unwrap_or(0) })
    }

    fn report(&self, fields: &[String]) -> Report {
        report_of(fields, |name| figure(self.vitals.as_deref().unwrap_or(""), name))
    }
}

impl Pg {
    /// Reads load reports with these fields.
    pub fn new(limits: Rc<Limits>, report_fields: Vec<String>) -> Pg {
        Pg { limits, report_fields }
    }

    /// Reads until the host is ready for a query.
    async fn reply(&self, c: &mut Connection) -> io::Result<Reply> {
        let mut reply = Reply::default();
        loop {
            let bytes = c.buffer.unread();
            match message(bytes, self.limits.answer) {
                Err(why) => return Err(io::Error::new(io::ErrorKind::InvalidData, why.0)),
                Ok(Some((kind, body, used))) => {
                    reply.take(kind, body, &bytes[..used]);
                    c.buffer.consume(used);
                    if reply.rows.len() > self.limits.answer {
                        return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long"));
                    }
                    if reply.finished {
                        return Ok(reply);
                    }
                }
                Ok(None) => {
                    let n = c.buffer.fill(&mut c.stream).await;
                    // A fatal error needs no ReadyForQuery: the end of the stream ends the reply.
                    if !matches!(n, Ok(n) if n > 0) {
                        return if reply.error.is_some() || reply.complete {
                            Ok(reply)
                        } else {
                            n.and(Err(io::ErrorKind::UnexpectedEof.into()))
                        };
                    }
                }
            }
        }
    }
}

impl Wire for Pg {
    type Work = Arc<Statement>;
    type Answer = Vec<u8>;
    type Connection = Connection;

    async fn open(&self, stream: Async<TcpStream>) -> Result<Connection, Outcome> {
        let mut c = Connection { stream, buffer: Buffer::default() };
        c.stream.write_all(&codec::hello("web", "orders")).await.map_err(|_| Outcome::ConnectFailed)?;
        let reply = self.reply(&mut c).await.map_err(|_| Outcome::ConnectFailed)?;
        match reply.error.as_deref() {
            None if reply.finished => Ok(c),
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
        trip.sent.set(true);
        let Ok(reply) = self.reply(c).await else { return Exchange::bare(trip.broken()) };
        let outcome = reply.outcome();
        if outcome == Outcome::Error {
            log::debug!("host: error {:?}, {} rows", reply.error, reply.row);
        }
        Exchange {
            outcome,
            mark: reply.mark(),
            report: reply.report(&self.report_fields),
            reusable: reply.finished && c.buffer.unread().is_empty(),
            answer: (outcome == Outcome::Ok).then_some(reply.rows),
        }
    }
}
