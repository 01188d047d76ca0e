//! The host side that every protocol shares: connections that are kept and reused, attempts that run, and
//! the gate that closes when a host drains.

use super::until;
use crate::clock::Clock;
use crate::config::Limits;
use crate::engine::endpoints::EndpointChange;
use crate::engine::{AttemptReport, Command, EngineHandle, Freshness, Input};
use crate::routing::*;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// What came of one exchange with a host.
#[derive(Clone, Debug)]
pub struct ExchangeResult<A> {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// What the host told about itself.
    pub replica_status: Option<ReplicaStatus>,
    /// Its load report.
    pub report: LoadReport,
    /// The answer, where it was served.
    pub answer: Option<A>,
    /// The connection may carry another request.
    pub reusable: bool,
}

impl<A> ExchangeResult<A> {
    /// An outcome about which the host said nothing.
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

/// A protocol that hosts speak.
#[allow(async_fn_in_trait)]
pub trait BackendProtocol: 'static {
    /// What is sent.
    type Request: Clone + Send + 'static;
    /// What comes back.
    type Answer: Send + 'static;
    /// A connection that is ready for a request.
    type Connection: 'static;

    /// Makes a new stream ready. An error is the outcome of an attempt that never ran.
    async fn handshake(&self, stream: Async<TcpStream>) -> Result<Self::Connection, AttemptOutcome>;
    /// Whether nothing came on a connection since its last answer.
    fn is_silent(&self, connection: &Self::Connection) -> bool;
    /// Whether a host is asked about itself before anything else where it is new or a connection to it has failed: it
    /// may have begun anew, and lost what it had.
    fn probes_before_first_use(&self) -> bool {
        false
    }
    /// Asks a host about itself; `None` where the protocol has no such question, or no answer came.
    async fn probe(&self, _connection: &mut Self::Connection) -> Option<LoadReport> {
        None
    }
    /// One request on a connection.
    async fn exchange(
        &self,
        connection: &mut Self::Connection,
        work: &Self::Request,
        trip: &AttemptContext<'_, Self::Request, Self::Answer>,
    ) -> ExchangeResult<Self::Answer>;
}

/// One attempt on its way.
pub struct AttemptContext<'a, W, A> {
    id: RequestId,
    attempt: u8,
    endpoint: EndpointId,
    handle: &'a EngineHandle<W, A>,
    stop_at: Timestamp,
    send_by: Option<Timestamp>,
    /// How current its answer must be.
    pub freshness: Freshness,
    /// The last byte of the request was written: from then on it may have run.
    sent: Cell<bool>,
    begun: Cell<bool>,
}

impl<W, A> AttemptContext<'_, W, A> {
    /// The present.
    pub fn now(&self) -> Timestamp {
        self.handle.clock().now()
    }

    /// Whether the last byte of the request was written.
    pub fn was_sent(&self) -> bool {
        self.sent.get()
    }

    /// The last byte of the request was written.
    pub fn mark_sent(&self) {
        self.sent.set(true);
        self.handle.metrics().dispatched();
    }

    /// Time until it is abandoned.
    pub fn time_left(&self) -> TimeDelta {
        (self.stop_at - self.now()).or_zero()
    }

    /// Why it may not be sent any more, if so: the time may have passed in which a connection came up. It never ran.
    fn expired(&self) -> Option<AttemptOutcome> {
        let now = self.now();
        (now >= self.stop_at || self.send_by.is_some_and(|at| now >= at)).then_some(AttemptOutcome::NotSent)
    }

    /// The answer has begun and is the client's now: the deadline no longer binds.
    pub async fn start_response(&self, answer: A) {
        self.begun.set(true);
        self.handle.input(Input::ResponseStarted { id: self.id, attempt: self.attempt, answer }).await;
    }

    /// The outcome of an attempt whose connection broke: never run before its last byte was written.
    pub fn connection_lost(&self) -> AttemptOutcome {
        if self.sent.get() { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }
    }
}

