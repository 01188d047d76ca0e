//! How operations and their answers pass through, and which status a failure has.

use super::endpoint::{Reply, SparqlEndpoint};
use super::pooler::{OperatorFiles, entry, query_request, start_pooler, update_request};
use super::stand_in::http::HttpClient;
use super::stand_in::network::{names_in_ring_order, unused_address};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A POST that accepts CSV, with this content.
fn post_request(content_type: &str, body: &str) -> String {
    format!(
        "POST /sparql?default-graph-uri=urn:g HTTP/1.1\r\nAccept: text/csv\r\nContent-Type: {content_type}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against an operation or an answer that the pooler changes, in each form in which SPARQL passes over
/// HTTP.
#[test]
fn operations_and_content_pass_through_in_every_form() {
    let endpoint = SparqlEndpoint::primary_replying(|request| {
        let csv = Reply::Answer { status: 200, content_type: "text/csv", body: "a,b\r\n".to_string() };
        (request.header("accept") == Some("text/csv")).then_some(csv)
    });
    let pooler = start_pooler(&OperatorFiles::write("forms", &[entry("p", endpoint.address)]));
    let mut client = HttpClient::connect(pooler.client_address);
    let form = "application/x-www-form-urlencoded";
    for (request, class) in [
        (query_request("Accept: text/csv\r\n"), "catalog-read"),
        (post_request(form, "query=ASK+%7B%7D"), "catalog-read"),
        (post_request("application/sparql-query", "ASK {}"), "catalog-read"),
        (post_request(form, "update=CLEAR+ALL"), "score-write"),
        (post_request("application/sparql-update", "CLEAR ALL"), "score-write"),
    ] {
        let answer = client.call(&request);
        assert_eq!((answer.status(), answer.header("content-type")), (200, Some("text/csv")), "{request}");
        assert_eq!(answer.body, b"a,b\r\n");
        let has_position = answer.header("brookpass-position").is_some();
        let has_load = answer.header("brookpass-load").is_some();
        assert!(has_position && !has_load);
        let forwarded = endpoint.last_operation();
        assert_eq!(forwarded.first_line, request.lines().next().unwrap());
        assert_eq!(forwarded.text(), request.split("\r\n\r\n").nth(1).unwrap());
        let is_write = class == "score-write";
        let is_forwarded_as_write = forwarded.header("content-type").is_some_and(|_| is_write);
        assert_eq!(is_forwarded_as_write, is_write, "{request}");
    }
    an_endpoints_rejection_of_an_operation_is_passed_on();
}

/// An endpoint's verdict on the operation itself is the client's answer; what the pooler rejects reaches no
/// endpoint.
fn an_endpoints_rejection_of_an_operation_is_passed_on() {
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::text(400, "no SPARQL")));
    let pooler = start_pooler(&OperatorFiles::write("words", &[entry("p", endpoint.address)]));
    let answer = pooler.call(&query_request(""));
    assert_eq!((answer.status(), answer.text().as_str()), (400, "no SPARQL"));
    let two_lengths =
        "GET /sparql?query=a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (request, status) in [
        ("GET /sparql HTTP/1.1\r\n\r\n".to_string(), 400),
        ("GET /elsewhere HTTP/1.1\r\n\r\n".into(), 404),
        ("DELETE /sparql HTTP/1.1\r\n\r\n".into(), 405),
        (query_request("Brookpass-Class: none\r\n"), 400),
        (update_request("Brookpass-Class: catalog-read\r\n"), 400),
        (query_request("Brookpass-Class: catalog-read\r\nBrookpass-Position: 5\r\n"), 400),
        (query_request("Brookpass-Group: 9\r\n"), 404),
        ("POST /sparql HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".into(), 413),
        (format!("GET /sparql?query={} HTTP/1.1\r\n\r\n", "x".repeat(40_000)), 431),
        (two_lengths.into(), 400),
    ] {
        let count_before = endpoint.operation_count();
        assert_eq!(pooler.call(&request).status(), status, "{request:.80}");
        assert_eq!(endpoint.operation_count(), count_before, "it goes nowhere");
    }
}

