//! The server side of HTTP/1.1: reads complete requests, and encodes responses.

use super::body::BodyDecoder;
use super::error::{MessageError, RequestError};
use super::head::{Head, ReceivedHead};
use super::status;
use crate::config::Limits;
use crate::net::buffer::Buffer;
use crate::net::connection::{ClientConnection, ReadEvent, RequestProgress};

/// The interim response to `Expect: 100-continue`, for which the client waits before it sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request line and headers.
    pub head: Head,
    /// The decoded body, without its framing; empty if there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// Path and query string of the request target, both still percent-encoded; the query string may be empty.
    pub fn path_and_query(&self) -> (&str, &str) {
        let target = self.head.request_target();
        target.split_once('?').unwrap_or((target, ""))
    }

    /// Whether the client lets the connection persist after the response (RFC 9112, section 9.3).
    pub fn keeps_connection_open(&self) -> bool {
        self.head.request_keeps_connection_open()
    }
}

/// Result of waiting for a request.
pub enum NextRequest {
    /// A complete request.
    Received(Box<Request>),
    /// The connection was lost or closed, or has to be closed; no response is expected.
    ConnectionClosed,
    /// The input is not a valid request. The caller responds with the error and closes the connection.
    Rejected(RequestError),
}

/// Reasons why no request was read.
enum ReadRequestError {
    ConnectionClosed,
    Rejected(RequestError),
}

impl From<RequestError> for ReadRequestError {
    fn from(error: RequestError) -> ReadRequestError {
        ReadRequestError::Rejected(error)
    }
}

/// Adds the header `Connection: close` to an encoded response.
pub fn with_connection_close(mut response: Vec<u8>) -> Vec<u8> {
    let status_line_end = response.windows(2).position(|window| window == b"\r\n");
    if let Some(end) = status_line_end {
        response.splice(end..end, *b"\r\nConnection: close");
    }
    response
}

/// Encodes the status line and the header section of a response.
pub fn encode_response_head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", status::reason_phrase(status));
    for (name, value) in headers {
        for part in [name, ": ", value, "\r\n"] {
            head.push_str(part);
        }
    }
    head.push_str("\r\n");
    head.into_bytes()
}

/// Encodes a complete response in plain text. A line feed is appended to `text`.
pub fn text_response(status: u16, headers: &[(&str, &str)], text: &str) -> Vec<u8> {
    let length = (text.len() + 1).to_string();
    let mut all_headers =
        vec![("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", length.as_str())];
    all_headers.extend_from_slice(headers);
    let mut response = encode_response_head(status, &all_headers);
    response.extend_from_slice(text.as_bytes());
    response.push(b'\n');
    response
}

/// Waits for the next request on a connection and reads it completely. Bytes after the request stay in `buffer`.
pub async fn next_request(
    connection: &mut ClientConnection,
    buffer: &mut Buffer,
    limits: &Limits,
) -> NextRequest {
    match read_request(connection, buffer, limits).await {
        Ok(request) => {
            connection.request_received();
            NextRequest::Received(Box::new(request))
        }
        Err(ReadRequestError::ConnectionClosed) => NextRequest::ConnectionClosed,
        Err(ReadRequestError::Rejected(error)) => NextRequest::Rejected(error),
    }
}

async fn read_request(
    connection: &mut ClientConnection,
    buffer: &mut Buffer,
    limits: &Limits,
) -> Result<Request, ReadRequestError> {
    while buffer.unread().is_empty() {
        wait_for_input(connection, RequestProgress::NotStarted, buffer).await?;
    }
    let head = read_head(connection, buffer, limits).await?;
    if !head.request_version().starts_with("HTTP/1.") {
        return Err(RequestError::UnsupportedVersion.into());
    }
    let framing = BodyDecoder::for_request(&head).map_err(RequestError::InvalidBody)?;
    let expects_continue = !framing.is_complete() && head.list_contains("expect", "100-continue");
    if expects_continue && connection.write(CONTINUE).await.is_err() {
        return Err(ReadRequestError::ConnectionClosed);
    }
    let body = read_body(connection, buffer, framing, limits.client_message_bytes).await?;
    Ok(Request { head, body })
}

async fn read_head(
    connection: &mut ClientConnection,
    buffer: &mut Buffer,
    limits: &Limits,
) -> Result<Head, ReadRequestError> {
    loop {
        let decoded = Head::decode(buffer.unread(), limits).map_err(RequestError::InvalidHead)?;
        if let Some(ReceivedHead { head, length }) = decoded {
            buffer.consume(length);
            return Ok(head);
        }
        let progress = RequestProgress::Partial { bytes: buffer.unread().len() };
        wait_for_input(connection, progress, buffer).await?;
    }
}

async fn read_body(
    connection: &mut ClientConnection,
    buffer: &mut Buffer,
    mut framing: BodyDecoder,
    max_bytes: usize,
) -> Result<Vec<u8>, ReadRequestError> {
    let mut body = Vec::new();
    loop {
        let decoded = framing.decode(buffer.unread(), &mut body, max_bytes);
        let used = decoded.map_err(RequestError::InvalidBody)?;
        buffer.consume(used);
        if framing.is_complete() {
            return Ok(body);
        }
        // Rejects a body whose stated length exceeds the limit without waiting for its data.
        if framing.stated_bytes_remaining() > max_bytes {
            return Err(RequestError::InvalidBody(MessageError::TooLarge).into());
        }
        let progress = RequestProgress::Partial { bytes: body.len() + buffer.unread().len() };
        wait_for_input(connection, progress, buffer).await?;
    }
}

/// Waits for more input. Fails if a request that has started is not complete in time, if the budget for long messages
/// is exhausted, or if the connection is evicted or closed.
async fn wait_for_input(
    connection: &mut ClientConnection,
    progress: RequestProgress,
    buffer: &mut Buffer,
) -> Result<(), ReadRequestError> {
    match connection.wait_for_input(progress, buffer).await {
        Ok(ReadEvent::Data) => Ok(()),
        Ok(ReadEvent::TimedOut) => Err(RequestError::Timeout.into()),
        Ok(ReadEvent::OverBudget) => Err(RequestError::MessageBudgetExhausted.into()),
        Ok(ReadEvent::Evicted) => Err(RequestError::Evicted.into()),
        Ok(ReadEvent::Closed | ReadEvent::CloseRequested) | Err(_) => Err(ReadRequestError::ConnectionClosed),
    }
}
