//! Stand-in score hosts, discovery and clients that speak the platform's protocol.

use crate::http;
use crate::util::{now_us, sleep_ms};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// RowDescription, DataRow and CommandComplete of one column.
fn row(value: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"payload\0");
    description.extend([0; 18]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value.as_bytes());
    [message(b'T', &description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mstand-in\0\0").as_bytes())
}

/// Reads a message after the startup; `None` if the connection ends.
fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// The value of a name in the comment of a statement; empty if it is absent.
pub fn comment_value<'a>(statement: &'a str, name: &str) -> &'a str {
    let comment = statement.split("*/").next().unwrap_or("").trim_start().trim_start_matches("/*").trim();
    comment
        .split(',')
        .find_map(|pair| pair.trim().split_once('=').filter(|(key, _)| *key == name))
        .map_or("", |(_, value)| value)
}

/// How far a score host has applied the log, as Unix time in microseconds. A slow phase makes it fall behind.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// The position at `since_us`.
    pub position_us: i64,
    pub since_us: i64,
    /// Seconds of log applied in a second.
    pub rate: f64,
    /// How far it is behind when it keeps up.
    pub lag_us: i64,
}

impl Log {
    pub fn keeping_up(lag_us: i64) -> Log {
        let now = now_us();
        Log { position_us: now - lag_us, since_us: now, rate: 1.0, lag_us }
    }

    pub fn position(&self, at_us: i64) -> i64 {
        let applied = self.position_us + ((at_us - self.since_us) as f64 * self.rate) as i64;
        applied.min(at_us - self.lag_us)
    }
}

/// A statement that a score host has run or turned away.
#[derive(Clone, Debug)]
pub struct Run {
    pub host: String,
    /// When its last byte had come.
    pub arrived_us: i64,
    /// The position of the data that it was answered from.
    pub position_us: i64,
    pub statement: String,
    pub outcome: &'static str,
    /// How late the connection came up on which it arrived.
    pub late_ms: u64,
    /// Whether it is the first statement of its connection.
    pub first: bool,
}

/// A score host that answers a read from what it has.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub primary: bool,
    log: Mutex<Log>,
    pub work_ms: AtomicU64,
    /// How late each third new connection comes up, in milliseconds; 0: no connection does.
    pub late_ms: AtomicU64,
    connections: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

impl Host {
    pub fn start(name: &str, primary: bool, lag_us: i64, work_ms: u64) -> Arc<Host> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let host = Arc::new(Host {
            name: name.to_string(),
            address: listener.local_addr().expect("an address"),
            primary,
            log: Mutex::new(Log::keeping_up(lag_us)),
            work_ms: AtomicU64::new(work_ms),
            late_ms: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        let accepting = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = accepting.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        host
    }

    /// From now on the log is applied at this rate.
    pub fn set_rate(&self, rate: f64) {
        let now = now_us();
        let mut log = self.log.lock().expect("lock of the log");
        *log = Log { position_us: log.position(now), since_us: now, rate, ..*log };
    }

    pub fn position(&self, at_us: i64) -> i64 {
        self.log.lock().expect("lock of the log").position(at_us)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock of the runs").clone()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let number = self.connections.fetch_add(1, Ordering::SeqCst);
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut startup = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
        stream.read_exact(&mut startup).ok()?;
        let late_ms = if number % 3 == 2 { self.late_ms.load(Ordering::SeqCst) } else { 0 };
        sleep_ms(late_ms);
        stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
        let mut first = true;
        loop {
            let (kind, body) = read_message(&mut stream)?;
            if kind != b'Q' {
                return None;
            }
            let arrived_us = now_us();
            let statement = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let is_write = statement.contains("INSERT");
            let answer = if is_write && !self.primary {
                self.record(arrived_us, arrived_us, &statement, "25006", late_ms, first);
                [error("25006"), self.status(now_us())].concat()
            } else {
                sleep_ms(self.work_ms.load(Ordering::SeqCst));
                // The data is as it is when the work ends.
                let done_us = now_us();
                let position_us = if self.primary { done_us } else { self.position(done_us) };
                self.record(arrived_us, position_us, &statement, "run", late_ms, first);
                [row(&format!("{} at {}", self.name, position_us / 1000)), self.status(done_us)].concat()
            };
            first = false;
            stream.write_all(&[answer, ready()].concat()).ok()?;
        }
    }

    fn record(
        &self,
        arrived_us: i64,
        position_us: i64,
        statement: &str,
        outcome: &'static str,
        late_ms: u64,
        first: bool,
    ) {
        self.runs.lock().expect("lock of the runs").push(Run {
            host: self.name.clone(),
            arrived_us,
            position_us,
            statement: statement.to_string(),
            outcome,
            late_ms,
            first,
        });
    }

    fn status(&self, at_us: i64) -> Vec<u8> {
        let (rank, position_us) =
            if self.primary { ("source", at_us) } else { ("copy", self.position(at_us)) };
        [parameter("rank", rank), parameter("as_of", &(position_us / 1000).to_string())].concat()
    }
}

/// Discovery with a list that does not change. `hosts` are entries in JSON.
pub fn start_discovery(hosts: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let hosts = hosts.join(",");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let hosts = hosts.clone();
            thread::spawn(move || serve_list(stream, &hosts));
        }
    });
    address
}

fn serve_list(stream: TcpStream, hosts: &str) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = http::read_message(&mut reader)?;
        let (snapshot, entries) = if request.first_line.contains("after=") {
            let wait = request.first_line.split("wait_ms=").nth(1).and_then(|rest| rest.split(' ').next());
            sleep_ms(wait.and_then(|text| text.parse().ok()).unwrap_or(1000));
            (false, "")
        } else {
            (true, hosts)
        };
        let body = format!("{{\"index\":1,\"snapshot\":{snapshot},\"endpoints\":[{entries}]}}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

pub fn host_json(host: &Host, group: u32, zone: &str) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"{zone}","type":"large","group":{group},"status":"active","weight":1.0,"since_ms":0}}"#,
        host.name, host.address
    )
}

/// An answer of the pooler, up to ReadyForQuery.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub value: String,
    pub code: String,
    pub empty_query: bool,
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(pooler: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&pooler, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        let mut client = Client { stream };
        let mut body = vec![0, 3, 0, 0];
        body.extend(b"user\0web\0database\0orders\0\0");
        let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
        startup.extend(body);
        client.stream.write_all(&startup).ok()?;
        client.receive()?;
        Some(client)
    }

    pub fn send(&mut self, statement: &str) -> Option<()> {
        self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes())).ok()
    }

    /// The next answer; `None` if the connection ends or nothing comes in time.
    pub fn receive(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let (kind, body) = read_message(&mut self.stream)?;
            match kind {
                b'Z' => return Some(answer),
                b'D' => answer.value = String::from_utf8_lossy(body.get(6..).unwrap_or(&[])).into_owned(),
                b'I' => answer.empty_query = true,
                b'E' => {
                    let code = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
                    answer.code =
                        code.map_or(String::new(), |code| String::from_utf8_lossy(&code[1..]).into_owned());
                }
                _ => {}
            }
        }
    }

    pub fn query(&mut self, statement: &str) -> Option<Answer> {
        self.send(statement)?;
        self.receive()
    }
}

/// Whether the pooler answers the empty query as the front asks it.
pub fn is_ready(pooler: SocketAddr) -> bool {
    Client::connect(pooler).and_then(|mut client| client.query("")).is_some_and(|answer| answer.empty_query)
}
