//! Computes what a pooler with full knowledge of all endpoints would have served, the upper limit against which
//! recovery is measured.

use crate::check::requests_due;
use crate::client::RequestRecord;
use crate::endpoint::warm_up_share;
use crate::{Timestamp, time};
use std::ops::Range;
use std::time::Duration;

/// The time step of the simulation.
const STEP: Duration = Duration::from_millis(20);

/// The capacity of each group.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// Number of replicas, in addition to the primary.
    pub replicas: usize,
    /// Number of operations that a warm endpoint runs at once.
    pub slots: usize,
    /// How long an operation runs.
    pub service_time: Duration,
    /// When the endpoints started cold; `None` if they are warm.
    pub cold_since: Option<Timestamp>,
}

impl CapacityModel {
    /// Operations per second that one endpoint can execute at the given time.
    pub fn operations_per_second(&self, time: Timestamp) -> f64 {
        let share = self.cold_since.map_or(1.0, |start| warm_up_share(time.duration_since(start)));
        ((self.slots as f64 * share) as usize).max(1) as f64 / self.service_time.as_secs_f64()
    }
}

/// The value of serving a request: the priority weight (`worth`) of its service class in
/// [`crate::cluster::SERVICE_SETTINGS`].
pub fn request_value(record: &RequestRecord) -> f64 {
    match (record.is_write, record.reads_own_write) {
        (true, _) => 6.0,
        (false, false) => 3.0,
        (false, true) => 1.0,
    }
}

/// The total value served in one step of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedValue {
    /// The start of the step.
    pub at: Timestamp,
    /// The sum of the values of the requests served in the step.
    pub value: f64,
}

/// A request that waits to be served.
struct QueuedRequest {
    expires_at: Timestamp,
    value: f64,
}

/// The waiting requests of one group, either for its primary or for its replicas.
#[derive(Default)]
struct Queue {
    waiting: Vec<QueuedRequest>,
    /// Operations left over from earlier steps, including the fraction of one.
    spare_operations: f64,
}

impl Queue {
    /// Serves the most valuable requests with the operations of one step and returns their total value.
    fn serve(&mut self, now: Timestamp, operations: f64) -> f64 {
        self.waiting.retain(|request| request.expires_at > now);
        self.waiting.sort_by(|a, b| b.value.total_cmp(&a.value).then(a.expires_at.cmp(&b.expires_at)));
        self.spare_operations += operations;
        let count = (self.spare_operations as usize).min(self.waiting.len());
        let served = self.waiting.drain(..count).map(|request| request.value).sum();
        // Idle endpoints cannot save capacity for later.
        self.spare_operations = if self.waiting.is_empty() {
            self.spare_operations.fract()
        } else {
            self.spare_operations - count as f64
        };
        served
    }
}

/// The queues of one group: writes are for its primary, reads for its replicas.
#[derive(Default)]
struct GroupQueues {
    writes: Queue,
    reads: Queue,
}

/// The maximum value that can be served in each step of a window. Only requests due in the window count; each waits for
/// at most `timeout`, and the most valuable ones are served first. Writes are served by the primary of a group, reads
/// by its replicas.
pub fn best_served_value(
    records: &[RequestRecord],
    groups: u32,
    model: CapacityModel,
    window: Range<Timestamp>,
    timeout: Duration,
) -> Vec<ServedValue> {
    let mut due: Vec<&RequestRecord> = requests_due(records, window.clone()).collect();
    due.sort_by_key(|record| record.due_at);
    let mut due = due.into_iter().peekable();
    let mut queues: Vec<GroupQueues> = (0..=groups).map(|_| GroupQueues::default()).collect();
    let mut served = Vec::new();
    for at in time::steps(window, STEP) {
        while let Some(record) = due.next_if(|record| record.due_at < at + STEP) {
            let queues = &mut queues[record.group as usize];
            let queue = if record.is_write { &mut queues.writes } else { &mut queues.reads };
            let expires_at = record.due_at + timeout;
            queue.waiting.push(QueuedRequest { expires_at, value: request_value(record) });
        }
        let endpoint_rate = model.operations_per_second(at);
        let mut value = 0.0;
        for group in &mut queues {
            value += group.writes.serve(at, operations_in_step(endpoint_rate, 1));
            value += group.reads.serve(at, operations_in_step(endpoint_rate, model.replicas));
        }
        served.push(ServedValue { at, value });
    }
    served
}

fn operations_in_step(per_second: f64, endpoints: usize) -> f64 {
    per_second * endpoints as f64 * STEP.as_micros() as f64 / 1e6
}

#[cfg(test)]
mod tests;
