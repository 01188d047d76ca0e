//! The pool's state of one endpoint.

use super::connections::PooledConnection;
use crate::engine::endpoints::EndpointState;
use crate::net::latch::Latch;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an endpoint's last report stands for its state when a new connection to it is opened: it cannot have
/// restarted and lost data in less time.
const REPORT_VALIDITY: Duration = Duration::from_millis(200);

/// An idle connection, and since when it is idle.
pub(super) struct IdleConnection<C> {
    pub(super) connection: PooledConnection<C>,
    pub(super) since: Instant,
}

/// An endpoint with its idle connections.
pub(super) struct PooledEndpoint<C> {
    pub(super) address: SocketAddr,
    /// Whether new requests may be sent to the endpoint.
    pub(super) open: bool,
    /// Set while new requests must not be sent; replaced by a new latch when `open` becomes true again.
    pub(super) closed: Latch,
    /// Ordered by last use, the least recently used one first.
    pub(super) idle: Vec<IdleConnection<C>>,
    /// Whether the endpoint must be probed before its next request, if the protocol requires probes: it is new, has
    /// another address, or a connection to it failed or ended, and no probe has followed.
    pub(super) needs_probe: bool,
    /// When the endpoint last reported its state, here or to a peer; `None` if it never did.
    last_report_at: Option<Instant>,
    /// Increases with every change of this endpoint, and is unique in the pool. A connection of an earlier generation
    /// is not reused, because it may lead to an earlier process or address.
    pub(super) generation: u64,
}

impl<C> PooledEndpoint<C> {
    /// An endpoint that was added to the list, without connections.
    pub(super) fn new(state: &EndpointState, generation: u64) -> PooledEndpoint<C> {
        let endpoint = PooledEndpoint {
            address: state.address,
            open: state.open,
            closed: Latch::default(),
            idle: Vec::new(),
            needs_probe: true,
            last_report_at: None,
            generation,
        };
        if !state.open {
            endpoint.closed.set();
        }
        endpoint
    }

    /// Applies a restart, a new address or a new value of `open`, and closes the idle connections.
    pub(super) fn update(&mut self, state: &EndpointState, generation: u64) {
        self.generation = generation;
        self.needs_probe |= self.address != state.address;
        self.address = state.address;
        self.open = state.open;
        if !state.open {
            self.closed.set();
        } else if self.closed.is_set() {
            self.closed = Latch::default();
        }
        self.idle.clear();
    }

    /// Records that the endpoint has just reported its state, here or to a peer.
    pub(super) fn reported(&mut self) {
        self.last_report_at = Some(Instant::now());
    }

    /// Whether the endpoint reported its state so recently that it cannot have restarted since.
    pub(super) fn has_just_reported(&self) -> bool {
        self.last_report_at.is_some_and(|at| at.elapsed() < REPORT_VALIDITY)
    }

    /// Whether a new request may be sent on a connection of this generation.
    pub(super) fn accepts(&self, generation: u64) -> bool {
        self.open && self.generation == generation
    }
}
