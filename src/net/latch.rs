//! A one-way event between tasks of one thread: it is set once and stays set.

use async_channel::{Receiver, Sender};

/// A one-way event. Clones share it.
///
/// It is a channel that carries nothing: closing the channel sets the latch and wakes every waiting task.
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
    /// Sets it; repeated calls change nothing.
    pub fn set(&self) {
        self.sender.close();
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    /// Completes once it is set.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }
}
