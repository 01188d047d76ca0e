//! The measurement `disk`.

use super::Bench;
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use std::thread;
use std::time::Duration;

impl Bench {
    /// What goes to the disk in service, and at rest.
    pub(super) fn disk(&self) {
        let mut lab = self.lab(ClusterConfig { daemons: 5, hosts: (8, 3), ..ClusterConfig::default() });
        lab.start_all();
        let load =
            lab.start_load(LoadProfile { rate: 400.0, clients: 60, groups: 8, ..LoadProfile::default() });
        thread::sleep(Duration::from_secs(10));
        let span = 20.0;
        let look = |lab: &TestCluster| -> (u64, u64) {
            let door =
                lab.daemons[0].process.as_ref().expect("it runs").wait_for_address("operators at http://");
            let text =
                brookpass_testkit::http::call(door, "GET", "/v1/metrics").map_or(String::new(), |m| m.text());
            let line =
                text.lines().find_map(|l| l.strip_prefix("svc.fleet.disk_writes:").map(str::to_string));
            let writes = line.and_then(|l| l.split('|').next()?.parse().ok()).unwrap_or(0);
            (writes, lab.daemons[0].process.as_ref().map_or(0, |p| p.written()))
        };
        let told = |what: &str| {
            let before = look(&lab);
            thread::sleep(Duration::from_secs_f64(span));
            let after = look(&lab);
            println!(
                "| disk | {} | 5, 24 hosts, {what} | syncs a second; bytes a second | {:.2} | {:.0} |",
                self.label(),
                (after.0 - before.0) as f64 / span,
                (after.1 - before.1) as f64 / span
            );
        };
        told("400 requests a second");
        load.finish();
        thread::sleep(Duration::from_secs(12));
        told("at rest");
    }
}
