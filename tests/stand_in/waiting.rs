//! Waiting for what another thread or process brings about.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound of every wait. Nothing in these tests takes that long, so a wait that reaches it fails its
/// test.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The wall clock in milliseconds since 1970.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Waits until the condition holds; panics with `expectation` after [`DEFAULT_TIMEOUT`].
pub fn eventually(expectation: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + DEFAULT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {expectation}");
        thread::sleep(POLL_INTERVAL);
    }
}
