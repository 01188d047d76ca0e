//! To which endpoint, and over which connection, attempts go.

use super::stand_in::platform::*;
use super::stand_in::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// Guards against sends to a host that drains: the list counts before anything that is asked after it.
#[test]
fn nothing_new_goes_to_a_host_that_leaves() {
    let one = PgHost::start("copy", |_| Reply::Row(b"one"));
    let two = PgHost::start("copy", |_| Reply::Row(b"two"));
    let list = |status| vec![endpoint("a", one.address, 1, status), endpoint("b", two.address, 1, "active")];
    let s = started(&list("active"));
    let mut client = PgClient::connect(s.address);
    eventually("both hosts are used", || {
        client.ask(&read("1", 1000));
        one.count() > 0 && two.count() > 0
    });
    s.discovery.publish(&list("leaving"));
    let before = one.count();
    for n in 0..30 {
        assert_eq!(client.ask(&read(&n.to_string(), 1000)).value.as_deref(), Some(&b"two"[..]));
    }
    assert_eq!(one.count(), before);
    // A list that is out of form must not cost the one that is held.
    s.discovery.break_once("{\"index\":9,\"endpoints\":[}");
    s.discovery.wait_for_watch();
    assert_eq!(client.ask(&read("x", 1000)).value.as_deref(), Some(&b"two"[..]));
}

/// Guards against a write that runs twice: after its last byte a break means that it may have run.
#[test]
fn a_write_that_may_have_run_is_repeated_only_with_a_key() {
    let (p, r) = pair(|_| Reply::LogRollback);
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    let answer = client.ask(&write("1", 1000, ""));
    assert_eq!((answer.code.as_deref(), p.count()), (Some("58000"), 1));
    let (p, r) = pair(|_| Reply::LogRollback);
    let s = started(&both(&p, &r));
    PgClient::connect(s.address).ask(&write("2", 1900, ",k=9"));
    assert!(p.count() >= 2, "a keyed write is repeated within its window");
}

/// Guards against a write that is lost on a connection that its host has closed meanwhile.
#[test]
fn a_connection_that_its_host_has_closed_is_not_used_again() {
    let (p, r) = pair(|_| Reply::RowThenEnd(b"x"));
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    for n in 1..=20 {
        // Without a key none of these may be repeated: one written to a dead connection would fail.
        assert_eq!(client.ask(&write(&n.to_string(), 1000, "")).value.as_deref(), Some(&b"x"[..]));
        assert_eq!(p.count(), n);
        assert_eq!(p.dropped.recv_timeout(PATIENCE), Ok(true), "the host has ended the connection");
    }
}

/// Guards against a host that takes connections and never gets them ready: nothing has run there.
#[test]
fn a_host_that_says_nothing_at_the_startup_is_left_for_another() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    let mute = listen(move |mut stream| {
        count.fetch_add(1, Ordering::SeqCst);
        while matches!(stream.read(&mut [0; 64]), Ok(n) if n > 0) {}
    });
    let (p, _) = pair(|_| Reply::Row(b"x"));
    let [first, second] = names();
    let s = started(&[endpoint(&first, mute, 1, "active"), endpoint(&second, p.address, 1, "active")]);
    let mut client = PgClient::connect(s.address);
    for n in 0..4 {
        assert_eq!(client.ask(&write(&n.to_string(), 1500, "")).value.as_deref(), Some(&b"x"[..]));
    }
    assert!(asked.load(Ordering::SeqCst) > 0, "the mute host was tried first");
}

/// Guards against a wait for a connection that goes on after its host began to drain.
#[test]
fn an_attempt_that_waits_for_a_connection_ends_when_its_host_drains() {
    let ((came, waits), (up, go)) = (channel(), channel());
    let go = Mutex::new(go);
    let came = Mutex::new(came);
    let mute = listen(move |mut stream| {
        let mut first = [0; 64];
        if matches!(stream.read(&mut first), Ok(n) if n > 0) {
            let _ = came.lock().unwrap().send("a startup");
            let ready = [pg_message(b'R', &[0; 4]), pg_message(b'Z', b"I")].concat();
            // Only now does the connection come up, if it is still there.
            let _ = go.lock().unwrap().recv_timeout(PATIENCE);
            let _ = stream.write_all(&ready);
            let statement = matches!(stream.read(&mut first), Ok(n) if n > 0);
            let _ = came.lock().unwrap().send(if statement { "a statement" } else { "the end" });
        }
    });
    let (p, _) = pair(|_| Reply::Row(b"x"));
    let [first, second] = names();
    let list = |status| vec![endpoint(&first, mute, 1, status)];
    let s = started(&list("active"));
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 2000, "")));
    assert_eq!(waits.recv_timeout(PATIENCE), Ok("a startup"));
    let mut both = list("leaving");
    both.push(endpoint(&second, p.address, 1, "active"));
    s.discovery.publish(&both);
    // Commands are carried out in order: once a later request is answered, the list has reached the attempt.
    assert_eq!(PgClient::connect(s.address).ask(&read("2", 1000)).value.as_deref(), Some(&b"x"[..]));
    up.send(()).unwrap();
    assert_eq!(waits.recv_timeout(PATIENCE), Ok("the end"), "nothing goes to a host that drains");
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"x"[..]));
}

/// Guards against work for nobody: a client that has gone ends its attempt.
#[test]
fn a_client_that_goes_ends_its_attempt() {
    let (p, r) = pair(|_| Reply::Silence);
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    // The deadline lies far beyond the test's patience: it is not what ends the attempt.
    client.send(&pg_query(&write("1", 600_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    drop(client);
    assert_eq!(p.dropped.recv_timeout(PATIENCE), Ok(true), "the attempt's connection is closed");
}
