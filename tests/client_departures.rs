//! Clients that disconnect, in every state in which their request may be. Each test forces one order of
//! events.

mod stand_in;

use stand_in::discovery::{ScriptedDiscoveryServer, endpoint_json, snapshot_json};
use stand_in::platform::{
    PostgresGroup, SETTINGS, config, keyed_write_statement, read_statement, start_pooler,
    start_pooler_with_config, start_process,
};
use stand_in::postgres::client::{PostgresClient, PostgresResponse, row_of};
use stand_in::postgres::endpoint::{PostgresEndpoint, Reply, release_channel};
use stand_in::postgres::manual_endpoint::ManualEndpoint;
use stand_in::postgres::messages;
use stand_in::process::test_directory;
use stand_in::waiting::{DEFAULT_TIMEOUT, eventually};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than it may take the program to notice that a client has disconnected.
const DISCONNECT_NOTICED_WITHIN: Duration = Duration::from_millis(300);

/// Far beyond the tests' own timeout: such a deadline is not what ends an attempt.
const REMOTE_DEADLINE_MS: u32 = 600_000;

/// The beginning of a message that never ends: longer than what the program reads behind an open request.
fn more_than_is_read_ahead() -> Vec<u8> {
    let mut bytes = messages::query(&"x".repeat(120_000));
    bytes.truncate(110_000);
    bytes
}

/// Guards against a client that disconnects while so many of its bytes are unread that the end of the stream
/// is hidden behind them: its attempt would go on until the deadline.
#[test]
fn a_client_that_goes_with_bytes_sent_ahead_unread_ends_its_attempt() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("1", REMOTE_DEADLINE_MS, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    client.send(&more_than_is_read_ahead());
    drop(client);
    let closed = group.primary.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(closed, Ok(true), "the attempt's connection is closed");
}

/// Guards against forwarding a client's pipelined requests, one after the other, after the client has
/// disconnected.
#[test]
fn what_a_client_sent_ahead_is_not_sent_on_once_it_has_gone() {
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |_| Reply::RowAfterRelease(released.clone(), b"slow"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    // More than may be open at once: the rest waits, unread or in the buffer, behind the first.
    let mut pipelined = Vec::new();
    for number in 0..400 {
        let write = keyed_write_statement(&format!("ahead-{number}"), REMOTE_DEADLINE_MS, number);
        pipelined.extend(messages::query(&write));
    }
    client.send(&pipelined);
    eventually("the first are sent", || group.primary.statement_count() > 0);
    client.send(&more_than_is_read_ahead());
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
    assert_eq!(forwarded_count(), count_before, "no attempt began after the client had gone");
}

/// Guards against a client that disconnects before the first endpoint list arrives: its request must not be
/// sent then.
#[test]
fn a_client_that_goes_while_it_waits_for_the_first_list_is_not_sent_on() {
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
    assert_eq!(client.receive(), Some(PostgresResponse::READY), "all of it has been read");
    drop(client);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    call.answer(&snapshot_json(1, &group.endpoint_list()));
    let mut other = PostgresClient::connect(pooler.address);
    eventually("the list is there", || other.query(&read_statement("other", 1_000)).value.is_some());
    let statements = [group.primary.statements(), group.replica.statements()].concat();
    assert!(!statements.iter().any(|text| text.contains("id=gone,")), "{statements:?}");
}

/// Guards against a queued write that is sent, when its primary appears, for a client that has disconnected;
/// and against many disconnected clients whose requests are sent in place of those of clients that stay.
#[test]
fn held_writes_of_clients_that_have_gone_are_not_sent_when_their_primary_comes() {
    let lone_replica = PostgresEndpoint::replica(|_| Reply::Error("25006"));
    let pooler = start_pooler(&[endpoint_json("lone", lone_replica.address, 1, "active")]);
    let mut clients = Vec::new();
    for _ in 0..40 {
        clients.push(PostgresClient::connect(pooler.address));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&keyed_write_statement(&format!("held-{number}"), REMOTE_DEADLINE_MS, number));
    }
    eventually("the first has missed", || lone_replica.statement_count() > 0);
    let mut staying_client = clients.pop().unwrap();
    drop(clients);
    thread::sleep(DISCONNECT_NOTICED_WITHIN);
    let primary = PostgresEndpoint::primary(|_| Reply::Row(b"done"));
    pooler.discovery.publish(&[endpoint_json("new", primary.address, 1, "active")]);
    assert_eq!(staying_client.receive().unwrap().value, row_of(b"done"));
    assert_eq!(primary.statement_count(), 1, "{:?}", primary.statements());
}

/// Guards against an attempt that is written when its connection becomes ready although its client has
/// disconnected.
#[test]
fn a_client_that_goes_while_its_host_is_dialled_is_not_sent_on() {
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
    assert_eq!(connection.complete_startup(), None, "nothing is written on it");
}

/// Guards against a retry for a client that disconnected between the failed attempt and the retry.
#[test]
fn a_client_that_goes_between_two_attempts_gets_no_second_one() {
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
    let next_statement = endpoint.next_connection().complete_startup().expect("the other's attempt");
    assert!(next_statement.contains("id=2,"), "{next_statement}");
}

/// Guards against an endpoint that is told too long a remaining time: the time that the request spent waiting
/// behind others must be subtracted.
#[test]
fn a_request_that_waited_behind_others_tells_its_host_only_the_time_that_is_left() {
    /// As many requests of one connection as may be open at once.
    const OPEN_AT_MOST: usize = 64;
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |text| match text.contains("id=0,") {
        true => Reply::RowAfterRelease(released.clone(), b"slow"),
        false => Reply::Row(b"fast"),
    });
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    let mut pipelined = Vec::new();
    for number in 0..OPEN_AT_MOST {
        let write = keyed_write_statement(&number.to_string(), REMOTE_DEADLINE_MS, number);
        pipelined.extend(messages::query(&write));
    }
    // One more that is read with them and waits.
    pipelined.extend(messages::query(&keyed_write_statement("64", 5_000, 64)));
    let sent_at = Instant::now();
    client.send(&pipelined);
    eventually("all that may be open is out", || group.primary.statement_count() > 0);
    thread::sleep(Duration::from_millis(400));
    // Bytes of a later request arrive in between; they must not restart the time of those before it.
    client.send(&messages::query(&keyed_write_statement("65", 5_000, 65))[..20]);
    thread::sleep(Duration::from_millis(50));
    release.send(()).unwrap();
    let waiting_statement = || {
        let statements = group.primary.statements();
        statements.into_iter().find(|text| text.contains("id=64,"))
    };
    eventually("the one that waited is sent", || waiting_statement().is_some());
    let elapsed_ms = sent_at.elapsed().as_millis() as i64;
    let statement = waiting_statement().unwrap();
    let deadline_text = statement.split(",d=").nth(1).unwrap().split(',').next().unwrap();
    let deadline_ms: i64 = deadline_text.parse().unwrap();
    assert!(deadline_ms <= 5_000 - 440, "{deadline_ms} ms are told, {elapsed_ms} ms after it was sent");
}
