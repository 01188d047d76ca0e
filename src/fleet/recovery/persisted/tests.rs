use super::*;

fn clocks(wall: TimeDelta, boot: &str, up: TimeDelta) -> ClockReading {
    ClockReading { wall: Timestamp::ZERO + wall, boot: boot.into(), up }
}

/// Guards against something old that passes for fresh, whatever the clock did meanwhile.
#[test]
fn what_lay_is_older_by_that_time_and_worth_nothing_when_the_clock_was_set() {
    let s = TimeDelta::from_secs(1);
    let then = clocks(1_000 * s, "a", 50 * s);
    for (now, wanted) in [
        (clocks(1_030 * s, "a", 80 * s), RestoredAge::Usable(30 * s)),
        (clocks(1_030 * s, "b", 5 * s), RestoredAge::Usable(30 * s)),
        (clocks(999 * s, "b", 5 * s), RestoredAge::Unusable("the clock went back")),
        (clocks(1_002 * s, "a", 80 * s), RestoredAge::Unusable("the clock was set")),
        (clocks(1_900 * s, "a", 80 * s), RestoredAge::Unusable("the clock was set")),
        (clocks(1_030 * s, "a", 40 * s), RestoredAge::Unusable("the clock was set")),
        (clocks(9_000 * s, "b", 5 * s), RestoredAge::Unusable("it has lain for too long")),
    ] {
        assert_eq!(restored_age(&then, &now), wanted, "{now:?}");
    }
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..5_000 {
        // The machine was on all the time: however its clock was set, nothing looks younger than it is.
        let (true_span, set) = (rng.i64(0..4_000_000_000), rng.i64(-5_000_000_000..5_000_000_000));
        let (true_span, set) = (TimeDelta::from_micros(true_span), TimeDelta::from_micros(set));
        let now = clocks(then.wall.since(Timestamp::ZERO) + true_span + set, "a", then.up + true_span);
        if let RestoredAge::Usable(span) = restored_age(&then, &now) {
            assert!(span + SET >= true_span);
        }
    }
}
