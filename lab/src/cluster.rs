//! A fleet of processes with a relay on every link, their hosts, and what scripts do to them.

mod files;
mod lifecycle;
mod links;
mod permit;
mod queries;
mod schedule;

use crate::endpoint::StandInEndpoints;
use crate::process::Process;
use crate::relay::Relay;
use permit::ProcessPermit;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// How a lab is set up.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Daemons.
    pub daemons: usize,
    /// Groups of hosts, and hosts in each.
    pub hosts: (u32, usize),
    /// The daemons keep a disk.
    pub disk: bool,
    /// How far each daemon's clock is off, in milliseconds; missing: not at all.
    pub clocks: Vec<i64>,
    /// The program is of version 0.2.0 or before: it exchanges whole copies and knows no fleet.
    pub old: bool,
    /// Hosts in the inventory beside those that run: nobody listens there.
    pub more_hosts: usize,
    /// Regions of the zones, in their order; none by default.
    pub regions: Vec<String>,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            daemons: 5,
            hosts: (2, 3),
            disk: true,
            clocks: Vec::new(),
            old: false,
            more_hosts: 0,
            regions: Vec::new(),
        }
    }
}

/// One daemon.
pub struct ClusterNode {
    /// Its name.
    pub name: String,
    /// Its process, if it runs.
    pub process: Option<Process>,
    /// Its store's address, behind all relays.
    pub store: SocketAddr,
    /// Its front's address, behind the relay.
    pub front: SocketAddr,
    /// Its files.
    pub folder: PathBuf,
    /// Logs of the processes before.
    before: Vec<String>,
    stopped: bool,
}

/// A fleet in the lab.
pub struct TestCluster {
    program: PathBuf,
    /// The daemons.
    pub daemons: Vec<ClusterNode>,
    /// Their hosts.
    pub hosts: StandInEndpoints,
    /// The relay on the link from a daemon to another.
    pub links: BTreeMap<(usize, usize), Relay>,
    /// The relay before each daemon's front.
    pub fronts: Vec<Relay>,
    /// The relay before each daemon's store, for those whose files do not name it.
    pub public: Vec<Relay>,
    /// The relay before each host, by name.
    pub host_links: BTreeMap<String, Relay>,
    /// Daemons that were down or stood still: from when until when.
    pub down: Vec<(usize, i64, i64)>,
    setup: ClusterConfig,
    _room: ProcessPermit,
}

fn nowhere() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

impl TestCluster {
    /// Sets a lab up; nothing runs yet. `folder` is emptied.
    pub fn new(program: &Path, folder: &Path, setup: ClusterConfig) -> TestCluster {
        let room = ProcessPermit::take(setup.daemons);
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = folder.join(format!("lab-{}-{n}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let zones = ["z-0".to_string(), "z-1".to_string(), "z-2".to_string()];
        let hosts = StandInEndpoints::start(setup.hosts.0, setup.hosts.1, &zones);
        let host_links: BTreeMap<String, Relay> =
            hosts.all.iter().map(|h| (h.name.clone(), Relay::start(h.address, false))).collect();
        let mut lab = TestCluster {
            program: program.to_path_buf(),
            daemons: Vec::new(),
            links: BTreeMap::new(),
            fronts: Vec::new(),
            public: Vec::new(),
            host_links,
            down: Vec::new(),
            hosts,
            setup,
            _room: room,
        };
        for n in 0..lab.setup.daemons {
            let own = folder.join(format!("b{n}"));
            std::fs::create_dir_all(&own).expect("a folder");
            lab.add(own);
        }
        let all: Vec<usize> = (0..lab.daemons.len()).collect();
        for n in &all {
            lab.write_files(*n, &all);
        }
        lab
    }

    fn add(&mut self, folder: PathBuf) {
        let n = self.daemons.len();
        self.daemons.push(ClusterNode {
            name: format!("b{n}"),
            process: None,
            store: nowhere(),
            front: nowhere(),
            folder,
            before: Vec::new(),
            stopped: false,
        });
        self.fronts.push(Relay::start(nowhere(), false));
        self.public.push(Relay::start(nowhere(), true));
        for other in 0..n {
            let frames = !self.setup.old;
            self.links.insert((n, other), Relay::start(self.daemons[other].store, frames));
            self.links.insert((other, n), Relay::start(nowhere(), frames));
        }
    }

    /// Another daemon, whose file names these others; they do not name it.
    pub fn add_node(&mut self, names: &[usize]) -> usize {
        let n = self.daemons.len();
        let folder = self.daemons[0].folder.with_file_name(format!("b{n}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        self.add(folder);
        self.write_files(n, names);
        n
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        // What failed is kept, each daemon's log beside its files.
        let failed = thread::panicking() || std::env::var_os("LAB_KEEP").is_some();
        for (daemon, log) in self.daemons.iter().zip(self.logs()) {
            let kept = failed && std::fs::write(daemon.folder.join("log"), log.join("\n")).is_ok();
            if kept {
                eprintln!("{}: {}", daemon.name, daemon.folder.display());
            }
        }
        self.daemons.iter_mut().for_each(|d| drop(d.process.take()));
        if !failed && let Some(folder) = self.daemons.first().and_then(|d| d.folder.parent()) {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}
