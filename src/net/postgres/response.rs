//! Incremental parser of an endpoint's answer to a StartupMessage or a simple query, without I/O.
//!
//! Each message type is accepted only in certain states and up to a maximum length. Both are checked as soon as the
//! first bytes of a message arrive, so that the parser neither buffers garbage nor waits for the bytes that a corrupted
//! length field announces.

use super::codec::{self, Message, ProtocolViolation, backend, decode_message, error_field};
use super::sqlstate::SqlState;
use crate::engine::load_report::build_load_report;
use crate::net::backend_pool::load_report_value;
use crate::routing::{AttemptOutcome, LoadReport, ReplicaStatus};
use crate::time::LogPosition;
use thiserror::Error;

/// Maximum length of a ParameterStatus, ErrorResponse or NoticeResponse.
const MAX_TEXT_MESSAGE_BYTES: usize = 8 * 1024;
/// Maximum length of a RowDescription, which describes a single column.
const MAX_ROW_DESCRIPTION_BYTES: usize = 1024;
/// Maximum length of a CommandComplete, ReadyForQuery, Authentication or BackendKeyData.
const MAX_SHORT_MESSAGE_BYTES: usize = 256;
/// Maximum total size of the ParameterStatus and NoticeResponse messages in one answer. They are accepted in every
/// state, so without this bound an answer could go on forever.
const MAX_ASYNC_MESSAGE_BYTES: usize = 64 * 1024;
/// Bytes of a DataRow before the value of its only column: type byte, length, column count, column length.
const DATA_ROW_HEADER_BYTES: usize = 11;
/// Bytes that follow the name of a column in RowDescription.
const COLUMN_ATTRIBUTE_BYTES: usize = 18;

/// State of the parser.
///
/// ParameterStatus and NoticeResponse are accepted in every state except `Complete` and do not change the state. In
/// every state before CommandComplete, ErrorResponse leads to `ErrorReceived`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseState {
    /// After a StartupMessage: Authentication and BackendKeyData do not change the state, ReadyForQuery leads to
    /// `Complete`.
    Startup,
    /// After a query: RowDescription leads to `AwaitingDataRow`.
    #[default]
    AwaitingRowDescription,
    /// DataRow leads to `AwaitingCommandComplete`, CommandComplete (no row) to `AwaitingReadyForQuery`.
    AwaitingDataRow,
    /// The only row has arrived, or a part of it that is streamed. CommandComplete leads to `AwaitingReadyForQuery`.
    AwaitingCommandComplete,
    /// ReadyForQuery leads to `Complete`.
    AwaitingReadyForQuery,
    /// ReadyForQuery leads to `Complete`; after a fatal error the endpoint closes the connection instead.
    ErrorReceived,
    /// ReadyForQuery has arrived. Further bytes do not belong to the answer.
    Complete,
}

/// Reasons why the received bytes are not a valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A message of a type that is not accepted in the current state.
    #[error("unexpected message of type {0:?}")]
    UnexpectedMessage(char),
    /// The body of a message is malformed.
    #[error("malformed message of type {0:?}")]
    MalformedMessage(char),
    /// The lengths of a row and of its column contradict each other, or the row exceeds [`RowLimits::max_bytes`].
    #[error("malformed DataRow: its lengths do not fit")]
    InvalidRowLength,
    /// The ParameterStatus and NoticeResponse messages exceed [`MAX_ASYNC_MESSAGE_BYTES`] in total.
    #[error("ParameterStatus and NoticeResponse messages exceed {MAX_ASYNC_MESSAGE_BYTES} bytes")]
    TooManyAsyncMessages,
    /// The length field of a message is out of range.
    #[error(transparent)]
    ProtocolViolation(#[from] ProtocolViolation),
}

/// Limits for the row of an answer, compared with the length field of the DataRow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowLimits {
    /// Maximum length of a row; a longer one is an error.
    pub max_bytes: usize,
    /// A row longer than this is streamed instead of buffered; `None` if rows are never streamed.
    pub stream_above_bytes: Option<usize>,
}

