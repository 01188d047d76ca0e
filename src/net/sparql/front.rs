//! The clients' side: HTTP requests in, one final answer each.

use super::host::{Answer, Content, lost};
use super::operation::{self, Operation, Refusal};
use super::{CLASS, COME_BACK, GROUP, POSITION};
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::classes::{Classes, IdempotencyKey};
use crate::engine::log_rollback::LogRollbacks;
use crate::engine::{EngineHandle, FinalAnswer, Input};
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::connection_limiter::{AcceptDecision, ConnectionSlot};
use crate::net::http::server::{self, Next, Request};
use crate::net::lifecycle::{Lifecycle, ServingState};
use crate::routing::*;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;

/// What the operator says about the front.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Where clients find it.
    pub path: String,
    /// Class of a query that names none.
    pub query: String,
    /// Class of a query with a position that names none.
    pub session: Option<String>,
    /// Class of an update that names none.
    pub update: String,
    /// The group of a request that names none.
    pub group: Option<GroupId>,
}

/// What all connections of the front share.
pub struct Front {
    /// The limits.
    pub limits: Rc<Limits>,
    /// The way to the core.
    pub handle: EngineHandle<Arc<Operation>, Answer>,
    /// The classes by name.
    pub classes: Classes,
    /// What the operator says.
    pub service: Service,
    /// Closed once all groups are served.
    pub ready: Receiver<()>,
    /// Whether the pooler is at work.
    pub duty: Rc<Lifecycle>,
    /// What groups have lost.
    pub breaks: Rc<RefCell<LogRollbacks>>,
}

/// Serves a connection while nothing can be served yet: whatever is asked is refused at once, with `again` as the
/// time to come back, which may differ from call to call. One answer a connection: the next one may find more.
pub async fn serve_early(
    stream: Async<TcpStream>,
    place: ConnectionSlot,
    limits: Rc<Limits>,
    clock: Clock,
    again: impl Fn() -> TimeDelta,
) {
    let mut link = ClientConnection::new(stream, place, limits.clone(), clock);
    let mut buffer = Buffer::default();
    let answer = match server::next(&mut link, &mut buffer, &limits).await {
        Next::Over => return,
        Next::Refused(status, why) => server::answer(status, &[], &why),
        Next::Request(request) if request.target().0 == "/-/ready" => {
            server::answer(503, &[], "no list of hosts yet")
        }
        Next::Request(_) => refusal(Some(again()), "this daemon has just started"),
    };
    let _ = reply(&mut link, true, answer).await;
    let _ = link.linger().await;
}

/// What becomes of a connection after an answer.
enum After {
    Open,
    Close,
    /// It ends in the midst of things.
    Cut,
}

fn refusal(retry_after: Option<TimeDelta>, text: &str) -> Vec<u8> {
    let ms = retry_after.unwrap_or(TimeDelta::from_secs(1)).or_zero().as_millis();
    // The standard header counts in seconds: rounded up, so that nobody comes too early by it.
    let seconds = ((ms + 999) / 1000).max(1).to_string();
    server::answer(503, &[("Retry-After", &seconds), (COME_BACK, &ms.max(1).to_string())], text)
}

impl Front {
    /// Serves one connection to its end.
    pub async fn serve(&self, stream: Async<TcpStream>, place: ConnectionSlot, welcome: AcceptDecision) {
        let mut link = ClientConnection::new(stream, place, self.limits.clone(), self.handle.clock().clone());
        if welcome == AcceptDecision::Rejected {
            let again = Some(TimeDelta::from(self.limits.front_retry_after));
            let _ = link.write(&refusal(again, "too many connections")).await;
            let _ = link.linger().await;
            return;
        }
        let mut buffer = Buffer::default();
        loop {
            match server::next(&mut link, &mut buffer, &self.limits).await {
                Next::Over => break,
                Next::Refused(status, why) => {
                    log::warn!("client: {why}");
                    if link.write(&server::answer(status, &[("Connection", "close")], &why)).await.is_err() {
                        return;
                    }
                    break;
                }
                Next::Request(request) => match self.request(&mut link, &mut buffer, &request).await {
                    Ok(After::Open) if !(link.ends() && buffer.unread().is_empty()) => {}
                    Ok(After::Open | After::Close) => break,
                    // Without an end: the client must see that what it has is not whole.
                    Ok(After::Cut) | Err(_) => return,
                },
            }
        }
        let _ = link.linger().await;
    }

