//! Wakes the tasks that wait for a change of what the fleet knows.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// The tasks that wait for changes.
#[derive(Default)]
pub(super) struct ChangeNotifier {
    watchers: RefCell<Vec<Sender<()>>>,
}

impl ChangeNotifier {
    /// Receives a message after every change from now on. Changes that come before one is received count once.
    pub(super) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.watchers.borrow_mut().push(sender);
        receiver
    }

    /// Wakes all watchers. A full channel wakes its receiver already; one without a receiver is forgotten.
    pub(super) fn notify(&self) {
        self.watchers.borrow_mut().retain(|watcher| watcher.try_send(()).is_ok() || !watcher.is_closed());
    }
}
