//! What endpoints answer: malformed, long, cut short, missing.

use super::stand_in::platform::*;
use super::stand_in::*;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

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
