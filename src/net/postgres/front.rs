//! The clients' side: connections that carry one request at a time, and what they are answered.

use super::codec;
use super::host::Answer;
use super::session::{Session, State, Step};
use super::statement::{self, Statement};
use crate::config::Limits;
use crate::engine::classes::{Classes, IdempotencyKey};
use crate::engine::{EngineHandle, FinalAnswer, Input};
use crate::net::connection::{ClientConnection, ReadEvent};
use crate::net::connection_limiter::{AcceptDecision, ConnectionSlot};
use crate::net::lifecycle::{Lifecycle, ServingState as Stands};
use crate::net::{fingerprint, until};
use crate::routing::*;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// What all connections of the front share.
pub struct Front {
    /// The limits.
    pub limits: Rc<Limits>,
    /// The way to the core.
    pub handle: EngineHandle<Arc<Statement>, Answer>,
    /// The classes by name.
    pub classes: Classes,
    /// Closed once the first list is there.
    pub ready: Receiver<()>,
    /// Whether the pooler is at work.
    pub duty: Rc<Lifecycle>,
    /// Ids of the requests that are open.
    pub open: OpenIds,
}

/// The ids of open requests. A host knows a request by its id: a second one of the same id would pass for
/// another attempt of the first, and get its answer.
#[derive(Clone, Default)]
pub struct OpenIds(Rc<RefCell<BTreeSet<String>>>);

/// An id as long as its request is open.
struct OpenId(OpenIds, String);

impl OpenIds {
    fn take(&self, id: &str) -> Option<OpenId> {
        self.0.borrow_mut().insert(id.to_string()).then(|| OpenId(self.clone(), id.to_string()))
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.0.borrow_mut().remove(&self.1);
    }
}

struct Client<'a> {
    front: &'a Front,
    link: ClientConnection,
    session: Session,
    /// What is owed, in the order of the commands.
    due: VecDeque<Due>,
}

/// An answer that is owed.
enum Due {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The answer to the readiness query.
    Ready,
    /// A request's final answer, once it is there.
    Last(Open),
    /// These bytes, then the end.
    End(Vec<u8>),
}

/// A request that is open.
struct Open {
    id: RequestId,
    reply: Receiver<FinalAnswer<Answer>>,
    /// Bytes of its statement.
    length: usize,
    _id: OpenId,
}

impl Front {
    /// Serves one connection to its end.
    pub async fn serve(&self, stream: Async<TcpStream>, place: ConnectionSlot, welcome: AcceptDecision) {
        let session = Session::new(&self.limits);
        let link = ClientConnection::new(stream, place, self.limits.clone(), self.handle.clock().clone());
        let mut client = Client { front: self, link, session, due: VecDeque::new() };
        let served = match welcome {
            AcceptDecision::Served => client.run().await,
            AcceptDecision::Rejected => client.turn_away().await,
        };
        if let Err(e) = served {
            log::debug!("client: {e}");
        }
        // Nobody waits any more for what is still open.
        for due in client.due {
            if let Due::Last(open) = due {
                self.handle.input(Input::RequestCancelled(open.id)).await;
            }
        }
    }

