//! What the program answers operators, clients, hosts and other daemons, held against golden texts: paths, methods,
//! status, headers and words. Values that differ from run to run are masked, the rest is compared whole.

mod stand_in;

use brookpass::fleet::zones::ZoneHealth;
use brookpass::store::zone_weights::WeightReason;
use brookpass_testkit::cluster::{ClusterConfig, SERVICE_SETTINGS, TestCluster};
use brookpass_testkit::log_lines;
use stand_in::discovery::{endpoint_json, snapshot_json};
use stand_in::http::{HttpClient, call};
use stand_in::network::{spawn_server, unused_address};
use stand_in::platform;
use stand_in::process::{Process, test_directory};
use stand_in::waiting::{DEFAULT_TIMEOUT, eventually, now_ms};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

// ---- texts ----

/// Compares with the golden text of this name; what came instead is kept beside the build's other files.
fn golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let wanted = std::fs::read_to_string(path).unwrap_or_default();
    if wanted != actual {
        let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&kept, actual).unwrap();
    }
    let pairs = wanted.lines().zip(actual.lines());
    let first = pairs.enumerate().find(|(_, (w, a))| w != a).map(|(n, pair)| (n + 1, pair));
    assert!(
        wanted == actual,
        "{name}: the first line that differs, wanted and found: {first:?}; all:\n{actual}"
    );
}

/// Masks ids in hexadecimal, then every run of digits.
fn masked(text: &str) -> String {
    let is_id = |w: &str| {
        matches!(w.len(), 8 | 16 | 32) && w.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
    };
    let line = |l: &str| l.split(' ').map(|w| if is_id(w) { "#" } else { w }).collect::<Vec<_>>().join(" ");
    let mut out = String::new();
    for c in text.lines().map(line).collect::<Vec<_>>().join("\n").chars() {
        match c.is_ascii_digit() {
            true if out.ends_with('#') => {}
            true => out.push('#'),
            false => out.push(c),
        }
    }
    out
}

/// The shapes of lines: masked, each once, in order.
fn shapes(text: &str) -> String {
    let mut lines: Vec<String> = masked(text).lines().map(str::to_string).collect();
    lines.sort();
    lines.dedup();
    lines.join("\n")
}

// ---- exchanges as bytes ----

/// One message as it came: its head and as much of a body as it states.
fn message(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|n| *n > 0)?;
    }
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

/// One exchange on a connection of its own, as it came.
fn exchange(at: SocketAddr, request: &str) -> String {
    let mut client = HttpClient::connect(at);
    client.send(request);
    message(&mut client.reader).unwrap_or_else(|| panic!("no answer to {request}"))
}

fn request(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
}

/// Calls and their whole answers, one after the other.
struct Transcript {
    at: SocketAddr,
    text: String,
}

impl Transcript {
    fn new(at: SocketAddr) -> Transcript {
        Transcript { at, text: String::new() }
    }

    fn note(&mut self, what: &str, answer: &str) {
        self.text += &format!("> {what}\n{}\n\n", answer.replace("\r\n", "\n").trim_end());
    }

    /// Notes a call with its answer as it came.
    fn call(&mut self, method: &str, path: &str) {
        let answer = exchange(self.at, &request(method, path));
        self.note(&format!("{method} {path}"), &answer);
    }

    /// Notes a call with its answer masked.
    fn masked(&mut self, method: &str, path: &str) {
        let answer = exchange(self.at, &request(method, path));
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        let head = head.lines().filter(|l| !l.starts_with("Content-Length: ")).collect::<Vec<_>>().join("\n");
        self.note(&format!("{method} {path}, masked"), &format!("{head}\n\n{}", masked(body)));
    }

    /// Notes a request that is written out, under a name.
    fn raw(&mut self, what: &str, request: &str) {
        let answer = exchange(self.at, request);
        self.note(what, &answer);
    }
}

fn body(at: SocketAddr, path: &str) -> String {
    exchange(at, &request("GET", path)).split_once("\r\n\r\n").unwrap().1.trim_end().to_string()
}

