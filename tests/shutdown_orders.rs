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

/// Starts one of two poolers, which leaves its clients to the other one soon after SIGTERM.
fn start_one_of_two(endpoints: &[String]) -> RunningPooler {
    start_pooler_with_config(endpoints, |text| text.replace("\"balancers\":1", "\"balancers\":2"))
}

/// A client that has connected and whose first read was answered.
fn connect_and_read(pooler: &RunningPooler) -> PostgresClient {
    let mut client = PostgresClient::connect(pooler.address);
    assert!(client.query(&read_statement("served", 1_000)).value.is_some());
    client
}

/// Sends SIGTERM and waits until the program drains.
fn begin_shutdown(pooler: &mut RunningPooler) {
    pooler.process.signal("-TERM");
    pooler.process.wait_for_log(log_lines::DRAINING);
}

/// Checks that a read has an answer. A read that would queue for too long is rejected: that is an answer too.
fn check_answered(response: &PostgresResponse, number: usize) {
    let is_rejected = response.sqlstate.as_deref() == Some(TOO_MANY_CONNECTIONS);
    assert!(response.value.is_some() || is_rejected, "request {number}: {response:?}");
}

/// Guards against half a request that is dropped with its connection: one that started to arrive before the
/// end is completed, forwarded and answered.
#[test]
fn a_request_that_is_half_read_when_connections_end_is_completed_and_answered() {
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
    assert_eq!(sending.receive(), None, "then it ends");
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against connections in the system's accept queue that the program has not accepted when its
/// listener closes: they would be reset together with what was written on them.
#[test]
fn connections_that_wait_in_the_systems_queue_at_the_end_are_served() {
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
    // Longer than connections are accepted for, so that the program sees the end of that time and the
    // connections at the same moment.
    thread::sleep(Duration::from_millis(700));
    pooler.process.signal("-CONT");
    for (number, mut client) in clients.into_iter().enumerate() {
        assert_eq!(client.receive(), Some(PostgresResponse::READY), "connection {number}");
        check_answered(&client.receive().expect("an answer"), number);
    }
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against a request that crosses the end of its connection: it is not forwarded, and the client then
/// reads the end of the stream, not a reset that might destroy the last answer.
#[test]
fn what_is_read_after_the_write_side_was_shut_is_not_sent_on_and_resets_nothing() {
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
    assert_eq!(group.statement_count(), count_before, "nothing of it was sent on");
}

/// Guards against a client that is rejected because there are too many connections, and loses that error to a
/// reset for what it had written behind its startup message.
#[test]
fn a_rejected_connection_can_read_why() {
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
        assert!(busy_clients.len() < SOCKETS as usize, "none was turned away");
        thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(rejected.stream.read(&mut [0; 64]).unwrap(), 0, "the write side was shut");
    for _ in 0..200 {
        rejected.send_query(&read_statement("late", 1_000));
        assert_eq!(rejected.stream.read(&mut [0; 64]).expect("no reset"), 0);
    }
}

/// Guards against a shutdown that lasts as long as the deadline that a client claims: SIGKILL follows the
/// longest deadline of the service classes.
#[test]
fn the_end_follows_the_classes_deadlines_and_not_a_clients_claim() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let mut pooler = start_pooler_with_config(&group.endpoint_list(), |text| {
        text.replace("\"deadline\":2.5", "\"deadline\":0.6").replace("\"deadline\":2.0", "\"deadline\":0.5")
    });
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("claims", 600_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    let terminated_at = Instant::now();
    pooler.process.signal("-TERM");
    assert!(client.receive().expect("a final answer").sqlstate.is_some());
    assert!(pooler.process.wait_for_exit().success());
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < Duration::from_millis(2_000), "the platform kills it 1.3 s after SIGTERM: {elapsed:?}");
}

/// Guards against a write without an answer when the program ends: one that is queued for a primary, or one
/// that was sent to an endpoint that hangs.
#[test]
fn a_held_write_and_one_behind_a_host_that_hangs_get_final_answers_at_the_end() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let mut pooler = start_one_of_two(&group.endpoint_list());
    let mut unanswered = PostgresClient::connect(pooler.address);
    unanswered.send_query(&keyed_write_statement("hangs", 60_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    // A group without a primary: its writes are rejected by every endpoint and are queued.
    let lone_replica = PostgresEndpoint::replica(|_| Reply::Error("25006"));
    let mut list = group.endpoint_list();
    list.push(endpoint_json("lone", lone_replica.address, 2, "active"));
    pooler.discovery.publish(&list);
    let mut queued = PostgresClient::connect(pooler.address);
    let write_to_group_2 = keyed_write_statement("held", 60_000, 2).replace("cluster=1", "cluster=2");
    queued.send_query(&write_to_group_2);
    eventually("the write has missed", || lone_replica.statement_count() > 0);
    pooler.process.signal("-TERM");
    assert_eq!(unanswered.receive().unwrap().sqlstate.as_deref(), Some("58000"), "it may have run");
    assert_eq!(queued.receive().unwrap().sqlstate.as_deref(), Some("58000"), "it was tried");
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against a retry that starts as the program ends and whose request then gets no answer, or a second
/// one.
#[test]
fn a_retry_that_starts_after_the_end_has_begun_is_answered() {
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

/// Guards against a start that fails because the process before it still has the port, and against a process
/// that cannot be stopped while it waits for the port.
#[test]
fn a_port_that_is_still_held_is_waited_for() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let discovery = DiscoveryServer::start();
    discovery.preset(&group.endpoint_list());
    let previous_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = previous_listener.local_addr().unwrap();
    let config_path = test_directory("held").join("config.json");
    std::fs::write(&config_path, config(&address.to_string(), discovery.address, SETTINGS)).unwrap();
    let start_waiting_daemon = || {
        let mut daemon = Process::start(&[], &[("GW_CONFIG", config_path.to_str().unwrap())]);
        daemon.wait_for_log(log_lines::LISTEN_ADDRESS_BUSY);
        daemon
    };
    let mut stopped = start_waiting_daemon();
    stopped.signal("-TERM");
    assert!(stopped.wait_for_exit().success());
    let mut daemon = start_waiting_daemon();
    drop(previous_listener);
    daemon.wait_for_log(log_lines::POSTGRES_LISTENING);
    assert!(PostgresClient::connect(address).query(&read_statement("1", 1_000)).value.is_some());
}

/// Guards against pipelined commands that are lost as the program ends: commands that arrive in one write are
/// all answered, in order, before the connection ends.
#[test]
fn commands_sent_ahead_as_the_program_ends_are_all_answered() {
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
