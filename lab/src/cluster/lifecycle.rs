//! Starts, stops and kills daemons.

use super::{ClusterNode, TestCluster};
use crate::process::Process;
use crate::{eventually, http, now};

impl TestCluster {
    /// Starts a daemon; comes back when its store listens.
    pub fn start(&mut self, n: usize) {
        self.start_nodes(&[n]);
    }

    /// Starts daemons, all in the same moment.
    pub fn start_nodes(&mut self, daemons: &[usize]) {
        let spawn = |n: &usize| {
            let file = self.daemons[*n].folder.join("operator.yaml");
            let clock = self.setup.clocks.get(*n).copied().unwrap_or(0);
            Process::start(&self.program, &["--operator", &file.to_string_lossy()], clock)
        };
        let processes: Vec<Process> = daemons.iter().map(spawn).collect();
        for (n, process) in daemons.iter().zip(processes) {
            self.started(*n, process);
        }
    }

    fn started(&mut self, n: usize, process: Process) {
        let store = process.wait_for_address("store at http://");
        for ((_, to), relay) in &self.links {
            if *to == n {
                relay.set_target(store);
            }
        }
        self.public[n].set_target(store);
        let daemon = &mut self.daemons[n];
        (daemon.process, daemon.store) = (Some(process), store);
        for (d, _, until) in &mut self.down {
            // Until it serves again; the front's address is another one.
            if *d == n && *until == i64::MAX {
                *until = now();
            }
        }
    }

    /// Sets how far a daemon's clock is off from its next start on, in milliseconds.
    pub fn set_clock(&mut self, n: usize, off: i64) {
        let clocks = &mut self.setup.clocks;
        clocks.resize(clocks.len().max(n + 1), 0);
        clocks[n] = off;
    }

    /// Waits until a daemon serves.
    pub fn wait_until_ready(&mut self, n: usize) {
        let process = self.daemons[n].process.as_ref().expect("it runs");
        let front = process.wait_for_address("SPARQL at http://");
        self.daemons[n].front = front;
        self.fronts[n].set_target(front);
        eventually("a daemon serves", || {
            http::call(front, "GET", "/-/ready").is_some_and(|m| m.status() == 200)
        });
        let end = now();
        for (d, _, until) in &mut self.down {
            if *d == n && *until < end && end - *until < 30_000_000 {
                *until = end;
            }
        }
    }

    /// Starts all, and waits until they serve and the fleet is complete.
    pub fn start_all(&mut self) {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        all.iter().for_each(|n| self.start(*n));
        all.iter().for_each(|n| self.wait_until_ready(*n));
        let size = all.len();
        if self.setup.old {
            return;
        }
        eventually("all vote", || {
            all.iter()
                .all(|n| self.fleet_status(*n).lines().filter(|l| l.contains(" voter ")).count() == size)
        });
        self.wait_until_caught_up();
    }

    /// Kills a daemon, as the power would.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.daemons[n].process.take() {
            self.down.push((n, now(), i64::MAX));
            process.kill();
            self.daemons[n].before.extend(process.log());
            self.daemons[n].stopped = false;
        }
    }

    /// A daemon stands still.
    pub fn pause(&mut self, n: usize) {
        if let Some(process) = &self.daemons[n].process {
            self.down.push((n, now(), i64::MAX));
            process.signal("-STOP");
            self.daemons[n].stopped = true;
        }
    }

    /// It goes on.
    pub fn resume(&mut self, n: usize) {
        if let Some(process) = &self.daemons[n].process {
            process.signal("-CONT");
            self.daemons[n].stopped = false;
            let end = now();
            self.down.iter_mut().filter(|(d, _, u)| *d == n && *u == i64::MAX).for_each(|d| d.2 = end);
        }
    }

    /// Takes a daemon's disk away; it must not run.
    pub fn delete_store(&self, n: usize) {
        let _ = std::fs::remove_file(self.daemons[n].folder.join("fleet.store"));
    }

    /// Daemons that run and do not stand still.
    pub fn running_nodes(&self) -> Vec<usize> {
        let runs = |d: &ClusterNode| d.process.is_some() && !d.stopped;
        (0..self.daemons.len()).filter(|n| runs(&self.daemons[*n])).collect()
    }
}