// ---- one daemon with two hosts ----

/// A host that answers all; what reached it is told as it came. An operation with `hold` in it waits for a message.
struct Host {
    address: SocketAddr,
    came: Receiver<String>,
    go: Sender<()>,
}

fn host(role: &'static str) -> Host {
    let (tell, came) = channel();
    let (go, wait) = channel::<()>();
    let (tell, wait) = (Mutex::new(tell), Arc::new(Mutex::new(wait)));
    let address = spawn_server(move |stream| {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = message(&mut reader) {
            let _ = tell.lock().unwrap().send(request.clone());
            if request.contains("hold") {
                let _: Result<(), _> = wait.lock().unwrap().recv();
            }
            let text = format!(
                "HTTP/1.1 200 Fine\r\nContent-Type: text/csv\r\nX-Other: passes\r\nBrookpass-Role: {role}\r\n\
                 Brookpass-Position: {}\r\nBrookpass-Load: util=0.2, up=100\r\nKeep-Alive: timeout=5\r\n\
                 Content-Length: 5\r\n\r\na,b\r\n",
                now_ms()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    Host { address, came, go }
}

struct One {
    daemon: Process,
    store: SocketAddr,
    front: SocketAddr,
    door: Option<SocketAddr>,
    primary: Host,
    replica: Host,
}

/// Starts a daemon whose file names these others; it may not serve yet.
fn one(peers: &[SocketAddr]) -> One {
    let (primary, replica) = (host("primary"), host("replica"));
    let folder = test_directory("golden");
    let inventory = format!(
        "name,address,group,zone,region,weight,status\np,{},1,north,up,1,active\nr,{},1,south,down,0.5,active\n",
        primary.address, replica.address
    );
    std::fs::write(folder.join("hosts.csv"), inventory).unwrap();
    let peers = peers.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ");
    let text = format!(
        "name: b1\nnumber: 0\nsparql: {{listen: 127.0.0.1:0, host_path: /host, query: catalog-read, session: own-edit-read, \
         update: score-write, group: 1}}\nstore: {{listen: 127.0.0.1:0, peers: [{peers}]}}\nadmin: 127.0.0.1:0\n\
         inventory: hosts.csv\nzones: [north, south]\nsettings:\n  balancers: 1\n{SERVICE_SETTINGS}"
    );
    let file = folder.join("operator.yaml");
    std::fs::write(&file, text).unwrap();
    let mut daemon = Process::start(&["--operator", file.to_str().unwrap()], &[]);
    let store = daemon.wait_for_address(log_lines::STORE_LISTENING);
    let front = daemon.wait_for_address(log_lines::SPARQL_LISTENING);
    One { daemon, store, front, door: None, primary, replica }
}

impl One {
    fn is_ready(&self) -> bool {
        call(self.front, "GET /-/ready HTTP/1.1\r\n\r\n").status() == 200
    }

    /// One that serves all groups.
    fn served() -> One {
        let mut one = one(&[]);
        one.door = Some(one.daemon.wait_for_address(log_lines::ADMIN_LISTENING));
        eventually("it serves", || one.is_ready());
        eventually("its own file is agreed", || {
            let text = body(one.store, "/fleet");
            text.contains("recovery done") && text.contains("its own file says the same")
        });
        one
    }

    /// The text with this run's addresses by name.
    fn named(&self, text: &str) -> String {
        let mut text = text.to_string();
        let all = [
            (self.store, "STORE"),
            (self.front, "FRONT"),
            (self.primary.address, "PRIMARY"),
            (self.replica.address, "REPLICA"),
        ];
        for (address, name) in all {
            text = text.replace(&address.to_string(), name);
        }
        text
    }
}

const WRITE: &str = "POST /sparql HTTP/1.1\r\nHost: h\r\nContent-Type: application/sparql-update\r\nContent-Length: 9\r\n\r\nCLEAR ALL";

// ---- the store's address ----

/// Guards against a path, a method, a status or a word of the store's calls that changes for operators' scripts.
#[test]
fn the_stores_calls_answer_as_the_golden_text_says() {
    let one = One::served();
    eventually("what the start saw of zones is old", || {
        let text = body(one.store, "/zones");
        !text.contains(" seen by ") && text.matches("looks unknown").count() == 2
    });
    let mut t = Transcript::new(one.store);
    t.call("GET", "/hosts");
    t.masked("GET", "/fleet");
    t.call("GET", "/zones");
    t.call("GET", "/fleet/recover");
    t.call("POST", "/fleet/recover");
    t.call("POST", "/fleet/form");
    t.call("POST", "/drain/p");
    t.call("POST", "/drain/p");
    t.call("GET", "/hosts");
    t.masked("GET", "/fleet");
    t.call("POST", "/undrain/p");
    t.call("POST", "/undrain/p");
    t.call("POST", "/drain/nobody");
    t.call("POST", "/undrain/nobody");
    t.call("POST", "/fleet/vote/b1");
    t.call("POST", "/fleet/vote/nobody");
    t.call("POST", "/fleet/leave/nobody");
    t.call("POST", "/zone/south/leave");
    t.call("POST", "/zone/north/leave");
    t.call("POST", "/zone/south/hold");
    t.call("GET", "/zones");
    t.call("POST", "/zone/south/return-now");
    t.call("POST", "/zone/south/return");
    t.call("POST", "/zone/nowhere/leave");
    t.call("POST", "/zone/south/other");
    for (method, path) in [
        ("GET", "/"),
        ("GET", "/drain/p"),
        ("GET", "/fleet/form"),
        ("GET", "/fleet/link"),
        ("POST", "/"),
        ("POST", "/hosts"),
        ("POST", "/fleet"),
        ("POST", "/zones"),
        ("POST", "/fleet/learned"),
        ("POST", "/fleet/link"),
        ("POST", "/zone/south"),
        ("PUT", "/drain/p"),
        ("DELETE", "/hosts"),
    ] {
        t.call(method, path);
    }
    for method in ["GET", "POST"] {
        let from_a_page =
            format!("{method} /hosts HTTP/1.1\r\nHost: h\r\nOrigin: http://x\r\nContent-Length: 0\r\n\r\n");
        t.raw(&format!("{method} /hosts with an Origin"), &from_a_page);
    }
    t.raw("a header without a colon", "GET /hosts HTTP/1.1\r\nno colon\r\n\r\n");
    t.raw("another protocol", "GET /hosts SPDY/3\r\n\r\n");
    t.raw("a long message", "POST /drain/p HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
    let text = one.named(&t.text);
    golden("answers-store.txt", &text);
}

/// Guards against lines of evidence that operators' scripts cannot read any more.
#[test]
fn evidence_on_hosts_and_zones_has_the_golden_line_shapes() {
    let one = One::served();
    let mut learned = String::new();
    let wanted = "group # primary p heard by b# # ms ago\np b# primary # # #\nr b# replica # # #";
    eventually("both hosts are known", || {
        call(one.front, "GET /sparql?query=SELECT HTTP/1.1\r\n\r\n");
        learned = shapes(&body(one.store, "/fleet/learned"));
        learned.lines().count() == 3
    });
    assert_eq!(learned, wanted);
    let mut seen = String::new();
    eventually("the primary's zone is seen", || {
        call(one.front, WRITE);
        let text = body(one.store, "/zones");
        seen = text.lines().filter(|l| l.starts_with("zone north ")).map(|l| format!("{l}\n")).collect();
        seen.contains("looks sound") && seen.contains(" seen by ")
    });
    let wanted = "zone north gets # of #, agreed # by move #, Returns, failed #; looks sound of region up\n\
                  zone north seen by b# good # late # silent # refused # hosts # gone # busy #";
    assert_eq!(masked(&seen), wanted);
}

/// Guards against words on the state of zones that change with the names in the program: what a daemon cannot be
/// brought to say within a moment is held here.
#[test]
fn the_words_on_the_state_of_a_zone_are_as_they_were() {
    let why = [WeightReason::Returns, WeightReason::Lost, WeightReason::Slow, WeightReason::Operator]
        .map(|why| format!("{why:?}"));
    assert_eq!(why, ["Returns", "Lost", "Slow", "Operator"]);
    let all =
        [ZoneHealth::Unknown, ZoneHealth::Healthy, ZoneHealth::Degraded, ZoneHealth::Slow, ZoneHealth::Lost];
    let looks = all.map(|health| health.label());
    assert_eq!(looks, ["unknown", "sound", "doubtful", "slow", "lost"]);
}

/// Guards against a daemon that waits for the others and says so in other words, and against clients that come early
/// and are told nothing of when to come back.
#[test]
fn a_daemon_without_a_fleet_answers_as_the_golden_text_says() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let one = one(&[silent.local_addr().unwrap()]);
    eventually("it says what it waits for", || body(one.store, "/fleet").contains("waits for an answer of"));
    let mut t = Transcript::new(one.store);
    for path in ["/hosts", "/zones", "/fleet/learned", "/fleet/recover"] {
        t.call("GET", path);
    }
    t.masked("GET", "/fleet");
    for path in ["/drain/p", "/undrain/p", "/zone/north/leave", "/fleet/vote/b1", "/fleet/recover"] {
        t.call("POST", path);
    }
    t.at = one.front;
    t.call("GET", "/-/ready");
    t.masked("GET", "/sparql?query=ASK%20%7B%7D");
    t.masked("GET", "/elsewhere");
    t.at = one.store;
    t.call("POST", "/fleet/form");
    eventually("it serves", || one.is_ready());
    t.call("POST", "/fleet/form");
    golden("answers-without-a-fleet.txt", &(without_times(&t.text) + "\n"));
}

fn cluster(daemons: usize) -> TestCluster {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let setup = ClusterConfig { nodes: daemons, groups: 1, ..ClusterConfig::default() };
    TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, setup)
}

fn recover(at: SocketAddr, more: &[&str]) -> String {
    let address = at.to_string();
    let words = [&["fleet", "recover", address.as_str()], more].concat();
    let out = Command::new(env!("CARGO_BIN_EXE_brookpass")).args(words).output().unwrap();
    let text = String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap();
    format!("exit code {}\n{}", out.status.code().unwrap(), masked(&text.replace(&address, "STORE")))
}

/// Guards against words that change for whoever has to act while daemons leave, are gone, or no majority is left.
#[test]
fn a_fleet_of_three_that_shrinks_answers_as_the_golden_text_says() {
    let cluster = &mut cluster(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader();
    let rest: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let (stays, goes) = (rest[0], rest[1]);
    let ready = |cluster: &TestCluster, n: usize| {
        let text = cluster.fleet_status(n);
        text.contains("recovery done")
            && text.contains("its own file says the same")
            && !text.contains("never heard")
            && text.lines().all(|l| !l.starts_with("member ") || !l.ends_with(" leader none"))
    };
    for n in 0..3 {
        eventually("it has come to rest", || ready(cluster, n));
    }
    let mut text = String::new();
    let mut note = |what: &str, answer: &str| text += &format!("> {what}\n{}\n\n", answer.trim_end());
    let post = |cluster: &TestCluster, n: usize, path: &str| {
        let answer = exchange(cluster.nodes[n].store_address, &request("POST", path)).replace("\r\n", "\n");
        answer.replace(&cluster.nodes[n].name, "NAME").replace(&cluster.nodes[goes].name, "GOES")
    };
    note("the leader, GET /fleet", &shapes(&cluster.fleet_status(leader)));
    note("another one, GET /fleet", &shapes(&cluster.fleet_status(stays)));
    note("a majority is there, fleet recover", &recover(cluster.nodes[stays].store_address, &[]));
    note("POST /fleet/leave/GOES", &post(cluster, leader, &format!("/fleet/leave/b{goes}")));
    eventually("it says so itself", || cluster.fleet_status(goes).contains(" removed\n"));
    // Whether it still hears the leader, and whether it took its own removal in, is a matter of moments.
    let left = cluster.fleet_status(goes).replace("\nleader none ", "\nleader b0 ");
    let left: Vec<&str> =
        left.lines().filter(|l| !l.starts_with("member ") && !l.starts_with("removed ")).collect();
    note("it has left, GET /fleet without members", &shapes(&left.join("\n")));
    for path in ["/drain/s-1-1", "/undrain/s-1-1", "/zone/z-1/leave", "/fleet/vote/b0"] {
        note(&format!("it has left, POST {path}"), &post(cluster, goes, path));
    }
    note("it has left, fleet recover", &recover(cluster.nodes[goes].store_address, &[]));
    cluster.kill(goes);
    eventually("the others know", || cluster.fleet_status(stays).contains("\nremoved "));
    assert_eq!(cluster.post(stays, "/drain/s-1-2"), 200);
    cluster.wait_until_caught_up();
    cluster.kill(leader);
    eventually("no majority is known", || cluster.fleet_field(stays, "leader") == "none");
    for path in ["/drain/s-1-1", "/undrain/s-1-2", "/zone/z-1/leave"] {
        note(&format!("no majority, POST {path}"), &post(cluster, stays, path));
    }
    let wish = post(cluster, stays, &format!("/fleet/leave/{}", cluster.nodes[leader].name));
    note("no majority, POST /fleet/leave/LEADER", &wish);
    note("no majority, GET /fleet", &shapes(&cluster.fleet_status(stays)));
    eventually("the other one is not heard", || {
        body(cluster.nodes[stays].store_address, "/fleet/recover").contains("is not heard")
    });
    note("no majority, fleet recover", &recover(cluster.nodes[stays].store_address, &[]));
    note("no majority, fleet recover --yes", &recover(cluster.nodes[stays].store_address, &["--yes"]));
    eventually("it goes on alone", || cluster.fleet_status(stays).contains(" leads\n"));
    golden("answers-shrinking-fleet.txt", &text);
}

// ---- the operators' door ----

/// Guards against a path, a method, a header or a figure's name that changes for whoever watches the daemon.
#[test]
fn the_operators_door_answers_as_the_golden_text_says() {
    let mut one = One::served();
    assert_eq!(call(one.front, WRITE).status(), 200);
    let mut t = Transcript::new(one.door.unwrap());
    t.call("GET", "/v1/readyz");
    t.masked("GET", "/v1/metrics");
    for path in ["/v1/readyz", "/v1/metrics", "/v1/pooler/drain", "/v1/pooler/activate"] {
        for method in ["GET", "PUT", "POST", "DELETE"] {
            let right = if path.starts_with("/v1/pooler") { "PUT" } else { "GET" };
            if method != right {
                t.call(method, path);
            }
        }
    }
    t.call("GET", "/");
    t.call("GET", "/v1/other");
    t.call("PUT", "/v1/pooler/drain");
    t.call("GET", "/v1/readyz");
    let door = std::mem::replace(&mut t.at, one.front);
    t.raw("GET /-/ready at the front", "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
    t.at = door;
    t.call("PUT", "/v1/pooler/activate");
    t.call("GET", "/v1/readyz");
    // A request that is open holds the end up.
    let mut client = HttpClient::connect(one.front);
    client.send(
        "GET /sparql?query=hold&timeout=2 HTTP/1.1\r\nHost: h\r\nBrookpass-Time-Left-Ms: 20000\r\n\r\n",
    );
    let holds = [&one.primary, &one.replica];
    eventually("a host has it", || {
        holds.iter().any(|host| host.came.try_iter().any(|came| came.contains("query=hold")))
    });
    one.daemon.signal("-TERM");
    one.daemon.wait_for_log(log_lines::SIGTERM_RECEIVED);
    t.call("GET", "/v1/readyz");
    t.call("PUT", "/v1/pooler/activate");
    t.call("PUT", "/v1/pooler/drain");
    holds.iter().for_each(|host| (0..8).for_each(|_| host.go.send(()).unwrap()));
    assert_eq!(client.receive().status(), 200);
    assert_eq!(one.daemon.wait_for_exit().code(), Some(0));
    golden("answers-door.txt", &t.text);
}

// ---- SPARQL over HTTP ----

/// The message with the values of those headers masked that differ from run to run.
fn without_times(text: &str) -> String {
    let varies = ["Brookpass-Time-Left-Ms: ", "Brookpass-Retry-After-Ms: ", "Retry-After: "];
    let line = |l: &str| match varies.iter().find(|h| l.starts_with(**h)) {
        Some(name) => format!("{name}#"),
        None => l.to_string(),
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}

/// Guards against a header that clients and hosts of the version before do not know, or that is left out.
#[test]
#[expect(clippy::too_many_lines, reason = "one conversation, written down in its order")]
fn requests_and_answers_pass_between_clients_and_hosts_with_the_golden_headers() {
    let one = One::served();
    let probe = one.primary.came.recv_timeout(DEFAULT_TIMEOUT).unwrap();
    let mut text = format!("> a question to a host about itself\n{}\n", one.named(&probe).trim_end());
    let commit = now_ms() - 300;
    let read = format!(
        "GET /sparql?query=SELECT&default-graph-uri=urn:g HTTP/1.1\r\nHost: h\r\nAccept: text/csv\r\nAccept-Language: de\r\n\
         Cookie: stays=here\r\nConnection: keep-alive\r\nBrookpass-Class: own-edit-read\r\nBrookpass-Session: s7\r\n\
         Brookpass-Group: 1\r\nBrookpass-Time-Left-Ms: 1900\r\nBrookpass-Position: {commit}\r\n\r\n"
    );
    let write = "POST /sparql HTTP/1.1\r\nHost: h\r\nContent-Type: application/sparql-update\r\nContent-Encoding: identity\r\n\
                 Brookpass-Class: score-write\r\nBrookpass-Session: s7\r\nBrookpass-Key: k9\r\nBrookpass-Group: 1\r\n\
                 Brookpass-Time-Left-Ms: 1900\r\nContent-Length: 9\r\n\r\nCLEAR ALL";
    let plain = "GET /sparql?query=SELECT HTTP/1.1\r\n\r\n";
    for (what, request) in [("an update with all headers", write), ("a read with all headers", &read)] {
        let answer = exchange(one.front, request);
        let came = loop {
            let all = [&one.primary, &one.replica].map(|host| host.came.try_iter().collect::<Vec<_>>());
            let own = all.into_iter().flatten().find(|came| !came.contains("ASK%20%7B%7D"));
            if let Some(own) = own {
                break one.named(&own).replace("REPLICA", "HOST").replace("PRIMARY", "HOST");
            }
        };
        let position = answer.lines().find_map(|l| l.strip_prefix("Brookpass-Position: ")).unwrap();
        let answer = answer.replace(position, "POSITION");
        // What a read has to see is told as a point in time, which is reckoned from an age.
        let since = came.lines().find_map(|l| l.strip_prefix("Brookpass-Position: "));
        let near = since.is_none_or(|at| at.parse::<i64>().is_ok_and(|at| (at - commit).abs() < 1_000));
        assert!(near, "{commit}: {came}");
        let came = without_times(&came.replace(since.unwrap_or("none"), "SINCE"));
        text += &format!(
            "\n> {what}, as a host gets it\n{came}\n\n> its answer\n{}\n",
            without_times(&answer).trim_end()
        );
    }
    let mut t = Transcript::new(one.front);
    t.raw("GET on another path", "GET /elsewhere HTTP/1.1\r\n\r\n");
    t.call("GET", "/-/ready");
    t.raw("a GET without a query", "GET /sparql HTTP/1.1\r\n\r\n");
    t.raw("another method", "DELETE /sparql HTTP/1.1\r\n\r\n");
    t.raw("another form", "POST /sparql HTTP/1.1\r\nContent-Type: text/plain\r\nContent-Length: 1\r\n\r\nx");
    for (name, value) in [
        ("Brookpass-Class", "none"),
        ("Brookpass-Class", "score-writes"),
        ("Brookpass-Group", "two"),
        ("Brookpass-Group", "99"),
        ("Brookpass-Time-Left-Ms", "-1"),
        ("Brookpass-Position", "soon"),
        ("Brookpass-Session", ""),
        ("Brookpass-Key", ""),
    ] {
        let request = plain.replace("HTTP/1.1\r\n", &format!("HTTP/1.1\r\n{name}: {value}\r\n"));
        t.raw(&format!("{name}: {value}"), &request);
    }
    let read = plain
        .replace("HTTP/1.1\r\n", "HTTP/1.1\r\nBrookpass-Class: catalog-read\r\nBrookpass-Position: 5\r\n");
    t.raw("a position for a class that does not look at it", &read);
    t.raw("an update by a class of reads", &WRITE.replace("Host: h", "Brookpass-Class: catalog-read"));
    let late = plain
        .replace("=SELECT", "=hold")
        .replace("HTTP/1.1\r\n", "HTTP/1.1\r\nBrookpass-Time-Left-Ms: 100\r\n");
    t.raw("no answer in time", &late);
    golden("answers-sparql.txt", &(text + "\n" + &t.text));
}

// ---- the way between daemons ----

/// Reads up to the empty line of a head.
fn head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut one = [0];
        stream.read_exact(&mut one).unwrap();
        bytes.extend(one);
    }
    String::from_utf8(bytes).unwrap()
}

/// Guards against daemons of two versions that do not find the way to one another.
#[test]
fn the_upgrade_between_daemons_has_the_golden_heads() {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = peer.local_addr().unwrap();
    let one = one(&[at]);
    let (mut stream, _) = peer.accept().unwrap();
    stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
    let wanted = format!(
        "POST /fleet/link HTTP/1.1\r\nHost: {at}\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(head(&mut stream), wanted);
    stream
        .write_all(b"HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\n\r\n")
        .unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut hello = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut hello).unwrap();
    // A check sum, the first kind of message, no fleet yet.
    assert_eq!(hello[..4], crc32fast::hash(&hello[4..]).to_be_bytes());
    assert_eq!(hello[4..6], [0, 0]);
    // The same bytes in the other direction: it answers with its verdict and says who it is.
    let mut stream = TcpStream::connect(one.store).unwrap();
    stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
    stream.write_all(wanted.as_bytes()).unwrap();
    let answer = head(&mut stream);
    assert_eq!(answer, "HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\n\r\n");
    stream.write_all(&[&length[..], &hello].concat()).unwrap();
    let mut start = [0; 10];
    stream.read_exact(&mut start).unwrap();
    assert_eq!(start[8..], [1, 0], "a verdict: welcome");
}

/// Guards against a call to discovery that the platform's agent does not know.
#[test]
fn the_calls_to_discovery_have_the_golden_heads() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = discovery.local_addr().unwrap();
    let path = test_directory("golden").join("config.json");
    std::fs::write(&path, platform::config("127.0.0.1:0", at, platform::SETTINGS)).unwrap();
    let _daemon = platform::start_process(&path);
    let (mut stream, _) = discovery.accept().unwrap();
    stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
    let wanted =
        |path: &str| format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nAccept: application/json\r\n\r\n");
    assert_eq!(head(&mut stream), wanted("/api/targets"));
    let list = snapshot_json(41, &[endpoint_json("p", unused_address(), 1, "active")]);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).unwrap();
    let watch = head(&mut stream);
    assert_eq!(masked(&watch), masked(&wanted("/api/targets?after=41&wait_ms=1")), "{watch}");
    assert!(watch.contains("?after=41&wait_ms="), "{watch}");
}
