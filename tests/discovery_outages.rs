//! Outages of discovery that end with a change: endpoints that drain get no new work once the pooler can know of it.

mod stand_in;

use stand_in::discovery::{endpoint_json, snapshot_json};
use stand_in::failing_discovery::{CallFault, FailingDiscovery};
use stand_in::platform::{SETTINGS, StartedProcess, config, read_statement, start_process};
use stand_in::postgres::client::{PostgresClient, PostgresResponse};
use stand_in::postgres::endpoint::{PostgresEndpoint, Reply};
use stand_in::postgres::messages;
use stand_in::process::{Process, test_directory};
use stand_in::waiting::eventually;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// New work at a draining endpoint is allowed for the settings' grace of 250 ms and a slack of 50 ms, counted from when
/// discovery has the drain and answers new calls.
const LAST_WORK_WITHIN: Duration = Duration::from_millis(300);
/// How long endpoints are observed after a change.
const OBSERVED_AFTER_CHANGE: Duration = Duration::from_millis(4_500);
/// How long the pooler serves before an outage.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Pause of a client between two requests.
const THINK_TIME: Duration = Duration::from_millis(4);
const CLIENTS: usize = 3;
const ENDPOINTS: usize = 4;
/// The endpoints from this position on drain.
const FIRST_DRAINED: usize = 2;

/// An endpoint that records when it gets work.
struct RecordingEndpoint {
    endpoint: PostgresEndpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    rejects: Arc<AtomicBool>,
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

    fn arrivals_since(&self, since: Instant) -> Vec<Instant> {
        self.arrivals.lock().unwrap().iter().copied().filter(|arrival| *arrival >= since).collect()
    }
}

/// A pooler with its discovery, its endpoints, and clients that read all the time.
struct Site {
    process: Process,
    /// Where clients connect.
    address: SocketAddr,
    config_path: PathBuf,
    discovery: FailingDiscovery,
    endpoints: Vec<RecordingEndpoint>,
    stop_clients: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

/// What the pooler knows of discovery when it starts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// Discovery answers.
    DiscoveryAnswers,
    /// Discovery hangs; the configuration has a saved list.
    FromSavedList,
}

impl Site {
    fn start() -> Site {
        Site::start_with(Start::DiscoveryAnswers, SETTINGS)
    }

    fn start_with(start: Start, settings: &str) -> Site {
        Site::start_with_config(start, &|discovery| config("127.0.0.1:0", discovery, settings))
    }

