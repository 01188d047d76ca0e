//! Stand-ins for the platform's discovery server.

use super::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct PeerObservation {
    index: u64,
    endpoints: String,
    /// The version after which the last watch asked.
    asked_after: u64,
    broken: Option<String>,
}

/// Discovery, as the platform's agent answers.
pub struct Discovery {
    told: Arc<(Mutex<PeerObservation>, Condvar)>,
    pub address: SocketAddr,
}

pub fn endpoint(name: &str, address: SocketAddr, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":{group},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

impl Discovery {
    pub fn start() -> Discovery {
        let told = Arc::new((Mutex::new(PeerObservation::default()), Condvar::new()));
        let shared = told.clone();
        let address = listen(move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_http(&mut reader) {
                let (lock, changed) = &*shared;
                let mut told = lock.lock().unwrap();
                let after = request
                    .first
                    .split("after=")
                    .nth(1)
                    .and_then(|t| t.split(['&', ' ']).next()?.parse().ok());
                if let Some(after) = after {
                    told.asked_after = after;
                    changed.notify_all();
                    let waits = |t: &mut PeerObservation| t.index <= after && t.broken.is_none();
                    told = changed.wait_timeout_while(told, Duration::from_secs(1), waits).unwrap().0;
                }
                let fresh = after.is_none_or(|a| told.index > a);
                let list = if fresh { told.endpoints.clone() } else { String::new() };
                let body = told.broken.take().unwrap_or_else(|| {
                    format!(r#"{{"index":{},"snapshot":{fresh},"endpoints":[{list}]}}"#, told.index)
                });
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                drop(told);
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Discovery { told, address }
    }

    /// Publishes a list, and comes back once the daemon has it: its next watch asks after it.
    pub fn publish(&self, endpoints: &[String]) {
        let (lock, changed) = &*self.told;
        let mut told = lock.lock().unwrap();
        told.index += 1;
        told.endpoints = endpoints.join(",");
        changed.notify_all();
        let index = told.index;
        let (_guard, late) = changed.wait_timeout_while(told, PATIENCE, |t| t.asked_after < index).unwrap();
        assert!(!late.timed_out(), "the daemon did not ask again");
    }

    /// Sets the list before anybody asks.
    pub fn preset(&self, endpoints: &[String]) {
        let mut told = self.told.0.lock().unwrap();
        (told.index, told.endpoints) = (1, endpoints.join(","));
    }

    /// Answers the next call with something that is no list.
    pub fn break_once(&self, body: &str) {
        self.told.0.lock().unwrap().broken = Some(body.to_string());
        self.told.1.notify_all();
    }

    pub fn wait_for_watch(&self) {
        eventually("a watch", || {
            let told = self.told.0.lock().unwrap();
            told.asked_after == told.index && told.broken.is_none()
        });
    }
}

/// A list in discovery's form.
pub fn list_text(index: u64, whole: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, endpoints.join(","))
}

/// Discovery whose every answer is the test's: each call is handed out and waits for it.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A call that waits for its answer.
pub struct DiscoveryCall {
    /// The request's target.
    pub target: String,
    pub came: Instant,
    stream: TcpStream,
    /// Dropped: the connection takes the next call.
    _next: Sender<()>,
}

impl ScriptedDiscovery {
    pub fn start() -> ScriptedDiscovery {
        let (send, calls) = channel();
        let send = Mutex::new(send);
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(request) = read_http(&mut reader) {
                let target = request.first.split(' ').nth(1).unwrap().to_string();
                let (next, answered) = channel();
                let (came, stream) = (Instant::now(), stream.try_clone().unwrap());
                if send.lock().unwrap().send(DiscoveryCall { target, came, stream, _next: next }).is_err() {
                    return;
                }
                let _: Result<(), _> = answered.recv();
            }
        });
        ScriptedDiscovery { address, calls }
    }

    pub fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(PATIENCE).expect("a call to discovery")
    }
}

impl DiscoveryCall {
    pub fn is_watch(&self) -> bool {
        self.target.contains("after=")
    }

    pub fn answer(mut self, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Exactly these bytes, and no end.
    pub fn raw(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Ends the connection without an answer.
    pub fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}
