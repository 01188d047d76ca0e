//! Clients with an open-loop load: each request goes out when its time has come, whatever became of those before.

use crate::http::{Connection, Message};
use crate::now;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a client asked, and what it got.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Its number.
    pub request: u64,
    /// The daemon that was asked.
    pub daemon: usize,
    /// When it was due, in Unix microseconds; it never went out before.
    pub due: i64,
    /// When it went out.
    pub sent: i64,
    /// When its answer had come, or had not.
    pub until: i64,
    /// The status; 0: no answer came on the connection.
    pub status: u16,
    /// It wrote.
    pub write: bool,
    /// The group that was asked.
    pub group: u32,
    /// The position that its answer had to reach, in Unix milliseconds.
    pub needs: Option<i64>,
    /// That is the commit of its own session's last write.
    pub own: bool,
    /// Tries that went before with the same number.
    pub tries: u32,
    /// When a refusal asked to come back, in milliseconds.
    pub come_back: Option<i64>,
    /// The position of the data that it got.
    pub got: Option<i64>,
}

/// The load.
pub struct Load {
    stop: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<RequestRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

/// What to ask.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Requests a second, of all clients together.
    pub rate: f64,
    /// Clients; each has a session of its own, and a connection for each request that it has out.
    pub clients: usize,
    /// Groups that are asked.
    pub groups: u32,
    /// Of ten requests so many write; of the others every second one reads what its session wrote.
    pub writes: u8,
    /// A bounded read may be so old, in milliseconds.
    pub age: i64,
    /// For the clients' choices.
    pub seed: u64,
    /// What is refused is asked again, at the time that the refusal names, as long as its time lasts.
    pub again: bool,
}

impl Default for LoadProfile {
    fn default() -> LoadProfile {
        LoadProfile { rate: 200.0, clients: 10, groups: 2, writes: 3, age: 800, seed: 1, again: false }
    }
}

/// How long a client waits for a request, all its tries together.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// A request that a client means.
#[derive(Clone, Copy)]
struct Wanted {
    request: u64,
    group: u32,
    write: bool,
    commit: Option<i64>,
    due: i64,
    until: Instant,
    tries: u32,
}

static NUMBERS: AtomicU64 = AtomicU64::new(1);

impl Load {
    /// Begins to ask the daemons at these addresses.
    pub fn start(fronts: &[SocketAddr], plan: LoadProfile) -> Load {
        let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let gap = Duration::from_secs_f64(plan.clients as f64 / plan.rate);
        let threads = (0..plan.clients).map(|n| {
            let (stop, asked, fronts) = (stop.clone(), Arc::clone(&asked), fronts.to_vec());
            thread::spawn(move || client(n, &fronts, plan, gap, &stop, &asked))
        });
        Load { threads: threads.collect(), stop, asked }
    }

    /// Stops, and hands out all that was asked.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().expect("a client"));
        let mut asked = std::mem::take(&mut *self.asked.lock().expect("the record"));
        asked.sort_by_key(|a| a.sent);
        asked
    }

    /// Requests that were served in this time, in Unix microseconds.
    pub fn served(&self, from: i64, to: i64) -> usize {
        let asked = self.asked.lock().expect("the record");
        asked.iter().filter(|a| a.status == 200 && (from..to).contains(&a.until)).count()
    }

    /// Whether a request has had such an answer by now.
    pub fn any(&self, such: impl Fn(&RequestRecord) -> bool) -> bool {
        self.asked.lock().expect("the record").iter().any(such)
    }

    /// Requests that have their answer by now.
    pub fn count(&self) -> usize {
        self.asked.lock().expect("the record").len()
    }
}

/// Requests that one client has out at once at the most, each on a connection of its own; a relay has four threads
/// for each of these.
const OUT: usize = 4;

/// A request as it goes out.
struct Trip {
    wanted: Wanted,
    sent: i64,
    needs: Option<i64>,
    text: String,
}

/// One of a client's connections: carries one request after the other.
fn carry(front: SocketAddr, trips: &Receiver<Trip>, answers: &Sender<(Trip, Option<Message>, i64)>) {
    let mut connection: Option<Connection> = None;
    while let Ok(trip) = trips.recv() {
        // One that rested may have ended with its daemon.
        let mut open = connection
            .take()
            .filter(Connection::is_open)
            .or_else(|| Connection::open(front, Duration::from_secs(4)));
        let answer = open.as_mut().and_then(|c| c.call(&trip.text));
        // Whoever is told that the connection ends opens another one the next time.
        if answer.as_ref().is_some_and(|a| a.header("connection") != Some("close")) {
            connection = open;
        }
        if answers.send((trip, answer, now())).is_err() {
            return;
        }
    }
}

