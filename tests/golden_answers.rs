//! Compares what a node sends to operators, clients, endpoints and peers with golden files: paths, methods, status
//! codes, headers and texts. Values that differ from run to run are masked; everything else is compared exactly.

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

// ---- comparison and masking ----

/// Compares `actual` with the golden file `name`. A text that differs is written to the build's folder for test files,
/// under the same name.
fn check_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let expected = std::fs::read_to_string(path).unwrap_or_default();
    if expected != actual {
        let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&actual_path, actual).unwrap();
    }
    let pairs = expected.lines().zip(actual.lines());
    let first_difference =
        pairs.enumerate().find(|(_, (expected, actual))| expected != actual).map(|(n, pair)| (n + 1, pair));
    assert!(
        expected == actual,
        "{name}: the first line that differs, expected and found: {first_difference:?}; all:\n{actual}"
    );
}

/// Replaces hexadecimal ids, and then every run of digits, by `#`.
fn mask_numbers(text: &str) -> String {
    let is_id = |word: &str| {
        matches!(word.len(), 8 | 16 | 32)
            && word.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
    };
    let mask_ids = |line: &str| {
        line.split(' ').map(|word| if is_id(word) { "#" } else { word }).collect::<Vec<_>>().join(" ")
    };
    let mut masked = String::new();
    for c in text.lines().map(mask_ids).collect::<Vec<_>>().join("\n").chars() {
        match c.is_ascii_digit() {
            true if masked.ends_with('#') => {}
            true => masked.push('#'),
            false => masked.push(c),
        }
    }
    masked
}

/// The masked lines of `text`, sorted and without duplicates.
fn line_shapes(text: &str) -> String {
    let mut lines: Vec<String> = mask_numbers(text).lines().map(str::to_string).collect();
    lines.sort();
    lines.dedup();
    lines.join("\n")
}

// ---- raw HTTP exchanges ----

/// Reads one HTTP message: its head, and a body of the length that the head declares. `None` at the end of the stream.
fn read_message(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|n| *n > 0)?;
    }
    let length =
        head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

/// Sends a request on a new connection and returns the unchanged response.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut client = HttpClient::connect(address);
    client.send(request);
    read_message(&mut client.reader).unwrap_or_else(|| panic!("no answer to {request}"))
}

/// A request with an empty body.
fn empty_request(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
}

/// Calls and their responses, in order.
struct Transcript {
    /// The server that is called.
    address: SocketAddr,
    text: String,
}

impl Transcript {
    fn new(address: SocketAddr) -> Transcript {
        Transcript { address, text: String::new() }
    }

    fn record(&mut self, title: &str, answer: &str) {
        self.text += &format!("> {title}\n{}\n\n", answer.replace("\r\n", "\n").trim_end());
    }

    /// Records a call with its unchanged response.
    fn call(&mut self, method: &str, path: &str) {
        let answer = exchange(self.address, &empty_request(method, path));
        self.record(&format!("{method} {path}"), &answer);
    }

    /// Records a call with its response masked and without its Content-Length.
    fn call_masked(&mut self, method: &str, path: &str) {
        let answer = exchange(self.address, &empty_request(method, path));
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        let head =
            head.lines().filter(|line| !line.starts_with("Content-Length: ")).collect::<Vec<_>>().join("\n");
        self.record(&format!("{method} {path}, masked"), &format!("{head}\n\n{}", mask_numbers(body)));
    }

    /// Records the response to `request` under `title`.
    fn send_raw(&mut self, title: &str, request: &str) {
        let answer = exchange(self.address, request);
        self.record(title, &answer);
    }
}

/// The body of the response to a GET of `path`.
fn get_body(address: SocketAddr, path: &str) -> String {
    exchange(address, &empty_request("GET", path)).split_once("\r\n\r\n").unwrap().1.trim_end().to_string()
}

// ---- one node with two endpoints ----

/// An endpoint that answers every request. A request that contains `hold` waits for a message from `release`.
struct RecordingEndpoint {
    address: SocketAddr,
    /// Every request, unchanged.
    requests: Receiver<String>,
    release: Sender<()>,
}

