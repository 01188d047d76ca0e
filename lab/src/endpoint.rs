//! Stand-in endpoints: groups of one primary and replicas that apply its log with a lag. Each endpoint has a
//! concurrency limit, a queue, a slow start and faults. They serve SPARQL over HTTP and record every operation that
//! reaches them.

mod group_log;
mod open_attempts;
mod serving;
mod set;

pub use group_log::LostCommits;
pub use set::StandInEndpoints;

use crate::Timestamp;
use crate::http::Message;
use group_log::GroupLog;
use open_attempts::OpenAttempts;
use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long an operation runs at an endpoint by default.
pub const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);
/// How far the applied log of a replica is behind its primary by default.
const DEFAULT_REPLICATION_LAG: Duration = Duration::from_millis(20);
/// Number of operations that a warm endpoint runs at once by default.
const DEFAULT_SLOTS: usize = 8;
/// Number of operations that may wait for a slot by default.
const DEFAULT_QUEUE_LIMIT: usize = 64;

/// The share of its slots that an endpoint has at a cold start; equal to `cold-share` in the nodes' settings.
const COLD_START_SHARE: f64 = 0.25;
/// Time after a cold start until an endpoint has all its slots; equal to `warm-up` in the nodes' settings.
const WARM_UP: Duration = Duration::from_secs(16);

/// The share of its capacity that an endpoint has at a time after a cold start. It rises linearly up to 1.
pub fn warm_up_share(since_start: Duration) -> f64 {
    // Dividing the exact nanoseconds rounds once, so that equal durations give exactly the same share.
    let seconds = since_start.as_nanos() as f64 / 1e9;
    let gained = (1.0 - COLD_START_SHARE) * seconds / WARM_UP.as_secs_f64();
    (COLD_START_SHARE + gained).min(1.0)
}

/// One operation that reached an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The endpoint's name.
    pub endpoint: String,
    /// The id that the client gave the request; 0 if it has none.
    pub request_id: u64,
    /// When the operation arrived.
    pub arrived_at: Timestamp,
    /// When the endpoint had finished the operation or detected that the connection was closed. Equal to `arrived_at`
    /// if the operation was rejected.
    pub finished_at: Timestamp,
    /// Whether the operation is a write.
    pub is_write: bool,
    /// Whether the operation ran to its end while the client was still connected.
    pub served: bool,
    /// The endpoints at which an earlier attempt of the request had an open connection when this one arrived.
    pub open_elsewhere: Vec<String>,
}

/// Capacity and faults of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointBehavior {
    /// Whether the endpoint has power and serves connections.
    pub is_up: bool,
    /// Whether the endpoint accepts operations and answers none.
    pub is_silent: bool,
    /// Percentage of the requests that are lost on their way, at random.
    pub loss_percent: u8,
    /// How far the applied log of a replica is behind its primary.
    pub replication_lag: Duration,
    /// How long an operation runs.
    pub service_time: Duration,
    /// Number of operations that run at once when the endpoint is warm.
    pub slots: usize,
    /// Number of operations that may wait for a slot; further ones are rejected.
    pub queue_limit: usize,
    /// The last cold start; `None` if there was none, so that the endpoint is warm.
    pub cold_since: Option<Instant>,
}

impl EndpointBehavior {
    /// Number of operations that may run at once now.
    fn available_slots(&self) -> usize {
        let share = self.cold_since.map_or(1.0, |start| warm_up_share(start.elapsed()));
        ((self.slots as f64 * share) as usize).max(1)
    }
}

impl Default for EndpointBehavior {
    fn default() -> EndpointBehavior {
        EndpointBehavior {
            is_up: true,
            is_silent: false,
            loss_percent: 0,
            replication_lag: DEFAULT_REPLICATION_LAG,
            service_time: DEFAULT_SERVICE_TIME,
            slots: DEFAULT_SLOTS,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            cold_since: None,
        }
    }
}

