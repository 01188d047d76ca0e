//! Responses of endpoints that are malformed, long, truncated or missing.

use super::stand_in::discovery::endpoint_json;
use super::stand_in::platform::{
    PostgresGroup, keyed_write_statement, read_statement, start_pooler, write_statement,
};
use super::stand_in::postgres::client::{PostgresClient, row_of};
use super::stand_in::postgres::endpoint::{PostgresEndpoint, Reply};
use super::stand_in::postgres::messages::{self, kind};
use super::stand_in::waiting::DEFAULT_TIMEOUT;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// A result with one value of 3 bytes whose data row states these lengths; 13 and 3 are correct.
fn row_stating(row_bytes: u32, value_bytes: u32) -> Vec<u8> {
    let one_column = [0, 1];
    let data_row =
        [&[kind::DATA_ROW][..], &row_bytes.to_be_bytes(), &one_column, &value_bytes.to_be_bytes(), b"bad"];
    let end = [messages::command_complete(), messages::ready_for_query()].concat();
    [messages::row_description(), data_row.concat(), end].concat()
}

fn malformed_responses() -> Vec<Vec<u8>> {
    vec![
        row_stating(2, 3),
        row_stating(3_000_000_000, 3),
        row_stating(40, 3),
        row_stating(13, 90),
        vec![b'x'; 300],
        b"\0\xff\r\n".to_vec(),
        row_stating(13, 3)[..40].to_vec(),
    ]
}

/// Guards against malformed responses that are forwarded, that are waited for until the deadline, or that make
/// the pooler treat a working endpoint as failed.
#[test]
fn a_malformed_response_fails_its_attempt_and_its_connection_is_not_reused() {
    for bytes in malformed_responses() {
        let context = format!("{bytes:?}");
        let statement_count = Arc::new(AtomicUsize::new(0));
        let counter = statement_count.clone();
        let group = PostgresGroup::start(move |_| match counter.fetch_add(1, Ordering::SeqCst) {
            1 => Reply::Bytes(bytes.clone()),
            _ => Reply::Row(b"good"),
        });
        let pooler = start_pooler(&group.endpoint_list());
        let mut client = PostgresClient::connect(pooler.address);
        assert_eq!(
            client.query(&write_statement("0", 1900)).sqlstate,
            None,
            "the router now knows the primary"
        );
        let sent_at = Instant::now();
        let keyed = client.query(&keyed_write_statement("1", 1900, 9));
        assert_eq!(keyed.value, row_of(b"good"), "{context}");
        assert!(sent_at.elapsed().as_millis() < 1_000, "no wait for the deadline: {context}");
        assert_eq!(statement_count.load(Ordering::SeqCst), 3, "{context}");
        // Without a key the write must not be retried, since it may have run.
        statement_count.store(1, Ordering::SeqCst);
        let without_key = client.query(&write_statement("2", 1900));
        assert_eq!(without_key.sqlstate.as_deref(), Some("58000"), "{context}");
        assert_eq!(client.query(&write_statement("3", 1900)).value, row_of(b"good"), "{context}");
        assert_eq!(statement_count.load(Ordering::SeqCst), 3, "{context}");
    }
}

/// Guards against valid responses that are taken for malformed because of their length, and against a
/// connection that is unusable after one.
#[test]
fn long_values_are_forwarded_in_full() {
    static LONG_VALUE: [u8; 4 * 1024 * 1024] = [7; 4 * 1024 * 1024];
    let group = PostgresGroup::start(|text| match text.contains("id=1,") {
        true => Reply::Row(&LONG_VALUE[..70_000]),
        false => Reply::Row(&LONG_VALUE),
    });
    let pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    for (id, length) in [("1", 70_000), ("2", LONG_VALUE.len()), ("3", LONG_VALUE.len())] {
        let response = client.query(&write_statement(id, 5_000));
        assert!(response.value.as_deref() == Some(&LONG_VALUE[..length]), "{id}: {:?}", response.sqlstate);
    }
    let mut pipelining = PostgresClient::connect(pooler.address);
    let long_query = messages::query(&write_statement("4", 5_000));
    let shorter_query = messages::query(&write_statement("1", 5_000));
    pipelining.send(&[long_query, shorter_query].concat());
    let mut received_length = || pipelining.receive().unwrap().value.map(|value| value.len());
    assert_eq!(received_length(), Some(LONG_VALUE.len()));
    assert_eq!(received_length(), Some(70_000), "in the order of the queries");
}

