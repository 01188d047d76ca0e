//! Clients that go, against every place in which their request may stand. Each test forces one order.

mod stand_in;

use stand_in::platform::*;
use stand_in::*;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than it may take to notice that a client has gone.
const GONE: Duration = Duration::from_millis(300);

/// What a client has begun to write and never ends: longer than what is read behind an open request.
fn unread() -> Vec<u8> {
    let mut bytes = pg_query(&"x".repeat(120_000));
    bytes.truncate(110_000);
    bytes
}

/// Guards against a client that goes while so much of what it sent is unread that its end is behind it: its attempt
/// would go on to the deadline.
#[test]
fn a_client_that_goes_with_bytes_sent_ahead_unread_ends_its_attempt() {
    let (p, r) = pair(|_| Reply::Silence);
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 600_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    client.send(&unread());
    drop(client);
    assert_eq!(p.dropped.recv_timeout(PATIENCE), Ok(true), "the attempt's connection is closed");
}

/// Guards against the requests behind it, which would be sent on one after the other for nobody.
#[test]
fn what_a_client_sent_ahead_is_not_sent_on_once_it_has_gone() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |_| Reply::After(wait.clone(), b"slow"));
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    // More than may be open at once: the rest waits, unread or in the buffer, behind the first.
    let many = |n: usize| pg_query(&write(&format!("ahead-{n}"), 600_000, &format!(",k={n}")));
    client.send(&(0..400).flat_map(many).collect::<Vec<u8>>());
    eventually("the first are sent", || p.count() > 0);
    client.send(&unread());
    drop(client);
    thread::sleep(GONE);
    let ahead = || p.statements.lock().unwrap().iter().filter(|text| text.contains("id=ahead-")).count();
    let before = ahead();
    for _ in 0..400 {
        let _ = go.send(());
    }
    let mut other = PgClient::connect(s.address);
    for n in 0..20 {
        other.ask(&read(&format!("other-{n}"), 1_000));
    }
    assert_eq!(ahead(), before, "no attempt began after the client had gone");
}

/// Guards against a client that goes before there is a list: its request is not sent when one comes.
#[test]
fn a_client_that_goes_while_it_waits_for_the_first_list_is_not_sent_on() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let discovery = ScriptedDiscovery::start();
    let path = folder("gone").join("config.json");
    std::fs::write(&path, config("127.0.0.1:0", discovery.address, SETTINGS)).unwrap();
    let (_daemon, address) = daemon_on(&path);
    let call = discovery.next_call();
    let mut client = PgClient::raw(address);
    // The readiness query waits for a list, and the write behind it for its turn.
    client.send(&[pg_startup(), pg_query(""), pg_query(&write("gone", 600_000, ",k=1"))].concat());
    assert_eq!(client.answer(), Some(Answer::default()), "all of it has been read");
    drop(client);
    thread::sleep(GONE);
    call.answer(&list_text(1, true, &both(&p, &r)));
    let mut other = PgClient::connect(address);
    eventually("the list is there", || other.ask(&read("other", 1_000)).value.is_some());
    let seen = [p.statements.lock().unwrap().clone(), r.statements.lock().unwrap().clone()].concat();
    assert!(!seen.iter().any(|text| text.contains("id=gone,")), "{seen:?}");
}

/// Guards against a held write that is sent on, when its primary comes, for a client that has gone; and against a burst
/// of leavers that takes the place of those who stay.
#[test]
fn held_writes_of_clients_that_have_gone_are_not_sent_when_their_primary_comes() {
    let lone = PgHost::start("copy", |_| Reply::Error("25006"));
    let s = started(&[endpoint("lone", lone.address, 1, "active")]);
    let mut clients: Vec<PgClient> = (0..40).map(|_| PgClient::connect(s.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&pg_query(&write(&format!("held-{n}"), 600_000, &format!(",k={n}"))));
    }
    eventually("the first has missed", || lone.count() > 0);
    let mut stays = clients.pop().unwrap();
    drop(clients);
    thread::sleep(GONE);
    let primary = PgHost::start("source", |_| Reply::Row(b"done"));
    s.discovery.publish(&[endpoint("new", primary.address, 1, "active")]);
    assert_eq!(stays.answer().unwrap().value.as_deref(), Some(&b"done"[..]));
    assert_eq!(primary.count(), 1, "{:?}", primary.statements.lock().unwrap());
}

/// Guards against an attempt that is written once its connection is up, for a client that has gone meanwhile.
#[test]
fn a_client_that_goes_while_its_host_is_dialled_is_not_sent_on() {
    let host = SlowHost::start();
    let s = started_on(&[endpoint("slow", host.address, 1, "active")], |text| {
        text.replace("\"connect-timeout\":0.25", "\"connect-timeout\":15.0")
    });
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 600_000, ",k=1")));
    let connection = host.next();
    drop(client);
    thread::sleep(GONE);
    assert_eq!(connection.welcome_then_read(), None, "nothing is written on it");
}

/// Guards against an attempt after one that failed, for a client that has gone between the two.
#[test]
fn a_client_that_goes_between_two_attempts_gets_no_second_one() {
    let host = SlowHost::start();
    let s = started(&[endpoint("slow", host.address, 1, "active")]);
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 600_000, ",k=1")));
    let first = host.next();
    let statement = first.welcome_then_read().expect("the first attempt");
    assert!(statement.contains("id=1,"));
    drop(client);
    thread::sleep(GONE);
    drop(first);
    let mut other = PgClient::connect(s.address);
    other.send(&pg_query(&write("2", 600_000, ",k=2")));
    let next = host.next().welcome_then_read().expect("the other's attempt");
    assert!(next.contains("id=2,"), "{next}");
}

/// Guards against time that a request spent behind others and that its host is told it has left.
#[test]
fn a_request_that_waited_behind_others_tells_its_host_only_the_time_that_is_left() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |text| match text.contains("id=0,") {
        true => Reply::After(wait.clone(), b"slow"),
        false => Reply::Row(b"fast"),
    });
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    // As many as may be open at once, and one more that is read with them and waits.
    let all: Vec<u8> = (0..65)
        .flat_map(|n| match n {
            64 => pg_query(&write("64", 5_000, ",k=64")),
            _ => pg_query(&write(&n.to_string(), 600_000, &format!(",k={n}"))),
        })
        .collect();
    let began = Instant::now();
    client.send(&all);
    eventually("all that may be open is out", || p.count() > 0);
    thread::sleep(Duration::from_millis(400));
    // Bytes of a later one come in between: they are no reason to count the others from now.
    client.send(&pg_query(&write("65", 5_000, ",k=65"))[..20]);
    thread::sleep(Duration::from_millis(50));
    go.send(()).unwrap();
    let id = |text: &String| text.contains("id=64,");
    eventually("the one that waited is sent", || p.statements.lock().unwrap().iter().any(id));
    let spent = began.elapsed().as_millis() as i64;
    let sent = p.statements.lock().unwrap().iter().find(|text| id(text)).cloned().unwrap();
    let told: i64 = sent.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!(told <= 5_000 - 440, "{told} ms are told, {spent} ms after it was sent");
}
