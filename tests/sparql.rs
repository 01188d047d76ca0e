//! The program with an operator's file: SPARQL over HTTP, against stand-in hosts that lag on purpose.

mod stand_in;

use stand_in::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// What a host does with an operation.
enum Does {
    Answer(u16, &'static str, String),
    /// The answer's own position, whatever the host's is.
    AnswerFrom(i64, String),
    LogRollback,
    Silence,
    /// Begins a long answer; ends it, or breaks off.
    Long(usize, bool),
    /// Begins a long answer, then says nothing until the other side closes.
    LongThenSilence(usize),
    /// Answers without a length, and resets the connection.
    ResetWithoutLength,
}

/// A host that speaks SPARQL over HTTP and answers from whatever data it has.
struct Host {
    address: SocketAddr,
    primary: Arc<AtomicBool>,
    /// How far its data trails, in milliseconds.
    lag: Arc<AtomicI64>,
    operations: Arc<Mutex<Vec<Http>>>,
    /// A message for each operation that was left unanswered: whether its connection then ended.
    dropped: Receiver<bool>,
}

fn serve(
    stream: TcpStream,
    primary: &AtomicBool,
    lag: &AtomicI64,
    seen: &Mutex<Vec<Http>>,
    gone: &Mutex<std::sync::mpsc::Sender<bool>>,
    does: &impl Fn(&Http) -> Option<Does>,
) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_http(&mut reader) {
        let probe = request.first_line.contains("ASK%20%7B%7D ");
        if !probe {
            seen.lock().unwrap().push(request.clone());
        }
        let role = if primary.load(Ordering::SeqCst) { "primary" } else { "replica" };
        let mut position = now_ms() - lag.load(Ordering::SeqCst);
        let update = request.header("content-type") == Some("application/sparql-update");
        let done = if probe { None } else { does(&request) };
        // By itself an answer's text is the position of the data that it was made from.
        let done = done.unwrap_or_else(|| {
            if update && role != "primary" {
                Does::Answer(421, "text/plain", "not the primary".into())
            } else {
                Does::Answer(200, "text/plain", position.to_string())
            }
        });
        let (status, kind, body) = match done {
            Does::Answer(status, kind, body) => (status, kind, body),
            Does::AnswerFrom(at, body) => {
                position = at;
                (200, "text/plain", body)
            }
            Does::LogRollback => return None,
            Does::Silence => {
                let _ = gone.lock().unwrap().send(read_http(&mut reader).is_none());
                return None;
            }
            Does::ResetWithoutLength => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nBrookpass-Role: {role}\r\nBrookpass-Position: {position}\r\n\r\n"
                );
                writer.write_all(head.as_bytes()).ok()?;
                writer.write_all(b"half of it").ok()?;
                // A close without lingering is a reset.
                rustix::net::sockopt::set_socket_linger(&writer, Some(std::time::Duration::ZERO)).ok()?;
                return None;
            }
            Does::LongThenSilence(size) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nBrookpass-Role: {role}\r\n\
                     Brookpass-Position: {position}\r\n\r\n"
                );
                writer.write_all(head.as_bytes()).ok()?;
                writer.write_all(&vec![b'x'; size - 1]).ok()?;
                let _ = gone.lock().unwrap().send(read_http(&mut reader).is_none());
                return None;
            }
            Does::Long(size, ends) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nBrookpass-Role: {role}\r\n\
                     Brookpass-Position: {position}\r\n\r\n"
                );
                writer.write_all(head.as_bytes()).ok()?;
                let part = if ends { size } else { size - 1 };
                writer.write_all(&vec![b'x'; part]).ok()?;
                if !ends {
                    return None;
                }
                continue;
            }
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nBrookpass-Role: {role}\r\n\
             Brookpass-Position: {position}\r\nBrookpass-Load: util=0.2\r\n\r\n",
            body.len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(body.as_bytes()).ok()?;
    }
    Some(())
}

