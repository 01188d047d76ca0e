//! Whether the process serves: one state for the operators' calls and for SIGTERM.

use std::cell::Cell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Whether the process serves clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It serves.
    Serving,
    /// Clients are sent to other poolers until an operator activates this one.
    Drained,
    /// It shuts down. This state is final.
    Terminating,
}

/// The process shuts down and cannot serve again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the pooler is ending")]
pub struct TerminatingError;

/// The serving state of the process, and since when.
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
    /// The current state.
    pub fn state(&self) -> ServingState {
        self.state.get()
    }

    /// Drains the process. A repeated call changes nothing; one that shuts down sends its clients away already.
    pub fn drain(&self) {
        self.change_to(ServingState::Drained);
    }

    /// Lets the process serve again. A repeated call changes nothing.
    ///
    /// # Errors
    /// [`TerminatingError`] once the shutdown has begun.
    pub fn activate(&self) -> Result<(), TerminatingError> {
        self.change_to(ServingState::Serving);
        match self.state() {
            ServingState::Terminating => Err(TerminatingError),
            ServingState::Serving | ServingState::Drained => Ok(()),
        }
    }

    /// Begins the shutdown.
    pub fn terminate(&self) {
        self.change_to(ServingState::Terminating);
    }

    /// Whether the process has been drained for `time` or longer.
    pub fn drained_for(&self, time: Duration) -> bool {
        self.state() == ServingState::Drained && self.since.get().elapsed() >= time
    }

    /// Changes the state, unless it is the same or final.
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
