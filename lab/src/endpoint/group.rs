//! All hosts of a lab.

use super::{Arrival, EndpointBehavior, Inner, Log, StandInEndpoint, WORK};
use crate::now;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

/// All hosts, with one record of what reached them.
#[derive(Clone, Default)]
pub struct StandInEndpoints {
    /// The hosts.
    pub all: Vec<StandInEndpoint>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl StandInEndpoints {
    /// Groups of so many hosts each; the first one of each is its primary. Host `n` is in zone `n` of the zones.
    pub fn start(groups: u32, each: usize, zones: &[String]) -> StandInEndpoints {
        let mut hosts = StandInEndpoints::default();
        for group in 1..=groups {
            let log: Arc<Mutex<Log>> = Arc::default();
            for n in 0..each {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let health = EndpointBehavior {
                    up: true,
                    silent: false,
                    loss: 0,
                    lag: 20,
                    work: WORK,
                    slots: 8,
                    queue: 64,
                    started: None,
                };
                let host = StandInEndpoint {
                    name: format!("s-{group}-{n}"),
                    group,
                    zone: zones.get(n % zones.len().max(1)).cloned().unwrap_or_default(),
                    address: listener.local_addr().expect("an address"),
                    inner: Arc::new(Mutex::new(Inner {
                        health,
                        life: 0,
                        primary: n == 0,
                        cut: BTreeSet::new(),
                        rng: fastrand::Rng::with_seed(u64::from(group) * 100 + n as u64),
                        running: 0,
                        waiting: 0,
                        most: 0,
                    })),
                    log: log.clone(),
                    streams: Arc::default(),
                    arrivals: hosts.arrivals.clone(),
                    probes: Arc::default(),
                };
                let own = host.clone();
                thread::spawn(move || {
                    for stream in listener.incoming().map_while(Result::ok) {
                        let own = own.clone();
                        thread::spawn(move || own.serve(stream));
                    }
                });
                hosts.all.push(host);
            }
        }
        hosts
    }

    /// What reached them up to now.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the record").clone()
    }

    /// A host by its name.
    pub fn get(&self, name: &str) -> &StandInEndpoint {
        self.all.iter().find(|h| h.name == name).expect("a host of this name")
    }

    /// The hosts of a zone.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a StandInEndpoint> {
        self.all.iter().filter(move |h| h.zone == zone)
    }

    /// All lose their power: what runs is gone, and nobody listens.
    pub fn power_off(&self) {
        self.all.iter().for_each(StandInEndpoint::power_off);
    }

    /// They start again, cold, without what was committed within the last `unsynced` milliseconds.
    pub fn power_on(&self, unsynced: i64) {
        let mut groups: Vec<u32> = self.all.iter().map(|h| h.group).collect();
        groups.dedup();
        for group in groups {
            let host = self.all.iter().find(|h| h.group == group).expect("a host of the group");
            let mut log = host.log.lock().expect("a group's log");
            if let Some(last) = log.commits.last().copied().filter(|_| unsynced > 0) {
                let cut = last - unsynced;
                log.commits.retain(|c| *c <= cut);
                let from = log.commits.last().copied().unwrap_or(cut);
                log.lost.push((from, last, now()));
                log.back = Some(from);
            }
        }
        for host in &self.all {
            host.power_on();
        }
    }

    /// What a group lost: commits after the first position up to the second, since when, in Unix microseconds.
    pub fn lost_commits(&self, group: u32) -> Vec<(i64, i64, i64)> {
        let host = self.all.iter().find(|h| h.group == group).expect("a host of the group");
        host.log.lock().expect("a group's log").lost.clone()
    }

    /// The inventory as CSV, every address as `through` gives it for the host, and the region of its zone.
    pub fn inventory(
        &self,
        through: impl Fn(&StandInEndpoint) -> SocketAddr,
        region: impl Fn(&str) -> String,
    ) -> String {
        let mut text = "name,address,group,zone,region\n".to_string();
        for host in &self.all {
            let (name, at, region) = (&host.name, through(host), region(&host.zone));
            text += &format!("{name},{at},{},{},{region}\n", host.group, host.zone);
        }
        text
    }

    /// The group's primary is another one from now on.
    pub fn promote(&self, group: u32, to: &str) {
        for host in self.all.iter().filter(|h| h.group == group) {
            host.inner.lock().expect("a host").primary = host.name == to;
        }
    }
}
