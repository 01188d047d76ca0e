//! Stand-in endpoints and clients that speak SPARQL over HTTP as docs/sparql.md describes it.

use crate::http::{self, Message};
use crate::util::{now_us, sleep_ms};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An operation that reached an endpoint. Polls (`ASK {}`) are not operations.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_us: i64,
    /// The pooler that sent it, by its `Via` header.
    pub via: String,
    /// The group that the client named.
    pub group: String,
    pub is_update: bool,
    /// The text of the operation as it was sent.
    pub text: String,
    pub status: u16,
}

/// An endpoint. A primary's data is at the present; a replica's is `LAG_US` old.
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    /// Names the data that it holds; returned with every read.
    pub data: String,
    primary: AtomicBool,
    /// How long an operation takes.
    work_ms: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
}

/// A replica gets and applies the log within this time.
const LAG_US: i64 = 5_000;

impl Endpoint {
    pub fn start(name: &str, data: &str, primary: bool, work_ms: u64) -> Arc<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = Arc::new(Endpoint {
            name: name.to_string(),
            address: listener.local_addr().expect("an address"),
            data: data.to_string(),
            primary: AtomicBool::new(primary),
            work_ms: AtomicU64::new(work_ms),
            arrivals: Mutex::default(),
        });
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = accepting.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock of the arrivals").clone()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_message(&mut reader)?;
            let response = self.answer(&request);
            writer.write_all(response.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Message) -> String {
        let is_poll = request.first_line.contains("ASK%20%7B%7D");
        let is_update = request.header("content-type") == "application/sparql-update";
        let is_primary = self.primary.load(Ordering::SeqCst);
        let at_us = now_us();
        let status = if is_update && !is_primary { 421 } else { 200 };
        if !is_poll {
            let text = if is_update { request.body.clone() } else { request.first_line.clone() };
            self.arrivals.lock().expect("lock of the arrivals").push(Arrival {
                at_us,
                via: request.header("via").trim_start_matches("1.1 ").to_string(),
                group: request.header("brookpass-group").to_string(),
                is_update,
                text,
                status,
            });
            if status == 200 {
                sleep_ms(self.work_ms.load(Ordering::SeqCst));
            }
        }
        let done_us = now_us();
        // A position is rounded down, the commit of a write up.
        let position = match (is_primary, is_update) {
            (true, true) => (done_us + 999) / 1000,
            (true, false) => done_us / 1000,
            (false, _) => (done_us - LAG_US) / 1000,
        };
        let role = if is_primary { "primary" } else { "replica" };
        let reason = if status == 200 { "OK" } else { "Misdirected Request" };
        let body = if status == 200 { &self.data } else { "not the primary" };
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nBrookpass-Role: {role}\r\n\
             Brookpass-Position: {position}\r\nBrookpass-Load: util=0.20, up=86400\r\n\r\n{body}",
            body.len()
        )
    }
}

/// A query, with a mark by which it is found in the record.
pub fn query(mark: &str, headers: &str) -> String {
    format!("GET /sparql?query=SELECT%20%3F{mark}%20%7B%7D HTTP/1.1\r\nHost: pooler\r\n{headers}\r\n")
}

/// An update, with a mark by which it is found in the record.
pub fn update(mark: &str, headers: &str) -> String {
    let body = format!("INSERT DATA {{ <urn:{mark}> <urn:p> 1 }}");
    format!(
        "POST /sparql HTTP/1.1\r\nHost: pooler\r\nContent-Type: application/sparql-update\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection; the default message (status 0) if there is no answer.
pub fn send(pooler: SocketAddr, request: &str) -> Message {
    http::exchange(pooler, request, Duration::from_secs(4)).unwrap_or_default()
}

/// Waits until the pooler serves all groups.
pub fn is_ready(pooler: SocketAddr) -> bool {
    http::call(pooler, "GET", "/-/ready").status() == 200
}

/// The settings of the example of an operator's file, for `poolers` poolers.
pub fn settings(poolers: usize) -> String {
    format!(
        "settings:
  balancers: {poolers}
  services:
    - {{name: catalog-read, consistency: lag_bound, max-age: 0.8, target: 1.0, deadline: 2.5, worth: 3, late-worth: 0.2, repeat: repeatable}}
    - {{name: own-edit-read, consistency: causal, target: 0.8, deadline: 2.0, worth: 1, late-worth: 0, repeat: repeatable}}
    - {{name: score-write, consistency: mutate, target: 0.6, deadline: 2.0, worth: 6, late-worth: 0.5, repeat: by_key, group: cell, dedup-window: 1.2}}
  limits: {{conn-idle: 15, connect-timeout: 0.25, max-attempts: 8, max-retry-after: 1}}
  guarantees: {{cold-share: 0.25, warm-up: 16, fall-multiple: 4, tip-after: 1}}
  family-info: {{behind: none}}
"
    )
}
