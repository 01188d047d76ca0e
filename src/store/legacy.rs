//! The store file of version 0.2.0, a text file that held the state of a single process. It is imported once: its
//! contents are proposed to the fleet.

use super::records::{HostRecord, NamedHost};
use super::state_machine::Change;
use crate::ids::{GroupId, ZoneId};
use crate::time::Timestamp;
use thiserror::Error;

/// The first line of a store file of version 0.2.0.
pub const HEADER: &str = "brookpass-store 1";
/// The last line. A file without it is truncated.
const END: &str = "end";

/// The contents of a store file of version 0.2.0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LegacyStore {
    /// The hosts of the inventory.
    pub hosts: Vec<NamedHost>,
    /// When the inventory was last changed.
    pub hosts_changed_at: Timestamp,
    /// The names of drained hosts.
    pub drains: Vec<String>,
    /// The settings of the service; `None` if the file has none.
    pub settings: Option<LegacySettings>,
}

/// The settings in a store file of version 0.2.0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LegacySettings {
    /// One `path=value` line for each setting.
    pub text: String,
    /// When they were last changed.
    pub changed_at: Timestamp,
}

/// Why a store file of version 0.2.0 cannot be imported.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LegacyError {
    /// The file is not UTF-8.
    #[error("{0}")]
    NotUtf8(std::str::Utf8Error),
    /// A line is malformed.
    #[error("line {line}: {error}")]
    Line {
        /// The line number, starting at 1.
        line: usize,
        /// Why the line is rejected.
        error: LegacyLineError,
    },
}

/// Why a line of a store file of version 0.2.0 is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LegacyLineError {
    /// The first line is not [`HEADER`].
    #[error("not the header of a store file of version 0.2.0")]
    Header,
    /// A line follows the `end` line.
    #[error("data after the end line")]
    AfterEnd,
    /// The `end` line is missing.
    #[error("the file is truncated")]
    Truncated,
    /// The record does not have four tab-separated fields.
    #[error("a record must have four fields")]
    FieldCount,
    /// A backslash is followed by none of `\\`, `t`, `n` and `r`.
    #[error("invalid escape sequence")]
    Escape,
    /// The last field neither starts with `+` nor equals `-`.
    #[error("the last field is neither a value nor a removal")]
    ValuePrefix,
    /// The value is not a number of microseconds.
    #[error("invalid time")]
    Time,
    /// The value does not have the six parts of a host.
    #[error("invalid host")]
    Host,
}

impl LegacyStore {
    /// The changes that import these contents into a fleet without any state. `read_by` is the name of the importing
    /// node. Drains are not included: the node requests them under its own id.
    pub fn changes(&self, read_by: &str) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(settings) = &self.settings {
            changes.push(Change::Settings {
                read_by: read_by.to_string(),
                changed_at: settings.changed_at,
                text: settings.text.clone(),
            });
        }
        if !self.hosts.is_empty() {
            changes.push(Change::Inventory {
                read_by: read_by.to_string(),
                changed_at: self.hosts_changed_at,
                base_version: 0,
                upserts: self.hosts.clone(),
                removals: Vec::new(),
            });
        }
        changes
    }
}

/// Parses a store file of version 0.2.0.
///
/// # Errors
///
/// A line is malformed, or the `end` line is missing. Then nothing is imported, since importing only some of the
/// drains would be worse than importing none.
pub fn parse(text: &str) -> Result<LegacyStore, LegacyError> {
    let mut parser = Parser::default();
    let mut last_line = 0;
    for (position, content) in text.lines().enumerate() {
        let line = position + 1;
        last_line = line;
        let parsed = if line == 1 { check_header(content) } else { parser.parse_line(content) };
        parsed.map_err(|error| LegacyError::Line { line, error })?;
    }
    if !parser.has_ended {
        return Err(LegacyError::Line { line: last_line + 1, error: LegacyLineError::Truncated });
    }
    let mut store = parser.store;
    let changed_at = parser.settings_changed_at;
    store.settings = parser.settings_text.map(|text| LegacySettings { text, changed_at });
    Ok(store)
}

fn check_header(content: &str) -> Result<(), LegacyLineError> {
    if content == HEADER { Ok(()) } else { Err(LegacyLineError::Header) }
}

/// What has been parsed so far.
#[derive(Default)]
struct Parser {
    store: LegacyStore,
    settings_text: Option<String>,
    settings_changed_at: Timestamp,
    has_ended: bool,
}

impl Parser {
    /// Parses a record: a sequence number, the writer's name, a key, and `+value` or `-`, which removes the key.
    fn parse_line(&mut self, content: &str) -> Result<(), LegacyLineError> {
        if self.has_ended {
            return Err(LegacyLineError::AfterEnd);
        }
        if content == END {
            self.has_ended = true;
            return Ok(());
        }
        let fields: Vec<&str> = content.split('\t').collect();
        let &[_, _, key, marked_value] = &fields[..] else { return Err(LegacyLineError::FieldCount) };
        let key = unescape(key).ok_or(LegacyLineError::Escape)?;
        match marked_value.split_at_checked(1) {
            Some(("+", value)) => self.parse_value(&key, unescape(value).ok_or(LegacyLineError::Escape)?),
            Some(("-", "")) => Ok(()),
            _ => Err(LegacyLineError::ValuePrefix),
        }
    }

    fn parse_value(&mut self, key: &str, value: String) -> Result<(), LegacyLineError> {
        if let Some(name) = key.strip_prefix("host/") {
            let host = parse_host(&value).ok_or(LegacyLineError::Host)?;
            self.store.hosts.push(NamedHost { name: name.to_string(), host });
            return Ok(());
        }
        if let Some(name) = key.strip_prefix("drain/") {
            self.store.drains.push(name.to_string());
            return Ok(());
        }
        match key {
            "inventory/changed" => self.store.hosts_changed_at = parse_time(&value)?,
            "config/changed" => self.settings_changed_at = parse_time(&value)?,
            "config/settings" => self.settings_text = Some(value),
            _ => {}
        }
        Ok(())
    }
}

fn parse_time(value: &str) -> Result<Timestamp, LegacyLineError> {
    value.parse().map(Timestamp::from_micros).map_err(|_| LegacyLineError::Time)
}

/// Parses a host: its address, group, zone, weight, status, and start time in milliseconds, which is 0 if unknown.
fn parse_host(value: &str) -> Option<HostRecord> {
    let parts: Vec<&str> = value.split(' ').collect();
    let &[address, group, zone, weight, status, started_at] = &parts[..] else { return None };
    let started_at_ms: i64 = started_at.parse().ok()?;
    let started_at = Some(started_at_ms).filter(|millis| *millis > 0).and_then(Timestamp::try_from_millis);
    Some(HostRecord {
        address: address.parse().ok()?,
        group: GroupId(group.parse().ok()?),
        zone: ZoneId(zone.parse().ok()?),
        weight: weight.parse().ok()?,
        draining: status != "active",
        started_at,
    })
}

fn unescape(text: &str) -> Option<String> {
    let mut unescaped = String::new();
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        if character != '\\' {
            unescaped.push(character);
            continue;
        }
        unescaped.push(match characters.next()? {
            '\\' => '\\',
            't' => '\t',
            'n' => '\n',
            'r' => '\r',
            _ => return None,
        });
    }
    Some(unescaped)
}

#[cfg(test)]
mod tests;
