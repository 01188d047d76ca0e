//! The measurement `zone`.

use super::{Bench, ms};
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::{check, now};
use std::thread;
use std::time::{Duration, Instant};

impl Bench {
    /// One of three zones falls silent for six seconds and comes back cold, under 150 requests a second.
    pub(super) fn zone(&self, daemons: usize, seed: u64) {
        const GROUPS: u32 = 8;
        let mut lab = self.lab(ClusterConfig { daemons, hosts: (GROUPS, 3), ..ClusterConfig::default() });
        for h in &lab.hosts.all {
            h.set(|h| (h.slots, h.work) = (4, Duration::from_millis(20)));
        }
        lab.start_all();
        let plan = LoadProfile {
            rate: 150.0,
            clients: 60,
            groups: GROUPS,
            seed,
            again: true,
            ..LoadProfile::default()
        };
        let load = lab.start_load(plan);
        thread::sleep(Duration::from_secs(6));
        let silent = now();
        lab.hosts.in_zone("z-1").for_each(|h| h.set(|h| h.silent = true));
        let left = |lab: &TestCluster| {
            (0..daemons).all(|n| lab.zone_weight(n, "z-1").is_some_and(|(part, _)| part == 0))
        };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(3) && !left(&lab) {
            thread::sleep(Duration::from_millis(5));
        }
        let leaving = ms(began.elapsed());
        thread::sleep(Duration::from_secs(6).saturating_sub(began.elapsed()));
        let off = now();
        lab.hosts.in_zone("z-1").for_each(|h| h.power_off());
        lab.hosts.in_zone("z-1").for_each(|h| h.power_on());
        lab.hosts.in_zone("z-1").for_each(|h| h.set(|h| h.silent = false));
        lab.hosts.in_zone("z-1").for_each(|h| {
            h.take_peak_concurrency();
        });
        thread::sleep(Duration::from_secs(25));
        let end = now() - 2_000_000;
        let asked = load.finish();
        let lost = |from, to| check::unserved(&asked, from, to);
        let late = asked.iter().filter(|a| a.status == 200 && (silent..off).contains(&a.due));
        let late = late.filter(|a| a.until - a.due > 1_000_000).count();
        let arrivals = lab.hosts.arrivals();
        let of_zone = |at: &str| lab.hosts.get(at).zone == "z-1";
        let in_zone = |from: i64, to: i64| {
            arrivals.iter().filter(|a| (from..to).contains(&a.at) && of_zone(&a.host)).count()
        };
        let usual = in_zone(silent - 3_000_000, silent) as f64 / 3.0;
        let full = (off..end).step_by(250_000).find(|at| in_zone(*at, at + 1_000_000) as f64 >= usual * 0.9);
        let full = full.map_or("never".into(), |at| format!("{:.1}", (at + 1_000_000 - off) as f64 / 1e6));
        let most = lab.hosts.in_zone("z-1").map(|h| h.take_peak_concurrency()).max().unwrap_or(0);
        let cold = check::ColdStartBound { started: off, bears: 200.0, multiple: 4.0 };
        let worst = lab
            .hosts
            .in_zone("z-1")
            .map(|h| check::cold_endpoint_not_overloaded(&arrivals, &h.name, cold).unwrap_or(9.99));
        let name = format!("| zone | {} | {daemons}, seed {seed}", self.label());
        let all = check::requests_due(&asked, silent, off).count();
        println!("{name} | lost while it was silent, of {all}; late | {} | {late} |", lost(silent, off));
        println!(
            "{name} | lost on its way back; until it has 90% of its share, s | {} | {full} |",
            lost(off, end)
        );
        println!("{name} | until all have left, ms (3000: not) | {leaving:.0} | |");
        println!(
            "{name} | most at once at a returning host that runs 1 to 4; worst second, share of its bound | {most} | {:.2} |",
            worst.fold(0.0, f64::max)
        );
    }
}
