//! How operations and answers pass through, and which status a failure has.

use super::endpoint::*;
use super::pooler::*;
use super::stand_in::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[test]
fn operations_and_content_pass_through_in_every_form() {
    let does = |request: &Http| {
        (request.header("accept") == Some("text/csv"))
            .then(|| Does::Answer(200, "text/csv", "a,b\r\n".into()))
    };
    let host = Host::start(true, 0, does);
    let running = start(&files("forms", &[("p", host.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    let post = |kind: &str, body: &str| {
        format!(
            "POST /sparql?default-graph-uri=urn:g HTTP/1.1\r\nAccept: text/csv\r\nContent-Type: {kind}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let form = "application/x-www-form-urlencoded";
    for (text, class) in [
        (query("Accept: text/csv\r\n"), "catalog-read"),
        (post(form, "query=ASK+%7B%7D"), "catalog-read"),
        (post("application/sparql-query", "ASK {}"), "catalog-read"),
        (post(form, "update=CLEAR+ALL"), "score-write"),
        (post("application/sparql-update", "CLEAR ALL"), "score-write"),
    ] {
        let answer = client.call(&text);
        assert_eq!((answer.status(), answer.header("content-type")), (200, Some("text/csv")), "{text}");
        assert_eq!(answer.body, b"a,b\r\n");
        assert!(answer.header("brookpass-position").is_some() && answer.header("brookpass-load").is_none());
        let seen = host.operations.lock().unwrap().last().cloned().unwrap();
        assert_eq!(seen.first, text.lines().next().unwrap());
        assert_eq!(seen.text(), text.split("\r\n\r\n").nth(1).unwrap());
        let write = seen.header("content-type").is_some_and(|_| class == "score-write");
        assert_eq!(write, class == "score-write", "{text}");
    }
    // A host's word on the operation itself is the client's answer.
    let host = Host::start(true, 0, |_| Some(Does::Answer(400, "text/plain", "no SPARQL".into())));
    let running = start(&files("words", &[("p", host.address)], &[]));
    let answer = call(running.front, &query(""));
    assert_eq!((answer.status(), answer.text().as_str()), (400, "no SPARQL"));
    for (text, status) in [
        ("GET /sparql HTTP/1.1\r\n\r\n".to_string(), 400),
        ("GET /elsewhere HTTP/1.1\r\n\r\n".into(), 404),
        ("DELETE /sparql HTTP/1.1\r\n\r\n".into(), 405),
        (query("Brookpass-Class: none\r\n"), 400),
        (update("Brookpass-Class: catalog-read\r\n"), 400),
        (query("Brookpass-Class: catalog-read\r\nBrookpass-Position: 5\r\n"), 400),
        (query("Brookpass-Group: 9\r\n"), 404),
        ("POST /sparql HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".into(), 413),
        (format!("GET /sparql?query={} HTTP/1.1\r\n\r\n", "x".repeat(40_000)), 431),
        (
            "GET /sparql?query=a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            400,
        ),
    ] {
        let before = host.count();
        assert_eq!(call(running.front, &text).status(), status, "{:.80}", text);
        assert_eq!(host.count(), before, "it goes nowhere");
    }
}

#[test]
fn refused_failed_and_late_have_their_statuses() {
    let late = Host::start(true, 0, |_| Some(Does::Silence));
    let running = start(&files("late", &[("p", late.address)], &[]));
    assert_eq!(call(running.front, &update("Brookpass-Time-Left-Ms: 200\r\n")).status(), 504);
    let full = Host::start(true, 0, |_| Some(Does::Answer(503, "text/plain", "full".into())));
    let running = start(&files("full", &[("p", full.address)], &[]));
    let answer = call(running.front, &update("Brookpass-Time-Left-Ms: 700\r\n"));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").unwrap().parse::<u32>().unwrap() >= 1);
    assert!(answer.header("brookpass-retry-after-ms").unwrap().parse::<u32>().unwrap() >= 1);
    let bad = Host::start(true, 0, |_| Some(Does::Answer(500, "text/plain", "broken".into())));
    let running = start(&files("failed", &[("p", bad.address)], &[]));
    assert_eq!(call(running.front, &update("")).status(), 502);
    assert_eq!(bad.count(), 1, "it may have run, and nobody drops a repeat without a key");
}

/// Guards against a write that runs twice, and against one that is lost though it never ran.
#[test]
fn a_write_without_a_key_is_repeated_only_where_it_never_ran() {
    let breaks = Host::start(true, 0, |_| Some(Does::LogRollback));
    let running = start(&files("once", &[("p", breaks.address)], &[]));
    assert_eq!(call(running.front, &update("Brookpass-Time-Left-Ms: 1500\r\n")).status(), 502);
    assert_eq!(breaks.count(), 1);
    let keyed = Host::start(true, 0, |_| Some(Does::LogRollback));
    let running = start(&files("keyed", &[("p", keyed.address)], &[]));
    let answer = call(running.front, &update("Brookpass-Key: k1\r\nBrookpass-Time-Left-Ms: 1900\r\n"));
    assert_ne!(answer.status(), 200);
    assert!(keyed.count() >= 2, "with a key its set drops the repeat");

    // One host is down and one is no primary: neither has run the write.
    let (replica, primary) = (Host::plain(false, 0), Host::plain(true, 0));
    let [a, b, c] = names();
    let hosts = [(a.as_str(), nobody()), (b.as_str(), replica.address), (c.as_str(), primary.address)];
    let folder = files("never", &hosts, &[]);
    // Nobody is asked who is primary, so the write tries them in the order of the ring.
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("max-attempts: 8", "max-attempts: 8\n    probes: false")).unwrap();
    let running = start(&folder);
    assert_eq!(call(running.front, &update("")).status(), 200);
    assert_eq!((replica.count(), primary.count()), (1, 1));
}

/// Guards against an answer that a client takes for whole though its host broke off.
#[test]
fn a_long_answer_is_passed_on_and_one_cut_short_shows_it() {
    const SIZE: usize = 3_000_000;
    let ends = Arc::new(AtomicBool::new(true));
    let whole = ends.clone();
    let host = Host::start(true, 0, move |_| Some(Does::Long(SIZE, whole.load(Ordering::SeqCst))));
    let running = start(&files("long", &[("p", host.address)], &[]));
    let answer = call(running.front, &update(""));
    assert_eq!((answer.status(), answer.body.len(), answer.whole), (200, SIZE, true));
    ends.store(false, Ordering::SeqCst);
    let answer = call(running.front, &update(""));
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert!(answer.body.len() < SIZE);
    // One that is short enough to be held back is never begun: the client gets a status instead.
    let short = Host::start(true, 0, |_| Some(Does::Long(1000, false)));
    let running = start(&files("short", &[("p", short.address)], &[]));
    assert_eq!(call(running.front, &update("")).status(), 502);
}

/// Guards against a reset that passes for the end of an answer without a length.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let host = Host::start(true, 0, |_| Some(Does::ResetWithoutLength));
    let running = start(&files("resets", &[("p", host.address)], &[]));
    let answer = call(running.front, &update(""));
    assert_eq!((answer.status(), host.count()), (502, 1), "{}", String::from_utf8_lossy(&answer.body));
}
