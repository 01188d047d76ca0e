//! A minimal HTTP/1.1 parser and client for the load clients, the stand-in endpoints and tests.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Stands for the status of a call that got no response.
pub const NO_RESPONSE: u16 = 0;

/// The maximum length of a body; larger values of `Content-Length` are reduced to it.
const MAX_BODY_BYTES: i64 = 64 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of each read of a call that has its own connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl Message {
    /// The value of a header, whose name may be in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(&name.to_ascii_lowercase()).map(String::as_str)
    }

    /// The value of a header as a number; `None` if it is missing or not a number.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.header(name)?.parse().ok()
    }

    /// The status of a response; [`NO_RESPONSE`] if the first line has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(NO_RESPONSE)
    }

    /// The body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one complete message; `None` at the end of the stream, or if the message is malformed or truncated.
pub fn read(reader: &mut impl BufRead) -> Option<Message> {
    read_partial(reader).filter(|message| message.is_complete)
}

/// Reads one message with as much of its body as was received; `None` if its head is malformed or truncated.
pub fn read_partial(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { first_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    if message.header("transfer-encoding") == Some("chunked") {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
    } else {
        let length = message.number("content-length").unwrap_or(0).clamp(0, MAX_BODY_BYTES);
        message.body = vec![0; length as usize];
        message.is_complete = reader.read_exact(&mut message.body).is_ok();
    }
    Some(message)
}

/// Reads a line and removes its line break; `None` at the end of the stream.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_string())
}

/// Reads a chunked body up to its last chunk; `None` if it is malformed or truncated.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut size = String::new();
        reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(());
        }
    }
}

/// A client's persistent connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection on which each read times out after `read_timeout`; `None` if it cannot be opened.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        Some(Connection { reader: BufReader::new(stream) })
    }

    /// Whether the connection can be used for a request: the server has neither closed it nor sent unread bytes.
    pub fn is_idle(&self) -> bool {
        self.reader.buffer().is_empty() && self.peek_would_block().unwrap_or(false)
    }

    fn peek_would_block(&self) -> Option<bool> {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).ok()?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).ok()?;
        Some(peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock))
    }

    /// Sends a request and reads its response; `None` if either fails.
    pub fn call(&mut self, request: &str) -> Option<Message> {
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        read(&mut self.reader)
    }
}

/// The text of a request with an empty body.
pub fn empty_request(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n")
}

/// Makes one call on a new connection; `None` if there is no response.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<Message> {
    Connection::open(address, CALL_TIMEOUT)?.call(&empty_request(method, path))
}

/// The body of the response to a GET, as text; empty if there is no response.
pub fn get_text(address: SocketAddr, path: &str) -> String {
    call(address, "GET", path).map_or(String::new(), |response| response.text())
}

/// The status of the response to a POST with an empty body; [`NO_RESPONSE`] if there is none.
pub fn post_status(address: SocketAddr, path: &str) -> u16 {
    call(address, "POST", path).map_or(NO_RESPONSE, |response| response.status())
}
