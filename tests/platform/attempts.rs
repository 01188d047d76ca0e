//! Which endpoint and which connection an attempt uses, and when an attempt ends.

use super::stand_in::discovery::endpoint_json;
use super::stand_in::network::{names_in_ring_order, spawn_server};
use super::stand_in::platform::{
    PostgresGroup, keyed_write_statement, read_statement, start_pooler, write_statement,
};
use super::stand_in::postgres::client::{PostgresClient, row_of};
use super::stand_in::postgres::endpoint::{PostgresEndpoint, Reply};
use super::stand_in::postgres::messages;
use super::stand_in::waiting::{DEFAULT_TIMEOUT, eventually};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// Reads once. Returns whether bytes arrived before the end of the stream.
fn receives_bytes(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(length) if length > 0)
}

/// Guards against attempts at a leaving endpoint: a new list applies to every request that arrives after it.
#[test]
fn no_new_request_is_sent_to_a_leaving_endpoint() {
    let leaving = PostgresEndpoint::replica(|_| Reply::Row(b"one"));
    let staying = PostgresEndpoint::replica(|_| Reply::Row(b"two"));
    let list = |status| {
        vec![endpoint_json("a", leaving.address, 1, status), endpoint_json("b", staying.address, 1, "active")]
    };
    let pooler = start_pooler(&list("active"));
    let mut client = PostgresClient::connect(pooler.address);
    eventually("both endpoints are used", || {
        client.query(&read_statement("1", 1000));
        leaving.statement_count() > 0 && staying.statement_count() > 0
    });
    pooler.discovery.publish(&list("leaving"));
    let count_before = leaving.statement_count();
    for number in 0..30 {
        assert_eq!(client.query(&read_statement(&number.to_string(), 1000)).value, row_of(b"two"));
    }
    assert_eq!(leaving.statement_count(), count_before);
    // A malformed list must not replace the current one.
    pooler.discovery.answer_malformed_once("{\"index\":9,\"endpoints\":[}");
    pooler.discovery.wait_for_watch();
    assert_eq!(client.query(&read_statement("x", 1000)).value, row_of(b"two"));
}

/// Guards against a write that runs twice: when a connection closes after the write's last byte was sent, the
/// write may have run.
#[test]
fn a_write_that_may_have_run_is_retried_only_with_an_idempotency_key() {
    let group = PostgresGroup::start(|_| Reply::Close);
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    let response = client.query(&write_statement("1", 1000));
    assert_eq!((response.sqlstate.as_deref(), group.primary.statement_count()), (Some("58000"), 1));
    let group = PostgresGroup::start(|_| Reply::Close);
    let pooler = start_pooler(&group.endpoint_list());
    PostgresClient::connect(pooler.address).query(&keyed_write_statement("2", 1900, 9));
    assert!(
        group.primary.statement_count() >= 2,
        "a write with a key is retried within its deduplication window"
    );
}

/// Guards against a write that is lost on a connection that its endpoint has already closed.
#[test]
fn a_connection_that_its_endpoint_has_closed_is_not_reused() {
    let group = PostgresGroup::start(|_| Reply::RowThenClose(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    for number in 1..=20 {
        // Without a key these writes must not be retried, so one that is sent on a closed connection fails.
        assert_eq!(client.query(&write_statement(&number.to_string(), 1000)).value, row_of(b"x"));
        assert_eq!(group.primary.statement_count(), number);
        let closed = group.primary.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
        assert_eq!(closed, Ok(true), "the endpoint has closed the connection");
    }
}

/// Guards against requests that fail at an endpoint that accepts connections but never completes their startup.
/// Nothing has run there, so even a write without a key may be sent to another endpoint.
#[test]
fn a_request_fails_over_from_an_endpoint_that_never_completes_the_startup() {
    let connection_count = Arc::new(AtomicUsize::new(0));
    let counter = connection_count.clone();
    let silent_address = spawn_server(move |mut stream| {
        counter.fetch_add(1, Ordering::SeqCst);
        while receives_bytes(&mut stream) {}
    });
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let [first, second] = names_in_ring_order();
    let pooler = start_pooler(&[
        endpoint_json(&first, silent_address, 1, "active"),
        endpoint_json(&second, group.primary.address, 1, "active"),
    ]);
    let mut client = PostgresClient::connect(pooler.address);
    for number in 0..4 {
        assert_eq!(client.query(&write_statement(&number.to_string(), 1500)).value, row_of(b"x"));
    }
    assert!(connection_count.load(Ordering::SeqCst) > 0, "the silent endpoint was tried first");
}

/// What an [`EndpointWithSlowStartup`] receives on a connection.
#[derive(Debug, PartialEq)]
enum Received {
    Startup,
    Statement,
    Close,
}

/// An endpoint that completes the startup of a connection when the test releases it.
struct EndpointWithSlowStartup {
    address: SocketAddr,
    received: Receiver<Received>,
    release_startup: Sender<()>,
}

impl EndpointWithSlowStartup {
    fn start() -> EndpointWithSlowStartup {
        let (received_sender, received) = channel();
        let received_sender = Mutex::new(received_sender);
        let (release_startup, released) = channel();
        let released = Mutex::new(released);
        let address = spawn_server(move |mut stream| {
            if !receives_bytes(&mut stream) {
                return;
            }
            let _ = received_sender.lock().unwrap().send(Received::Startup);
            let _ = released.lock().unwrap().recv_timeout(DEFAULT_TIMEOUT);
            let _ = stream.write_all(&messages::startup_response());
            let next = if receives_bytes(&mut stream) { Received::Statement } else { Received::Close };
            let _ = received_sender.lock().unwrap().send(next);
        });
        EndpointWithSlowStartup { address, received, release_startup }
    }
}

/// Guards against an attempt that still waits for a connection after its endpoint was listed as leaving.
#[test]
fn an_attempt_that_waits_for_a_connection_ends_when_its_endpoint_is_leaving() {
    let slow = EndpointWithSlowStartup::start();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let [first, second] = names_in_ring_order();
    let pooler = start_pooler(&[endpoint_json(&first, slow.address, 1, "active")]);
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&write_statement("1", 2000));
    assert_eq!(slow.received.recv_timeout(DEFAULT_TIMEOUT), Ok(Received::Startup));
    pooler.discovery.publish(&[
        endpoint_json(&first, slow.address, 1, "leaving"),
        endpoint_json(&second, group.primary.address, 1, "active"),
    ]);
    // The pooler handles its input in order: once a later request has its response, the list has reached the attempt.
    let later = PostgresClient::connect(pooler.address).query(&read_statement("2", 1000));
    assert_eq!(later.value, row_of(b"x"));
    // The startup completes only now, if the connection is still open.
    slow.release_startup.send(()).unwrap();
    let next = slow.received.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(next, Ok(Received::Close), "no statement is sent to a leaving endpoint");
    assert_eq!(client.receive().unwrap().value, row_of(b"x"));
}

/// Guards against an attempt that continues after its client has disconnected: no client receives its result.
#[test]
fn a_client_that_disconnects_ends_its_attempt() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    // The deadline is far longer than the test's timeout, so it cannot be what ends the attempt.
    client.send_query(&keyed_write_statement("1", 600_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    drop(client);
    let closed = group.primary.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(closed, Ok(true), "the attempt's connection is closed");
}
