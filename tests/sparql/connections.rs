//! Clients that close, stay silent, or wait while the program ends.

use super::endpoint::*;
use super::pooler::*;
use super::stand_in::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// The operators' other hard case.
#[test]
fn a_client_that_drops_its_connection_ends_the_attempt() {
    let host = Host::start(true, 0, |_| Some(Does::Silence));
    let running = start(&files("drop", &[("p", host.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    // The deadline lies far beyond the test's patience: it is not what ends the attempt.
    client.send(&update("Brookpass-Time-Left-Ms: 600000\r\n"));
    eventually("the host has the operation", || host.count() == 1);
    drop(client);
    assert_eq!(host.dropped.recv_timeout(PATIENCE), Ok(true), "the attempt's connection is closed");
}

/// Guards against an attempt that a host keeps waiting in the midst of a long answer, for a client that has gone.
#[test]
fn a_client_that_goes_in_the_midst_of_a_long_answer_ends_the_attempt() {
    let host = Host::start(true, 0, |_| Some(Does::LongThenSilence(3 * 1024 * 1024)));
    let folder = files("leaves-long", &[("h", host.address)], &[]);
    let running = start(&folder);
    let mut client = HttpClient::connect(running.front);
    client.send(&query(""));
    let mut some = vec![0; 64 * 1024];
    std::io::Read::read_exact(&mut client.reader, &mut some).unwrap();
    let began = std::time::Instant::now();
    // It goes on reading until nothing more comes, then closes.
    client.reader.get_ref().set_read_timeout(Some(std::time::Duration::from_millis(300))).unwrap();
    while matches!(std::io::Read::read(&mut client.reader, &mut some), Ok(n) if n > 0) {}
    drop(client);
    assert_eq!(host.dropped.recv_timeout(PATIENCE), Ok(true));
    assert!(began.elapsed().as_secs() < 5, "a host's stall is not waited for: {:?}", began.elapsed());
}

/// Guards against connections that say nothing, or never a whole request, and keep the seats of those that ask.
#[test]
fn silent_connections_make_room_and_end_in_time() {
    let primary = Host::plain(true, 0);
    let folder = files("silent", &[("p", primary.address)], &[]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap().replace("sockets: 1024", "sockets: 96");
    std::fs::write(&file, text).unwrap();
    let running = start(&folder);
    let began = std::time::Instant::now();
    let beginnings = ["", "GET /sp", "POST /sparql HTTP/1.1\r\nHost: b\r\nContent-Length: 900\r\n\r\nhalf"];
    let silent: Vec<HttpClient> = (0..64)
        .map(|n| {
            let mut silent = HttpClient::connect(running.front);
            let _ = silent.reader.get_mut().write_all(beginnings[n % 3].as_bytes());
            silent
        })
        .collect();
    for n in 0..30 {
        assert_eq!(call(running.front, &update("")).status(), 200, "request {n}");
    }
    for mut one in silent {
        while read_http(&mut one.reader).is_some() {}
    }
    assert!(began.elapsed().as_millis() < 3_000, "each of them was told or closed in time");
}

/// Guards against requests lost when the daemon is stopped.
#[test]
fn sigterm_answers_what_was_taken() {
    let (hold, count) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
    let (held, counted) = (hold.clone(), count.clone());
    let host = Host::start(true, 0, move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        eventually("the test lets go", || !held.load(Ordering::SeqCst));
        None
    });
    let mut running = start(&files("term", &[("p", host.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    client.send(&update(""));
    eventually("the host has it", || count.load(Ordering::SeqCst) == 1);
    running.daemon.signal("-TERM");
    running.daemon.line("draining");
    hold.store(false, Ordering::SeqCst);
    assert_eq!(client.receive().status(), 200);
    assert!(running.daemon.wait().success());
    assert!(host.primary.load(Ordering::SeqCst));
}
