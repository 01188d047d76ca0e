//! Input of clients that is pipelined, malformed or never complete.

use super::stand_in::platform::{
    PostgresGroup, keyed_write_statement, read_statement, start_pooler, start_pooler_with_sockets,
    write_statement,
};
use super::stand_in::postgres::client::{PostgresClient, PostgresResponse, row_of};
use super::stand_in::postgres::endpoint::{Reply, release_channel};
use super::stand_in::postgres::messages::{self, kind};
use super::stand_in::waiting::eventually;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

/// Guards against queries that are lost or reordered when a client sends them together with the startup message.
#[test]
fn queries_sent_together_with_the_startup_message_are_answered_in_order() {
    let group = PostgresGroup::start(|_| Reply::Row(b"\x9f\x00\x03"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect_without_startup(pooler.address);
    let write = keyed_write_statement("1", 1000, 7);
    let read = read_statement("2", 1000);
    let queries = [messages::query(""), messages::query(&write), messages::query(&read)].concat();
    client.send(&[messages::startup(), queries].concat());
    assert_eq!(client.receive(), Some(PostgresResponse::READY));
    assert!(client.receive().unwrap().is_empty_query);
    assert_eq!(client.receive().unwrap().value, row_of(b"\x9f\x00\x03"));
    assert!(client.receive().unwrap().value.is_some());
    let statements = group.primary.statements();
    let forwarded = statements.iter().find(|text| text.contains("INSERT")).unwrap();
    let deadline_text = forwarded.split(",d=").nth(1).unwrap().split(',').next().unwrap();
    let deadline_ms: u32 = deadline_text.parse().unwrap();
    assert!((1..=1000).contains(&deadline_ms), "{forwarded}");
    assert_eq!(
        forwarded.replace(&format!(",d={deadline_ms}"), ",d=1000"),
        write,
        "only the deadline changes"
    );
}

/// Guards against a client that reuses the id of another client's open request: an endpoint would take the
/// second request for a retry of the first.
#[test]
fn the_id_of_an_open_request_is_rejected_until_that_request_is_answered() {
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |_| Reply::RowAfterRelease(released.clone(), b"own"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut first = PostgresClient::connect(pooler.address);
    let mut other = PostgresClient::connect(pooler.address);
    first.send_query(&keyed_write_statement("7", 5_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    let count_before = group.replica.statement_count();
    assert_eq!(other.query(&read_statement("7", 1000)).sqlstate.as_deref(), Some("42710"));
    assert_eq!(other.query(&keyed_write_statement("7", 1000, 1)).sqlstate.as_deref(), Some("42710"));
    let counts = (group.primary.statement_count(), group.replica.statement_count());
    assert_eq!(counts, (1, count_before));
    release.send(()).unwrap();
    assert_eq!(first.receive().unwrap().value, row_of(b"own"));
    assert_eq!(other.query(&read_statement("7", 1000)).value, row_of(b"replica"), "the id is free again");
}

/// Guards against malformed input that is forwarded to an endpoint, and against a connection that is closed
/// without an error.
#[test]
fn malformed_input_gets_a_specific_error_and_is_not_forwarded() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    for (text, sqlstate) in [
        ("SELECT 1".to_string(), "42601"),
        ("/* id=1,c=read,cluster=1 */ SELECT 1".into(), "42601"),
        (read_statement("1", 100).replace("c=read", "c=other"), "22023"),
        (read_statement("1", 100).replace("cluster=1", "cluster=77"), "42704"),
    ] {
        let response = client.query(&text);
        assert_eq!((response.sqlstate.as_deref(), response.is_fatal), (Some(sqlstate), false), "{text}");
    }
    client.send(&messages::message(kind::PARSE, b"\0SELECT 1\0\0\0"));
    client.send(&messages::message(kind::SYNC, b""));
    assert_eq!(client.receive().unwrap().sqlstate.as_deref(), Some("0A000"));
    for bytes in [
        vec![0, 0, 0, 8, 0, 2, 0, 0],
        vec![0xff; 8],
        [messages::startup(), vec![kind::QUERY, 0x7f, 0xff, 0xff, 0xff]].concat(),
        [messages::startup(), messages::message(kind::QUERY, b"no end")].concat(),
        [messages::startup(), vec![b'!', 0, 0, 0, 4]].concat(),
    ] {
        let last = last_response_to(&bytes, pooler.address).expect("an error before the connection ends");
        assert_eq!((last.sqlstate.as_deref(), last.is_fatal), (Some("08P01"), true), "{bytes:?}");
    }
    assert_eq!(group.statement_count(), 0);
    assert_eq!(
        client.query(&keyed_write_statement("9", 1000, 1)).value,
        row_of(b"x"),
        "the connection is still usable"
    );
}

/// Sends these bytes on a new connection and returns the last response before the connection ends.
fn last_response_to(bytes: &[u8], address: SocketAddr) -> Option<PostgresResponse> {
    let mut client = PostgresClient::connect_without_startup(address);
    client.send(bytes);
    let mut last = None;
    while let Some(response) = client.receive() {
        last = Some(response);
    }
    last
}

/// Guards against sending each pipelined request only after the previous one has its response, so that the
/// deadlines of later ones pass.
#[test]
fn pipelined_requests_are_sent_at_once_and_answered_in_order() {
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |_| Reply::RowAfterRelease(released.clone(), b"slow"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    release.send(()).unwrap();
    assert_eq!(client.query(&write_statement("0", 5_000)).sqlstate, None, "now the primary is known");
    client.send_query(&keyed_write_statement("1", 5_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 2);
    let count_before = group.replica.statement_count();
    let pipelined = [
        read_statement("2", 5_000),
        read_statement("3", 5_000).replace("c=read", "c=no"),
        read_statement("2", 5_000),
        read_statement("4", 5_000),
    ];
    client.send(&pipelined.map(|text| messages::query(&text)).concat());
    eventually("the reads behind the write are sent too", || {
        group.replica.statement_count() == count_before + 2
    });
    release.send(()).unwrap();
    assert_eq!(client.receive().unwrap().value, row_of(b"slow"));
    assert_eq!(client.receive().unwrap().value, row_of(b"replica"));
    assert_eq!(client.receive().unwrap().sqlstate.as_deref(), Some("22023"));
    assert_eq!(
        client.receive().unwrap().sqlstate.as_deref(),
        Some("42710"),
        "the id belongs to an open request"
    );
    assert_eq!(client.receive().unwrap().value, row_of(b"replica"));
    // A client that disconnects ends all of its open requests.
    let fifth = messages::query(&keyed_write_statement("5", 600_000, 5));
    let sixth = messages::query(&keyed_write_statement("6", 600_000, 6));
    client.send(&[fifth, sixth].concat());
    eventually("the primary has both writes", || group.primary.statement_count() == 4);
    drop(client);
    let mut other = PostgresClient::connect(pooler.address);
    eventually("their ids are free again", || other.query(&read_statement("6", 1_000)).value.is_some());
}

/// Guards against connections that send nothing, or never a complete request: they must be closed in time,
/// and must not occupy the connection slots of clients that send requests.
#[test]
fn silent_connections_free_their_slots_and_are_closed_in_time() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler_with_sockets(&group.endpoint_list(), 64);
    let mut client = PostgresClient::connect(pooler.address);
    assert_eq!(client.query(&read_statement("1", 1000)).sqlstate, None);
    let half_a_startup = messages::startup()[..9].to_vec();
    let half_a_message = vec![kind::QUERY, 0, 0, 1, 0, b'x'];
    let incomplete_inputs = [vec![], half_a_startup, [messages::startup(), half_a_message].concat()];
    let started_at = Instant::now();
    // As many as the pooler's limit on open sockets.
    let mut silent_clients = Vec::new();
    for number in 0..64 {
        let mut silent = PostgresClient::connect_without_startup(pooler.address);
        let _ = silent.stream.write_all(&incomplete_inputs[number % 3]);
        silent_clients.push(silent);
    }
    for number in 2..30 {
        let mut new_client = PostgresClient::connect_without_startup(pooler.address);
        let query = messages::query(&read_statement(&number.to_string(), 1000));
        new_client.send(&[messages::startup(), query].concat());
        assert_eq!(new_client.receive(), Some(PostgresResponse::READY), "request {number}");
        assert!(new_client.receive().unwrap().value.is_some(), "request {number}");
    }
    for mut silent in silent_clients {
        while silent.receive().is_some() {}
    }
    assert!(started_at.elapsed().as_millis() < 3_000, "each was sent an error or closed in time");
}

/// Guards against responses out of order when a client pipelines hundreds of queries, and against a wait for
/// all the bytes of a message whose stated length is too large.
#[test]
fn hundreds_of_pipelined_queries_are_answered_in_order_and_an_excessive_length_at_once() {
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    let mut pipelined = Vec::new();
    for number in 0..600 {
        let unknown_class = read_statement(&number.to_string(), 5000).replace("c=read", "c=no");
        pipelined.extend(messages::query(&unknown_class));
    }
    let mut writer = client.stream.try_clone().unwrap();
    let sending = thread::spawn(move || writer.write_all(&pipelined));
    for number in 0..600 {
        assert_eq!(client.receive().unwrap().sqlstate.as_deref(), Some("22023"), "query {number}");
    }
    assert!(sending.join().unwrap().is_ok());
    let mut oversized = PostgresClient::connect(pooler.address);
    oversized.send(&[kind::QUERY, 3, 0x93, 0x87, 0]);
    let rejection = oversized.receive().unwrap();
    assert_eq!(rejection.sqlstate.as_deref(), Some("08P01"), "rejected before any of the 60 MB arrived");
    assert_eq!(oversized.receive(), None);
    assert_eq!(group.statement_count(), 0);
}
