//! Runs one attempt, from the engine's command to its outcome.

use super::connections::PooledConnection;
use super::{AttemptContext, BackendPool, BackendProtocol, ExchangeResult, Executor, ProbeOutcome, Probed};
use crate::engine::{AttemptReport, EngineHandle, Freshness, Input};
use crate::net::latch::Latch;
use crate::net::until;
use crate::routing::{AttemptOutcome, EndpointId, RequestId, Timestamp};
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::Instant;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    /// Number of the attempt within its request.
    pub(super) attempt: u8,
}

/// Parameters of an attempt, taken from the engine's command.
pub(super) struct AttemptSpec<R> {
    pub(super) key: AttemptKey,
    /// Identifies the endpoint in reports to the engine.
    pub(super) endpoint: EndpointId,
    pub(super) endpoint_name: String,
    pub(super) request: R,
    /// When the attempt is abandoned, unless the answer is being streamed.
    pub(super) deadline: Timestamp,
    /// From this time on the request must not be sent, even if `deadline` has not passed; `None` if only `deadline`
    /// applies.
    pub(super) send_by: Option<Timestamp>,
    pub(super) freshness: Freshness,
    /// After this time the endpoint's known position no longer proves `freshness`; `None` if there is no such limit.
    pub(super) fresh_until: Option<Timestamp>,
}

/// Cancels an attempt when dropped.
pub(super) struct CancelOnDrop(Latch);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.set();
    }
}

impl<P: BackendProtocol> BackendPool<P> {
    /// Runs an attempt in its own task and reports its outcome to the engine.
    pub(super) fn spawn_attempt(
        self: &Rc<Self>,
        spec: AttemptSpec<P::Request>,
        executor: &Executor,
        handle: &EngineHandle<P::Request, P::Answer>,
    ) {
        let cancelled = Latch::default();
        self.in_flight.borrow_mut().insert(spec.key, CancelOnDrop(cancelled.clone()));
        let (pool, handle) = (self.clone(), handle.clone());
        let task = async move {
            let context = AttemptContext::new(&spec, &handle);
            let result = pool.run_attempt(&spec, &context, &cancelled).await;
            pool.in_flight.borrow_mut().remove(&spec.key);
            let AttemptKey { request: id, attempt } = spec.key;
            let ExchangeResult { outcome, replica_status, report, answer, .. } = result;
            log::trace!("request {id}: attempt {attempt} at {}: {outcome:?}", spec.endpoint_name);
            let report = AttemptReport { id, attempt, outcome, replica_status, load_report: report, answer };
            handle.send_input(Input::AttemptFinished(report)).await;
        };
        executor.spawn(task).detach();
    }

    /// Runs one attempt until it ends, is cancelled or reaches its deadline.
    async fn run_attempt(
        &self,
        spec: &AttemptSpec<P::Request>,
        context: &AttemptContext<'_, P::Request, P::Answer>,
        cancelled: &Latch,
    ) -> ExchangeResult<P::Answer> {
        let exchange = async {
            let result = self.try_exchange(spec, context, cancelled).await;
            result.unwrap_or_else(ExchangeResult::outcome_only)
        };
        let cancellation = async {
            cancelled.wait().await;
            ExchangeResult::outcome_only(AttemptOutcome::Cancelled)
        };
        let timeout = async {
            Timer::at(self.clock.instant_of(context.deadline)).await;
            if context.response_started() {
                // The deadline does not apply to a streamed answer.
                future::pending::<()>().await;
            }
            let outcome = if context.was_sent() { AttemptOutcome::TimedOut } else { AttemptOutcome::NotSent };
            ExchangeResult::outcome_only(outcome)
        };
        // If the outcome and the cancellation or deadline are available at the same time, the outcome takes precedence.
        future::or(exchange, future::or(cancellation, timeout)).await
    }

    /// Sends the request on a connection and receives its answer.
    ///
    /// # Errors
    /// The outcome of an attempt whose request was not sent.
    async fn try_exchange(
        &self,
        spec: &AttemptSpec<P::Request>,
        context: &AttemptContext<'_, P::Request, P::Answer>,
        cancelled: &Latch,
    ) -> Result<ExchangeResult<P::Answer>, AttemptOutcome> {
        if cancelled.is_set() {
            return Err(AttemptOutcome::Cancelled);
        }
        let name = spec.endpoint_name.as_str();
        let connection = self.acquire(name).await?;
        let mut connection = self.probe_before_use(name, connection, context).await?;
        // The endpoint may have been drained or restarted while the connection was established. The request is not sent
        // then: the router has to route it again, and to limit the load that a restarted endpoint receives.
        if !self.is_usable(name, &connection) {
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
        if context.is_freshness_expired() {
            self.release(name, connection);
            return Err(AttemptOutcome::FreshnessExpired);
        }
        let result = self.protocol.exchange(&mut connection.connection, &spec.request, context).await;
        if result.replica_status.is_some() {
            self.record_report(name);
        }
        if matches!(result.outcome, AttemptOutcome::Reset | AttemptOutcome::ConnectFailed) {
            self.set_needs_probe(name, true);
        }
        if result.reusable {
            self.release(name, connection);
        }
        Ok(result)
    }

    /// Probes an endpoint that may have restarted since its last report, see [`super::PooledEndpoint::needs_probe`], if
    /// the protocol requires a probe. Returns the connection on which to send the request.
    ///
    /// # Errors
    /// The outcome of an attempt that was not sent; `ConnectFailed` if the probe was not answered in time.
    async fn probe_before_use(
        &self,
        name: &str,
        mut connection: PooledConnection<P::Connection>,
        context: &AttemptContext<'_, P::Request, P::Answer>,
    ) -> Result<PooledConnection<P::Connection>, AttemptOutcome> {
        let needs_probe = !connection.confirmed || self.needs_probe(name);
        if !self.protocol.probes_before_first_use() || !needs_probe {
            return Ok(connection);
        }
        let sent_at = self.clock.now();
        let deadline = Instant::now() + self.limits.connect_timeout;
        let probed = until(deadline, self.protocol.probe(&mut connection.connection)).await;
        let Probed { outcome, reusable } = probed.unwrap_or(Probed::UNANSWERED);
        match outcome {
            ProbeOutcome::Reported(report) => {
                self.record_probed(name);
                // Reported before this attempt's outcome: if the endpoint lost a part of its log, the engine must
                // receive this report before anything else is written to the endpoint.
                let endpoint = context.endpoint;
                let probed = Input::ProbeFinished { endpoint, sent_at, report: Some(report) };
                context.handle.send_input(probed).await;
            }
            // None is sent again until another connection is opened.
            ProbeOutcome::Unsupported => self.set_needs_probe(name, false),
            // The endpoint may have restarted, and is as good as unreachable.
            ProbeOutcome::Unanswered => return Err(AttemptOutcome::ConnectFailed),
        }
        if !reusable {
            return self.acquire(name).await;
        }
        connection.confirmed = true;
        Ok(connection)
    }

    fn needs_probe(&self, name: &str) -> bool {
        self.endpoints.borrow().get(name).is_some_and(|endpoint| endpoint.needs_probe)
    }

    /// Whether the endpoint accepts new requests and has not changed since the connection was opened.
    fn is_usable(&self, name: &str, connection: &PooledConnection<P::Connection>) -> bool {
        let endpoints = self.endpoints.borrow();
        endpoints.get(name).is_some_and(|endpoint| endpoint.accepts(connection.generation))
    }
}
