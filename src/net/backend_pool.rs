//! Connections to backends, and the attempts that run on them, for every protocol.
//!
//! The engine sends [`Command`]s; [`BackendPool::execute`] carries out those that concern backends, each attempt and probe
//! in a task of its own, and reports how they ended. A protocol implements [`BackendProtocol`]; start there.
//!
//! - `attempt`: one attempt from its command to its outcome.
//! - `connections`: reuse, establishment and budget of connections.
//! - `endpoint`: what the pool knows of one endpoint.

mod attempt;
mod connections;
mod endpoint;
mod load_report;
mod protocol;

pub use load_report::load_report_value;
pub use protocol::{AttemptContext, BackendProtocol, ExchangeResult};

use super::until;
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::endpoints::EndpointState;
use crate::engine::{Command, EngineHandle, Input};
use crate::routing::{EndpointId, LoadReport};
use async_executor::LocalExecutor;
use attempt::{AttemptKey, AttemptOrder, CancelOnDrop};
use endpoint::PooledEndpoint;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// The executor of the thread that serves all sockets.
type Executor = Rc<LocalExecutor<'static>>;

/// All endpoints with their connections, and the attempts in flight.
pub struct BackendPool<P: BackendProtocol> {
    protocol: P,
    limits: Rc<Limits>,
    clock: Clock,
    /// By the endpoint's name.
    endpoints: RefCell<BTreeMap<String, PooledEndpoint<P::Connection>>>,
    /// Connections held now, idle ones included; at most `Limits::backend_connections`.
    open_connections: Rc<Cell<usize>>,
    /// Attempts in flight; removing one cancels it.
    in_flight: RefCell<BTreeMap<AttemptKey, CancelOnDrop>>,
    /// Counts changes of all endpoints, see [`PooledEndpoint::generation`].
    last_generation: Cell<u64>,
}

impl<P: BackendProtocol> BackendPool<P> {
    /// A pool without endpoints.
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

    /// Connections held now, idle ones included.
    pub fn connection_count(&self) -> usize {
        self.open_connections.get()
    }

    /// Carries out a command that concerns backends; any other one is handed back.
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
                endpoint_name: host,
                work,
                until,
                send_by,
                freshness,
            } => {
                let order = AttemptOrder {
                    key: AttemptKey { request: id, attempt },
                    endpoint,
                    endpoint_name: host,
                    request: work,
                    deadline: until,
                    send_by,
                    freshness,
                };
                self.spawn_attempt(order, executor, handle);
            }
            Command::Probe { endpoint, endpoint_name: host } => {
                self.spawn_probe(endpoint, host, executor, handle)
            }
            Command::Cancel { id, attempt } => {
                // The attempt ends, and closes its connection.
                self.in_flight.borrow_mut().remove(&AttemptKey { request: id, attempt });
            }
            Command::UpdateEndpoints(changes) => {
                for change in changes {
                    self.update_endpoint(change);
                }
            }
            Command::SkipInitialProbe(name) => self.set_needs_probe(&name, false),
            Command::CloseIdle(name) => {
                if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&name) {
                    endpoint.idle.clear();
                }
            }
            other => return Some(other),
        }
        None
    }

    /// Takes in that an endpoint is new, has changed or is gone. Its idle connections are closed: they lead to another
    /// process or place.
    fn update_endpoint(&self, change: EndpointState) {
        let mut endpoints = self.endpoints.borrow_mut();
        if change.gone {
            if let Some(endpoint) = endpoints.remove(&change.name) {
                // Tasks that are connecting to it give up.
                endpoint.closed.set();
            }
            return;
        }
        let generation = self.last_generation.get() + 1;
        self.last_generation.set(generation);
        match endpoints.get_mut(&change.name) {
            Some(endpoint) => endpoint.update(&change, generation),
            None => {
                let endpoint = PooledEndpoint::new(&change, generation);
                endpoints.insert(change.name, endpoint);
            }
        }
    }

    fn set_needs_probe(&self, name: &str, needs_probe: bool) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(name) {
            endpoint.needs_probe = needs_probe;
        }
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
            let began = pool.clock.now();
            let deadline = Instant::now() + pool.limits.connect_timeout;
            let report = until(deadline, pool.probe(&name)).await.flatten();
            let took = pool.clock.now() - began;
            handle.send_input(Input::ProbeFinished { endpoint, took, report }).await;
        };
        executor.spawn(task).detach();
    }

    async fn probe(&self, name: &str) -> Option<LoadReport> {
        let mut connection = self.acquire(name).await.ok()?;
        let report = self.protocol.probe(&mut connection.connection).await?;
        self.set_needs_probe(name, false);
        self.release(name, connection);
        Some(report)
    }
}

#[cfg(test)]
mod tests;
