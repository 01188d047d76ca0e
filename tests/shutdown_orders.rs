//! SIGTERM and an event that happens at the same moment. Each test forces one order of the two.

mod stand_in;

use brookpass_testkit::log_lines;
use stand_in::discovery::{DiscoveryServer, endpoint_json};
use stand_in::platform::{
    PostgresGroup, RunningPooler, SETTINGS, config, keyed_write_statement, read_statement,
    start_pooler_with_config, start_pooler_with_sockets,
};
use stand_in::postgres::client::{PostgresClient, PostgresResponse, row_of};
use stand_in::postgres::endpoint::{PostgresEndpoint, Reply};
use stand_in::postgres::messages;
use stand_in::process::{Process, test_directory};
use stand_in::waiting::eventually;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// SQLSTATE of a request or connection that is rejected because of overload.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Starts one of two poolers: soon after SIGTERM it closes idle connections, so that its clients go to the other.
fn start_one_of_two(endpoints: &[String]) -> RunningPooler {
    start_pooler_with_config(endpoints, |text| text.replace("\"balancers\":1", "\"balancers\":2"))
}

/// A client that has connected and whose first read was answered.
fn connect_and_read(pooler: &RunningPooler) -> PostgresClient {
    let mut client = PostgresClient::connect(pooler.address);
    assert!(client.query(&read_statement("served", 1_000)).value.is_some());
    client
}

/// Sends SIGTERM and waits until the pooler drains.
fn begin_shutdown(pooler: &mut RunningPooler) {
    pooler.process.signal("-TERM");
    pooler.process.wait_for_log(log_lines::DRAINING);
}

/// Checks that a read is answered by a row or, where it would queue for too long, by a rejection.
fn check_answered(response: &PostgresResponse, number: usize) {
    let is_rejected = response.sqlstate.as_deref() == Some(TOO_MANY_CONNECTIONS);
    assert!(response.value.is_some() || is_rejected, "request {number}: {response:?}");
}

/// Guards against a partly received request that is dropped at shutdown: the pooler reads the rest, forwards
/// the request and answers it.
#[test]
fn a_partly_received_request_is_completed_and_answered_at_shutdown() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let mut pooler = start_one_of_two(&group.endpoint_list());
    let mut sending = connect_and_read(&pooler);
    let mut idle = connect_and_read(&pooler);
    let query = messages::query(&read_statement("half", 1_000));
    let (first_half, second_half) = query.split_at(query.len() / 2);
    sending.send(first_half);
    begin_shutdown(&mut pooler);
    assert_eq!(idle.receive(), None, "idle connections end");
    sending.send(second_half);
    assert!(sending.receive().expect("an answer").value.is_some());
    assert_eq!(sending.receive(), None, "then the connection ends");
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against connections that are still in the accept queue of the operating system when the listener
/// closes: they would be reset, and the requests written to them lost.
#[test]
fn connections_in_the_accept_queue_at_shutdown_are_served() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let mut pooler = start_one_of_two(&group.endpoint_list());
    drop(connect_and_read(&pooler));
    begin_shutdown(&mut pooler);
    pooler.process.signal("-STOP");
    let mut clients = Vec::new();
    for number in 0..20 {
        let mut client = PostgresClient::connect_without_startup(pooler.address);
        let query = messages::query(&read_statement(&format!("queued-{number}"), 5_000));
        client.send(&[messages::startup(), query].concat());
        clients.push(client);
    }
    // Longer than the time for which connections are still accepted, so that the pooler handles the end of that
    // time and the connections at the same moment.
    thread::sleep(Duration::from_millis(700));
    pooler.process.signal("-CONT");
    for (number, mut client) in clients.into_iter().enumerate() {
        assert_eq!(client.receive(), Some(PostgresResponse::READY), "connection {number}");
        check_answered(&client.receive().expect("an answer"), number);
    }
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against a reset, which might destroy the last answer, for a client that sends requests while the
/// pooler closes the connection: they are not forwarded, and the client reads the end of the stream.
#[test]
fn requests_after_the_write_side_is_shut_are_not_forwarded_and_cause_no_reset() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let mut pooler = start_one_of_two(&group.endpoint_list());
    let mut client = connect_and_read(&pooler);
    let count_before = group.statement_count();
    begin_shutdown(&mut pooler);
    assert_eq!(client.stream.read(&mut [0; 64]).unwrap(), 0, "the write side was shut");
    for number in 0..200 {
        client.send_query(&read_statement(&format!("late-{number}"), 1_000));
        assert_eq!(client.stream.read(&mut [0; 64]).expect("no reset"), 0);
    }
    drop(client);
    assert!(pooler.process.wait_for_exit().success());
    assert_eq!(group.statement_count(), count_before, "no late request was forwarded");
}