struct State {
    behavior: EndpointBehavior,
    /// Number of losses of power. Operations and connections of an earlier incarnation get no response.
    incarnation: u64,
    is_primary: bool,
    /// Names of the nodes whose requests are all lost.
    cut_from: BTreeSet<String>,
    rng: fastrand::Rng,
    running: usize,
    waiting: usize,
    /// The highest number of operations that ran or waited at once since [`StandInEndpoint::take_peak_concurrency`] was
    /// last called.
    peak: usize,
}

/// A stand-in endpoint, which listens until the process exits. Clones share its state.
#[derive(Clone)]
pub struct StandInEndpoint {
    /// The endpoint's name: `s-`, the group's number, `-` and its index in the group.
    pub name: String,
    /// The number of its group.
    pub group: u32,
    /// The name of its zone.
    pub zone: String,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    log: Arc<Mutex<GroupLog>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    records: SharedRecords,
    polls: Arc<Mutex<Vec<Timestamp>>>,
}

/// What all endpoints of a cluster record together.
#[derive(Clone, Default)]
struct SharedRecords {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    open_attempts: OpenAttempts,
}

/// An endpoint's place in the cluster.
struct Placement {
    group: u32,
    /// The endpoint's index in the group; the one with index 0 is the primary at first.
    index: usize,
    zone: String,
}

impl StandInEndpoint {
    fn start(placement: Placement, log: Arc<Mutex<GroupLog>>, records: SharedRecords) -> StandInEndpoint {
        let Placement { group, index, zone } = placement;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let state = State {
            behavior: EndpointBehavior::default(),
            incarnation: 0,
            is_primary: index == 0,
            cut_from: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(u64::from(group) * 100 + index as u64),
            running: 0,
            waiting: 0,
            peak: 0,
        };
        let endpoint = StandInEndpoint {
            name: format!("s-{group}-{index}"),
            group,
            zone,
            address: listener.local_addr().expect("the listener has an address"),
            state: Arc::new(Mutex::new(state)),
            log,
            streams: Arc::default(),
            records,
            polls: Arc::default(),
        };
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let endpoint = accepting.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of an endpoint")
    }

    fn log(&self) -> MutexGuard<'_, GroupLog> {
        self.log.lock().expect("lock of a group's log")
    }

    /// Changes the endpoint's capacity or faults. Operations that have already arrived keep the
    /// former service time, slots, queue limit and silence.
    pub fn configure(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut self.state().behavior);
    }

    /// Drops all requests of a node from now on, as a cut link would.
    pub fn cut_from(&self, node: &str) {
        self.state().cut_from.insert(node.into());
    }

    /// Reverts [`StandInEndpoint::cut_from`].
    pub fn reconnect_to(&self, node: &str) {
        self.state().cut_from.remove(node);
    }

    /// Whether a request is lost on its way, because the link from its node is cut or at random.
    fn should_drop(&self, request: &Message) -> bool {
        let node = request.header("via").and_then(|via| via.split(' ').nth(1)).unwrap_or("");
        let mut state = self.state();
        let loss_percent = state.behavior.loss_percent;
        state.cut_from.contains(node) || loss_percent > 0 && state.rng.u8(..100) < loss_percent
    }

    /// Loses power: all connections end without a response to their operations, and new ones are closed.
    pub fn power_off(&self) {
        let mut state = self.state();
        state.behavior.is_up = false;
        state.incarnation += 1;
        drop(state);
        for stream in self.streams.lock().expect("lock of the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Gets power back: the endpoint starts cold, with all its data.
    pub fn power_on(&self) {
        self.configure(|behavior| {
            behavior.is_up = true;
            behavior.cold_since = Some(Instant::now());
        });
    }

    /// Whether the endpoint has power.
    pub fn is_up(&self) -> bool {
        self.state().behavior.is_up
    }

    /// The times at which the endpoint was polled for its role and position by the query `ASK {}`.
    pub fn polls(&self) -> Vec<Timestamp> {
        self.polls.lock().expect("lock of the polls").clone()
    }

    /// Whether the endpoint is its group's primary now.
    pub fn is_primary(&self) -> bool {
        self.state().is_primary
    }

    /// The highest number of operations that ran or waited at once since the last call.
    pub fn take_peak_concurrency(&self) -> usize {
        std::mem::take(&mut self.state().peak)
    }
}
