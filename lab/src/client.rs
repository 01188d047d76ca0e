//! Clients with an open-loop load: each request is sent when it is due, whatever became of those before it, so that a
//! slow cluster does not slow the load down.

mod request;
mod session;

use crate::{LogPosition, Timestamp};
use session::Session;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long a client waits for a request, all its attempts together.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt of a request and its response.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The request's id; attempts of one request share it.
    pub request_id: u64,
    /// The index of the node that the attempt was sent to.
    pub node: usize,
    /// When the request was due; its first attempt is never sent earlier.
    pub due_at: Timestamp,
    /// When the attempt was sent.
    pub sent_at: Timestamp,
    /// When its response had been read, or its connection had failed.
    pub finished_at: Timestamp,
    /// The status of the response; [`crate::http::NO_RESPONSE`]: none came on the connection.
    pub status: u16,
    /// The request is a write.
    pub is_write: bool,
    /// The group that the request is for.
    pub group: u32,
    /// The position that the data of the response had to contain; `None` for writes.
    pub required_position: Option<LogPosition>,
    /// The required position is that of the last write of the client's own session.
    pub reads_own_write: bool,
    /// Attempts of the request before this one.
    pub earlier_attempts: u32,
    /// The `Retry-After` of a rejection.
    pub retry_after: Option<Duration>,
    /// The position of the data in the response.
    pub observed_position: Option<LogPosition>,
}

impl RequestRecord {
    /// Whether the response was a success.
    pub fn is_served(&self) -> bool {
        self.status == 200
    }

    /// From the sending of the attempt to its end.
    pub fn latency(&self) -> Duration {
        self.finished_at.duration_since(self.sent_at)
    }
}

/// What clients send.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Requests per second of all clients together.
    pub requests_per_second: f64,
    /// Count of clients; each has a session of its own, and a connection for each request in flight.
    pub clients: usize,
    /// The requests are for the groups 1 to this one.
    pub groups: u32,
    /// Writes, of ten requests. Half of the reads of a group that the session has written to read its own write.
    pub writes_of_ten: u8,
    /// How old the data of the other reads may be.
    pub max_staleness: Duration,
    /// Seed of the clients' random choices.
    pub seed: u64,
    /// Rejected requests are sent again after the rejection's `Retry-After` while [`REQUEST_TIMEOUT`] lasts.
    pub retries_rejections: bool,
}

impl Default for LoadProfile {
    fn default() -> LoadProfile {
        LoadProfile {
            requests_per_second: 200.0,
            clients: 10,
            groups: 2,
            writes_of_ten: 3,
            max_staleness: Duration::from_millis(800),
            seed: 1,
            retries_rejections: false,
        }
    }
}

/// The records of all clients of a load.
type Records = Arc<Mutex<Vec<RequestRecord>>>;

/// A load that runs.
pub struct Load {
    stop: Arc<AtomicBool>,
    records: Records,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients; the client with index `n` sends to address `n` of these, in turn.
    pub fn start(addresses: &[SocketAddr], profile: LoadProfile) -> Load {
        let mut load = Load { stop: Arc::default(), records: Arc::default(), clients: Vec::new() };
        for index in 0..profile.clients {
            let node = index % addresses.len();
            let session =
                Session::new(index, node, addresses[node], profile, load.stop.clone(), load.records.clone());
            load.clients.push(thread::spawn(move || session.run()));
        }
        load
    }

    /// Stops the load, waits for the responses in flight and returns all attempts by the time of their sending.
    ///
    /// # Panics
    ///
    /// When a client has panicked.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client");
        }
        let mut records = std::mem::take(&mut *self.records.lock().expect("lock of the records"));
        records.sort_by_key(|record| record.sent_at);
        records
    }

    /// Requests that were served within a window.
    pub fn served_within(&self, window: Range<Timestamp>) -> usize {
        let records = self.records();
        records.iter().filter(|record| record.is_served() && window.contains(&record.finished_at)).count()
    }

    /// Whether an attempt that has finished matches.
    pub fn any(&self, matches: impl Fn(&RequestRecord) -> bool) -> bool {
        self.records().iter().any(matches)
    }

    /// Attempts that have finished.
    pub fn finished_count(&self) -> usize {
        self.records().len()
    }

    fn records(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        self.records.lock().expect("lock of the records")
    }
}
