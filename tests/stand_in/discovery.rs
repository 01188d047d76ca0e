//! Stand-ins for the platform's discovery server: one that keeps a list, and one whose every answer the test
//! gives.

use super::http::{HttpMessage, read_http_message};
use super::network::spawn_server;
use super::waiting::{DEFAULT_TIMEOUT, eventually};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long a watch is held when the list does not change.
const WATCH_HOLD: Duration = Duration::from_secs(1);

/// One entry of an endpoint list; `status` is `active` or `leaving`.
pub fn endpoint_json(name: &str, address: SocketAddr, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":{group},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An answer with the complete endpoint list.
pub fn snapshot_json(index: u64, endpoints: &[String]) -> String {
    list_json(index, true, endpoints)
}

/// An answer with the entries that changed since the index that the call named.
pub fn changes_json(index: u64, endpoints: &[String]) -> String {
    list_json(index, false, endpoints)
}

fn list_json(index: u64, is_snapshot: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The index after which a watch asks; `None`: the call asks for the complete list.
fn watched_index(request: &HttpMessage) -> Option<u64> {
    let after = request.first_line.split("after=").nth(1)?;
    after.split(['&', ' ']).next()?.parse().ok()
}

/// A discovery server that answers as the platform's agent does: at once with the list, to a watch once it
/// changes.
pub struct DiscoveryServer {
    list: Arc<PublishedList>,
    pub address: SocketAddr,
}

struct PublishedList {
    state: Mutex<ListState>,
    changed: Condvar,
}

#[derive(Default)]
struct ListState {
    index: u64,
    /// Entries in JSON, separated by commas.
    endpoints: String,
    /// The index after which the last watch asked.
    watched_index: u64,
    /// Answered once in place of the list.
    malformed_answer: Option<String>,
}

impl ListState {
    /// Whether a watch after this index has nothing to report.
    fn is_unchanged_since(&self, index: u64) -> bool {
        self.index <= index && self.malformed_answer.is_none()
    }
}

impl DiscoveryServer {
    pub fn start() -> DiscoveryServer {
        let list =
            Arc::new(PublishedList { state: Mutex::new(ListState::default()), changed: Condvar::new() });
        let served_list = list.clone();
        let address = spawn_server(move |stream| serve_list(stream, &served_list));
        DiscoveryServer { list, address }
    }

    /// Publishes a list and returns once the daemon has it: its next watch asks after it.
    pub fn publish(&self, endpoints: &[String]) {
        let mut state = self.list.state.lock().unwrap();
        state.index += 1;
        state.endpoints = endpoints.join(",");
        self.list.changed.notify_all();
        let index = state.index;
        let not_watched = |state: &mut ListState| state.watched_index < index;
        let (_state, wait) =
            self.list.changed.wait_timeout_while(state, DEFAULT_TIMEOUT, not_watched).unwrap();
        assert!(!wait.timed_out(), "the daemon did not ask again");
    }

    /// Sets the list before the first call; does not wait for the process.
    pub fn preset(&self, endpoints: &[String]) {
        let mut state = self.list.state.lock().unwrap();
        state.index = 1;
        state.endpoints = endpoints.join(",");
    }

    /// Answers the next call, or the watch that is open, with a body that is no list.
    pub fn answer_malformed_once(&self, body: &str) {
        self.list.state.lock().unwrap().malformed_answer = Some(body.to_string());
        self.list.changed.notify_all();
    }

    /// Waits until the daemon watches for changes to the current list.
    pub fn wait_for_watch(&self) {
        eventually("a watch", || {
            let state = self.list.state.lock().unwrap();
            state.watched_index == state.index && state.malformed_answer.is_none()
        });
    }
}

/// Answers the calls on one connection until it closes.
fn serve_list(stream: TcpStream, list: &PublishedList) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_http_message(&mut reader) {
        let body = next_list(&request, list);
        if writer.write_all(ok_response(&body).as_bytes()).is_err() {
            return;
        }
    }
}

/// The body of the answer to a call; a watch is held until there is something to report.
fn next_list(request: &HttpMessage, list: &PublishedList) -> String {
    let after = watched_index(request);
    let mut state = list.state.lock().unwrap();
    if let Some(after) = after {
        state.watched_index = after;
        list.changed.notify_all();
        let unchanged = |state: &mut ListState| state.is_unchanged_since(after);
        state = list.changed.wait_timeout_while(state, WATCH_HOLD, unchanged).unwrap().0;
    }
    if let Some(malformed) = state.malformed_answer.take() {
        return malformed;
    }
    let is_newer = after.is_none_or(|after| state.index > after);
    if is_newer {
        snapshot_json(state.index, std::slice::from_ref(&state.endpoints))
    } else {
        changes_json(state.index, &[])
    }
}

/// A discovery server whose every answer the test gives: each call is handed to the test and waits for its
/// answer.
pub struct ScriptedDiscoveryServer {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A call that waits for its answer.
pub struct DiscoveryCall {
    /// The request's target, its path with the query.
    pub target: String,
    pub received_at: Instant,
    stream: TcpStream,
    /// When this is dropped, the connection's thread reads the next call.
    _finished: Sender<()>,
}

impl ScriptedDiscoveryServer {
    pub fn start() -> ScriptedDiscoveryServer {
        let (call_sender, calls) = channel();
        let call_sender = Mutex::new(call_sender);
        let address = spawn_server(move |stream| hand_out_calls(stream, &call_sender));
        ScriptedDiscoveryServer { address, calls }
    }

    /// Waits for the next call on any connection.
    pub fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(DEFAULT_TIMEOUT).expect("a call to discovery")
    }
}

/// Hands the calls on one connection to the test, each after the one before has been finished.
fn hand_out_calls(stream: TcpStream, calls: &Mutex<Sender<DiscoveryCall>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_http_message(&mut reader) {
        let target = request.first_line.split(' ').nth(1).unwrap().to_string();
        let (finish_sender, finished) = channel();
        let call = DiscoveryCall {
            target,
            received_at: Instant::now(),
            stream: stream.try_clone().unwrap(),
            _finished: finish_sender,
        };
        if calls.lock().unwrap().send(call).is_err() {
            return;
        }
        let _: Result<(), _> = finished.recv();
    }
}

impl DiscoveryCall {
    /// Whether the call waits for changes, rather than asking for the complete list.
    pub fn is_watch(&self) -> bool {
        self.target.contains("after=")
    }

    /// Answers with status 200 and this body.
    pub fn answer(mut self, body: &str) {
        let _ = self.stream.write_all(ok_response(body).as_bytes());
    }

    /// Writes exactly these bytes and leaves the answer open. Returns whether they could be written.
    pub fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Closes the connection without an answer.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
