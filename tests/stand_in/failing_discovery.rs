//! A discovery server that fails for a while in a chosen way and counts what it is called for.

use super::discovery::{changes_json, ok_response, snapshot_json, watched_index};
use super::http::{HttpMessage, read_http_message};
use rustix::net::sockopt::set_socket_linger;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which the listener checks for connections and for a change of the server's condition.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between two bytes of a response that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);

/// What happens to a call while the server fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// It is never answered, also not after the server has recovered.
    Hang,
    /// Its response arrives a byte at a time and never ends.
    Trickle,
    /// Its connection is reset.
    Reset,
    /// No connection is accepted; the connections of open calls are reset.
    Refuse,
    /// It is answered with a body that is not a list.
    Malformed,
    /// It is answered when the server recovers.
    AnswerAtRecovery,
}

/// How the server treats calls.
#[derive(Clone, Debug)]
enum Condition {
    /// Calls are answered after this delay.
    Answering { delay: Duration },
    /// Calls are answered with this status and no list.
    Rejecting { status: &'static str },
    /// Calls get these faults in turn.
    Failing(Vec<CallFault>),
}

/// An entry of the list, and the index of the list in which it changed last.
struct ListEntry {
    json: String,
    changed_at: u64,
}

struct State {
    condition: Condition,
    /// Number of changes of `condition`. A call that waits for a change of the list falls under the new condition.
    condition_changes: u64,
    index: u64,
    entries: Vec<ListEntry>,
    calls: usize,
    whole_lists: usize,
    open_connections: usize,
    most_open_connections: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A discovery server whose condition the test changes.
pub struct FailingDiscovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FailingDiscovery {
    /// Starts a server that answers calls with this list.
    pub fn start(entries: &[String]) -> FailingDiscovery {
        let entries = entries.iter().map(|json| ListEntry { json: json.clone(), changed_at: 1 }).collect();
        let state = State {
            condition: Condition::Answering { delay: Duration::ZERO },
            condition_changes: 0,
            index: 1,
            entries,
            calls: 0,
            whole_lists: 0,
            open_connections: 0,
            most_open_connections: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = shared.clone();
        thread::spawn(move || accept_connections(listener, address, &accepting));
        FailingDiscovery { address, shared }
    }

    /// From now on calls get these faults in turn.
    pub fn fail(&self, faults: &[CallFault]) {
        self.set_condition(Condition::Failing(faults.to_vec()));
    }

    /// From now on calls are answered with this status.
    pub fn reject(&self, status: &'static str) {
        self.set_condition(Condition::Rejecting { status });
    }

    /// From now on calls are answered after this delay.
    pub fn answer_after(&self, delay: Duration) {
        self.set_condition(Condition::Answering { delay });
    }

    /// From now on new calls are answered at once. Returns when that began.
    pub fn recover(&self) -> Instant {
        let recovered_at = Instant::now();
        self.answer_after(Duration::ZERO);
        recovered_at
    }

    /// Replaces the entry at this position. Returns when.
    pub fn change(&self, position: usize, json: String) -> Instant {
        let mut state = self.state();
        state.index += 1;
        let changed_at = state.index;
        state.entries[position] = ListEntry { json, changed_at };
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Number of calls so far.
    pub fn call_count(&self) -> usize {
        self.state().calls
    }

    /// Number of whole lists that were sent so far.
    pub fn whole_list_count(&self) -> usize {
        self.state().whole_lists
    }

    /// The most connections that were open at once so far.
    pub fn most_open_connections(&self) -> usize {
        self.state().most_open_connections
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    fn set_condition(&self, condition: Condition) {
        let mut state = self.state();
        state.condition = condition;
        state.condition_changes += 1;
        self.shared.changed.notify_all();
    }
}

fn accept_connections(listener: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    listener.set_nonblocking(true).unwrap();
    let mut listening = Some(listener);
    loop {
        let refuses = shared.state.lock().unwrap().refuses_connections();
        if refuses {
            listening = None;
        } else if listening.is_none() {
            let listener = TcpListener::bind(address).unwrap();
            listener.set_nonblocking(true).unwrap();
            listening = Some(listener);
        }
        match listening.as_ref().map(TcpListener::accept) {
            Some(Ok((stream, _))) => {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
            Some(Err(error)) if error.kind() != ErrorKind::WouldBlock => return,
            _ => thread::sleep(ACCEPT_INTERVAL),
        }
    }
}

impl State {
    fn refuses_connections(&self) -> bool {
        matches!(&self.condition, Condition::Failing(faults) if faults.contains(&CallFault::Refuse))
    }

    /// The body of the response to a call for the whole list, or for the changes since `after`.
    fn list(&mut self, after: Option<u64>) -> String {
        let since = after.unwrap_or(0);
        let changed = self.entries.iter().filter(|entry| entry.changed_at > since);
        let entries: Vec<String> = changed.map(|entry| entry.json.clone()).collect();
        if after.is_some() {
            return changes_json(self.index, &entries);
        }
        self.whole_lists += 1;
        snapshot_json(self.index, &entries)
    }
}

impl Shared {
    /// Serves the calls on one connection until it ends.
    fn serve(&self, stream: TcpStream) {
        {
            let mut state = self.state.lock().unwrap();
            state.open_connections += 1;
            state.most_open_connections = state.most_open_connections.max(state.open_connections);
        }
        stream.set_nonblocking(false).unwrap();
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_http_message(&mut reader) {
            if self.answer(&request, &stream).is_none() {
                break;
            }
        }
        self.state.lock().unwrap().open_connections -= 1;
    }

    /// Answers a call according to the server's condition; `None` if the connection has ended.
    fn answer(&self, request: &HttpMessage, mut stream: &TcpStream) -> Option<()> {
        let after = watched_index(request);
        let held_until = Instant::now() + held_for(request);
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        let call = state.calls;
        loop {
            let condition_changes = state.condition_changes;
            match state.condition.clone() {
                Condition::Rejecting { status } => {
                    drop(state);
                    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                    return stream.write_all(response.as_bytes()).ok();
                }
                Condition::Failing(faults) => match faults[call % faults.len()] {
                    CallFault::AnswerAtRecovery => {
                        let unchanged = |state: &mut State| state.condition_changes == condition_changes;
                        state = self.changed.wait_while(state, unchanged).unwrap();
                    }
                    fault => {
                        drop(state);
                        return apply_fault(fault, stream);
                    }
                },
                Condition::Answering { delay } => {
                    let waits = |state: &mut State| {
                        after.is_some_and(|after| state.index <= after)
                            && state.condition_changes == condition_changes
                    };
                    let left = held_until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout_while(state, left, waits).unwrap().0;
                    if state.condition_changes != condition_changes {
                        continue;
                    }
                    let body = state.list(after);
                    drop(state);
                    thread::sleep(delay);
                    return stream.write_all(ok_response(&body).as_bytes()).ok();
                }
            }
        }
    }
}

/// How long the call may be held; zero for the whole list.
fn held_for(request: &HttpMessage) -> Duration {
    let wait = request.first_line.split("wait_ms=").nth(1);
    let millis = wait.and_then(|rest| rest.split(['&', ' ']).next()).and_then(|text| text.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}

/// Applies a fault to a call until its connection has ended.
fn apply_fault(fault: CallFault, mut stream: &TcpStream) -> Option<()> {
    match fault {
        CallFault::Trickle => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n").ok()?;
            loop {
                stream.write_all(b" ").ok()?;
                thread::sleep(TRICKLE_INTERVAL);
            }
        }
        CallFault::Reset | CallFault::Refuse => {
            set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
            None
        }
        CallFault::Malformed => stream.write_all(ok_response("{\"index\":").as_bytes()).ok(),
        CallFault::Hang | CallFault::AnswerAtRecovery => {
            while stream.read(&mut [0; 64]).ok()? > 0 {}
            None
        }
    }
}
