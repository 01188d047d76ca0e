//! SQLSTATE codes, named after the conditions in appendix A of the PostgreSQL manual.

use std::fmt;

/// A five-character error code of ASCII letters and digits.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SqlState([u8; 5]);

impl SqlState {
    /// `protocol_violation`: a message is malformed or not expected.
    pub const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
    /// `feature_not_supported`: the extended query protocol or a function call.
    pub const FEATURE_NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
    /// `invalid_parameter_value`: the routing comment names an unknown class.
    pub const INVALID_PARAMETER_VALUE: SqlState = SqlState(*b"22023");
    /// `read_only_sql_transaction`: a write reached a replica.
    pub const READ_ONLY_SQL_TRANSACTION: SqlState = SqlState(*b"25006");
    /// `syntax_error`: the routing comment is missing or invalid.
    pub const SYNTAX_ERROR: SqlState = SqlState(*b"42601");
    /// `undefined_object`: the routing comment names an unknown group.
    pub const UNDEFINED_OBJECT: SqlState = SqlState(*b"42704");
    /// `duplicate_object`: the id belongs to another open request.
    pub const DUPLICATE_OBJECT: SqlState = SqlState(*b"42710");
    /// `out_of_memory`: the memory budget for long messages is exhausted.
    pub const OUT_OF_MEMORY: SqlState = SqlState(*b"53200");
    /// `too_many_connections`: overload. Nothing was executed, so a retry is safe.
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
    /// `query_canceled`: no answer arrived before the client's deadline.
    pub const QUERY_CANCELED: SqlState = SqlState(*b"57014");
    /// `cannot_connect_now`: the server accepts no connections at present; the pooler sends it while it is drained.
    pub const CANNOT_CONNECT_NOW: SqlState = SqlState(*b"57P03");
    /// `idle_session_timeout`: no complete request arrived in time.
    pub const IDLE_SESSION_TIMEOUT: SqlState = SqlState(*b"57P05");
    /// `system_error`: the request failed and may have had an effect.
    pub const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
    /// `snapshot_too_old`: a replica has not yet applied the log position that the read requires.
    pub const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");

    /// Parses the code field of an ErrorResponse; `None` unless it is exactly five ASCII letters or digits.
    pub fn parse(text: &str) -> Option<SqlState> {
        let code: [u8; 5] = text.as_bytes().try_into().ok()?;
        code.iter().all(u8::is_ascii_alphanumeric).then_some(SqlState(code))
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| fmt::Write::write_char(f, char::from(*byte)))
    }
}

impl fmt::Debug for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
