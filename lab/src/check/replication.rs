//! Checks the replicated log of the fleet, by what the nodes' log lines report.

use super::CheckError;
use crate::{Timestamp, log_lines};
use std::collections::BTreeMap;
use std::time::Duration;

/// The log lines of a node in order, those of all its processes one after the other.
pub type NodeLog = Vec<String>;

/// Tolerance for comparing times of log lines. They are in whole milliseconds, so an event may seem to be this much
/// later than an event of another process that it caused.
const LOG_TIME_TOLERANCE: Duration = Duration::from_millis(2);

/// An entry that a node applied, as its log line reports it.
struct AppliedEntry<'a> {
    index: u64,
    /// The digest, content and effect of the entry.
    content: &'a str,
}

/// A report that the entries up to an index are on a node's disk.
struct OnDisk {
    at: Timestamp,
    last_index: u64,
}

/// An entry as applied by the first node in whose log it was found.
struct FirstApplied<'a> {
    node: usize,
    content: &'a str,
}

/// Checks that all nodes applied the same entries in the same order, and none before a majority of `voters` had it on
/// disk. Majorities are not checked if `voters` is `None`, for clusters whose voters change. Returns the number of
/// entries.
///
/// # Errors
///
/// Returns [`CheckError::MalformedLogLine`], [`CheckError::OutOfOrder`], [`CheckError::Diverged`] or
/// [`CheckError::NoMajority`].
pub fn same_committed_sequence(logs: &[NodeLog], voters: Option<usize>) -> Result<usize, CheckError> {
    let mut first_applied: BTreeMap<u64, FirstApplied> = BTreeMap::new();
    for (node, log) in logs.iter().enumerate() {
        check_order(node, log, &mut first_applied)?;
    }
    if let Some(voters) = voters {
        check_majorities(logs, voters)?;
    }
    Ok(first_applied.len())
}

/// Checks that a node applied its entries in order, and the same ones as the nodes checked before it.
fn check_order<'a>(
    node: usize,
    log: &'a NodeLog,
    first_applied: &mut BTreeMap<u64, FirstApplied<'a>>,
) -> Result<(), CheckError> {
    let mut previous = 0;
    for line in log {
        if line.contains(log_lines::PROCESS_STARTED) {
            // A new process applies the log again from its last snapshot on.
            previous = 0;
        }
        let Some(entry) = applied_entry(node, line)? else { continue };
        let AppliedEntry { index, content } = entry;
        if index <= previous {
            return Err(CheckError::OutOfOrder { node, index, previous });
        }
        previous = index;
        let first = first_applied.entry(index).or_insert(FirstApplied { node, content });
        if first.content != content {
            return Err(CheckError::Diverged {
                index,
                first_node: first.node,
                first: first.content.to_string(),
                second_node: node,
                second: content.to_string(),
            });
        }
    }
    Ok(())
}

/// Checks that no node applied an entry before a majority had it on disk.
fn check_majorities(logs: &[NodeLog], voters: usize) -> Result<(), CheckError> {
    let on_disk: Vec<Vec<OnDisk>> = logs.iter().map(entries_on_disk).collect();
    for (node, log) in logs.iter().enumerate() {
        for line in log.iter().filter(|line| line.contains(log_lines::ENTRY_APPLIED)) {
            let Some(applied_at) = line_time(line) else { continue };
            let Some(index) = number_after(line, log_lines::ENTRY_APPLIED) else { continue };
            let latest = applied_at + LOG_TIME_TOLERANCE;
            let had_entry = |node: &&Vec<OnDisk>| {
                node.iter().any(|entries| entries.last_index >= index && entries.at <= latest)
            };
            if on_disk.iter().filter(had_entry).count() * 2 <= voters {
                return Err(CheckError::NoMajority { node, index, applied_at });
            }
        }
    }
    Ok(())
}

fn entries_on_disk(log: &NodeLog) -> Vec<OnDisk> {
    let parse = |line: &String| {
        let last_index = number_after(line, log_lines::ENTRIES_ON_DISK)?;
        Some(OnDisk { at: line_time(line)?, last_index })
    };
    log.iter().filter_map(parse).collect()
}

/// Parses the log line of an applied entry; `None` for other lines.
fn applied_entry(node: usize, line: &str) -> Result<Option<AppliedEntry<'_>>, CheckError> {
    let Some(entry) = line.split(log_lines::ENTRY_APPLIED).nth(1) else { return Ok(None) };
    let Some((index, content)) = entry.split_once(' ') else { return Ok(None) };
    match index.parse() {
        Ok(index) => Ok(Some(AppliedEntry { index, content })),
        Err(_) => Err(CheckError::MalformedLogLine { node, line: line.to_string() }),
    }
}

/// Parses the time at the start of a log line, in seconds and milliseconds since the Unix epoch.
fn line_time(line: &str) -> Option<Timestamp> {
    let (seconds, millis) = line.split(' ').next()?.split_once('.')?;
    let seconds: i64 = seconds.parse().ok()?;
    let millis: i64 = millis.parse().ok()?;
    Some(Timestamp::from_millis(seconds * 1_000 + millis))
}

/// The number that directly follows a text in a line.
fn number_after(line: &str, text: &str) -> Option<u64> {
    line.split(text).nth(1)?.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
