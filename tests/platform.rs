//! The program on the platform's protocol: started as the platform starts it, spoken to over sockets.

mod stand_in;

use stand_in::platform::*;
use stand_in::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
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

/// Guards against spoilt answers that are passed on, waited for to the deadline, or laid to a sound host.
#[test]
fn a_spoilt_answer_is_a_failed_attempt_and_its_connection_is_not_used_again() {
    let row = |column: u32, row: u32| {
        let described = pg_message(b'T', &[&1u16.to_be_bytes()[..], b"payload\0", &[0; 18]].concat());
        let data = [&[b'D'][..], &row.to_be_bytes(), &[0, 1], &column.to_be_bytes(), b"bad"].concat();
        [described, data, pg_message(b'C', b"SELECT 1\0"), pg_message(b'Z', b"I")].concat()
    };
    let spoilt =
        [row(3, 2), row(3, 3_000_000_000), row(3, 40), row(90, 13), vec![b'x'; 300], b"\0\xff\r\n".to_vec()];
    for bytes in spoilt.into_iter().chain([row(3, 13)[..40].to_vec()]) {
        let sent = Arc::new(AtomicUsize::new(0));
        let (again, text) = (sent.clone(), format!("{bytes:?}"));
        let (p, r) = pair(move |_| match again.fetch_add(1, Ordering::SeqCst) {
            1 => Reply::Raw(bytes.clone()),
            _ => Reply::Row(b"good"),
        });
        let s = started(&both(&p, &r));
        let mut client = PgClient::connect(s.address);
        assert_eq!(client.ask(&write("0", 1900, "")).code, None, "now the primary is known");
        let began = std::time::Instant::now();
        assert_eq!(client.ask(&write("1", 1900, ",k=9")).value.as_deref(), Some(&b"good"[..]), "{text}");
        assert!(began.elapsed().as_millis() < 1_000, "not waited for: {text}");
        assert_eq!(sent.load(Ordering::SeqCst), 3, "{text}");
        // Without a key it may not be repeated: it has run, or may have.
        sent.store(1, Ordering::SeqCst);
        assert_eq!(client.ask(&write("2", 1900, "")).code.as_deref(), Some("58000"), "{text}");
        assert_eq!(client.ask(&write("3", 1900, "")).value.as_deref(), Some(&b"good"[..]), "{text}");
        assert_eq!(sent.load(Ordering::SeqCst), 3, "{text}");
    }
}

/// Guards against sound answers that are taken for spoilt because of their length, and against a connection that
/// is of no use after one.
#[test]
fn long_values_pass_whole() {
    static LONG: [u8; 4 * 1024 * 1024] = [7; 4 * 1024 * 1024];
    let (p, r) = pair(|text| Reply::Row(if text.contains("id=1,") { &LONG[..70_000] } else { &LONG }));
    let s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    for (id, length) in [("1", 70_000), ("2", LONG.len()), ("3", LONG.len())] {
        let answer = client.ask(&write(id, 5_000, ""));
        assert!(answer.value.as_deref() == Some(&LONG[..length]), "{id}: {:?}", answer.code);
    }
    let mut behind = PgClient::connect(s.address);
    behind.send(&[pg_query(&write("4", 5_000, "")), pg_query(&write("1", 5_000, ""))].concat());
    assert_eq!(behind.answer().unwrap().value.map(|v| v.len()), Some(LONG.len()));
    assert_eq!(behind.answer().unwrap().value.map(|v| v.len()), Some(70_000), "in their order");
}

