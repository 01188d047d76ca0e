//! Reads histories afterwards and says what is wrong with them. Each check is itself tested with a history that is
//! wrong.

use crate::client::RequestRecord;
use crate::endpoint::{Arrival, warmth};
use std::collections::{BTreeMap, BTreeSet};

/// Clocks of one machine, threads that wake late.
const SLACK: i64 = 30_000;

/// A daemon's log: its lines, in order, of one process after another.
pub type Log = Vec<String>;

fn at(line: &str) -> Option<i64> {
    let (seconds, millis) = line.split(' ').next()?.split_once('.')?;
    Some(seconds.parse::<i64>().ok()? * 1_000_000 + millis.parse::<i64>().ok()? * 1000)
}

fn number_after(line: &str, words: &str) -> Option<u64> {
    line.split(words).nth(1)?.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// All daemons took in the same changes in the same order, and none that no majority held. `voters`: how many
/// there are; 0 where that changes and is not checked.
pub fn same_committed_sequence(logs: &[Log], voters: usize) -> Result<usize, String> {
    let mut known: BTreeMap<u64, (String, usize)> = BTreeMap::new();
    let mut holds: Vec<Vec<(i64, u64)>> = Vec::new();
    for (daemon, log) in logs.iter().enumerate() {
        let mut last = 0;
        let mut held = Vec::new();
        for line in log {
            if line.contains(": store at http://") {
                last = 0;
            }
            if let (Some(at), Some(index)) = (at(line), number_after(line, "store: holds ")) {
                held.push((at, index));
            }
            let Some(rest) = line.split("fleet: agreed ").nth(1) else { continue };
            let Some((index, rest)) = rest.split_once(' ') else { continue };
            let index: u64 = index.parse().map_err(|_| format!("out of form: {line}"))?;
            if index <= last {
                return Err(format!("daemon {daemon} took in {index} after {last}"));
            }
            last = index;
            let (first, by) = known.entry(index).or_insert((rest.to_string(), daemon));
            if first != rest {
                return Err(format!("at {index} daemon {by} has {first:?}, daemon {daemon} {rest:?}"));
            }
        }
        holds.push(held);
    }
    for (daemon, log) in logs.iter().enumerate().filter(|_| voters > 0) {
        for line in log.iter().filter(|l| l.contains("fleet: agreed ")) {
            let (Some(at), Some(index)) = (at(line), number_after(line, "fleet: agreed ")) else { continue };
            // Times of different processes are told in whole milliseconds.
            let had = |held: &&Vec<(i64, u64)>| held.iter().any(|(t, i)| *i >= index && *t <= at + 2_000);
            if holds.iter().filter(had).count() * 2 <= voters {
                return Err(format!("daemon {daemon} took in {index} that no majority had"));
            }
        }
    }
    Ok(known.len())
}

/// No read got data that is older than it had to be.
pub fn no_stale_reads(asked: &[RequestRecord]) -> Result<usize, String> {
    let mut reads = 0;
    for one in asked.iter().filter(|a| !a.write && a.status == 200) {
        let (Some(needs), Some(got)) = (one.needs, one.got) else { continue };
        if got < needs {
            return Err(format!("request {} needed {needs} and got {got}", one.request));
        }
        reads += 1;
    }
    Ok(reads)
}

/// Requests that were due in this time, in Unix microseconds.
pub fn requests_due(asked: &[RequestRecord], from: i64, to: i64) -> impl Iterator<Item = &RequestRecord> {
    asked.iter().filter(move |a| a.tries == 0 && (from..to).contains(&a.due))
}

/// How many of these got no good answer at any try.
pub fn unserved(asked: &[RequestRecord], from: i64, to: i64) -> usize {
    let good: BTreeSet<u64> = asked.iter().filter(|a| a.status == 200).map(|a| a.request).collect();
    requests_due(asked, from, to).filter(|a| !good.contains(&a.request)).count()
}

/// What a group lost: commits after the first position up to the second are gone since the third, in Unix microseconds.
pub type LostCommits = (i64, i64, i64);

/// No session whose last write is lost was served as if it were there; how many were told. `lost`: by group, and a
/// moment within which the first answers after it may be on their way still.
pub fn sessions_told_of_lost_writes(
    asked: &[RequestRecord],
    lost: &BTreeMap<u32, Vec<LostCommits>>,
) -> Result<usize, String> {
    let mut told = 0;
    for one in asked.iter().filter(|a| a.own && !a.write) {
        let (Some(needs), Some(lost)) = (one.needs, lost.get(&one.group)) else { continue };
        let gone = lost.iter().any(|(from, to, at)| *from < needs && needs <= *to && one.sent > *at);
        if gone && one.status == 200 {
            return Err(format!("request {} needed {needs}, which is lost, and was served", one.request));
        }
        told += usize::from(one.status == 412 && gone);
        if one.status == 412 && !gone {
            return Err(format!("request {} was told that {needs} is lost, and it is there", one.request));
        }
    }
    Ok(told)
}

/// How a cold host behaves.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartBound {
    /// When it started, in Unix microseconds.
    pub started: i64,
    /// Operations a second that it bears when it is warm.
    pub bears: f64,
    /// It falls over above this multiple of what it has, for a second.
    pub multiple: f64,
}

