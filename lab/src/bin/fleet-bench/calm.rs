//! Zones that get another weight although none of them failed: any endpoint may be dead, slow or restarted, but never more
//! than a quarter of a zone.

use crate::Bench;
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::ClusterConfig;
use brookpass_testkit::log_lines;
use std::thread;
use std::time::Duration;

const GROUPS: u32 = 4;
const ZONES: usize = 3;
/// The service time of an endpoint that is slow.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(60);
/// How long the load runs before the first endpoint fails.
const LEAD_TIME: Duration = Duration::from_millis(500);
/// How long the load runs after the last one has failed.
const OBSERVED_TIME: Duration = Duration::from_secs(3);

impl Bench {
    pub fn calm(&self, seeds: u64) {
        let mut seeds_with_changes = 0;
        let mut changes = 0;
        for seed in 0..seeds {
            let of_seed = self.weight_changes_of_seed(seed);
            changes += of_seed;
            seeds_with_changes += usize::from(of_seed > 0);
        }
        self.rows("calm", "3 and 5").print(
            format!("seeds of {seeds} in which a zone was left without a fault; moves"),
            seeds_with_changes,
            changes,
        );
    }

    /// Runs one seed and counts the changes of weights in the logs of all nodes.
    fn weight_changes_of_seed(&self, seed: u64) -> usize {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = [3, 3, 5][rng.usize(..3)];
        let config =
            ClusterConfig { nodes, groups: GROUPS, has_store_files: false, ..ClusterConfig::default() };
        let mut cluster = self.cluster(config);
        cluster.start_all();
        let requests_per_second = [60.0, 150.0, 400.0][rng.usize(..3)];
        let load = cluster.start_load(LoadProfile {
            requests_per_second,
            clients: 24,
            groups: GROUPS,
            seed,
            retries_rejections: true,
            ..LoadProfile::default()
        });
        thread::sleep(LEAD_TIME);
        for zone in 0..ZONES {
            let name = format!("s-{}-{zone}", rng.u32(1..=GROUPS));
            let endpoint = cluster.endpoints.get(&name);
            match rng.u8(..4) {
                0 => endpoint.configure(|behavior| behavior.is_silent = true),
                1 => endpoint.configure(|behavior| behavior.service_time = SLOW_SERVICE_TIME),
                2 => endpoint.power_off(),
                _ => {}
            }
            thread::sleep(Duration::from_millis(rng.u64(..800)));
        }
        thread::sleep(OBSERVED_TIME);
        load.finish();
        let logs = cluster.logs();
        logs.iter().flatten().filter(|line| line.contains(log_lines::ZONE_WEIGHT_CHANGED)).count()
    }
}