/// A figure out of a load report's text, as in `inflight=7,util=0.61`.
pub fn load_report_value(text: &str, name: &str) -> Option<f64> {
    let mut pairs = text.split(',').filter_map(|p| p.trim().split_once('='));
    pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse().ok()).filter(|v: &f64| v.is_finite())
}

struct PooledEndpoint<C> {
    address: SocketAddr,
    open: bool,
    /// Closed when nothing new may be sent.
    gate: (Sender<()>, Receiver<()>),
    idle: Vec<(PooledConnection<C>, Instant)>,
    /// It is new, or a connection to it could not be made or broke, and it has not been heard since.
    doubted: bool,
    /// Differs for every restart and move: a connection of an earlier one is not kept.
    epoch: u64,
}

/// All hosts with their connections.
pub struct BackendPool<W: BackendProtocol> {
    wire: W,
    limits: Rc<Limits>,
    clock: Clock,
    known: RefCell<BTreeMap<String, PooledEndpoint<W::Connection>>>,
    connections: Rc<Cell<usize>>,
    running: RefCell<BTreeMap<(RequestId, u8), Sender<()>>>,
    /// Counts restarts and moves of all hosts.
    epochs: Cell<u64>,
}

/// A descriptor's share of the budget.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A connection with its slot and where it belongs.
struct PooledConnection<C> {
    connection: C,
    _slot: Slot,
    epoch: u64,
}

impl<W: BackendProtocol> BackendPool<W> {
    /// No hosts yet.
    pub fn new(wire: W, limits: Rc<Limits>, clock: Clock) -> Rc<BackendPool<W>> {
        Rc::new(BackendPool {
            wire,
            limits,
            clock,
            known: RefCell::default(),
            connections: Rc::default(),
            running: RefCell::default(),
            epochs: Cell::default(),
        })
    }

    /// Connections held now.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// Carries out an attempt's or a host's command; others are handed back.
    pub async fn execute(
        self: &Rc<Self>,
        command: Command<W::Request>,
        executor: &Rc<LocalExecutor<'static>>,
        handle: &EngineHandle<W::Request, W::Answer>,
    ) -> Option<Command<W::Request>> {
        match command {
            Command::SendAttempt { id, attempt, endpoint, host, work, until, send_by, freshness } => {
                let (cancel, cancelled) = async_channel::bounded(1);
                self.running.borrow_mut().insert((id, attempt), cancel);
                let (hosts, handle) = (self.clone(), handle.clone());
                let task = async move {
                    let (sent, begun) = (Cell::new(false), Cell::new(false));
                    let (handle, stop_at) = (&handle, until);
                    let trip = AttemptContext {
                        id,
                        attempt,
                        endpoint,
                        handle,
                        stop_at,
                        send_by,
                        freshness,
                        sent,
                        begun,
                    };
                    let done = hosts.attempt(&host, &work, &trip, &cancelled).await;
                    hosts.running.borrow_mut().remove(&(id, attempt));
                    let ExchangeResult { outcome, replica_status, report, answer, .. } = done;
                    log::trace!("request {id}: attempt {attempt} at {host}: {outcome:?}");
                    handle
                        .input(Input::AttemptFinished(AttemptReport {
                            id,
                            attempt,
                            outcome,
                            replica_status,
                            report,
                            answer,
                        }))
                        .await;
                };
                executor.spawn(task).detach();
                None
            }
            Command::Probe { endpoint, host } => {
                let (hosts, handle) = (self.clone(), handle.clone());
                let task = async move {
                    let began = hosts.clock.now();
                    let end = Instant::now() + hosts.limits.connect_timeout;
                    let report = until(end, hosts.probe(&host)).await.flatten();
                    let took = hosts.clock.now() - began;
                    handle.input(Input::ProbeFinished { endpoint, took, report }).await;
                };
                executor.spawn(task).detach();
                None
            }
            Command::Cancel { id, attempt } => {
                // Dropping the sender ends the attempt, which closes its connection.
                self.running.borrow_mut().remove(&(id, attempt));
                None
            }
            Command::UpdateEndpoints(changed) => {
                changed.into_iter().for_each(|h| self.host(h));
                None
            }
            Command::SkipInitialProbe(name) => {
                self.doubt(&name, false);
                None
            }
            Command::CloseIdle(name) => {
                if let Some(known) = self.known.borrow_mut().get_mut(&name) {
                    known.idle.clear();
                }
                None
            }
            other => Some(other),
        }
    }

