//! A client of the pooler.

use super::super::*;
use super::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// What a client was answered, up to ReadyForQuery.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    pub value: Option<Vec<u8>>,
    pub code: Option<String>,
    pub detail: Option<String>,
    pub empty: bool,
    pub fatal: bool,
}

pub struct PgClient {
    pub stream: TcpStream,
}

impl PgClient {
    pub fn connect(address: SocketAddr) -> PgClient {
        let mut client = PgClient::raw(address);
        client.send(&pg_startup());
        assert_eq!(client.answer(), Some(Answer::default()));
        client
    }

    pub fn raw(address: SocketAddr) -> PgClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        PgClient { stream }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The next answer; `None` when the connection has ended.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            match pg_read(&mut self.stream) {
                Some((b'Z', _)) => return Some(answer),
                Some((b'D', body)) => answer.value = Some(body[6..].to_vec()),
                Some((b'I', _)) => answer.empty = true,
                Some((b'E', body)) => {
                    answer.code = pg_field(&body, b'C');
                    answer.detail = pg_field(&body, b'D');
                    answer.fatal = pg_field(&body, b'S').as_deref() == Some("FATAL");
                }
                Some(_) => {}
                None => return (answer != Answer::default()).then_some(answer),
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        self.send(&pg_query(text));
        self.answer().expect("an answer")
    }
}
