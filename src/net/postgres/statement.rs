//! A client's statement and the routing comment in front of it, which determines how the request is routed.
//!
//! The comment is a list of `key=value` pairs, as in
//! `/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT …`:
//!
//! | key | value |
//! | --- | --- |
//! | `id` | id of the request, 1 to 64 bytes |
//! | `c` | name of the class |
//! | `d` | how long the client waits, in milliseconds |
//! | `cluster` | number of the group |
//! | `after` | log position that a read must include, in Unix milliseconds; optional |
//! | `r` | `1`: the client retries an earlier request; optional |
//! | `k` | not empty: the write has an idempotency key; optional |
//!
//! Other keys are ignored and reach the endpoint unchanged.

use crate::ids::GroupId;
use crate::net::excerpt::excerpt;
use crate::time::{LogPosition, TimeDelta};
use std::ops::Range;
use std::str::FromStr;
use thiserror::Error;

/// Upper bound of `d`: one day. It prevents overflow when the timeout is added to a timestamp.
const MAX_CLIENT_TIMEOUT_MILLIS: i64 = 86_400_000;

/// Upper bound of the length of an id, because ids are stored while their requests are open.
const MAX_ID_BYTES: usize = 64;

/// Reasons why a statement cannot be routed. Clients receive the messages.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The statement does not begin with a comment.
    #[error("the statement has no comment in front")]
    MissingComment,
    /// The comment lacks its `*/`.
    #[error("the comment does not end")]
    UnterminatedComment,
    /// A part of the comment, of which this is an excerpt, is not a `key=value` pair.
    #[error("{0:?} in the comment has no value")]
    MissingValue(String),
    /// The value of a key is malformed or out of range.
    #[error("{key}={value:?} in the comment is no such value")]
    InvalidValue {
        /// The key as it is written in the comment.
        key: &'static str,
        /// An excerpt of the value as the client sent it.
        value: String,
    },
    /// `id` is missing, empty or too long.
    #[error("the comment has no id")]
    MissingId,
    /// `d` is missing.
    #[error("the comment does not say how long the client waits")]
    MissingClientTimeout,
    /// Only whitespace follows the comment.
    #[error("there is no statement after the comment")]
    MissingStatement,
    /// `c` is missing.
    #[error("the comment names no class")]
    MissingClass,
    /// `cluster` is missing.
    #[error("the comment names no group")]
    MissingGroup,
}

/// A statement and the values of its routing comment, parsed from the text that a client sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Byte range of the digits of `d` in `text`.
    timeout_digits: Range<usize>,
    /// Id of the request, chosen by the client; 1 to 64 bytes.
    pub id: String,
    /// Name of the request's class; it may be unknown.
    pub class: String,
    /// How long the client waits for the answer; at most one day.
    pub client_timeout: TimeDelta,
    /// The group that stores the data of the statement; it may be unknown.
    pub group: GroupId,
    /// The log position, in Unix time, that a read must include; `None` if the client requires none.
    pub required_position: Option<LogPosition>,
    /// Whether the client retries an earlier request.
    pub is_client_retry: bool,
    /// Whether the client sent an idempotency key.
    pub has_idempotency_key: bool,
    /// The first single-quoted string of the statement, which identifies the session in classes that have sessions;
    /// empty if the statement contains none.
    pub session_key: String,
}

/// The values of a routing comment, before it is checked that the required ones are present.
#[derive(Default)]
struct RoutingComment<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    client_timeout: Option<TimeDelta>,
    timeout_digits: Range<usize>,
    group: Option<GroupId>,
    required_position: Option<LogPosition>,
    is_client_retry: bool,
    has_idempotency_key: bool,
}