/// Guards against a client that is rejected because of too many connections and cannot read that error: what
/// it has written behind its startup message must not cause a reset.
#[test]
fn a_rejected_client_can_read_the_error() {
    const SOCKETS: u32 = 64;
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler_with_sockets(&group.endpoint_list(), SOCKETS);
    let mut busy_clients = Vec::new();
    let mut rejected = loop {
        let mut client = PostgresClient::connect_without_startup(pooler.address);
        client.send(&messages::startup());
        let response = client.receive().expect("an answer");
        if response.is_fatal {
            assert_eq!(response.sqlstate.as_deref(), Some(TOO_MANY_CONNECTIONS));
            break client;
        }
        // A connection with an open request is not closed to make room for another one.
        client.send_query(&keyed_write_statement(&format!("busy-{}", busy_clients.len()), 600_000, 1));
        busy_clients.push(client);
        assert!(busy_clients.len() < SOCKETS as usize, "no connection was rejected");
        thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(rejected.stream.read(&mut [0; 64]).unwrap(), 0, "the write side was shut");
    for _ in 0..200 {
        rejected.send_query(&read_statement("late", 1_000));
        assert_eq!(rejected.stream.read(&mut [0; 64]).expect("no reset"), 0);
    }
}

/// Guards against a shutdown that lasts as long as a deadline that a client states: the platform sends SIGKILL
/// after the longest deadline of the service classes.
#[test]
fn shutdown_time_follows_the_deadlines_of_classes_and_not_of_clients() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let mut pooler = start_pooler_with_config(&group.endpoint_list(), |text| {
        text.replace("\"deadline\":2.5", "\"deadline\":0.6").replace("\"deadline\":2.0", "\"deadline\":0.5")
    });
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("claims", 600_000, 1));
    eventually("the write has reached the primary", || group.primary.statement_count() == 1);
    let terminated_at = Instant::now();
    pooler.process.signal("-TERM");
    assert!(client.receive().expect("a final answer").sqlstate.is_some());
    assert!(pooler.process.wait_for_exit().success());
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < Duration::from_millis(2_000), "the platform kills it 1.3 s after SIGTERM: {elapsed:?}");
}

/// Guards against writes without an answer at shutdown: one that is queued for a primary, and one that was sent
/// to an endpoint that hangs.
#[test]
fn a_queued_write_and_one_at_a_hanging_endpoint_get_final_answers_at_shutdown() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let mut pooler = start_one_of_two(&group.endpoint_list());
    let mut unanswered = PostgresClient::connect(pooler.address);
    unanswered.send_query(&keyed_write_statement("hangs", 60_000, 1));
    eventually("the write has reached the primary", || group.primary.statement_count() == 1);
    // A group without a primary: its writes are rejected by every endpoint and are queued.
    let lone_replica = PostgresEndpoint::replica(|_| Reply::Error("25006"));
    let mut list = group.endpoint_list();
    list.push(endpoint_json("lone", lone_replica.address, 2, "active"));
    pooler.discovery.publish(&list);
    let mut queued = PostgresClient::connect(pooler.address);
    let write_to_group_2 = keyed_write_statement("held", 60_000, 2).replace("cluster=1", "cluster=2");
    queued.send_query(&write_to_group_2);
    eventually("the replica has rejected the write", || lone_replica.statement_count() > 0);
    pooler.process.signal("-TERM");
    assert_eq!(unanswered.receive().unwrap().sqlstate.as_deref(), Some("58000"), "the write may have run");
    assert_eq!(queued.receive().unwrap().sqlstate.as_deref(), Some("58000"), "the write was attempted");
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against a request that gets no answer, or two, because its retry starts during the shutdown.
#[test]
fn a_retry_that_starts_during_shutdown_is_answered() {
    let attempt_count = Arc::new(Mutex::new(0));
    let counter = attempt_count.clone();
    let primary = PostgresEndpoint::primary(move |text| {
        let mut attempt_count = counter.lock().unwrap();
        if text.contains("id=again,") {
            *attempt_count += 1;
        }
        if *attempt_count == 1 { Reply::Close } else { Reply::Row(b"second") }
    });
    let mut pooler = start_one_of_two(&[endpoint_json("p", primary.address, 1, "active")]);
    let mut client = PostgresClient::connect(pooler.address);
    begin_shutdown(&mut pooler);
    client.send_query(&keyed_write_statement("again", 1_500, 1));
    assert_eq!(client.receive().unwrap().value, row_of(b"second"));
    assert_eq!(*attempt_count.lock().unwrap(), 2);
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against a start that fails because the previous process still has the port, and against a process
/// that cannot be stopped while it waits for the port.
#[test]
fn a_start_waits_for_a_port_that_is_still_in_use() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let discovery = DiscoveryServer::start();
    discovery.preset(&group.endpoint_list());
    let previous_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = previous_listener.local_addr().unwrap();
    let config_path = test_directory("held").join("config.json");
    std::fs::write(&config_path, config(&address.to_string(), discovery.address, SETTINGS)).unwrap();
    let start_waiting_process = || {
        let mut process = Process::start(&[], &[("GW_CONFIG", config_path.to_str().unwrap())]);
        process.wait_for_log(log_lines::LISTEN_ADDRESS_BUSY);
        process
    };
    let mut stopped = start_waiting_process();
    stopped.signal("-TERM");
    assert!(stopped.wait_for_exit().success());
    let mut process = start_waiting_process();
    drop(previous_listener);
    process.wait_for_log(log_lines::POSTGRES_LISTENING);
    assert!(PostgresClient::connect(address).query(&read_statement("1", 1_000)).value.is_some());
}

/// Guards against pipelined requests that are lost at shutdown: requests that arrive in one write are all
/// answered, in order, before the connection ends.
#[test]
fn pipelined_requests_during_shutdown_are_all_answered() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let mut pooler = start_one_of_two(&group.endpoint_list());
    let mut client = connect_and_read(&pooler);
    begin_shutdown(&mut pooler);
    let mut pipelined = Vec::new();
    for number in 0..40 {
        pipelined.extend(messages::query(&read_statement(&format!("ahead-{number}"), 2_000)));
    }
    client.send(&pipelined);
    for number in 0..40 {
        check_answered(&client.receive().expect("an answer"), number);
    }
    let end = client.stream.write_all(b"").and_then(|()| client.stream.read(&mut [0; 8]));
    assert!(matches!(end, Ok(0)) || end.is_err_and(|error| error.kind() != ErrorKind::ConnectionReset));
    assert!(pooler.process.wait_for_exit().success());
}