/// Guards against a long value that is buffered until it is complete, and against a truncated one that looks
/// complete to the client.
#[test]
fn a_long_value_is_streamed_and_a_client_can_detect_that_it_is_truncated() {
    const VALUE_BYTES: usize = 200_000;
    const ROW_DESCRIPTION_BYTES: usize = 33;
    const DATA_ROW_HEADER_BYTES: usize = 11;
    let half_a_row = || messages::partial_row(VALUE_BYTES, &[9; VALUE_BYTES / 2]);
    let row_without_end = || messages::partial_row(VALUE_BYTES, &[9; VALUE_BYTES]);
    let group = PostgresGroup::start(move |text| match text {
        text if text.contains("id=1,") => Reply::BytesThenSilence(half_a_row()),
        text if text.contains("id=2,") => Reply::BytesThenClose(half_a_row()),
        text if text.contains("id=3,") => {
            Reply::BytesThenClose([row_without_end(), b"!!!!!".to_vec()].concat())
        }
        text if text.contains("id=4,") => Reply::Bytes(messages::partial_row(3_000_000_000, &[9; 20])),
        _ => Reply::Row(b"x"),
    });
    let pooler = start_pooler(&group.endpoint_list());
    // The endpoint sends half of the row and no more; the client receives that half.
    let mut waiting = PostgresClient::connect(pooler.address);
    waiting.send_query(&keyed_write_statement("1", 1_000, 1));
    let mut received_half = vec![0; ROW_DESCRIPTION_BYTES + DATA_ROW_HEADER_BYTES + VALUE_BYTES / 2];
    waiting.stream.read_exact(&mut received_half).unwrap();
    drop(waiting);
    let closed = group.primary.closed_connections.recv_timeout(DEFAULT_TIMEOUT);
    assert_eq!(closed, Ok(true), "the attempt ends when the client disconnects");
    for id in ["2", "3"] {
        let mut client = PostgresClient::connect(pooler.address);
        client.send_query(&keyed_write_statement(id, 1_000, 1));
        let mut received = Vec::new();
        let _ = client.stream.read_to_end(&mut received);
        let ends_with_ready = received.ends_with(b"Z\0\0\0\x05I");
        assert!(
            received.len() >= VALUE_BYTES / 2 && !ends_with_ready,
            "{id}: a truncated response must not look complete"
        );
    }
    let count_before = group.primary.statement_count();
    let response = PostgresClient::connect(pooler.address).query(&write_statement("4", 1_000));
    let count_after = group.primary.statement_count();
    let outcome = (response.sqlstate.as_deref(), count_after);
    assert_eq!(
        outcome,
        (Some("58000"), count_before + 1),
        "rejected for the length in its header, without a retry"
    );
    let response = PostgresClient::connect(pooler.address).query(&write_statement("5", 5_000));
    assert_eq!(response.value, row_of(b"x"));
}

/// Guards against a request that stays open after its deadline, and against a rejection that does not state
/// when to retry.
#[test]
fn a_request_without_a_response_fails_at_its_deadline_and_a_rejected_one_gets_a_retry_after() {
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler(&group.endpoint_list());
    let sent_at = Instant::now();
    let response = PostgresClient::connect(pooler.address).query(&keyed_write_statement("1", 300, 1));
    assert_eq!(response.sqlstate.as_deref(), Some("57014"));
    assert!(sent_at.elapsed().as_millis() < 1_000);
    let overloaded = PostgresEndpoint::replica(|_| Reply::Error("53300"));
    pooler.discovery.publish(&[endpoint_json("f", overloaded.address, 1, "active")]);
    let response = PostgresClient::connect(pooler.address).query(&read_statement("2", 400));
    assert_eq!(response.sqlstate.as_deref(), Some("53300"));
    let retry_after_ms: u32 = response.detail.unwrap().parse().unwrap();
    assert!(retry_after_ms > 0);
}
