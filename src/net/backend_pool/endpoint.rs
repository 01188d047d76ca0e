//! What the pool knows of one endpoint.

use super::connections::PooledConnection;
use crate::engine::endpoints::EndpointState;
use crate::net::latch::Latch;
use std::net::SocketAddr;
use std::time::Instant;

/// A connection that waits for its next request.
pub(super) struct IdleConnection<C> {
    pub(super) connection: PooledConnection<C>,
    pub(super) since: Instant,
}

/// One endpoint with its idle connections.
pub(super) struct PooledEndpoint<C> {
    pub(super) address: SocketAddr,
    /// Whether new requests may be sent to it.
    pub(super) open: bool,
    /// Set when nothing new may be sent; a new latch takes its place when the endpoint opens again.
    pub(super) closed: Latch,
    /// The least recently used one first.
    pub(super) idle: Vec<IdleConnection<C>>,
    /// It is new, or a connection to it failed, and it has not answered since.
    pub(super) needs_probe: bool,
    /// Increases with every change of this endpoint, and is unique in the pool. A connection of an earlier generation
    /// leads to an earlier process or address, and is not reused.
    pub(super) generation: u64,
}

impl<C> PooledEndpoint<C> {
    /// A new endpoint.
    pub(super) fn new(change: &EndpointState, generation: u64) -> PooledEndpoint<C> {
        let endpoint = PooledEndpoint {
            address: change.address,
            open: change.open,
            closed: Latch::default(),
            idle: Vec::new(),
            needs_probe: true,
            generation,
        };
        if !change.open {
            endpoint.closed.set();
        }
        endpoint
    }

    /// Takes in that the endpoint has restarted, moved, opened or closed.
    pub(super) fn update(&mut self, change: &EndpointState, generation: u64) {
        self.generation = generation;
        self.address = change.address;
        self.open = change.open;
        if !change.open {
            self.closed.set();
        } else if self.closed.is_set() {
            self.closed = Latch::default();
        }
        self.idle.clear();
    }

    /// Whether a connection of this generation may carry a new request.
    pub(super) fn accepts(&self, generation: u64) -> bool {
        self.open && self.generation == generation
    }
}
