//! Reuses and establishes connections within the limit of open connections.

use super::endpoint::IdleConnection;
use super::{BackendPool, BackendProtocol};
use crate::net::latch::Latch;
use crate::net::until;
use crate::routing::AttemptOutcome;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Permit for one of `Limits::backend_connections`, returned when dropped.
pub(super) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    fn new(count: &Rc<Cell<usize>>) -> ConnectionPermit {
        count.set(count.get() + 1);
        ConnectionPermit(count.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A connection with its permit, and the endpoint's generation when it was opened.
pub(super) struct PooledConnection<C> {
    pub(super) connection: C,
    _permit: ConnectionPermit,
    pub(super) generation: u64,
    /// Whether the endpoint has reported its state on this connection, or just before it was opened. It may have
    /// restarted otherwise, while its earlier connections stayed open and silent.
    pub(super) confirmed: bool,
}

/// The endpoint of a new connection, as it is when the connection attempt starts.
struct ConnectTarget {
    address: SocketAddr,
    generation: u64,
    /// Whether the endpoint has just reported its state.
    confirmed: bool,
    /// Set when the endpoint stops accepting requests while the connection is being established.
    closed: Latch,
}

impl<P: BackendProtocol> BackendPool<P> {
    /// Returns an idle connection, or establishes one.
    ///
    /// # Errors
    /// The outcome of an attempt that was never sent: `ConnectFailed`, `Overloaded` if no permit is left, or the error
    /// of the handshake.
    pub(super) async fn acquire(
        &self,
        name: &str,
    ) -> Result<PooledConnection<P::Connection>, AttemptOutcome> {
        if let Some(connection) = self.take_idle(name) {
            return Ok(connection);
        }
        let target = self.connect_target(name).ok_or(AttemptOutcome::ConnectFailed)?;
        let permit = self.take_permit().ok_or(AttemptOutcome::Overloaded)?;
        let connection = self.connect(&target).await;
        if matches!(connection, Err(AttemptOutcome::ConnectFailed)) {
            self.set_needs_probe(name, true);
        }
        Ok(PooledConnection {
            connection: connection?,
            _permit: permit,
            generation: target.generation,
            confirmed: target.confirmed,
        })
    }

    /// Keeps a connection for reuse, or closes it if its endpoint accepts no requests or has changed.
    pub(super) fn release(&self, name: &str, connection: PooledConnection<P::Connection>) {
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(endpoint) = endpoints.get_mut(name)
            && endpoint.accepts(connection.generation)
        {
            endpoint.idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Takes the most recently used idle connection, so that surplus connections reach their idle timeout. Unusable
    /// ones found during the search are closed.
    fn take_idle(&self, name: &str) -> Option<PooledConnection<P::Connection>> {
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(name).filter(|endpoint| endpoint.open)?;
        for index in (0..endpoint.idle.len()).rev() {
            // Excess bytes after the last answer may still arrive, and must not be taken for the next answer.
            if endpoint.idle[index].since.elapsed() < self.limits.connection_settle_time {
                continue;
            }
            let IdleConnection { connection, since } = endpoint.idle.remove(index);
            // Endpoints close idle connections. If a request is sent at that moment, it is unknown whether it was
            // executed.
            if !self.protocol.is_silent(&connection.connection) {
                // The endpoint may have ended it by a restart.
                endpoint.needs_probe = true;
            } else if since.elapsed() < self.limits.backend_idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    /// The target of a new connection; `None` if the endpoint accepts no requests or was removed.
    fn connect_target(&self, name: &str) -> Option<ConnectTarget> {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(name).filter(|endpoint| endpoint.open)?;
        Some(ConnectTarget {
            address: endpoint.address,
            generation: endpoint.generation,
            confirmed: endpoint.has_just_reported(),
            closed: endpoint.closed.clone(),
        })
    }

    /// Returns a permit for a new connection. If the limit is reached, the connection that has been idle for the longest
    /// time is closed; `None` if no connection is idle.
    fn take_permit(&self) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.limits.backend_connections {
            let mut endpoints = self.endpoints.borrow_mut();
            let longest_idle = endpoints
                .values_mut()
                .filter(|endpoint| !endpoint.idle.is_empty())
                .min_by_key(|endpoint| endpoint.idle[0].since)?;
            drop(longest_idle.idle.remove(0));
        }
        Some(ConnectionPermit::new(&self.open_connections))
    }

    /// Establishes a connection within `Limits::connect_timeout`, and gives up if the endpoint stops accepting
    /// requests.
    async fn connect(&self, target: &ConnectTarget) -> Result<P::Connection, AttemptOutcome> {
        let connect = async {
            let stream = Async::<TcpStream>::connect(target.address)
                .await
                .map_err(|_| AttemptOutcome::ConnectFailed)?;
            stream.get_ref().set_nodelay(true).map_err(|_| AttemptOutcome::ConnectFailed)?;
            self.protocol.handshake(stream).await
        };
        let closed = async {
            target.closed.wait().await;
            Err(AttemptOutcome::ConnectFailed)
        };
        let deadline = Instant::now() + self.limits.connect_timeout;
        let connected = until(deadline, future::or(connect, closed)).await;
        connected.unwrap_or(Err(AttemptOutcome::ConnectFailed))
    }

    /// Closes connections whose idle timeout has passed, once per `Limits::pool_sweep_interval`; never returns.
    pub async fn sweep_idle(&self) {
        loop {
            Timer::after(self.limits.pool_sweep_interval).await;
            for endpoint in self.endpoints.borrow_mut().values_mut() {
                endpoint.idle.retain(|idle| idle.since.elapsed() < self.limits.backend_idle_timeout);
            }
        }
    }
}
