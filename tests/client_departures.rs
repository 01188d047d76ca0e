//! Clients that disconnect, for every state in which their request may be. Each test forces one order of
//! events.

mod stand_in;

use stand_in::discovery::{ScriptedDiscoveryServer, endpoint_json, snapshot_json};
use stand_in::platform::{
    PostgresGroup, SETTINGS, config, keyed_write_statement, read_statement, start_pooler,
    start_pooler_with_config, start_process, write_statement,
};
use stand_in::postgres::client::{PostgresClient, PostgresResponse, row_of};
use stand_in::postgres::endpoint::{PostgresEndpoint, Reply, release_channel};
use stand_in::postgres::manual_endpoint::ManualEndpoint;
use stand_in::postgres::messages;
use stand_in::process::test_directory;
use stand_in::waiting::{DEFAULT_TIMEOUT, eventually};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which the pooler detects that a client has disconnected.
const DISCONNECT_NOTICED_WITHIN: Duration = Duration::from_millis(300);

/// Far longer than the timeout of the tests, so that the deadline is never what ends an attempt.
const REMOTE_DEADLINE_MS: u32 = 600_000;

/// The beginning of an incomplete message, longer than what the pooler reads ahead behind an open request.
fn incomplete_message_beyond_read_ahead() -> Vec<u8> {
    let mut bytes = messages::query(&"x".repeat(120_000));
    bytes.truncate(110_000);
    bytes
}

/// Guards against an attempt that goes on until its deadline although its client has disconnected: the end of
/// the stream cannot be detected while too many bytes in front of it are unread.
#[test]
fn a_disconnect_behind_unread_pipelined_bytes_ends_the_attempt() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("1", REMOTE_DEADLINE_MS, 1));
    eventually("the write has reached the primary", || group.primary.statement_count() == 1);
    client.send(&incomplete_message_beyond_read_ahead());
    drop(client);
    let closed = group.primary.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(closed, Ok(true), "the attempt's connection is closed");
}

/// Guards against forwarding a client's pipelined requests, one after the other, after the client has
/// disconnected.
#[test]
fn pipelined_requests_of_a_disconnected_client_are_not_forwarded() {
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |_| Reply::RowAfterRelease(released.clone(), b"slow"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    // More requests than may be open at once: the rest waits, unread or in the buffer.
    let mut pipelined = Vec::new();
    for number in 0..400 {
        let write = keyed_write_statement(&format!("ahead-{number}"), REMOTE_DEADLINE_MS, number);
        pipelined.extend(messages::query(&write));
    }
    client.send(&pipelined);
    eventually("the first requests are sent", || group.primary.statement_count() > 0);
    client.send(&incomplete_message_beyond_read_ahead());
    drop(client);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    let forwarded_count = || {
        let statements = group.primary.statements();
        statements.iter().filter(|text| text.contains("id=ahead-")).count()
    };
    let count_before = forwarded_count();
    for _ in 0..400 {
        let _ = release.send(());
    }
    let mut other = PostgresClient::connect(pooler.address);
    for number in 0..20 {
        other.query(&read_statement(&format!("other-{number}"), 1_000));
    }
    assert_eq!(forwarded_count(), count_before, "no attempt began after the client had disconnected");
}

/// Guards against a request that is sent when the first endpoint list arrives although its client has
/// disconnected.
#[test]
fn a_request_whose_client_disconnects_before_the_first_list_is_not_sent() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let discovery = ScriptedDiscoveryServer::start();
    let config_path = test_directory("gone").join("config.json");
    std::fs::write(&config_path, config("127.0.0.1:0", discovery.address, SETTINGS)).unwrap();
    let pooler = start_process(&config_path);
    let call = discovery.next_call();
    let mut client = PostgresClient::connect_without_startup(pooler.address);
    // The readiness query waits for a list, and the write waits behind it.
    let readiness_query = messages::query("");
    let write = messages::query(&keyed_write_statement("gone", REMOTE_DEADLINE_MS, 1));
    client.send(&[messages::startup(), readiness_query, write].concat());
    assert_eq!(client.receive(), Some(PostgresResponse::READY), "the pooler has read all three messages");
    drop(client);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    call.answer(&snapshot_json(1, &group.endpoint_list()));
    let mut other = PostgresClient::connect(pooler.address);
    eventually("the list is in use", || other.query(&read_statement("other", 1_000)).value.is_some());
    let statements = [group.primary.statements(), group.replica.statements()].concat();
    assert!(!statements.iter().any(|text| text.contains("id=gone,")), "{statements:?}");
}

/// Guards against a queued write that is sent when its primary appears although its client has disconnected,
/// and against requests of disconnected clients that delay those of connected ones.
#[test]
fn queued_writes_of_disconnected_clients_are_not_sent_when_a_primary_appears() {
    let lone_replica = PostgresEndpoint::replica(|_| Reply::Error("25006"));
    let pooler = start_pooler(&[endpoint_json("lone", lone_replica.address, 1, "active")]);
    let mut clients = Vec::new();
    for _ in 0..40 {
        clients.push(PostgresClient::connect(pooler.address));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&keyed_write_statement(&format!("held-{number}"), REMOTE_DEADLINE_MS, number));
    }
    eventually("the replica has rejected the first write", || lone_replica.statement_count() > 0);
    let mut remaining_client = clients.pop().unwrap();
    drop(clients);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    let primary = PostgresEndpoint::primary(|_| Reply::Row(b"done"));
    pooler.discovery.publish(&[endpoint_json("new", primary.address, 1, "active")]);
    assert_eq!(remaining_client.receive().unwrap().value, row_of(b"done"));
    assert_eq!(primary.statement_count(), 1, "{:?}", primary.statements());
}

