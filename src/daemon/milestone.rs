//! One-way events of the startup that several tasks wait for, such as "the first endpoint list has arrived".
//!
//! A milestone is a channel that carries nothing: closing it marks the milestone as reached.

use async_channel::{Receiver, Sender};

/// The side that reaches the milestone.
#[derive(Clone, Debug)]
pub struct Milestone(Sender<()>);

impl Milestone {
    /// A milestone, and what is handed to those who wait for it.
    pub fn new() -> (Milestone, Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        (Milestone(sender), receiver)
    }

    /// Marks the milestone as reached; repeated calls change nothing.
    pub fn reach(&self) {
        self.0.close();
    }

    /// Whether it was reached.
    pub fn is_reached(&self) -> bool {
        self.0.is_closed()
    }
}

/// Completes once the milestone is reached.
pub async fn reached(milestone: &Receiver<()>) {
    while milestone.recv().await.is_ok() {}
}
