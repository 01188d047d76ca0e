//! What the cases share: files and processes of the pooler, clients and endpoints of the SPARQL front, the record.
//!
//! The endpoints follow `docs/sparql.md`: one group of a primary and replicas, each with four slots. A replica applies
//! the group's log 10 ms late. An update answers with the position of its commit. The group drops the repeat of a key
//! for 1.2 s; the answer to a repeat is that of the first run, with its commit.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const READ_WORK: Duration = Duration::from_millis(150);
pub const WRITE_WORK: Duration = Duration::from_millis(70);
const SLOTS: usize = 4;
const REPLICA_LAG_MS: i64 = 10;
const KEY_WINDOW_MS: i64 = 1_200;

pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small random number generator (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % end
    }
}

/// `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.start.elapsed().as_millis());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Arguments, folder and switches of a case.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

/// Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run. Arguments: the repository's root,
/// the case's folder.
pub fn run(body: impl FnOnce(&Case) -> bool + std::panic::UnwindSafe) -> ! {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let root = arguments.next().expect("the root");
    let folder = arguments.next().expect("the folder of the case");
    let temp = std::env::temp_dir().join(format!("brookpass-review-{}", std::process::id()));
    fs::create_dir_all(&temp).expect("a temporary folder");
    let record = Record::create(&folder.join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { root, temp, record, trouble };
    case.record.say(if trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| body(&case)));
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&case.temp);
    } else {
        println!("kept {}", case.temp.display());
    }
    case.record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}

/// The ports that were given out and are not in use yet, each held by a listener.
static RESERVED: Mutex<Vec<(u16, TcpListener)>> = Mutex::new(Vec::new());

/// A port below those that the system gives to clients, from a hundred of this process's own, so that a port stays free while
/// a pooler that listens there is away. It is held until [`release_port`].
pub fn free_port() -> u16 {
    let mut reserved = RESERVED.lock().unwrap();
    let mut random = Random(now_ms() as u64 ^ (u64::from(std::process::id()) << 32) ^ reserved.len() as u64);
    loop {
        let port = 15_000 + (std::process::id() % 150) as u16 * 100 + random.below(100) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            reserved.push((port, listener));
            return port;
        }
    }
}

/// Frees a port for the process or thread that is about to listen on it.
pub fn release_port(port: u16) {
    RESERVED.lock().unwrap().retain(|(reserved, _)| *reserved != port);
}

/// Listens on a port that [`free_port`] gave.
pub fn listen(port: u16) -> TcpListener {
    release_port(port);
    TcpListener::bind(("127.0.0.1", port)).expect("the port is free")
}

// ---- the pooler ----

pub const SETTINGS: &str = "settings:
  balancers: 1
  services:
    - {name: catalog-read, consistency: lag_bound, max-age: 0.8, target: 1.0, deadline: 2.5, worth: 3, late-worth: 0.2, repeat: repeatable}
    - {name: own-edit-read, consistency: causal, target: 0.8, deadline: 2.0, worth: 1, late-worth: 0, repeat: repeatable}
    - {name: score-write, consistency: mutate, target: 0.6, deadline: 2.0, worth: 6, late-worth: 0.5, repeat: by_key, group: cell, dedup-window: 1.2}
  limits: {conn-idle: 15, connect-timeout: 0.25, max-attempts: 8, max-retry-after: 1}
  guarantees: {cold-share: 0.25, warm-up: 16, fall-multiple: 4, tip-after: 1}
  family-info: {behind: none}
";

/// One node; killed when dropped.
pub struct Pooler {
    child: Child,
    pub name: String,
    pub file: PathBuf,
    pub sparql: u16,
    pub store: u16,
    pub admin: u16,
}

/// Writes the operator's files of `count` nodes of one fleet, without starting them.
pub fn write_nodes(case: &Case, count: usize, endpoints: &[Arc<Endpoint>]) -> Vec<(String, PathBuf, [u16; 3])> {
    write_linked_nodes(case, count, endpoints, |_, _, store| store)
}