impl ColdStartBound {
    /// The share of its capacity at a time.
    pub fn warmth(&self, at: i64) -> f64 {
        warmth((at - self.started) as f64 / 1e6)
    }
}

/// No cold host got more within any second than it may, summed over all daemons; the worst second of all, as a share
/// of what a host may get in it. What is allowed has the platform's own slack for chance: N + 3 roots of N + 3.
pub fn cold_endpoint_not_overloaded(
    arrivals: &[Arrival],
    host: &str,
    cold: ColdStartBound,
) -> Result<f64, String> {
    let mut times: Vec<i64> = arrivals.iter().filter(|a| a.host == host).map(|a| a.at).collect();
    times.retain(|at| *at >= cold.started && cold.warmth(*at) < 1.0);
    times.sort_unstable();
    let (mut worst, mut from) = (0.0f64, 0);
    for (n, at) in times.iter().enumerate() {
        while at - times[from] >= 1_000_000 {
            from += 1;
        }
        let may = cold.bears * cold.warmth(times[from]) * cold.multiple;
        let may = may + 3.0 * may.sqrt() + 3.0;
        let got = (n + 1 - from) as f64;
        worst = worst.max(got / may);
        if got > may {
            let since = (times[from] - cold.started) / 1000;
            return Err(format!(
                "{host} got {got} in a second, {since} ms after its start, and may get {may:.0}"
            ));
        }
    }
    Ok(worst)
}

/// Every request has one answer, in time, unless its daemon was down; `down`: daemons with when they were killed
/// or stood still, and until when.
pub fn every_request_answered(
    asked: &[RequestRecord],
    down: &[(usize, i64, i64)],
    patience: i64,
) -> Result<usize, String> {
    for one in asked {
        let excused = down.iter().any(|(n, from, to)| {
            *n == one.daemon && one.sent < to.saturating_add(SLACK) && one.until > from - SLACK
        });
        if one.status == 0 && !excused {
            return Err(format!("request {} to daemon {} has no answer", one.request, one.daemon));
        }
        if one.until - one.sent > patience + SLACK && !excused {
            return Err(format!("request {} waited {} ms", one.request, (one.until - one.sent) / 1000));
        }
    }
    Ok(asked.len())
}

/// No two attempts of a request are at hosts at once, and no write without a key has run twice.
pub fn no_overlapping_attempts(arrivals: &[Arrival]) -> Result<usize, String> {
    let mut by: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for one in arrivals.iter().filter(|a| a.request > 0) {
        by.entry(one.request).or_default().push(one);
    }
    for (request, all) in &mut by {
        all.sort_by_key(|a| a.at);
        for pair in all.windows(2) {
            if pair[1].at < pair[0].until - SLACK {
                return Err(format!(
                    "request {request} was at {} and {} at once",
                    pair[0].host, pair[1].host
                ));
            }
        }
        // What was turned away untouched took no time.
        if all.iter().filter(|a| a.write && a.until > a.at).count() > 1 {
            return Err(format!("the write {request} has run twice"));
        }
    }
    Ok(by.len())
}

/// Nothing new reached a drained host; `drained`: the host with the time by which all had to know, and the time at
/// which the drain was undone again.
pub fn no_arrivals_while_drained(arrivals: &[Arrival], drained: &[(String, i64, i64)]) -> Result<(), String> {
    for (host, from, to) in drained {
        if let Some(late) = arrivals.iter().find(|a| a.host == *host && a.at > from + SLACK && a.at < *to) {
            return Err(format!(
                "{host} was sent request {} {} ms late",
                late.request,
                (late.at - from) / 1000
            ));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
