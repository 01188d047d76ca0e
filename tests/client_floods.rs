//! Clients that send small or malformed commands at full speed: other clients must still be answered in time.

mod stand_in;

use stand_in::flood::{Flood, measure_service};
use stand_in::platform::{PostgresGroup, read_statement, start_pooler};
use stand_in::postgres::endpoint::Reply;
use stand_in::postgres::messages::{self, kind};
use std::sync::Mutex;
use std::time::Duration;

/// Number of connections that send at full speed.
const FLOODING_CLIENTS: usize = 6;
/// How long each flood lasts.
const FLOOD_PERIOD: Duration = Duration::from_millis(1_500);
/// Timeout of the other client's requests, in milliseconds.
const DEADLINE_MS: u32 = 500;
/// Interval between the other client's requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// SSLRequest: its length, and the request code in place of a protocol version.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// The floods run one after the other, so that each has the machine to itself.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

/// Floods a pooler with these commands and checks that every request of another client gets its answer in time.
fn check_service_beside(first: Vec<u8>, command: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static) {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let before = measure_service(pooler.address, "before", DEADLINE_MS, REQUEST_INTERVAL, FLOOD_PERIOD / 5);
    assert!(before.lost.is_empty() && before.served > 0, "without a flood: {before:?}");
    let flood = Flood::start(FLOODING_CLIENTS, pooler.address, first, command);
    let beside = measure_service(pooler.address, "beside", DEADLINE_MS, REQUEST_INTERVAL, FLOOD_PERIOD);
    let commands = flood.sent_commands();
    assert!(beside.lost.is_empty(), "beside a flood of {commands} commands: {beside:?}");
    assert!(beside.served * 2 >= beside.requests(), "beside a flood of {commands} commands: {beside:?}");
}

#[test]
fn encryption_requests_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(Vec::new(), |_| SSL_REQUEST.to_vec());
}

#[test]
fn empty_statements_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(messages::startup(), |_| messages::query(""));
}

#[test]
fn statements_without_an_id_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(messages::startup(), |_| messages::query("/* c=read,cluster=1 */ SELECT 1"));
}

#[test]
fn unknown_classes_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(messages::startup(), |number| {
        messages::query(&read_statement("flood", 1_000).replace("c=read", &format!("c=new-{number}")))
    });
}

#[test]
fn long_invalid_statements_at_full_speed_do_not_delay_other_clients() {
    let text = format!("/* id=flood,{} */ SELECT 1", "x".repeat(100_000));
    check_service_beside(messages::startup(), move |_| messages::query(&text));
}

#[test]
fn rejected_requests_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(messages::startup(), |number| {
        let statement = read_statement(&format!("flood-{number}"), 1_000);
        messages::query(&statement.replace("cluster=1", "cluster=77"))
    });
}

#[test]
fn discarded_messages_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(messages::startup(), |_| messages::message(kind::PARSE, b"\0SELECT 1\0\0\0"));
}

#[test]
fn sync_messages_at_full_speed_do_not_delay_other_clients() {
    check_service_beside(messages::startup(), |_| messages::message(kind::SYNC, b""));
}