fn start_endpoint(role: &'static str) -> RecordingEndpoint {
    let (request_sender, requests) = channel();
    let (release, released) = channel::<()>();
    let (request_sender, released) = (Mutex::new(request_sender), Arc::new(Mutex::new(released)));
    let address = spawn_server(move |stream| {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let _ = request_sender.lock().unwrap().send(request.clone());
            if request.contains("hold") {
                let _: Result<(), _> = released.lock().unwrap().recv();
            }
            let response = format!(
                "HTTP/1.1 200 Fine\r\nContent-Type: text/csv\r\nX-Other: passes\r\nBrookpass-Role: {role}\r\n\
                 Brookpass-Position: {}\r\nBrookpass-Load: util=0.2, up=100\r\nKeep-Alive: timeout=5\r\n\
                 Content-Length: 5\r\n\r\na,b\r\n",
                now_ms()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    });
    RecordingEndpoint { address, requests, release }
}

/// A node and the two endpoints of its inventory.
struct SingleNode {
    process: Process,
    store: SocketAddr,
    front: SocketAddr,
    /// The address of the admin server; `None` until the node serves.
    admin: Option<SocketAddr>,
    primary: RecordingEndpoint,
    replica: RecordingEndpoint,
}

/// Starts a node whose file names these peers; it may not serve yet.
fn start_node(peers: &[SocketAddr]) -> SingleNode {
    let (primary, replica) = (start_endpoint("primary"), start_endpoint("replica"));
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
    let mut process = Process::start(&["--operator", file.to_str().unwrap()], &[]);
    let store = process.wait_for_address(log_lines::STORE_LISTENING);
    let front = process.wait_for_address(log_lines::SPARQL_LISTENING);
    SingleNode { process, store, front, admin: None, primary, replica }
}

impl SingleNode {
    fn is_ready(&self) -> bool {
        call(self.front, "GET /-/ready HTTP/1.1\r\n\r\n").status() == 200
    }

    /// Starts a node without peers and waits until it serves all groups.
    fn start_serving() -> SingleNode {
        let mut node = start_node(&[]);
        node.admin = Some(node.process.wait_for_address(log_lines::ADMIN_LISTENING));
        eventually("it serves", || node.is_ready());
        eventually("its own file is agreed", || {
            let text = get_body(node.store, "/fleet");
            text.contains("recovery done") && text.contains("its own file says the same")
        });
        node
    }

    /// The text with the addresses of this run replaced by names.
    fn with_address_names(&self, text: &str) -> String {
        let mut text = text.to_string();
        let names = [
            (self.store, "STORE"),
            (self.front, "FRONT"),
            (self.primary.address, "PRIMARY"),
            (self.replica.address, "REPLICA"),
        ];
        for (address, name) in names {
            text = text.replace(&address.to_string(), name);
        }
        text
    }
}

const WRITE: &str = "POST /sparql HTTP/1.1\r\nHost: h\r\nContent-Type: application/sparql-update\r\nContent-Length: 9\r\n\r\nCLEAR ALL";

// ---- the store's server ----

/// Guards against a change to a path, method, status or text of the store's server that operators' scripts use.
#[test]
fn the_stores_answers_match_the_golden_file() {
    let node = SingleNode::start_serving();
    eventually("the zone reports from the start have expired", || {
        let text = get_body(node.store, "/zones");
        !text.contains(" seen by ") && text.matches("looks unknown").count() == 2
    });
    let mut t = Transcript::new(node.store);
    t.call("GET", "/hosts");
    t.call_masked("GET", "/fleet");
    t.call("GET", "/zones");
    t.call("GET", "/fleet/recover");
    t.call("POST", "/fleet/recover");
    t.call("POST", "/fleet/form");
    t.call("POST", "/drain/p");
    t.call("POST", "/drain/p");
    t.call("GET", "/hosts");
    t.call_masked("GET", "/fleet");
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
        let browser_request =
            format!("{method} /hosts HTTP/1.1\r\nHost: h\r\nOrigin: http://x\r\nContent-Length: 0\r\n\r\n");
        t.send_raw(&format!("{method} /hosts with an Origin"), &browser_request);
    }
    t.send_raw("a header without a colon", "GET /hosts HTTP/1.1\r\nno colon\r\n\r\n");
    t.send_raw("another protocol", "GET /hosts SPDY/3\r\n\r\n");
    t.send_raw("a long message", "POST /drain/p HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
    let text = node.with_address_names(&t.text);
    check_golden("answers-store.txt", &text);
}

/// Guards against a changed format of the lines that report roles of endpoints and health of zones, which operators'
/// scripts parse.
#[test]
fn learned_roles_and_zone_reports_have_the_expected_line_shapes() {
    let node = SingleNode::start_serving();
    let mut learned = String::new();
    let expected = "group # primary p heard by b# # ms ago\np b# primary # # #\nr b# replica # # #";
    eventually("the roles of both endpoints are known", || {
        call(node.front, "GET /sparql?query=SELECT HTTP/1.1\r\n\r\n");
        learned = line_shapes(&get_body(node.store, "/fleet/learned"));
        learned.lines().count() == 3
    });
    assert_eq!(learned, expected);
    let mut zone_lines = String::new();
    eventually("a report on the primary's zone is there", || {
        call(node.front, WRITE);
        let text = get_body(node.store, "/zones");
        zone_lines = text
            .lines()
            .filter(|line| line.starts_with("zone north "))
            .map(|line| format!("{line}\n"))
            .collect();
        zone_lines.contains("looks sound") && zone_lines.contains(" seen by ")
    });
    let expected = "zone north gets # of #, agreed # by move #, Returns, failed #; looks sound of region up\n\
                  zone north seen by b# good # late # silent # refused # hosts # gone # busy #";
    assert_eq!(mask_numbers(&zone_lines), expected);
}

/// Guards against a renamed identifier that changes an externally visible name of a zone state. The names are checked
/// directly, since a running node does not reach some of the states quickly.
#[test]
fn zone_states_keep_their_outer_names() {
    let reasons = [WeightReason::Returns, WeightReason::Lost, WeightReason::Slow, WeightReason::Operator]
        .map(|reason| format!("{reason:?}"));
    assert_eq!(reasons, ["Returns", "Lost", "Slow", "Operator"]);
    let states =
        [ZoneHealth::Unknown, ZoneHealth::Healthy, ZoneHealth::Degraded, ZoneHealth::Slow, ZoneHealth::Lost];
    let labels = states.map(|health| health.label());
    assert_eq!(labels, ["unknown", "sound", "doubtful", "slow", "lost"]);
}

/// Guards against changed texts of a node that waits for its peers, and against rejections before the node serves that
/// do not state when clients may retry.
#[test]
fn the_answers_of_a_node_without_a_fleet_match_the_golden_file() {
    let silent_peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = start_node(&[silent_peer.local_addr().unwrap()]);
    eventually("it says what it waits for", || {
        get_body(node.store, "/fleet").contains("waits for an answer of")
    });
    let mut t = Transcript::new(node.store);
    for path in ["/hosts", "/zones", "/fleet/learned", "/fleet/recover"] {
        t.call("GET", path);
    }
    t.call_masked("GET", "/fleet");
    for path in ["/drain/p", "/undrain/p", "/zone/north/leave", "/fleet/vote/b1", "/fleet/recover"] {
        t.call("POST", path);
    }
    t.address = node.front;
    t.call("GET", "/-/ready");
    t.call_masked("GET", "/sparql?query=ASK%20%7B%7D");
    t.call_masked("GET", "/elsewhere");
    t.address = node.store;
    t.call("POST", "/fleet/form");
    eventually("it serves", || node.is_ready());
    t.call("POST", "/fleet/form");
    check_golden("answers-without-a-fleet.txt", &(mask_times(&t.text) + "\n"));
}

fn new_cluster(node_count: usize) -> TestCluster {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let setup = ClusterConfig { nodes: node_count, groups: 1, ..ClusterConfig::default() };
    TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, setup)
}

