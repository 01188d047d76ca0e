//! HTTP/1.1 as far as the cases need it: a client for calls, and messages for the stand-in endpoints.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    /// By their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_string())
}

/// Reads a whole message; `None` if the connection ends before.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { first_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Sends `request` on a new connection and reads the answer; `None` if there is none within the time.
pub fn exchange(address: SocketAddr, request: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A call without a body, such as an operator makes.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Message {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    exchange(address, &request, Duration::from_secs(6)).unwrap_or_default()
}
