//! Reports when the main thread's tasks had to wait for one another.

use async_io::Timer;
use std::time::{Duration, Instant};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A delay of a timer above this is reported. Client timeouts on the platform are half a second and more.
const REPORTED_DELAY: Duration = Duration::from_millis(100);

/// Logs a warning whenever a timer fires late, because a task kept the thread or the process did not run; never returns.
pub async fn report_stalls() {
    loop {
        let due_at = Instant::now() + CHECK_INTERVAL;
        Timer::at(due_at).await;
        let delay = due_at.elapsed();
        if delay > REPORTED_DELAY {
            log::warn!("main thread: tasks were delayed by {} ms", delay.as_millis());
        }
    }
}
