//! A client of HTTP/1.1.

use super::waiting::DEFAULT_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

pub use brookpass_testkit::http::{Message as HttpMessage, read_partial as read_http_message};

/// One connection to an HTTP server.
pub struct HttpClient {
    pub reader: BufReader<TcpStream>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> HttpClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
        HttpClient { reader: BufReader::new(stream) }
    }

    /// Sends a complete request, head and body.
    pub fn send(&mut self, request: &str) {
        self.reader.get_mut().write_all(request.as_bytes()).unwrap();
    }

    /// Waits for the next response; its body is incomplete when the server closed the connection early.
    pub fn receive(&mut self) -> HttpMessage {
        read_http_message(&mut self.reader).expect("a response from the server")
    }

    /// Sends a request and waits for its response.
    pub fn call(&mut self, request: &str) -> HttpMessage {
        self.send(request);
        self.receive()
    }
}

/// Sends a complete request on a new connection and waits for its response.
pub fn call(address: SocketAddr, request: &str) -> HttpMessage {
    HttpClient::connect(address).call(request)
}
