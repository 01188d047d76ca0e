//! Parser of a host's answer to a StartupMessage or a simple query, without I/O.
//!
//! Nothing of an answer is used before its form is known: each message type has its place and its longest length,
//! checked at its first bytes, so that neither noise nor a false length is waited for or buffered.

use super::codec::{self, Message, ProtocolViolation, backend, decode_message, error_field};
use super::sqlstate::SqlState;
use crate::engine::load_report::build_load_report;
use crate::net::backend_pool::load_report_value;
use crate::routing::{AttemptOutcome, LoadReport, ReplicaStatus};
use crate::time::LogPosition;
use thiserror::Error;

/// The longest ParameterStatus, ErrorResponse or NoticeResponse.
const MAX_TEXT_MESSAGE_BYTES: usize = 8 * 1024;
/// The longest RowDescription: it describes one column.
const MAX_ROW_DESCRIPTION_BYTES: usize = 1024;
/// The longest CommandComplete, ReadyForQuery, Authentication or BackendKeyData.
const MAX_SHORT_MESSAGE_BYTES: usize = 256;
/// Bytes of all ParameterStatus and NoticeResponse messages of one answer: they have no place of their own, so
/// without a bound an answer could go on forever.
const MAX_UNORDERED_BYTES: usize = 64 * 1024;
/// Bytes of a DataRow up to the value of its one column: type byte, length, column count, column length.
const ROW_HEAD_BYTES: usize = 11;
/// Bytes of a column's description behind its name in RowDescription.
const COLUMN_ATTRIBUTE_BYTES: usize = 18;

/// How far an answer has come.
///
/// ParameterStatus and NoticeResponse may arrive in any state but `Complete` and change none. ErrorResponse leads from
/// every state before CommandComplete to `ErrorReceived`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseState {
    /// After a StartupMessage: Authentication and BackendKeyData stay here, ReadyForQuery leads to `Complete`.
    Startup,
    /// After a query: RowDescription leads to `AwaitingDataRow`.
    #[default]
    AwaitingRowDescription,
    /// DataRow leads to `AwaitingCommandComplete`, CommandComplete to `AwaitingReadyForQuery`: there is no row.
    AwaitingDataRow,
    /// The one row has come, or has begun to come; CommandComplete leads to `AwaitingReadyForQuery`.
    AwaitingCommandComplete,
    /// ReadyForQuery leads to `Complete`.
    AwaitingReadyForQuery,
    /// ReadyForQuery leads to `Complete`; after a fatal error the end of the stream may come in its place.
    ErrorReceived,
    /// ReadyForQuery has come. What follows is no part of the answer.
    Complete,
}

/// Why an answer is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A message that has no place in the present state.
    #[error("unexpected message of type {0:?}")]
    UnexpectedMessage(char),
    /// The body of a message is out of form.
    #[error("malformed message of type {0:?}")]
    MalformedMessage(char),
    /// The lengths of a row and of its column contradict each other, or the row is too long.
    #[error("malformed DataRow: its lengths do not fit")]
    InvalidRowLength,
    /// Too many bytes of ParameterStatus and NoticeResponse.
    #[error("ParameterStatus and NoticeResponse messages exceed {MAX_UNORDERED_BYTES} bytes")]
    TooManyUnordered,
    /// A length field is out of range.
    #[error(transparent)]
    ProtocolViolation(#[from] ProtocolViolation),
}

/// Limits for the row of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowLimits {
    /// The longest row; a longer one is an error.
    pub max_bytes: usize,
    /// Rows longer than this are streamed in place of being buffered; `None`: none is.
    pub stream_above_bytes: Option<usize>,
}

/// An answer as far as it has come.
#[derive(Debug, Default)]
pub struct BackendResponse {
    state: ResponseState,
    row_limits: RowLimits,
    /// RowDescription, DataRow and CommandComplete as they came, as far as they were not taken yet.
    rows: Vec<u8>,
    has_row: bool,
    /// Bytes of a streamed row that are still to come; `None` where no row is streamed.
    streamed_row_remaining: Option<usize>,
    error: Option<SqlState>,
    is_idle: bool,
    /// Bytes of ParameterStatus and NoticeResponse so far.
    unordered_bytes: usize,
    is_primary: Option<bool>,
    position: Option<LogPosition>,
    load_report: Option<String>,
}

impl BackendResponse {
    /// The answer to a StartupMessage.
    pub fn to_startup() -> BackendResponse {
        BackendResponse { state: ResponseState::Startup, ..BackendResponse::default() }
    }

    /// The answer to a query.
    pub fn to_query(row_limits: RowLimits) -> BackendResponse {
        BackendResponse { row_limits, ..BackendResponse::default() }
    }

    /// Whether it has a row that is streamed.
    pub fn is_streamed(&self) -> bool {
        self.streamed_row_remaining.is_some()
    }

    /// Whether ReadyForQuery has come.
    pub fn is_complete(&self) -> bool {
        self.state == ResponseState::Complete
    }