/// Runs `brookpass fleet recover` for the store at this address; returns its exit code and masked output.
fn run_recover(store: SocketAddr, options: &[&str]) -> String {
    let address = store.to_string();
    let arguments = [&["fleet", "recover", address.as_str()], options].concat();
    let output = Command::new(env!("CARGO_BIN_EXE_brookpass")).args(arguments).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    format!("exit code {}\n{}", output.status.code().unwrap(), mask_numbers(&text.replace(&address, "STORE")))
}

/// Guards against changed texts for operators while nodes leave, are down, or are too few for a majority.
#[test]
fn the_answers_of_a_shrinking_fleet_match_the_golden_file() {
    let cluster = &mut new_cluster(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let (remaining, leaving) = (others[0], others[1]);
    let is_settled = |cluster: &TestCluster, n: usize| {
        let text = cluster.fleet_status(n);
        text.contains("recovery done")
            && text.contains("its own file says the same")
            && !text.contains("never heard")
            && text.lines().all(|line| !line.starts_with("member ") || !line.ends_with(" leader none"))
    };
    for n in 0..3 {
        eventually("the status of the node is settled", || is_settled(cluster, n));
    }
    let mut text = String::new();
    let mut record = |title: &str, answer: &str| text += &format!("> {title}\n{}\n\n", answer.trim_end());
    let post = |cluster: &TestCluster, n: usize, path: &str| {
        let answer =
            exchange(cluster.nodes[n].store_address, &empty_request("POST", path)).replace("\r\n", "\n");
        answer.replace(&cluster.nodes[n].name, "NAME").replace(&cluster.nodes[leaving].name, "GOES")
    };
    record("the leader, GET /fleet", &line_shapes(&cluster.fleet_status(leader)));
    record("another one, GET /fleet", &line_shapes(&cluster.fleet_status(remaining)));
    record("a majority is there, fleet recover", &run_recover(cluster.nodes[remaining].store_address, &[]));
    record("POST /fleet/leave/GOES", &post(cluster, leader, &format!("/fleet/leave/b{leaving}")));
    eventually("the node reports that it was removed", || {
        cluster.fleet_status(leaving).contains(" removed\n")
    });
    // Depending on timing, the node may still report the leader, and may or may not have applied its own removal.
    let status = cluster.fleet_status(leaving).replace("\nleader none ", "\nleader b0 ");
    let status: Vec<&str> =
        status.lines().filter(|line| !line.starts_with("member ") && !line.starts_with("removed ")).collect();
    record("it has left, GET /fleet without members", &line_shapes(&status.join("\n")));
    for path in ["/drain/s-1-1", "/undrain/s-1-1", "/zone/z-1/leave", "/fleet/vote/b0"] {
        record(&format!("it has left, POST {path}"), &post(cluster, leaving, path));
    }
    record("it has left, fleet recover", &run_recover(cluster.nodes[leaving].store_address, &[]));
    cluster.kill(leaving);
    eventually("the removal reaches the others", || cluster.fleet_status(remaining).contains("\nremoved "));
    assert_eq!(cluster.post(remaining, "/drain/s-1-2"), 200);
    cluster.wait_until_caught_up();
    cluster.kill(leader);
    eventually("no majority is known", || cluster.fleet_field(remaining, "leader") == "none");
    for path in ["/drain/s-1-1", "/undrain/s-1-2", "/zone/z-1/leave"] {
        record(&format!("no majority, POST {path}"), &post(cluster, remaining, path));
    }
    let leave_answer = post(cluster, remaining, &format!("/fleet/leave/{}", cluster.nodes[leader].name));
    record("no majority, POST /fleet/leave/LEADER", &leave_answer);
    record("no majority, GET /fleet", &line_shapes(&cluster.fleet_status(remaining)));
    eventually("the other one is not heard", || {
        get_body(cluster.nodes[remaining].store_address, "/fleet/recover").contains("is not heard")
    });
    record("no majority, fleet recover", &run_recover(cluster.nodes[remaining].store_address, &[]));
    record(
        "no majority, fleet recover --yes",
        &run_recover(cluster.nodes[remaining].store_address, &["--yes"]),
    );
    eventually("it goes on alone", || cluster.fleet_status(remaining).contains(" leads\n"));
    check_golden("answers-shrinking-fleet.txt", &text);
}

// ---- the admin server ----

/// Guards against a change to a path, method, header or metric name that monitoring tools use.
#[test]
fn the_admin_servers_answers_match_the_golden_file() {
    let mut node = SingleNode::start_serving();
    assert_eq!(call(node.front, WRITE).status(), 200);
    let mut t = Transcript::new(node.admin.unwrap());
    t.call("GET", "/v1/readyz");
    t.call_masked("GET", "/v1/metrics");
    for path in ["/v1/readyz", "/v1/metrics", "/v1/pooler/drain", "/v1/pooler/activate"] {
        for method in ["GET", "PUT", "POST", "DELETE"] {
            let allowed = if path.starts_with("/v1/pooler") { "PUT" } else { "GET" };
            if method != allowed {
                t.call(method, path);
            }
        }
    }
    t.call("GET", "/");
    t.call("GET", "/v1/other");
    t.call("PUT", "/v1/pooler/drain");
    t.call("GET", "/v1/readyz");
    let admin = std::mem::replace(&mut t.address, node.front);
    t.send_raw("GET /-/ready at the front", "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
    t.address = admin;
    t.call("PUT", "/v1/pooler/activate");
    t.call("GET", "/v1/readyz");
    // An open request delays the end of the process.
    let mut client = HttpClient::connect(node.front);
    client.send(
        "GET /sparql?query=hold&timeout=2 HTTP/1.1\r\nHost: h\r\nBrookpass-Time-Left-Ms: 20000\r\n\r\n",
    );
    let endpoints = [&node.primary, &node.replica];
    eventually("an endpoint has the request", || {
        endpoints
            .iter()
            .any(|endpoint| endpoint.requests.try_iter().any(|request| request.contains("query=hold")))
    });
    node.process.signal("-TERM");
    node.process.wait_for_log(log_lines::SIGTERM_RECEIVED);
    t.call("GET", "/v1/readyz");
    t.call("PUT", "/v1/pooler/activate");
    t.call("PUT", "/v1/pooler/drain");
    endpoints.iter().for_each(|endpoint| (0..8).for_each(|_| endpoint.release.send(()).unwrap()));
    assert_eq!(client.receive().status(), 200);
    assert_eq!(node.process.wait_for_exit().code(), Some(0));
    check_golden("answers-door.txt", &t.text);
}

// ---- SPARQL over HTTP ----

/// The message with the values of time headers, which differ from run to run, replaced by `#`.
fn mask_times(text: &str) -> String {
    let time_headers = ["Brookpass-Time-Left-Ms: ", "Brookpass-Retry-After-Ms: ", "Retry-After: "];
    let mask = |line: &str| match time_headers.iter().find(|header| line.starts_with(**header)) {
        Some(header) => format!("{header}#"),
        None => line.to_string(),
    };
    text.lines().map(mask).collect::<Vec<_>>().join("\n")
}

/// Guards against a missing header, and against one that clients and endpoints of the previous version do not support.
#[test]
#[expect(clippy::too_many_lines, reason = "one exchange after the other, in the order of the golden file")]
fn sparql_requests_and_answers_have_the_headers_of_the_golden_file() {
    let node = SingleNode::start_serving();
    let probe = node.primary.requests.recv_timeout(DEFAULT_TIMEOUT).unwrap();
    let mut text =
        format!("> a question to a host about itself\n{}\n", node.with_address_names(&probe).trim_end());
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
    for (title, request) in [("an update with all headers", write), ("a read with all headers", &read)] {
        let answer = exchange(node.front, request);
        let forwarded = loop {
            let received = [&node.primary, &node.replica]
                .map(|endpoint| endpoint.requests.try_iter().collect::<Vec<_>>());
            let first = received.into_iter().flatten().find(|request| !request.contains("ASK%20%7B%7D"));
            if let Some(first) = first {
                break node.with_address_names(&first).replace("REPLICA", "HOST").replace("PRIMARY", "HOST");
            }
        };
        let position = answer.lines().find_map(|line| line.strip_prefix("Brookpass-Position: ")).unwrap();
        let answer = answer.replace(position, "POSITION");
        // The pooler computes the forwarded position of a read from the age of the client's position, so the two may
        // differ a little.
        let required = forwarded.lines().find_map(|line| line.strip_prefix("Brookpass-Position: "));
        let is_near = required.is_none_or(|at| at.parse::<i64>().is_ok_and(|at| (at - commit).abs() < 1_000));
        assert!(is_near, "{commit}: {forwarded}");
        let forwarded = mask_times(&forwarded.replace(required.unwrap_or("none"), "SINCE"));
        text += &format!(
            "\n> {title}, as a host gets it\n{forwarded}\n\n> its answer\n{}\n",
            mask_times(&answer).trim_end()
        );
    }
    let mut t = Transcript::new(node.front);
    t.send_raw("GET on another path", "GET /elsewhere HTTP/1.1\r\n\r\n");
    t.call("GET", "/-/ready");
    t.send_raw("a GET without a query", "GET /sparql HTTP/1.1\r\n\r\n");
    t.send_raw("another method", "DELETE /sparql HTTP/1.1\r\n\r\n");
    t.send_raw(
        "another form",
        "POST /sparql HTTP/1.1\r\nContent-Type: text/plain\r\nContent-Length: 1\r\n\r\nx",
    );
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
        t.send_raw(&format!("{name}: {value}"), &request);
    }
    let read = plain
        .replace("HTTP/1.1\r\n", "HTTP/1.1\r\nBrookpass-Class: catalog-read\r\nBrookpass-Position: 5\r\n");
    t.send_raw("a position for a class that does not look at it", &read);
    t.send_raw("an update by a class of reads", &WRITE.replace("Host: h", "Brookpass-Class: catalog-read"));
    let late = plain
        .replace("=SELECT", "=hold")
        .replace("HTTP/1.1\r\n", "HTTP/1.1\r\nBrookpass-Time-Left-Ms: 100\r\n");
    t.send_raw("no answer in time", &late);
    check_golden("answers-sparql.txt", &(text + "\n" + &t.text));
}

// ---- connections between nodes, and to discovery ----

/// Reads the head of a message, up to its empty line.
fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut one = [0];
        stream.read_exact(&mut one).unwrap();
        bytes.extend(one);
    }
    String::from_utf8(bytes).unwrap()
}

