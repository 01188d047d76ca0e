//! What daemons say.

use super::{ClusterNode, TestCluster};
use crate::client::{Load, LoadProfile};
use crate::process::Process;
use crate::{check, eventually, http};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

impl TestCluster {
    /// What a daemon says of the fleet; empty where it does not answer.
    pub fn fleet_status(&self, n: usize) -> String {
        http::call(self.daemons[n].store, "GET", "/fleet").map_or(String::new(), |m| m.text())
    }

    /// What stands behind a word in that, up to the next space.
    pub fn fleet_field(&self, n: usize, word: &str) -> String {
        let text = self.fleet_status(n);
        let mut words = text.split_whitespace();
        words.find(|w| *w == word);
        words.next().unwrap_or("").to_string()
    }

    /// The daemon that leads, by the word of a majority of those that run.
    pub fn leader(&self) -> Option<usize> {
        let running = self.running_nodes();
        let mut votes: BTreeMap<String, usize> = BTreeMap::new();
        for n in &running {
            *votes.entry(self.fleet_field(*n, "leader")).or_default() += 1;
        }
        let (name, count) = votes.into_iter().max_by_key(|(_, c)| *c)?;
        let n = self.daemons.iter().position(|d| d.name == name)?;
        (count * 2 > running.len() && running.contains(&n) && self.fleet_field(n, "leader") == name)
            .then_some(n)
    }

    /// Waits until somebody leads; who.
    pub fn wait_for_leader(&self) -> usize {
        let mut found = None;
        eventually("somebody leads", || {
            found = self.leader();
            found.is_some()
        });
        found.unwrap_or(0)
    }

    /// Waits until all that run have taken in the same, and no drain waits.
    pub fn wait_until_caught_up(&self) -> Duration {
        eventually("all have taken in the same", || {
            let seen: Vec<(String, String, bool)> = self
                .running_nodes()
                .iter()
                .map(|n| {
                    (
                        self.fleet_field(*n, "applied"),
                        self.fleet_field(*n, "digest"),
                        self.fleet_status(*n).contains("\nunagreed "),
                    )
                })
                .collect();
            let first = seen.first().cloned().unwrap_or_default();
            !first.0.is_empty() && first.0 != "0" && !first.2 && seen.iter().all(|s| *s == first)
        })
    }

    /// An operator's call at a daemon's store: the status; 0: no answer.
    pub fn post(&self, n: usize, path: &str) -> u16 {
        http::call(self.daemons[n].store, "POST", path).map_or(0, |m| m.status())
    }

    /// One write of a client to a daemon, with a number to find it by at hosts: the status; 0: no answer.
    pub fn write(&self, n: usize, group: u32, number: u64) -> u16 {
        self.write_response(n, group, number).map_or(0, |m| m.status())
    }

    /// The same with its whole answer.
    pub fn write_response(&self, n: usize, group: u32, number: u64) -> Option<http::Message> {
        let body = format!("INSERT r#{number}");
        let request = format!(
            "POST /sparql HTTP/1.1\r\nHost: lab\r\nBrookpass-Group: {group}\r\n\
             Content-Type: application/sparql-update\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let open = http::Connection::open(self.fronts[n].address, Duration::from_secs(5));
        open.and_then(|mut c| c.call(&request))
    }

    /// The hosts that a request reached, in order.
    pub fn endpoints_reached(&self, number: u64) -> Vec<String> {
        self.hosts.arrivals().into_iter().filter(|a| a.request == number).map(|a| a.host).collect()
    }

    /// The part of its reads that a zone gets from a daemon, in thousandths, and that which is agreed.
    pub fn zone_weight(&self, n: usize, zone: &str) -> Option<(u16, u16)> {
        let text = http::call(self.daemons[n].store, "GET", "/zones")?.text();
        let line = text.lines().find(|l| l.starts_with(&format!("zone {zone} gets ")))?.to_string();
        let after = |word: &str| line.split(word).nth(1)?.split([' ', ',']).next()?.parse().ok();
        Some((after(" gets ")?, after(" agreed ")?))
    }

    /// Waits until all that run give a zone this part of its reads by the agreed word; how long that took.
    pub fn wait_for_zone_weight(&self, zone: &str, part: u16) -> Duration {
        eventually(&format!("{zone} gets {part}"), || {
            self.running_nodes().iter().all(|n| self.zone_weight(*n, zone) == Some((part, part)))
        })
    }

    /// Whether a daemon takes a host for leaving; `None`: it does not answer, or knows no such host.
    pub fn is_draining(&self, n: usize, host: &str) -> Option<bool> {
        let text = http::call(self.daemons[n].store, "GET", "/hosts")?.text();
        let line = text.lines().find(|l| l.starts_with(&format!("{host} ")))?.to_string();
        Some(line.contains(" leaving "))
    }

    /// Waits until all these daemons take a host for leaving, or not; how long that took.
    pub fn all_leave(&self, daemons: &[usize], host: &str, leaves: bool) -> Duration {
        eventually(&format!("{host} leaving: {leaves}"), || {
            daemons.iter().all(|n| self.is_draining(*n, host) == Some(leaves))
        })
    }

    /// The log of a daemon that runs, since its start.
    pub fn log(&self, n: usize) -> check::Log {
        self.daemons[n].process.as_ref().map(Process::log).expect("it runs")
    }

    /// The logs of all daemons, processes that have ended included.
    pub fn logs(&self) -> Vec<check::Log> {
        let log = |d: &ClusterNode| {
            let mut lines = d.before.clone();
            lines.extend(d.process.as_ref().map(Process::log).unwrap_or_default());
            lines
        };
        self.daemons.iter().map(log).collect()
    }

    /// Starts a load on all daemons.
    pub fn start_load(&self, plan: LoadProfile) -> Load {
        let fronts: Vec<SocketAddr> = self.fronts.iter().map(|r| r.address).collect();
        Load::start(&fronts, plan)
    }
}