    /// Whether the host is ready for another query, outside of a transaction.
    pub fn is_idle(&self) -> bool {
        self.is_idle
    }

    /// Whether a message that belongs to one place has come.
    pub fn has_begun(&self) -> bool {
        !matches!(self.state, ResponseState::Startup | ResponseState::AwaitingRowDescription)
    }

    /// Whether the end of the stream may end it: after a fatal error there is no ReadyForQuery.
    pub fn may_end_with_stream(&self) -> bool {
        matches!(
            self.state,
            ResponseState::AwaitingReadyForQuery | ResponseState::ErrorReceived | ResponseState::Complete
        )
    }

    /// The code of its ErrorResponse.
    pub fn error(&self) -> Option<SqlState> {
        self.error
    }

    /// Takes RowDescription, DataRow and CommandComplete as far as they have come; empty where nothing is new.
    pub fn take_rows(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.rows)
    }

    /// Parses received bytes up to the end of the answer and says how many it used. The rest has to be passed again,
    /// with what follows it.
    ///
    /// # Errors
    /// The bytes are no answer. The connection is of no further use.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        let mut used = 0;
        while used < bytes.len() && !self.is_complete() {
            match self.feed_message(&bytes[used..])? {
                0 => break,
                count => used += count,
            }
        }
        Ok(used)
    }

    /// Parses the next message, or the next part of a streamed row; 0 where the message is incomplete.
    fn feed_message(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        if let Some(remaining) = self.streamed_row_remaining.filter(|remaining| *remaining > 0) {
            return Ok(self.feed_streamed_row(bytes, remaining));
        }
        let message_type = bytes[0];
        let max_length = self.max_length(message_type);
        let max_length = max_length.ok_or(ResponseError::UnexpectedMessage(char::from(message_type)))?;
        // The length of the one column is behind that of the row: where both contradict, nothing is waited for.
        if message_type == backend::DATA_ROW && bytes.len() >= ROW_HEAD_BYTES {
            let row_length = checked_row_length(&bytes[1..ROW_HEAD_BYTES])?;
            if self.row_limits.stream_above_bytes.is_some() && row_length > max_length {
                return Err(ResponseError::InvalidRowLength);
            }
            if self.row_limits.stream_above_bytes.is_some_and(|threshold| row_length > threshold) {
                self.state = ResponseState::AwaitingCommandComplete;
                self.has_row = true;
                return Ok(self.feed_streamed_row(bytes, row_length + 1));
            }
        }
        let Some(message) = decode_message(bytes, max_length)? else { return Ok(0) };
        self.count_unordered(&message)?;
        self.handle(&message)?;
        if matches!(message_type, backend::ROW_DESCRIPTION | backend::DATA_ROW | backend::COMMAND_COMPLETE) {
            self.rows.extend_from_slice(&bytes[..message.length]);
        }
        Ok(message.length)
    }

    fn feed_streamed_row(&mut self, bytes: &[u8], remaining: usize) -> usize {
        let count = bytes.len().min(remaining);
        self.rows.extend_from_slice(&bytes[..count]);
        self.streamed_row_remaining = Some(remaining - count);
        count
    }

    /// The longest message of a type in the present state; `None`: it has no place here.
    fn max_length(&self, message_type: u8) -> Option<usize> {
        use ResponseState::*;
        match (message_type, self.state) {
            (_, Complete) => None,
            (backend::PARAMETER_STATUS | backend::NOTICE_RESPONSE, _) => Some(MAX_TEXT_MESSAGE_BYTES),
            (
                backend::ERROR_RESPONSE,
                Startup | AwaitingRowDescription | AwaitingDataRow | AwaitingCommandComplete,
            ) => Some(MAX_TEXT_MESSAGE_BYTES),
            (backend::AUTHENTICATION | backend::BACKEND_KEY_DATA, Startup) => Some(MAX_SHORT_MESSAGE_BYTES),
            (backend::ROW_DESCRIPTION, AwaitingRowDescription) => Some(MAX_ROW_DESCRIPTION_BYTES),
            (backend::DATA_ROW, AwaitingDataRow) => Some(self.row_limits.max_bytes),
            (backend::COMMAND_COMPLETE, AwaitingDataRow | AwaitingCommandComplete) => {
                Some(MAX_SHORT_MESSAGE_BYTES)
            }
            (backend::READY_FOR_QUERY, Startup | AwaitingReadyForQuery | ErrorReceived) => {
                Some(MAX_SHORT_MESSAGE_BYTES)
            }
            _ => None,
        }
    }

    fn count_unordered(&mut self, message: &Message<'_>) -> Result<(), ResponseError> {
        if matches!(message.message_type, backend::PARAMETER_STATUS | backend::NOTICE_RESPONSE) {
            self.unordered_bytes += message.length;
        }
        if self.unordered_bytes > MAX_UNORDERED_BYTES {
            return Err(ResponseError::TooManyUnordered);
        }
        Ok(())
    }

    /// Checks the form of a message that has its place here, and takes what it says.
    fn handle(&mut self, message: &Message<'_>) -> Result<(), ResponseError> {
        let body = message.body;
        let well_formed = match message.message_type {
            backend::AUTHENTICATION => is_authentication_ok(body),
            backend::ROW_DESCRIPTION => is_single_column_description(body),
            // Its lengths were checked above, where all of them had come.
            backend::DATA_ROW => body.len() >= 6,
            backend::COMMAND_COMPLETE => is_command_tag(body),
            backend::ERROR_RESPONSE => self.handle_error(body),
            backend::READY_FOR_QUERY => matches!(body, b"I" | b"T" | b"E"),
            _ => true,
        };
        if !well_formed {
            return Err(ResponseError::MalformedMessage(char::from(message.message_type)));
        }
        match message.message_type {
            backend::ROW_DESCRIPTION => self.state = ResponseState::AwaitingDataRow,
            backend::DATA_ROW => {
                self.state = ResponseState::AwaitingCommandComplete;
                self.has_row = true;
            }
            backend::COMMAND_COMPLETE => self.state = ResponseState::AwaitingReadyForQuery,
            backend::ERROR_RESPONSE => self.state = ResponseState::ErrorReceived,
            backend::PARAMETER_STATUS => self.handle_parameter_status(body),
            backend::READY_FOR_QUERY => {
                self.state = ResponseState::Complete;
                self.is_idle = body == b"I";
            }
            _ => {}
        }
        Ok(())
    }

    /// Takes the code of an ErrorResponse; false where it is out of form.
    fn handle_error(&mut self, body: &[u8]) -> bool {
        let code = codec::error_response_field(body, error_field::CODE).and_then(SqlState::parse);
        let Some(code) = code.filter(|_| body.ends_with(&[0, 0])) else { return false };
        let message = codec::error_response_field(body, error_field::MESSAGE).unwrap_or("");
        log::debug!("host: error {code}: {message}");
        self.error = Some(code);
        true
    }

    /// Takes what a host says about itself. A parameter that cannot be read says nothing and spoils nothing.
    fn handle_parameter_status(&mut self, body: &[u8]) {
        match codec::decode_parameter_status(body) {
            Some(("rank", "source")) => self.is_primary = Some(true),
            Some(("rank", "copy")) => self.is_primary = Some(false),
            Some(("as_of", millis)) => {
                self.position = millis.parse().ok().and_then(LogPosition::try_from_millis);
            }
            Some(("vitals", text)) => self.load_report = Some(text.to_string()),
            _ => {}
        }
    }

    /// What it means for the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match self.error {
            None if self.has_row => AttemptOutcome::Served,
            Some(SqlState::READ_ONLY_SQL_TRANSACTION | SqlState::SNAPSHOT_TOO_OLD) => {
                AttemptOutcome::Misdirected
            }
            Some(SqlState::TOO_MANY_CONNECTIONS | SqlState::CANNOT_CONNECT_NOW) => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::Error,
        }
    }

    /// Role and log position of the host; `None` where it stated no role.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        let position = self.position.unwrap_or(LogPosition::UNKNOWN);
        Some(ReplicaStatus { primary: self.is_primary?, position })
    }

    /// The host's load report, with the values of `fields`.
    pub fn load_report(&self, fields: &[String]) -> LoadReport {
        let text = self.load_report.as_deref().unwrap_or("");
        build_load_report(fields, |name| load_report_value(text, name))
    }
}

