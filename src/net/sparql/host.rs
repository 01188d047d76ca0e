//! The host side: an operation to a host that speaks SPARQL over HTTP, and what its answer means.

use super::operation::Operation;
use super::{LOAD, POSITION, ROLE};
use crate::config::Limits;
use crate::engine::Freshness;
use crate::engine::load_report::report_of;
use crate::net::backend_pool::{AttemptContext, BackendProtocol, ExchangeResult, load_report_value};
use crate::net::http::client::Client;
use crate::net::http::codec::{Body, Head};
use crate::net::until;
use crate::routing::*;
use async_channel::Receiver;
use async_io::Async;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// The body of an answer.
#[derive(Clone, Debug)]
pub enum Content {
    /// All of it.
    Whole(Vec<u8>),
    /// Too long to be held back: parts, then an empty one. A channel that closes without the empty part:
    /// the host broke off.
    Parts(Receiver<Vec<u8>>),
}

/// A host's answer on its way to the client.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers that pass through.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub content: Content,
}

/// SPARQL over HTTP towards hosts.
pub struct Sparql {
    limits: Rc<Limits>,
    path: String,
    /// What hosts are told of whom a request came through (RFC 9110, 7.6.3).
    via: String,
    report_fields: Vec<String>,
}

type OwnTrip<'a> = AttemptContext<'a, Arc<Operation>, Answer>;

/// What a host's answer says about the host.
fn replica_status(head: &Head) -> Option<ReplicaStatus> {
    let primary = match head.get(ROLE)? {
        "primary" => true,
        "replica" => false,
        _ => return None,
    };
    let position = head.get(POSITION).and_then(|p| p.parse().ok()).and_then(LogPosition::try_from_millis);
    Some(ReplicaStatus {
        primary,
        position: position.unwrap_or(LogPosition::UNKNOWN).max(LogPosition::UNKNOWN),
    })
}

/// A load report made of the headers: `x0` and `x1` are the position in seconds and the role, as elsewhere.
fn report(head: &Head, fields: &[String]) -> LoadReport {
    let told = replica_status(head);
    report_of(fields, |name| match name {
        "x0" => told.map(|m| m.position.as_micros() as f64 / 1e6),
        "x1" => told.map(|m| f64::from(u8::from(m.primary))),
        name => load_report_value(head.get(LOAD).unwrap_or(""), name),
    })
}

/// What a status means for the attempt. An answer about the operation itself (a query that does not parse,
/// a type that is not offered) is the client's.
fn outcome(status: u16) -> AttemptOutcome {
    match status {
        412 | 421 => AttemptOutcome::Misdirected,
        429 | 503 => AttemptOutcome::Overloaded,
        200..=299 | 400..=407 | 409..=499 => AttemptOutcome::Served,
        _ => AttemptOutcome::Error,
    }
}

/// Whether an answer's data is as current as it must be. A primary is at the present; from a replica only a
/// position that it told with this very answer counts.
fn current(replica_status: Option<ReplicaStatus>, since: Option<LogPosition>) -> bool {
    match (since, replica_status) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(since), Some(replica_status)) => {
            replica_status.primary || replica_status.position.is_known() && replica_status.position >= since
        }
    }
}

/// The position up to which a primary has the log, where it lacks what the session of a read has written.
fn lacks(replica_status: Option<ReplicaStatus>, commit: Option<LogPosition>) -> Option<LogPosition> {
    let replica_status = replica_status.filter(|m| m.primary && m.position.is_known())?;
    (replica_status.position < commit?).then_some(replica_status.position)
}

/// The answer to a read whose session has written what its group has lost: older data would pass for its own.
pub fn lost(position: LogPosition) -> Answer {
    let position = position.as_millis().to_string();
    let text =
        format!("what this session wrote after position {position} is lost: its group went back to there");
    Answer {
        status: 412,
        headers: vec![(POSITION.into(), position)],
        content: Content::Whole(text.into_bytes()),
    }
}

fn passes(name: &str) -> bool {
    let hop = ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];
    let own = ["brookpass-load", "brookpass-role"];
    let name = name.to_ascii_lowercase();
    !hop.contains(&name.as_str()) && !own.contains(&name.as_str()) && !name.starts_with("proxy-")
}

/// How a daemon names itself to hosts: other letters of its name than a header may have are left out.
fn via(name: &str) -> String {
    let plain = |c: &char| c.is_ascii_alphanumeric() || "-_.".contains(*c);
    let name: String = name.chars().filter(plain).collect();
    format!("1.1 {}", if name.is_empty() { "brookpass" } else { &name })
}

impl Sparql {
    /// Hosts answer operations at `path`, and hear of a daemon of this name.
    pub fn new(limits: Rc<Limits>, path: String, name: &str, report_fields: Vec<String>) -> Sparql {
        Sparql { limits, path, via: via(name), report_fields }
    }

