//! HTTP/1.1 server for operators on a separate address: readiness, metrics, drain and activate. Each connection serves
//! one call.

use super::buffer::Buffer;
use super::connection::ClientConnection;
use super::connection_limiter::{AcceptDecision, ConnectionSlot};
use super::http::server::{self, NextRequest, Request};
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

/// The calls that operators can make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Metrics,
    Drain,
    Activate,
}

/// Path and method of a call.
struct Route {
    path: &'static str,
    method: &'static str,
    call: Call,
}

const ROUTES: [Route; 4] = [
    Route { path: "/v1/readyz", method: "GET", call: Call::Ready },
    Route { path: "/v1/metrics", method: "GET", call: Call::Metrics },
    Route { path: "/v1/pooler/drain", method: "PUT", call: Call::Drain },
    Route { path: "/v1/pooler/activate", method: "PUT", call: Call::Activate },
];

/// A request that matches no route.
enum RouteError {
    NotFound,
    MethodNotAllowed { allowed: &'static str },
}

impl RouteError {
    fn response(self) -> Vec<u8> {
        match self {
            RouteError::NotFound => server::text_response(404, &[], "nothing is here"),
            RouteError::MethodNotAllowed { allowed } => {
                server::text_response(405, &[("Allow", allowed)], "another method is wanted here")
            }
        }
    }
}

fn find_call(request: &Request) -> Result<Call, RouteError> {
    let (path, _) = request.path_and_query();
    let route = ROUTES.iter().find(|route| route.path == path).ok_or(RouteError::NotFound)?;
    if route.method != request.head.method() {
        return Err(RouteError::MethodNotAllowed { allowed: route.method });
    }
    Ok(route.call)
}

/// State shared by all connections of the admin server.
pub struct AdminServer<W, A> {
    limits: Rc<Limits>,
    engine: EngineHandle<W, A>,
    lifecycle: Rc<Lifecycle>,
    /// Set once the process can serve clients.
    ready: Latch,
    /// The latest gauges from the engine.
    last_gauges: Cell<Gauges>,
    /// Returns metrics of other components, one per line.
    other_metrics: Box<dyn Fn() -> String>,
}

impl<W, A> AdminServer<W, A> {
    /// Creates a server with separate, small limits, since calls are few and short. The result of `other_metrics` is
    /// appended to the engine's metrics.
    pub fn new(
        limits: &Limits,
        engine: EngineHandle<W, A>,
        lifecycle: Rc<Lifecycle>,
        ready: Latch,
        other_metrics: impl Fn() -> String + 'static,
    ) -> AdminServer<W, A> {
        AdminServer {
            limits: Rc::new(limits.for_admin_server()),
            engine,
            lifecycle,
            ready,
            last_gauges: Cell::default(),
            other_metrics: Box::new(other_metrics),
        }
    }

    /// Limits of the server's own connections.
    pub fn limits(&self) -> &Rc<Limits> {
        &self.limits
    }

    /// Serves one connection until it is closed.
    pub async fn serve(&self, stream: Async<TcpStream>, slot: ConnectionSlot, decision: AcceptDecision) {
        let clock = self.engine.clock().clone();
        let mut connection = ClientConnection::new(stream, slot, self.limits.clone(), clock);
        let response = match decision {
            AcceptDecision::Reject => server::text_response(503, &[], "too many calls at once"),
            AcceptDecision::Serve => match self.read_and_answer(&mut connection).await {
                Some(response) => response,
                None => return,
            },
        };
        if connection.write(&server::with_connection_close(response)).await.is_ok() {
            let _ = connection.linger().await;
        }
    }

    /// Reads one request and returns the response; `None` if the client has disconnected.
    async fn read_and_answer(&self, connection: &mut ClientConnection) -> Option<Vec<u8>> {
        let mut buffer = Buffer::default();
        match server::next_request(connection, &mut buffer, &self.limits).await {
            NextRequest::ConnectionClosed => None,
            NextRequest::Rejected(error) => {
                log::debug!("admin: {error}");
                Some(server::text_response(error.status(), &[], &error.to_string()))
            }
            NextRequest::Received(request) => Some(match find_call(&request) {
                Ok(call) => self.answer(call).await,
                Err(error) => error.response(),
            }),
        }
    }

    async fn answer(&self, call: Call) -> Vec<u8> {
        match call {
            Call::Ready => self.readiness(),
            Call::Metrics => server::text_response(200, &[], self.metrics().await.trim_end()),
            Call::Drain => {
                self.lifecycle.drain();
                server::text_response(200, &[], "drained")
            }
            Call::Activate => match self.lifecycle.activate() {
                Ok(()) => server::text_response(200, &[], "at work"),
                Err(error) => server::text_response(409, &[], &error.to_string()),
            },
        }
    }

    /// Reports whether the process can serve clients. A drained process is ready too.
    fn readiness(&self) -> Vec<u8> {
        match self.lifecycle.state() {
            ServingState::Terminating => server::text_response(503, &[], "ending"),
            _ if !self.ready.is_set() => server::text_response(503, &[], "no list of hosts yet"),
            ServingState::Drained => server::text_response(200, &[], "ready, drained"),
            ServingState::Serving => server::text_response(200, &[], "ready"),
        }
    }

    async fn metrics(&self) -> String {
        let deadline = Instant::now() + self.limits.readiness_timeout;
        let gauges = until(deadline, self.engine.gauges()).await.flatten();
        // Slightly outdated gauges are better than metrics that arrive late.
        let gauges = gauges.unwrap_or(self.last_gauges.get());
        self.last_gauges.set(gauges);
        self.engine.metrics().statsd_text(gauges) + &(self.other_metrics)()
    }
}