    fn ask(&self, s: &Statement) -> Option<IncomingRequest> {
        let key = if s.keyed { IdempotencyKey::Present } else { IdempotencyKey::Absent };
        let class = self.classes.find(&s.class, key)?;
        let now = self.handle.clock().now();
        // The module wants the age of the session's last commit; a clock a little ahead makes it no older.
        let last_commit_age = s.after.map(|at| (now - at.commit_time(Timestamp::ZERO)).or_zero());
        Some(IncomingRequest {
            class,
            group: s.group,
            last_commit_age,
            session: fingerprint(&s.key),
            repeated: s.repeated,
            ..IncomingRequest::default()
        })
    }
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

/// The bytes of a final answer, or the parts in which it is still to come.
fn answer(last: FinalAnswer<Answer>) -> Result<Vec<u8>, Receiver<Vec<u8>>> {
    Ok(match last {
        FinalAnswer::Served(Answer::Parts(parts)) => return Err(parts),
        FinalAnswer::Served(Answer::Whole(mut rows)) => {
            codec::ready(&mut rows);
            rows
        }
        FinalAnswer::Rejected { retry_after, .. } => {
            refusal("no score host can take this now", retry_after.map(|t| t.as_millis().max(1)))
        }
        FinalAnswer::Failed { overdue: true } => failure("57014", "no answer came in time"),
        FinalAnswer::Failed { overdue: false } => failure("58000", "the request failed"),
        FinalAnswer::UnknownGroup => failure("42704", "no list names this group"),
    })
}

impl Client<'_> {
    async fn hear(&mut self) -> io::Result<ReadEvent> {
        let held = self.session.input().unread().len();
        self.link.hear(held > 0, held, self.session.input()).await
    }

    /// Takes commands as they come and answers them in their order. Several may be open at once: what a client
    /// writes behind another request has its own time, and must not lose it in waiting for that one.
    async fn run(&mut self) -> io::Result<()> {
        loop {
            self.take().await?;
            match self.due.front() {
                None => match self.hear().await? {
                    ReadEvent::More => {}
                    ReadEvent::Gone => return Ok(()),
                    ReadEvent::Ends => return self.link.linger().await,
                    ReadEvent::Cut => {
                        return self.end("57P03", "no room for a request that is not whole").await;
                    }
                    ReadEvent::Late => return self.end("57P05", "no whole request came in time").await,
                    ReadEvent::Full => {
                        return self.end("53200", "no room for a message of this length").await;
                    }
                },
                Some(Due::Bytes(bytes)) => {
                    self.link.write(bytes).await?;
                    self.due.pop_front();
                }
                Some(Due::Ready) => {
                    let ready = async {
                        while self.front.ready.recv().await.is_ok() {}
                        true
                    };
                    let (link, input) = (&mut self.link, self.session.input());
                    let gone = async {
                        link.gone(input).await;
                        false
                    };
                    let end = Instant::now() + self.front.limits.readiness_timeout;
                    if until(end, future::or(ready, gone)).await == Some(false) {
                        return Ok(());
                    }
                    // To one that is drained the front layer must bring no one new.
                    let bytes = match self.front.duty.state() {
                        Stands::Drained => failure("57P03", "drained: clients are to go elsewhere"),
                        _ => Session::empty(),
                    };
                    self.answer(&bytes).await?;
                }
                Some(Due::Last(open)) => {
                    let last = async { Ok(open.reply.recv().await) };
                    let (link, input) = (&mut self.link, self.session.input());
                    let more = async { Err(link.more(input).await) };
                    // An answer that has come is written before more is read.
                    match future::or(last, more).await {
                        Ok(last) => {
                            let last = last.unwrap_or(FinalAnswer::Failed { overdue: false });
                            match answer(last) {
                                Ok(bytes) => self.answer(&bytes).await?,
                                Err(parts) => self.pass_on(parts).await?,
                            }
                        }
                        Err(true) => {}
                        Err(false) => return Ok(()),
                    }
                }
                Some(Due::End(bytes)) => {
                    self.link.write(bytes).await?;
                    return self.link.linger().await;
                }
            }
        }
    }

