//! The comment in front of a statement: what a client says about its request.

use crate::routing::{GroupId, LogPosition, TimeDelta};
use std::ops::Range;

/// A statement as it came, with what its comment says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Where the digits of `d` stand.
    wait: Range<usize>,
    /// The request's id.
    pub id: String,
    /// Name of the class.
    pub class: String,
    /// How long the client waits.
    pub client_timeout: TimeDelta,
    /// The group.
    pub group: GroupId,
    /// The position that a read has to see, as Unix time.
    pub after: Option<LogPosition>,
    /// The client marks it as its own repeat.
    pub repeated: bool,
    /// It carries an idempotency key.
    pub keyed: bool,
    /// The quoted key, which names the session in classes that have sessions.
    pub key: String,
}

/// The longest wait that is taken at its word: a day.
const LONGEST_MS: i64 = 86_400_000;

/// The longest id that is taken.
const LONGEST_ID: usize = 64;

fn number<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Reads a statement; the error says what is wrong with it.
pub fn parse(text: &str) -> Result<Statement, String> {
    let start = text.find("/*").filter(|at| text[..*at].trim().is_empty());
    let start = start.ok_or("the statement has no comment in front")? + 2;
    let length = text[start..].find("*/").ok_or("the comment does not end")?;
    let (comment, body) = (&text[start..start + length], &text[start + length + 2..]);
    let (mut id, mut class, mut group, mut after, mut wait) = (None, None, None, None, None);
    let (mut repeated, mut keyed) = (false, false);
    let mut at = start;
    for part in comment.split(',') {
        let pair = part.trim();
        let (name, value) =
            pair.split_once('=').ok_or_else(|| format!("{pair:?} in the comment has no value"))?;
        let wrong = || format!("{name}={value:?} in the comment is no such value");
        match name {
            "id" => id = Some(value).filter(|v| (1..=LONGEST_ID).contains(&v.len())),
            "c" => class = Some(value.to_string()),
            "d" => {
                let ms: i64 = number(value).filter(|ms| *ms <= LONGEST_MS).ok_or_else(wrong)?;
                let from = at + part.find(pair).unwrap_or(0) + 2;
                wait = Some((ms, from..from + value.len()));
            }
            "cluster" => group = Some(GroupId(number(value).ok_or_else(wrong)?)),
            "after" => after = Some(number(value).and_then(LogPosition::try_from_millis).ok_or_else(wrong)?),
            "r" => repeated = value == "1",
            "k" => keyed = !value.is_empty(),
            // Whatever else a client says goes to the host as it stands.
            _ => {}
        }
        at += part.len() + 1;
    }
    let id = id.ok_or("the comment has no id")?.to_string();
    let (ms, wait) = wait.ok_or("the comment does not say how long the client waits")?;
    let key = body.split('\'').nth(1).unwrap_or("").to_string();
    if body.trim().is_empty() {
        return Err("there is no statement after the comment".into());
    }
    Ok(Statement {
        text: text.to_string(),
        wait,
        id,
        class: class.ok_or("the comment names no class")?,
        client_timeout: TimeDelta::from_millis(ms),
        group: group.ok_or("the comment names no group")?,
        after,
        repeated,
        keyed,
        key,
    })
}

impl Statement {
    /// The statement as a host gets it: unchanged, but for how long is waited.
    pub fn with_wait(&self, left: TimeDelta) -> String {
        let ms = left.as_millis().max(1);
        format!("{}{ms}{}", &self.text[..self.wait.start], &self.text[self.wait.end..])
    }
}

#[cfg(test)]
mod tests;
