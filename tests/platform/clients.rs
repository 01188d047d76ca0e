//! What clients send: in one write, behind one another, malformed, in floods, never complete.

use super::stand_in::platform::*;
use super::stand_in::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// Guards against clients that write their first queries right behind the startup message.
#[test]
fn a_startup_with_queries_right_behind_it_is_answered_in_order() {
    let (p, r) = pair(|_| Reply::Row(b"\x9f\x00\x03"));
    let s = started(&both(&p, &r));
    let mut client = PgClient::raw(s.address);
    let bytes = [pg_startup(), pg_query(""), pg_query(&write("1", 1000, ",k=7")), pg_query(&read("2", 1000))];
    client.send(&bytes.concat());
    assert_eq!(client.answer(), Some(Answer::default()));
    assert!(client.answer().unwrap().empty);
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"\x9f\x00\x03"[..]));
    assert!(client.answer().unwrap().value.is_some());
    let sent = p.statements.lock().unwrap().iter().find(|s| s.contains("INSERT")).cloned().unwrap();
    let wait: u32 = sent.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!((1..=1000).contains(&wait), "{sent}");
    assert_eq!(sent.replace(&format!(",d={wait}"), ",d=1000"), write("1", 1000, ",k=7"), "only d changes");
}

/// Guards against a client that names another's open request: a host would take it for that one's repeat.
#[test]
fn the_id_of_an_open_request_is_refused_until_that_is_answered() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |_| Reply::After(wait.clone(), b"own"));
    let s = started(&both(&p, &r));
    let (mut first, mut other) = (PgClient::connect(s.address), PgClient::connect(s.address));
    first.send(&pg_query(&write("7", 5_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    let before = r.count();
    assert_eq!(other.ask(&read("7", 1000)).code.as_deref(), Some("42710"));
    assert_eq!(other.ask(&write("7", 1000, ",k=1")).code.as_deref(), Some("42710"));
    assert_eq!((p.count(), r.count()), (1, before));
    go.send(()).unwrap();
    assert_eq!(first.answer().unwrap().value.as_deref(), Some(&b"own"[..]));
    assert_eq!(other.ask(&read("7", 1000)).value.as_deref(), Some(&b"replica"[..]), "it is open no more");
}

/// Guards against bad input that reaches a host, or that costs the client its connection without a word.
#[test]
fn bad_input_gets_a_proper_answer_and_goes_nowhere() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    for (text, code) in [
        ("SELECT 1".to_string(), "42601"),
        ("/* id=1,c=read,cluster=1 */ SELECT 1".into(), "42601"),
        (read("1", 100).replace("c=read", "c=other"), "22023"),
        (read("1", 100).replace("cluster=1", "cluster=77"), "42704"),
    ] {
        let answer = client.ask(&text);
        assert_eq!((answer.code.as_deref(), answer.fatal), (Some(code), false), "{text}");
    }
    client.send(&pg_message(b'P', b"\0SELECT 1\0\0\0"));
    client.send(&pg_message(b'S', b""));
    assert_eq!(client.answer().unwrap().code.as_deref(), Some("0A000"));
    for bytes in [
        vec![0, 0, 0, 8, 0, 2, 0, 0],
        vec![0xff; 8],
        [pg_startup(), vec![b'Q', 0x7f, 0xff, 0xff, 0xff]].concat(),
        [pg_startup(), pg_message(b'Q', b"no end")].concat(),
        [pg_startup(), vec![b'!', 0, 0, 0, 4]].concat(),
    ] {
        let mut client = PgClient::raw(s.address);
        client.send(&bytes);
        let mut last = None;
        while let Some(answer) = client.answer() {
            last = Some(answer);
        }
        let last = last.expect("an answer before the end");
        assert_eq!((last.code.as_deref(), last.fatal), (Some("08P01"), true), "{bytes:?}");
    }
    assert_eq!(p.count() + r.count(), 0);
    assert_eq!(client.ask(&write("9", 1000, ",k=1")).value.as_deref(), Some(&b"x"[..]), "it still serves");
}

/// Guards against requests whose time runs out behind another on their connection.
#[test]
fn requests_written_behind_another_are_sent_at_once_and_answered_in_order() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |_| Reply::After(wait.clone(), b"slow"));
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    go.send(()).unwrap();
    assert_eq!(client.ask(&write("0", 5_000, "")).code, None, "now the primary is known");
    client.send(&pg_query(&write("1", 5_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 2);
    let before = r.count();
    let behind =
        [read("2", 5_000), read("3", 5_000).replace("c=read", "c=no"), read("2", 5_000), read("4", 5_000)];
    client.send(&behind.iter().flat_map(|text| pg_query(text)).collect::<Vec<u8>>());
    eventually("those behind it are sent too", || r.count() == before + 2);
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"slow"[..]));
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"replica"[..]));
    assert_eq!(client.answer().unwrap().code.as_deref(), Some("22023"));
    assert_eq!(client.answer().unwrap().code.as_deref(), Some("42710"), "its id is open before it");
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"replica"[..]));
    // One that goes takes all that is open with it.
    client.send(&[pg_query(&write("5", 600_000, ",k=5")), pg_query(&write("6", 600_000, ",k=6"))].concat());
    eventually("both are out", || p.count() == 4);
    drop(client);
    let mut other = PgClient::connect(s.address);
    eventually("their ids are free again", || other.ask(&read("6", 1_000)).value.is_some());
}

