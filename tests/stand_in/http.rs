//! A client of HTTP/1.1.

use super::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

pub use brookpass_lab::http::{Message as Http, read_part as read_http};

pub struct HttpClient {
    pub reader: BufReader<TcpStream>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> HttpClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        HttpClient { reader: BufReader::new(stream) }
    }

    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn receive(&mut self) -> Http {
        read_http(&mut self.reader).expect("an answer")
    }

    pub fn call(&mut self, text: &str) -> Http {
        self.send(text);
        self.receive()
    }
}

/// One request on a connection of its own.
pub fn call(address: SocketAddr, text: &str) -> Http {
    HttpClient::connect(address).call(text)
}
