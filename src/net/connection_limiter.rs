//! Bounds the connections of one front: which new ones are served, and which ones are closed to make room.
//!
//! A connection holds a [`ConnectionSlot`] for as long as it is open. `eviction` decides which connection has to close;
//! the slot tells its connection.

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

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Its requests are served.
    Serve,
    /// It is only told that there are too many connections.
    Reject,
}

/// The open connections of one front.
pub struct ConnectionLimiter {
    limits: Rc<Limits>,
    lifecycle: Rc<Lifecycle>,
    next_id: Cell<u64>,
    /// Connections that are served.
    active: RefCell<Connections>,
    /// Connections that are told that there are too many.
    rejected: RefCell<Connections>,
    /// Bytes that long messages of all clients have reserved of `Limits::message_budget_bytes`.
    reserved_message_bytes: Cell<usize>,
    /// Carries a message once a slot was released.
    released_sender: Sender<()>,
    released: Receiver<()>,
}

impl ConnectionLimiter {
    /// A limiter without connections. While `lifecycle` says that the process is drained, idle connections are closed.
    pub fn new(limits: Rc<Limits>, lifecycle: Rc<Lifecycle>) -> Rc<ConnectionLimiter> {
        let (released_sender, released) = async_channel::bounded(1);
        Rc::new(ConnectionLimiter {
            limits,
            lifecycle,
            next_id: Cell::new(0),
            active: RefCell::default(),
            rejected: RefCell::default(),
            reserved_message_bytes: Cell::new(0),
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

    /// Waits until no connection is open. Rejected ones count: each is owed the answer that there are too many.
    pub async fn wait_until_empty(&self) {
        while self.open_connections() > 0 {
            let _ = self.released.recv().await;
        }
    }

    /// Asks every connection to close once no request is open. One that has sent a part of a request may complete it.
    pub fn close_after_request(&self) {
        for connection in self.active.borrow().values() {
            connection.request_close();
        }
    }

    /// Evicts every connection whose request is not complete, so that it closes at once.
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

    /// Takes a slot for a new connection; `None` where there is no room even to reject it.
    pub(super) fn admit(self: &Rc<ConnectionLimiter>) -> Option<ConnectionSlot> {
        let open = self.open_connections();
        let has_room = self.active_connections() < self.limits.client_connections
            || eviction::make_room(&self.active.borrow(), open, &self.limits);
        if has_room {
            return Some(ConnectionSlot::new(self, AcceptDecision::Serve));
        }
        // A connection that was served in place of one that has not closed yet uses a share of the rejected ones'.
        if open >= self.limits.client_connections + self.limits.rejected_connections {
            if let Some(connection) = eviction::longest_closing(&self.rejected.borrow()) {
                connection.evict();
            }
            return None;
        }
        Some(ConnectionSlot::new(self, AcceptDecision::Reject))
    }

    /// The limits of the connections.
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
