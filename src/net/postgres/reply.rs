//! What a host says on one query, message by message, without any I/O.
//!
//! Nothing of it is believed before it has its form: each kind of message has its place and its longest
//! length, checked at its first bytes, so that neither noise nor a false length is waited for or kept.

use super::codec::{self, Malformed, message};
use crate::engine::load_report::report_of;
use crate::net::backend_pool::figure;
use crate::routing::*;

/// The longest ParameterStatus, ErrorResponse or notice.
const WORDS: usize = 8 * 1024;
/// The longest description of the one column.
const COLUMN: usize = 1024;
/// The longest CommandComplete, ReadyForQuery or message of the startup.
const SHORT: usize = 256;

/// Bytes of ParameterStatus messages and notices in one reply: one that brings more does not end.
const ALL_WORDS: usize = 64 * 1024;

/// How far a reply has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The answer to a startup message.
    Startup,
    #[default]
    Begun,
    Described,
    Row,
    Complete,
    Failed,
    Done,
}

/// A reply as far as it has come.
#[derive(Debug, Default)]
pub struct Reply {
    stage: Stage,
    /// RowDescription, DataRow and CommandComplete as they came, as far as nobody has taken them.
    pub rows: Vec<u8>,
    row: bool,
    /// Rows longer than this are not waited for, but taken as they come.
    whole: usize,
    /// Bytes of such a row that are still to come; none: there is no such row.
    left: Option<usize>,
    /// The code of an ErrorResponse.
    pub error: Option<String>,
    idle: bool,
    /// Bytes of ParameterStatus messages and notices so far.
    words: usize,
    role: Option<bool>,
    position: Option<LogPosition>,
    vitals: Option<String>,
}

const FORM: Malformed = Malformed("a host's answer is out of form");

impl Reply {
    /// The reply to a startup message.
    pub fn to_startup() -> Reply {
        Reply { stage: Stage::Startup, ..Reply::default() }
    }

    /// The reply to a query; a row longer than `whole` is taken as it comes.
    pub fn to_query(whole: usize) -> Reply {
        Reply { whole, ..Reply::default() }
    }

    /// Whether there is a row that is taken as it comes.
    pub fn passes(&self) -> bool {
        self.left.is_some()
    }

