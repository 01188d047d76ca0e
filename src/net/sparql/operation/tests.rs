use super::*;
use crate::config::Limits;
use crate::net::http::codec::head;

fn request(text: &str) -> Request {
    let (head, used) = head(text.as_bytes(), &Limits::for_sockets(64)).unwrap().unwrap();
    Request { head, body: text.as_bytes()[used..].to_vec() }
}

#[test]
fn each_form_of_the_protocol_is_read_and_passed_on_unchanged() {
    let form = "Content-Type: application/x-www-form-urlencoded; charset=UTF-8";
    for (text, update) in [
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
        let operation = read(&request).unwrap();
        assert_eq!(operation.update, update, "{text}");
        let sent = String::from_utf8(operation.request(
            "h:1",
            "/sparql",
            "1.1 b1",
            TimeDelta::from_micros(5_000),
            Some(LogPosition::from_micros(1_500)),
        ))
        .unwrap();
        let line = text.lines().next().unwrap();
        assert!(sent.starts_with(&format!("{line}\r\nHost: h:1\r\n")), "{sent}");
        assert!(sent.ends_with(text.split("\r\n\r\n").nth(1).unwrap()), "{sent}");
        assert!(sent.contains("Brookpass-Time-Left-Ms: 5\r\n") && sent.contains("Brookpass-Position: 2\r\n"));
        for h in ["Accept: text/csv", form] {
            assert_eq!(sent.contains(h), text.contains(h), "{sent}");
        }
    }
}

#[test]
fn what_is_out_of_form_has_its_status() {
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
        assert_eq!(read(&request(&text)).map_err(|r| r.0), Err(status), "{text}");
    }
}
