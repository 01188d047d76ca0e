//! The measurement `power`.

use super::Bench;
use brookpass_testkit::client::{LoadProfile, RequestRecord};
use brookpass_testkit::cluster::ClusterConfig;
use brookpass_testkit::oracle::{self, CapacityModel, worth};
use brookpass_testkit::{check, now};
use std::thread;
use std::time::Duration;

impl Bench {
    /// All daemons lose their power under load, with their hosts or without; until they serve as before.
    pub(super) fn power(&self, daemons: usize, cold: bool, seed: u64, words_of_time: bool) {
        const GROUPS: u32 = 8;
        let mut lab = self.lab(ClusterConfig { daemons, hosts: (GROUPS, 3), ..ClusterConfig::default() });
        let host = if cold { (4, 0.04) } else { (8, 0.002) };
        for h in &lab.hosts.all {
            h.set(|h| (h.slots, h.work) = (host.0, Duration::from_secs_f64(host.1)));
        }
        lab.start_all();
        // No primary is the first of its group in the list.
        for group in 1..=GROUPS {
            lab.hosts.promote(group, &format!("s-{group}-{}", group % 3));
        }
        let rate = if cold { 600.0 } else { 400.0 };
        let plan =
            LoadProfile { rate, clients: 120, groups: GROUPS, seed, again: true, ..LoadProfile::default() };
        let load = lab.start_load(plan);
        thread::sleep(Duration::from_secs(14));
        let off = now();
        (0..daemons).for_each(|n| lab.kill(n));
        if cold {
            lab.hosts.power_off();
        }
        thread::sleep(Duration::from_secs(1));
        if cold {
            lab.hosts.power_on(0);
        }
        let on = now();
        lab.start_nodes(&(0..daemons).collect::<Vec<_>>());
        (0..daemons).for_each(|n| lab.wait_until_ready(n));
        thread::sleep(Duration::from_secs(9));
        let end = now() - 1_500_000;
        let asked = load.finish();
        let window = 500_000;
        let good = |from: i64, to: i64| -> f64 {
            let all = asked.iter().filter(|a| a.status == 200 && (from..to).contains(&a.until));
            all.map(worth).sum()
        };
        let usual = good(off - 4_000_000, off) / 4e6 * window as f64;
        let back = |served: &dyn Fn(i64, i64) -> f64| {
            let at = (on..end - window).step_by(50_000).find(|at| served(*at, at + window) >= usual * 0.95);
            at.map_or("never".to_string(), |at| format!("{:.0}", (at + window - on) as f64 / 1000.0))
        };
        let first = |write| {
            let all = asked.iter().filter(|a| a.status == 200 && a.sent >= on && a.write == write);
            all.map(|a| a.until - on).min().unwrap_or(0) as f64 / 1000.0
        };
        let arrivals = lab.hosts.arrivals();
        let mean = |all: &[i64]| all.iter().sum::<i64>() as f64 / all.len().max(1) as f64;
        let model = CapacityModel { replicas: 2, host, started: cold.then_some(on) };
        let best = oracle::best(&asked, GROUPS, model, on, end, 2_000_000);
        let limit = |from: i64, to: i64| -> f64 {
            best.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, worth)| worth).sum()
        };
        // Of what was due since the power came back, at whichever try.
        let mine = asked.iter().filter(|a| a.status == 200 && (on..end).contains(&a.due));
        let share = mine.map(worth).sum::<f64>() / limit(on, end) * 100.0;
        // The first second in which hosts are reached.
        let began = arrivals.iter().map(|a| a.at).filter(|at| *at >= on).min().unwrap_or(on);
        let probed = |host: &str, from: i64| {
            let all = lab.hosts.get(host).polls();
            all.into_iter().filter(|at| (from..from + 1_100_000).contains(at)).count()
        };
        let in_first = |host: &str| {
            let reached = |a: &&brookpass_testkit::endpoint::Arrival| {
                a.host == host && (began - 100_000..began + 1_000_000).contains(&a.at)
            };
            (
                arrivals.iter().filter(reached).count(),
                probed(host, began - 100_000),
                probed(host, off - 3_000_000),
            )
        };
        let all: Vec<(usize, usize, usize)> = lab.hosts.all.iter().map(|h| in_first(&h.name)).collect();
        let most = all.iter().map(|(a, p, _)| a + p).max().unwrap_or(0);
        let probes: usize = all.iter().map(|(_, p, _)| p).sum();
        let before: usize = all.iter().map(|(.., p)| p).sum();
        let most_probed = all.iter().map(|(_, p, _)| *p).max().unwrap_or(0);
        let spared = check::ColdStartBound { started: on, bears: host.0 as f64 / host.1, multiple: 4.0 };
        let worst =
            lab.hosts.all.iter().map(|h| check::cold_endpoint_not_overloaded(&arrivals, &h.name, spared));
        let worst = worst.map(|w| w.map_or(9.99, |w| w)).fold(0.0, f64::max);
        let hosts = if cold { "cold hosts" } else { "warm hosts" };
        let name = format!("| power | {} | {daemons}, {hosts}, seed {seed}", self.label());
        println!("{name} | first served write; read, ms | {:.0} | {:.0} |", first(true), first(false));
        println!(
            "{name} | 95% of the worth of before after, ms; the oracle | {} | {} |",
            back(&good),
            back(&limit)
        );
        if words_of_time {
            let own: std::collections::BTreeSet<u64> =
                asked.iter().filter(|a| a.own).map(|a| a.request).collect();
            for at in (on..end - window).step_by(window as usize) {
                let refused =
                    asked.iter().filter(|a| a.status == 503 && (at..at + window).contains(&a.until));
                println!(
                    "{name} | {} ms: worth served, of the oracle; refused | {:.0}, {:.0} | {} |",
                    (at - on) / 1000,
                    good(at, at + window),
                    limit(at, at + window),
                    refused.count()
                );
                let leads = |a: &&brookpass_testkit::endpoint::Arrival| lab.hosts.get(&a.host).is_primary();
                let reads = arrivals.iter().filter(|a| !a.write && (at..at + window).contains(&a.at));
                println!(
                    "{name} | {} ms: reads that reached hosts; primaries among these, own | {} | {}, {} |",
                    (at - on) / 1000,
                    reads.clone().count(),
                    reads.clone().filter(leads).count(),
                    reads.filter(leads).filter(|a| own.contains(&a.request)).count()
                );
                for write in [true, false] {
                    let mine = |a: &&RequestRecord| {
                        a.status == 200 && a.write == write && (at..at + window).contains(&a.until)
                    };
                    let theirs = |a: &&brookpass_testkit::endpoint::Arrival| {
                        a.served && a.write == write && (at..at + window).contains(&a.until)
                    };
                    let clients: Vec<i64> = asked.iter().filter(mine).map(|a| a.until - a.sent).collect();
                    let hosts: Vec<i64> = arrivals.iter().filter(theirs).map(|a| a.until - a.at).collect();
                    println!(
                        "{name} | {} ms, {}: served; ms at clients; ms at hosts | {} | {:.0}; {:.0} |",
                        (at - on) / 1000,
                        if write { "writes" } else { "reads" },
                        clients.len(),
                        mean(&clients) / 1000.0,
                        mean(&hosts) / 1000.0
                    );
                }
            }
        }
        println!("{name} | worth of what was due since, % of the oracle's | {share:.1} | |");
        println!(
            "{name} | first second: questions to all hosts; to one host at most | {probes} | {most_probed} |"
        );
        println!(
            "{name} | questions in a second of before; all requests to one host in the first second | {before} | {most} |"
        );
        if cold {
            println!(
                "{name} | worst second of a cold host, share of its bound (9.99: over) | {worst:.2} | |"
            );
        }
    }
}
