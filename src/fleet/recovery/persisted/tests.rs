use super::*;

fn reading(wall: TimeDelta, boot_id: &str, uptime: TimeDelta) -> ClockReading {
    ClockReading { wall: Timestamp::ZERO + wall, boot_id: boot_id.into(), uptime }
}

/// Guards against old gossip that counts as fresh because the clock was set in between.
#[test]
fn persisted_gossip_ages_on_disk_and_is_unusable_if_the_clock_was_set() {
    let second = TimeDelta::from_secs(1);
    let written_at = reading(1_000 * second, "a", 50 * second);
    for (now, expected) in [
        (reading(1_030 * second, "a", 80 * second), RestoredAge::Usable(30 * second)),
        (reading(1_030 * second, "b", 5 * second), RestoredAge::Usable(30 * second)),
        (reading(999 * second, "b", 5 * second), RestoredAge::Unusable(UnusableReason::ClockWentBack)),
        (reading(1_002 * second, "a", 80 * second), RestoredAge::Unusable(UnusableReason::ClockWasSet)),
        (reading(1_900 * second, "a", 80 * second), RestoredAge::Unusable(UnusableReason::ClockWasSet)),
        (reading(1_030 * second, "a", 40 * second), RestoredAge::Unusable(UnusableReason::ClockWasSet)),
        (reading(9_000 * second, "b", 5 * second), RestoredAge::Unusable(UnusableReason::TooOld)),
    ] {
        assert_eq!(restored_age(&written_at, &now), expected, "{now:?}");
    }
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..5_000 {
        // Without a reboot, the restored age is at least the true age, less the tolerance for clock drift, however the
        // wall clock was set.
        let (true_age, clock_change) = (rng.i64(0..4_000_000_000), rng.i64(-5_000_000_000..5_000_000_000));
        let (true_age, clock_change) =
            (TimeDelta::from_micros(true_age), TimeDelta::from_micros(clock_change));
        let now = reading(
            written_at.wall.since(Timestamp::ZERO) + true_age + clock_change,
            "a",
            written_at.uptime + true_age,
        );
        if let RestoredAge::Usable(age) = restored_age(&written_at, &now) {
            assert!(age + CLOCK_DRIFT_TOLERANCE >= true_age);
        }
    }
}