    /// Starts the pooler with the configuration that `text_for` returns for an address of discovery.
    fn start_with_config(start: Start, text_for: &dyn Fn(SocketAddr) -> String) -> Site {
        let endpoints: Vec<RecordingEndpoint> = (0..ENDPOINTS).map(|_| RecordingEndpoint::start()).collect();
        let entries: Vec<String> = (0..ENDPOINTS).map(|number| entry(&endpoints, number, "active")).collect();
        let discovery = FailingDiscovery::start(&entries);
        let mut text = text_for(discovery.address);
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

    /// Puts the last endpoints into a drain. Returns when discovery had it.
    fn drain(&self) -> Instant {
        let drained = FIRST_DRAINED..ENDPOINTS;
        drained.map(|number| self.change(number, "leaving")).max().unwrap()
    }

    fn change(&self, number: usize, status: &str) -> Instant {
        self.discovery.change(number, entry(&self.endpoints, number, status))
    }

    /// Lets calls fail for `length`.
    fn outage(&self, faults: &[CallFault], length: Duration) {
        thread::sleep(QUIET_TIME);
        self.discovery.fail(faults);
        thread::sleep(length);
    }

    /// How long after `known_at` the draining endpoints got their last work.
    fn last_work_after(&self, known_at: Instant) -> Duration {
        thread::sleep(OBSERVED_AFTER_CHANGE);
        let served_by_others = self.endpoints[0].arrivals_since(known_at + LAST_WORK_WITHIN).len();
        assert!(served_by_others > 20, "the others get the work: {served_by_others}");
        let drained = self.endpoints[FIRST_DRAINED..].iter();
        let last = drained.flat_map(|endpoint| endpoint.arrivals_since(known_at)).max();
        last.map_or(Duration::ZERO, |last| last - known_at)
    }

    /// Plays an outage whose end brings a drain.
    fn last_work_after_outage(&self, faults: &[CallFault], length: Duration) -> Duration {
        self.outage(faults, length);
        self.drain();
        let recovered_at = self.discovery.recover();
        self.last_work_after(recovered_at)
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

/// Plays outages of these lengths at the same time, each with a pooler of its own, and checks the end of new work.
fn check_outages(faults: &[CallFault], lengths_ms: &[u64]) {
    check_all(lengths_ms, |length_ms| {
        Site::start().last_work_after_outage(faults, Duration::from_millis(length_ms))
    });
}

/// Runs `play` for each of these times in parallel; it returns when the last new work came.
fn check_all(times_ms: &[u64], play: impl Fn(u64) -> Duration + Sync) {
    let last_work: Vec<(u64, Duration)> = thread::scope(|scope| {
        let plays: Vec<_> = times_ms.iter().map(|time| (*time, scope.spawn(|| play(*time)))).collect();
        plays.into_iter().map(|(time, play)| (time, play.join().unwrap())).collect()
    });
    println!("ms and the last new work at draining endpoints: {last_work:?}");
    let late = last_work.iter().any(|(_, last)| *last > LAST_WORK_WITHIN);
    assert!(!late, "ms and the last new work at draining endpoints: {last_work:?}");
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_unanswered_calls() {
    check_outages(&[CallFault::Hang], &[300, 800, 1_700, 3_100, 5_000, 7_500]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_trickling_answers() {
    check_outages(&[CallFault::Trickle], &[1_000, 4_000, 6_400]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_reset_calls() {
    check_outages(&[CallFault::Reset], &[700, 3_300, 7_000]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_refused_connections() {
    check_outages(&[CallFault::Refuse], &[900, 3_600, 7_000]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_mixed_faults() {
    let faults = [CallFault::Hang, CallFault::Reset, CallFault::Hang, CallFault::Trickle];
    check_outages(&faults, &[1_200, 4_100, 7_700]);
}

#[test]
fn drained_endpoints_get_no_new_work_when_calls_are_answered_at_the_return() {
    check_outages(&[CallFault::AnswerAtRecovery], &[1_000, 4_200, 7_000]);
}

#[test]
fn a_drain_soon_after_the_return_of_discovery_is_in_use_in_time() {
    check_all(&[20, 150, 400, 900, 2_000], |delay_ms| {
        let site = Site::start();
        site.outage(&[CallFault::Hang], Duration::from_secs(4));
        site.discovery.recover();
        thread::sleep(Duration::from_millis(delay_ms));
        let known_at = site.drain();
        site.last_work_after(known_at)
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_an_outage_of_a_discovery_that_must_be_asked() {
    let settings = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    check_all(&[400, 3_000, 6_300], |length_ms| {
        let site = Site::start_with(Start::DiscoveryAnswers, &settings);
        site.last_work_after_outage(&[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_a_start_from_a_saved_list() {
    check_all(&[500, 2_000, 5_000], |length_ms| {
        let site = Site::start_with(Start::FromSavedList, SETTINGS);
        site.last_work_after_outage(&[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_sighup_to_a_discovery_that_hangs() {
    check_all(&[300, 2_900, 6_000], |length_ms| {
        let mut site = Site::start();
        let entries: Vec<String> =
            (0..ENDPOINTS).map(|number| entry(&site.endpoints, number, "active")).collect();
        let second = FailingDiscovery::start(&entries);
        second.fail(&[CallFault::Hang]);
        let first = std::mem::replace(&mut site.discovery, second);
        let text = std::fs::read_to_string(&site.config_path).unwrap();
        let moved = text.replace(&first.address.to_string(), &site.discovery.address.to_string());
        std::fs::write(&site.config_path, moved).unwrap();
        site.process.signal("-HUP");
        site.last_work_after_outage(&[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn an_endpoint_that_rejects_work_during_an_outage_is_avoided() {
    const OBSERVED: Duration = Duration::from_secs(3);
    let site = Site::start();
    site.outage(&[CallFault::Hang], Duration::from_millis(800));
    let rejecting = &site.endpoints[ENDPOINTS - 1];
    let rejects_since = Instant::now();
    rejecting.rejects.store(true, Ordering::Relaxed);
    thread::sleep(OBSERVED);
    let rejected = rejecting.arrivals_since(rejects_since).len();
    // It may be avoided for a second at first; attempts that were on their way when it began to reject come on top.
    assert!((1..=3 + CLIENTS).contains(&rejected), "{rejected} attempts within {OBSERVED:?}");
}

#[test]
fn a_drain_is_in_use_in_time_after_an_outage_under_a_crowd_of_idle_clients() {
    check_all(&[1_500, 4_000], |length_ms| {
        let with_few_sockets = |discovery| {
            config("127.0.0.1:0", discovery, SETTINGS).replace("\"sockets\":1024", "\"sockets\":96")
        };
        let site = Site::start_with_config(Start::DiscoveryAnswers, &with_few_sockets);
        let crowd: Vec<TcpStream> = (0..300).filter_map(|_| TcpStream::connect(site.address).ok()).collect();
        assert!(crowd.len() > 200, "the crowd is there: {}", crowd.len());
        site.last_work_after_outage(&[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

/// Mean time between two calls of a lone pooler to a discovery that rejects calls or answers late. In that state
/// discovery takes 0.2 s for a call.
const CALL_INTERVAL_UNDER_LOAD: Duration = Duration::from_millis(200);

/// The calls within `time`.
fn calls_within(discovery: &FailingDiscovery, time: Duration) -> usize {
    let before = discovery.call_count();
    thread::sleep(time);
    discovery.call_count() - before
}

fn check_calls_under_load(discovery: &FailingDiscovery) {
    const TIME: Duration = Duration::from_secs(5);
    let calls = calls_within(discovery, TIME);
    let most = (TIME.as_millis() / CALL_INTERVAL_UNDER_LOAD.as_millis()) as usize;
    assert!((1..=most).contains(&calls), "{calls} calls within {TIME:?}, at most {most} are allowed");
}

#[test]
fn a_discovery_that_rejects_calls_is_called_rarely() {
    let site = Site::start();
    site.discovery.reject("503 Service Unavailable");
    check_calls_under_load(&site.discovery);
    site.drain();
    let recovered_at = site.discovery.recover();
    assert!(site.last_work_after(recovered_at) < Duration::from_secs(6));
}

#[test]
fn a_discovery_that_answers_late_is_called_rarely_and_heard() {
    let site = Site::start();
    let whole_lists = site.discovery.whole_list_count();
    site.discovery.answer_after(Duration::from_millis(1_200));
    thread::sleep(Duration::from_secs(2));
    check_calls_under_load(&site.discovery);
    let known_at = site.drain();
    assert!(site.last_work_after(known_at) < Duration::from_secs(6));
    assert_eq!(site.discovery.whole_list_count(), whole_lists);
}

#[test]
fn an_outage_costs_no_more_whole_lists_than_its_calls_that_time_out() {
    for faults in [[CallFault::Hang], [CallFault::AnswerAtRecovery]] {
        let site = Site::start();
        let whole_lists = site.discovery.whole_list_count();
        assert!(site.last_work_after_outage(&faults, Duration::from_secs(3)) < LAST_WORK_WITHIN);
        assert_eq!(site.discovery.whole_list_count(), whole_lists, "only changes are sent: {faults:?}");
    }
    let site = Site::start_with(Start::FromSavedList, SETTINGS);
    site.last_work_after_outage(&[CallFault::Hang], Duration::from_secs(3));
    assert_eq!(site.discovery.whole_list_count(), 1, "one after the return");
}

#[test]
fn an_outage_is_logged_with_its_kind_and_end_and_not_by_call() {
    let mut site = Site::start();
    site.process.drain_log();
    let calls_before = site.discovery.call_count();
    site.outage(&[CallFault::Hang], Duration::from_secs(7));
    let calls = site.discovery.call_count() - calls_before;
    assert!(calls > 50, "discovery is probed: {calls} calls");
    site.discovery.recover();
    let end = site.process.wait_for_log("discovery: the list is current again");
    assert!(end.contains(" silent"), "{end}");
    let lines: Vec<&String> =
        site.process.log_lines.iter().filter(|line| line.contains("discovery: ")).collect();
    assert!(lines.iter().any(|line| line.contains("calls fail for")), "{lines:?}");
    assert!(lines.len() <= 4, "{lines:#?}");
}
