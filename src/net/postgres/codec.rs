//! Encoding and decoding of messages of PostgreSQL's frontend/backend protocol, version 3. No I/O.
//!
//! A message is a type byte, a length in four bytes that counts itself but not the type byte, and the body. The
//! first packet of a connection has no type byte. Numbers are big-endian, strings end with a zero byte.

use super::sqlstate::SqlState;
use crate::time::TimeDelta;
use std::fmt::{self, Write};
use thiserror::Error;

/// Size of a length field.
const LENGTH_BYTES: usize = 4;
/// Size of a message's header: type byte and length.
const HEADER_BYTES: usize = 1 + LENGTH_BYTES;
/// Size of a startup packet's header: length, then version or request code.
const STARTUP_HEADER_BYTES: usize = 2 * LENGTH_BYTES;

/// Protocol version 3.0, with the major version in the upper two bytes.
const PROTOCOL_VERSION_3_0: u32 = 3 << 16;
/// Request code of a CancelRequest, sent in place of a version.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// Request code of an SSLRequest, sent in place of a version.
const SSL_REQUEST_CODE: u32 = 80_877_103;
/// Request code of a GSSENCRequest, sent in place of a version.
const GSSENC_REQUEST_CODE: u32 = 80_877_104;

/// Parameters that are reported to clients after AuthenticationOk, as clients of PostgreSQL 15 expect them.
const STARTUP_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Type bytes of backend messages, which a server sends.
pub mod backend {
    /// Authentication request; AuthenticationOk if the body is all zeros.
    pub const AUTHENTICATION: u8 = b'R';
    /// BackendKeyData: the secret for a CancelRequest.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// CommandComplete: ends the rows of a query, with a command tag.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// DataRow: the column values of one row.
    pub const DATA_ROW: u8 = b'D';
    /// EmptyQueryResponse: sent in place of CommandComplete for an empty query.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// ErrorResponse: the fields in its body are those of [`error_field`](super::error_field).
    pub const ERROR_RESPONSE: u8 = b'E';
    /// NoticeResponse: a warning, which may arrive at any time.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// ParameterStatus: name and value of a parameter, which may arrive at any time.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// ReadyForQuery: ends an answer, with the transaction status.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// RowDescription: names and types of the columns.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// Type bytes of frontend messages, which a client sends.
pub mod frontend {
    /// Query: a simple query.
    pub const QUERY: u8 = b'Q';
    /// Sync: ends a sequence of messages of the extended query protocol.
    pub const SYNC: u8 = b'S';
    /// Terminate: the client closes the connection.
    pub const TERMINATE: u8 = b'X';
    /// FunctionCall: unlike the messages of the extended query protocol, it is answered with ReadyForQuery without a
    /// Sync.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Parse, of the extended query protocol.
    pub const PARSE: u8 = b'P';
    /// Bind, of the extended query protocol.
    pub const BIND: u8 = b'B';
    /// Describe, of the extended query protocol.
    pub const DESCRIBE: u8 = b'D';
    /// Execute, of the extended query protocol.
    pub const EXECUTE: u8 = b'E';
    /// Close, of the extended query protocol.
    pub const CLOSE: u8 = b'C';
    /// Flush, of the extended query protocol.
    pub const FLUSH: u8 = b'H';
}

/// Type bytes of the fields of an ErrorResponse or NoticeResponse.
pub mod error_field {
    /// Severity, possibly translated by the server.
    pub const SEVERITY: u8 = b'S';
    /// Severity, never translated.
    pub const SEVERITY_NONLOCALIZED: u8 = b'V';
    /// SQLSTATE, see [`SqlState`](super::SqlState).
    pub const CODE: u8 = b'C';
    /// Message text for the user.
    pub const MESSAGE: u8 = b'M';
    /// Detail; the pooler sends its retry-after hint here, in milliseconds.
    pub const DETAIL: u8 = b'D';
}

/// Reasons why received bytes are not a valid message. Clients receive the messages of these errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolViolation {
    /// The length of the startup packet is smaller than its header or above the limit.
    #[error("the startup message has an impossible length")]
    StartupLength,
    /// The StartupMessage lacks its terminating zero byte.
    #[error("the startup message does not end")]
    StartupNotTerminated,
    /// The startup packet requests another major version than 3.
    #[error("only version 3 of the protocol is spoken")]
    UnsupportedVersion,
    /// The length field of a message is smaller than its own size.
    #[error("a message has an impossible length")]
    MessageLength,
    /// A message exceeds its maximum length.
    #[error("a message is too long")]
    MessageTooLong,
    /// A query lacks its terminating zero byte.
    #[error("a query does not end")]
    QueryNotTerminated,
    /// A query contains a zero byte before the terminating one.
    #[error("a query has a zero byte inside")]
    QueryContainsZeroByte,
    /// The text of a query is not valid UTF-8.
    #[error("a query is not UTF-8")]
    QueryNotUtf8,
    /// A client sent a message whose type is not a known frontend message.
    #[error("a message of an unknown kind")]
    UnknownMessageType,
}

/// Severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The query failed; the connection stays open.
    Error,
    /// The sender closes the connection.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// Kind of the first packet of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// A StartupMessage of protocol version 3.
    Startup,
    /// An SSLRequest or GSSENCRequest: the client requests an encrypted connection.
    Encryption,
    /// A CancelRequest, which refers to a query on another connection.
    Cancel,
}

/// The first packet of a connection, received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupPacket {
    /// Kind of the packet; its parameters are ignored.
    pub kind: StartupKind,
    /// Size in bytes, including the header.
    pub length: usize,
}

/// A message that was received completely, borrowed from the input buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Type byte, see [`backend`] and [`frontend`].
    pub message_type: u8,
    /// Bytes after the header.
    pub body: &'a [u8],
    /// Size in bytes, including the header.
    pub length: usize,
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + LENGTH_BYTES)?;
    field.try_into().ok().map(u32::from_be_bytes)
}

/// Decodes the first packet of a connection; returns `None` while it is incomplete.
///
/// # Errors
/// The length is below 8 or above `max_bytes`, the major version is not 3, or a StartupMessage lacks its terminating
/// zero byte.
pub fn decode_startup(bytes: &[u8], max_bytes: usize) -> Result<Option<StartupPacket>, ProtocolViolation> {
    let Some(length) = read_u32(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(STARTUP_HEADER_BYTES..=max_bytes).contains(&length) {
        return Err(ProtocolViolation::StartupLength);
    }
    let Some(body) = bytes.get(STARTUP_HEADER_BYTES..length) else { return Ok(None) };
    let Some(code) = read_u32(bytes, LENGTH_BYTES) else { return Ok(None) };
    let kind = match code {
        CANCEL_REQUEST_CODE => StartupKind::Cancel,
        SSL_REQUEST_CODE | GSSENC_REQUEST_CODE => StartupKind::Encryption,
        version if version >> 16 != PROTOCOL_VERSION_3_0 >> 16 => {
            return Err(ProtocolViolation::UnsupportedVersion);
        }
        _ if body.last() != Some(&0) => return Err(ProtocolViolation::StartupNotTerminated),
        _ => StartupKind::Startup,
    };
    Ok(Some(StartupPacket { kind, length }))
}

/// Decodes a message; returns `None` while it is incomplete.
///
/// # Errors
/// The length field is below 4 or above `max_length`. This is detected as soon as the header has arrived.
pub fn decode_message(bytes: &[u8], max_length: usize) -> Result<Option<Message<'_>>, ProtocolViolation> {
    let Some(&message_type) = bytes.first() else { return Ok(None) };
    let Some(length) = read_u32(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if length < LENGTH_BYTES {
        return Err(ProtocolViolation::MessageLength);
    }
    if length > max_length {
        return Err(ProtocolViolation::MessageTooLong);
    }
    let body = bytes.get(HEADER_BYTES..=length);
    Ok(body.map(|body| Message { message_type, body, length: length + 1 }))
}

/// Appends a message whose body is the concatenation of `parts`.
pub fn put_message(out: &mut Vec<u8>, message_type: u8, parts: &[&[u8]]) {
    let body_bytes: usize = parts.iter().map(|part| part.len()).sum();
    out.push(message_type);
    out.extend_from_slice(&((body_bytes + LENGTH_BYTES) as u32).to_be_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
}

/// Appends ReadyForQuery with the status "idle": not in a transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, backend::READY_FOR_QUERY, &[b"I"]);
}

/// Appends the answer to a StartupMessage: AuthenticationOk, the ParameterStatus messages and ReadyForQuery.
pub fn put_startup_answer(out: &mut Vec<u8>) {
    put_message(out, backend::AUTHENTICATION, &[&[0; 4]]);
    for (name, value) in STARTUP_PARAMETERS {
        put_message(out, backend::PARAMETER_STATUS, &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    put_ready_for_query(out);
}

/// Writes text without its zero bytes, because a zero byte would terminate the protocol's string early.
struct NulStrippingWriter<'a>(&'a mut Vec<u8>);

impl Write for NulStrippingWriter<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.extend(text.bytes().filter(|byte| *byte != 0));
        Ok(())
    }
}

