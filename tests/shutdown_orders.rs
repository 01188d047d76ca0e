//! SIGTERM against what happens in the same moment. Each test forces one order of the two events.

mod stand_in;

use stand_in::platform::*;
use stand_in::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One of two poolers, which leaves its clients to the other one soon after SIGTERM.
fn one_of_two(endpoints: &[String]) -> Setup {
    started_on(endpoints, |text| text.replace("\"balancers\":1", "\"balancers\":2"))
}

/// A client that has been served.
fn served(setup: &Setup) -> PgClient {
    let mut client = PgClient::connect(setup.address);
    assert!(client.ask(&read("served", 1_000)).value.is_some());
    client
}

/// Reads that would queue for too long are refused: that is an answer too.
fn is_answered(answer: &Answer, n: usize) {
    assert!(answer.value.is_some() || answer.code.as_deref() == Some("53300"), "request {n}: {answer:?}");
}

/// Guards against half a request that is dropped with its connection: what was begun before the end is completed,
/// sent on and answered.
#[test]
fn a_request_that_is_half_read_when_connections_end_is_completed_and_answered() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let mut s = one_of_two(&both(&p, &r));
    let (mut half, mut idle) = (served(&s), served(&s));
    let query = pg_query(&read("half", 1_000));
    let (first, rest) = query.split_at(query.len() / 2);
    half.send(first);
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::DRAINING);
    assert_eq!(idle.answer(), None, "idle connections end");
    half.send(rest);
    assert!(half.answer().expect("an answer").value.is_some());
    assert_eq!(half.answer(), None, "then it ends");
    assert!(s.daemon.wait().success());
}

/// Guards against connections that the system has taken and the program has not when its listener closes: they would
/// be reset with whatever was written on them.
#[test]
fn connections_that_wait_in_the_systems_queue_at_the_end_are_served() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let mut s = one_of_two(&both(&p, &r));
    drop(served(&s));
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::DRAINING);
    s.daemon.signal("-STOP");
    let clients: Vec<PgClient> = (0..20)
        .map(|n| {
            let mut client = PgClient::raw(s.address);
            client.send(&[pg_startup(), pg_query(&read(&format!("queued-{n}"), 5_000))].concat());
            client
        })
        .collect();
    // Past the time for which connections are taken, so that its end and they are seen in one moment.
    thread::sleep(Duration::from_millis(700));
    s.daemon.signal("-CONT");
    for (n, mut client) in clients.into_iter().enumerate() {
        assert_eq!(client.answer(), Some(Answer::default()), "connection {n}");
        is_answered(&client.answer().expect("an answer"), n);
    }
    assert!(s.daemon.wait().success());
}

/// Guards against a request that crosses the end of its connection: it is not sent on, and what the client then reads
/// is an end, not a reset that may take the last answer with it.
#[test]
fn what_is_read_after_the_write_side_was_shut_is_not_sent_on_and_resets_nothing() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let mut s = one_of_two(&both(&p, &r));
    let mut client = served(&s);
    let before = p.count() + r.count();
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::DRAINING);
    assert_eq!(client.stream.read(&mut [0; 64]).unwrap(), 0, "the write side was shut");
    for n in 0..200 {
        client.send(&pg_query(&read(&format!("late-{n}"), 1_000)));
        assert_eq!(client.stream.read(&mut [0; 64]).expect("no reset"), 0);
    }
    drop(client);
    assert!(s.daemon.wait().success());
    assert_eq!(p.count() + r.count(), before, "nothing of it was sent on");
}

/// Guards against a client that is told that there are too many connections, and loses that word to a reset for what
/// it had written behind its startup message.
#[test]
fn a_connection_that_is_turned_away_can_read_why() {
    let (p, r) = pair(|_| Reply::Silence);
    let s = started_with(&both(&p, &r), 64);
    let mut busy = Vec::new();
    let mut turned_away = loop {
        let mut client = PgClient::raw(s.address);
        client.send(&pg_startup());
        let welcome = client.answer().expect("an answer");
        if welcome.fatal {
            assert_eq!(welcome.code.as_deref(), Some("53300"));
            break client;
        }
        client.send(&pg_query(&write(&format!("busy-{}", busy.len()), 600_000, ",k=1")));
        // Its request is open once the same id is refused; a seat whose request is open makes room for nobody.
        busy.push(client);
        assert!(busy.len() < 64, "none was turned away");
        thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(turned_away.stream.read(&mut [0; 64]).unwrap(), 0, "the write side was shut");
    for _ in 0..200 {
        turned_away.send(&pg_query(&read("late", 1_000)));
        assert_eq!(turned_away.stream.read(&mut [0; 64]).expect("no reset"), 0);
    }
}

/// Guards against an end that follows what a client claims: SIGKILL follows the longest deadline of the classes.
#[test]
fn the_end_follows_the_classes_deadlines_and_not_a_clients_claim() {
    let (p, r) = pair(|_| Reply::Silence);
    let mut s = started_on(&both(&p, &r), |text| {
        text.replace("\"deadline\":2.5", "\"deadline\":0.6").replace("\"deadline\":2.0", "\"deadline\":0.5")
    });
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("claims", 600_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    let began = Instant::now();
    s.daemon.signal("-TERM");
    assert!(client.answer().expect("a final answer").code.is_some());
    assert!(s.daemon.wait().success());
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2_000), "the platform kills it 1.3 s after SIGTERM: {took:?}");
}

