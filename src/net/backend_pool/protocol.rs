//! The trait of a protocol between the pooler and endpoints, and the context that it receives for each attempt.

use super::attempt::{AttemptKey, AttemptSpec};
use crate::engine::{EngineHandle, Freshness, Input};
use crate::routing::{AttemptOutcome, EndpointId, LoadReport, ReplicaStatus, TimeDelta, Timestamp};
use async_io::Async;
use std::cell::Cell;
use std::net::TcpStream;

/// Result of one exchange with an endpoint.
#[derive(Clone, Debug)]
pub struct ExchangeResult<A> {
    /// Outcome of the attempt, as the router counts it.
    pub outcome: AttemptOutcome,
    /// Role and log position that the endpoint reported with its answer; `None` if it reported no role.
    pub replica_status: Option<ReplicaStatus>,
    /// Load report that came with the answer; empty if there was none.
    pub report: LoadReport,
    /// The answer, if the attempt was served. The engine ignores it for a streamed answer.
    pub answer: Option<A>,
    /// Whether the connection can be used for another request.
    pub reusable: bool,
}

impl<A> ExchangeResult<A> {
    /// A result with an outcome and nothing else. The connection is closed.
    pub fn outcome_only(outcome: AttemptOutcome) -> ExchangeResult<A> {
        ExchangeResult {
            outcome,
            replica_status: None,
            report: LoadReport::default(),
            answer: None,
            reusable: false,
        }
    }
}

/// How the probe of an endpoint ended.
#[derive(Clone, Copy, Debug)]
pub enum ProbeOutcome {
    /// The endpoint reported its state.
    Reported(LoadReport),
    /// The endpoint answered without a report, or the protocol has no probes.
    Unsupported,
    /// The endpoint did not answer, or could not process the probe. It may report its state later.
    Unanswered,
}

/// The end of a probe.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    /// How the probe ended.
    pub outcome: ProbeOutcome,
    /// Whether the connection can carry a request.
    pub reusable: bool,
}

impl Probed {
    /// A probe without an answer, which may still arrive on its connection.
    pub const UNANSWERED: Probed = Probed { outcome: ProbeOutcome::Unanswered, reusable: false };
}

/// A protocol between the pooler and endpoints.
#[allow(async_fn_in_trait)] // Implementations run on the single thread that serves sockets: no `Send` bound is needed.
pub trait BackendProtocol: 'static {
    /// A request; cloned for each attempt.
    type Request: Clone + Send + 'static;
    /// An answer, buffered or as a stream of chunks.
    type Answer: Send + 'static;
    /// A connection after its handshake.
    type Connection: 'static;

    /// Performs the startup handshake on a new TCP connection.
    ///
    /// # Errors
    /// The outcome of the attempt for which the connection was opened; its request was not sent.
    async fn handshake(&self, stream: Async<TcpStream>) -> Result<Self::Connection, AttemptOutcome>;

    /// Whether an idle connection is open and has received no bytes since its last answer. Any other one is not reused.
    fn is_silent(&self, connection: &Self::Connection) -> bool;

    /// Whether an endpoint is probed before the next request if it is new or a connection to it failed: it may have
    /// restarted and lost a part of its log.
    fn probes_before_first_use(&self) -> bool {
        false
    }

    /// Requests an endpoint's load report.
    async fn probe(&self, _connection: &mut Self::Connection) -> Probed {
        Probed { outcome: ProbeOutcome::Unsupported, reusable: true }
    }

    /// Sends one request and receives its answer. Calls [`AttemptContext::mark_sent`] once the request is written.
    async fn exchange(
        &self,
        connection: &mut Self::Connection,
        request: &Self::Request,
        attempt: &AttemptContext<'_, Self::Request, Self::Answer>,
    ) -> ExchangeResult<Self::Answer>;
}

/// A running attempt, as passed to the protocol.
pub struct AttemptContext<'a, R, A> {
    key: AttemptKey,
    pub(super) endpoint: EndpointId,
    pub(super) handle: &'a EngineHandle<R, A>,
    pub(super) deadline: Timestamp,
    send_by: Option<Timestamp>,
    fresh_until: Option<Timestamp>,
    /// How current the data of the answer must be.
    pub freshness: Freshness,
    sent: Cell<bool>,
    response_started: Cell<bool>,
}

impl<'a, R, A> AttemptContext<'a, R, A> {
    /// The context of an attempt whose request was not sent yet.
    pub(super) fn new(spec: &AttemptSpec<R>, handle: &'a EngineHandle<R, A>) -> AttemptContext<'a, R, A> {
        AttemptContext {
            key: spec.key,
            endpoint: spec.endpoint,
            handle,
            deadline: spec.deadline,
            send_by: spec.send_by,
            fresh_until: spec.fresh_until,
            freshness: spec.freshness,
            sent: Cell::new(false),
            response_started: Cell::new(false),
        }
    }
}

impl<R, A> AttemptContext<'_, R, A> {
    /// Current time of the engine's clock.
    pub fn now(&self) -> Timestamp {
        self.handle.clock().now()
    }

    /// Records that the last byte of the request was written. From now on it may have been executed.
    pub fn mark_sent(&self) {
        self.sent.set(true);
        self.handle.metrics().record_dispatch();
    }

    /// Whether the last byte of the request was written.
    pub fn was_sent(&self) -> bool {
        self.sent.get()
    }

    /// Time until the deadline of the attempt; never negative.
    pub fn time_left(&self) -> TimeDelta {
        (self.deadline - self.now()).or_zero()
    }

    /// Whether the request must not be sent, because `deadline` or `send_by` passed while the connection was
    /// established.
    pub(super) fn is_expired(&self) -> bool {
        let now = self.now();
        now >= self.deadline || self.send_by.is_some_and(|send_by| now >= send_by)
    }

    /// Whether the endpoint's known position no longer proves that its data is fresh enough, because the connection took
    /// too long to establish.
    pub(super) fn is_freshness_expired(&self) -> bool {
        self.fresh_until.is_some_and(|fresh_until| self.now() > fresh_until)
    }

    /// Passes a streamed answer to the client. From now on the deadline does not apply, and the request cannot be
    /// retried.
    pub async fn start_response(&self, answer: A) {
        self.response_started.set(true);
        let AttemptKey { request: id, attempt } = self.key;
        self.handle.send_input(Input::ResponseStarted { id, attempt, answer }).await;
    }

    /// Whether a streamed answer was passed to the client.
    pub(super) fn response_started(&self) -> bool {
        self.response_started.get()
    }

    /// The outcome of an attempt whose connection was lost. Before the last byte was written, the request was certainly
    /// not executed.
    pub fn connection_lost(&self) -> AttemptOutcome {
        if self.was_sent() { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }
    }
}
