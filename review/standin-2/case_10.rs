//! The platform's front at a site where poolers remember the sessions' commits and may not cancel. A client closes its
//! connection while its write runs; the write is served all the same. Then the session reads on a new connection.
mod common;
use common::{Case, Random, free_port, listen, now_ms, release_port, run, sleep_ms};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 40;
const WORK_MS: u64 = 70;
/// How far the replicas are behind.
const LAG_MS: i64 = 600;
/// When the client leaves, counted from its write.
const LEAVES_AFTER_MS: u64 = 30;
/// What an answer tells counts as known 100 ms after it was written; here the read comes later.
const READ_AFTER_ANSWER_MS: u64 = 200;

const SETTINGS: &str = r#"{"balancers":1,"me":0,"discovery":"automatic","zones":["zona-10"],"zone":0,"tenants":[],
 "services":[
  {"name":"catalog-read","target":1.0,"deadline":2.5,"repeat":"repeatable","group":"all","dedup-window":5.0,"worth":3.0,"late-worth":0.2,"stream":false},
  {"name":"own-edit-read","target":0.8,"deadline":2.0,"repeat":"repeatable","group":"all","dedup-window":5.0,"worth":1.0,"late-worth":0.0,"stream":false},
  {"name":"score-write","target":0.6,"deadline":2.0,"repeat":"by_key","group":"cell","dedup-window":1.2,"worth":6.0,"late-worth":0.5,"stream":false}],
 "family-info":{"consistency":["lag_bound","causal","mutate"],"max-age":[0.8,0.0,0.0],"behind":"none","session-marks":"kept",
  "list-role":"none","tells-position":true,"commit-waits":false,"zero":0.0},
 "guarantees":{"cold-share":0.25,"warm-up":16.0,"fall-multiple":4.0,"tip-after":1.0,"stop-sending-within":0.25,"grace-to-answer":0.02},
 "limits":{"may-cancel":false,"probes":false,"second-copies":false,"retry-after":true,"max-retry-after":1.0,"max-attempts":8,
  "connect-timeout":0.25,"conn-idle":15.0,"peer-messages":false,"streams-per-conn":1},
 "report":{"via":"answers","fields":["x0","x1","cpu"]}}"#;

/// The commits of each key: position and value.
type Log = Arc<Mutex<BTreeMap<String, Vec<(i64, u64)>>>>;

/// What happened to the last write of a key at the primary.
#[derive(Clone, Default)]
struct LastWrite {
    value: u64,
    answered: Option<Instant>,
    /// Whether the pooler had closed the connection within 100 ms of the answer.
    closed: bool,
}

