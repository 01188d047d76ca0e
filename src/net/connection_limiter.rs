//! Limits the number of connections of one front: decides which new connections are served and which existing ones are
//! closed to make room.
//!
//! Each connection holds a [`ConnectionSlot`] while it is open. `eviction` selects the connections to close, which are
//! notified through their slots.

mod eviction;
mod slot;

pub use slot::{ConnectionSlot, SlotState};

use super::lifecycle::Lifecycle;
use crate::config::Limits;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use slot::Connections;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a new connection is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// The front serves its requests.
    Serve,
    /// The front only answers that there are too many connections, and closes it.
    Reject,
}

/// The open connections of one front.
pub struct ConnectionLimiter {
    limits: Rc<Limits>,
    lifecycle: Rc<Lifecycle>,
    next_id: Cell<u64>,
    /// Connections accepted with [`AcceptDecision::Serve`].
    active: RefCell<Connections>,
    /// Connections accepted with [`AcceptDecision::Reject`].
    rejected: RefCell<Connections>,
    /// Part of `Limits::message_budget_bytes` that the long messages of all clients have reserved.
    reserved_message_bytes: Cell<usize>,
    /// Number of connections whose commands are paced.
    paced_connections: Cell<usize>,
    /// Sends a message when a slot is released.
    released_sender: Sender<()>,
    released: Receiver<()>,
}

impl ConnectionLimiter {
    /// Creates a limiter without connections. While `lifecycle` is in the drained state, idle connections are closed.
    pub fn new(limits: Rc<Limits>, lifecycle: Rc<Lifecycle>) -> Rc<ConnectionLimiter> {
        let (released_sender, released) = async_channel::bounded(1);
        Rc::new(ConnectionLimiter {
            limits,
            lifecycle,
            next_id: Cell::new(0),
            active: RefCell::default(),
            rejected: RefCell::default(),
            reserved_message_bytes: Cell::new(0),
            paced_connections: Cell::new(0),
            released_sender,
            released,
        })
    }

    /// Number of connections that are served.
    pub fn active_connections(&self) -> usize {
        self.active.borrow().len()
    }

    /// Number of open connections, rejected ones included.
    pub fn open_connections(&self) -> usize {
        self.active_connections() + self.rejected.borrow().len()
    }

    /// Waits until no connection is open. Rejected connections count, since their clients must still receive the answer
    /// that there are too many connections.
    pub async fn wait_until_empty(&self) {
        while self.open_connections() > 0 {
            let _ = self.released.recv().await;
        }
    }

    /// Notifies all connections to close once no request is open. A client that has sent a part of a request may
    /// complete it.
    pub fn close_after_request(&self) {
        for connection in self.active.borrow().values() {
            connection.request_close();
        }
    }

    /// Evicts all connections whose request is incomplete, so that they close at once.
    pub fn evict_incomplete(&self) {
        for connection in self.active.borrow().values() {
            if connection.state() == SlotState::AwaitingRequest {
                connection.evict();
            }
        }
    }

    /// Closes idle connections every `Limits::idle_check_interval`; never returns.
    pub async fn sweep_idle(&self) {
        loop {
            Timer::after(self.limits.idle_check_interval).await;
            eviction::close_idle(&self.active.borrow(), &self.limits);
            if self.lifecycle.drained_for(self.limits.shutdown_accept_period) {
                eviction::close_drained(&self.active.borrow(), &self.limits);
            }
        }
    }

    /// Allocates a slot for a new connection; `None` if there is no descriptor left even to reject it.
    pub(super) fn admit(self: &Rc<ConnectionLimiter>) -> Option<ConnectionSlot> {
        let open = self.open_connections();
        let has_room = self.active_connections() < self.limits.client_connections
            || eviction::make_room(&self.active.borrow(), open, &self.limits);
        if has_room {
            return Some(ConnectionSlot::new(self, AcceptDecision::Serve));
        }
        // A new connection that replaces one that has not closed yet uses a descriptor from the share of the rejected
        // connections, so that the bound applies to the sum.
        if open >= self.limits.client_connections + self.limits.rejected_connections {
            if let Some(connection) = eviction::longest_closing(&self.rejected.borrow()) {
                connection.evict();
            }
            return None;
        }
        Some(ConnectionSlot::new(self, AcceptDecision::Reject))
    }

    /// The limits that the limiter enforces.
    pub(super) fn limits(&self) -> &Limits {
        &self.limits
    }

    fn connections(&self, decision: AcceptDecision) -> &RefCell<Connections> {
        match decision {
            AcceptDecision::Serve => &self.active,
            AcceptDecision::Reject => &self.rejected,
        }
    }
}

#[cfg(test)]
mod tests;