/// Guards against a change to the HTTP upgrade between nodes, after which nodes of different versions could not
/// connect to each other.
#[test]
fn the_upgrade_between_nodes_has_the_expected_heads() {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = peer.local_addr().unwrap();
    let node = start_node(&[address]);
    let (mut stream, _) = peer.accept().unwrap();
    stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
    let expected = format!(
        "POST /fleet/link HTTP/1.1\r\nHost: {address}\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(read_head(&mut stream), expected);
    stream
        .write_all(b"HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\n\r\n")
        .unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut hello = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut hello).unwrap();
    // A checksum; then the message kind 0, and 0 since there is no fleet yet.
    assert_eq!(hello[..4], crc32fast::hash(&hello[4..]).to_be_bytes());
    assert_eq!(hello[4..6], [0, 0]);
    // The same bytes in the other direction: the node answers with a verdict on the link, followed by its own hello.
    let mut stream = TcpStream::connect(node.store).unwrap();
    stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
    stream.write_all(expected.as_bytes()).unwrap();
    let answer = read_head(&mut stream);
    assert_eq!(answer, "HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\n\r\n");
    stream.write_all(&[&length[..], &hello].concat()).unwrap();
    let mut start = [0; 10];
    stream.read_exact(&mut start).unwrap();
    assert_eq!(start[8..], [1, 0], "a verdict: welcome");
}

/// Guards against calls to discovery that the platform's agent does not support.
#[test]
fn the_calls_to_discovery_have_the_expected_heads() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = discovery.local_addr().unwrap();
    let path = test_directory("golden").join("config.json");
    std::fs::write(&path, platform::config("127.0.0.1:0", address, platform::SETTINGS)).unwrap();
    let _pooler = platform::start_process(&path);
    let (mut stream, _) = discovery.accept().unwrap();
    stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
    let expected =
        |path: &str| format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    assert_eq!(read_head(&mut stream), expected("/api/targets"));
    let list = snapshot_json(41, &[endpoint_json("p", unused_address(), 1, "active")]);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).unwrap();
    let watch = read_head(&mut stream);
    assert_eq!(mask_numbers(&watch), mask_numbers(&expected("/api/targets?after=41&wait_ms=1")), "{watch}");
    assert!(watch.contains("?after=41&wait_ms="), "{watch}");
}
