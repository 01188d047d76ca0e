//! A one-shot event for tasks: once set, it stays set.

use async_channel::{Receiver, Sender};

/// A one-shot event. Clones share its state.
///
/// Implemented as a channel that carries no messages: closing it sets the latch and wakes all waiting tasks.
#[derive(Clone, Debug)]
pub struct Latch {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Latch {
        let (sender, receiver) = async_channel::bounded(1);
        Latch { sender, receiver }
    }
}

impl Latch {
    /// Sets the latch. Repeated calls have no effect.
    pub fn set(&self) {
        self.sender.close();
    }

    /// Whether the latch is set.
    pub fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    /// Completes once the latch is set, or immediately if it is.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }
}