/// The part of an answer that has arrived so far. Bytes are passed to [`BackendResponse::feed`].
#[derive(Debug, Default)]
pub struct BackendResponse {
    state: ResponseState,
    row_limits: RowLimits,
    /// Encoded RowDescription, DataRow and CommandComplete, without the bytes that [`Self::take_result_bytes`]
    /// returned.
    result_bytes: Vec<u8>,
    has_row: bool,
    /// Bytes of the streamed row that have not arrived yet; `None` if no row is streamed.
    streamed_row_remaining: Option<usize>,
    error: Option<SqlState>,
    is_idle: bool,
    /// Total size of the ParameterStatus and NoticeResponse messages so far.
    async_message_bytes: usize,
    is_primary: Option<bool>,
    position: Option<LogPosition>,
    load_report: Option<String>,
}

impl BackendResponse {
    /// A parser for the answer to a StartupMessage.
    pub fn for_startup() -> BackendResponse {
        BackendResponse { state: ResponseState::Startup, ..BackendResponse::default() }
    }

    /// A parser for the answer to a query.
    pub fn for_query(row_limits: RowLimits) -> BackendResponse {
        BackendResponse { row_limits, ..BackendResponse::default() }
    }

    /// Whether the answer has a row that is streamed.
    pub fn is_streamed(&self) -> bool {
        self.streamed_row_remaining.is_some()
    }

    /// Whether ReadyForQuery has arrived.
    pub fn is_complete(&self) -> bool {
        self.state == ResponseState::Complete
    }

    /// Whether the endpoint reported that it is ready for another query and not in a transaction.
    pub fn is_idle(&self) -> bool {
        self.is_idle
    }

    /// Whether the parser has left its initial state: with RowDescription or ErrorResponse, after a StartupMessage with
    /// ErrorResponse or ReadyForQuery.
    pub fn has_started(&self) -> bool {
        !matches!(self.state, ResponseState::Startup | ResponseState::AwaitingRowDescription)
    }

    /// Whether the answer counts as received if the endpoint closes the connection now. True after CommandComplete or
    /// ErrorResponse, because an endpoint sends no ReadyForQuery after a fatal error.
    pub fn allows_end_of_stream(&self) -> bool {
        matches!(
            self.state,
            ResponseState::AwaitingReadyForQuery | ResponseState::ErrorReceived | ResponseState::Complete
        )
    }

    /// The code of the ErrorResponse; `None` if none has arrived.
    pub fn error(&self) -> Option<SqlState> {
        self.error
    }

