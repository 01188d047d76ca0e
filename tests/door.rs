//! The operators' door, draining, and one process that follows another, over sockets.

mod stand_in;

use stand_in::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::Command;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"balancers":2,"me":0,"discovery":"automatic","zones":["a"],"zone":0,
 "services":[
  {"name":"read","target":1.0,"deadline":2.5,"repeat":"repeatable","worth":3,"late-worth":0.2},
  {"name":"write","target":0.6,"deadline":2.0,"repeat":"by_key","group":"cell","dedup-window":1.2,"worth":6,"late-worth":0.5},
  {"name":"never","target":0.6,"deadline":2.0,"repeat":"repeatable","worth":6,"late-worth":0.5}],
 "family-info":{"consistency":["lag_bound","mutate","lag_bound"],"max-age":[0.8,0.0,0.8],"behind":"await","session-marks":"brought","zero":12.5},
 "limits":{"may-cancel":true,"second-copies":false,"retry-after":true,"max-retry-after":1.0,"max-attempts":8,
  "connect-timeout":0.25,"conn-idle":15.0},
 "report":{"via":"answers","fields":["x0","x1","util"]}}"#;

struct Setup {
    daemon: Daemon,
    clients: SocketAddr,
    door: SocketAddr,
    discovery: Discovery,
    primary: PgHost,
    replica: PgHost,
    go: Sender<()>,
}

/// A primary that answers each write once it is told, and a replica that answers at once.
fn hosts() -> (PgHost, PgHost, Sender<()>) {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let primary = PgHost::start("source", move |text| match text.contains("INSERT") {
        true => Reply::After(wait.clone(), b"late"),
        false => Reply::Row(b"primary"),
    });
    let replica = PgHost::start("copy", |text| match text.contains("INSERT") {
        true => Reply::Error("25006"),
        false => Reply::Row(b"replica"),
    });
    (primary, replica, go)
}

fn text(discovery: SocketAddr, more: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f\",{more}\n\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":384}},\n\"settings\":{SETTINGS}}}"
    )
}

fn started() -> Setup {
    let (primary, replica, go) = hosts();
    let discovery = Discovery::start();
    discovery.preset(&[
        endpoint("p", primary.address, 1, "active"),
        endpoint("r", replica.address, 1, "active"),
        endpoint("old", nobody(), 1, "leaving"),
    ]);
    let config = folder("door").join("config.json");
    std::fs::write(&config, text(discovery.address, "\"admin_addr\":\"127.0.0.1:0\",")).unwrap();
    let mut daemon = Daemon::start(&[], &[("GW_CONFIG", config.to_str().unwrap())]);
    // The door is there before the clients' listener says so, or after it.
    let clients = daemon.address(log_lines::POSTGRES_LISTENING);
    let door = daemon.address(log_lines::ADMIN_LISTENING);
    discovery.wait_for_watch();
    Setup { daemon, clients, door, discovery, primary, replica, go }
}

fn read(id: &str) -> String {
    format!("/* id={id},c=read,d=2000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'a'")
}

fn write(id: &str) -> String {
    format!(
        "/* id={id},c=write,d=2000,k=1{id},cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('a', 'b') RETURNING payload"
    )
}

