//! The admin server, draining, and the takeover of an inherited client socket by a new process.

mod stand_in;

use brookpass_testkit::log_lines;
use stand_in::discovery::{DiscoveryServer, endpoint_json};
use stand_in::http::{HttpClient, HttpMessage, call, read_http_message};
use stand_in::network::unused_address;
use stand_in::platform::{keyed_write_statement, primary_and_replica_list, read_statement};
use stand_in::postgres::client::{PostgresClient, row_of};
use stand_in::postgres::endpoint::{PostgresEndpoint, Reply, release_channel};
use stand_in::process::{Process, test_directory};
use stand_in::waiting::eventually;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// Deadline of statements for which a test sets no other one.
const DEADLINE_MS: u32 = 2000;

/// Configuration line that starts the admin server on a free port.
const ADMIN_ON_ANY_PORT: &str = "\"admin_addr\":\"127.0.0.1:0\",";

/// The `settings` object, with a request class `never` that no test uses.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"discovery":"automatic","zones":["a"],"zone":0,
 "services":[
  {"name":"read","target":1.0,"deadline":2.5,"repeat":"repeatable","worth":3,"late-worth":0.2},
  {"name":"write","target":0.6,"deadline":2.0,"repeat":"by_key","group":"cell","dedup-window":1.2,"worth":6,"late-worth":0.5},
  {"name":"never","target":0.6,"deadline":2.0,"repeat":"repeatable","worth":6,"late-worth":0.5}],
 "family-info":{"consistency":["lag_bound","mutate","lag_bound"],"max-age":[0.8,0.0,0.8],"behind":"await","session-marks":"brought","zero":12.5},
 "limits":{"may-cancel":true,"second-copies":false,"retry-after":true,"max-retry-after":1.0,"max-attempts":8,
  "connect-timeout":0.25,"conn-idle":15.0},
 "report":{"via":"answers","fields":["x0","x1","util"]}}"#;

/// A group whose primary answers each write when the test releases it, and whose replica answers reads at once.
struct Group {
    primary: PostgresEndpoint,
    replica: PostgresEndpoint,
    release_write: Sender<()>,
}

impl Group {
    fn start() -> Group {
        let (release_write, released) = release_channel();
        let primary = PostgresEndpoint::primary(move |text| match text.contains("INSERT") {
            true => Reply::RowAfterRelease(released.clone(), b"late"),
            false => Reply::Row(b"primary"),
        });
        let replica = PostgresEndpoint::replica(|text| match text.contains("INSERT") {
            true => Reply::Error("25006"),
            false => Reply::Row(b"replica"),
        });
        Group { primary, replica, release_write }
    }

    /// How many statements both endpoints have received, in the form of a counter in the metrics.
    fn statement_counter(&self) -> String {
        format!("{}|c", self.primary.statement_count() + self.replica.statement_count())
    }

    /// Sends a write and waits until the primary has received it. `release_write` releases the response.
    fn send_write(&self, client: &mut PostgresClient, id: &str, key: usize) {
        let count_before = self.primary.statement_count();
        client.send_query(&keyed_write_statement(id, DEADLINE_MS, key));
        eventually("the primary has the write", || self.primary.statement_count() > count_before);
    }
}

/// The platform's configuration with additional lines, each of which ends with a comma.
fn config(discovery: SocketAddr, additional_lines: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f\",{additional_lines}\n\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":384}},\n\"settings\":{SETTINGS}}}"
    )
}

/// The program with its admin server, a group and a discovery server.
struct RunningPooler {
    process: Process,
    client_address: SocketAddr,
    admin: AdminServer,
    discovery: DiscoveryServer,
    group: Group,
}

fn start_pooler() -> RunningPooler {
    let group = Group::start();
    let discovery = DiscoveryServer::start();
    let mut list = primary_and_replica_list(&group.primary, &group.replica);
    list.push(endpoint_json("old", unused_address(), 1, "leaving"));
    discovery.preset(&list);
    let config_path = test_directory("admin").join("config.json");
    std::fs::write(&config_path, config(discovery.address, ADMIN_ON_ANY_PORT)).unwrap();
    let mut process = Process::start(&[], &[("GW_CONFIG", config_path.to_str().unwrap())]);
    let client_address = process.wait_for_address(log_lines::POSTGRES_LISTENING);
    let admin = AdminServer { address: process.wait_for_address(log_lines::ADMIN_LISTENING) };
    discovery.wait_for_watch();
    RunningPooler { process, client_address, admin, discovery, group }
}

