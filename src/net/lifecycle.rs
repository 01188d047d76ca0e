//! Serving state of the process, changed by operators' calls and by SIGTERM.

use std::cell::Cell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Whether and how the process serves clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Requests are served; the initial state.
    Serving,
    /// The fronts' readiness checks direct clients to other poolers until an operator activates this one.
    Drained,
    /// The process is shutting down. This state is final.
    Terminating,
}

/// The process is shutting down and cannot be activated again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the pooler is ending")]
pub struct TerminatingError;

/// The serving state of the process and the time of its last change.
#[derive(Debug)]
pub struct Lifecycle {
    state: Cell<ServingState>,
    since: Cell<Instant>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { state: Cell::new(ServingState::Serving), since: Cell::new(Instant::now()) }
    }
}

impl Lifecycle {
    /// Whether and how the process serves clients now.
    pub fn state(&self) -> ServingState {
        self.state.get()
    }

    /// Drains the process. Has no effect if it is drained already, or if it is shutting down and rejects clients
    /// anyway.
    pub fn drain(&self) {
        self.change_to(ServingState::Drained);
    }

    /// Lets the process serve again. Has no effect if it is serving already.
    ///
    /// # Errors
    /// [`TerminatingError`] if the process is shutting down.
    pub fn activate(&self) -> Result<(), TerminatingError> {
        self.change_to(ServingState::Serving);
        match self.state() {
            ServingState::Terminating => Err(TerminatingError),
            ServingState::Serving | ServingState::Drained => Ok(()),
        }
    }

    /// Begins the shutdown, which cannot be reverted.
    pub fn terminate(&self) {
        self.change_to(ServingState::Terminating);
    }

    /// Whether the process has been drained for `time` or longer.
    pub fn drained_for(&self, time: Duration) -> bool {
        self.state() == ServingState::Drained && self.since.get().elapsed() >= time
    }

    /// Changes the state, unless the current one is the same or final.
    fn change_to(&self, next: ServingState) {
        let current = self.state();
        if current != next && current != ServingState::Terminating {
            log::info!("lifecycle: {current:?} -> {next:?}");
            self.state.set(next);
            self.since.set(Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