impl Host {
    fn start(primary: bool, lag: i64, does: impl Fn(&Http) -> Option<Does> + Send + Sync + 'static) -> Host {
        let (primary, lag) = (Arc::new(AtomicBool::new(primary)), Arc::new(AtomicI64::new(lag)));
        let operations = Arc::new(Mutex::new(Vec::new()));
        let (gone, dropped) = channel();
        let (p, l, seen, gone) = (primary.clone(), lag.clone(), operations.clone(), Mutex::new(gone));
        let address = listen(move |stream| {
            let _ = serve(stream, &p, &l, &seen, &gone, &does);
        });
        Host { address, primary, lag, operations, dropped }
    }

    fn plain(primary: bool, lag: i64) -> Host {
        Host::start(primary, lag, |_| None)
    }

    fn count(&self) -> usize {
        self.operations.lock().unwrap().len()
    }
}

fn inventory(hosts: &[(&str, SocketAddr)]) -> String {
    let lines = hosts.iter().map(|(name, address)| format!("{name},{address},1\n"));
    "name,address,group\n".to_string() + &lines.collect::<String>()
}

/// An operator's file beside an inventory; the folder.
fn files(name: &str, hosts: &[(&str, SocketAddr)], peers: &[SocketAddr]) -> PathBuf {
    let folder = folder(name);
    std::fs::write(folder.join("hosts.csv"), inventory(hosts)).unwrap();
    let peers = peers.iter().map(|p| p.to_string()).collect::<Vec<_>>().join(", ");
    let text = include_str!("../deploy/operator.yaml")
        .replace("127.0.0.1:8890", "127.0.0.1:0")
        .replace("127.0.0.1:8891", "127.0.0.1:0")
        .replace("127.0.0.1:8892", "127.0.0.1:0")
        .replace("name: b1", &format!("name: {name}"))
        .replace("peers: []", &format!("peers: [{peers}]"))
        .replace("inventory: inventory.yaml", "inventory: hosts.csv");
    std::fs::write(folder.join("operator.yaml"), text).unwrap();
    folder
}

struct Running {
    daemon: Daemon,
    store: SocketAddr,
    front: SocketAddr,
}

fn start(folder: &Path) -> Running {
    let file = folder.join("operator.yaml");
    let mut daemon = Daemon::start(&["--operator", file.to_str().unwrap()], &[]);
    let store = daemon.address(log_lines::STORE_LISTENING);
    let front = daemon.address(log_lines::SPARQL_LISTENING);
    eventually("ready", || call(front, "GET /-/ready HTTP/1.1\r\n\r\n").status() == 200);
    Running { daemon, store, front }
}

fn query(headers: &str) -> String {
    format!("GET /sparql?query=SELECT%20%2A HTTP/1.1\r\nHost: b\r\n{headers}\r\n")
}

fn update(headers: &str) -> String {
    format!(
        "POST /sparql HTTP/1.1\r\nHost: b\r\nContent-Type: application/sparql-update\r\nContent-Length: 9\r\n{headers}\r\nCLEAR ALL"
    )
}

/// Whether an answer's data, its text, is from a point in time that its read did not allow.
fn is_stale(answer: &Http, sent_at: i64, allowed: i64) -> bool {
    answer.text().parse::<i64>().unwrap() < sent_at - allowed
}