/// The program's admin server.
struct AdminServer {
    address: SocketAddr,
}

impl AdminServer {
    fn call(&self, method: &str, path: &str) -> HttpMessage {
        let request = format!("{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n");
        call(self.address, &request)
    }

    /// Sends a call and returns the status of its response.
    fn status(&self, method: &str, path: &str) -> u16 {
        self.call(method, path).status()
    }

    fn is_ready(&self) -> bool {
        self.status("GET", "/v1/readyz") == 200
    }

    /// A metric's value and type: `3|c` for the line `svc.success.read:3|c`.
    fn metric(&self, name: &str) -> String {
        let metrics = self.call("GET", "/v1/metrics").text();
        let prefix = format!("svc.{name}:");
        let value = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
        value.unwrap_or_else(|| panic!("no {name} in {metrics}")).to_string()
    }
}

/// Guards against request outcomes that are counted twice or not at all, and against a request class that is
/// missing from the metrics.
#[test]
fn every_outcome_is_counted_once_and_gauges_show_the_current_state() {
    let RunningPooler { process: _process, client_address, admin, discovery, group } = start_pooler();
    let mut client = PostgresClient::connect(client_address);
    assert_eq!(admin.metric("success.never"), "0|c");
    assert_eq!(admin.metric("targets"), "3|g");
    assert_eq!(admin.metric("targets_disabled"), "1|g", "the endpoint `old` is leaving");
    for number in 0..5 {
        assert_eq!(client.query(&read_statement(&number.to_string(), DEADLINE_MS)).sqlstate, None);
    }
    let after_reads = (admin.metric("success.read"), admin.metric("dispatches"));
    assert_eq!(after_reads, ("5|c".into(), group.statement_counter()));
    let mut writer = PostgresClient::connect(client_address);
    group.send_write(&mut writer, "7", 17);
    assert_eq!(admin.metric("concurrent"), "1|g");
    group.release_write.send(()).unwrap();
    assert!(writer.receive().unwrap().value.is_some());
    let after_write = (admin.metric("concurrent"), admin.metric("success.write"));
    assert_eq!(after_write, ("0|g".into(), "1|c".into()));
    let unknown_group = read_statement("8", DEADLINE_MS).replace("cluster=1", "cluster=9");
    assert_eq!(client.query(&unknown_group).sqlstate.as_deref(), Some("42704"));
    discovery.publish(&[endpoint_json("p", group.primary.address, 1, "leaving")]);
    assert_eq!(client.query(&read_statement("9", 300)).sqlstate.as_deref(), Some("53300"));
    let after_rejections = (admin.metric("error.read"), admin.metric("overload.read"));
    assert_eq!(after_rejections, ("1|c".into(), "1|c".into()));
    let final_metrics = (admin.metric("dispatches"), admin.metric("targets"));
    assert_eq!(final_metrics, (group.statement_counter(), "1|g".into()));
}

/// Opens 60 connections to the admin server. Half of them send nothing, the others an incomplete request.
fn connect_silent_callers(address: SocketAddr) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for number in 0..60 {
        let mut caller = TcpStream::connect(address).unwrap();
        if number % 2 == 0 {
            let _ = caller.write_all(b"GET /v1/met");
        }
        callers.push(caller);
    }
    callers
}

