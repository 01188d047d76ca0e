//! Requests in each form of the SPARQL 1.1 Protocol, and requests that are rejected.

use super::*;
use crate::config::Limits;

fn request(text: &str) -> Request {
    let received = Head::decode(text.as_bytes(), &Limits::for_sockets(64)).unwrap().unwrap();
    Request { head: received.head, body: text.as_bytes()[received.length..].to_vec() }
}

#[test]
fn each_form_of_an_operation_is_parsed_and_forwarded_unchanged() {
    let form = "Content-Type: application/x-www-form-urlencoded; charset=UTF-8";
    for (text, is_update) in [
        (
            "GET /sparql?query=ASK%20%7B%7D&default-graph-uri=urn:g HTTP/1.1\r\nAccept: text/csv\r\n\r\n"
                .to_string(),
            false,
        ),
        (format!("POST /sparql HTTP/1.1\r\n{form}\r\n\r\nquery=ASK+%7B%7D"), false),
        (format!("POST /sparql HTTP/1.1\r\n{form}\r\n\r\nupdate=CLEAR+ALL&using-graph-uri=urn:g"), true),
        (
            "POST /sparql?named-graph-uri=u HTTP/1.1\r\nContent-Type: application/sparql-query\r\n\r\nASK {}"
                .into(),
            false,
        ),
        ("POST /sparql HTTP/1.1\r\nContent-Type: application/sparql-update\r\n\r\nCLEAR ALL".into(), true),
    ] {
        let request = request(&text);
        let operation = Operation::parse(&request).unwrap();
        assert_eq!(operation.is_update(), is_update, "{text}");
        let parameters = AttemptParameters {
            host: "h:1",
            path: "/sparql",
            via: "1.1 b1",
            time_left: TimeDelta::from_micros(5_000),
            required_position: Some(LogPosition::from_micros(1_500)),
        };
        let encoded = String::from_utf8(operation.encode(parameters)).unwrap();
        let request_line = text.lines().next().unwrap();
        assert!(encoded.starts_with(&format!("{request_line}\r\nHost: h:1\r\n")), "{encoded}");
        assert!(encoded.ends_with(text.split("\r\n\r\n").nth(1).unwrap()), "{encoded}");
        assert!(
            encoded.contains("Brookpass-Time-Left-Ms: 5\r\n")
                && encoded.contains("Brookpass-Position: 2\r\n")
        );
        for header in ["Accept: text/csv", form] {
            assert_eq!(encoded.contains(header), text.contains(header), "{encoded}");
        }
    }
}

#[test]
fn invalid_requests_are_rejected_with_a_status_for_the_reason() {
    let form = "Content-Type: application/x-www-form-urlencoded\r\n\r\n";
    for (text, status) in [
        ("GET /sparql HTTP/1.1\r\n\r\n".to_string(), 400),
        ("GET /sparql?update=CLEAR+ALL HTTP/1.1\r\n\r\n".into(), 400),
        ("GET /sparql?query=a&query=b HTTP/1.1\r\n\r\n".into(), 400),
        ("GET /sparql?query=%zz HTTP/1.1\r\n\r\n".into(), 400),
        (format!("POST /sparql HTTP/1.1\r\n{form}query=a&update=b"), 400),
        (format!("POST /sparql?query=a HTTP/1.1\r\n{form}update=b"), 400),
        ("POST /sparql HTTP/1.1\r\nContent-Type: application/sparql-query\r\n\r\n ".into(), 400),
        ("POST /sparql HTTP/1.1\r\nContent-Type: text/plain\r\n\r\nASK {}".into(), 415),
        ("PUT /sparql HTTP/1.1\r\n\r\n".into(), 405),
        ("GET /sparql?query=a HTTP/1.1\r\nBrookpass-Group: two\r\n\r\n".into(), 400),
        ("GET /sparql?query=a HTTP/1.1\r\nBrookpass-Time-Left-Ms: -1\r\n\r\n".into(), 400),
    ] {
        let result = Operation::parse(&request(&text)).map_err(|error| error.status());
        assert_eq!(result, Err(status), "{text}");
    }
}
