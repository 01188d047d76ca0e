//! Stand-ins for the platform's discovery server: one that publishes a list, and one whose responses the test
//! writes itself.

use super::http::{HttpMessage, read_http_message};
use super::network::spawn_server;
use super::waiting::{DEFAULT_TIMEOUT, eventually};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long a watch (a long poll) waits for a change of the list.
const WATCH_HOLD: Duration = Duration::from_secs(1);

/// One entry of an endpoint list; `status` is `active` or `leaving`.
pub fn endpoint_json(name: &str, address: SocketAddr, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":{group},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// The response body with the complete endpoint list.
pub fn snapshot_json(index: u64, endpoints: &[String]) -> String {
    list_json(index, true, endpoints)
}

/// The response body with the entries that changed since the index in the call.
pub fn changes_json(index: u64, endpoints: &[String]) -> String {
    list_json(index, false, endpoints)
}

fn list_json(index: u64, is_snapshot: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

/// A response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The index after which a watch waits for changes; `None` when the call requests the complete list.
pub fn watched_index(request: &HttpMessage) -> Option<u64> {
    let after = request.first_line.split("after=").nth(1)?;
    after.split(['&', ' ']).next()?.parse().ok()
}

/// A discovery server that behaves like the platform's agent: it returns the list at once, and responds to a
/// watch when the list changes.
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
    /// The index in the last watch.
    watched_index: u64,
    /// Body of the next response, in place of the list.
    malformed_response: Option<String>,
}

impl ListState {
    /// Whether a watch for changes after this index has to wait.
    fn is_unchanged_since(&self, index: u64) -> bool {
        self.index <= index && self.malformed_response.is_none()
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

    /// Publishes a list and waits until the program has received it, which its next watch shows.
    pub fn publish(&self, endpoints: &[String]) {
        let mut state = self.list.state.lock().unwrap();
        state.index += 1;
        state.endpoints = endpoints.join(",");
        self.list.changed.notify_all();
        let index = state.index;
        let not_watched = |state: &mut ListState| state.watched_index < index;
        let (_state, wait) =
            self.list.changed.wait_timeout_while(state, DEFAULT_TIMEOUT, not_watched).unwrap();
        assert!(!wait.timed_out(), "no watch for changes after the published list");
    }

    /// Sets the list before the program starts, without waiting for a watch.
    pub fn preset(&self, endpoints: &[String]) {
        let mut state = self.list.state.lock().unwrap();
        state.index = 1;
        state.endpoints = endpoints.join(",");
    }

    /// Responds to the open watch, or else to the next call, with a body that is not a valid list.
    pub fn answer_malformed_once(&self, body: &str) {
        self.list.state.lock().unwrap().malformed_response = Some(body.to_string());
        self.list.changed.notify_all();
    }

    /// Waits until the program watches for changes to the current list.
    pub fn wait_for_watch(&self) {
        eventually("a watch of the current list", || {
            let state = self.list.state.lock().unwrap();
            state.watched_index == state.index && state.malformed_response.is_none()
        });
    }
}

/// Serves the calls on one connection until it closes.
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

/// The body of the response to a call. For a watch, waits up to [`WATCH_HOLD`] until the list changes.
fn next_list(request: &HttpMessage, list: &PublishedList) -> String {
    let after = watched_index(request);
    let mut state = list.state.lock().unwrap();
    if let Some(after) = after {
        state.watched_index = after;
        list.changed.notify_all();
        let unchanged = |state: &mut ListState| state.is_unchanged_since(after);
        state = list.changed.wait_timeout_while(state, WATCH_HOLD, unchanged).unwrap().0;
    }
    if let Some(malformed) = state.malformed_response.take() {
        return malformed;
    }
    let is_newer = after.is_none_or(|after| state.index > after);
    if is_newer {
        snapshot_json(state.index, std::slice::from_ref(&state.endpoints))
    } else {
        changes_json(state.index, &[])
    }
}

/// A discovery server that passes each call to the test and waits until the test responds to it.
pub struct ScriptedDiscoveryServer {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A call without a response so far.
pub struct DiscoveryCall {
    /// The request target: path and query.
    pub target: String,
    pub received_at: Instant,
    stream: TcpStream,
    /// Dropped with the call; the connection's thread then reads the next one.
    _finished: Sender<()>,
}

impl ScriptedDiscoveryServer {
    pub fn start() -> ScriptedDiscoveryServer {
        let (call_sender, calls) = channel();
        let call_sender = Mutex::new(call_sender);
        let address = spawn_server(move |stream| forward_calls(stream, &call_sender));
        ScriptedDiscoveryServer { address, calls }
    }

    /// Waits for the next call on any connection that the program has not given up.
    pub fn next_call(&self) -> DiscoveryCall {
        loop {
            let call =
                self.calls.recv_timeout(DEFAULT_TIMEOUT).expect("the program calls the discovery server");
            if !call.is_given_up() {
                return call;
            }
        }
    }
}

/// Passes the calls on one connection to the test, each after the previous one has been dropped.
fn forward_calls(stream: TcpStream, calls: &Mutex<Sender<DiscoveryCall>>) {
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
    /// Whether the call waits for changes; otherwise it requests the complete list.
    pub fn is_watch(&self) -> bool {
        self.target.contains("after=")
    }

    /// Whether the program has closed the connection.
    pub fn is_given_up(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Responds with status 200 and this body.
    pub fn answer(mut self, body: &str) {
        let _ = self.stream.write_all(ok_response(body).as_bytes());
    }

    /// Writes these bytes as a part of the response. Returns whether they could be written.
    pub fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Closes the connection without a response.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