    /// Answers one request.
    async fn request(
        &self,
        link: &mut ClientConnection,
        buffer: &mut Buffer,
        request: &Request,
    ) -> io::Result<After> {
        let (path, _) = request.target();
        let ends = !request.keeps_open() || link.ends();
        if path == "/-/ready" {
            let (status, text) = match self.ready.is_closed() {
                _ if self.duty.state() == ServingState::Drained => (503, "drained"),
                true => (200, "ready"),
                false => (503, "not all groups are served yet"),
            };
            return reply(link, ends, server::answer(status, &[], text)).await;
        }
        if path != self.service.path {
            return reply(link, ends, server::answer(404, &[], "nothing is here")).await;
        }
        let (ask, client_timeout, operation) = match operation::read(request).and_then(|o| self.ask(o)) {
            Ok(asked) => asked,
            Err(Refusal(status, why)) => {
                log::warn!("client: {why}");
                let allow = [("Allow", "GET, POST")];
                let headers = if status == 405 { &allow[..] } else { &[] };
                return reply(link, ends, server::answer(status, headers, &why)).await;
            }
        };
        let commit = operation.position.filter(|_| !operation.update);
        if let Some(position) = commit.and_then(|at| self.breaks.borrow().lost(ask.group, at)) {
            return serve(link, buffer, request, lost(position)).await;
        }
        let margin = TimeDelta::from(self.limits.answer_margin);
        let arrived = link.arrived(buffer.unread().len());
        if link.departed() {
            return Ok(After::Cut);
        }
        let deadline = arrived + (client_timeout - margin).or_zero();
        let Some((id, reply)) = self.handle.submit(ask, deadline, Arc::new(operation)).await else {
            let again = Some(TimeDelta::from(self.limits.front_retry_after));
            return reply(link, true, refusal(again, "the pooler is ending")).await;
        };
        let last = async { Some(reply.recv().await.unwrap_or(FinalAnswer::Failed { overdue: false })) };
        let gone = async {
            link.gone(buffer).await;
            None
        };
        let Some(last) = future::or(last, gone).await else {
            self.handle.input(Input::RequestCancelled(id)).await;
            return Ok(After::Cut);
        };
        let written = self.answer(link, buffer, request, last).await;
        if !matches!(written, Ok(After::Open | After::Close)) {
            // Whatever is still on its way for this client ends now.
            self.handle.input(Input::RequestCancelled(id)).await;
        }
        written
    }

    fn ask(&self, operation: Operation) -> Result<(IncomingRequest, TimeDelta, Operation), Refusal> {
        let s = &self.service;
        let query = s.session.as_ref().filter(|_| operation.position.is_some()).unwrap_or(&s.query);
        let name = operation.class.as_ref().unwrap_or(if operation.update { &s.update } else { query });
        let key = operation.key.as_ref().map_or(IdempotencyKey::Absent, |_| IdempotencyKey::Present);
        let class = self.classes.find(name, key);
        let class = class.ok_or_else(|| Refusal(400, format!("{CLASS}: no class {name:?}")))?;
        // An update that goes the way of reads would reach a replica.
        if operation.update && !self.classes.writes(name) {
            return Err(Refusal(400, format!("{CLASS}: {name:?} is no class for updates")));
        }
        // A class with a bound looks at its bound alone: the client would take an older answer for a newer one.
        if operation.position.is_some() && !self.classes.sees_positions(name) {
            return Err(Refusal(400, format!("{POSITION}: {name:?} is no class that looks at positions")));
        }
        let group = operation.group.or(s.group);
        let group =
            group.ok_or_else(|| Refusal(400, format!("{GROUP} names no group, and there is no default")))?;
        let now = self.handle.clock().now();
        let last_commit_age = operation.position.map(|at| (now - at.commit_time(Timestamp::ZERO)).or_zero());
        let session = operation.session.as_deref().map_or(0, crate::net::fingerprint);
        let client_timeout = operation.client_timeout.or(self.classes.deadline(name));
        let client_timeout = client_timeout.unwrap_or(TimeDelta::from(self.limits.default_client_timeout));
        Ok((
            IncomingRequest { class, group, last_commit_age, session, ..IncomingRequest::default() },
            client_timeout,
            operation,
        ))
    }