fn door(at: SocketAddr, method: &str, path: &str) -> Http {
    call(at, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n"))
}

/// A figure by its name, as `read 3` of `svc.success.read:3|c`.
fn figure(at: SocketAddr, name: &str) -> String {
    let told = door(at, "GET", "/v1/metrics").text();
    let line = told.lines().find_map(|l| l.strip_prefix(&format!("svc.{name}:")));
    line.unwrap_or_else(|| panic!("no {name} in {told}")).to_string()
}

/// Guards against figures that count twice, miss a way to end, or leave out a class.
#[test]
fn every_end_is_counted_once_and_what_holds_now_is_told() {
    let s = started();
    let mut client = PgClient::connect(s.clients);
    assert_eq!(figure(s.door, "success.never"), "0|c");
    assert_eq!(figure(s.door, "targets"), "3|g");
    assert_eq!(figure(s.door, "targets_disabled"), "1|g", "one is leaving");
    for n in 0..5 {
        assert_eq!(client.ask(&read(&n.to_string())).code, None);
    }
    let dispatched = |s: &Setup| (s.primary.count() + s.replica.count()).to_string() + "|c";
    assert_eq!(
        (figure(s.door, "success.read"), figure(s.door, "dispatches")),
        ("5|c".into(), dispatched(&s))
    );
    let mut writer = PgClient::connect(s.clients);
    let before = s.primary.count();
    writer.send(&pg_query(&write("7")));
    eventually("the primary has the write", || s.primary.count() > before);
    assert_eq!(figure(s.door, "concurrent"), "1|g");
    s.go.send(()).unwrap();
    assert!(writer.answer().unwrap().value.is_some());
    assert_eq!((figure(s.door, "concurrent"), figure(s.door, "success.write")), ("0|g".into(), "1|c".into()));
    assert_eq!(client.ask(&read("8").replace("cluster=1", "cluster=9")).code.as_deref(), Some("42704"));
    s.discovery.publish(&[endpoint("p", s.primary.address, 1, "leaving")]);
    assert_eq!(client.ask(&read("9").replace("d=2000", "d=300")).code.as_deref(), Some("53300"));
    assert_eq!((figure(s.door, "error.read"), figure(s.door, "overload.read")), ("1|c".into(), "1|c".into()));
    assert_eq!((figure(s.door, "dispatches"), figure(s.door, "targets")), (dispatched(&s), "1|g".into()));
}

/// Guards against callers that say nothing or half of it and keep those out that ask, and against bad calls.
#[test]
fn the_door_answers_beside_callers_that_say_nothing() {
    let s = started();
    let silent: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut silent = TcpStream::connect(s.door).unwrap();
            if n % 2 == 0 {
                let _ = std::io::Write::write_all(&mut silent, b"GET /v1/met");
            }
            silent
        })
        .collect();
    for _ in 0..20 {
        let began = Instant::now();
        assert_eq!(door(s.door, "GET", "/v1/readyz").status(), 200);
        assert!(began.elapsed() < Duration::from_secs(1));
    }
    drop(silent);
    for (method, path, status) in [
        ("GET", "/v1/other", 404),
        ("GET", "/", 404),
        ("PUT", "/v1/readyz", 405),
        ("POST", "/v1/pooler/drain", 405),
        ("GET", "/v1/pooler/activate", 405),
    ] {
        let answer = door(s.door, method, path);
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (status, Some("close")),
            "{method} {path}"
        );
        assert_eq!(answer.header("allow").is_some(), status == 405);
    }
    for (bytes, status) in [
        ("\r\n\r\n".to_string(), 400),
        ("GET /v1/readyz\r\nno colon\r\n\r\n".into(), 400),
        ("GET /v1/readyz SPDY/3\r\n\r\n".into(), 505),
        ("PUT /v1/pooler/drain HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".into(), 413),
        (format!("GET /v1/readyz HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(9_000)), 431),
    ] {
        let mut client = HttpClient::connect(s.door);
        assert_eq!(client.call(&bytes).status(), status, "{bytes:.40}");
        assert!(read_http(&mut client.reader).is_none(), "and a close");
    }
    assert_eq!(figure(s.door, "concurrent"), "0|g", "no bad call drained or broke anything");
    assert!(PgClient::connect(s.clients).ask("").empty);
}

/// Guards against a door that is there though nobody named one.
#[test]
fn without_an_address_there_is_no_door() {
    let discovery = Discovery::start();
    let config = folder("door").join("config.json");
    std::fs::write(&config, text(discovery.address, "")).unwrap();
    let mut daemon = Daemon::start(&[], &[("GW_CONFIG", config.to_str().unwrap())]);
    daemon.line(log_lines::LONG_MESSAGES_LIMITED);
    discovery.wait_for_watch();
    daemon.signal("-TERM");
    assert!(daemon.wait().success());
    daemon.line(log_lines::DRAINED);
    assert!(!daemon.seen.iter().any(|l| l.contains("operators")), "{:?}", daemon.seen);
}

/// Guards against clients that are lost or kept while the pooler is drained, and against one that stays drained.
#[test]
fn a_drained_pooler_sends_clients_away_without_losing_any_and_comes_back() {
    let s = started();
    let mut busy = PgClient::connect(s.clients);
    let mut idle = PgClient::connect(s.clients);
    assert_eq!(idle.ask(&read("1")).code, None);
    let before = s.primary.count();
    busy.send(&pg_query(&write("2")));
    eventually("the primary has the write", || s.primary.count() > before);
    // Twice: the second call changes nothing.
    for _ in 0..2 {
        assert_eq!(door(s.door, "PUT", "/v1/pooler/drain").status(), 200);
    }
    let began = Instant::now();
    assert!(idle.ask(&read("3")).value.is_some(), "what it has may go on asking");
    let mut front = PgClient::connect(s.clients);
    let no = front.ask("");
    assert_eq!((no.empty, no.code.as_deref(), no.fatal), (false, Some("57P03"), false));
    assert_eq!((idle.answer(), front.answer()), (None, None), "then they end");
    let mut late = PgClient::connect(s.clients);
    assert!(late.ask(&read("4")).value.is_some(), "one that comes all the same is served");
    assert_eq!(late.answer(), None);
    s.go.send(()).unwrap();
    assert_eq!(busy.answer().unwrap().value.as_deref(), Some(&b"late"[..]), "nothing taken is lost");
    assert_eq!(busy.answer(), None);
    assert!(began.elapsed() < Duration::from_secs(4));
    assert_eq!(door(s.door, "GET", "/v1/readyz").text().trim(), "ready, drained");
    for _ in 0..2 {
        assert_eq!(door(s.door, "PUT", "/v1/pooler/activate").status(), 200);
        assert!(PgClient::connect(s.clients).ask("").empty, "back at once");
    }
}

/// Guards against calls that cross SIGTERM: the end is final, and nothing taken is lost by them.
#[test]
fn sigterm_ends_a_drained_pooler_and_no_call_brings_it_back() {
    let mut s = started();
    let mut busy = PgClient::connect(s.clients);
    let before = s.primary.count();
    busy.send(&pg_query(&write("1")));
    eventually("the primary has the write", || s.primary.count() > before);
    assert_eq!(door(s.door, "PUT", "/v1/pooler/drain").status(), 200);
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::SIGTERM_RECEIVED);
    assert_eq!(door(s.door, "PUT", "/v1/pooler/activate").status(), 409);
    assert_eq!(door(s.door, "PUT", "/v1/pooler/drain").status(), 200);
    assert_eq!(door(s.door, "GET", "/v1/readyz").status(), 503);
    s.go.send(()).unwrap();
    assert_eq!(busy.answer().unwrap().value.as_deref(), Some(&b"late"[..]));
    assert!(s.daemon.wait().success());
}

