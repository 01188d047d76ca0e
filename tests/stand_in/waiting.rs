//! Waits for conditions that another thread or process makes true.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound of every wait. No wait in a passing test takes that long; one that does fails the test.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which [`eventually`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The wall clock in milliseconds since the Unix epoch.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Waits until the condition holds; panics with `expectation` after [`DEFAULT_TIMEOUT`].
pub fn eventually(expectation: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + DEFAULT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {expectation}");
        thread::sleep(POLL_INTERVAL);
    }
}
