//! Messages of PostgreSQL's protocol 3, as far as the tests need them.
//!
//! Source: "Message Formats" in the chapter "Frontend/Backend Protocol" of PostgreSQL's documentation.

use std::io::Read;

/// Version 3.0 in a startup message: the major version in the upper 16 bits.
const PROTOCOL_VERSION: u32 = 196_608;

/// Size of the length field; a message's length includes it.
const LENGTH_FIELD_BYTES: usize = 4;

/// The first byte of a message: its type.
pub mod kind {
    pub const AUTHENTICATION: u8 = b'R';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const DATA_ROW: u8 = b'D';
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    pub const ERROR_RESPONSE: u8 = b'E';
    pub const NOTICE_RESPONSE: u8 = b'N';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const PARSE: u8 = b'P';
    pub const QUERY: u8 = b'Q';
    pub const READY_FOR_QUERY: u8 = b'Z';
    pub const ROW_DESCRIPTION: u8 = b'T';
    pub const SYNC: u8 = b'S';
}

/// The first byte of a field in an ErrorResponse.
pub mod error_field {
    pub const DETAIL: u8 = b'D';
    pub const SEVERITY: u8 = b'S';
    pub const SQLSTATE: u8 = b'C';
}

/// A message that was read, without its length field.
pub struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

impl Message {
    /// The text of a query; `None` for a message of another type.
    pub fn query_text(&self) -> Option<String> {
        if self.kind != kind::QUERY {
            return None;
        }
        let without_terminator = &self.body[..self.body.len() - 1];
        Some(String::from_utf8_lossy(without_terminator).into_owned())
    }

    /// The field of an ErrorResponse with this type; `None` when it has no such field.
    pub fn error_field(&self, field_type: u8) -> Option<String> {
        let mut fields = self.body.split(|byte| *byte == 0);
        let field = fields.find(|field| field.first() == Some(&field_type))?;
        Some(String::from_utf8_lossy(&field[1..]).into_owned())
    }
}

/// Reads one message; `None` when the stream ends or fails before its end.
pub fn read_message(stream: &mut impl Read) -> Option<Message> {
    let mut head = [0; 1 + LENGTH_FIELD_BYTES];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - LENGTH_FIELD_BYTES];
    stream.read_exact(&mut body).ok()?;
    Some(Message { kind: head[0], body })
}

/// Reads a startup message, which has no type, and discards its content.
pub fn read_startup(stream: &mut impl Read) -> Option<()> {
    let mut length = [0; LENGTH_FIELD_BYTES];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - LENGTH_FIELD_BYTES];
    stream.read_exact(&mut body).ok()
}

/// Encodes a message of this type with this body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&length_field(body));
    bytes.extend_from_slice(body);
    bytes
}

fn length_field(body: &[u8]) -> [u8; LENGTH_FIELD_BYTES] {
    ((body.len() + LENGTH_FIELD_BYTES) as u32).to_be_bytes()
}

/// A client's startup message for version 3.0, with a user and a database.
pub fn startup() -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0web\0database\0orders\0\0");
    let mut bytes = length_field(&body).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// A server's response to a startup message: AuthenticationOk and ReadyForQuery.
pub fn startup_response() -> Vec<u8> {
    [message(kind::AUTHENTICATION, &[0; 4]), ready_for_query()].concat()
}

/// ReadyForQuery, outside of a transaction.
pub fn ready_for_query() -> Vec<u8> {
    message(kind::READY_FOR_QUERY, b"I")
}

/// A simple query with this statement.
pub fn query(text: &str) -> Vec<u8> {
    message(kind::QUERY, &[text.as_bytes(), b"\0"].concat())
}

/// ParameterStatus with a parameter's name and value.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(kind::PARAMETER_STATUS, format!("{name}\0{value}\0").as_bytes())
}

/// RowDescription of a single column `payload`.
pub fn row_description() -> Vec<u8> {
    let one_column = 1u16.to_be_bytes();
    message(kind::ROW_DESCRIPTION, &[&one_column[..], b"payload\0", &[0; 18]].concat())
}

/// CommandComplete of a command that returned one row.
pub fn command_complete() -> Vec<u8> {
    message(kind::COMMAND_COMPLETE, b"SELECT 1\0")
}

/// A result of one row with one value, from RowDescription to CommandComplete.
pub fn row(value: &[u8]) -> Vec<u8> {
    let one_column = 1u16.to_be_bytes();
    let value_length = (value.len() as u32).to_be_bytes();
    let data = [&one_column[..], &value_length, value].concat();
    [row_description(), message(kind::DATA_ROW, &data), command_complete()].concat()
}

/// RowDescription and the start of a data row: its length fields state a value of `stated_bytes`, but only
/// `value` follows.
pub fn partial_row(stated_bytes: usize, value: &[u8]) -> Vec<u8> {
    let row_length = (stated_bytes as u32 + 10).to_be_bytes();
    let one_column = 1u16.to_be_bytes();
    let value_length = (stated_bytes as u32).to_be_bytes();
    let data_row = [&[kind::DATA_ROW][..], &row_length, &one_column, &value_length, value].concat();
    [row_description(), data_row].concat()
}

/// ErrorResponse with this SQLSTATE.
pub fn error(sqlstate: &str) -> Vec<u8> {
    message(kind::ERROR_RESPONSE, format!("SERROR\0C{sqlstate}\0Mno\0\0").as_bytes())
}
