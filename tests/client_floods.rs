//! Clients that send small or malformed commands at full speed: other clients must still be answered in time.

mod stand_in;

use stand_in::flood::{Flood, RequestSchedule, assert_served, measure_reads};
use stand_in::platform::{
    PostgresGroup, read_statement, start_pooler, start_pooler_with_config, start_pooler_with_sockets,
    write_statement,
};
use stand_in::postgres::client::PostgresClient;
use stand_in::postgres::endpoint::Reply;
use stand_in::postgres::messages::{self, kind};
use stand_in::waiting::eventually;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Number of connections that send at full speed.
const FLOODING_CLIENTS: usize = 6;
/// The other client's requests beside a flood.
const BESIDE_FLOOD: RequestSchedule = RequestSchedule {
    timeout: Duration::from_millis(500),
    interval: Duration::from_millis(10),
    period: Duration::from_millis(1_500),
};
/// Its requests before the flood.
const BEFORE_FLOOD: RequestSchedule = RequestSchedule { period: Duration::from_millis(300), ..BESIDE_FLOOD };
/// Log lines about one kind of event for a flood of this length: 10 in each second that it touches.
const MAX_WARNINGS: usize = 30;
/// Within this time a client that sends no valid request gets an error or is disconnected.
const DISCONNECTED_WITHIN: Duration = Duration::from_secs(3);
/// SSLRequest: its length, and the request code in place of a protocol version.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// The floods run one after the other, so that each has the machine to itself.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

fn lock_machine() -> MutexGuard<'static, ()> {
    ONE_FLOOD.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Floods a pooler with these commands and checks that every request of another client gets its answer in time.
fn check_service_beside(first: Vec<u8>, command: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static) {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    assert_served(&measure_reads(pooler.address, "before", BEFORE_FLOOD), "without a flood");
    let flood = Flood::start(FLOODING_CLIENTS, pooler.address, first, command);
    let beside = measure_reads(pooler.address, "beside", BESIDE_FLOOD);
    assert_served(&beside, &format!("beside a flood of {} commands", flood.sent_commands()));
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

#[test]
fn datagrams_at_full_speed_do_not_delay_clients() {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let peer_address = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let pooler = start_pooler_with_config(&group.endpoint_list(), |text| {
        text.replace(
            "\"seed\"",
            &format!("\"peer_listen\":\"{peer_address}\",\"peers\":[\"{peer_address}\"],\"seed\""),
        )
    });
    assert_served(&measure_reads(pooler.address, "before", BEFORE_FLOOD), "without a flood");
    let stopped = Arc::new(AtomicBool::new(false));
    let send_datagrams = |_| {
        let stopped = stopped.clone();
        thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            while !stopped.load(Ordering::Relaxed) {
                let _ = socket.send_to(b"unsound", peer_address);
            }
        })
    };
    let senders: Vec<_> = (0..FLOODING_CLIENTS).map(send_datagrams).collect();
    let beside = measure_reads(pooler.address, "beside", BESIDE_FLOOD);
    stopped.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().unwrap();
    }
    assert_served(&beside, "beside datagrams at full speed");
}

#[test]
fn malformed_statements_at_full_speed_do_not_fill_the_log() {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let mut pooler = start_pooler(&group.endpoint_list());
    let flood = Flood::start(1, pooler.address, messages::startup(), |_| messages::query("no comment"));
    thread::sleep(BESIDE_FLOOD.period);
    let commands = flood.sent_commands();
    drop(flood);
    let lines = pooler.process.drain_log().iter().filter(|line| line.contains("no comment")).count();
    assert!(lines > 0, "malformed statements are logged");
    assert!(lines <= MAX_WARNINGS, "{lines} lines for {commands} statements");
}

#[test]
fn commands_that_no_endpoint_gets_leave_most_of_a_core_free() {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let floods: [(Vec<u8>, Vec<u8>); 4] = [
        (Vec::new(), SSL_REQUEST.to_vec()),
        (messages::startup(), messages::query("")),
        (messages::startup(), messages::query("no comment")),
        (messages::startup(), messages::query(&"x".repeat(100_000))),
    ];
    for (first, command) in floods {
        let length = command.len();
        let flood = Flood::start(FLOODING_CLIENTS, pooler.address, first, move |_| command.clone());
        let cpu_before = pooler.process.cpu_time();
        thread::sleep(BESIDE_FLOOD.period);
        let cpu_time = pooler.process.cpu_time() - cpu_before;
        let commands = flood.sent_commands();
        assert!(cpu_time < BESIDE_FLOOD.period / 2, "{cpu_time:?} for {commands} commands of {length} bytes");
    }
}