/// Guards against connections that say nothing, or never a whole request: they are owed a close in time, and
/// must not keep the seats of those that ask.
#[test]
fn silent_connections_make_room_and_end_in_time() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let s = started_with(&both(&p, &r), 64);
    let mut client = PgClient::connect(s.address);
    assert_eq!(client.ask(&read("1", 1000)).code, None);
    // As many as the pooler has descriptors; some have begun a startup or a message.
    let beginnings =
        [vec![], pg_startup()[..9].to_vec(), [pg_startup(), vec![b'Q', 0, 0, 1, 0, b'x']].concat()];
    let began = std::time::Instant::now();
    let silent: Vec<PgClient> = (0..64)
        .map(|n| {
            let mut silent = PgClient::raw(s.address);
            let _ = silent.stream.write_all(&beginnings[n % 3]);
            silent
        })
        .collect();
    for n in 2..30 {
        let mut new = PgClient::raw(s.address);
        new.send(&[pg_startup(), pg_query(&read(&n.to_string(), 1000))].concat());
        assert_eq!(new.answer(), Some(Answer::default()), "request {n}");
        assert!(new.answer().unwrap().value.is_some(), "request {n}");
    }
    for mut one in silent {
        while one.answer().is_some() {}
    }
    assert!(began.elapsed().as_millis() < 3_000, "each of them was told or closed in time");
}

/// Guards against hundreds of commands at once, and values that are read for what they claim.
#[test]
fn a_flood_is_answered_in_order_and_a_false_length_at_once() {
    let (p, r) = pair(|_| Reply::Row(b"x"));
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    let flood: Vec<u8> =
        (0..600).flat_map(|n| pg_query(&read(&n.to_string(), 5000).replace("c=read", "c=no"))).collect();
    let mut writer = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || writer.write_all(&flood));
    for n in 0..600 {
        assert_eq!(client.answer().unwrap().code.as_deref(), Some("22023"), "command {n}");
    }
    assert!(sending.join().unwrap().is_ok());
    let mut huge = PgClient::connect(s.address);
    huge.send(&[b'Q', 3, 0x93, 0x87, 0]);
    assert_eq!(huge.answer().unwrap().code.as_deref(), Some("08P01"), "none of the 60 MB had to come");
    assert_eq!(huge.answer(), None);
    assert_eq!(p.count() + r.count(), 0);
}
