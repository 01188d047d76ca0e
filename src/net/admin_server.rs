//! The operators' door: HTTP/1.1, one call a connection, on an address of its own.

use super::buffer::Buffer;
use super::connection::ClientConnection;
use super::connection_limiter::{AcceptDecision, ConnectionSlot};
use super::http::server::{self, Next, Request};
use super::latch::Latch;
use super::lifecycle::{Lifecycle, ServingState};
use super::until;
use crate::config::Limits;
use crate::engine::EngineHandle;
use crate::engine::metrics::Gauges;
use async_io::Async;
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// What all calls share.
pub struct AdminServer<W, A> {
    limits: Rc<Limits>,
    handle: EngineHandle<W, A>,
    duty: Rc<Lifecycle>,
    /// Set once the process can serve.
    ready: Latch,
    /// What held when the core was asked last.
    last: Cell<Gauges>,
    /// Figures of other parts, a line each.
    more: Box<dyn Fn() -> String>,
}

/// A path, the method that it takes, and what is called there.
const CALLS: [(&str, &str, Call); 4] = [
    ("/v1/readyz", "GET", Call::Ready),
    ("/v1/metrics", "GET", Call::Metrics),
    ("/v1/pooler/drain", "PUT", Call::Drain),
    ("/v1/pooler/activate", "PUT", Call::Activate),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Metrics,
    Drain,
    Activate,
}

/// What is called, or the answer to a call that is none, with the methods that there are.
fn call(request: &Request) -> Result<Call, (u16, &'static str)> {
    let (path, method) = (request.target().0, request.head.line[0].as_str());
    match CALLS.iter().find(|(p, ..)| *p == path) {
        Some((_, m, call)) if *m == method => Ok(*call),
        Some((_, m, _)) => Err((405, m)),
        None => Err((404, "")),
    }
}

impl<W, A> AdminServer<W, A> {
    /// A door with limits of its own: calls are few and short.
    pub fn new(
        limits: &Limits,
        handle: EngineHandle<W, A>,
        duty: Rc<Lifecycle>,
        ready: Latch,
        more: impl Fn() -> String + 'static,
    ) -> AdminServer<W, A> {
        let (limits, more) = (Rc::new(limits.for_admin_server()), Box::new(more));
        AdminServer { limits, handle, duty, ready, last: Cell::default(), more }
    }

    /// The limits of its connections.
    pub fn limits(&self) -> &Rc<Limits> {
        &self.limits
    }

    /// Serves one connection to its end.
    pub async fn serve(&self, stream: Async<TcpStream>, place: ConnectionSlot, welcome: AcceptDecision) {
        let mut link = ClientConnection::new(stream, place, self.limits.clone(), self.handle.clock().clone());
        let mut buffer = Buffer::default();
        let answer = match welcome {
            AcceptDecision::Reject => server::answer(503, &[], "too many calls at once"),
            AcceptDecision::Serve => match server::next(&mut link, &mut buffer, &self.limits).await {
                Next::Over => return,
                Next::Refused(error) => {
                    log::debug!("door: {error}");
                    server::answer(error.status(), &[], &error.to_string())
                }
                Next::Request(request) => self.answer(&request).await,
            },
        };
        if link.write(&server::with_connection_close(answer)).await.is_ok() {
            let _ = link.linger().await;
        }
    }

    async fn answer(&self, request: &Request) -> Vec<u8> {
        let text = |yes: bool, text: &str| server::answer(if yes { 200 } else { 503 }, &[], text);
        match call(request) {
            Err((405, method)) => server::answer(405, &[("Allow", method)], "another method is wanted here"),
            Err((status, _)) => server::answer(status, &[], "nothing is here"),
            Ok(Call::Ready) => match self.duty.state() {
                ServingState::Terminating => text(false, "ending"),
                _ if !self.ready.is_set() => text(false, "no list of hosts yet"),
                ServingState::Drained => text(true, "ready, drained"),
                ServingState::Serving => text(true, "ready"),
            },
            Ok(Call::Metrics) => {
                // Late figures are worse than gauges of a moment ago.
                let gauges = until(Instant::now() + self.limits.readiness_timeout, self.handle.gauges())
                    .await
                    .flatten();
                self.last.set(gauges.unwrap_or(self.last.get()));
                let figures = self.handle.metrics().text(self.last.get()) + &(self.more)();
                server::answer(200, &[], figures.trim_end())
            }
            Ok(Call::Drain) => text(self.duty.drain(), "drained"),
            Ok(Call::Activate) if self.duty.activate() => text(true, "at work"),
            Ok(Call::Activate) => server::answer(409, &[], "the pooler is ending"),
        }
    }
}
