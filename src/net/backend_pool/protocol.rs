//! What a protocol implements towards backends, and what it is given for each attempt.

use super::attempt::{AttemptKey, AttemptOrder};
use crate::engine::{EngineHandle, Freshness, Input};
use crate::routing::{AttemptOutcome, EndpointId, LoadReport, ReplicaStatus, TimeDelta, Timestamp};
use async_io::Async;
use std::cell::Cell;
use std::net::TcpStream;

/// What came of one exchange with a backend.
#[derive(Clone, Debug)]
pub struct ExchangeResult<A> {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Role and log position that the backend stated with its answer.
    pub replica_status: Option<ReplicaStatus>,
    /// The backend's load report.
    pub report: LoadReport,
    /// The answer, where the attempt was served and the answer is not streamed.
    pub answer: Option<A>,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

impl<A> ExchangeResult<A> {
    /// A result of which nothing but the outcome is known. Its connection is closed.
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

/// A protocol that backends speak.
#[allow(async_fn_in_trait)] // Every implementation runs on the one thread of the sockets: no `Send` bound is needed.
pub trait BackendProtocol: 'static {
    /// What is sent.
    type Request: Clone + Send + 'static;
    /// What comes back.
    type Answer: Send + 'static;
    /// A connection that is ready for a request.
    type Connection: 'static;

    /// Makes a new stream ready for requests.
    ///
    /// # Errors
    /// The outcome of the attempt for which it was opened, which was never sent.
    async fn handshake(&self, stream: Async<TcpStream>) -> Result<Self::Connection, AttemptOutcome>;

    /// Whether a connection is open and nothing was received on it since its last answer.
    fn is_silent(&self, connection: &Self::Connection) -> bool;

    /// Whether an endpoint is probed before its first request where it is new or a connection to it has failed: it may
    /// have restarted and lost a part of its log.
    fn probes_before_first_use(&self) -> bool {
        false
    }

    /// Asks an endpoint for its load report; `None` where the protocol has no such request, or no answer came.
    async fn probe(&self, _connection: &mut Self::Connection) -> Option<LoadReport> {
        None
    }

    /// Sends one request and receives its answer.
    async fn exchange(
        &self,
        connection: &mut Self::Connection,
        request: &Self::Request,
        attempt: &AttemptContext<'_, Self::Request, Self::Answer>,
    ) -> ExchangeResult<Self::Answer>;
}

/// An attempt in flight, as its protocol sees it.
pub struct AttemptContext<'a, R, A> {
    key: AttemptKey,
    pub(super) endpoint: EndpointId,
    pub(super) handle: &'a EngineHandle<R, A>,
    pub(super) deadline: Timestamp,
    send_by: Option<Timestamp>,
    /// How current the answer must be.
    pub freshness: Freshness,
    sent: Cell<bool>,
    response_started: Cell<bool>,
}

impl<'a, R, A> AttemptContext<'a, R, A> {
    /// The context of an attempt that was not sent yet.
    pub(super) fn new(order: &AttemptOrder<R>, handle: &'a EngineHandle<R, A>) -> AttemptContext<'a, R, A> {
        AttemptContext {
            key: order.key,
            endpoint: order.endpoint,
            handle,
            deadline: order.deadline,
            send_by: order.send_by,
            freshness: order.freshness,
            sent: Cell::new(false),
            response_started: Cell::new(false),
        }
    }
}

impl<R, A> AttemptContext<'_, R, A> {
    /// The present.
    pub fn now(&self) -> Timestamp {
        self.handle.clock().now()
    }

    /// Records that the last byte of the request was written: from now on it may have been executed.
    pub fn mark_sent(&self) {
        self.sent.set(true);
        self.handle.metrics().record_dispatch();
    }

    /// Whether the last byte of the request was written.
    pub fn was_sent(&self) -> bool {
        self.sent.get()
    }

    /// Time until the attempt is abandoned; never negative.
    pub fn time_left(&self) -> TimeDelta {
        (self.deadline - self.now()).or_zero()
    }

    /// Whether the request may not be sent any more, because a deadline passed while a connection was established.
    pub(super) fn is_expired(&self) -> bool {
        let now = self.now();
        now >= self.deadline || self.send_by.is_some_and(|send_by| now >= send_by)
    }

    /// Hands the client an answer that is streamed. From now on the deadline no longer binds, and the attempt cannot be
    /// retried.
    pub async fn start_response(&self, answer: A) {
        self.response_started.set(true);
        let AttemptKey { request: id, attempt } = self.key;
        self.handle.send_input(Input::ResponseStarted { id, attempt, answer }).await;
    }

    /// Whether the client has the begin of the answer.
    pub(super) fn response_started(&self) -> bool {
        self.response_started.get()
    }

    /// The outcome where the connection was lost: before the last byte was written the request was not executed.
    pub fn connection_lost(&self) -> AttemptOutcome {
        if self.was_sent() { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }
    }
}