fn client(
    n: usize,
    fronts: &[SocketAddr],
    plan: LoadProfile,
    gap: Duration,
    stop: &AtomicBool,
    asked: &Mutex<Vec<RequestRecord>>,
) {
    let mut rng = fastrand::Rng::with_seed(plan.seed.wrapping_mul(1000).wrapping_add(n as u64));
    let daemon = n % fronts.len();
    let mut commits: Vec<Option<i64>> = vec![None; plan.groups as usize + 1];
    let mut due = Instant::now() + gap.mul_f64(rng.f64());
    // Refused, and when to ask again.
    let mut later: Vec<(Instant, Wanted)> = Vec::new();
    let (send, answers) = channel::<(Trip, Option<Message>, i64)>();
    // Its connections; one is opened only where all others are at work.
    let mut idle: Vec<usize> = Vec::new();
    let mut open: Vec<(Sender<Trip>, JoinHandle<()>)> = Vec::new();
    let mut out: BTreeMap<u64, usize> = BTreeMap::new();
    while !stop.load(Ordering::SeqCst) || !out.is_empty() {
        let stops = stop.load(Ordering::SeqCst);
        let next = later.iter().map(|(at, _)| *at).chain([due]).min().unwrap_or(due);
        let full = out.len() >= OUT || stops;
        let wait =
            if full { Duration::from_millis(50) } else { next.saturating_duration_since(Instant::now()) };
        if let Ok((trip, answer, until)) = answers.recv_timeout(wait.min(Duration::from_millis(50))) {
            idle.extend(out.remove(&trip.wanted.request));
            let Wanted { request, group, write, commit, .. } = trip.wanted;
            let status = answer.as_ref().map_or(0, Message::status);
            let served = answer.as_ref().filter(|_| status == 200);
            let got = served.and_then(|a| a.text().trim().parse().ok());
            let known = &mut commits[group as usize];
            if write && let Some(position) = served.and_then(|a| a.number("brookpass-position")) {
                *known = (*known).max(Some(position));
            }
            // Told that its write is lost.
            if status == 412 && *known == commit {
                *known = None;
            }
            let come_back = answer.as_ref().and_then(|a| a.number("brookpass-retry-after-ms"));
            let again = come_back.filter(|_| plan.again && status == 503);
            // Nobody listens yet: a client that means it tries again soon.
            let again = again.or((plan.again && status == 0 && !write).then_some(100));
            let at = again.map(|ms| Instant::now() + Duration::from_millis(ms.max(0) as u64));
            if let Some(at) = at.filter(|at| *at + Duration::from_millis(50) < trip.wanted.until) {
                later.push((at, Wanted { tries: trip.wanted.tries + 1, ..trip.wanted }));
            }
            asked.lock().expect("the record").push(RequestRecord {
                request,
                daemon,
                due: trip.wanted.due,
                sent: trip.sent,
                until,
                status,
                write,
                group,
                needs: trip.needs,
                own: commit.is_some(),
                tries: trip.wanted.tries,
                come_back,
                got,
            });
            continue;
        }
        let present = Instant::now();
        if full || present < next {
            continue;
        }
        let wanted = match later.iter().position(|(at, _)| *at <= present) {
            Some(n) => later.swap_remove(n).1,
            None => {
                let late = due.elapsed().as_micros() as i64;
                let until = due + PATIENCE;
                due += gap;
                let group = rng.u32(1..=plan.groups);
                let write = rng.u8(..10) < plan.writes;
                let commit = commits[group as usize].filter(|_| !write && rng.bool());
                let request = NUMBERS.fetch_add(1, Ordering::Relaxed);
                Wanted { request, group, write, commit, due: now() - late, until, tries: 0 }
            }
        };
        let trip = trip(n, plan, wanted, present);
        let at = idle.pop().unwrap_or_else(|| {
            let (trips, work) = channel();
            let (front, answers) = (fronts[daemon], send.clone());
            open.push((trips, thread::spawn(move || carry(front, &work, &answers))));
            open.len() - 1
        });
        out.insert(wanted.request, at);
        open[at].0.send(trip).expect("a connection");
    }
    for (trips, thread) in open {
        drop(trips);
        thread.join().expect("a connection");
    }
}

/// The request of client `n`, and what its answer has to reach.
fn trip(n: usize, plan: LoadProfile, wanted: Wanted, present: Instant) -> Trip {
    let Wanted { request, group, write, commit, until, .. } = wanted;
    let left = until.saturating_duration_since(present).as_millis();
    let own = commit.map_or(String::new(), |c: i64| format!("Brookpass-Position: {c}\r\n"));
    let common = format!(
        "Host: lab\r\nBrookpass-Group: {group}\r\nBrookpass-Session: c{n}\r\nBrookpass-Time-Left-Ms: {left}\r\n{own}"
    );
    let text = if write {
        let body = format!("INSERT r#{request}");
        format!(
            "POST /sparql HTTP/1.1\r\n{common}Content-Type: application/sparql-update\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    } else {
        format!("GET /sparql?query=SELECT%20r%23{request} HTTP/1.1\r\n{common}\r\n")
    };
    let sent = now();
    let needs = match commit {
        _ if write => None,
        Some(commit) => Some(commit),
        None => Some(sent / 1000 - plan.age),
    };
    Trip { wanted, sent, needs, text }
}
