//! A client of the pooler's PostgreSQL port.

use super::super::waiting::DEFAULT_TIMEOUT;
use super::messages::{self, error_field, kind};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Size of the fields before the value in a data row of one column: the number of columns and the value's
/// length.
const DATA_ROW_HEADER_BYTES: usize = 6;

/// What a client received up to the next ReadyForQuery, or up to the end of the connection.
#[derive(Debug, Default, PartialEq)]
pub struct PostgresResponse {
    /// The value of the last row.
    pub value: Option<Vec<u8>>,
    pub sqlstate: Option<String>,
    /// The error's detail. A rejection states there after how many milliseconds the client may retry.
    pub detail: Option<String>,
    /// Whether the response contains EmptyQueryResponse.
    pub is_empty_query: bool,
    /// Whether the error's severity is `FATAL`: the connection ends after it.
    pub is_fatal: bool,
}

impl PostgresResponse {
    /// ReadyForQuery with neither a row nor an error before it, as after a startup message.
    pub const READY: PostgresResponse = PostgresResponse {
        value: None,
        sqlstate: None,
        detail: None,
        is_empty_query: false,
        is_fatal: false,
    };
}

/// The [`PostgresResponse::value`] to expect for a row with this value.
pub fn row_of(value: &[u8]) -> Option<Vec<u8>> {
    Some(value.to_vec())
}

/// One connection to the pooler.
pub struct PostgresClient {
    pub stream: TcpStream,
}

impl PostgresClient {
    /// Connects and completes the startup.
    pub fn connect(address: SocketAddr) -> PostgresClient {
        let mut client = PostgresClient::connect_without_startup(address);
        client.send(&messages::startup());
        assert_eq!(client.receive(), Some(PostgresResponse::READY));
        client
    }

    /// Connects without a startup message.
    pub fn connect_without_startup(address: SocketAddr) -> PostgresClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
        PostgresClient { stream }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a query and does not wait for its response.
    pub fn send_query(&mut self, text: &str) {
        self.send(&messages::query(text));
    }

    /// Waits for the next response; `None` when the connection has ended.
    pub fn receive(&mut self) -> Option<PostgresResponse> {
        let mut response = PostgresResponse::default();
        loop {
            let Some(message) = messages::read_message(&mut self.stream) else {
                return (response != PostgresResponse::READY).then_some(response);
            };
            match message.kind {
                kind::READY_FOR_QUERY => return Some(response),
                kind::DATA_ROW => response.value = Some(message.body[DATA_ROW_HEADER_BYTES..].to_vec()),
                kind::EMPTY_QUERY_RESPONSE => response.is_empty_query = true,
                kind::ERROR_RESPONSE => {
                    response.sqlstate = message.error_field(error_field::SQLSTATE);
                    response.detail = message.error_field(error_field::DETAIL);
                    let severity = message.error_field(error_field::SEVERITY);
                    response.is_fatal = severity.as_deref() == Some("FATAL");
                }
                _ => {}
            }
        }
    }

    /// Sends a query and waits for its response.
    pub fn query(&mut self, text: &str) -> PostgresResponse {
        self.send_query(text);
        self.receive().expect("a response to the query")
    }
}