fn put_error_field(body: &mut Vec<u8>, field: u8, value: fmt::Arguments<'_>) {
    body.push(field);
    // Neither writing to memory nor the Display implementations of errors can fail.
    let _ = NulStrippingWriter(body).write_fmt(value);
    body.push(0);
}

/// Appends an ErrorResponse. The retry-after hint is sent in the detail field, in milliseconds.
pub fn put_error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: SqlState,
    message: &dyn fmt::Display,
    retry_after: Option<TimeDelta>,
) {
    let mut body = Vec::new();
    put_error_field(&mut body, error_field::SEVERITY, format_args!("{}", severity.as_str()));
    put_error_field(&mut body, error_field::SEVERITY_NONLOCALIZED, format_args!("{}", severity.as_str()));
    put_error_field(&mut body, error_field::CODE, format_args!("{code}"));
    put_error_field(&mut body, error_field::MESSAGE, format_args!("{message}"));
    if let Some(hint) = retry_after {
        put_error_field(&mut body, error_field::DETAIL, format_args!("{}", hint.as_millis()));
    }
    put_message(out, backend::ERROR_RESPONSE, &[&body, b"\0"]);
}

/// Returns the value of a field in the body of an ErrorResponse; `None` if it is missing or not UTF-8.
pub fn error_response_field(body: &[u8], field: u8) -> Option<&str> {
    let mut fields = body.split(|byte| *byte == 0);
    let entry = fields.find(|entry| entry.first() == Some(&field))?;
    std::str::from_utf8(&entry[1..]).ok()
}

/// Returns name and value in the body of a ParameterStatus; `None` if one of them is missing or not UTF-8.
pub fn decode_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let mut strings = body.split(|byte| *byte == 0);
    let name = std::str::from_utf8(strings.next()?).ok()?;
    let value = std::str::from_utf8(strings.next()?).ok()?;
    Some((name, value))
}

/// Encodes a StartupMessage of version 3.0 with these two parameters.
pub fn encode_startup_message(user: &str, database: &str) -> Vec<u8> {
    let mut body = PROTOCOL_VERSION_3_0.to_be_bytes().to_vec();
    // Alternating names and values; an empty name ends the list.
    for string in ["user", user, "database", database, ""] {
        body.extend_from_slice(string.as_bytes());
        body.push(0);
    }
    let mut out = ((body.len() + LENGTH_BYTES) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// Encodes a Query message. `text` must not contain a zero byte.
pub fn encode_query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + text.len() + 1);
    put_message(&mut out, frontend::QUERY, &[text.as_bytes(), b"\0"]);
    out
}

/// Returns the text in the body of a Query message.
///
/// # Errors
/// The terminating zero byte is missing, another zero byte precedes it, or the text is not UTF-8.
pub fn decode_query(body: &[u8]) -> Result<&str, ProtocolViolation> {
    let Some((0, text)) = body.split_last() else { return Err(ProtocolViolation::QueryNotTerminated) };
    if text.contains(&0) {
        return Err(ProtocolViolation::QueryContainsZeroByte);
    }
    std::str::from_utf8(text).map_err(|_| ProtocolViolation::QueryNotUtf8)
}
