//! How the clock handles steps of the system clock.

use super::*;
use std::time::Duration;

/// Guards against a clock that lags after the machine was suspended: the monotonic clock stands still during suspend
/// while the backends keep committing.
#[test]
fn it_follows_the_system_clock_forward_and_never_back() {
    let clock = Clock::start();
    let before = clock.now_at_system_time(clock.unix_at_start);
    let hour = TimeDelta::from_secs(3_600);
    let after = clock.now_at_system_time(before + hour);
    assert!(after >= before + hour);
    assert!(clock.now_at_system_time(before) >= after, "setting the system clock back has no effect");
    assert!(clock.instant_of(after) <= Instant::now() + Duration::from_secs(1));
}