    /// Answers the oldest open request with what is still to come. Where that breaks off the connection ends
    /// with it, so that the client can tell.
    async fn pass_on(&mut self, parts: Receiver<Vec<u8>>) -> io::Result<()> {
        loop {
            let next = async { Ok(parts.recv().await) };
            let (link, input) = (&mut self.link, self.session.input());
            let more = async { Err(link.more(input).await) };
            match future::or(next, more).await {
                Ok(Ok(part)) if part.is_empty() => {
                    let mut end = Vec::new();
                    codec::ready(&mut end);
                    return self.answer(&end).await;
                }
                Ok(Ok(part)) => self.link.write(&part).await?,
                Ok(Err(_)) => {
                    let why = "a host broke off in the midst of an answer";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, why));
                }
                Err(true) => {}
                // A host that stalls must not hold an attempt for a client that has gone.
                Err(false) => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        }
    }

    /// Answers the oldest open request.
    async fn answer(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.link.write(bytes).await?;
        self.due.pop_front();
        self.session.answered();
        Ok(())
    }

    /// Takes what has come whole, within the limits of a connection. An error: its client has gone.
    async fn take(&mut self) -> io::Result<()> {
        loop {
            let long = |due: &Due| if let Due::Last(open) = due { open.length } else { 0 };
            // Answers to bad input are many and short; those of requests are bounded by the session.
            if self.due.iter().map(long).sum::<usize>() > self.front.limits.read_ahead
                || self.due.len() > self.front.limits.pipelined_requests * 2
            {
                return Ok(());
            }
            let due = match self.session.step() {
                Step::Wait => return Ok(()),
                Step::Write(bytes) => Due::Bytes(bytes),
                Step::Close(bytes) => Due::End(bytes),
                Step::Ready => {
                    self.link.taken();
                    Due::Ready
                }
                Step::Query(text) => {
                    let arrived = self.link.arrived(self.session.input().unread().len());
                    if self.link.has_left_since(arrived) {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    self.link.taken();
                    match self.query(&text, arrived).await {
                        Ok(open) => Due::Last(open),
                        Err(bytes) => {
                            self.session.answered();
                            Due::Bytes(bytes)
                        }
                    }
                }
            };
            self.due.push_back(due);
        }
    }

    /// Says why, and ends.
    async fn end(&mut self, code: &str, why: &str) -> io::Result<()> {
        log::debug!("client: {why}");
        let mut out = Vec::new();
        codec::error(&mut out, true, code, why, None);
        self.link.write(&out).await?;
        self.link.linger().await
    }

    /// Hands in a statement that came at `arrived`; the error is its answer at once.
    async fn query(&self, text: &str, arrived: Timestamp) -> Result<Open, Vec<u8>> {
        let statement = statement::parse(text).map_err(|why| {
            log::warn!("client: {why}");
            failure("42601", &why)
        })?;
        let Some(ask) = self.front.ask(&statement) else {
            log::warn!("client: unknown class {:?}", statement.class);
            return Err(failure("22023", "unknown class"));
        };
        let Some(own) = self.front.open.take(&statement.id) else {
            log::warn!("client: the id of another open request");
            return Err(failure("42710", "a request with this id is open"));
        };
        let limits = &self.front.limits;
        let margin = TimeDelta::from(limits.answer_margin);
        let deadline = arrived + (statement.client_timeout - margin).or_zero();
        let submitted = self.front.handle.submit(ask, deadline, Arc::new(statement)).await;
        let again = || refusal("the pooler is ending", Some(limits.front_retry_after.as_millis() as i64));
        let (id, reply) = submitted.ok_or_else(again)?;
        Ok(Open { id, reply, length: text.len(), _id: own })
    }

    /// Tells a client that there are too many connections: a refusal, so that it may come again.
    async fn turn_away(&mut self) -> io::Result<()> {
        let end = Instant::now() + self.front.limits.close_linger.0;
        while self.session.state() == State::Startup {
            match self.session.step() {
                Step::Write(bytes) if self.session.state() == State::Startup => {
                    self.link.write(&bytes).await?
                }
                Step::Wait => match until(end, self.link.read(self.session.input())).await {
                    Some(Ok(n)) if n > 0 => {}
                    _ => return Ok(()),
                },
                _ => break,
            }
        }
        let mut out = Vec::new();
        codec::error(
            &mut out,
            true,
            "53300",
            "too many connections",
            Some(&self.front.limits.front_retry_after.as_millis().to_string()),
        );
        self.link.write(&out).await?;
        self.link.linger().await
    }
}
