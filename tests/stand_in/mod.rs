//! Stand-ins for what the daemon meets: discovery, hosts and clients, in threads on loopback sockets.
#![allow(dead_code)]

pub mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing here takes so long; a wait that does has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Waits for a condition that another thread brings about.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A folder of the test's own.
pub fn folder(name: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}-{n}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The program under test.
pub struct Daemon {
    pub child: Child,
    lines: Receiver<String>,
    pub seen: Vec<String>,
}

impl Daemon {
    pub fn start(words: &[&str], variables: &[(&str, &str)]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_brookpass"));
        command.args(words).env_remove("GW_CONFIG").envs(variables.iter().copied());
        Daemon::run(command)
    }

    pub fn run(mut command: Command) -> Daemon {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let errors = BufReader::new(child.stderr.take().unwrap());
        let (send, lines) = channel();
        thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| send.send(l)));
        Daemon { child, lines, seen: Vec::new() }
    }

    /// Waits for a log line that holds `text`.
    pub fn line(&mut self, text: &str) -> String {
        loop {
            match self.lines.recv_timeout(PATIENCE) {
                Ok(line) => {
                    self.seen.push(line.clone());
                    if line.contains(text) {
                        return line;
                    }
                }
                Err(e) => panic!("no line with {text:?} ({e}): {:#?}", self.seen),
            }
        }
    }

    /// The address that a log line names after `words`.
    pub fn address(&mut self, words: &str) -> SocketAddr {
        let line = self.line(words);
        let rest = line.split(words).nth(1).unwrap();
        let end = rest.find(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).unwrap_or(rest.len());
        rest[..end].parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the daemon goes on: {:#?}", self.seen);
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Takes connections for as long as the test runs, each in a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Names in the order of the module's ring: a fresh module tries the first one as its primary.
pub fn names<const N: usize>() -> [String; N] {
    let mut members = brookpass::engine::endpoints::EndpointRegistry::default();
    let mut names = std::array::from_fn(|n| format!("host-{n}"));
    names.sort_by_key(|name| members.id(name));
    names
}

/// An address where nobody listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---- HTTP ----

pub use brookpass_testkit::http::{Message as Http, read_partial as read_http};
pub use brookpass_testkit::log_lines;

pub struct HttpClient {
    pub reader: BufReader<TcpStream>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> HttpClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        HttpClient { reader: BufReader::new(stream) }
    }

    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn receive(&mut self) -> Http {
        read_http(&mut self.reader).expect("an answer")
    }

    pub fn call(&mut self, text: &str) -> Http {
        self.send(text);
        self.receive()
    }
}

/// One request on a connection of its own.
pub fn call(address: SocketAddr, text: &str) -> Http {
    HttpClient::connect(address).call(text)
}

// ---- discovery ----

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
                    .first_line
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
                let target = request.first_line.split(' ').nth(1).unwrap().to_string();
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

// ---- PostgreSQL ----

pub fn pg_message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn pg_startup() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0web\0database\0orders\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

pub fn pg_query(text: &str) -> Vec<u8> {
    pg_message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn pg_read(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// A row of one value, from its description to the end of the command.
pub fn pg_row(value: &[u8]) -> Vec<u8> {
    let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
    let described = pg_message(b'T', &[&1u16.to_be_bytes()[..], b"payload\0", &[0; 18]].concat());
    [described, pg_message(b'D', &data), pg_message(b'C', b"SELECT 1\0")].concat()
}

pub fn pg_field(body: &[u8], name: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&name))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// What a host does with a statement.
pub enum Reply {
    Row(&'static [u8]),
    Error(&'static str),
    /// Says nothing until the other side closes.
    Silence,
    /// Ends the connection.
    LogRollback,
    /// Answers, then ends the connection.
    RowThenEnd(&'static [u8]),
    /// Exactly these bytes; the connection stays open.
    Raw(Vec<u8>),
    /// Exactly these bytes, then nothing until the other side closes.
    RawThenSilence(Vec<u8>),
    /// Exactly these bytes, then the end.
    RawThenEnd(Vec<u8>),
    /// Answers once this is told.
    After(Arc<Mutex<Receiver<()>>>, &'static [u8]),
}

/// A host that speaks PostgreSQL's protocol.
pub struct PgHost {
    pub address: SocketAddr,
    pub statements: Arc<Mutex<Vec<String>>>,
    /// A message for each statement that was left unanswered: whether its connection then ended. Also one
    /// for each connection that the host itself has ended after its answer.
    pub dropped: Receiver<bool>,
}

impl PgHost {
    pub fn start(role: &'static str, reply: impl Fn(&str) -> Reply + Send + Sync + 'static) -> PgHost {
        let statements = Arc::new(Mutex::new(Vec::new()));
        let (gone, dropped) = channel();
        let (seen, gone) = (statements.clone(), Mutex::new(gone));
        let address = listen(move |stream| {
            let _ = pg_host(stream, role, &reply, &seen, &gone);
        });
        PgHost { address, statements, dropped }
    }

    pub fn count(&self) -> usize {
        self.statements.lock().unwrap().len()
    }
}

fn pg_host(
    mut stream: TcpStream,
    role: &str,
    reply: &impl Fn(&str) -> Reply,
    seen: &Mutex<Vec<String>>,
    gone: &Mutex<Sender<bool>>,
) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut startup).ok()?;
    let ready = pg_message(b'Z', b"I");
    stream.write_all(&[pg_message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
    loop {
        let (kind, body) = pg_read(&mut stream)?;
        if kind != b'Q' {
            return None;
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        seen.lock().unwrap().push(text.clone());
        let status = |name: &str, value: &str| pg_message(b'S', format!("{name}\0{value}\0").as_bytes());
        let told = [status("rank", role), status("as_of", &now_ms().to_string())].concat();
        let answer = match reply(&text) {
            Reply::RowThenEnd(value) => {
                stream.write_all(&[pg_row(value), told, ready].concat()).ok()?;
                stream.shutdown(std::net::Shutdown::Both).ok()?;
                let _ = gone.lock().unwrap().send(true);
                return None;
            }
            Reply::Row(value) => pg_row(value),
            Reply::Raw(bytes) => {
                stream.write_all(&bytes).ok()?;
                continue;
            }
            Reply::RawThenEnd(bytes) => {
                stream.write_all(&bytes).ok()?;
                stream.shutdown(std::net::Shutdown::Both).ok()?;
                let _ = gone.lock().unwrap().send(true);
                return None;
            }
            Reply::Error(code) => pg_message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
            Reply::LogRollback => return None,
            Reply::RawThenSilence(bytes) => {
                stream.write_all(&bytes).ok()?;
                let ended = !matches!(stream.read(&mut [0]), Ok(n) if n > 0);
                let _ = gone.lock().unwrap().send(ended);
                return None;
            }
            Reply::Silence => {
                let ended = !matches!(stream.read(&mut [0]), Ok(n) if n > 0);
                let _ = gone.lock().unwrap().send(ended);
                return None;
            }
            Reply::After(go, value) => {
                let _ = go.lock().unwrap().recv_timeout(PATIENCE);
                pg_row(value)
            }
        };
        stream.write_all(&[answer, told, ready.clone()].concat()).ok()?;
    }
}

/// What a client was answered, up to ReadyForQuery.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    pub value: Option<Vec<u8>>,
    pub code: Option<String>,
    pub detail: Option<String>,
    pub empty: bool,
    pub fatal: bool,
}

pub struct PgClient {
    pub stream: TcpStream,
}

impl PgClient {
    pub fn connect(address: SocketAddr) -> PgClient {
        let mut client = PgClient::raw(address);
        client.send(&pg_startup());
        assert_eq!(client.answer(), Some(Answer::default()));
        client
    }

    pub fn raw(address: SocketAddr) -> PgClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        PgClient { stream }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The next answer; `None` when the connection has ended.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            match pg_read(&mut self.stream) {
                Some((b'Z', _)) => return Some(answer),
                Some((b'D', body)) => answer.value = Some(body[6..].to_vec()),
                Some((b'I', _)) => answer.empty = true,
                Some((b'E', body)) => {
                    answer.code = pg_field(&body, b'C');
                    answer.detail = pg_field(&body, b'D');
                    answer.fatal = pg_field(&body, b'S').as_deref() == Some("FATAL");
                }
                Some(_) => {}
                None => return (answer != Answer::default()).then_some(answer),
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        self.send(&pg_query(text));
        self.answer().expect("an answer")
    }
}

/// A host whose connections come up when the test says so.
pub struct SlowHost {
    pub address: SocketAddr,
    connections: Receiver<SlowConnection>,
}

/// A connection that is past the pooler's startup message and waits.
pub struct SlowConnection {
    pub stream: TcpStream,
}

impl SlowHost {
    pub fn start() -> SlowHost {
        let (send, connections) = channel();
        let send = Mutex::new(send);
        let address = listen(move |mut stream| {
            let mut length = [0; 4];
            if stream.read_exact(&mut length).is_err() {
                return;
            }
            let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
            if stream.read_exact(&mut startup).is_ok() {
                let _ = send.lock().unwrap().send(SlowConnection { stream });
            }
        });
        SlowHost { address, connections }
    }

    pub fn next(&self) -> SlowConnection {
        self.connections.recv_timeout(PATIENCE).expect("a connection to the host")
    }
}

impl SlowConnection {
    /// Comes up; the first statement on it, or `None` where it ends without one.
    pub fn welcome_then_read(&self) -> Option<String> {
        let mut stream = &self.stream;
        let ready = [pg_message(b'R', &[0; 4]), pg_message(b'Z', b"I")].concat();
        stream.write_all(&ready).ok()?;
        let (kind, body) = pg_read(&mut stream)?;
        (kind == b'Q').then(|| String::from_utf8_lossy(&body[..body.len() - 1]).into_owned())
    }
}