/// Guards against a SPARQL front that operators cannot watch, take out and bring back as they do on the platform.
#[test]
fn the_operators_door_counts_drains_and_brings_back_the_sparql_front() {
    let primary = Host::plain(true, 0);
    let mut running = start(&files("door", &[("p", primary.address)], &[]));
    let door =
        running.daemon.seen.iter().find_map(|l| l.split(log_lines::ADMIN_LISTENING).nth(1)?.parse().ok());
    let door: SocketAddr = door.unwrap_or_else(|| running.daemon.address(log_lines::ADMIN_LISTENING));
    let call_door = |method: &str, path: &str| call(door, &format!("{method} {path} HTTP/1.1\r\n\r\n"));
    let mut client = HttpClient::connect(running.front);
    assert_eq!(client.call(&query("")).status(), 200);
    assert_eq!(client.call(&update("Brookpass-Key: 7\r\n")).status(), 200);
    let told = call_door("GET", "/v1/metrics").text();
    for line in ["svc.success.catalog-read:1|c", "svc.success.score-write:1|c", "svc.error.own-edit-read:0|c"]
    {
        assert!(told.lines().any(|l| l == line), "{line} in {told}");
    }
    assert!(told.contains("svc.dispatches:2|c") && told.contains("svc.targets:1|g"), "{told}");
    for line in ["svc.fleet.members:1|g", "svc.fleet.leads:1|g", "svc.fleet.lag:0|g", "svc.fleet.panics:0|c"]
    {
        assert!(told.lines().any(|l| l == line), "{line} in {told}");
    }
    assert_eq!(call_door("PUT", "/v1/pooler/drain").status(), 200);
    assert_eq!(client.call(&query("")).status(), 200, "what is taken is answered");
    assert_eq!(call(running.front, "GET /-/ready HTTP/1.1\r\n\r\n").status(), 503);
    assert!(read_http(&mut client.reader).is_none(), "then its connection ends");
    assert_eq!(call_door("PUT", "/v1/pooler/activate").status(), 200);
    assert_eq!(call(running.front, "GET /-/ready HTTP/1.1\r\n\r\n").status(), 200);
    assert_eq!(call(running.front, &query("")).status(), 200);
}

/// The operators' hard case. Replicas lag past 800 ms while reads go on, and answer from what they have.
#[test]
fn no_read_is_stale_while_replicas_lag_on_purpose() {
    let primary = Host::plain(true, 0);
    let replicas = [Host::plain(false, 20), Host::plain(false, 30)];
    let hosts = [("p", primary.address), ("r1", replicas[0].address), ("r2", replicas[1].address)];
    let running = start(&files("lag", &hosts, &[]));
    let mut client = HttpClient::connect(running.front);
    let mut served = [0; 3];
    for (round, lags) in [(20, 30), (1500, 30), (2500, 4000), (700, 5000), (20, 30)].into_iter().enumerate() {
        for (replica, lag) in replicas.iter().zip([lags.0, lags.1]) {
            replica.lag.store(lag, Ordering::SeqCst);
        }
        for n in 0..60 {
            let sent_at = now_ms();
            // Every third read belongs to a session that has just written.
            let own = n % 3 == 2;
            let token = format!("Brookpass-Position: {}\r\nBrookpass-Session: s\r\n", sent_at - 300);
            let answer = client.call(&query(if own { &token } else { "" }));
            assert_eq!(answer.status(), 200, "round {round}: {}", answer.text());
            let allowed = if own { 300 } else { 800 };
            assert!(!is_stale(&answer, sent_at, allowed), "round {round}: {} at {sent_at}", answer.text());
        }
        let counts = [primary.count(), replicas[0].count(), replicas[1].count()];
        served = [counts[0] - served[0], counts[1] - served[1], counts[2] - served[2]];
        if round == 0 {
            assert!(served[1] + served[2] > served[0], "fresh replicas carry the reads: {served:?}");
        }
        served = counts;
    }
    // The checker can fail: a lagging host that is asked directly gives what it calls stale.
    replicas[0].lag.store(1500, Ordering::SeqCst);
    let sent_at = now_ms();
    assert!(is_stale(&call(replicas[0].address, &query("")), sent_at, 800));
    assert!(!is_stale(&call(primary.address, &query("")), sent_at, 800));
}

