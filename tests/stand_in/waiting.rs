//! Waiting for what another thread or process brings about.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing here takes so long; a wait that does has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Waits for a condition that another thread brings about.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
