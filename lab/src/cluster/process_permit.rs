//! A semaphore over the cores of the machine: clusters of tests that run side by side in one process must not take one
//! another's CPU time, or clients wait and endpoints seem silent for no fault of the program.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;

/// Permits that are in use.
static IN_USE: Mutex<usize> = Mutex::new(0);
/// Notified when permits are given back.
static RELEASED: Condvar = Condvar::new();

/// The cores that are assumed where the machine does not tell.
const DEFAULT_CORES: usize = 4;

/// Permits for the nodes of one cluster, a core each. They are given back when it is dropped.
pub(super) struct ProcessPermit {
    nodes: usize,
}

impl ProcessPermit {
    /// Waits until there are permits for this many nodes; a cluster larger than the machine takes all.
    pub(super) fn acquire(nodes: usize) -> ProcessPermit {
        let cores = thread::available_parallelism().map_or(DEFAULT_CORES, usize::from);
        let nodes = nodes.min(cores);
        let mut in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
        while *in_use + nodes > cores {
            in_use = RELEASED.wait(in_use).unwrap_or_else(PoisonError::into_inner);
        }
        *in_use += nodes;
        ProcessPermit { nodes }
    }
}

impl Drop for ProcessPermit {
    fn drop(&mut self) {
        *IN_USE.lock().unwrap_or_else(PoisonError::into_inner) -= self.nodes;
        RELEASED.notify_all();
    }
}