    /// Removes and returns the bytes of RowDescription, DataRow and CommandComplete that arrived since the last call.
    pub fn take_result_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.result_bytes)
    }

    /// Parses received bytes up to the end of the answer and returns how many were consumed. The caller passes the
    /// remaining ones again, together with the bytes that arrive after them.
    ///
    /// # Errors
    /// The bytes are not a valid answer. The connection must not be reused.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        let mut consumed = 0;
        while consumed < bytes.len() && !self.is_complete() {
            match self.feed_message(&bytes[consumed..])? {
                0 => break,
                count => consumed += count,
            }
        }
        Ok(consumed)
    }

    /// Parses the next message or the next part of a streamed row, and returns the number of consumed bytes: 0 while
    /// the message is incomplete.
    fn feed_message(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        if let Some(remaining) = self.streamed_row_remaining.filter(|remaining| *remaining > 0) {
            return Ok(self.feed_streamed_row(bytes, remaining));
        }
        let message_type = bytes[0];
        let max_length = self.max_length(message_type);
        let max_length = max_length.ok_or(ResponseError::UnexpectedMessage(char::from(message_type)))?;
        // The length of the column follows that of the row: if they contradict each other, the row is rejected at once.
        if message_type == backend::DATA_ROW && bytes.len() >= DATA_ROW_HEADER_BYTES {
            let row_length = checked_row_length(&bytes[1..DATA_ROW_HEADER_BYTES])?;
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
        self.count_async_message(&message)?;
        self.handle(&message)?;
        if matches!(message_type, backend::ROW_DESCRIPTION | backend::DATA_ROW | backend::COMMAND_COMPLETE) {
            self.result_bytes.extend_from_slice(&bytes[..message.length]);
        }
        Ok(message.length)
    }

    fn feed_streamed_row(&mut self, bytes: &[u8], remaining: usize) -> usize {
        let count = bytes.len().min(remaining);
        self.result_bytes.extend_from_slice(&bytes[..count]);
        self.streamed_row_remaining = Some(remaining - count);
        count
    }

    /// Maximum length of a message of this type; `None` if the current state does not accept it.
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

    fn count_async_message(&mut self, message: &Message<'_>) -> Result<(), ResponseError> {
        if matches!(message.message_type, backend::PARAMETER_STATUS | backend::NOTICE_RESPONSE) {
            self.async_message_bytes += message.length;
        }
        if self.async_message_bytes > MAX_ASYNC_MESSAGE_BYTES {
            return Err(ResponseError::TooManyAsyncMessages);
        }
        Ok(())
    }

    /// Validates the body of a message that the current state accepts, and updates the state.
    fn handle(&mut self, message: &Message<'_>) -> Result<(), ResponseError> {
        let body = message.body;
        let well_formed = match message.message_type {
            backend::AUTHENTICATION => is_authentication_ok(body),
            backend::ROW_DESCRIPTION => is_single_column_description(body),
            // `feed_message` has checked the length fields if all of them had arrived.
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

    /// Records the code of an ErrorResponse; returns false if the body is malformed.
    fn handle_error(&mut self, body: &[u8]) -> bool {
        let code = codec::error_response_field(body, error_field::CODE).and_then(SqlState::parse);
        let Some(code) = code.filter(|_| body.ends_with(&[0, 0])) else { return false };
        let message = codec::error_response_field(body, error_field::MESSAGE).unwrap_or("");
        log::debug!("endpoint: error {code}: {message}");
        self.error = Some(code);
        true
    }

    /// Records what an endpoint reports about itself. Parameters that cannot be decoded are ignored.
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

    /// The outcome of the attempt, for a complete answer.
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

    /// Role and log position of the endpoint; `None` if it reported no role.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        let position = self.position.unwrap_or(LogPosition::UNKNOWN);
        Some(ReplicaStatus { primary: self.is_primary?, position })
    }

    /// The values of `fields` in the endpoint's load report, up to the first field that is missing or invalid.
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

/// Whether a body is a command tag such as `SELECT 1`, followed by its terminating zero byte.
fn is_command_tag(body: &[u8]) -> bool {
    let Some(tag) = body.strip_suffix(b"\0") else { return false };
    tag.first().is_some_and(u8::is_ascii_uppercase) && tag.iter().all(|byte| matches!(byte, b' '..=b'~'))
}

/// Returns the length field of a DataRow with one column. `header` is [`DATA_ROW_HEADER_BYTES`] without the type byte.
fn checked_row_length(header: &[u8]) -> Result<usize, ResponseError> {
    let read_i32 = |offset: usize| {
        let field = header.get(offset..offset + 4)?;
        field.try_into().ok().map(i32::from_be_bytes)
    };
    let (Some(row_length), Some(column_length)) = (read_i32(0), read_i32(6)) else {
        return Err(ResponseError::InvalidRowLength);
    };
    // Length -1 marks a null value, which has no bytes.
    let value_length = i64::from(column_length.max(0));
    let has_one_column = header[4..6] == [0, 1];
    if !has_one_column || column_length < -1 || i64::from(row_length) != 10 + value_length {
        return Err(ResponseError::InvalidRowLength);
    }
    usize::try_from(row_length).map_err(|_| ResponseError::InvalidRowLength)
}

#[cfg(test)]
mod tests;