/// Guards against a write that is held for a primary, or sent and unanswered, when the program ends.
#[test]
fn a_held_write_and_one_behind_a_host_that_hangs_get_final_answers_at_the_end() {
    let (p, r) = pair(|_| Reply::Silence);
    let mut s = one_of_two(&both(&p, &r));
    let mut hangs = PgClient::connect(s.address);
    hangs.send(&pg_query(&write("hangs", 60_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    // A group without a primary: its writes miss everywhere and are held.
    let lone = PgHost::start("copy", |_| Reply::Error("25006"));
    let mut list = both(&p, &r);
    list.push(endpoint("lone", lone.address, 2, "active"));
    s.discovery.publish(&list);
    let mut held = PgClient::connect(s.address);
    held.send(&pg_query(&write("held", 60_000, ",k=2").replace("cluster=1", "cluster=2")));
    eventually("the write has missed", || lone.count() > 0);
    s.daemon.signal("-TERM");
    assert_eq!(hangs.answer().unwrap().code.as_deref(), Some("58000"), "it may have run");
    assert_eq!(held.answer().unwrap().code.as_deref(), Some("58000"), "it was tried");
    assert!(s.daemon.wait().success());
}

/// Guards against a retry that starts as the program ends: its request still gets its one answer.
#[test]
fn a_retry_that_starts_after_the_end_has_begun_is_answered() {
    let sent = Arc::new(Mutex::new(0));
    let counted = sent.clone();
    let host = PgHost::start("source", move |text| {
        let mut sent = counted.lock().unwrap();
        *sent += usize::from(text.contains("id=again,"));
        if *sent == 1 { Reply::LogRollback } else { Reply::Row(b"second") }
    });
    let mut s = one_of_two(&[endpoint("p", host.address, 1, "active")]);
    let mut client = PgClient::connect(s.address);
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::DRAINING);
    client.send(&pg_query(&write("again", 1_500, ",k=1")));
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"second"[..]));
    assert_eq!(*sent.lock().unwrap(), 2);
    assert!(s.daemon.wait().success());
}

/// Guards against a start that fails because the process before it still has the port, and one that does not end while
/// it waits.
#[test]
fn a_port_that_is_still_held_is_waited_for() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let discovery = Discovery::start();
    discovery.preset(&both(&p, &r));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = held.local_addr().unwrap();
    let path = folder("held").join("config.json");
    std::fs::write(&path, config(&address.to_string(), discovery.address, SETTINGS)).unwrap();
    let start = || {
        let mut daemon = Daemon::start(&[], &[("GW_CONFIG", path.to_str().unwrap())]);
        daemon.line(log_lines::DISCOVERY_AWAITED);
        daemon
    };
    let mut ended = start();
    ended.signal("-TERM");
    assert!(ended.wait().success());
    let mut daemon = start();
    drop(held);
    daemon.line(log_lines::POSTGRES_LISTENING);
    assert!(PgClient::connect(address).ask(&read("1", 1_000)).value.is_some());
}

/// Guards against bytes that are lost behind an answer in the same moment: several commands in one write as the program
/// ends are all answered, in order, before the connection ends.
#[test]
fn commands_sent_ahead_as_the_program_ends_are_all_answered() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let mut s = one_of_two(&both(&p, &r));
    let mut client = served(&s);
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::DRAINING);
    let ahead: Vec<u8> = (0..40).flat_map(|n| pg_query(&read(&format!("ahead-{n}"), 2_000))).collect();
    client.send(&ahead);
    for n in 0..40 {
        is_answered(&client.answer().expect("an answer"), n);
    }
    let ended = client.stream.write_all(b"").and_then(|()| client.stream.read(&mut [0; 8]));
    assert!(matches!(ended, Ok(0)) || ended.is_err_and(|e| e.kind() != ErrorKind::ConnectionReset));
    assert!(s.daemon.wait().success());
}