/// Guards against a replica that went back: it was known as fresh, then came up from an old copy.
#[test]
fn an_answer_that_is_older_than_its_read_allows_is_dropped() {
    let old = Arc::new(AtomicBool::new(false));
    let went_back = old.clone();
    let primary = Host::plain(true, 0);
    let replica = Host::start(false, 10, move |_| {
        let at = now_ms() - 7_000;
        went_back.load(Ordering::SeqCst).then(|| Does::AnswerFrom(at, at.to_string()))
    });
    let running = start(&files("back", &[("p", primary.address), ("r", replica.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    eventually("the replica serves", || {
        client.call(&query(""));
        replica.count() > 3
    });
    old.store(true, Ordering::SeqCst);
    let (asked, before) = (replica.count(), primary.count());
    for _ in 0..20 {
        let sent_at = now_ms();
        let answer = client.call(&query(""));
        assert_eq!(answer.status(), 200);
        assert!(!is_stale(&answer, sent_at, 800), "{}", answer.text());
    }
    assert!(replica.count() > asked, "the replica was believed, and its answer was dropped");
    assert!(primary.count() > before);
}

#[test]
fn operations_and_content_pass_through_in_every_form() {
    let does = |request: &Http| {
        (request.header("accept") == Some("text/csv"))
            .then(|| Does::Answer(200, "text/csv", "a,b\r\n".into()))
    };
    let host = Host::start(true, 0, does);
    let running = start(&files("forms", &[("p", host.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    let post = |kind: &str, body: &str| {
        format!(
            "POST /sparql?default-graph-uri=urn:g HTTP/1.1\r\nAccept: text/csv\r\nContent-Type: {kind}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let form = "application/x-www-form-urlencoded";
    for (text, class) in [
        (query("Accept: text/csv\r\n"), "catalog-read"),
        (post(form, "query=ASK+%7B%7D"), "catalog-read"),
        (post("application/sparql-query", "ASK {}"), "catalog-read"),
        (post(form, "update=CLEAR+ALL"), "score-write"),
        (post("application/sparql-update", "CLEAR ALL"), "score-write"),
    ] {
        let answer = client.call(&text);
        assert_eq!((answer.status(), answer.header("content-type")), (200, Some("text/csv")), "{text}");
        assert_eq!(answer.body, b"a,b\r\n");
        assert!(answer.header("brookpass-position").is_some() && answer.header("brookpass-load").is_none());
        let seen = host.operations.lock().unwrap().last().cloned().unwrap();
        assert_eq!(seen.first_line, text.lines().next().unwrap());
        assert_eq!(seen.text(), text.split("\r\n\r\n").nth(1).unwrap());
        let write = seen.header("content-type").is_some_and(|_| class == "score-write");
        assert_eq!(write, class == "score-write", "{text}");
    }
    // A host's word on the operation itself is the client's answer.
    let host = Host::start(true, 0, |_| Some(Does::Answer(400, "text/plain", "no SPARQL".into())));
    let running = start(&files("words", &[("p", host.address)], &[]));
    let answer = call(running.front, &query(""));
    assert_eq!((answer.status(), answer.text().as_str()), (400, "no SPARQL"));
    for (text, status) in [
        ("GET /sparql HTTP/1.1\r\n\r\n".to_string(), 400),
        ("GET /elsewhere HTTP/1.1\r\n\r\n".into(), 404),
        ("DELETE /sparql HTTP/1.1\r\n\r\n".into(), 405),
        (query("Brookpass-Class: none\r\n"), 400),
        (update("Brookpass-Class: catalog-read\r\n"), 400),
        (query("Brookpass-Class: catalog-read\r\nBrookpass-Position: 5\r\n"), 400),
        (query("Brookpass-Group: 9\r\n"), 404),
        ("POST /sparql HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".into(), 413),
        (format!("GET /sparql?query={} HTTP/1.1\r\n\r\n", "x".repeat(40_000)), 431),
        (
            "GET /sparql?query=a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            400,
        ),
    ] {
        let before = host.count();
        assert_eq!(call(running.front, &text).status(), status, "{:.80}", text);
        assert_eq!(host.count(), before, "it goes nowhere");
    }
}

/// The operators' other hard case.
#[test]
fn a_client_that_drops_its_connection_ends_the_attempt() {
    let host = Host::start(true, 0, |_| Some(Does::Silence));
    let running = start(&files("drop", &[("p", host.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    // The deadline lies far beyond the test's patience: it is not what ends the attempt.
    client.send(&update("Brookpass-Time-Left-Ms: 600000\r\n"));
    eventually("the host has the operation", || host.count() == 1);
    drop(client);
    assert_eq!(host.dropped.recv_timeout(PATIENCE), Ok(true), "the attempt's connection is closed");
}

#[test]
fn refused_failed_and_late_have_their_statuses() {
    let late = Host::start(true, 0, |_| Some(Does::Silence));
    let running = start(&files("late", &[("p", late.address)], &[]));
    assert_eq!(call(running.front, &update("Brookpass-Time-Left-Ms: 200\r\n")).status(), 504);
    let full = Host::start(true, 0, |_| Some(Does::Answer(503, "text/plain", "full".into())));
    let running = start(&files("full", &[("p", full.address)], &[]));
    let answer = call(running.front, &update("Brookpass-Time-Left-Ms: 700\r\n"));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").unwrap().parse::<u32>().unwrap() >= 1);
    assert!(answer.header("brookpass-retry-after-ms").unwrap().parse::<u32>().unwrap() >= 1);
    let bad = Host::start(true, 0, |_| Some(Does::Answer(500, "text/plain", "broken".into())));
    let running = start(&files("failed", &[("p", bad.address)], &[]));
    assert_eq!(call(running.front, &update("")).status(), 502);
    assert_eq!(bad.count(), 1, "it may have run, and nobody drops a repeat without a key");
}

/// Guards against a write that runs twice, and against one that is lost though it never ran.
#[test]
fn a_write_without_a_key_is_repeated_only_where_it_never_ran() {
    let breaks = Host::start(true, 0, |_| Some(Does::LogRollback));
    let running = start(&files("once", &[("p", breaks.address)], &[]));
    assert_eq!(call(running.front, &update("Brookpass-Time-Left-Ms: 1500\r\n")).status(), 502);
    assert_eq!(breaks.count(), 1);
    let keyed = Host::start(true, 0, |_| Some(Does::LogRollback));
    let running = start(&files("keyed", &[("p", keyed.address)], &[]));
    let answer = call(running.front, &update("Brookpass-Key: k1\r\nBrookpass-Time-Left-Ms: 1900\r\n"));
    assert_ne!(answer.status(), 200);
    assert!(keyed.count() >= 2, "with a key its set drops the repeat");

    // One host is down and one is no primary: neither has run the write.
    let (replica, primary) = (Host::plain(false, 0), Host::plain(true, 0));
    let [a, b, c] = names();
    let hosts = [(a.as_str(), nobody()), (b.as_str(), replica.address), (c.as_str(), primary.address)];
    let folder = files("never", &hosts, &[]);
    // Nobody is asked who is primary, so the write tries them in the order of the ring.
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("max-attempts: 8", "max-attempts: 8\n    probes: false")).unwrap();
    let running = start(&folder);
    assert_eq!(call(running.front, &update("")).status(), 200);
    assert_eq!((replica.count(), primary.count()), (1, 1));
}

/// Guards against an answer that a client takes for whole though its host broke off.
#[test]
fn a_long_answer_is_passed_on_and_one_cut_short_shows_it() {
    const SIZE: usize = 3_000_000;
    let ends = Arc::new(AtomicBool::new(true));
    let whole = ends.clone();
    let host = Host::start(true, 0, move |_| Some(Does::Long(SIZE, whole.load(Ordering::SeqCst))));
    let running = start(&files("long", &[("p", host.address)], &[]));
    let answer = call(running.front, &update(""));
    assert_eq!((answer.status(), answer.body.len(), answer.is_complete), (200, SIZE, true));
    ends.store(false, Ordering::SeqCst);
    let answer = call(running.front, &update(""));
    assert_eq!((answer.status(), answer.is_complete), (200, false));
    assert!(answer.body.len() < SIZE);
    // One that is short enough to be held back is never begun: the client gets a status instead.
    let short = Host::start(true, 0, |_| Some(Does::Long(1000, false)));
    let running = start(&files("short", &[("p", short.address)], &[]));
    assert_eq!(call(running.front, &update("")).status(), 502);
}

/// Guards against a drain that is not heard: at once here, soon at the peers, and after a restart.
#[test]
fn a_drain_holds_here_at_peers_and_after_a_restart_without_disk() {
    let (one, two) = (Host::plain(true, 0), Host::plain(true, 0));
    let hosts = [("one", one.address), ("two", two.address)];
    let a = start(&files("a", &hosts, &[]));
    let folder = files("b", &hosts, &[a.store]);
    let mut b = start(&folder);
    let drain = |at: SocketAddr, what: &str| {
        call(at, &format!("POST /{what} HTTP/1.1\r\nContent-Length: 0\r\n\r\n")).status()
    };
    assert_eq!(drain(b.store, "drain/nobody"), 404);
    assert_eq!(call(b.store, "POST /drain/one HTTP/1.1\r\nOrigin: http://x\r\n\r\n").status(), 403);
    let leaves = |at: SocketAddr| {
        let text = call(at, "GET /hosts HTTP/1.1\r\n\r\n").text();
        text.lines().any(|l| l.starts_with("one ") && l.contains(" leaving "))
    };
    assert!(!leaves(a.store) && !leaves(b.store));
    assert_eq!(drain(b.store, "drain/one"), 200);
    assert!(leaves(b.store));
    let before = one.count();
    for _ in 0..10 {
        assert_eq!(call(b.front, &query("")).status(), 200);
    }
    assert_eq!(one.count(), before, "a local drain acts at once");
    eventually("the peer hears of it", || leaves(a.store));
    b.daemon.signal("-KILL");
    b.daemon.wait();
    let b = start(&folder);
    eventually("the restarted daemon has caught up", || leaves(b.store));
    assert_eq!(drain(b.store, "undrain/one"), 200);
    eventually("a later word wins everywhere", || !leaves(a.store) && !leaves(b.store));
}

/// Configuration is kept in the store: a daemon that states none has its peers'.
#[test]
fn settings_and_hosts_come_from_a_peer_where_the_file_has_none() {
    let host = Host::plain(true, 0);
    let a = start(&files("giver", &[("one", host.address)], &[]));
    let folder = files("taker", &[("one", nobody())], &[a.store]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    let bare = text.split("\nsettings:").next().unwrap().replace("inventory: hosts.csv\n", "");
    std::fs::write(&file, bare + "\n").unwrap();
    let b = start(&folder);
    assert_eq!(call(b.front, &query("")).status(), 200);
    assert_eq!(host.count(), 1);
}

/// Guards against a half-written inventory that takes hosts away, and against a daemon that starts with one.
#[test]
fn an_inventory_is_reloaded_whole_or_not_at_all() {
    let (one, two) = (Host::plain(true, 0), Host::plain(false, 0));
    let folder = files("reload", &[("one", one.address)], &[]);
    let mut running = start(&folder);
    let names = |r: &Running| {
        let text = call(r.store, "GET /hosts HTTP/1.1\r\n\r\n").text();
        text.lines().filter_map(|l| l.split(' ').next().map(str::to_string)).collect::<Vec<_>>()
    };
    assert_eq!(names(&running), ["one"]);
    let file = folder.join("hosts.csv");
    std::fs::write(&file, "name,address,group\ntwo,nowhere,1\n").unwrap();
    running.daemon.signal("-HUP");
    let line = running.daemon.line(log_lines::INVENTORY_KEPT);
    assert!(line.contains("hosts.csv: line 2"), "{line}");
    assert_eq!(names(&running), ["one"]);
    std::fs::write(&file, inventory(&[("one", one.address), ("two", two.address)])).unwrap();
    eventually("the new host is listed", || names(&running) == ["one", "two"]);
    let text = call(running.store, "GET /hosts HTTP/1.1\r\n\r\n").text();
    let since: Vec<i64> = text.lines().map(|l| l.rsplit(' ').next().unwrap().parse().unwrap()).collect();
    assert_eq!(since[0], 0, "it was there from the start");
    assert!(now_ms() - since[1] < 60_000, "one that is new to a running inventory starts cold: {text}");
}

/// Guards against a new host that is pushed over: until it is warm it gets what it bears for certain.
#[test]
fn a_host_new_to_a_running_inventory_is_spared() {
    let (primary, old, new) = (Host::plain(true, 0), Host::plain(false, 0), Host::plain(false, 0));
    let folder = files("cold", &[("p", primary.address), ("old", old.address)], &[]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    // Hosts that check reads themselves are tried without being asked first.
    let strict =
        text.replace("cold-share: 0.25", "cold-share: 0.05").replace("behind: none", "behind: await");
    std::fs::write(&file, strict.replace("fall-multiple: 4", "fall-multiple: 1")).unwrap();
    let running = start(&folder);
    let mut client = HttpClient::connect(running.front);
    let mut ask = |times: usize| (0..times).for_each(|_| assert_eq!(client.call(&query("")).status(), 200));
    // Until the module's latencies have settled a host that nobody has measured looks slow as it is.
    ask(600);
    let hosts = [("p", primary.address), ("old", old.address), ("new", new.address)];
    std::fs::write(folder.join("hosts.csv"), inventory(&hosts)).unwrap();
    eventually("the new host is listed", || {
        call(running.store, "GET /hosts HTTP/1.1\r\n\r\n").text().contains("new ")
    });
    let before = old.count();
    ask(200);
    let (warm, cold) = (old.count() - before, new.count());
    assert!(cold * 4 < warm, "the cold host got {cold}, the warm one {warm}");
    eventually("it gets its small share", || {
        ask(1);
        new.count() > 0
    });
}

/// Guards against a restart that forgets drains where there is a disk but no peer, and against a damaged file that
/// keeps the daemon down.
#[test]
fn the_disk_brings_the_store_back_and_a_damaged_one_is_set_aside() {
    let one = Host::plain(true, 0);
    let folder = files("disk", &[("one", one.address)], &[]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("# snapshot: b1.store", "snapshot: b1.store")).unwrap();
    let mut running = start(&folder);
    // Whoever has its answer finds it again, however soon the power fails.
    assert_eq!(call(running.store, "POST /drain/one HTTP/1.1\r\n\r\n").status(), 200);
    running.daemon.signal("-KILL");
    running.daemon.wait();
    let mut again = start(&folder);
    assert!(call(again.store, "GET /hosts HTTP/1.1\r\n\r\n").text().contains(" leaving "));
    again.daemon.signal("-KILL");
    again.daemon.wait();
    let snapshot = folder.join("b1.store");
    let bytes = std::fs::read(&snapshot).unwrap();
    std::fs::write(&snapshot, &bytes[..bytes.len() / 2]).unwrap();
    let mut anew = start(&folder);
    assert!(
        anew.daemon.seen.iter().any(|l| l.contains(log_lines::STORE_SET_ASIDE_AS)),
        "{:?}",
        anew.daemon.seen
    );
    assert!(folder.join("b1.store.damaged").exists());
    anew.daemon.signal("-KILL");
    anew.daemon.wait();
    // A store of the form before is taken over, drains and all.
    std::fs::remove_file(&snapshot).unwrap();
    let old = "brookpass-store 1\n5\ta.1\tdrain/one\t+1\nend\n";
    std::fs::write(&snapshot, old).unwrap();
    let taken = start(&folder);
    let leaves = || call(taken.store, "GET /hosts HTTP/1.1\r\n\r\n").text().contains(" leaving ");
    eventually("the old store's drain holds", leaves);
}

#[test]
fn a_bad_file_at_the_start_is_one_line_with_file_and_line() {
    let folder = files("bad", &[("one", nobody())], &[]);
    let file = folder.join("operator.yaml");
    let good = std::fs::read_to_string(&file).unwrap();
    let starts = |why: &str| {
        let mut daemon = Daemon::start(&["--operator", file.to_str().unwrap()], &[]);
        let line = daemon.line(log_lines::ERROR_LEVEL);
        assert!(line.contains(why), "{line}");
        assert!(!daemon.wait().success());
    };
    std::fs::write(&file, good.replace("warm-up: 16", "warm-up: long")).unwrap();
    let line = good.lines().position(|l| l.contains("warm-up")).unwrap() + 1;
    starts(&format!("operator.yaml: line {line}: guarantees.warm-up"));
    std::fs::write(&file, &good).unwrap();
    std::fs::write(folder.join("hosts.csv"), "name,address,group\none,127.0.0.1:1,1\none,127.0.0.1:2,1\n")
        .unwrap();
    starts("hosts.csv: line 3: host \"one\" stands twice");
    let check = || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_brookpass"));
        command.args(["--check", file.to_str().unwrap()]).output().unwrap()
    };
    assert!(!check().status.success());
    std::fs::write(folder.join("hosts.csv"), inventory(&[("one", nobody())])).unwrap();
    let checked = check();
    assert!(checked.status.success());
    assert!(String::from_utf8_lossy(&checked.stdout).contains("in order, 1 hosts"));
    std::fs::remove_file(folder.join("hosts.csv")).unwrap();
    starts("hosts.csv");
}

/// Guards against requests lost when the daemon is stopped.
#[test]
fn sigterm_answers_what_was_taken() {
    let (hold, count) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
    let (held, counted) = (hold.clone(), count.clone());
    let host = Host::start(true, 0, move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        eventually("the test lets go", || !held.load(Ordering::SeqCst));
        None
    });
    let mut running = start(&files("term", &[("p", host.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    client.send(&update(""));
    eventually("the host has it", || count.load(Ordering::SeqCst) == 1);
    running.daemon.signal("-TERM");
    running.daemon.line(log_lines::DRAINING);
    hold.store(false, Ordering::SeqCst);
    assert_eq!(client.receive().status(), 200);
    assert!(running.daemon.wait().success());
    assert!(host.primary.load(Ordering::SeqCst));
}

/// Guards against connections that say nothing, or never a whole request, and keep the seats of those that ask.
#[test]
fn silent_connections_make_room_and_end_in_time() {
    let primary = Host::plain(true, 0);
    let folder = files("silent", &[("p", primary.address)], &[]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap().replace("sockets: 1024", "sockets: 96");
    std::fs::write(&file, text).unwrap();
    let running = start(&folder);
    let began = std::time::Instant::now();
    let beginnings = ["", "GET /sp", "POST /sparql HTTP/1.1\r\nHost: b\r\nContent-Length: 900\r\n\r\nhalf"];
    let silent: Vec<HttpClient> = (0..64)
        .map(|n| {
            let mut silent = HttpClient::connect(running.front);
            let _ = silent.reader.get_mut().write_all(beginnings[n % 3].as_bytes());
            silent
        })
        .collect();
    for n in 0..30 {
        assert_eq!(call(running.front, &update("")).status(), 200, "request {n}");
    }
    for mut one in silent {
        while read_http(&mut one.reader).is_some() {}
    }
    assert!(began.elapsed().as_millis() < 3_000, "each of them was told or closed in time");
}

/// Guards against an attempt that a host keeps waiting in the midst of a long answer, for a client that has gone.
#[test]
fn a_client_that_goes_in_the_midst_of_a_long_answer_ends_the_attempt() {
    let host = Host::start(true, 0, |_| Some(Does::LongThenSilence(3 * 1024 * 1024)));
    let folder = files("leaves-long", &[("h", host.address)], &[]);
    let running = start(&folder);
    let mut client = HttpClient::connect(running.front);
    client.send(&query(""));
    let mut some = vec![0; 64 * 1024];
    std::io::Read::read_exact(&mut client.reader, &mut some).unwrap();
    let began = std::time::Instant::now();
    // It goes on reading until nothing more comes, then closes.
    client.reader.get_ref().set_read_timeout(Some(std::time::Duration::from_millis(300))).unwrap();
    while matches!(std::io::Read::read(&mut client.reader, &mut some), Ok(n) if n > 0) {}
    drop(client);
    assert_eq!(host.dropped.recv_timeout(PATIENCE), Ok(true));
    assert!(began.elapsed().as_secs() < 5, "a host's stall is not waited for: {:?}", began.elapsed());
}

/// Guards against a reset that passes for the end of an answer without a length.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let host = Host::start(true, 0, |_| Some(Does::ResetWithoutLength));
    let running = start(&files("resets", &[("p", host.address)], &[]));
    let answer = call(running.front, &update(""));
    assert_eq!((answer.status(), host.count()), (502, 1), "{}", String::from_utf8_lossy(&answer.body));
}