struct Host {
    name: String,
    port: u16,
    primary: bool,
    log: Log,
    last_writes: Arc<Mutex<BTreeMap<String, LastWrite>>>,
    record: common::Record,
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&((body.len() + 4) as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

impl Host {
    fn start(self: Arc<Host>) {
        let listener = listen(self.port);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = self.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
        stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
        loop {
            let (kind, body) = read_message(&mut stream)?;
            if kind != b'Q' {
                return None;
            }
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).to_string();
            let key = text.split('\'').nth(1).unwrap_or("").to_string();
            let status = |position: i64| {
                let rank = if self.primary { "source" } else { "copy" };
                let vitals = format!("x0={:.3},x1={},util=0.10", position as f64 / 1e3, u8::from(self.primary));
                [("rank", rank.to_string()), ("as_of", position.to_string()), ("vitals", vitals)]
                    .map(|(name, value)| message(b'S', format!("{name}\0{value}\0").as_bytes()))
                    .concat()
            };
            if text.contains("INSERT") && !self.primary {
                let error = message(b'E', b"SERROR\0C25006\0Mnot the primary\0\0");
                let position = now_ms() - LAG_MS;
                stream.write_all(&[error, status(position), message(b'Z', b"I")].concat()).ok()?;
                continue;
            }
            sleep_ms(WORK_MS);
            let (position, value) = if text.contains("INSERT") {
                let value: u64 = text.split('\'').nth(3).and_then(|value| value.parse().ok()).unwrap_or(0);
                let commit = now_ms();
                self.log.lock().unwrap().entry(key.clone()).or_default().push((commit, value));
                (commit, value)
            } else {
                let position = now_ms() - if self.primary { 0 } else { LAG_MS };
                let log = self.log.lock().unwrap();
                let visible = log.get(&key).into_iter().flatten().filter(|(commit, _)| *commit <= position);
                (position, visible.map(|(_, value)| *value).max().unwrap_or(0))
            };
            let value_text = value.to_string();
            let row = [&1u16.to_be_bytes()[..], &(value_text.len() as u32).to_be_bytes(), value_text.as_bytes()].concat();
            let description = [&1u16.to_be_bytes()[..], b"payload\0", &[0; 18]].concat();
            let answer = [message(b'T', &description), message(b'D', &row), message(b'C', b"SELECT 1\0")].concat();
            let written = stream.write_all(&[answer, status(position), message(b'Z', b"I")].concat());
            let what = if text.contains("INSERT") { "ran a write" } else { "ran a read" };
            self.record.line(&format!("{} {what} of {key}: value {value}, position {position}", self.name));
            written.ok()?;
            if text.contains("INSERT") {
                let answered = Some(Instant::now());
                stream.set_read_timeout(Some(Duration::from_millis(100))).ok()?;
                let closed = matches!(stream.peek(&mut [0]), Ok(0));
                stream.set_read_timeout(None).ok()?;
                self.last_writes.lock().unwrap().insert(key, LastWrite { value, answered, closed });
            }
        }
    }
}

/// Discovery with a list that never changes.
fn start_discovery(list: String) -> u16 {
    let port = free_port();
    let listener = listen(port);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut connection = common::Connection::new(stream);
                while let Some(request) = connection.read() {
                    let wait = request.first_line.split("wait_ms=").nth(1).map(|rest| rest.split(' ').next().unwrap_or("0"));
                    let body = match wait.map(|wait| wait.parse().unwrap_or(0)) {
                        None => format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{list}]}}"),
                        Some(wait) => {
                            sleep_ms(wait);
                            "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}".to_string()
                        }
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
                    if connection.stream.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    port
}

struct Client(TcpStream);

impl Client {
    fn open(port: u16) -> Option<Client> {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
        let body = [&196_608u32.to_be_bytes()[..], b"user\0web\0database\0orders\0\0"].concat();
        stream.write_all(&((body.len() + 4) as u32).to_be_bytes()).ok()?;
        stream.write_all(&body).ok()?;
        let mut client = Client(stream);
        client.answer()?;
        Some(client)
    }

    fn send(&mut self, text: &str) {
        self.0.write_all(&message(b'Q', &[text.as_bytes(), b"\0"].concat())).unwrap();
    }

    /// The value, the code of the error, or nothing, up to ReadyForQuery.
    fn answer(&mut self) -> Option<String> {
        let mut answer = String::new();
        loop {
            match read_message(&mut self.0)? {
                (b'Z', _) => return Some(answer),
                (b'D', body) => answer = String::from_utf8_lossy(&body[6..]).to_string(),
                (b'E', body) => {
                    let code = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
                    answer = format!("error {}", String::from_utf8_lossy(&code.unwrap_or(b"C?")[1..]));
                }
                _ => {}
            }
        }
    }
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_pooler(case: &Case, listen: u16, discovery: u16) -> Running {
    release_port(listen);
    let file = case.temp.join("config.json");
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:{listen}\",\"discovery\":\"127.0.0.1:{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n\"settings\":{SETTINGS}}}"
    );
    fs::write(&file, text).unwrap();
    let deploy = fs::read_to_string(case.root.join("deploy/balancer.toml")).unwrap();
    let command = deploy.lines().find(|line| line.starts_with("run ")).unwrap().split('"').nth(1).unwrap().to_string();
    let log = File::create(case.temp.join("log")).unwrap();
    let child = Command::new("/bin/sh")
        .args(["-c", &command])
        .env("GW_CONFIG", &file)
        .env("GW_NAME", "n0")
        .env("GW_LISTEN", format!("127.0.0.1:{listen}"))
        .env("GW_DISCOVERY", format!("127.0.0.1:{discovery}"))
        .current_dir(&case.root)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the pooler starts");
    Running(child)
}

