//! A lab's share of the machine.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;

/// A lab's share of the machine: labs that run beside one another must not take one another's time, or clients wait
/// and hosts look silent for no fault of the program.
pub(super) struct ProcessPermit(usize);

static TAKEN: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

impl ProcessPermit {
    /// Waits until there is room for so many daemons.
    pub(super) fn take(daemons: usize) -> ProcessPermit {
        let most = thread::available_parallelism().map_or(4, usize::from);
        let daemons = daemons.min(most);
        let mut taken = TAKEN.0.lock().unwrap_or_else(PoisonError::into_inner);
        while *taken + daemons > most {
            taken = TAKEN.1.wait(taken).unwrap_or_else(PoisonError::into_inner);
        }
        *taken += daemons;
        ProcessPermit(daemons)
    }
}

impl Drop for ProcessPermit {
    fn drop(&mut self) {
        *TAKEN.0.lock().unwrap_or_else(PoisonError::into_inner) -= self.0;
        TAKEN.1.notify_all();
    }
}
