//! The clock against steps of the system's clock.

use super::*;
use std::time::Duration;

/// Guards against a machine that slept: its monotonic clock stood still while the data of the backends went on.
#[test]
fn it_follows_the_system_clock_forward_and_never_back() {
    let clock = Clock::start();
    let before = clock.now_at_system_time(clock.unix_at_start);
    let hour = TimeDelta::from_secs(3_600);
    let after = clock.now_at_system_time(before + hour);
    assert!(after >= before + hour);
    assert!(clock.now_at_system_time(before) >= after, "a system clock that is set back changes nothing");
    assert!(clock.instant_of(after) <= Instant::now() + Duration::from_secs(1));
}
