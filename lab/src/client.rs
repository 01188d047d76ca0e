//! Clients that send an open-loop load: each request is sent when it is due, whether or not earlier ones have been
//! answered, so that a slow cluster does not reduce the load.

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

/// How long a client spends on a request, all its attempts together, from when it was due.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt of a request, with its response.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The request's id, which all its attempts share.
    pub request_id: u64,
    /// The index of the node that the attempt was sent to.
    pub node: usize,
    /// When the request was due; its first attempt is never sent earlier.
    pub due_at: Timestamp,
    /// When the attempt was sent.
    pub sent_at: Timestamp,
    /// When the response had been read or the connection had failed.
    pub finished_at: Timestamp,
    /// The status of the response; [`crate::http::NO_RESPONSE`] if the connection failed.
    pub status: u16,
    /// Whether the request is a write.
    pub is_write: bool,
    /// The group that the request is for.
    pub group: u32,
    /// The position that the data of the response had to contain; `None` for writes.
    pub required_position: Option<LogPosition>,
    /// Whether the required position is that of the last write of the client's own session.
    pub reads_own_write: bool,
    /// Number of attempts of the request before this one.
    pub earlier_attempts: u32,
    /// The delay before a retry that a rejection states in `Brookpass-Retry-After-Ms`.
    pub retry_after: Option<Duration>,
    /// The position of the data in the response; `None` if the request was not served.
    pub observed_position: Option<LogPosition>,
}

impl RequestRecord {
    /// Whether the attempt was answered with status 200.
    pub fn is_served(&self) -> bool {
        self.status == 200
    }

    /// The time from when the attempt was sent until it finished.
    pub fn latency(&self) -> Duration {
        self.finished_at.duration_since(self.sent_at)
    }
}

/// The load that clients send.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Requests per second of all clients together.
    pub requests_per_second: f64,
    /// Number of clients; each has its own session, and a connection for each request in flight.
    pub clients: usize,
    /// The requests are spread over the groups from 1 to this number.
    pub groups: u32,
    /// The share of writes, in tenths. Half of the reads of a group that the session has written to read its own write.
    pub writes_per_ten: u8,
    /// The maximum staleness of the other reads.
    pub max_staleness: Duration,
    /// Seed of the clients' random choices.
    pub seed: u64,
    /// Whether rejected requests are retried after the delay that the rejection states, and failed reads after a pause,
    /// within [`REQUEST_TIMEOUT`].
    pub retries_rejections: bool,
}

impl Default for LoadProfile {
    fn default() -> LoadProfile {
        LoadProfile {
            requests_per_second: 200.0,
            clients: 10,
            groups: 2,
            writes_per_ten: 3,
            max_staleness: Duration::from_millis(800),
            seed: 1,
            retries_rejections: false,
        }
    }
}

/// The records of all clients of a load.
type Records = Arc<Mutex<Vec<RequestRecord>>>;

/// A running load. The clients stop only at [`Load::finish`].
pub struct Load {
    stop: Arc<AtomicBool>,
    records: Records,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients, which are assigned to the addresses in round-robin order.
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

    /// Stops the load, waits for the requests in flight and returns all attempts in the order in which they were sent.
    ///
    /// # Panics
    ///
    /// Panics if a client has panicked.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client's thread ends");
        }
        let mut records = std::mem::take(&mut *self.records.lock().expect("lock of the records"));
        records.sort_by_key(|record| record.sent_at);
        records
    }

    /// Number of requests whose response came within a window and was a success.
    pub fn served_within(&self, window: Range<Timestamp>) -> usize {
        let records = self.records();
        records.iter().filter(|record| record.is_served() && window.contains(&record.finished_at)).count()
    }

    /// Whether any finished attempt matches.
    pub fn has_attempt(&self, matches: impl Fn(&RequestRecord) -> bool) -> bool {
        self.records().iter().any(matches)
    }

    /// Number of attempts that have finished so far.
    pub fn finished_count(&self) -> usize {
        self.records().len()
    }

    fn records(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        self.records.lock().expect("lock of the records")
    }
}
