//! The slot that a connection holds while it is open, and the limiter's record of the connection.

use super::{AcceptDecision, ConnectionLimiter};
use crate::net::latch::Latch;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The first request has not arrived completely, or a later one has arrived in part, or an error response to an
    /// incomplete request is being written.
    AwaitingRequest,
    /// No request is open, and the next one has not started.
    Idle,
    /// At least one request is open.
    Busy,
    /// The write side is shut down; input is read and discarded until the client closes.
    Closing,
}

/// Connections by slot ID.
pub(super) type Connections = BTreeMap<u64, Rc<ConnectionRecord>>;

/// The limiter's record of one connection, shared with its slot.
pub(super) struct ConnectionRecord {
    state: Cell<SlotState>,
    state_since: Cell<Instant>,
    requests_received: Cell<u32>,
    /// Once set, the connection must close as soon as no request is open.
    close: Latch,
    /// Once set, the connection must close at once, even if a request is incomplete.
    eviction: Latch,
}

impl ConnectionRecord {
    fn new() -> ConnectionRecord {
        ConnectionRecord {
            state: Cell::new(SlotState::AwaitingRequest),
            state_since: Cell::new(Instant::now()),
            requests_received: Cell::new(0),
            close: Latch::default(),
            eviction: Latch::default(),
        }
    }

    pub(super) fn state(&self) -> SlotState {
        self.state.get()
    }

    pub(super) fn state_since(&self) -> Instant {
        self.state_since.get()
    }

    pub(super) fn time_in_state(&self) -> Duration {
        self.state_since.get().elapsed()
    }

    pub(super) fn requests_received(&self) -> u32 {
        self.requests_received.get()
    }

    pub(super) fn request_close(&self) {
        self.close.set();
    }

    pub(super) fn must_close(&self) -> bool {
        self.close.is_set()
    }

    pub(super) fn evict(&self) {
        self.close.set();
        self.eviction.set();
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.eviction.is_set()
    }
}

/// A connection's slot. Dropping it releases the slot and the reserved message bytes.
pub struct ConnectionSlot {
    limiter: Rc<ConnectionLimiter>,
    id: u64,
    connection: Rc<ConnectionRecord>,
    decision: AcceptDecision,
    /// Part of `Limits::message_budget_bytes` that this connection has reserved.
    reserved_message_bytes: usize,
    /// Whether this connection counts as one of the limiter's paced connections.
    is_paced: bool,
}

impl ConnectionSlot {
    /// Registers a new connection.
    pub(super) fn new(limiter: &Rc<ConnectionLimiter>, decision: AcceptDecision) -> ConnectionSlot {
        let id = limiter.next_id.get();
        limiter.next_id.set(id + 1);
        let connection = Rc::new(ConnectionRecord::new());
        limiter.connections(decision).borrow_mut().insert(id, connection.clone());
        ConnectionSlot {
            limiter: limiter.clone(),
            id,
            connection,
            decision,
            reserved_message_bytes: 0,
            is_paced: false,
        }
    }

    /// How the connection is handled, as decided when it was accepted.
    pub fn decision(&self) -> AcceptDecision {
        self.decision
    }

    /// Sets the state of the connection and the time at which it was entered.
    pub fn set_state(&self, state: SlotState, since: Instant) {
        self.connection.state.set(state);
        self.connection.state_since.set(since);
    }

    /// Records that a complete request has arrived, which makes the connection busy.
    pub fn request_received(&self) {
        let count = self.connection.requests_received.get();
        self.connection.requests_received.set(count.saturating_add(1));
        self.set_state(SlotState::Busy, Instant::now());
    }

    /// Whether any complete request has arrived on the connection.
    pub fn has_received_request(&self) -> bool {
        self.connection.requests_received.get() > 0
    }

    /// Reserves `bytes` for a buffered message, replacing the connection's earlier reservation. Returns false without
    /// any change if they do not fit into `Limits::message_budget_bytes`. Messages of up to
    /// `Limits::unreserved_message_bytes` bytes reserve nothing.
    pub fn try_reserve_message_bytes(&mut self, bytes: usize) -> bool {
        let limits = &self.limiter.limits;
        let budgeted = if bytes > limits.unreserved_message_bytes { bytes } else { 0 };
        let reserved_by_others = self.limiter.reserved_message_bytes.get() - self.reserved_message_bytes;
        if budgeted > 0 && reserved_by_others + budgeted > limits.message_budget_bytes {
            return false;
        }
        self.limiter.reserved_message_bytes.set(reserved_by_others + budgeted);
        self.reserved_message_bytes = budgeted;
        true
    }

    /// Releases the message bytes that the connection has reserved.
    pub fn release_message_bytes(&mut self) {
        self.try_reserve_message_bytes(0);
    }

    /// Whether the connection's commands are paced, as last set by [`ConnectionSlot::set_paced`].
    pub fn is_paced(&self) -> bool {
        self.is_paced
    }

    /// Records whether the connection's commands are paced.
    pub fn set_paced(&mut self, is_paced: bool) {
        let others = self.paced_connections() - usize::from(self.is_paced);
        self.limiter.paced_connections.set(others + usize::from(is_paced));
        self.is_paced = is_paced;
    }

    /// Number of connections whose commands are paced.
    pub fn paced_connections(&self) -> usize {
        self.limiter.paced_connections.get()
    }

    /// Whether the connection must close as soon as no request is open.
    pub fn must_close(&self) -> bool {
        self.connection.must_close()
    }

    /// Completes once the connection must close as soon as no request is open.
    pub async fn close_requested(&self) {
        self.connection.close.wait().await;
    }

    /// Completes once the connection must close at once.
    pub async fn evicted(&self) {
        self.connection.eviction.wait().await;
    }

    /// Whether the connection must close at once.
    #[cfg(test)]
    pub(super) fn is_evicted(&self) -> bool {
        self.connection.is_evicted()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.release_message_bytes();
        self.set_paced(false);
        self.limiter.connections(self.decision).borrow_mut().remove(&self.id);
        // If the channel is full, the message in it already wakes the waiting task.
        let _ = self.limiter.released_sender.try_send(());
    }
}
