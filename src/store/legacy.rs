//! The store file of the form before the fleet agreed on anything: read once and taken over.

use super::records::HostRecord;
use super::state_machine::Change;
use crate::ids::{GroupId, ZoneId};
use crate::time::Timestamp;

/// Its first line.
pub const HEADER: &str = "brookpass-store 1";

/// What such a file said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LegacyStore {
    /// The inventory's hosts.
    pub hosts: Vec<(String, HostRecord)>,
    /// When the inventory was last changed.
    pub hosts_changed: Timestamp,
    /// Hosts that were drained.
    pub drains: Vec<String>,
    /// The settings, and when they were last changed.
    pub settings: Option<(String, Timestamp)>,
}

impl LegacyStore {
    /// The changes by which a fleet without any state takes it over. Drains are said anew.
    pub fn changes(&self, by: &str) -> Vec<Change> {
        let settings = self.settings.iter().map(|(text, changed)| Change::Settings {
            read_by: by.to_string(),
            changed_at: *changed,
            text: text.clone(),
        });
        let hosts = (!self.hosts.is_empty()).then(|| Change::Inventory {
            read_by: by.to_string(),
            changed_at: self.hosts_changed,
            base_version: 0,
            upserts: self.hosts.clone(),
            removals: Vec::new(),
        });
        settings.chain(hosts).collect()
    }
}

fn unescape(text: &str) -> Option<String> {
    let (mut out, mut chars) = (String::new(), text.chars());
    while let Some(c) = chars.next() {
        out.push(match c {
            '\\' => match chars.next()? {
                '\\' => '\\',
                't' => '\t',
                'n' => '\n',
                'r' => '\r',
                _ => return None,
            },
            c => c,
        });
    }
    Some(out)
}

fn host(line: &str) -> Option<HostRecord> {
    let parts: Vec<&str> = line.split(' ').collect();
    let &[address, group, zone, weight, status, since] = &parts[..] else { return None };
    let since_ms: i64 = since.parse().ok()?;
    Some(HostRecord {
        address: address.parse().ok()?,
        group: GroupId(group.parse().ok()?),
        zone: ZoneId(zone.parse().ok()?),
        weight: weight.parse().ok()?,
        draining: status != "active",
        started_at: (since_ms > 0).then(|| Timestamp::from_micros(since_ms.saturating_mul(1000))),
    })
}

/// Reads such a file; errors name the line.
pub fn parse(text: &str) -> Result<LegacyStore, String> {
    let mut found = LegacyStore::default();
    let mut settings = None;
    let mut settings_changed = Timestamp::ZERO;
    let mut ended = false;
    for (n, line) in text.lines().enumerate() {
        let fault = |what: &str| format!("line {}: {what}", n + 1);
        if n == 0 {
            if line != HEADER {
                return Err(fault("not a store of this form"));
            }
            continue;
        }
        if ended {
            return Err(fault("something after the end"));
        }
        if line == "end" {
            ended = true;
            continue;
        }
        let fields: Vec<&str> = line.split('\t').collect();
        let &[_, _, key, value] = &fields[..] else { return Err(fault("a record has four fields")) };
        let key = unescape(key).ok_or_else(|| fault("a broken escape"))?;
        let value = match value.split_at_checked(1) {
            Some(("+", v)) => unescape(v).ok_or_else(|| fault("a broken escape"))?,
            Some(("-", "")) => continue,
            _ => return Err(fault("neither a value nor a removal")),
        };
        let time = || value.parse().map(Timestamp::from_micros).map_err(|_| fault("no such time"));
        if let Some(name) = key.strip_prefix("host/") {
            found.hosts.push((name.to_string(), host(&value).ok_or_else(|| fault("no such host"))?));
        } else if let Some(name) = key.strip_prefix("drain/") {
            found.drains.push(name.to_string());
        } else {
            match key.as_str() {
                "inventory/changed" => found.hosts_changed = time()?,
                "config/changed" => settings_changed = time()?,
                "config/settings" => settings = Some(value),
                _ => {}
            }
        }
    }
    if !ended {
        return Err(format!("line {}: the file is cut short", text.lines().count() + 1));
    }
    found.settings = settings.map(|text| (text, settings_changed));
    Ok(found)
}

#[cfg(test)]
mod tests;
