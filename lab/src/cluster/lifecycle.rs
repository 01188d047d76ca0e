//! Starts, pauses and kills nodes, and records their downtimes.

use super::files::OPERATOR_FILE;
use super::{ClusterNode, TestCluster};
use crate::check::Downtime;
use crate::process::{ClockOffset, Process};
use crate::{Timestamp, eventually, http, log_lines};
use std::time::Duration;

/// The start-up time that counts as downtime: a downtime that ended with the start of a process is extended until the
/// node is ready if that takes less than this.
const MAX_START_UP: Duration = Duration::from_secs(30);

impl TestCluster {
    /// Starts a node and waits until its store listens.
    ///
    /// # Panics
    ///
    /// Panics if the store does not listen within [`crate::DEFAULT_TIMEOUT`].
    pub fn start(&mut self, node: usize) {
        self.start_nodes(&[node]);
    }

    /// Starts nodes concurrently and waits until their stores listen.
    ///
    /// # Panics
    ///
    /// Panics if one of the stores does not listen within [`crate::DEFAULT_TIMEOUT`].
    pub fn start_nodes(&mut self, nodes: &[usize]) {
        let processes: Vec<Process> = nodes.iter().map(|node| self.start_process(*node)).collect();
        for (node, process) in nodes.iter().zip(processes) {
            self.connect_relays(*node, process);
        }
    }

    fn start_process(&self, node: usize) -> Process {
        let file = self.nodes[node].folder.join(OPERATOR_FILE);
        let offset = self.config.clock_offsets.get(node).copied().unwrap_or_default();
        Process::start(&self.program, &["--operator", &file.to_string_lossy()], offset)
    }

    /// Waits until the store of a process listens, and sets it as the target of the node's relays.
    fn connect_relays(&mut self, node: usize, process: Process) {
        let store_address = process.wait_for_address(log_lines::STORE_LISTENING);
        for (link, relay) in &self.peer_links {
            if link.to == node {
                relay.set_target(store_address);
            }
        }
        self.advertised_relays[node].set_target(store_address);
        self.nodes[node].process = Some(process);
        self.nodes[node].store_address = store_address;
        self.end_downtime(node);
    }

    /// Ends a node's current downtime.
    fn end_downtime(&mut self, node: usize) {
        let now = Timestamp::now();
        for downtime in &mut self.downtimes {
            if downtime.node == node && downtime.until == Timestamp::MAX {
                downtime.until = now;
            }
        }
    }

    /// Sets the clock offset that a node has from its next start on.
    pub fn set_clock_offset(&mut self, node: usize, offset: ClockOffset) {
        let offsets = &mut self.config.clock_offsets;
        offsets.resize(offsets.len().max(node + 1), ClockOffset::NONE);
        offsets[node] = offset;
    }

    /// Waits until a node that has been started is ready to serve, and lets clients reach it.
    ///
    /// # Panics
    ///
    /// Panics if the node is not ready within [`crate::DEFAULT_TIMEOUT`].
    pub fn wait_until_ready(&mut self, node: usize) {
        // The SPARQL server listens on a new port after each start.
        let sparql_address = self.nodes[node].process().wait_for_address(log_lines::SPARQL_LISTENING);
        self.sparql_relays[node].set_target(sparql_address);
        eventually("a node is ready", || {
            http::call(sparql_address, "GET", "/-/ready").is_some_and(|response| response.status() == 200)
        });
        let ready_at = Timestamp::now();
        for downtime in &mut self.downtimes {
            let has_ended = downtime.until < ready_at;
            if downtime.node == node && has_ended && ready_at.duration_since(downtime.until) < MAX_START_UP {
                downtime.until = ready_at;
            }
        }
    }

    /// Starts all nodes and waits until all are ready, are voters, and have applied the same entries.
    ///
    /// # Panics
    ///
    /// Panics if one of these waits takes longer than [`crate::DEFAULT_TIMEOUT`].
    pub fn start_all(&mut self) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        all.iter().for_each(|node| self.start(*node));
        all.iter().for_each(|node| self.wait_until_ready(*node));
        if self.config.is_legacy {
            return;
        }
        eventually("all nodes are voters", || all.iter().all(|node| self.voter_count(*node) == all.len()));
        self.wait_until_caught_up();
    }

    /// Kills a node's process with SIGKILL, as a loss of power would.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut process) = self.nodes[node].process.take() {
            self.begin_downtime(node);
            process.kill();
            self.nodes[node].earlier_log.extend(process.log());
            self.nodes[node].is_paused = false;
        }
    }

    /// Pauses a node (SIGSTOP).
    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            self.begin_downtime(node);
            self.nodes[node].process().signal("-STOP");
            self.nodes[node].is_paused = true;
        }
    }

    /// Resumes a paused node (SIGCONT).
    pub fn resume(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            self.nodes[node].process().signal("-CONT");
            self.nodes[node].is_paused = false;
            self.end_downtime(node);
        }
    }

    fn begin_downtime(&mut self, node: usize) {
        self.downtimes.push(Downtime { node, from: Timestamp::now(), until: Timestamp::MAX });
    }

    /// Deletes the store file of a node that is not running, if there is one.
    pub fn delete_store(&self, node: usize) {
        let _ = std::fs::remove_file(self.nodes[node].store_file());
    }

    /// The nodes that run and are not paused.
    pub fn running_nodes(&self) -> Vec<usize> {
        let runs = |node: &ClusterNode| node.process.is_some() && !node.is_paused;
        (0..self.nodes.len()).filter(|node| runs(&self.nodes[*node])).collect()
    }
}
