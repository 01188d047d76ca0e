//! The measurement `calm`.

use super::Bench;
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::ClusterConfig;
use std::thread;
use std::time::Duration;

impl Bench {
    /// Plays without a zone's fault: any host may be dead, slow or restarted, but never more than a third of a zone.
    pub(super) fn calm(&self, seeds: u64) {
        let (mut wrongly, mut moves) = (0, 0);
        for seed in 0..seeds {
            let mut rng = fastrand::Rng::with_seed(seed);
            let daemons = [3, 3, 5][rng.usize(..3)];
            let mut lab =
                self.lab(ClusterConfig { daemons, hosts: (4, 3), disk: false, ..ClusterConfig::default() });
            lab.start_all();
            let rate = [60.0, 150.0, 400.0][rng.usize(..3)];
            let load = lab.start_load(LoadProfile {
                rate,
                clients: 24,
                groups: 4,
                seed,
                again: true,
                ..LoadProfile::default()
            });
            thread::sleep(Duration::from_millis(500));
            for zone in 0..3 {
                let bad = format!("s-{}-{zone}", rng.u32(1..=4));
                match rng.u8(..4) {
                    0 => lab.hosts.get(&bad).set(|h| h.silent = true),
                    1 => lab.hosts.get(&bad).set(|h| h.work = Duration::from_millis(60)),
                    2 => lab.hosts.get(&bad).power_off(),
                    _ => {}
                }
                thread::sleep(Duration::from_millis(rng.u64(..800)));
            }
            thread::sleep(Duration::from_secs(3));
            load.finish();
            let left = |log: &Vec<String>| log.iter().filter(|l| l.contains("zones: z-")).count();
            let own: usize = lab.logs().iter().map(left).sum();
            moves += own;
            wrongly += usize::from(own > 0);
        }
        println!(
            "| calm | {} | 3 and 5 | seeds of {seeds} in which a zone was left without a fault; moves | {wrongly} | {moves} |",
            self.label()
        );
    }
}