/// Guards against silent connections that block the admin server for other callers, and against invalid calls
/// that have an effect.
#[test]
fn silent_connections_do_not_block_the_admin_server_and_invalid_calls_have_no_effect() {
    let pooler = start_pooler();
    let admin = &pooler.admin;
    let silent_callers = connect_silent_callers(admin.address);
    for _ in 0..20 {
        let started_at = Instant::now();
        assert_eq!(admin.status("GET", "/v1/readyz"), 200);
        assert!(started_at.elapsed() < Duration::from_secs(1));
    }
    drop(silent_callers);
    for (method, path, status) in [
        ("GET", "/v1/other", 404),
        ("GET", "/", 404),
        ("PUT", "/v1/readyz", 405),
        ("POST", "/v1/pooler/drain", 405),
        ("GET", "/v1/pooler/activate", 405),
    ] {
        let response = admin.call(method, path);
        let outcome = (response.status(), response.header("connection"));
        assert_eq!(outcome, (status, Some("close")), "{method} {path}");
        assert_eq!(response.header("allow").is_some(), status == 405);
    }
    for (request, status) in [
        ("\r\n\r\n".to_string(), 400),
        ("GET /v1/readyz\r\nno colon\r\n\r\n".into(), 400),
        ("GET /v1/readyz SPDY/3\r\n\r\n".into(), 505),
        ("PUT /v1/pooler/drain HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".into(), 413),
        (format!("GET /v1/readyz HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(9_000)), 431),
    ] {
        let mut client = HttpClient::connect(admin.address);
        assert_eq!(client.call(&request).status(), status, "{request:.40}");
        assert!(
            read_http_message(&mut client.reader).is_none(),
            "the connection is closed after the response"
        );
    }
    assert_eq!(admin.metric("concurrent"), "0|g", "no invalid call has had an effect");
    assert!(PostgresClient::connect(pooler.client_address).query("").is_empty_query);
}

/// Guards against an admin server that listens although the configuration contains no address for it.
#[test]
fn without_a_configured_address_there_is_no_admin_server() {
    let discovery = DiscoveryServer::start();
    let config_path = test_directory("admin").join("config.json");
    std::fs::write(&config_path, config(discovery.address, "")).unwrap();
    let mut process = Process::start(&[], &[("GW_CONFIG", config_path.to_str().unwrap())]);
    process.wait_for_log(log_lines::STARTUP_LIMITS);
    discovery.wait_for_watch();
    process.signal("-TERM");
    assert!(process.wait_for_exit().success());
    process.wait_for_log(log_lines::DRAINED);
    let names_admin_server = process.log_lines.iter().any(|line| line.contains("operators"));
    assert!(!names_admin_server, "{:?}", process.log_lines);
}

/// Guards against lost requests and connections that stay open while the pooler is drained, and against a
/// pooler that cannot be reactivated.
#[test]
fn a_drained_pooler_closes_connections_without_losing_requests_and_can_be_reactivated() {
    let RunningPooler { process: _process, client_address, admin, discovery: _discovery, group } =
        start_pooler();
    let mut busy = PostgresClient::connect(client_address);
    let mut idle = PostgresClient::connect(client_address);
    assert_eq!(idle.query(&read_statement("1", DEADLINE_MS)).sqlstate, None);
    group.send_write(&mut busy, "2", 12);
    // Called twice: the second call must change nothing.
    for _ in 0..2 {
        assert_eq!(admin.status("PUT", "/v1/pooler/drain"), 200);
    }
    let drained_at = Instant::now();
    let idle_read = idle.query(&read_statement("3", DEADLINE_MS));
    assert!(idle_read.value.is_some(), "an open connection may still send requests");
    // The load balancer in front of the poolers checks readiness by an empty query.
    let mut load_balancer = PostgresClient::connect(client_address);
    let not_ready = load_balancer.query("");
    let outcome = (not_ready.is_empty_query, not_ready.sqlstate.as_deref(), not_ready.is_fatal);
    assert_eq!(outcome, (false, Some("57P03"), false));
    assert_eq!((idle.receive(), load_balancer.receive()), (None, None), "then both connections are closed");
    let mut new_client = PostgresClient::connect(client_address);
    let new_client_read = new_client.query(&read_statement("4", DEADLINE_MS));
    assert!(new_client_read.value.is_some(), "a new connection may still send a request");
    assert_eq!(new_client.receive(), None);
    group.release_write.send(()).unwrap();
    assert_eq!(busy.receive().unwrap().value, row_of(b"late"), "an accepted request is not lost");
    assert_eq!(busy.receive(), None);
    assert!(drained_at.elapsed() < Duration::from_secs(4));
    assert_eq!(admin.call("GET", "/v1/readyz").text().trim(), "ready, drained");
    for _ in 0..2 {
        assert_eq!(admin.status("PUT", "/v1/pooler/activate"), 200);
        assert!(PostgresClient::connect(client_address).query("").is_empty_query, "ready again at once");
    }
}

/// Guards against admin calls after SIGTERM that cancel the shutdown or lose an open request.
#[test]
fn sigterm_shuts_down_a_drained_pooler_and_no_admin_call_reactivates_it() {
    let mut pooler = start_pooler();
    let mut busy = PostgresClient::connect(pooler.client_address);
    pooler.group.send_write(&mut busy, "1", 11);
    assert_eq!(pooler.admin.status("PUT", "/v1/pooler/drain"), 200);
    pooler.process.signal("-TERM");
    pooler.process.wait_for_log(log_lines::SIGTERM_RECEIVED);
    assert_eq!(pooler.admin.status("PUT", "/v1/pooler/activate"), 409);
    assert_eq!(pooler.admin.status("PUT", "/v1/pooler/drain"), 200);
    assert_eq!(pooler.admin.status("GET", "/v1/readyz"), 503);
    pooler.group.release_write.send(()).unwrap();
    assert_eq!(busy.receive().unwrap().value, row_of(b"late"));
    assert!(pooler.process.wait_for_exit().success());
}

/// Starts the program as a platform does that owns the client socket: the program inherits it as file
/// descriptor 3.
fn start_with_inherited_socket(socket: &TcpListener, config_path: &Path) -> Process {
    let script = format!("exec {} 3<&{}", env!("CARGO_BIN_EXE_brookpass"), socket.as_raw_fd());
    let mut command = Command::new("bash");
    command
        .args(["-c", &script])
        .env("GW_CONFIG", config_path)
        .env("GW_PASSED_SOCKET", "3")
        .env("GW_ADMIN_ADDR", "127.0.0.1:0");
    Process::spawn(command)
}

/// A listening socket that child processes inherit.
fn inheritable_listener() -> TcpListener {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::empty()).unwrap();
    socket
}

/// Guards against requests that are rejected, reset or left unread while a new process takes over from an old
/// one.
#[test]
fn a_new_process_takes_over_the_client_socket_without_failed_requests() {
    let group = Group::start();
    let discovery = DiscoveryServer::start();
    discovery.preset(&primary_and_replica_list(&group.primary, &group.replica));
    let peer_address = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let peer_lines = format!("\"peer_listen\":\"{peer_address}\",\"peers\":[\"{peer_address}\"],");
    let config_path = test_directory("takeover").join("config.json");
    std::fs::write(&config_path, config(discovery.address, &peer_lines)).unwrap();
    let socket = inheritable_listener();
    let client_address = socket.local_addr().unwrap();
    let mut old = start_with_inherited_socket(&socket, &config_path);
    let old_admin = AdminServer { address: old.wait_for_address(log_lines::ADMIN_LISTENING) };
    eventually("the old process is ready", || old_admin.is_ready());
    let mut client = PostgresClient::connect(client_address);
    group.send_write(&mut client, "1", 11);
    let mut new = start_with_inherited_socket(&socket, &config_path);
    new.wait_for_log(log_lines::GOSSIP_ADDRESS_BUSY);
    let new_admin = AdminServer { address: new.wait_for_address(log_lines::ADMIN_LISTENING) };
    eventually("the new process is ready", || new_admin.is_ready());
    old.signal("-TERM");
    old.wait_for_log(log_lines::SIGTERM_RECEIVED);
    for number in 2..20 {
        let read = read_statement(&number.to_string(), DEADLINE_MS);
        let response = PostgresClient::connect(client_address).query(&read);
        let value_is_empty = response.value.as_deref().map(<[u8]>::is_empty);
        assert_eq!(value_is_empty, Some(false), "request {number}: {:?}", response.sqlstate);
    }
    group.release_write.send(()).unwrap();
    let response = client.receive().unwrap();
    assert_eq!(response.value, row_of(b"late"), "the old process answers the request that it accepted");
    assert!(old.wait_for_exit().success());
    assert!(PostgresClient::connect(client_address).query("").is_empty_query, "the new process still serves");
    eventually("the new process has bound the peer address", || UdpSocket::bind(peer_address).is_err());
    assert_eq!(new_admin.metric("error.read"), "0|c");
}

/// Guards against a start that continues without the client socket.
#[test]
fn a_start_fails_when_the_variable_names_no_listening_socket() {
    let config_path = test_directory("takeover").join("config.json");
    std::fs::write(&config_path, config(unused_address(), "")).unwrap();
    for descriptor in ["3", "0x3", "700"] {
        let variables = [("GW_CONFIG", config_path.to_str().unwrap()), ("GW_PASSED_SOCKET", descriptor)];
        let mut process = Process::start(&[], &variables);
        process.wait_for_log(&format!("GW_PASSED_SOCKET={descriptor}"));
        assert!(!process.wait_for_exit().success());
    }
}