/// Starts the program as the platform does where it holds the clients' socket: as descriptor 3.
fn started_on(socket: &TcpListener, config: &str, door: &str) -> Daemon {
    let line = format!("exec {} 3<&{}", env!("CARGO_BIN_EXE_brookpass"), socket.as_raw_fd());
    let mut command = Command::new("bash");
    command
        .args(["-c", &line])
        .env("GW_CONFIG", config)
        .env("GW_PASSED_SOCKET", "3")
        .env("GW_ADMIN_ADDR", door);
    Daemon::run(command)
}

/// Guards against requests that are lost, closed on or left unread while one process follows another.
#[test]
fn a_process_follows_another_on_the_same_socket() {
    let (primary, replica, go) = hosts();
    let discovery = Discovery::start();
    let list = [endpoint("p", primary.address, 1, "active"), endpoint("r", replica.address, 1, "active")];
    discovery.preset(&list);
    let peers = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let path = folder("follow").join("config.json");
    std::fs::write(
        &path,
        text(discovery.address, &format!("\"peer_listen\":\"{peers}\",\"peers\":[\"{peers}\"],")),
    )
    .unwrap();
    let config = path.to_str().unwrap();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::empty()).unwrap();
    let clients = socket.local_addr().unwrap();
    let mut old = started_on(&socket, config, "127.0.0.1:0");
    let old_door = old.address(log_lines::ADMIN_LISTENING);
    eventually("the old one says yes", || door(old_door, "GET", "/v1/readyz").status() == 200);
    let mut client = PgClient::connect(clients);
    let before = primary.count();
    client.send(&pg_query(&write("1")));
    eventually("the primary has the write", || primary.count() > before);
    let mut new = started_on(&socket, config, "127.0.0.1:0");
    new.line(log_lines::ADMIN_ADDRESS_BUSY);
    let new_door = new.address(log_lines::ADMIN_LISTENING);
    eventually("the new one says yes", || door(new_door, "GET", "/v1/readyz").status() == 200);
    old.signal("-TERM");
    old.line(log_lines::SIGTERM_RECEIVED);
    for n in 2..20 {
        let answer = PgClient::connect(clients).ask(&read(&n.to_string()));
        assert_eq!(
            answer.value.as_deref().map(|v| v.is_empty()),
            Some(false),
            "request {n}: {:?}",
            answer.code
        );
    }
    go.send(()).unwrap();
    assert_eq!(
        client.answer().unwrap().value.as_deref(),
        Some(&b"late"[..]),
        "the old one answers what it took"
    );
    assert!(old.wait().success());
    assert!(PgClient::connect(clients).ask("").empty, "the new one serves on");
    eventually("the peers' address is free again and taken", || std::net::UdpSocket::bind(peers).is_err());
    assert_eq!(figure(new_door, "error.read"), "0|c");
}

/// Guards against a start that goes on without the clients' socket.
#[test]
fn a_variable_that_names_no_listening_socket_is_one_clear_line() {
    let path = folder("follow").join("config.json");
    std::fs::write(&path, text(nobody(), "")).unwrap();
    for named in ["3", "0x3", "700"] {
        let mut daemon =
            Daemon::start(&[], &[("GW_CONFIG", path.to_str().unwrap()), ("GW_PASSED_SOCKET", named)]);
        daemon.line(&format!("GW_PASSED_SOCKET={named}"));
        assert!(!daemon.wait().success());
    }
}
