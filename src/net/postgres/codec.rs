//! Encoding and decoding of messages of PostgreSQL's frontend/backend protocol, version 3. No I/O.
//!
//! A message is a type byte, a length in four bytes that counts itself but not the type byte, and the body. The
//! first packet of a connection has no type byte. Numbers are big-endian, strings end with a zero byte.

use super::sqlstate::SqlState;
use crate::time::TimeDelta;
use std::fmt::{self, Write};
use thiserror::Error;

/// Bytes of a length field.
const LENGTH_BYTES: usize = 4;
/// Bytes before the body of a message: type byte and length.
const HEADER_BYTES: usize = 1 + LENGTH_BYTES;
/// Bytes of a startup packet before its body: length and version or request code.
const STARTUP_HEADER_BYTES: usize = 2 * LENGTH_BYTES;

/// Version 3.0: the major version in the upper two bytes.
const PROTOCOL_VERSION_3_0: u32 = 3 << 16;
/// The request code of a CancelRequest in place of a version.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// The request code of an SSLRequest.
const SSL_REQUEST_CODE: u32 = 80_877_103;
/// The request code of a GSSENCRequest.
const GSSENC_REQUEST_CODE: u32 = 80_877_104;

/// ParameterStatus messages that follow AuthenticationOk, as clients of PostgreSQL 15 expect them.
const STARTUP_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Types of backend messages: those that a server sends.
pub mod backend {
    /// Authentication requests; all zeros in its body: AuthenticationOk.
    pub const AUTHENTICATION: u8 = b'R';
    /// BackendKeyData.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// CommandComplete.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// DataRow.
    pub const DATA_ROW: u8 = b'D';
    /// EmptyQueryResponse.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// ErrorResponse.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// NoticeResponse.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// ParameterStatus.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// ReadyForQuery.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// RowDescription.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// Types of frontend messages: those that a client sends.
pub mod frontend {
    /// Query: a simple query.
    pub const QUERY: u8 = b'Q';
    /// Sync: ends a series of the extended query protocol.
    pub const SYNC: u8 = b'S';
    /// Terminate.
    pub const TERMINATE: u8 = b'X';
    /// FunctionCall; answered with ReadyForQuery at once, unlike the extended query protocol.
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

/// Fields of an ErrorResponse or NoticeResponse.
pub mod error_field {
    /// Severity, which a server may translate.
    pub const SEVERITY: u8 = b'S';
    /// Severity, never translated.
    pub const SEVERITY_NONLOCALIZED: u8 = b'V';
    /// The SQLSTATE.
    pub const CODE: u8 = b'C';
    /// The message.
    pub const MESSAGE: u8 = b'M';
    /// The detail: here the retry-after hint in milliseconds.
    pub const DETAIL: u8 = b'D';
}

/// Bytes that are no message of the protocol. The texts reach clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolViolation {
    /// The length of the startup packet is below its header or above the limit.
    #[error("the startup message has an impossible length")]
    StartupLength,
    /// The startup message lacks the zero byte at its end.
    #[error("the startup message does not end")]
    StartupNotTerminated,
    /// The startup packet names another major version.
    #[error("only version 3 of the protocol is spoken")]
    UnsupportedVersion,
    /// The length of a message does not even count itself.
    #[error("a message has an impossible length")]
    MessageLength,
    /// A message is longer than its limit.
    #[error("a message is too long")]
    MessageTooLong,
    /// A query lacks the zero byte at its end.
    #[error("a query does not end")]
    QueryNotTerminated,
    /// A query holds a zero byte before its end.
    #[error("a query has a zero byte inside")]
    QueryContainsZeroByte,
    /// A query is not UTF-8.
    #[error("a query is not UTF-8")]
    QueryNotUtf8,
    /// A client sent a message of a type that clients do not send.
    #[error("a message of an unknown kind")]
    UnknownMessageType,
}

/// How severe an ErrorResponse is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The query failed; the connection goes on.
    Error,
    /// The connection ends.
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

/// What the first packet of a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// A StartupMessage of version 3.
    Startup,
    /// An SSLRequest or GSSENCRequest: the client asks for encryption.
    Encryption,
    /// A CancelRequest for a query of another connection.
    Cancel,
}

