//! The answering side: requests that are read whole, and answers.

use super::codec::{Body, Head, Malformed, head};
use crate::config::Limits;
use crate::net::buffer::Buffer;
use crate::net::connection::{ClientConnection, ReadEvent, RequestProgress};

/// A request that came whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

impl Request {
    /// Path and query string of its target.
    pub fn target(&self) -> (&str, &str) {
        self.head.line[1].split_once('?').unwrap_or((&self.head.line[1], ""))
    }

    /// Whether the connection stays open after its answer.
    pub fn keeps_open(&self) -> bool {
        self.head.keeps_open(&self.head.line[2])
    }
}

/// What came of waiting for a request.
pub enum Next {
    /// A request.
    Request(Box<Request>),
    /// The connection is over.
    Over,
    /// Something that is no request: a status to close with.
    Refused(u16, String),
}

/// Words for a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

/// Adds to an answer that the connection ends after it, where it does.
pub fn with_end(mut answer: Vec<u8>, ends: bool) -> Vec<u8> {
    let line = answer.windows(2).position(|w| w == b"\r\n").filter(|_| ends);
    if let Some(at) = line {
        answer.splice(at..at, *b"\r\nConnection: close");
    }
    answer
}

/// The bytes of an answer's head.
pub fn answer_head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    out.into_bytes()
}

/// A whole answer in plain text.
pub fn answer(status: u16, headers: &[(&str, &str)], text: &str) -> Vec<u8> {
    let length = (text.len() + 1).to_string();
    let mut all = vec![("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", length.as_str())];
    all.extend_from_slice(headers);
    let mut out = answer_head(status, &all);
    out.extend_from_slice(text.as_bytes());
    out.push(b'\n');
    out
}

fn refused(why: &Malformed, too_large: u16) -> Next {
    let status = if *why == Malformed::TooLarge { too_large } else { 400 };
    Next::Refused(status, why.to_string())
}

/// Waits for the next request of a connection.
pub async fn next(link: &mut ClientConnection, buffer: &mut Buffer, limits: &Limits) -> Next {
    while buffer.unread().is_empty() {
        if let Err(over) = hear(link, RequestProgress::NotStarted, buffer).await {
            return over;
        }
    }
    let next = whole(link, buffer, limits).await;
    if matches!(next, Next::Request(_)) {
        link.request_received();
    }
    next
}

/// Waits for more, or tells how it is over. What has begun must be whole within its time.
async fn hear(
    link: &mut ClientConnection,
    progress: RequestProgress,
    buffer: &mut Buffer,
) -> Result<(), Next> {
    match link.wait_for_input(progress, buffer).await {
        Ok(ReadEvent::Data) => Ok(()),
        Ok(ReadEvent::TimedOut) => Err(Next::Refused(408, "no whole request came in time".into())),
        Ok(ReadEvent::OverBudget) => Err(Next::Refused(503, "no room for a message of this length".into())),
        Ok(ReadEvent::Evicted) => Err(Next::Refused(503, "no room for a request that is not whole".into())),
        Ok(ReadEvent::Closed | ReadEvent::CloseRequested) | Err(_) => Err(Next::Over),
    }
}

async fn whole(link: &mut ClientConnection, buffer: &mut Buffer, limits: &Limits) -> Next {
    let head = loop {
        match head(buffer.unread(), limits) {
            Ok(Some((head, used))) => {
                buffer.consume(used);
                break head;
            }
            Ok(None) => {
                let held = buffer.unread().len();
                if let Err(over) = hear(link, RequestProgress::Partial { bytes: held }, buffer).await {
                    return over;
                }
            }
            Err(why) => return refused(&why, 431),
        }
    };
    if !head.line[2].starts_with("HTTP/1.") {
        return Next::Refused(505, "only HTTP/1.1 is spoken".into());
    }
    let mut framing = match Body::of(&head, false) {
        Ok(framing) => framing,
        Err(why) => return refused(&why, 413),
    };
    let asks = framing != Body::Done && head.has("expect", "100-continue");
    if asks && link.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Next::Over;
    }
    let mut body = Vec::new();
    loop {
        match framing.take(buffer.unread(), &mut body, limits.client_message) {
            Ok(used) => buffer.consume(used),
            Err(why) => return refused(&why, 413),
        }
        if framing == Body::Done {
            return Next::Request(Box::new(Request { head, body }));
        }
        // A stated length over the limit is refused before all of it has come.
        if matches!(framing, Body::Length(n) | Body::Chunk(n) if n > limits.client_message) {
            return refused(&Malformed::TooLarge, 413);
        }
        let held = body.len() + buffer.unread().len();
        if let Err(over) = hear(link, RequestProgress::Partial { bytes: held }, buffer).await {
            return over;
        }
    }
}
