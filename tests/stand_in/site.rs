//! A pooler whose discovery fails for a while, with endpoints that record when they get work and clients that read all the
//! time.

use super::discovery::{endpoint_json, snapshot_json};
use super::failing_discovery::{CallFault, FailingDiscovery};
use super::platform::{SETTINGS, StartedProcess, config, read_statement, start_process};
use super::postgres::client::{PostgresClient, PostgresResponse};
use super::postgres::endpoint::{PostgresEndpoint, Reply};
use super::postgres::messages;
use super::process::{Process, test_directory};
use super::waiting::eventually;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// New work at a draining endpoint is allowed for the settings' grace of 250 ms and a slack of 50 ms, counted from when
/// discovery has the drain and answers new calls.
pub const LAST_WORK_WITHIN: Duration = Duration::from_millis(300);
/// Pause of a client between two requests.
const THINK_TIME: Duration = Duration::from_millis(4);
/// Number of clients of a site.
pub const CLIENTS: usize = 3;
/// An endpoint that records when it gets work.
pub struct RecordingEndpoint {
    pub endpoint: PostgresEndpoint,
    pub arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Whether it rejects work with 53300.
    pub rejects: Arc<AtomicBool>,
}

impl RecordingEndpoint {
    fn start() -> RecordingEndpoint {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let rejects: Arc<AtomicBool> = Arc::default();
        let (recorded, rejecting) = (arrivals.clone(), rejects.clone());
        let endpoint = PostgresEndpoint::replica(move |_| {
            recorded.lock().unwrap().push(Instant::now());
            if rejecting.load(Ordering::Relaxed) { Reply::Error("53300") } else { Reply::Row(b"value") }
        });
        RecordingEndpoint { endpoint, arrivals, rejects }
    }

    pub fn arrivals_since(&self, since: Instant) -> Vec<Instant> {
        self.arrivals.lock().unwrap().iter().copied().filter(|arrival| *arrival >= since).collect()
    }
}

/// A pooler with its discovery, its endpoints, and clients that read all the time.
pub struct Site {
    pub process: Process,
    /// Where clients connect.
    pub address: SocketAddr,
    config_path: PathBuf,
    pub discovery: FailingDiscovery,
    pub endpoints: Vec<RecordingEndpoint>,
    stop_clients: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

/// What the pooler knows of discovery when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Discovery answers.
    DiscoveryAnswers,
    /// Discovery hangs; the configuration has a saved list.
    FromSavedList,
}

/// How a site is set up.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    pub start: Start,
    pub endpoints: usize,
    /// The `settings` object of the platform's configuration.
    pub settings: String,
    /// How many descriptors the pooler may use.
    pub sockets: u32,
}

impl Default for SiteOptions {
    fn default() -> SiteOptions {
        SiteOptions {
            start: Start::DiscoveryAnswers,
            endpoints: 4,
            settings: SETTINGS.to_string(),
            sockets: 1024,
        }
    }
}

impl Site {
    pub fn start(options: SiteOptions) -> Site {
        let SiteOptions { start, endpoints, settings, sockets } = options;
        let endpoints: Vec<RecordingEndpoint> = (0..endpoints).map(|_| RecordingEndpoint::start()).collect();
        let entries = active_entries(&endpoints);
        let discovery = FailingDiscovery::start(&entries);
        let mut text = config("127.0.0.1:0", discovery.address, &settings)
            .replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"));
        if start == Start::FromSavedList {
            discovery.fail(&[CallFault::Hang]);
            text = text.replace("\"seed\"", &format!("\"known\":{},\n\"seed\"", snapshot_json(1, &entries)));
        }
        let config_path = test_directory("outage").join("config.json");
        std::fs::write(&config_path, text).unwrap();
        let StartedProcess { process, address } = start_process(&config_path);
        let stop_clients: Arc<AtomicBool> = Arc::default();
        let clients = (0..CLIENTS)
            .map(|client| {
                let stop = stop_clients.clone();
                thread::spawn(move || read_until_stopped(address, client, &stop))
            })
            .collect();
        let site = Site { process, address, config_path, discovery, endpoints, stop_clients, clients };
        site.wait_until_all_endpoints_serve();
        site
    }

    fn wait_until_all_endpoints_serve(&self) {
        eventually("every endpoint serves", || {
            self.endpoints.iter().all(|endpoint| !endpoint.arrivals.lock().unwrap().is_empty())
        });
    }

    /// Changes the status of an endpoint in discovery's list. Returns when.
    pub fn change(&self, number: usize, status: &str) -> Instant {
        self.discovery.change(number, entry(&self.endpoints, number, status))
    }

    /// Moves the pooler by SIGHUP to another discovery, whose calls get these faults. Its list is that of the start.
    pub fn move_to_failing_discovery(&mut self, faults: &[CallFault]) {
        let moved_to = FailingDiscovery::start(&active_entries(&self.endpoints));
        moved_to.fail(faults);
        let text = std::fs::read_to_string(&self.config_path).unwrap();
        let former = std::mem::replace(&mut self.discovery, moved_to);
        let text = text.replace(&former.address.to_string(), &self.discovery.address.to_string());
        std::fs::write(&self.config_path, text).unwrap();
        self.process.signal("-HUP");
    }

    /// Opens idle connections of so many clients; they stay open as long as the result.
    pub fn idle_crowd(&self, size: usize) -> Vec<TcpStream> {
        (0..size).filter_map(|_| TcpStream::connect(self.address).ok()).collect()
    }

    /// When an endpoint got its last work after `since`, counted from there.
    pub fn last_work(&self, endpoint: usize, since: Instant) -> Duration {
        let arrivals = self.endpoints[endpoint].arrivals_since(since);
        arrivals.last().map_or(Duration::ZERO, |last| *last - since)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop_clients.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let ended = client.join();
            assert!(ended.is_ok() || thread::panicking(), "a client saw an unserved request");
        }
    }
}

fn active_entries(endpoints: &[RecordingEndpoint]) -> Vec<String> {
    (0..endpoints.len()).map(|number| entry(endpoints, number, "active")).collect()
}

fn entry(endpoints: &[RecordingEndpoint], number: usize, status: &str) -> String {
    endpoint_json(&format!("host-{number}"), endpoints[number].endpoint.address, 1, status)
}

fn read_until_stopped(address: SocketAddr, client: usize, stop: &AtomicBool) {
    let mut connection = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        // The pooler may close a connection between two requests, in a crowd also a new one.
        let Some(open) = connection.as_mut() else {
            connection = connect_when_ready(address);
            continue;
        };
        match try_query(open, &read_statement(&format!("{client}-{number}"), 2_000)) {
            Some(response) => assert!(response.value.is_some(), "request {client}-{number}: {response:?}"),
            None => connection = None,
        }
        number += 1;
        thread::sleep(THINK_TIME);
    }
}

/// A connection to a pooler that has reported that it is ready; `None` if the pooler closed it.
fn connect_when_ready(address: SocketAddr) -> Option<PostgresClient> {
    let mut connection = PostgresClient::connect_without_startup(address);
    connection.stream.write_all(&messages::startup()).ok()?;
    connection.receive()?;
    try_query(&mut connection, "").filter(|response| response.is_empty_query)?;
    Some(connection)
}

/// The response to a query; `None` if the pooler closed the connection instead.
fn try_query(connection: &mut PostgresClient, text: &str) -> Option<PostgresResponse> {
    connection.stream.write_all(&messages::query(text)).ok()?;
    connection.receive()
}