    fn host(&self, host: EndpointChange) {
        let mut all = self.known.borrow_mut();
        if host.gone {
            // Nothing of it is kept; whoever waits for a connection to it is told by its gate.
            if let Some(known) = all.remove(&host.name) {
                known.gate.0.close();
            }
            return;
        }
        self.epochs.set(self.epochs.get() + 1);
        let known = all.entry(host.name).or_insert_with(|| PooledEndpoint {
            address: host.address,
            open: host.open,
            gate: async_channel::bounded(1),
            idle: Vec::new(),
            doubted: true,
            epoch: 0,
        });
        // Another process or place: what was opened to the old one leads nowhere.
        known.epoch = self.epochs.get();
        known.address = host.address;
        known.open = host.open;
        if !host.open {
            known.gate.0.close();
        } else if known.gate.0.is_closed() {
            known.gate = async_channel::bounded(1);
        }
        known.idle.clear();
    }

    async fn probe(&self, host: &str) -> Option<LoadReport> {
        let mut lease = self.lease(host).await.ok()?;
        let report = self.wire.probe(&mut lease.connection).await?;
        self.doubt(host, false);
        self.give_back(host, lease);
        Some(report)
    }

    /// Runs one attempt to its outcome.
    async fn attempt(
        &self,
        host: &str,
        work: &W::Request,
        trip: &AttemptContext<'_, W::Request, W::Answer>,
        cancelled: &Receiver<()>,
    ) -> ExchangeResult<W::Answer> {
        let work = self.send(host, work, trip, cancelled);
        let cancel = async {
            while cancelled.recv().await.is_ok() {}
            ExchangeResult::outcome_only(AttemptOutcome::Cancelled)
        };
        let time = async {
            Timer::at(self.clock.instant(trip.stop_at)).await;
            if trip.begun.get() {
                future::pending::<()>().await;
            }
            ExchangeResult::outcome_only(if trip.was_sent() {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::NotSent
            })
        };
        // An outcome that has come counts before a wish to stop waiting for it.
        future::or(work, future::or(cancel, time)).await
    }

    async fn send(
        &self,
        host: &str,
        work: &W::Request,
        trip: &AttemptContext<'_, W::Request, W::Answer>,
        cancelled: &Receiver<()>,
    ) -> ExchangeResult<W::Answer> {
        if cancelled.is_closed() {
            return ExchangeResult::outcome_only(AttemptOutcome::Cancelled);
        }
        let mut lease = match self.lease(host).await {
            Ok(lease) => lease,
            Err(outcome) => return ExchangeResult::outcome_only(outcome),
        };
        if self.wire.probes_before_first_use() && self.known.borrow().get(host).is_some_and(|k| k.doubted) {
            let began = self.clock.now();
            let end = Instant::now() + self.limits.connect_timeout;
            let report = until(end, self.wire.probe(&mut lease.connection)).await.flatten();
            self.doubt(host, false);
            if report.is_none() {
                // It does not know the question: this is asked once, and its connection may be spoilt.
                lease = match self.lease(host).await {
                    Ok(lease) => lease,
                    Err(outcome) => return ExchangeResult::outcome_only(outcome),
                };
            } else {
                // Ahead of whatever this attempt brings: what the host had lost is seen before anything new is there.
                let took = self.clock.now() - began;
                trip.handle.input(Input::ProbeFinished { endpoint: trip.endpoint, took, report }).await;
            }
        }
        // While the connection came up the host may have begun to drain or begun anew: nothing new goes there, and
        // what a cold one bears is for the module to say. Its client may have gone, and its time may be over.
        if !self.known.borrow().get(host).is_some_and(|k| k.open && k.epoch == lease.epoch) {
            return ExchangeResult::outcome_only(AttemptOutcome::ConnectFailed);
        }
        let stopped = cancelled.is_closed().then_some(AttemptOutcome::Cancelled).or_else(|| trip.expired());
        if let Some(outcome) = stopped {
            self.give_back(host, lease);
            return ExchangeResult::outcome_only(outcome);
        }
        let done = self.wire.exchange(&mut lease.connection, work, trip).await;
        if matches!(done.outcome, AttemptOutcome::Reset | AttemptOutcome::ConnectFailed) {
            self.doubt(host, true);
        }
        if done.reusable {
            self.give_back(host, lease);
        }
        done
    }

