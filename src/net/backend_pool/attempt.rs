//! One attempt, from the engine's command to its outcome.

use super::connections::PooledConnection;
use super::{AttemptContext, BackendPool, BackendProtocol, ExchangeResult, Executor};
use crate::engine::{AttemptReport, EngineHandle, Freshness, Input};
use crate::net::latch::Latch;
use crate::net::until;
use crate::routing::{AttemptOutcome, EndpointId, LoadReport, RequestId, Timestamp};
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::Instant;

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    /// Its number among the request's attempts.
    pub(super) attempt: u8,
}

/// An attempt as the engine orders it.
pub(super) struct AttemptOrder<R> {
    pub(super) key: AttemptKey,
    /// Handed back with what the endpoint tells of itself.
    pub(super) endpoint: EndpointId,
    pub(super) endpoint_name: String,
    pub(super) request: R,
    /// When to abandon it.
    pub(super) deadline: Timestamp,
    /// After this it may not be sent any more, though its deadline has not passed.
    pub(super) send_by: Option<Timestamp>,
    pub(super) freshness: Freshness,
}

/// Cancels an attempt when it is dropped.
pub(super) struct CancelOnDrop(Latch);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.set();
    }
}

impl<P: BackendProtocol> BackendPool<P> {
    /// Runs an attempt in a task of its own and reports its outcome.
    pub(super) fn spawn_attempt(
        self: &Rc<Self>,
        order: AttemptOrder<P::Request>,
        executor: &Executor,
        handle: &EngineHandle<P::Request, P::Answer>,
    ) {
        let cancelled = Latch::default();
        self.in_flight.borrow_mut().insert(order.key, CancelOnDrop(cancelled.clone()));
        let (pool, handle) = (self.clone(), handle.clone());
        let task = async move {
            let context = AttemptContext::new(&order, &handle);
            let result = pool.run_attempt(&order, &context, &cancelled).await;
            pool.in_flight.borrow_mut().remove(&order.key);
            let AttemptKey { request: id, attempt } = order.key;
            let ExchangeResult { outcome, replica_status, report, answer, .. } = result;
            log::trace!("request {id}: attempt {attempt} at {}: {outcome:?}", order.endpoint_name);
            let report = AttemptReport { id, attempt, outcome, replica_status, report, answer };
            handle.send_input(Input::AttemptFinished(report)).await;
        };
        executor.spawn(task).detach();
    }

    /// Runs one attempt until its outcome, its cancellation or its deadline.
    async fn run_attempt(
        &self,
        order: &AttemptOrder<P::Request>,
        context: &AttemptContext<'_, P::Request, P::Answer>,
        cancelled: &Latch,
    ) -> ExchangeResult<P::Answer> {
        let exchange = async {
            let result = self.try_exchange(order, context, cancelled).await;
            result.unwrap_or_else(ExchangeResult::outcome_only)
        };
        let cancellation = async {
            cancelled.wait().await;
            ExchangeResult::outcome_only(AttemptOutcome::Cancelled)
        };
        let timeout = async {
            Timer::at(self.clock.instant_of(context.deadline)).await;
            if context.response_started() {
                // A streamed answer is not bound by the deadline.
                future::pending::<()>().await;
            }
            let outcome = if context.was_sent() { AttemptOutcome::TimedOut } else { AttemptOutcome::NotSent };
            ExchangeResult::outcome_only(outcome)
        };
        // An outcome that has come counts before the request to stop waiting for it.
        future::or(exchange, future::or(cancellation, timeout)).await
    }

    /// Sends the request on a connection and receives its answer. An error is the outcome of an attempt that was not
    /// sent.
    async fn try_exchange(
        &self,
        order: &AttemptOrder<P::Request>,
        context: &AttemptContext<'_, P::Request, P::Answer>,
        cancelled: &Latch,
    ) -> Result<ExchangeResult<P::Answer>, AttemptOutcome> {
        if cancelled.is_set() {
            return Err(AttemptOutcome::Cancelled);
        }
        let name = order.endpoint_name.as_str();
        let connection = self.acquire(name).await?;
        let mut connection = self.probe_before_use(name, connection, context).await?;
        // While the connection was established the endpoint may have begun to drain, or restarted: nothing new goes
        // there, and how much a cold one can bear is for the router to decide.
        if !self.may_use(name, &connection) {
            return Err(AttemptOutcome::ConnectFailed);
        }
        if cancelled.is_set() {
            self.release(name, connection);
            return Err(AttemptOutcome::Cancelled);
        }
        if context.is_expired() {
            self.release(name, connection);
            return Err(AttemptOutcome::NotSent);
        }
        let result = self.protocol.exchange(&mut connection.connection, &order.request, context).await;
        if matches!(result.outcome, AttemptOutcome::Reset | AttemptOutcome::ConnectFailed) {
            self.set_needs_probe(name, true);
        }
        if result.reusable {
            self.release(name, connection);
        }
        Ok(result)
    }

    /// Probes an endpoint that is new or to which a connection failed, where its protocol wants that. Returns the
    /// connection for the request.
    async fn probe_before_use(
        &self,
        name: &str,
        mut connection: PooledConnection<P::Connection>,
        context: &AttemptContext<'_, P::Request, P::Answer>,
    ) -> Result<PooledConnection<P::Connection>, AttemptOutcome> {
        if !self.protocol.probes_before_first_use() || !self.needs_probe(name) {
            return Ok(connection);
        }
        let began = self.clock.now();
        let report = self.probe_within_timeout(&mut connection).await;
        self.set_needs_probe(name, false);
        if report.is_none() {
            // The endpoint does not know the probe, which is sent once: its answer may still come on this connection.
            return self.acquire(name).await;
        }
        // Reported ahead of this attempt's outcome: that the endpoint lost a part of its log must be known before
        // anything new is written to it.
        let took = self.clock.now() - began;
        let probed = Input::ProbeFinished { endpoint: context.endpoint, took, report };
        context.handle.send_input(probed).await;
        Ok(connection)
    }

    async fn probe_within_timeout(
        &self,
        connection: &mut PooledConnection<P::Connection>,
    ) -> Option<LoadReport> {
        let deadline = Instant::now() + self.limits.connect_timeout;
        until(deadline, self.protocol.probe(&mut connection.connection)).await.flatten()
    }

    fn needs_probe(&self, name: &str) -> bool {
        self.endpoints.borrow().get(name).is_some_and(|endpoint| endpoint.needs_probe)
    }

    /// Whether a connection still leads to the endpoint as it is, and the endpoint takes new requests.
    fn may_use(&self, name: &str, connection: &PooledConnection<P::Connection>) -> bool {
        let endpoints = self.endpoints.borrow();
        endpoints.get(name).is_some_and(|endpoint| endpoint.accepts(connection.generation))
    }
}
