//! Checks of recorded histories. Each check returns the first violation that it finds. Its own tests feed it histories
//! that violate its property.

mod arrivals;
mod error;
mod replication;
mod requests;

pub use arrivals::{
    ColdStartBound, DrainPeriod, cold_endpoint_not_overloaded, no_arrivals_while_drained,
    no_overlapping_attempts,
};
pub use error::{CheckError, EarlierConnection};
pub use replication::{NodeLog, same_committed_sequence};
pub use requests::{
    Downtime, every_request_answered, no_stale_reads, requests_due, sessions_told_of_lost_writes,
    unserved_requests,
};

use std::time::Duration;

/// Tolerance for comparing timestamps that different threads took: a thread may run this long after it was woken.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(30);

#[cfg(test)]
mod tests;