    fn doubt(&self, host: &str, doubted: bool) {
        if let Some(known) = self.known.borrow_mut().get_mut(host) {
            known.doubted = doubted;
        }
    }

    fn give_back(&self, host: &str, lease: PooledConnection<W::Connection>) {
        let mut all = self.known.borrow_mut();
        if let Some(known) = all.get_mut(host).filter(|k| k.open && k.epoch == lease.epoch) {
            known.idle.push((lease, Instant::now()));
        }
    }

    async fn lease(&self, host: &str) -> Result<PooledConnection<W::Connection>, AttemptOutcome> {
        let (address, epoch, gate) = {
            let mut all = self.known.borrow_mut();
            let known = all.get_mut(host).filter(|k| k.open).ok_or(AttemptOutcome::ConnectFailed)?;
            // The one used last first, so that those that are not needed grow old and end.
            for n in (0..known.idle.len()).rev() {
                // A second copy of the last answer may be on its way: it must not pass for the next one.
                if known.idle[n].1.elapsed() < self.limits.connection_settle_time {
                    continue;
                }
                let (lease, since) = known.idle.remove(n);
                // The host closes idle connections: a request on one that it has closed may have run.
                if since.elapsed() < self.limits.backend_idle_timeout
                    && self.wire.is_silent(&lease.connection)
                {
                    return Ok(lease);
                }
            }
            (known.address, known.epoch, known.gate.1.clone())
        };
        let slot = self.slot().ok_or(AttemptOutcome::Overloaded)?;
        let connect = async {
            let stream =
                Async::<TcpStream>::connect(address).await.map_err(|_| AttemptOutcome::ConnectFailed)?;
            stream.get_ref().set_nodelay(true).map_err(|_| AttemptOutcome::ConnectFailed)?;
            self.wire.handshake(stream).await
        };
        let closed = async {
            while gate.recv().await.is_ok() {}
            Err(AttemptOutcome::ConnectFailed)
        };
        let connection =
            until(Instant::now() + self.limits.connect_timeout, future::or(connect, closed)).await;
        let connection = connection.unwrap_or(Err(AttemptOutcome::ConnectFailed));
        if matches!(connection, Err(AttemptOutcome::ConnectFailed)) {
            self.doubt(host, true);
        }
        let connection = connection?;
        Ok(PooledConnection { connection, _slot: slot, epoch })
    }

    /// A share of the budget; the longest idle connection makes room.
    fn slot(&self) -> Option<Slot> {
        if self.connections.get() >= self.limits.backend_connections {
            let mut all = self.known.borrow_mut();
            let longest = all.values_mut().filter(|k| !k.idle.is_empty()).min_by_key(|k| k.idle[0].1)?;
            drop(longest.idle.remove(0));
        }
        self.connections.set(self.connections.get() + 1);
        Some(Slot(self.connections.clone()))
    }

    /// Closes connections that have stood idle too long, for ever.
    pub async fn sweep_idle(&self) {
        loop {
            Timer::after(self.limits.pool_sweep_interval).await;
            for known in self.known.borrow_mut().values_mut() {
                known.idle.retain(|(_, since)| since.elapsed() < self.limits.backend_idle_timeout);
            }
        }
    }
}

#[cfg(test)]
mod tests;
