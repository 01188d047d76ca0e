//! A semaphore over the cores of the machine. Clusters of tests that run concurrently in one process must not compete
//! for CPU time: clients would wait and endpoints would seem silent although the program has no fault.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;

/// Number of permits in use.
static IN_USE: Mutex<usize> = Mutex::new(0);
/// Notified when permits are released.
static PERMITS_RELEASED: Condvar = Condvar::new();

/// The number of cores that is assumed if the system does not report it.
const DEFAULT_CORES: usize = 4;

/// The permits for the nodes of one cluster, one core each, released on drop.
pub(super) struct ProcessPermit {
    nodes: usize,
}

impl ProcessPermit {
    /// Waits for one permit per node; a cluster with more nodes than cores takes all permits.
    pub(super) fn acquire(nodes: usize) -> ProcessPermit {
        let cores = thread::available_parallelism().map_or(DEFAULT_CORES, usize::from);
        let nodes = nodes.min(cores);
        let mut in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
        while *in_use + nodes > cores {
            in_use = PERMITS_RELEASED.wait(in_use).unwrap_or_else(PoisonError::into_inner);
        }
        *in_use += nodes;
        ProcessPermit { nodes }
    }
}

impl Drop for ProcessPermit {
    fn drop(&mut self) {
        *IN_USE.lock().unwrap_or_else(PoisonError::into_inner) -= self.nodes;
        PERMITS_RELEASED.notify_all();
    }
}
