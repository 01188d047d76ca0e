//! The check of the replicated log, from the logs of the processes.

use super::CheckError;
use crate::{Timestamp, log_lines};
use std::collections::BTreeMap;
use std::time::Duration;

/// The log lines of a node, in order, of one process after the other.
pub type NodeLog = Vec<String>;

/// Log lines have whole milliseconds: an event of another process may seem to be this much later than one that it
/// caused.
const LOG_TIME_TOLERANCE: Duration = Duration::from_millis(2);

/// An entry that a node applied, as its log has it.
struct AppliedEntry<'a> {
    index: u64,
    /// Digest, content and effect.
    content: &'a str,
}

/// The entries up to an index were on a node's disk.
struct OnDisk {
    at: Timestamp,
    last_index: u64,
}

/// An entry that a node was the first of all to apply.
struct FirstApplied<'a> {
    node: usize,
    content: &'a str,
}

/// All nodes applied the same entries in the same order, and none before a majority of `voters` had it on disk;
/// `None`: the voters change, and no majority is checked. Returns the count of entries.
///
/// # Errors
///
/// [`CheckError::MalformedLogLine`], [`CheckError::OutOfOrder`], [`CheckError::Diverged`] or
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

/// One node applied its entries in order, and the same ones as the nodes before it.
fn check_order<'a>(
    node: usize,
    log: &'a NodeLog,
    first_applied: &mut BTreeMap<u64, FirstApplied<'a>>,
) -> Result<(), CheckError> {
    let mut previous = 0;
    for line in log {
        if line.contains(log_lines::PROCESS_STARTED) {
            // A new process applies its log from the last snapshot on.
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

/// No node applied an entry before a majority had it on disk.
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

/// The entry that a line says was applied; `None`: the line says something else.
fn applied_entry(node: usize, line: &str) -> Result<Option<AppliedEntry<'_>>, CheckError> {
    let Some(entry) = line.split(log_lines::ENTRY_APPLIED).nth(1) else { return Ok(None) };
    let Some((index, content)) = entry.split_once(' ') else { return Ok(None) };
    match index.parse() {
        Ok(index) => Ok(Some(AppliedEntry { index, content })),
        Err(_) => Err(CheckError::MalformedLogLine { node, line: line.to_string() }),
    }
}

/// The time at the beginning of a line: seconds and milliseconds.
fn line_time(line: &str) -> Option<Timestamp> {
    let (seconds, millis) = line.split(' ').next()?.split_once('.')?;
    let seconds: i64 = seconds.parse().ok()?;
    let millis: i64 = millis.parse().ok()?;
    Some(Timestamp::from_millis(seconds * 1_000 + millis))
}

/// The number right after a text.
fn number_after(line: &str, text: &str) -> Option<u64> {
    line.split(text).nth(1)?.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