/// Guards against an attempt that is written to a new connection although its client disconnected while the
/// connection was being established.
#[test]
fn a_request_whose_client_disconnects_during_the_connect_is_not_written() {
    let endpoint = ManualEndpoint::start();
    let list = [endpoint_json("slow", endpoint.address, 1, "active")];
    let pooler = start_pooler_with_config(&list, |text| {
        text.replace("\"connect-timeout\":0.25", "\"connect-timeout\":15.0")
    });
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("1", REMOTE_DEADLINE_MS, 1));
    let connection = endpoint.next_connection();
    drop(client);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    assert_eq!(connection.complete_startup(), None, "nothing is written to the connection");
}

/// Guards against a retry for a client that disconnected between the failed attempt and the retry.
#[test]
fn a_request_whose_client_disconnects_between_attempts_is_not_retried() {
    let endpoint = ManualEndpoint::start();
    let pooler = start_pooler(&[endpoint_json("slow", endpoint.address, 1, "active")]);
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("1", REMOTE_DEADLINE_MS, 1));
    let first_connection = endpoint.next_connection();
    let first_statement = first_connection.complete_startup().expect("the first attempt");
    assert!(first_statement.contains("id=1,"));
    drop(client);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    drop(first_connection);
    let mut other = PostgresClient::connect(pooler.address);
    other.send_query(&keyed_write_statement("2", REMOTE_DEADLINE_MS, 2));
    let next_statement =
        endpoint.next_connection().complete_startup().expect("the attempt of the other client");
    assert!(next_statement.contains("id=2,"), "{next_statement}");
}

/// Guards against sending an endpoint too long a remaining time: the time that the request spent waiting
/// behind others must be subtracted.
#[test]
fn a_request_that_waited_behind_others_is_sent_with_its_remaining_time() {
    /// The number of requests of one connection that may be open at once.
    const MAX_OPEN_REQUESTS: usize = 64;
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |text| match text.contains("id=0,") {
        true => Reply::RowAfterRelease(released.clone(), b"slow"),
        false => Reply::Row(b"fast"),
    });
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    let mut pipelined = Vec::new();
    for number in 0..MAX_OPEN_REQUESTS {
        let write = keyed_write_statement(&number.to_string(), REMOTE_DEADLINE_MS, number);
        pipelined.extend(messages::query(&write));
    }
    // One more request, which is read with them and waits.
    pipelined.extend(messages::query(&keyed_write_statement("64", 5_000, 64)));
    let sent_at = Instant::now();
    client.send(&pipelined);
    eventually("the open requests are sent", || group.primary.statement_count() > 0);
    thread::sleep(Duration::from_millis(400));
    // The first bytes of a later request must not restart the waiting time of the requests before it.
    client.send(&messages::query(&keyed_write_statement("65", 5_000, 65))[..20]);
    thread::sleep(Duration::from_millis(50));
    release.send(()).unwrap();
    let waiting_statement = || {
        let statements = group.primary.statements();
        statements.into_iter().find(|text| text.contains("id=64,"))
    };
    eventually("the waiting request is sent", || waiting_statement().is_some());
    let elapsed_ms = sent_at.elapsed().as_millis() as i64;
    let statement = waiting_statement().unwrap();
    let deadline_text = statement.split(",d=").nth(1).unwrap().split(',').next().unwrap();
    let deadline_ms: i64 = deadline_text.parse().unwrap();
    assert!(
        deadline_ms <= 5_000 - 440,
        "the endpoint is told {deadline_ms} ms, {elapsed_ms} ms after the client sent the request"
    );
}

/// Guards against forwarding what a client sent right before it disconnected, if the pooler reads it only later.
#[test]
fn requests_that_are_read_after_their_client_has_disconnected_are_not_forwarded() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    assert!(client.query(&read_statement("first", 1_000)).value.is_some());
    pooler.process.signal("-STOP");
    let mut pipelined = Vec::new();
    for number in 0..50 {
        pipelined.extend(messages::query(&read_statement(&format!("left-{number}"), REMOTE_DEADLINE_MS)));
    }
    client.send(&pipelined);
    drop(client);
    // An attempt that begins later than 0.1 s after the disconnect counts as a lost request.
    thread::sleep(Duration::from_millis(150));
    pooler.process.signal("-CONT");
    let mut other = PostgresClient::connect(pooler.address);
    for number in 0..20 {
        other.query(&read_statement(&format!("other-{number}"), 1_000));
    }
    let statements = [group.primary.statements(), group.replica.statements()].concat();
    let forwarded = statements.iter().filter(|text| text.contains("id=left-")).count();
    assert_eq!(forwarded, 0, "requests forwarded after the disconnect");
}

/// Guards against a write that runs twice: its client disconnects, and its id comes again while the first attempt may
/// still run.
#[test]
fn an_id_that_comes_again_after_its_client_has_disconnected_is_not_run_twice() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&write_statement("again", REMOTE_DEADLINE_MS));
    eventually("the write has reached the primary", || group.primary.statement_count() == 1);
    drop(client);
    let closed = group.primary.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(closed, Ok(true), "the attempt's connection is closed");
    let mut other = PostgresClient::connect(pooler.address);
    let repeated = other.query(&write_statement("again", 1_000));
    assert_eq!(repeated.sqlstate.as_deref(), Some("42710"), "the first write may have run");
    assert_eq!(group.primary.statement_count(), 1);
}