/// The same, where the file of node `from` names the port `link(from, to, store of to)` for the node `to`.
pub fn write_linked_nodes(
    case: &Case,
    count: usize,
    endpoints: &[Arc<Endpoint>],
    link: impl Fn(usize, usize, u16) -> u16,
) -> Vec<(String, PathBuf, [u16; 3])> {
    let ports: Vec<[u16; 3]> = (0..count).map(|_| [free_port(), free_port(), free_port()]).collect();
    let mut nodes = Vec::new();
    for (number, [sparql, store, admin]) in ports.iter().enumerate() {
        let name = format!("b{}", number + 1);
        let folder = case.temp.join(&name);
        fs::create_dir_all(&folder).unwrap();
        let mut csv = "name,address,group,zone\n".to_string();
        for endpoint in endpoints {
            csv += &format!("{},127.0.0.1:{},1,zona-10\n", endpoint.name, endpoint.port);
        }
        fs::write(folder.join("hosts.csv"), csv).unwrap();
        let peers: Vec<String> = (0..count)
            .filter(|other| *other != number)
            .map(|other| format!("127.0.0.1:{}", link(number, other, ports[other][1])))
            .collect();
        let text = format!(
            "name: {name}\nnumber: {number}\nsparql:\n  listen: 127.0.0.1:{sparql}\n  path: /sparql\n  host_path: /sparql\n  \
             query: catalog-read\n  session: own-edit-read\n  update: score-write\n  group: 1\n\
             store:\n  listen: 127.0.0.1:{store}\n  peers: [{}]\n  snapshot: fleet.store\n\
             admin: 127.0.0.1:{admin}\ninventory: hosts.csv\nzones: [zona-10]\nsockets: 1024\n{}",
            peers.join(", "),
            SETTINGS.replace("balancers: 1", &format!("balancers: {count}")),
        );
        let file = folder.join("operator.yaml");
        fs::write(&file, text).unwrap();
        nodes.push((name, file, [*sparql, *store, *admin]));
    }
    nodes
}

impl Pooler {
    /// Starts a node with the command `run` of the deploy file.
    pub fn start(case: &Case, node: &(String, PathBuf, [u16; 3])) -> Pooler {
        let (name, file, [sparql, store, admin]) = node.clone();
        [sparql, store, admin].into_iter().for_each(release_port);
        let deploy = fs::read_to_string(case.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find(|line| line.starts_with("run ")).expect("the command run");
        let run = run.split('"').nth(1).expect("the command run").to_string();
        let log = File::options().create(true).append(true).open(file.with_file_name("log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} --operator {}", file.display()))
            .current_dir(&case.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the pooler starts");
        case.record.line(&format!("{name} started, process {}", child.id()));
        Pooler { child, name, file, sparql, store, admin }
    }

    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            let answer = call(self.sparql, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", Duration::from_secs(2));
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            assert!(Instant::now() < end, "the pooler is not ready");
            sleep_ms(50);
        }
    }

    pub fn signal(&self, signal: &str) {
        let command = format!("kill {signal} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal is sent");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_file_name("log")).unwrap_or_default()
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn position(&self) -> i64 {
        self.header("brookpass-position").parse().unwrap_or(0)
    }
}

/// A connection that reads messages with a Content-Length, or in chunks.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(port: u16, timeout: Duration) -> Option<Connection> {
        let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(Connection::new(stream))
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Some(())
            }
            _ => None,
        }
    }

    /// The next message; `None` if the connection ends or the read timeout passes before it is whole.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_string();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_string();
        let status = first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length: usize = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        let body = String::from_utf8_lossy(&self.buffer[..length]).to_string();
        self.buffer.drain(..length);
        Some(Message { first_line, status, headers, body })
    }

    pub fn call(&mut self, request: &str) -> Option<Message> {
        self.stream.write_all(request.as_bytes()).ok()?;
        self.read()
    }
}

pub fn call(port: u16, request: &str, timeout: Duration) -> Option<Message> {
    Connection::open(port, timeout)?.call(request)
}