impl<'a> RoutingComment<'a> {
    /// Parses the text between `/*` and `*/`, which starts at byte `offset` of the statement.
    fn parse(comment: &'a str, offset: usize) -> Result<RoutingComment<'a>, StatementError> {
        let mut parsed = RoutingComment::default();
        let mut part_offset = offset;
        for part in comment.split(',') {
            let pair = part.trim();
            let Some((key, value)) = pair.split_once('=') else {
                return Err(StatementError::MissingValue(excerpt(pair)));
            };
            let leading_spaces = part.len() - part.trim_start().len();
            let value_offset = part_offset + leading_spaces + key.len() + 1;
            parsed.set(key, value, value_offset)?;
            part_offset += part.len() + 1;
        }
        Ok(parsed)
    }

    fn set(&mut self, key: &str, value: &'a str, value_offset: usize) -> Result<(), StatementError> {
        match key {
            "id" => self.id = Some(value).filter(|id| (1..=MAX_ID_BYTES).contains(&id.len())),
            "c" => self.class = Some(value),
            "d" => {
                let millis = parse_digits(value).filter(|millis| *millis <= MAX_CLIENT_TIMEOUT_MILLIS);
                let millis = millis.ok_or_else(|| invalid_value("d", value))?;
                self.client_timeout = Some(TimeDelta::from_millis(millis));
                self.timeout_digits = value_offset..value_offset + value.len();
            }
            "cluster" => {
                let number = parse_digits(value).ok_or_else(|| invalid_value("cluster", value))?;
                self.group = Some(GroupId(number));
            }
            "after" => {
                let position = parse_digits(value).and_then(LogPosition::try_from_millis);
                self.required_position = Some(position.ok_or_else(|| invalid_value("after", value))?);
            }
            "r" => self.is_client_retry = value == "1",
            "k" => self.has_idempotency_key = !value.is_empty(),
            // Other keys are meant for the endpoint, which receives the comment with them.
            _ => {}
        }
        Ok(())
    }
}

fn invalid_value(key: &'static str, value: &str) -> StatementError {
    StatementError::InvalidValue { key, value: excerpt(value) }
}

/// Parses a number of ASCII digits, without sign or whitespace; `None` for anything else.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

impl FromStr for Statement {
    type Err = StatementError;

    fn from_str(text: &str) -> Result<Statement, StatementError> {
        let comment_start = text.find("/*").filter(|start| text[..*start].trim().is_empty());
        let comment_start = comment_start.ok_or(StatementError::MissingComment)? + 2;
        let comment_length = text[comment_start..].find("*/").ok_or(StatementError::UnterminatedComment)?;
        let comment_end = comment_start + comment_length;
        let body = &text[comment_end + 2..];
        let comment = RoutingComment::parse(&text[comment_start..comment_end], comment_start)?;
        let id = comment.id.ok_or(StatementError::MissingId)?;
        let client_timeout = comment.client_timeout.ok_or(StatementError::MissingClientTimeout)?;
        if body.trim().is_empty() {
            return Err(StatementError::MissingStatement);
        }
        let class = comment.class.ok_or(StatementError::MissingClass)?;
        let group = comment.group.ok_or(StatementError::MissingGroup)?;
        Ok(Statement {
            text: text.to_string(),
            timeout_digits: comment.timeout_digits,
            id: id.to_string(),
            class: class.to_string(),
            client_timeout,
            group,
            required_position: comment.required_position,
            is_client_retry: comment.is_client_retry,
            has_idempotency_key: comment.has_idempotency_key,
            session_key: body.split('\'').nth(1).unwrap_or("").to_string(),
        })
    }
}

impl Statement {
    /// The statement as it is sent to an endpoint: unchanged except for `d`, which becomes the remaining time, at least
    /// 1 ms.
    pub fn with_timeout(&self, time_left: TimeDelta) -> String {
        let millis = time_left.as_millis().max(1);
        let before = &self.text[..self.timeout_digits.start];
        let after = &self.text[self.timeout_digits.end..];
        format!("{before}{millis}{after}")
    }
}

#[cfg(test)]
mod tests;
