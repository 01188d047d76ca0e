//! Clients that disconnect, stay silent, or wait while the program ends.

use super::endpoint::{Reply, SparqlEndpoint};
use super::pooler::{OperatorFiles, entry, query_request, start_pooler, update_request};
use super::stand_in::http::{HttpClient, read_http_message};
use super::stand_in::waiting::{DEFAULT_TIMEOUT, eventually};
use brookpass_testkit::log_lines;
use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Guards against work whose result nobody receives, the operators' other hard case: when a client
/// disconnects, its attempt ends.
#[test]
fn a_client_that_drops_its_connection_ends_the_attempt() {
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::NoResponse));
    let pooler = start_pooler(&OperatorFiles::write("drop", &[entry("p", endpoint.address)]));
    let mut client = HttpClient::connect(pooler.client_address);
    // The deadline lies far beyond the test's own timeout: it is not what ends the attempt.
    client.send(&update_request("Brookpass-Time-Left-Ms: 600000\r\n"));
    eventually("the host has the operation", || endpoint.operation_count() == 1);
    drop(client);
    let closed = endpoint.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(closed, Ok(true), "the attempt's connection is closed");
}

/// Guards against an attempt that waits for an endpoint to continue a long answer although its client has
/// disconnected.
#[test]
fn a_client_that_goes_in_the_midst_of_a_long_answer_ends_the_attempt() {
    const ANSWER_BYTES: usize = 3 * 1024 * 1024;
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::StalledAnswer { length: ANSWER_BYTES }));
    let pooler = start_pooler(&OperatorFiles::write("leaves-long", &[entry("h", endpoint.address)]));
    let mut client = HttpClient::connect(pooler.client_address);
    client.send(&query_request(""));
    let mut buffer = vec![0; 64 * 1024];
    client.reader.read_exact(&mut buffer).unwrap();
    let began = Instant::now();
    // The client reads until nothing more arrives, then disconnects.
    client.reader.get_ref().set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    while matches!(client.reader.read(&mut buffer), Ok(length) if length > 0) {}
    drop(client);
    assert_eq!(endpoint.closed_connections.recv_timeout(DEFAULT_TIMEOUT), Ok(true));
    assert!(began.elapsed().as_secs() < 5, "a host's stall is not waited for: {:?}", began.elapsed());
}

/// Guards against connections that send nothing, or never a complete request, and take up the connection
/// slots of clients that send requests.
#[test]
fn silent_connections_make_room_and_end_in_time() {
    let primary = SparqlEndpoint::primary();
    let files = OperatorFiles::write("silent", &[entry("p", primary.address)]);
    files.edit_operator_file(|text| text.replace("sockets: 1024", "sockets: 96"));
    let pooler = start_pooler(&files);
    let began = Instant::now();
    let half_a_body = "POST /sparql HTTP/1.1\r\nHost: b\r\nContent-Length: 900\r\n\r\nhalf";
    let incomplete_inputs = ["", "GET /sp", half_a_body];
    let mut silent_clients = Vec::new();
    for number in 0..64 {
        let mut silent = HttpClient::connect(pooler.client_address);
        let _ = silent.reader.get_mut().write_all(incomplete_inputs[number % 3].as_bytes());
        silent_clients.push(silent);
    }
    for number in 0..30 {
        assert_eq!(pooler.call(&update_request("")).status(), 200, "request {number}");
    }
    for mut silent in silent_clients {
        while read_http_message(&mut silent.reader).is_some() {}
    }
    assert!(began.elapsed().as_millis() < 3_000, "each of them was told or closed in time");
}

/// Guards against requests lost when the program is stopped.
#[test]
fn sigterm_answers_what_was_taken() {
    let is_held = Arc::new(AtomicBool::new(true));
    let received_count = Arc::new(AtomicUsize::new(0));
    let held = is_held.clone();
    let counter = received_count.clone();
    let endpoint = SparqlEndpoint::primary_replying(move |_| {
        counter.fetch_add(1, Ordering::SeqCst);
        eventually("the test lets go", || !held.load(Ordering::SeqCst));
        None
    });
    let mut pooler = start_pooler(&OperatorFiles::write("term", &[entry("p", endpoint.address)]));
    let mut client = HttpClient::connect(pooler.client_address);
    client.send(&update_request(""));
    eventually("the host has it", || received_count.load(Ordering::SeqCst) == 1);
    pooler.process.signal("-TERM");
    pooler.process.wait_for_log(log_lines::DRAINING);
    is_held.store(false, Ordering::SeqCst);
    assert_eq!(client.receive().status(), 200);
    assert!(pooler.process.wait_for_exit().success());
    assert!(endpoint.is_primary.load(Ordering::SeqCst));
}
