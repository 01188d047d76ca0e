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

    /// Sends a request that is written out, head and body.
    pub fn send(&mut self, request: &str) {
        self.reader.get_mut().write_all(request.as_bytes()).unwrap();
    }

    /// The next response; its body may be incomplete where the server closed early.
    pub fn receive(&mut self) -> HttpMessage {
        read_http_message(&mut self.reader).expect("an answer")
    }

    /// One request and its response.
    pub fn call(&mut self, request: &str) -> HttpMessage {
        self.send(request);
        self.receive()
    }
}

/// One request, written out, and its response, on a connection of its own.
pub fn call(address: SocketAddr, request: &str) -> HttpMessage {
    HttpClient::connect(address).call(request)
}
