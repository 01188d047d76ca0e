//! The store file of version 0.2.0, a text that one process wrote for itself. It is read once, and its contents are
//! proposed to the fleet.

use super::records::{HostRecord, NamedHost};
use super::state_machine::Change;
use crate::ids::{GroupId, ZoneId};
use crate::time::Timestamp;
use thiserror::Error;

/// The first line of such a file.
pub const HEADER: &str = "brookpass-store 1";
/// The last line. A file without it was cut short.
const END: &str = "end";

/// The contents of such a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LegacyStore {
    /// The hosts of the inventory.
    pub hosts: Vec<NamedHost>,
    /// When the inventory was last changed.
    pub hosts_changed: Timestamp,
    /// The names of drained hosts.
    pub drains: Vec<String>,
    /// The settings of the service.
    pub settings: Option<LegacySettings>,
}

/// The settings in such a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LegacySettings {
    /// A line for each path.
    pub text: String,
    /// When they were last changed.
    pub changed_at: Timestamp,
}

/// Why such a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LegacyError {
    /// The file is not text.
    #[error("{0}")]
    NotUtf8(std::str::Utf8Error),
    /// A line cannot be read.
    #[error("line {line}: {fault}")]
    Line {
        /// The number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        fault: LineFault,
    },
}

/// What is wrong with a line of such a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LineFault {
    /// The first line is not [`HEADER`].
    #[error("not a store of this form")]
    Header,
    /// A line comes after the last one.
    #[error("something after the end")]
    AfterEnd,
    /// The last line is missing.
    #[error("the file is cut short")]
    CutShort,
    /// The record has more or fewer fields.
    #[error("a record has four fields")]
    FieldCount,
    /// A backslash is not followed by one of its letters.
    #[error("a broken escape")]
    Escape,
    /// The last field starts neither with `+` nor is it `-`.
    #[error("neither a value nor a removal")]
    ValueMark,
    /// The value is not a number of microseconds.
    #[error("no such time")]
    Time,
    /// The value does not describe a host.
    #[error("no such host")]
    Host,
}

impl LegacyStore {
    /// The changes that bring a fleet without any state to these contents. Drains are not among them: the node requests
    /// them as its own.
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
                changed_at: self.hosts_changed,
                base_version: 0,
                upserts: self.hosts.clone(),
                removals: Vec::new(),
            });
        }
        changes
    }
}

/// Reads such a file.
///
/// # Errors
///
/// A line cannot be read, or the last one is missing. Nothing of such a file is used: a part of its drains would be
/// worse than none.
pub fn parse(text: &str) -> Result<LegacyStore, LegacyError> {
    let mut parser = Parser::default();
    let mut last_line = 0;
    for (position, content) in text.lines().enumerate() {
        let line = position + 1;
        last_line = line;
        let parsed = if line == 1 { check_header(content) } else { parser.line(content) };
        parsed.map_err(|fault| LegacyError::Line { line, fault })?;
    }
    if !parser.has_ended {
        return Err(LegacyError::Line { line: last_line + 1, fault: LineFault::CutShort });
    }
    let mut store = parser.store;
    let changed_at = parser.settings_changed_at;
    store.settings = parser.settings_text.map(|text| LegacySettings { text, changed_at });
    Ok(store)
}

fn check_header(content: &str) -> Result<(), LineFault> {
    if content == HEADER { Ok(()) } else { Err(LineFault::Header) }
}

/// What the lines before have brought.
#[derive(Default)]
struct Parser {
    store: LegacyStore,
    settings_text: Option<String>,
    settings_changed_at: Timestamp,
    has_ended: bool,
}

impl Parser {
    /// Reads a record: a sequence number, the writer's name, a key, and `+value` or `-`.
    fn line(&mut self, content: &str) -> Result<(), LineFault> {
        if self.has_ended {
            return Err(LineFault::AfterEnd);
        }
        if content == END {
            self.has_ended = true;
            return Ok(());
        }
        let fields: Vec<&str> = content.split('\t').collect();
        let &[_, _, key, marked_value] = &fields[..] else { return Err(LineFault::FieldCount) };
        let key = unescape(key).ok_or(LineFault::Escape)?;
        match marked_value.split_at_checked(1) {
            Some(("+", value)) => self.value(&key, unescape(value).ok_or(LineFault::Escape)?),
            Some(("-", "")) => Ok(()),
            _ => Err(LineFault::ValueMark),
        }
    }

    fn value(&mut self, key: &str, value: String) -> Result<(), LineFault> {
        if let Some(name) = key.strip_prefix("host/") {
            let host = parse_host(&value).ok_or(LineFault::Host)?;
            self.store.hosts.push(NamedHost { name: name.to_string(), host });
            return Ok(());
        }
        if let Some(name) = key.strip_prefix("drain/") {
            self.store.drains.push(name.to_string());
            return Ok(());
        }
        match key {
            "inventory/changed" => self.store.hosts_changed = parse_time(&value)?,
            "config/changed" => self.settings_changed_at = parse_time(&value)?,
            "config/settings" => self.settings_text = Some(value),
            _ => {}
        }
        Ok(())
    }
}

fn parse_time(value: &str) -> Result<Timestamp, LineFault> {
    value.parse().map(Timestamp::from_micros).map_err(|_| LineFault::Time)
}

/// Reads a host: address, group, zone, weight, status, and the milliseconds at which it started, or 0.
fn parse_host(value: &str) -> Option<HostRecord> {
    let parts: Vec<&str> = value.split(' ').collect();
    let &[address, group, zone, weight, status, started_at] = &parts[..] else { return None };
    let started_at_ms: i64 = started_at.parse().ok()?;
    let has_started_at = started_at_ms > 0;
    Some(HostRecord {
        address: address.parse().ok()?,
        group: GroupId(group.parse().ok()?),
        zone: ZoneId(zone.parse().ok()?),
        weight: weight.parse().ok()?,
        draining: status != "active",
        started_at: has_started_at.then(|| Timestamp::from_micros(started_at_ms.saturating_mul(1000))),
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