/// Guards against a status that does not tell clients whether, and when, they may retry.
#[test]
fn rejected_failed_and_late_operations_have_their_statuses() {
    let silent = SparqlEndpoint::primary_replying(|_| Some(Reply::NoResponse));
    let pooler = start_pooler(&OperatorFiles::write("late", &[entry("p", silent.address)]));
    assert_eq!(pooler.call(&update_request("Brookpass-Time-Left-Ms: 200\r\n")).status(), 504);
    let overloaded = SparqlEndpoint::primary_replying(|_| Some(Reply::text(503, "full")));
    let pooler = start_pooler(&OperatorFiles::write("full", &[entry("p", overloaded.address)]));
    let answer = pooler.call(&update_request("Brookpass-Time-Left-Ms: 700\r\n"));
    assert_eq!(answer.status(), 503);
    let retry_after_s: u32 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after_s >= 1);
    let retry_after_ms: u32 = answer.header("brookpass-retry-after-ms").unwrap().parse().unwrap();
    assert!(retry_after_ms >= 1);
    let failing = SparqlEndpoint::primary_replying(|_| Some(Reply::text(500, "broken")));
    let pooler = start_pooler(&OperatorFiles::write("failed", &[entry("p", failing.address)]));
    assert_eq!(pooler.call(&update_request("")).status(), 502);
    let count = failing.operation_count();
    assert_eq!(count, 1, "it may have run, and without a key no endpoint drops a retry");
}

/// Guards against a write that runs twice, and against one that is lost though it never ran.
#[test]
fn a_write_without_a_key_is_repeated_only_where_it_never_ran() {
    let closing = SparqlEndpoint::primary_replying(|_| Some(Reply::Close));
    let pooler = start_pooler(&OperatorFiles::write("once", &[entry("p", closing.address)]));
    assert_eq!(pooler.call(&update_request("Brookpass-Time-Left-Ms: 1500\r\n")).status(), 502);
    assert_eq!(closing.operation_count(), 1);
    let closing = SparqlEndpoint::primary_replying(|_| Some(Reply::Close));
    let pooler = start_pooler(&OperatorFiles::write("keyed", &[entry("p", closing.address)]));
    let keyed_update = update_request("Brookpass-Key: k1\r\nBrookpass-Time-Left-Ms: 1900\r\n");
    assert_ne!(pooler.call(&keyed_update).status(), 200);
    assert!(closing.operation_count() >= 2, "with a key its group drops the retry");

    // One endpoint is down and one is no primary: neither has run the write.
    let replica = SparqlEndpoint::replica(0);
    let primary = SparqlEndpoint::primary();
    let [first, second, third] = names_in_ring_order();
    let entries =
        [entry(&first, unused_address()), entry(&second, replica.address), entry(&third, primary.address)];
    let files = OperatorFiles::write("never", &entries);
    // Without health checks the pooler does not know the primary, so the write tries them in the order of the
    // ring.
    files.edit_operator_file(|text| text.replace("max-attempts: 8", "max-attempts: 8\n    probes: false"));
    let pooler = start_pooler(&files);
    assert_eq!(pooler.call(&update_request("")).status(), 200);
    assert_eq!((replica.operation_count(), primary.operation_count()), (1, 1));
}

/// Guards against an answer that a client takes for complete although its endpoint closed before the end.
#[test]
fn a_long_answer_is_passed_on_and_one_cut_short_shows_it() {
    const LENGTH: usize = 3_000_000;
    let is_truncated = Arc::new(AtomicBool::new(false));
    let truncates = is_truncated.clone();
    let endpoint = SparqlEndpoint::primary_replying(move |_| match truncates.load(Ordering::SeqCst) {
        true => Some(Reply::TruncatedAnswer { length: LENGTH }),
        false => Some(Reply::LongAnswer { length: LENGTH }),
    });
    let pooler = start_pooler(&OperatorFiles::write("long", &[entry("p", endpoint.address)]));
    let answer = pooler.call(&update_request(""));
    assert_eq!((answer.status(), answer.body.len(), answer.is_complete), (200, LENGTH, true));
    is_truncated.store(true, Ordering::SeqCst);
    let answer = pooler.call(&update_request(""));
    assert_eq!((answer.status(), answer.is_complete), (200, false));
    assert!(answer.body.len() < LENGTH);
    // An answer that is short enough to be buffered is not begun: the client gets an error status instead.
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::TruncatedAnswer { length: 1000 }));
    let pooler = start_pooler(&OperatorFiles::write("short", &[entry("p", endpoint.address)]));
    assert_eq!(pooler.call(&update_request("")).status(), 502);
}

/// Guards against a reset that passes for the end of an answer without a length.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::ResetWithoutLength));
    let pooler = start_pooler(&OperatorFiles::write("resets", &[entry("p", endpoint.address)]));
    let answer = pooler.call(&update_request(""));
    let body = String::from_utf8_lossy(&answer.body);
    assert_eq!((answer.status(), endpoint.operation_count()), (502, 1), "{body}");
}