fn main() {
    run(|case| {
        let log: Log = Arc::default();
        let last_writes = Arc::new(Mutex::new(BTreeMap::new()));
        let mut entries = Vec::new();
        for index in 1..=4 {
            let (name, port) = (format!("s-{index}"), free_port());
            entries.push(format!(
                "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"zona-10\",\"type\":\"std-4\",\"group\":1,\
                 \"status\":\"active\",\"weight\":1.0,\"since_ms\":0}}"
            ));
            let (log, last_writes, record) = (log.clone(), last_writes.clone(), case.record.clone());
            Arc::new(Host { name, port, primary: index == 1, log, last_writes, record }).start();
        }
        let discovery = start_discovery(entries.join(","));
        let clients = free_port();
        let _pooler = start_pooler(case, clients, discovery);
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            if let Some(mut client) = Client::open(clients) {
                client.send("");
                if client.answer().is_some() {
                    break;
                }
            }
            assert!(Instant::now() < end, "the pooler is not ready");
            sleep_ms(50);
        }
        let mut random = Random(now_ms() as u64);
        let mut id = || format!("{:016x}", random.below(u64::MAX));
        let (mut reads, mut broken) = (0, 0);
        for round in 1..=ROUNDS {
            // A few catalog reads, so that the pooler knows the hosts.
            for _ in 0..3 {
                let mut other = Client::open(clients).expect("a connection");
                other.send(&format!("/* id={},c=catalog-read,d=2500,cluster=1 */ SELECT payload FROM entries WHERE ref = 'catalog'", id()));
                other.answer();
            }
            let key = format!("{round:016x}");
            let mut client = Client::open(clients).expect("a connection");
            client.send(&format!(
                "/* id={},c=score-write,d=2000,k={},cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('{key}', '{round}') RETURNING payload",
                id(), id()
            ));
            if case.trouble {
                sleep_ms(LEAVES_AFTER_MS);
                drop(client);
                case.record.line(&format!("the client of {key} closes its connection"));
            } else {
                case.record.line(&format!("the write of {key} is answered: {:?}", client.answer()));
            }
            // Until 200 ms after the primary's answer.
            let end = Instant::now() + Duration::from_millis(2_500);
            let write = loop {
                let write: Option<LastWrite> = last_writes.lock().unwrap().get(&key).cloned();
                if write.is_some() || Instant::now() > end {
                    break write;
                }
                sleep_ms(5);
            };
            let Some(write) = write.filter(|write| !write.closed) else {
                case.record.line(&format!("the pooler closed the connection of the write of {key}, or never sent it: not judged"));
                continue;
            };
            let since = write.answered.unwrap().elapsed().as_millis() as u64;
            sleep_ms(READ_AFTER_ANSWER_MS.saturating_sub(since));
            let mut client = Client::open(clients).expect("a connection");
            client.send(&format!("/* id={},c=own-edit-read,d=2000,cluster=1 */ SELECT payload FROM entries WHERE ref = '{key}'", id()));
            let answer = client.answer().unwrap_or_default();
            case.record.line(&format!("the session of {key} reads: {answer:?}"));
            let Ok(value) = answer.parse::<u64>() else { continue };
            reads += 1;
            if value < write.value {
                broken += 1;
                case.record.line(&format!("BROKEN: the pooler had the answer to the write of {key} (value {}); the read got value {value}", write.value));
            }
        }
        assert!(reads >= 10, "too few reads were judged");
        case.record.say(&format!("{reads} reads of sessions after a write that was served, {broken} without that write"));
        broken == 0
    })
}