fn is_authentication_ok(body: &[u8]) -> bool {
    body == [0; 4]
}

fn is_single_column_description(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let name_length = column.iter().position(|byte| *byte == 0);
    name_length.is_some_and(|length| column.len() == length + 1 + COLUMN_ATTRIBUTE_BYTES)
}

/// Whether a body is a command tag such as `SELECT 1`, with its end.
fn is_command_tag(body: &[u8]) -> bool {
    let Some(tag) = body.strip_suffix(b"\0") else { return false };
    tag.first().is_some_and(u8::is_ascii_uppercase) && tag.iter().all(|byte| matches!(byte, b' '..=b'~'))
}

/// The length field of a DataRow with one column, from its head behind the type byte.
fn checked_row_length(head: &[u8]) -> Result<usize, ResponseError> {
    let number = |offset: usize| {
        let field = head.get(offset..offset + 4)?;
        field.try_into().ok().map(i32::from_be_bytes)
    };
    let (Some(row_length), Some(column_length)) = (number(0), number(6)) else {
        return Err(ResponseError::InvalidRowLength);
    };
    // A column of length -1 is null and has no bytes.
    let value_length = i64::from(column_length.max(0));
    let has_one_column = head[4..6] == [0, 1];
    if !has_one_column || column_length < -1 || i64::from(row_length) != 10 + value_length {
        return Err(ResponseError::InvalidRowLength);
    }
    usize::try_from(row_length).map_err(|_| ResponseError::InvalidRowLength)
}

#[cfg(test)]
mod tests;