/// An update of `session` with its sequence number, with a key of its own.
pub fn update(session: &str, sequence: u64) -> String {
    let body = format!("INSERT {session} {sequence}");
    format!(
        "POST /sparql HTTP/1.1\r\nHost: x\r\nContent-Type: application/sparql-update\r\nBrookpass-Group: 1\r\n\
         Brookpass-Class: score-write\r\nBrookpass-Session: {session}\r\nBrookpass-Key: {session}-{sequence}\r\n\
         Brookpass-Time-Left-Ms: 2000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A read of `session` that has to see the commit at `position`.
pub fn own_read(session: &str, position: i64) -> String {
    format!(
        "GET /sparql?query=SELECT%20{session} HTTP/1.1\r\nHost: x\r\nBrookpass-Group: 1\r\n\
         Brookpass-Class: own-edit-read\r\nBrookpass-Session: {session}\r\nBrookpass-Position: {position}\r\n\
         Brookpass-Time-Left-Ms: 2000\r\n\r\n"
    )
}

// ---- links ----

/// One link: forwards connections. While it is cut, open connections stay open and silent, and so do new ones.
pub struct Link {
    pub port: u16,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn to(target: u16) -> Link {
        let port = free_port();
        let listener = listen(port);
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let is_cut = is_cut.clone();
                thread::spawn(move || {
                    wait_while(&is_cut);
                    let Ok(server) = TcpStream::connect(("127.0.0.1", target)) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (client_copy, server_copy) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                    let back = is_cut.clone();
                    thread::spawn(move || forward(server_copy, client_copy, &back));
                    forward(client, server, &is_cut);
                });
            }
        });
        Link { port, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        sleep_ms(2);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 16_384];
    while let Ok(count) = from.read(&mut chunk)
        && count > 0
    {
        wait_while(cut);
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    wait_while(cut);
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

// ---- endpoints ----

#[derive(Clone, Debug)]
pub struct Entry {
    pub commit: i64,
    pub key: String,
    pub session: String,
    pub sequence: u64,
    ran_at: i64,
}

#[derive(Default)]
pub struct Log {
    pub entries: Vec<Entry>,
    /// Commits that a loss of power has taken.
    pub lost: Vec<Entry>,
    /// The position after a loss of power, until the next commit.
    rolled_back_to: Option<i64>,
}

impl Log {
    /// The commit of an earlier run of a key, while the group remembers it.
    fn repeat_of(&self, key: &str) -> Option<i64> {
        let earlier = self.entries.iter().rev().find(|entry| !key.is_empty() && entry.key == key)?;
        (now_ms() - earlier.ran_at < KEY_WINDOW_MS).then_some(earlier.commit)
    }

    fn commit(&mut self, key: &str, session: &str, sequence: u64) -> i64 {
        let now = now_ms();
        let commit = self.entries.last().map_or(now, |last| now.max(last.commit + 1));
        let (key, session) = (key.to_string(), session.to_string());
        self.entries.push(Entry { commit, key, session, sequence, ran_at: now });
        self.rolled_back_to = None;
        commit
    }

    fn position(&self, primary: bool) -> i64 {
        let last = self.entries.last().map_or(0, |last| last.commit);
        let present = if primary { now_ms().max(last) } else { now_ms() - REPLICA_LAG_MS };
        self.rolled_back_to.map_or(present, |end| end.min(present))
    }

    /// The greatest sequence number of a session up to a position; 0 if there is none.
    fn last_of(&self, session: &str, position: i64) -> u64 {
        let visible = self.entries.iter().filter(|entry| entry.commit <= position && entry.session == session);
        visible.map(|entry| entry.sequence).max().unwrap_or(0)
    }

    pub fn has(&self, session: &str, sequence: u64) -> bool {
        self.entries.iter().any(|entry| entry.session == session && entry.sequence == sequence)
    }

    /// Loses the commits of the last `unsynced_ms` before now.
    pub fn lose_tail(&mut self, unsynced_ms: i64) {
        let cut = now_ms() - unsynced_ms;
        let (kept, lost) = self.entries.drain(..).partition(|entry| entry.commit <= cut);
        self.entries = kept;
        self.lost.extend::<Vec<Entry>>(lost);
        self.rolled_back_to = Some(self.entries.last().map_or(cut, |last| last.commit));
    }
}

pub struct Endpoint {
    pub name: String,
    pub port: u16,
    primary: bool,
    pub log: Arc<Mutex<Log>>,
    record: Record,
    slots: Mutex<usize>,
    free_slot: Condvar,
    up: AtomicBool,
    /// When it started, and for how many seconds it had run by then.
    started: Mutex<(Instant, f64)>,
    streams: Mutex<Vec<TcpStream>>,
}

/// Starts a group: the first endpoint is the primary.
pub fn start_group(record: &Record, count: usize) -> Vec<Arc<Endpoint>> {
    let log = Arc::new(Mutex::new(Log::default()));
    let mut endpoints = Vec::new();
    for index in 0..count {
        let endpoint = Arc::new(Endpoint {
            name: format!("s-{}", index + 1),
            port: free_port(),
            primary: index == 0,
            log: log.clone(),
            record: record.clone(),
            slots: Mutex::new(SLOTS),
            free_slot: Condvar::new(),
            up: AtomicBool::new(false),
            started: Mutex::new((Instant::now(), 86_400.0)),
            streams: Mutex::default(),
        });
        endpoint.clone().listen();
        endpoints.push(endpoint);
    }
    endpoints
}

impl Endpoint {
    /// Listens until the power is lost.
    fn listen(self: Arc<Endpoint>) {
        let listener = listen(self.port);
        listener.set_nonblocking(true).unwrap();
        self.up.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            while self.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        self.streams.lock().unwrap().push(stream.try_clone().unwrap());
                        let endpoint = self.clone();
                        thread::spawn(move || endpoint.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Loses the power: nothing listens, and all connections end.
    pub fn power_off(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} loses its power", self.name));
    }

    pub fn power_on(self: &Arc<Endpoint>) {
        *self.started.lock().unwrap() = (Instant::now(), 0.0);
        self.record.line(&format!("{} starts again", self.name));
        self.clone().listen();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read() {
            let Some(answer) = self.answer(&request) else {
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            };
            if !self.up.load(Ordering::SeqCst) || connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn work(&self, time: Duration) {
        let mut free = self.slots.lock().unwrap();
        while *free == 0 {
            free = self.free_slot.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        thread::sleep(time);
        *self.slots.lock().unwrap() += 1;
        self.free_slot.notify_one();
    }

    fn answer(&self, request: &Message) -> Option<String> {
        let session = request.header("brookpass-session");
        if request.first_line.contains("query=ASK%20%7B%7D ") {
            self.record.line(&format!("{} is polled", self.name));
            return Some(self.response(200, None, "true"));
        }
        if request.header("content-type") != "application/sparql-update" {
            self.work(READ_WORK);
            let position = self.log.lock().unwrap().position(self.primary);
            let last = self.log.lock().unwrap().last_of(session, position);
            let via = request.header("via");
            self.record.line(&format!("{} ran a read of {session} by {via}: sees {last}, position {position}", self.name));
            return Some(self.response(200, Some(position), &format!("last={last}")));
        }
        if !self.primary {
            return Some(self.response(421, None, "not the primary"));
        }
        let sequence = request.body.split(' ').nth(2).and_then(|number| number.parse().ok()).unwrap_or(0);
        let key = request.header("brookpass-key");
        let repeated = self.log.lock().unwrap().repeat_of(key);
        if let Some(commit) = repeated {
            self.record.line(&format!("{} dropped the repeat of the update {session} {sequence}, commit {commit}", self.name));
            return Some(self.response(200, Some(commit), "done"));
        }
        // The commit is in the middle of the work.
        self.work(WRITE_WORK / 2);
        if !self.up.load(Ordering::SeqCst) {
            return None;
        }
        let commit = self.log.lock().unwrap().commit(key, session, sequence);
        self.record.line(&format!("{} ran the update {session} {sequence}, commit {commit}", self.name));
        self.work(WRITE_WORK / 2);
        Some(self.response(200, Some(commit), "done"))
    }

    fn response(&self, status: u16, position: Option<i64>, body: &str) -> String {
        let position = position.unwrap_or_else(|| self.log.lock().unwrap().position(self.primary));
        let role = if self.primary { "primary" } else { "replica" };
        let (started, before) = *self.started.lock().unwrap();
        let up = before + started.elapsed().as_secs_f64();
        let util = 1.0 - *self.slots.lock().unwrap() as f64 / SLOTS as f64;
        format!(
            "HTTP/1.1 {status} S\r\nBrookpass-Role: {role}\r\nBrookpass-Position: {position}\r\n\
             Brookpass-Load: util={util:.2}, up={up:.3}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
