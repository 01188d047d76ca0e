//! Hosts that began anew, and who spares them while they are cold. No I/O.
//!
//! Where a group has a warm host beside it the module is told, and spares the cold one for the others. Where all of a
//! group are cold nothing is left to spare it for: service returns to that group in order, at the pace that its hosts
//! bear. What is not known yet waits: hosts of one group are heard one after the other, also when all lost their power.

use super::phases::SlowStartPolicy;
use crate::engine::observations::START_TIME_TOLERANCE;
use crate::ids::GroupId;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownEndpoint {
    /// Its group.
    pub group: GroupId,
    /// Its start by the agreed list.
    pub listed: Option<Timestamp>,
    /// Its start by anybody's word.
    pub started: Option<Timestamp>,
    /// When it was last heard.
    pub heard: Option<Timestamp>,
}

/// What follows from what was heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartReport {
    /// The module is to be told of these.
    pub spared: Vec<String>,
    /// All hosts of a group are cold.
    pub group_cold: bool,
}

/// Starts that were seen in service.
#[derive(Clone, Debug, Default)]
pub struct RestartDetector {
    told: BTreeMap<String, Timestamp>,
    /// It is not known yet whether these are alone with it.
    open: BTreeSet<String>,
}

impl RestartDetector {
    /// The start that the module was told of.
    pub fn reported_start(&self, host: &str) -> Option<Timestamp> {
        self.told.get(host).copied()
    }

    /// Whether it is not known yet of some host whether its group has a warm one.
    pub fn has_undecided(&self) -> bool {
        !self.open.is_empty()
    }

    /// These hosts were heard; `all` has what is known of every host.
    pub fn record(
        &mut self,
        now: Timestamp,
        cold: SlowStartPolicy,
        heard: impl Iterator<Item = String>,
        all: &BTreeMap<&str, KnownEndpoint>,
    ) -> RestartReport {
        self.told.retain(|host, _| all.contains_key(host.as_str()));
        let mut news = RestartReport::default();
        let open = std::mem::take(&mut self.open);
        for host in heard.chain(open).collect::<BTreeSet<String>>() {
            let Some(known) = all.get(host.as_str()) else { continue };
            let Some(started) = known.started else { continue };
            let before = self.reported_start(&host).max(known.listed);
            if now - started >= cold.warm_up || before.is_some_and(|at| started <= at + START_TIME_TOLERANCE)
            {
                continue;
            }
            match warm_beside(now, cold, &host, started, known.group, all) {
                Some(true) => {
                    self.told.insert(host.clone(), started);
                    news.spared.push(host);
                }
                Some(false) => news.group_cold = true,
                None => drop(self.open.insert(host)),
            }
        }
        news
    }
}

/// Whether a host that started at `since` has a warm one beside it: one that was heard since and did not start then
/// too. `None`: that is not known yet.
fn warm_beside(
    now: Timestamp,
    cold: SlowStartPolicy,
    host: &str,
    since: Timestamp,
    group: GroupId,
    all: &BTreeMap<&str, KnownEndpoint>,
) -> Option<bool> {
    let mut none_warm = true;
    for (_, other) in all.iter().filter(|(name, known)| known.group == group && **name != host) {
        let started = other.started.max(other.listed);
        let warm = cold.capacity_share(started.map(|at| now - at)) >= 1.0;
        if warm && other.heard > Some(since) {
            return Some(true);
        }
        none_warm &= !warm;
    }
    none_warm.then_some(false)
}

#[cfg(test)]
mod tests;