    /// Whether ReadyForQuery has come.
    pub fn finished(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Whether the host may carry another query on this connection.
    pub fn idle(&self) -> bool {
        self.idle
    }

    /// Whether anything of it has come.
    pub fn begun(&self) -> bool {
        !matches!(self.stage, Stage::Startup | Stage::Begun)
    }

    /// Whether the end of the stream may end it: a fatal error needs no ReadyForQuery.
    pub fn may_end(&self) -> bool {
        matches!(self.stage, Stage::Complete | Stage::Failed | Stage::Done)
    }

    /// The longest message of a kind where the reply stands; `None`: it has no place here.
    fn longest(&self, kind: u8, most: usize) -> Option<usize> {
        match (kind, self.stage) {
            (_, Stage::Done) => None,
            (b'S' | b'N', _) => Some(WORDS),
            (b'E', Stage::Startup | Stage::Begun | Stage::Described | Stage::Row) => Some(WORDS),
            (b'R' | b'K', Stage::Startup) => Some(SHORT),
            (b'T', Stage::Begun) => Some(COLUMN),
            (b'D', Stage::Described) => Some(most),
            (b'C', Stage::Described | Stage::Row) => Some(SHORT),
            (b'Z', Stage::Startup | Stage::Complete | Stage::Failed) => Some(SHORT),
            _ => None,
        }
    }

    /// Takes what has come, up to the end of the reply: how many bytes it used.
    pub fn take(&mut self, bytes: &[u8], most: usize) -> Result<usize, Malformed> {
        let mut used = 0;
        while let Some(&kind) = bytes.get(used) {
            if self.finished() {
                break;
            }
            let rest = &bytes[used..];
            if let Some(left) = self.left.as_mut().filter(|left| **left > 0) {
                let part = &rest[..rest.len().min(*left)];
                *left -= part.len();
                self.rows.extend_from_slice(part);
                used += part.len();
                continue;
            }
            let longest = self.longest(kind, most).ok_or(FORM)?;
            // The one column's length stands behind the row's: two that do not fit are not waited for.
            if kind == b'D' && rest.len() >= 11 && !fits(&rest[1..11]) {
                return Err(FORM);
            }
            if let Some(length) = self.long(rest, longest)? {
                // What it claims was seen to fit: from here on it counts down to the next message.
                (self.stage, self.row, self.left) = (Stage::Row, true, Some(length));
                continue;
            }
            let Some((kind, body, length)) = message(rest, longest)? else { break };
            self.words += if matches!(kind, b'S' | b'N') { length } else { 0 };
            if self.words > ALL_WORDS {
                return Err(FORM);
            }
            self.message(kind, body)?;
            if matches!(kind, b'T' | b'D' | b'C') {
                self.rows.extend_from_slice(&rest[..length]);
            }
            used += length;
        }
        Ok(used)
    }

    /// The length of a row that is taken as it comes, once its head has come.
    fn long(&self, rest: &[u8], longest: usize) -> Result<Option<usize>, Malformed> {
        let head = rest.get(1..5).filter(|_| rest[0] == b'D' && rest.len() >= 11 && self.whole > 0);
        let length = head.and_then(|b| b.try_into().ok()).map_or(0, u32::from_be_bytes) as usize;
        if length > longest {
            return Err(FORM);
        }
        Ok((length > self.whole).then_some(length + 1))
    }

    fn message(&mut self, kind: u8, body: &[u8]) -> Result<(), Malformed> {
        let form = |right: bool| if right { Ok(()) } else { Err(FORM) };
        match kind {
            b'R' => return form(body == [0; 4]),
            b'T' => {
                let name = body.get(2..).and_then(|b| b.iter().position(|b| *b == 0));
                form(body.starts_with(&[0, 1]) && name.is_some_and(|n| body.len() == 2 + n + 1 + 18))?;
                self.stage = Stage::Described;
            }
            b'D' => {
                // Fitting lengths were seen to above, where all of them had come.
                form(body.len() >= 6)?;
                (self.stage, self.row) = (Stage::Row, true);
            }
            b'C' => {
                let tag = body.strip_suffix(b"\0").filter(|t| t.first().is_some_and(u8::is_ascii_uppercase));
                form(tag.is_some_and(|t| t.iter().all(|b| (b' '..=b'~').contains(b))))?;
                self.stage = Stage::Complete;
            }
            b'E' => {
                let code = codec::field(body, b'C').unwrap_or("");
                form(
                    body.ends_with(&[0, 0])
                        && code.len() == 5
                        && code.bytes().all(|b| b.is_ascii_alphanumeric()),
                )?;
                log::debug!("host: {code} {}", codec::field(body, b'M').unwrap_or(""));
                (self.stage, self.error) = (Stage::Failed, Some(code.to_string()));
            }
            // One that cannot be read tells nothing, and costs the answer nothing.
            b'S' => match codec::status(body) {
                Some(("rank", "source")) => self.role = Some(true),
                Some(("rank", "copy")) => self.role = Some(false),
                Some(("as_of", value)) => {
                    self.position = value.parse().ok().and_then(LogPosition::try_from_millis);
                }
                Some(("vitals", value)) => self.vitals = Some(value.to_string()),
                _ => {}
            },
            b'Z' => {
                form(matches!(body, b"I" | b"T" | b"E"))?;
                (self.stage, self.idle) = (Stage::Done, body == b"I");
            }
            _ => {}
        }
        Ok(())
    }

    /// What it means for the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match self.error.as_deref() {
            None if self.row => AttemptOutcome::Served,
            Some("25006" | "72000") => AttemptOutcome::Misdirected,
            Some("53300" | "57P03") => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::Error,
        }
    }

    /// Role and position of the host.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        Some(ReplicaStatus { primary: self.role?, position: self.position.unwrap_or(LogPosition::UNKNOWN) })
    }

    /// Its load report.
    pub fn report(&self, fields: &[String]) -> LoadReport {
        report_of(fields, |name| figure(self.vitals.as_deref().unwrap_or(""), name))
    }
}

/// Whether a row's length, its one column and that column's length belong together.
fn fits(head: &[u8]) -> bool {
    let at = |n: usize| head.get(n..n + 4).and_then(|b| b.try_into().ok()).map(i32::from_be_bytes);
    let (Some(row), Some(column)) = (at(0), at(6)) else { return false };
    // A column of length -1 is null and has no bytes.
    head[4..6] == [0, 1] && i64::from(row) == 10 + i64::from(column.max(0)) && column >= -1
}

#[cfg(test)]
mod tests;