/// The first packet of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupPacket {
    /// What it is.
    pub kind: StartupKind,
    /// Its bytes, header included.
    pub length: usize,
}

/// A complete message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its type byte, see [`backend`] and [`frontend`].
    pub message_type: u8,
    /// Its body.
    pub body: &'a [u8],
    /// Its bytes, header included.
    pub length: usize,
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + LENGTH_BYTES)?;
    field.try_into().ok().map(u32::from_be_bytes)
}

/// Decodes the first packet of a connection; `None` while it is incomplete.
///
/// # Errors
/// A length above `max_bytes`, another version than 3, or a StartupMessage without its end.
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

/// Decodes a message; `None` while it is incomplete.
///
/// # Errors
/// A length field below 4 or above `max_length`, seen before the rest of the message has arrived.
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

/// Appends a message whose body consists of `parts`.
pub fn put_message(out: &mut Vec<u8>, message_type: u8, parts: &[&[u8]]) {
    let body_bytes: usize = parts.iter().map(|part| part.len()).sum();
    out.push(message_type);
    out.extend_from_slice(&((body_bytes + LENGTH_BYTES) as u32).to_be_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
}

/// Appends ReadyForQuery, outside of a transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, backend::READY_FOR_QUERY, &[b"I"]);
}

/// Appends the answer to a StartupMessage: AuthenticationOk, the parameters and ReadyForQuery.
pub fn put_startup_answer(out: &mut Vec<u8>) {
    put_message(out, backend::AUTHENTICATION, &[&[0; 4]]);
    for (name, value) in STARTUP_PARAMETERS {
        put_message(out, backend::PARAMETER_STATUS, &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    put_ready_for_query(out);
}

/// Writes text without its zero bytes: one would end the string early.
struct ZeroFreeText<'a>(&'a mut Vec<u8>);

impl Write for ZeroFreeText<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.extend(text.bytes().filter(|byte| *byte != 0));
        Ok(())
    }
}

fn put_error_field(body: &mut Vec<u8>, field: u8, value: fmt::Arguments<'_>) {
    body.push(field);
    // Writing to memory does not fail, and the Display of errors does not either.
    let _ = ZeroFreeText(body).write_fmt(value);
    body.push(0);
}

/// Appends ErrorResponse. The retry-after hint stands in the field for details, in milliseconds.
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

/// The value of a field of an ErrorResponse; `None` where it is missing or not UTF-8.
pub fn error_response_field(body: &[u8], field: u8) -> Option<&str> {
    let mut fields = body.split(|byte| *byte == 0);
    let found = fields.find(|candidate| candidate.first() == Some(&field))?;
    std::str::from_utf8(&found[1..]).ok()
}

/// Name and value of a ParameterStatus; `None` where one is missing or not UTF-8.
pub fn decode_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let mut strings = body.split(|byte| *byte == 0);
    let name = std::str::from_utf8(strings.next()?).ok()?;
    let value = std::str::from_utf8(strings.next()?).ok()?;
    Some((name, value))
}

/// A StartupMessage.
pub fn encode_startup_message(user: &str, database: &str) -> Vec<u8> {
    let mut body = PROTOCOL_VERSION_3_0.to_be_bytes().to_vec();
    // Names and values in turn, an empty name at the end.
    for string in ["user", user, "database", database, ""] {
        body.extend_from_slice(string.as_bytes());
        body.push(0);
    }
    let mut out = ((body.len() + LENGTH_BYTES) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// A Query message.
pub fn encode_query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + text.len() + 1);
    put_message(&mut out, frontend::QUERY, &[text.as_bytes(), b"\0"]);
    out
}

/// The text of a Query message's body.
///
/// # Errors
/// No zero byte at its end, one before its end, or bytes that are not UTF-8.
pub fn decode_query(body: &[u8]) -> Result<&str, ProtocolViolation> {
    let Some((0, text)) = body.split_last() else { return Err(ProtocolViolation::QueryNotTerminated) };
    if text.contains(&0) {
        return Err(ProtocolViolation::QueryContainsZeroByte);
    }
    std::str::from_utf8(text).map_err(|_| ProtocolViolation::QueryNotUtf8)
}
