//! One client: its schedule, the positions of its session's writes, its retries and its connections.

use super::request::{Attempt, Request};
use super::{LoadProfile, REQUEST_TIMEOUT, Records, RequestRecord};
use crate::http::{Connection, Message, NO_RESPONSE};
use crate::{LogPosition, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Limit of the requests that one client has in flight, each on its own connection: each connection costs four threads
/// in a relay.
const MAX_IN_FLIGHT: usize = 4;
/// Longest single wait of a client, after which it checks whether the load has ended.
const WAIT_SLICE: Duration = Duration::from_millis(50);
/// A retry is made only if this much of the request's time is left after the pause.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(50);
/// Pause before the retry of a read whose connection failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of each read on a connection, longer than every deadline in the nodes' settings.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// The next request id. Ids are unique in the test's process, so that each arrival at an endpoint identifies its
/// request.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// The result of an attempt.
struct Response {
    attempt: Attempt,
    /// The response; `None` if the connection failed.
    message: Option<Message>,
    finished_at: Timestamp,
}

/// A request that waits for its next attempt.
struct Retry {
    not_before: Instant,
    request: Request,
}

/// A client with one session, driven by its own thread.
pub(super) struct Session {
    index: usize,
    node: usize,
    profile: LoadProfile,
    /// Time between two new requests.
    interval: Duration,
    rng: fastrand::Rng,
    /// When the next new request is due.
    next_due: Instant,
    /// The position of the session's last write to each group, by the group's number.
    own_writes: Vec<Option<LogPosition>>,
    retries: Vec<Retry>,
    connections: ConnectionPool,
    stop: Arc<AtomicBool>,
    records: Records,
}

impl Session {
    pub(super) fn new(
        index: usize,
        node: usize,
        address: SocketAddr,
        profile: LoadProfile,
        stop: Arc<AtomicBool>,
        records: Records,
    ) -> Session {
        let interval = Duration::from_secs_f64(profile.clients as f64 / profile.requests_per_second);
        let seed = profile.seed.wrapping_mul(1000).wrapping_add(index as u64);
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_due = Instant::now() + interval.mul_f64(rng.f64());
        Session {
            index,
            node,
            profile,
            interval,
            rng,
            next_due,
            own_writes: vec![None; profile.groups as usize + 1],
            retries: Vec::new(),
            connections: ConnectionPool::new(address),
            stop,
            records,
        }
    }

    /// Sends requests until the load ends, then waits for the requests in flight.
    pub(super) fn run(mut self) {
        loop {
            let stopping = self.stop.load(Ordering::SeqCst);
            if stopping && self.connections.in_flight() == 0 {
                break;
            }
            let may_send = !stopping && self.connections.in_flight() < MAX_IN_FLIGHT;
            let next_send = self.next_send();
            let until_send = next_send.saturating_duration_since(Instant::now());
            let wait = if may_send { until_send.min(WAIT_SLICE) } else { WAIT_SLICE };
            if let Some(response) = self.connections.receive(wait) {
                self.handle(response);
                continue;
            }
            let now = Instant::now();
            if may_send && now >= next_send {
                self.send(now);
            }
        }
        self.connections.close();
    }

    /// When the next request is to be sent, either a new one or a retry.
    fn next_send(&self) -> Instant {
        let first_retry = self.retries.iter().map(|retry| retry.not_before).min();
        first_retry.map_or(self.next_due, |retry| retry.min(self.next_due))
    }

    fn send(&mut self, now: Instant) {
        let request = match self.retries.iter().position(|retry| retry.not_before <= now) {
            Some(index) => self.retries.swap_remove(index).request,
            None => self.new_request(),
        };
        self.connections.send(Attempt::new(self.index, &self.profile, request, now));
    }

    /// Creates the request that is due, with random properties. Its due time is that of the schedule, however late it
    /// is sent.
    fn new_request(&mut self) -> Request {
        let lateness = self.next_due.elapsed();
        let deadline = self.next_due + REQUEST_TIMEOUT;
        self.next_due += self.interval;
        let group = self.rng.u32(1..=self.profile.groups);
        let is_write = self.rng.u8(..10) < self.profile.writes_per_ten;
        let last_write = self.own_writes[group as usize];
        let own_write = last_write.filter(|_| !is_write && self.rng.bool());
        let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        let due_at = Timestamp::now() - lateness;
        Request { id, group, is_write, own_write, due_at, deadline, earlier_attempts: 0 }
    }

    fn handle(&mut self, response: Response) {
        let Response { attempt, message, finished_at } = response;
        let request = attempt.request;
        let status = message.as_ref().map_or(NO_RESPONSE, Message::status);
        let served = message.as_ref().filter(|_| status == 200);
        let observed = served.and_then(|message| message.text().trim().parse().ok());
        let committed = served.and_then(|message| message.number("brookpass-position"));
        let retry_after_ms = message.as_ref().and_then(|message| message.number("brookpass-retry-after-ms"));
        let retry_after = retry_after_ms.map(|millis| Duration::from_millis(millis.max(0) as u64));
        self.update_own_write(&request, status, committed.map(LogPosition::from_millis));
        self.schedule_retry(&request, status, retry_after);
        self.records.lock().expect("lock of the records").push(RequestRecord {
            request_id: request.id,
            node: self.node,
            due_at: request.due_at,
            sent_at: attempt.sent_at,
            finished_at,
            status,
            is_write: request.is_write,
            group: request.group,
            required_position: attempt.required_position,
            reads_own_write: request.own_write.is_some(),
            earlier_attempts: request.earlier_attempts,
            retry_after,
            observed_position: observed.map(LogPosition::from_millis),
        });
    }

    /// Updates the position of the session's last write to the group.
    fn update_own_write(&mut self, request: &Request, status: u16, committed: Option<LogPosition>) {
        let last_write = &mut self.own_writes[request.group as usize];
        if request.is_write && committed.is_some() {
            *last_write = (*last_write).max(committed);
        }
        // Status 412 reports that the session's write is lost.
        if status == 412 && *last_write == request.own_write {
            *last_write = None;
        }
    }

    /// Schedules a retry after a rejection, or after a read whose connection failed because nothing listens yet.
    fn schedule_retry(&mut self, request: &Request, status: u16, retry_after: Option<Duration>) {
        if !self.profile.retries_rejections {
            return;
        }
        let pause = match (status, retry_after) {
            (503, Some(pause)) => pause,
            (NO_RESPONSE, _) if !request.is_write => RECONNECT_PAUSE,
            _ => return,
        };
        let not_before = Instant::now() + pause;
        if not_before + MIN_TIME_FOR_RETRY < request.deadline {
            let request = Request { earlier_attempts: request.earlier_attempts + 1, ..*request };
            self.retries.push(Retry { not_before, request });
        }
    }
}

/// The connections of a client, each with its own thread. A connection is added only when all others have a request in
/// flight.
struct ConnectionPool {
    address: SocketAddr,
    workers: Vec<Worker>,
    /// Indices of workers without a request.
    idle: Vec<usize>,
    /// The worker of each request in flight, by the request's id.
    busy: BTreeMap<u64, usize>,
    response_sender: Sender<Response>,
    responses: Receiver<Response>,
}

struct Worker {
    attempts: Sender<Attempt>,
    thread: JoinHandle<()>,
}

impl ConnectionPool {
    fn new(address: SocketAddr) -> ConnectionPool {
        let (response_sender, responses) = channel();
        ConnectionPool {
            address,
            workers: Vec::new(),
            idle: Vec::new(),
            busy: BTreeMap::new(),
            response_sender,
            responses,
        }
    }

    fn in_flight(&self) -> usize {
        self.busy.len()
    }

    fn send(&mut self, attempt: Attempt) {
        let worker = self.idle.pop().unwrap_or_else(|| self.add_worker());
        self.busy.insert(attempt.request.id, worker);
        self.workers[worker].attempts.send(attempt).expect("the connection's thread runs");
    }

    fn add_worker(&mut self) -> usize {
        let (attempts, received) = channel();
        let address = self.address;
        let responses = self.response_sender.clone();
        let thread = thread::spawn(move || serve_connection(address, &received, &responses));
        self.workers.push(Worker { attempts, thread });
        self.workers.len() - 1
    }

    fn receive(&mut self, timeout: Duration) -> Option<Response> {
        let response = self.responses.recv_timeout(timeout).ok()?;
        self.idle.extend(self.busy.remove(&response.attempt.request.id));
        Some(response)
    }

    fn close(self) {
        for worker in self.workers {
            drop(worker.attempts);
            worker.thread.join().expect("the connection's thread ends");
        }
    }
}

/// Sends one attempt at a time on one connection, which is reopened if it has been closed.
fn serve_connection(address: SocketAddr, attempts: &Receiver<Attempt>, responses: &Sender<Response>) {
    let mut kept_connection: Option<Connection> = None;
    while let Ok(attempt) = attempts.recv() {
        let usable = kept_connection.take().filter(Connection::is_idle);
        let mut connection = usable.or_else(|| Connection::open(address, READ_TIMEOUT));
        let message = connection.as_mut().and_then(|connection| connection.call(&attempt.text));
        if message.as_ref().is_some_and(|message| message.header("connection") != Some("close")) {
            kept_connection = connection;
        }
        let response = Response { attempt, message, finished_at: Timestamp::now() };
        if responses.send(response).is_err() {
            return;
        }
    }
}