    /// Writes the final answer.
    async fn answer(
        &self,
        link: &mut ClientConnection,
        buffer: &mut Buffer,
        request: &Request,
        last: FinalAnswer<Answer>,
    ) -> io::Result<After> {
        let bytes = match last {
            FinalAnswer::Served(answer) => return serve(link, buffer, request, answer).await,
            FinalAnswer::Rejected { overdue: true, .. } | FinalAnswer::Failed { overdue: true } => {
                server::answer(504, &[], "no answer came in time")
            }
            FinalAnswer::Rejected { retry_after, .. } => {
                refusal(retry_after, "no score host can take this now")
            }
            FinalAnswer::Failed { .. } => {
                server::answer(502, &[], "the request failed; it may have had an effect")
            }
            FinalAnswer::UnknownGroup => server::answer(404, &[], "no list names this group"),
        };
        reply(link, !request.keeps_open() || link.ends(), bytes).await
    }
}

/// Writes a whole answer, and with it whether the connection ends.
async fn reply(link: &mut ClientConnection, ends: bool, answer: Vec<u8>) -> io::Result<After> {
    link.write(&server::with_end(answer, ends)).await?;
    Ok(if ends { After::Close } else { After::Open })
}

async fn serve(
    link: &mut ClientConnection,
    buffer: &mut Buffer,
    request: &Request,
    answer: Answer,
) -> io::Result<After> {
    let Answer { status, headers, content } = answer;
    let mut headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    match content {
        Content::Whole(body) => {
            let length = body.len().to_string();
            if status != 204 {
                headers.push(("Content-Length", &length));
            }
            let mut bytes = server::answer_head(status, &headers);
            bytes.extend_from_slice(&body);
            reply(link, !request.keeps_open() || link.ends(), bytes).await
        }
        Content::Parts(_) if request.head.line[2] != "HTTP/1.1" => {
            // Without chunks the end of the connection would be the end of the answer, cut short or not.
            reply(link, true, server::answer(502, &[], "the answer is too long for HTTP/1.0")).await?;
            Ok(After::Cut)
        }
        Content::Parts(parts) => {
            headers.push(("Transfer-Encoding", "chunked"));
            link.write(&server::answer_head(status, &headers)).await?;
            loop {
                let next = async { Ok(parts.recv().await) };
                let more = async { Err(link.more(buffer).await) };
                let part = match future::or(next, more).await {
                    Ok(Ok(part)) => part,
                    Ok(Err(_)) => break,
                    Err(true) => continue,
                    // A host that stalls must not hold an attempt for a client that has gone.
                    Err(false) => return Ok(After::Cut),
                };
                if part.is_empty() {
                    link.write(b"0\r\n\r\n").await?;
                    return Ok(if request.keeps_open() { After::Open } else { After::Close });
                }
                let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                chunk.extend_from_slice(&part);
                chunk.extend_from_slice(b"\r\n");
                link.write(&chunk).await?;
            }
            log::warn!("a host broke off in the midst of an answer");
            Ok(After::Cut)
        }
    }
}
