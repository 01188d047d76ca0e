//! Wakes tasks that wait for a change of the fleet's state.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// The subscriptions of tasks that wait for changes.
#[derive(Default)]
pub(super) struct ChangeNotifier {
    subscribers: RefCell<Vec<Sender<()>>>,
}

impl ChangeNotifier {
    /// Returns a channel that receives a message after each later change. Changes that occur before the receiver reads
    /// the message are merged into one.
    pub(super) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Wakes all subscribers. A full channel already has a wake-up pending; a closed one is removed.
    pub(super) fn notify(&self) {
        self.subscribers.borrow_mut().retain(|sender| sender.try_send(()).is_ok() || !sender.is_closed());
    }
}