    async fn answer(
        &self,
        c: &mut Client,
        operation: &Operation,
        trip: &OwnTrip<'_>,
    ) -> io::Result<ExchangeResult<Answer>> {
        // The bound counts from the send: what the host must have is fixed before it has the request.
        let since = match trip.freshness {
            Freshness::Any => None,
            Freshness::MaxAge(age) => Some(trip.now() - age),
            Freshness::CommittedSince(at) => Some(at),
        };
        let since = since.map(|at| LogPosition::of_commit(at, Timestamp::ZERO));
        c.send(&operation.request(c.address(), &self.path, &self.via, trip.time_left(), since)).await?;
        trip.mark_sent();
        let head = c.head(&self.limits).await?;
        let status = head.line[1].parse().unwrap_or(0);
        let (replica_status, report) = (replica_status(&head), report(&head, &self.report_fields));
        let mut framing = Body::of(&head, true)?;
        let keeps = head.keeps_open(&head.line[0]) && framing != Body::UntilEnd;
        let mut result = outcome(status);
        if result == AttemptOutcome::Served && status < 300 && !current(replica_status, since) {
            log::warn!("a host's answer is older than its read allows; it is dropped");
            result = AttemptOutcome::Misdirected;
        }
        if framing == Body::UntilEnd && result == AttemptOutcome::Served {
            // Nobody could tell such an answer from one that was cut short.
            log::warn!("a host's answer states neither a length nor chunks; it is dropped");
            result = AttemptOutcome::Error;
        }
        let done =
            |outcome, answer, reusable| ExchangeResult { outcome, replica_status, report, answer, reusable };
        let headers = || head.headers.iter().filter(|(n, _)| passes(n)).cloned().collect();
        let missing = lacks(replica_status, operation.position.filter(|_| !operation.update && status < 300));
        let mut body = Vec::new();
        loop {
            let whole = c.part(&mut framing, &mut body, usize::MAX).await?;
            if whole {
                let answer = match missing {
                    Some(position) => lost(position),
                    None => Answer { status, headers: headers(), content: Content::Whole(body) },
                };
                return Ok(done(result, (result == AttemptOutcome::Served).then_some(answer), keeps));
            }
            if body.len() > self.limits.http_answer_buffer_bytes {
                break;
            }
        }
        if let Some(position) = missing.filter(|_| result == AttemptOutcome::Served) {
            return Ok(done(result, Some(lost(position)), false));
        }
        if result != AttemptOutcome::Served {
            return Ok(done(result, None, false));
        }
        // Longer than is held back: from here on it is the client's, and cannot be repeated.
        let (parts, rest) = async_channel::bounded(self.limits.answer_chunks);
        trip.start_response(Answer { status, headers: headers(), content: Content::Parts(rest) }).await;
        loop {
            if !body.is_empty() && parts.send(std::mem::take(&mut body)).await.is_err() {
                return Ok(done(AttemptOutcome::Cancelled, None, false));
            }
            let part = c.part(&mut framing, &mut body, usize::MAX);
            match until(Instant::now() + self.limits.backend_stall_timeout, part).await {
                Some(Ok(true)) => break,
                Some(Ok(false)) => {}
                _ => return Ok(done(AttemptOutcome::Reset, None, false)),
            }
        }
        for last in [body, Vec::new()] {
            let _ = parts.send(last).await;
        }
        Ok(done(AttemptOutcome::Served, None, keeps))
    }
}

impl BackendProtocol for Sparql {
    type Request = Arc<Operation>;
    type Answer = Answer;
    type Connection = Client;

    async fn handshake(&self, stream: Async<TcpStream>) -> Result<Client, AttemptOutcome> {
        Ok(Client::new(stream))
    }

    fn is_silent(&self, c: &Client) -> bool {
        c.is_silent()
    }

    fn probes_before_first_use(&self) -> bool {
        true
    }

    async fn probe(&self, c: &mut Client) -> Option<LoadReport> {
        let request = format!(
            "GET {}?query=ASK%20%7B%7D HTTP/1.1\r\nHost: {}\r\nVia: {}\r\n\r\n",
            self.path,
            c.address(),
            self.via
        );
        let (head, _, keeps) = c.call(request.as_bytes(), &self.limits).await.ok()?;
        let report = report(&head, &self.report_fields);
        (keeps && report.count >= 2).then_some(report)
    }

    async fn exchange(
        &self,
        c: &mut Client,
        work: &Arc<Operation>,
        trip: &OwnTrip<'_>,
    ) -> ExchangeResult<Answer> {
        self.answer(c, work, trip).await.unwrap_or_else(|e| {
            log::debug!("host: {e}");
            // An answer out of form has run, or may have; the connection itself is not what broke.
            let spoilt = trip.was_sent() && e.kind() == io::ErrorKind::InvalidData;
            ExchangeResult::outcome_only(if spoilt { AttemptOutcome::Error } else { trip.connection_lost() })
        })
    }
}

#[cfg(test)]
mod tests;
