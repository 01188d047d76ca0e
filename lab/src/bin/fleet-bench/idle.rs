//! The measurement `idle`.

use super::{Bench, ms};
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::eventually;
use std::thread;
use std::time::{Duration, Instant};

impl Bench {
    pub(super) fn idle(&self) {
        let mut lab = self.lab(ClusterConfig { daemons: 3, more_hosts: 2_000, ..ClusterConfig::default() });
        lab.start_all();
        thread::sleep(Duration::from_secs(3));
        let bytes = |lab: &TestCluster| -> u64 {
            lab.links.values().chain(&lab.public).map(|r| r.passed().iter().sum::<u64>()).sum()
        };
        let usage = |lab: &TestCluster| -> Vec<(f64, u64)> {
            lab.daemons.iter().map(|d| d.process.as_ref().map_or((0.0, 0), |p| p.usage())).collect()
        };
        let (sent, used, span) = (bytes(&lab), usage(&lab), Duration::from_secs(20));
        thread::sleep(span);
        let traffic = (bytes(&lab) - sent) as f64 / span.as_secs_f64() / 1000.0;
        let after = usage(&lab);
        let cpu = used.iter().zip(&after).map(|(a, b)| (b.0 - a.0) / span.as_secs_f64() * 100.0);
        let cpu = cpu.fold(0.0, f64::max);
        let memory = after.iter().map(|u| u.1).max().unwrap_or(0) / 1024;
        println!(
            "| idle | {} | 3, 2,000 hosts | kB/s all links, CPU % of the busiest | {traffic:.1} | {cpu:.2} |",
            self.label()
        );
        println!("| idle | {} | 3, 2,000 hosts | memory of the largest, MB | {memory} | |", self.label());
        drop(lab);
        let mut lab = self.lab(ClusterConfig { daemons: 3, more_hosts: 10_000, ..ClusterConfig::default() });
        let began = Instant::now();
        lab.start_all();
        let hosts = |n: usize| {
            brookpass_testkit::http::call(lab.daemons[n].store, "GET", "/hosts")
                .map_or(0, |m| m.text().lines().count())
        };
        eventually("all have all hosts", || (0..3).all(|n| hosts(n) >= 10_000));
        println!(
            "| start | {} | 3, 10,000 hosts | until all have all, ms | {:.0} | |",
            self.label(),
            ms(began.elapsed())
        );
    }
}
