//! How operations and responses are forwarded, and which status a failure has.

use super::endpoint::{Reply, SparqlEndpoint};
use super::pooler::{OperatorFiles, entry, query_request, start_pooler, update_request};
use super::stand_in::http::HttpClient;
use super::stand_in::network::{names_in_ring_order, unused_address};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A POST with this content that accepts CSV.
fn post_request(content_type: &str, body: &str) -> String {
    format!(
        "POST /sparql?default-graph-uri=urn:g HTTP/1.1\r\nAccept: text/csv\r\nContent-Type: {content_type}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against an operation or a response that the pooler changes, in each request form of the SPARQL
/// protocol.
#[test]
fn operations_and_responses_are_forwarded_unchanged_in_every_request_form() {
    let endpoint = SparqlEndpoint::primary_replying(|request| {
        let csv = Reply::Response { status: 200, content_type: "text/csv", body: "a,b\r\n".to_string() };
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
        let response = client.call(&request);
        assert_eq!(
            (response.status(), response.header("content-type")),
            (200, Some("text/csv")),
            "{request}"
        );
        assert_eq!(response.body, b"a,b\r\n");
        let has_position = response.header("brookpass-position").is_some();
        let has_load = response.header("brookpass-load").is_some();
        assert!(has_position && !has_load);
        let forwarded = endpoint.last_operation();
        assert_eq!(forwarded.first_line, request.lines().next().unwrap());
        assert_eq!(forwarded.text(), request.split("\r\n\r\n").nth(1).unwrap());
        let is_write = class == "score-write";
        let is_forwarded_as_write = forwarded.header("content-type").is_some_and(|_| is_write);
        assert_eq!(is_forwarded_as_write, is_write, "{request}");
    }
    check_that_rejections_by_the_endpoint_are_forwarded();
}

/// When an endpoint rejects the operation itself, the client gets that response. What the pooler rejects is sent
/// to no endpoint.
fn check_that_rejections_by_the_endpoint_are_forwarded() {
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::text(400, "no SPARQL")));
    let pooler = start_pooler(&OperatorFiles::write("words", &[entry("p", endpoint.address)]));
    let response = pooler.call(&query_request(""));
    assert_eq!((response.status(), response.text().as_str()), (400, "no SPARQL"));
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
        assert_eq!(endpoint.operation_count(), count_before, "it is sent to no endpoint");
    }
}

/// Guards against a status that does not show clients whether and when they may retry.
#[test]
fn rejected_failed_and_late_operations_have_different_statuses() {
    let silent = SparqlEndpoint::primary_replying(|_| Some(Reply::NoResponse));
    let pooler = start_pooler(&OperatorFiles::write("late", &[entry("p", silent.address)]));
    assert_eq!(pooler.call(&update_request("Brookpass-Time-Left-Ms: 200\r\n")).status(), 504);
    let overloaded = SparqlEndpoint::primary_replying(|_| Some(Reply::text(503, "full")));
    let pooler = start_pooler(&OperatorFiles::write("full", &[entry("p", overloaded.address)]));
    let response = pooler.call(&update_request("Brookpass-Time-Left-Ms: 700\r\n"));
    assert_eq!(response.status(), 503);
    let retry_after_s: u32 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after_s >= 1);
    let retry_after_ms: u32 = response.header("brookpass-retry-after-ms").unwrap().parse().unwrap();
    assert!(retry_after_ms >= 1);
    let failing = SparqlEndpoint::primary_replying(|_| Some(Reply::text(500, "broken")));
    let pooler = start_pooler(&OperatorFiles::write("failed", &[entry("p", failing.address)]));
    assert_eq!(pooler.call(&update_request("")).status(), 502);
    let count = failing.operation_count();
    assert_eq!(count, 1, "it may have run, and without a key its group cannot detect a retry");
}

/// Guards against a write that runs twice, and against one that fails although no endpoint ran it.
#[test]
fn a_write_without_a_key_is_retried_only_if_no_endpoint_ran_it() {
    let closing = SparqlEndpoint::primary_replying(|_| Some(Reply::Close));
    let pooler = start_pooler(&OperatorFiles::write("once", &[entry("p", closing.address)]));
    assert_eq!(pooler.call(&update_request("Brookpass-Time-Left-Ms: 1500\r\n")).status(), 502);
    assert_eq!(closing.operation_count(), 1);
    let closing = SparqlEndpoint::primary_replying(|_| Some(Reply::Close));
    let pooler = start_pooler(&OperatorFiles::write("keyed", &[entry("p", closing.address)]));
    let keyed_update = update_request("Brookpass-Key: k1\r\nBrookpass-Time-Left-Ms: 1900\r\n");
    assert_ne!(pooler.call(&keyed_update).status(), 200);
    assert!(
        closing.operation_count() >= 2,
        "with a key the write is retried, since its group detects the repetition"
    );

    // One endpoint is down and one is not the primary: neither has run the write.
    let replica = SparqlEndpoint::replica(0);
    let primary = SparqlEndpoint::primary();
    let [first, second, third] = names_in_ring_order();
    let entries =
        [entry(&first, unused_address()), entry(&second, replica.address), entry(&third, primary.address)];
    let files = OperatorFiles::write("never", &entries);
    // Without health checks no primary is known, so the pooler tries the endpoints in ring order.
    files.edit_operator_file(|text| text.replace("max-attempts: 8", "max-attempts: 8\n    probes: false"));
    let pooler = start_pooler(&files);
    assert_eq!(pooler.call(&update_request("")).status(), 200);
    assert_eq!((replica.operation_count(), primary.operation_count()), (1, 1));
}

/// Guards against a response that looks complete to the client although the endpoint closed the connection
/// before the end of the response.
#[test]
fn a_long_response_is_forwarded_and_a_client_can_detect_that_it_is_truncated() {
    const LENGTH: usize = 3_000_000;
    let is_truncated = Arc::new(AtomicBool::new(false));
    let truncates = is_truncated.clone();
    let endpoint = SparqlEndpoint::primary_replying(move |_| match truncates.load(Ordering::SeqCst) {
        true => Some(Reply::TruncatedResponse { length: LENGTH }),
        false => Some(Reply::LongResponse { length: LENGTH }),
    });
    let pooler = start_pooler(&OperatorFiles::write("long", &[entry("p", endpoint.address)]));
    let response = pooler.call(&update_request(""));
    assert_eq!((response.status(), response.body.len(), response.is_complete), (200, LENGTH, true));
    is_truncated.store(true, Ordering::SeqCst);
    let response = pooler.call(&update_request(""));
    assert_eq!((response.status(), response.is_complete), (200, false));
    assert!(response.body.len() < LENGTH);
    // A response short enough to be buffered is not forwarded in part: the client gets an error status instead.
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::TruncatedResponse { length: 1000 }));
    let pooler = start_pooler(&OperatorFiles::write("short", &[entry("p", endpoint.address)]));
    assert_eq!(pooler.call(&update_request("")).status(), 502);
}

/// Guards against a reset that is taken for the end of a response without a length.
#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::ResetWithoutLength));
    let pooler = start_pooler(&OperatorFiles::write("resets", &[entry("p", endpoint.address)]));
    let response = pooler.call(&update_request(""));
    let body = String::from_utf8_lossy(&response.body);
    assert_eq!((response.status(), endpoint.operation_count()), (502, 1), "{body}");
}
