//! Stand-in endpoints: groups of one primary and replicas that apply its log late, each with a limit of concurrency, a
//! queue, a slow start and faults. They speak SPARQL over HTTP and record every operation that reached them.

mod group_log;
mod serving;
mod set;

pub use group_log::LostCommits;
pub use set::StandInEndpoints;

use crate::Timestamp;
use crate::http::Message;
use group_log::GroupLog;
use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long an operation runs at an endpoint without faults.
pub const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);
/// How far replicas apply the log behind their primary.
const DEFAULT_REPLICATION_LAG: Duration = Duration::from_millis(20);
/// Operations that run at once at an endpoint that is warm.
const DEFAULT_SLOTS: usize = 8;
/// Operations that wait for a slot.
const DEFAULT_QUEUE_LIMIT: usize = 64;

/// The share of its slots that an endpoint has at a cold start; the platform's settings name the same (`cold-share`).
const COLD_START_SHARE: f64 = 0.25;
/// How long after a cold start an endpoint has all its slots; the platform's settings name the same (`warm-up`).
const WARM_UP: Duration = Duration::from_secs(16);

/// The share of its capacity that an endpoint has this long after a cold start: it rises linearly up to 1.
pub fn warm_up_share(since_start: Duration) -> f64 {
    // One division rounds once: the same instants give the same share to the last bit, whatever they were computed from.
    let seconds = since_start.as_nanos() as f64 / 1e9;
    let gained = (1.0 - COLD_START_SHARE) * seconds / WARM_UP.as_secs_f64();
    (COLD_START_SHARE + gained).min(1.0)
}

/// One operation that reached an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The endpoint's name.
    pub endpoint: String,
    /// The request's id, as its client chose it; 0: none.
    pub request_id: u64,
    /// When the operation arrived.
    pub arrived_at: Timestamp,
    /// When the endpoint had finished it, or saw that its connection was closed; the arrival where it was rejected.
    pub finished_at: Timestamp,
    /// The operation is a write.
    pub is_write: bool,
    /// The operation was answered with status 200.
    pub served: bool,
}

/// Capacity and faults of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointBehavior {
    /// The endpoint has power: it serves connections.
    pub is_up: bool,
    /// The endpoint accepts operations and answers none.
    pub is_silent: bool,
    /// Requests that are lost on their way, of a hundred.
    pub loss_percent: u8,
    /// How far a replica applies the log behind its primary.
    pub replication_lag: Duration,
    /// How long an operation runs.
    pub service_time: Duration,
    /// Operations that run at once when the endpoint is warm.
    pub slots: usize,
    /// Operations that wait for a slot; those beyond it are rejected.
    pub queue_limit: usize,
    /// The last cold start; `None`: the endpoint is warm.
    pub cold_since: Option<Instant>,
}

impl EndpointBehavior {
    /// Operations that may run at once now.
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
    /// Count of losses of power: operations and connections of an earlier incarnation have no effect.
    incarnation: u64,
    is_primary: bool,
    /// Names of the nodes whose requests are lost.
    cut_from: BTreeSet<String>,
    rng: fastrand::Rng,
    running: usize,
    waiting: usize,
    /// The most operations that ran or waited at once since the last query.
    peak: usize,
}

/// A stand-in endpoint. Clones share one state; it listens until the process ends.
#[derive(Clone)]
pub struct StandInEndpoint {
    /// Its name.
    pub name: String,
    /// The number of its group.
    pub group: u32,
    /// The name of its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    log: Arc<Mutex<GroupLog>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    polls: Arc<Mutex<Vec<Timestamp>>>,
}

/// An endpoint's place in the set.
struct Placement {
    group: u32,
    /// Its number in the group; 0 is the primary at first.
    index: usize,
    zone: String,
}

impl StandInEndpoint {
    fn start(
        placement: Placement,
        log: Arc<Mutex<GroupLog>>,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
    ) -> StandInEndpoint {
        let Placement { group, index, zone } = placement;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
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
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(state)),
            log,
            streams: Arc::default(),
            arrivals,
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

    /// Changes the endpoint's capacity or faults.
    pub fn configure(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut self.state().behavior);
    }

    /// Loses all requests of a node from now on, as a cut link does.
    pub fn cut_from(&self, node: &str) {
        self.state().cut_from.insert(node.into());
    }

    /// Ends [`StandInEndpoint::cut_from`].
    pub fn reconnect_to(&self, node: &str) {
        self.state().cut_from.remove(node);
    }

    /// Whether a request is lost on its way: the link from its node is cut, or by chance.
    fn loses(&self, request: &Message) -> bool {
        let node = request.header("via").and_then(|via| via.split(' ').nth(1)).unwrap_or("");
        let mut state = self.state();
        let loss_percent = state.behavior.loss_percent;
        state.cut_from.contains(node) || loss_percent > 0 && state.rng.u8(..100) < loss_percent
    }

    /// Loses power: all operations and connections end without an answer, and new connections are closed.
    pub fn power_off(&self) {
        let mut state = self.state();
        state.behavior.is_up = false;
        state.incarnation += 1;
        drop(state);
        for stream in self.streams.lock().expect("lock of the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again, cold, with all its data.
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

    /// When the endpoint was polled for its role and position, which is `ASK {}`.
    pub fn polls(&self) -> Vec<Timestamp> {
        self.polls.lock().expect("lock of the polls").clone()
    }

    /// Whether the endpoint is its group's primary now.
    pub fn is_primary(&self) -> bool {
        self.state().is_primary
    }

    /// The most operations that ran or waited at once since the last call.
    pub fn take_peak_concurrency(&self) -> usize {
        std::mem::take(&mut self.state().peak)
    }
}
