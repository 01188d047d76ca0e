//! SQLSTATE codes, by their condition names in appendix A of PostgreSQL's manual.

use std::fmt;

/// A five-character error code: letters and digits of ASCII.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SqlState([u8; 5]);

impl SqlState {
    /// `protocol_violation`.
    pub const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
    /// `feature_not_supported`.
    pub const FEATURE_NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
    /// `invalid_parameter_value`.
    pub const INVALID_PARAMETER_VALUE: SqlState = SqlState(*b"22023");
    /// `read_only_sql_transaction`: a write reached a replica.
    pub const READ_ONLY_SQL_TRANSACTION: SqlState = SqlState(*b"25006");
    /// `syntax_error`.
    pub const SYNTAX_ERROR: SqlState = SqlState(*b"42601");
    /// `undefined_object`.
    pub const UNDEFINED_OBJECT: SqlState = SqlState(*b"42704");
    /// `duplicate_object`.
    pub const DUPLICATE_OBJECT: SqlState = SqlState(*b"42710");
    /// `out_of_memory`.
    pub const OUT_OF_MEMORY: SqlState = SqlState(*b"53200");
    /// `too_many_connections`: overload. Nothing was executed, a retry is harmless.
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
    /// `query_canceled`.
    pub const QUERY_CANCELED: SqlState = SqlState(*b"57014");
    /// `cannot_connect_now`.
    pub const CANNOT_CONNECT_NOW: SqlState = SqlState(*b"57P03");
    /// `idle_session_timeout`.
    pub const IDLE_SESSION_TIMEOUT: SqlState = SqlState(*b"57P05");
    /// `system_error`.
    pub const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
    /// `snapshot_too_old`: a replica has not applied the position that the read requires.
    pub const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");

    /// The code that a message states; `None` where it is not five letters or digits.
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
