//! Changes of zone weights although no zone failed: in each zone at most one of the four endpoints falls silent, gets
//! slow or loses power.

use crate::Bench;
use brookpass_testkit::client::LoadProfile;
use brookpass_testkit::cluster::ClusterConfig;
use brookpass_testkit::log_lines;
use std::thread;
use std::time::Duration;

const GROUPS: u32 = 4;
const ZONES: usize = 3;
/// The service time of a slow endpoint.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(60);
/// Duration of the load before the first endpoint may fail.
const LOAD_BEFORE_FAULTS: Duration = Duration::from_millis(500);
/// Duration of the load after the last fault.
const LOAD_AFTER_FAULTS: Duration = Duration::from_secs(3);

impl Bench {
    pub fn spurious_zone_changes(&self, seeds: u64) {
        let mut seeds_with_changes = 0;
        let mut changes = 0;
        for seed in 0..seeds {
            let changes_of_seed = self.weight_changes_of_seed(seed);
            changes += changes_of_seed;
            seeds_with_changes += usize::from(changes_of_seed > 0);
        }
        self.rows("calm", "3 and 5").print(
            format!("of {seeds} seeds, those with a change of a zone's weight; such changes"),
            seeds_with_changes,
            changes,
        );
    }

    /// Runs one seed and counts the changes of zone weights in the logs of all nodes.
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
        thread::sleep(LOAD_BEFORE_FAULTS);
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
        thread::sleep(LOAD_AFTER_FAULTS);
        load.finish();
        let logs = cluster.logs();
        logs.iter().flatten().filter(|line| line.contains(log_lines::ZONE_WEIGHT_CHANGED)).count()
    }
}