/// Sends requests for encryption at full speed on a new connection, and returns what it received and for how long the
/// connection was open, up to [`DISCONNECTED_WITHIN`].
fn request_encryption_until_disconnected(address: SocketAddr) -> (Vec<u8>, Duration) {
    let mut client = PostgresClient::connect_without_startup(address);
    let mut writer = client.stream.try_clone().unwrap();
    let connected_at = Instant::now();
    let sending = thread::spawn(move || while writer.write_all(&SSL_REQUEST.repeat(100)).is_ok() {});
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while connected_at.elapsed() < DISCONNECTED_WITHIN
        && let Ok(count) = client.stream.read(&mut chunk)
        && count > 0
    {
        received.extend_from_slice(&chunk[..count]);
    }
    let open_for = connected_at.elapsed();
    let _ = client.stream.shutdown(Shutdown::Both);
    sending.join().unwrap();
    (received, open_for)
}

#[test]
fn a_client_that_only_requests_encryption_is_disconnected_in_time() {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let (received, open_for) = request_encryption_until_disconnected(pooler.address);
    assert!(open_for < DISCONNECTED_WITHIN, "disconnected after {open_for:?}");
    let error = received.iter().position(|byte| *byte != b'N').expect("an error after the refusals");
    assert_eq!(received[error], kind::ERROR_RESPONSE);
}

#[test]
fn a_rejected_client_that_only_requests_encryption_is_disconnected_in_time() {
    const SOCKETS: usize = 64;
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler_with_sockets(&group.endpoint_list(), SOCKETS as u32);
    let mut busy_clients = Vec::new();
    while busy_clients.len() < SOCKETS {
        let mut client = PostgresClient::connect_without_startup(pooler.address);
        client.send(&messages::startup());
        if client.receive().is_none_or(|response| response.is_fatal) {
            break;
        }
        client.send_query(&write_statement(&format!("busy-{}", busy_clients.len()), 600_000));
        busy_clients.push(client);
        thread::sleep(Duration::from_millis(5));
    }
    assert!(busy_clients.len() < SOCKETS, "no connection was rejected");
    let (_, open_for) = request_encryption_until_disconnected(pooler.address);
    assert!(open_for < DISCONNECTED_WITHIN, "disconnected after {open_for:?}");
}

#[test]
fn valid_reads_at_full_speed_leave_no_other_client_without_an_answer() {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::Row(b"x"));
    let pooler = start_pooler(&group.endpoint_list());
    let flood = Flood::start(FLOODING_CLIENTS, pooler.address, messages::startup(), |number| {
        messages::query(&read_statement(&format!("flood-{number}"), 1_000))
    });
    let beside = measure_reads(pooler.address, "beside", BESIDE_FLOOD);
    assert!(beside.lost.is_empty(), "beside {} reads: {beside:?}", flood.sent_commands());
}

#[test]
fn hundreds_of_clients_that_stop_within_long_requests_stay_within_the_memory_limit() {
    const MEMORY_LIMIT_MB: u64 = 64;
    const CLIENTS: usize = 480;
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let pooler = start_pooler_with_config(&group.endpoint_list(), |text| {
        text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_LIMIT_MB}"))
    });
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = PostgresClient::connect_without_startup(pooler.address);
        let complete = messages::query(&long_read_statement(number, 40_000));
        let mut incomplete = messages::query(&long_read_statement(CLIENTS + number, 130_000));
        incomplete.truncate(120_000);
        let sent = match number % 2 {
            0 => [messages::startup(), incomplete].concat(),
            _ => [messages::startup(), complete, incomplete].concat(),
        };
        // The pooler rejects what it has no room for, and closes the connection.
        let _ = client.stream.write_all(&sent);
        clients.push(client);
    }
    thread::sleep(DISCONNECTED_WITHIN);
    let peak_mb = pooler.process.peak_memory_kib() / 1024;
    assert!(peak_mb < MEMORY_LIMIT_MB, "{peak_mb} MB of {MEMORY_LIMIT_MB}");
}

/// A read whose statement has this many bytes more than [`read_statement`].
fn long_read_statement(number: usize, bytes: usize) -> String {
    let value = format!("'{}'", "a".repeat(bytes));
    read_statement(&format!("long-{number}"), 2_500).replace("'a'", &value)
}

#[test]
fn delays_of_the_main_thread_and_late_answers_are_logged() {
    let _machine = lock_machine();
    let group = PostgresGroup::start(|_| Reply::NoResponse);
    let mut pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&write_statement("held", 300));
    eventually("the write has reached the primary", || group.primary.statement_count() == 1);
    pooler.process.signal("-STOP");
    thread::sleep(Duration::from_millis(900));
    pooler.process.signal("-CONT");
    client.receive().expect("a final answer");
    let mut lines = Vec::new();
    eventually("both are logged", || {
        lines.extend(pooler.process.drain_log());
        let contains = |text: &str| lines.iter().any(|line| line.contains(text));
        contains("main thread: tasks were delayed by") && contains("id \"held\": failed at its deadline, ")
    });
}