/// Guards against a long value that is held until it is whole, and against one that breaks off and passes for whole.
#[test]
fn a_long_value_passes_on_as_it_comes_and_the_client_can_tell_where_it_broke_off() {
    const SIZE: usize = 200_000;
    let row = |claimed: usize, sent: usize| {
        let described = pg_message(b'T', &[&1u16.to_be_bytes()[..], b"payload\0", &[0; 18]].concat());
        let head =
            [&(claimed as u32 + 10).to_be_bytes()[..], &[0, 1], &(claimed as u32).to_be_bytes()].concat();
        [described, [b"D".to_vec(), head, vec![9; sent]].concat()].concat()
    };
    let (p, r) = pair(move |text| match text {
        t if t.contains("id=1,") => Reply::RawThenSilence(row(SIZE, SIZE / 2)),
        t if t.contains("id=2,") => Reply::RawThenEnd(row(SIZE, SIZE / 2)),
        t if t.contains("id=3,") => Reply::RawThenEnd([row(SIZE, SIZE), b"!!!!!".to_vec()].concat()),
        t if t.contains("id=4,") => Reply::Raw(row(3_000_000_000, 20)),
        _ => Reply::Row(b"x"),
    });
    let s = started(&both(&p, &r));
    // The host has sent half of it and says no more: the client has that half meanwhile.
    let mut waits = PgClient::connect(s.address);
    waits.send(&pg_query(&write("1", 1_000, ",k=1")));
    waits.stream.read_exact(&mut vec![0; 33 + 11 + SIZE / 2]).unwrap();
    drop(waits);
    assert_eq!(p.dropped.recv_timeout(PATIENCE), Ok(true), "its attempt ends with the client");
    for id in ["2", "3"] {
        let mut client = PgClient::connect(s.address);
        client.send(&pg_query(&write(id, 1_000, ",k=1")));
        let mut got = Vec::new();
        let _ = client.stream.read_to_end(&mut got);
        assert!(got.len() >= SIZE / 2 && !got.ends_with(b"Z\0\0\0\x05I"), "{id}: it cannot pass for whole");
    }
    let before = p.count();
    let answer = PgClient::connect(s.address).ask(&write("4", 1_000, ""));
    assert_eq!((answer.code.as_deref(), p.count()), (Some("58000"), before + 1), "refused at its head");
    assert_eq!(PgClient::connect(s.address).ask(&write("5", 5_000, "")).value.as_deref(), Some(&b"x"[..]));
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

#[test]
fn a_request_without_an_answer_fails_at_its_deadline_and_one_that_is_refused_says_when_to_come_back() {
    let (p, r) = pair(|_| Reply::Silence);
    let s = started(&both(&p, &r));
    let began = std::time::Instant::now();
    let answer = PgClient::connect(s.address).ask(&write("1", 300, ",k=1"));
    assert_eq!(answer.code.as_deref(), Some("57014"));
    assert!(began.elapsed().as_millis() < 1_000);
    let full = PgHost::start("copy", |_| Reply::Error("53300"));
    s.discovery.publish(&[endpoint("f", full.address, 1, "active")]);
    let answer = PgClient::connect(s.address).ask(&read("2", 400));
    assert_eq!(answer.code.as_deref(), Some("53300"));
    assert!(answer.detail.unwrap().parse::<u32>().unwrap() > 0);
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

/// Guards against requests lost at a planned restart.
#[test]
fn sigterm_answers_all_that_was_taken_and_then_ends() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |text| match text.contains("INSERT") {
        true => Reply::After(wait.clone(), b"late"),
        false => Reply::Row(b"replica"),
    });
    let mut s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    let mut idle = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 2_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    s.daemon.signal("-TERM");
    s.daemon.line(log_lines::DRAINING);
    assert_eq!(idle.ask(&read("2", 1000)).value.as_deref(), Some(&b"replica"[..]), "taken after SIGTERM");
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"late"[..]));
    assert_eq!(idle.answer(), None, "idle connections end");
    assert!(s.daemon.wait().success());
}

/// Guards against a reload that ends the program, waits for the old discovery, or costs an open request.
#[test]
fn sighup_moves_discovery_at_once_and_leaves_open_requests_alone() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |text| match text.contains("INSERT") {
        true => Reply::After(wait.clone(), b"late"),
        false => Reply::Row(b"old"),
    });
    let other = PgHost::start("copy", |_| Reply::Row(b"new"));
    let mut s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 5_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    let moved = Discovery::start();
    moved.preset(&[endpoint("p", p.address, 1, "leaving"), endpoint("other", other.address, 1, "active")]);
    std::fs::write(&s.config, config("127.0.0.1:0", moved.address, SETTINGS)).unwrap();
    // The old discovery holds a watch open all the while and says nothing.
    s.daemon.signal("-HUP");
    s.daemon.line(log_lines::DISCOVERY_RELOADED);
    moved.wait_for_watch();
    let mut second = PgClient::connect(s.address);
    for n in 2..12 {
        assert_eq!(second.ask(&read(&n.to_string(), 1000)).value.as_deref(), Some(&b"new"[..]));
    }
    std::fs::write(&s.config, "{\"name\":7}").unwrap();
    s.daemon.signal("-HUP");
    let line = s.daemon.line(log_lines::CONFIGURATION_KEPT);
    assert!(line.contains("name is no text"), "{line}");
    moved.publish(&[endpoint("other", other.address, 1, "active")]);
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"late"[..]));
    s.daemon.signal("-TERM");
    s.daemon.signal("-HUP");
    s.daemon.line(log_lines::CONFIGURATION_KEPT);
    assert!(s.daemon.wait().success());
}

#[test]
fn a_bad_configuration_is_one_line_with_file_and_line() {
    let path = folder("bad").join("config.json");
    let file = path.to_str().unwrap();
    let good = config("127.0.0.1:0", nobody(), SETTINGS);
    for (text, why) in [
        (good.replace("\"repeat\":\"by_key\"", "\"repeat\":\"by_key\"]"), "line 6"),
        (good.replace("127.0.0.1:0", "here"), "listen"),
        (good.replace("\"deadline\":2.0", "\"deadline\":\"soon\""), "services.1.deadline"),
    ] {
        std::fs::write(&path, text).unwrap();
        let mut daemon = Daemon::start(&[], &[("GW_CONFIG", file)]);
        let line = daemon.line(file);
        assert!(line.contains(why), "{line}");
        assert!(!daemon.wait().success());
    }
}
