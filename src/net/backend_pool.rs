//! Connection pool to endpoints, and the attempts that run on its connections, independent of the protocol.
//!
//! [`BackendPool::execute`] carries out those [`Command`]s of the engine that concern endpoints. Each attempt and probe
//! runs in its own task, which reports the outcome to the engine. Protocols implement [`BackendProtocol`].
//!
//! - `attempt`: runs one attempt, from its command to its outcome.
//! - `connections`: reuses and establishes connections within a limit.
//! - `endpoint`: the pool's state of one endpoint.
//! - `load_report`: parses the text form of a load report.
//! - `protocol`: the trait of a protocol, and the context of an attempt.

mod attempt;
mod connections;
mod endpoint;
mod load_report;
mod protocol;

pub use load_report::load_report_value;
pub use protocol::{AttemptContext, BackendProtocol, ExchangeResult, ProbeOutcome, Probed};

use super::until;
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::endpoints::EndpointState;
use crate::engine::{Command, EngineHandle, Input};
use crate::routing::{EndpointId, LoadReport};
use async_executor::LocalExecutor;
use attempt::{AttemptKey, AttemptSpec, CancelOnDrop};
use endpoint::PooledEndpoint;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Executor of the single thread that serves all sockets.
type Executor = Rc<LocalExecutor<'static>>;

/// All endpoints with their connections, and the running attempts.
pub struct BackendPool<P: BackendProtocol> {
    protocol: P,
    limits: Rc<Limits>,
    clock: Clock,
    /// Keyed by the endpoint's name.
    endpoints: RefCell<BTreeMap<String, PooledEndpoint<P::Connection>>>,
    /// Number of open connections, including idle ones; at most `Limits::backend_connections`.
    open_connections: Rc<Cell<usize>>,
    /// Running attempts; removing an entry cancels its attempt.
    in_flight: RefCell<BTreeMap<AttemptKey, CancelOnDrop>>,
    /// The generation assigned last, see [`PooledEndpoint::generation`].
    last_generation: Cell<u64>,
}

impl<P: BackendProtocol> BackendPool<P> {
    /// Creates a pool without endpoints; [`Command::UpdateEndpoints`] adds them.
    pub fn new(protocol: P, limits: Rc<Limits>, clock: Clock) -> Rc<BackendPool<P>> {
        Rc::new(BackendPool {
            protocol,
            limits,
            clock,
            endpoints: RefCell::default(),
            open_connections: Rc::default(),
            in_flight: RefCell::default(),
            last_generation: Cell::default(),
        })
    }

    /// Number of open connections, including idle ones and those being established.
    pub fn connection_count(&self) -> usize {
        self.open_connections.get()
    }

    /// Carries out a command that concerns endpoints, and returns any other command to the caller.
    pub async fn execute(
        self: &Rc<Self>,
        command: Command<P::Request>,
        executor: &Executor,
        handle: &EngineHandle<P::Request, P::Answer>,
    ) -> Option<Command<P::Request>> {
        match command {
            Command::SendAttempt {
                id,
                attempt,
                endpoint,
                endpoint_name,
                work,
                deadline,
                send_by,
                freshness,
                fresh_until,
            } => {
                let spec = AttemptSpec {
                    key: AttemptKey { request: id, attempt },
                    endpoint,
                    endpoint_name,
                    request: work,
                    deadline,
                    send_by,
                    freshness,
                    fresh_until,
                };
                self.spawn_attempt(spec, executor, handle);
            }
            Command::Probe { endpoint, endpoint_name } => {
                self.spawn_probe(endpoint, endpoint_name, executor, handle)
            }
            Command::Cancel { id, attempt } => {
                // Dropping the entry ends the attempt, which closes its connection.
                self.in_flight.borrow_mut().remove(&AttemptKey { request: id, attempt });
            }
            Command::UpdateEndpoints(changed) => {
                for state in changed {
                    self.update_endpoint(state);
                }
            }
            Command::SkipInitialProbe(name) => self.record_probed(&name),
            Command::CloseIdle(name) => {
                if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&name) {
                    endpoint.idle.clear();
                }
            }
            other => return Some(other),
        }
        None
    }

    /// Adds, updates or removes an endpoint. Its idle connections are closed: after a restart or a change of address
    /// they lead to the earlier process or address, and while the endpoint drains no request uses them.
    fn update_endpoint(&self, state: EndpointState) {
        let mut endpoints = self.endpoints.borrow_mut();
        if state.gone {
            if let Some(endpoint) = endpoints.remove(&state.name) {
                // Cancels connection attempts to it.
                endpoint.closed.set();
            }
            return;
        }
        let generation = self.last_generation.get() + 1;
        self.last_generation.set(generation);
        match endpoints.get_mut(&state.name) {
            Some(endpoint) => endpoint.update(&state, generation),
            None => {
                let endpoint = PooledEndpoint::new(&state, generation);
                endpoints.insert(state.name, endpoint);
            }
        }
    }

    fn set_needs_probe(&self, name: &str, needs_probe: bool) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(name) {
            endpoint.needs_probe = needs_probe;
        }
    }

    /// Records that an endpoint has just reported its state in an answer.
    fn record_report(&self, name: &str) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(name) {
            endpoint.reported();
        }
    }

    /// Records that an endpoint has just answered a probe, here or of a peer.
    fn record_probed(&self, name: &str) {
        self.record_report(name);
        self.set_needs_probe(name, false);
    }

    fn spawn_probe(
        self: &Rc<Self>,
        endpoint: EndpointId,
        name: String,
        executor: &Executor,
        handle: &EngineHandle<P::Request, P::Answer>,
    ) {
        let (pool, handle) = (self.clone(), handle.clone());
        let task = async move {
            let sent_at = pool.clock.now();
            let deadline = Instant::now() + pool.limits.connect_timeout;
            let report = until(deadline, pool.probe(&name)).await.flatten();
            handle.send_input(Input::ProbeFinished { endpoint, sent_at, report }).await;
        };
        executor.spawn(task).detach();
    }

    async fn probe(&self, name: &str) -> Option<LoadReport> {
        let mut connection = self.acquire(name).await.ok()?;
        let Probed { outcome, reusable } = self.protocol.probe(&mut connection.connection).await;
        let ProbeOutcome::Reported(report) = outcome else { return None };
        self.record_probed(name);
        if reusable {
            connection.confirmed = true;
            self.release(name, connection);
        }
        Some(report)
    }
}

#[cfg(test)]
mod tests;
