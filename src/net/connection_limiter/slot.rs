//! The slot that a connection holds while it is open, and what the limiter knows of it.

use super::{AcceptDecision, ConnectionLimiter};
use crate::net::latch::Latch;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// No complete request has come yet, or a part of the next one, or the client is being told why it came to nothing.
    AwaitingRequest,
    /// Between two requests.
    Idle,
    /// A request is open.
    Busy,
    /// Nothing more is written; input is read and dropped until the client closes.
    Closing,
}

/// Connections by the number of their slot.
pub(super) type Connections = BTreeMap<u64, Rc<TrackedConnection>>;

/// What the limiter knows of one connection, shared with its slot.
pub(super) struct TrackedConnection {
    state: Cell<SlotState>,
    state_since: Cell<Instant>,
    requests_received: Cell<u32>,
    /// Set: the connection has to close once no request is open.
    close: Latch,
    /// Set: its descriptor is needed at once, and a partial request is dropped.
    eviction: Latch,
}

impl TrackedConnection {
    fn new() -> TrackedConnection {
        TrackedConnection {
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

/// A connection's slot; released when dropped, with the message bytes that it has reserved.
pub struct ConnectionSlot {
    limiter: Rc<ConnectionLimiter>,
    id: u64,
    connection: Rc<TrackedConnection>,
    decision: AcceptDecision,
    /// Bytes of `Limits::message_budget_bytes` that this connection has reserved.
    reserved_message_bytes: usize,
}

impl ConnectionSlot {
    /// Registers a new connection.
    pub(super) fn new(limiter: &Rc<ConnectionLimiter>, decision: AcceptDecision) -> ConnectionSlot {
        let id = limiter.next_id.get();
        limiter.next_id.set(id + 1);
        let connection = Rc::new(TrackedConnection::new());
        limiter.connections(decision).borrow_mut().insert(id, connection.clone());
        ConnectionSlot { limiter: limiter.clone(), id, connection, decision, reserved_message_bytes: 0 }
    }

    /// What happens to the connection.
    pub fn decision(&self) -> AcceptDecision {
        self.decision
    }

    /// Records what the connection is doing, and since when.
    pub fn set_state(&self, state: SlotState, since: Instant) {
        self.connection.state.set(state);
        self.connection.state_since.set(since);
    }

    /// Records that a complete request has come: the connection is busy.
    pub fn request_received(&self) {
        let count = self.connection.requests_received.get();
        self.connection.requests_received.set(count.saturating_add(1));
        self.set_state(SlotState::Busy, Instant::now());
    }

    /// Whether a complete request has come.
    pub fn has_received_request(&self) -> bool {
        self.connection.requests_received.get() > 0
    }

    /// Reserves the bytes of the message that the connection has buffered, in place of those it had reserved before.
    /// False, and no change, where `Limits::message_budget_bytes` has no room for them. Messages of up to
    /// `Limits::unreserved_message_bytes` bytes reserve nothing.
    pub fn try_reserve_message_bytes(&mut self, bytes: usize) -> bool {
        let limits = &self.limiter.limits;
        let wanted = if bytes > limits.unreserved_message_bytes { bytes } else { 0 };
        let of_others = self.limiter.reserved_message_bytes.get() - self.reserved_message_bytes;
        if wanted > 0 && of_others + wanted > limits.message_budget_bytes {
            return false;
        }
        self.limiter.reserved_message_bytes.set(of_others + wanted);
        self.reserved_message_bytes = wanted;
        true
    }

    /// Gives back the bytes that the connection has reserved.
    pub fn release_message_bytes(&mut self) {
        self.try_reserve_message_bytes(0);
    }

    /// Whether the connection has to close once no request is open.
    pub fn must_close(&self) -> bool {
        self.connection.must_close()
    }

    /// Completes when the connection has to close once no request is open.
    pub async fn close_requested(&self) {
        self.connection.close.wait().await;
    }

    /// Completes when the connection's descriptor is needed at once.
    pub async fn evicted(&self) {
        self.connection.eviction.wait().await;
    }

    /// Whether the connection's descriptor is needed at once.
    #[cfg(test)]
    pub(super) fn is_evicted(&self) -> bool {
        self.connection.is_evicted()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.release_message_bytes();
        self.limiter.connections(self.decision).borrow_mut().remove(&self.id);
        // The channel holds one message: a full one wakes the waiting task just as well.
        let _ = self.limiter.released_sender.try_send(());
    }
}
