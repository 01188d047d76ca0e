//! One clock for the whole program: Unix time in microseconds that never goes back.
//!
//! Log positions on the sockets are Unix times, so that the settings' zero is 0 and [`Timestamp::ZERO`] is the Unix
//! epoch.

use crate::time::{TimeDelta, Timestamp};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that is ahead of the monotonic clock by more than this was stepped, or the machine slept. Smaller
/// differences are the two clocks' drift, which is not followed.
const STEP_THRESHOLD: TimeDelta = TimeDelta::from_millis(50);

/// Shifts the system's clock by this many milliseconds, for tests of daemons whose clocks differ.
const OFFSET_VARIABLE: &str = "BROOKPASS_CLOCK_OFFSET_MS";

/// Unix time as read at the start, advanced by the monotonic clock. Clones are the same clock.
///
/// It follows steps of the system's clock forward, never back: with a clock behind those of the backends a read would
/// be taken for fresher than it is.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    unix_at_start: Timestamp,
    /// Microseconds by which the system's clock was stepped forward since the start.
    stepped_micros: Arc<AtomicI64>,
}

impl Clock {
    /// Reads both clocks.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), unix_at_start: system_time(), stepped_micros: Arc::default() }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.now_at_system_time(system_time())
    }

    /// The present time, where the system's clock reads `system_now`.
    fn now_at_system_time(&self, system_now: Timestamp) -> Timestamp {
        let unstepped = self.unix_at_start + TimeDelta::from(self.started.elapsed());
        let now = unstepped + TimeDelta::from_micros(self.stepped_micros.load(Ordering::Relaxed));
        if system_now <= now + STEP_THRESHOLD {
            return now;
        }
        let step = (system_now - unstepped).as_micros();
        // Another thread may have followed a larger step meanwhile.
        let largest_step = self.stepped_micros.fetch_max(step, Ordering::Relaxed).max(step);
        unstepped + TimeDelta::from_micros(largest_step)
    }

    /// Identity of the machine's present boot, and the time since then, sleep included; empty and 0 where the system
    /// states none.
    pub fn boot_id_and_uptime() -> (String, TimeDelta) {
        let boot_id = read_or_empty("/proc/sys/kernel/random/boot_id").trim().to_string();
        let uptime = read_or_empty("/proc/uptime");
        let uptime_secs = uptime.split(' ').next().and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        (boot_id, TimeDelta::from_micros_f64(uptime_secs * 1e6))
    }

    /// The instant of a point in time; one before the clock's start is the start.
    pub fn instant_of(&self, time: Timestamp) -> Instant {
        let stepped = TimeDelta::from_micros(self.stepped_micros.load(Ordering::Relaxed));
        let since_start = time - self.unix_at_start - stepped;
        self.started + since_start.to_duration()
    }
}

/// The system's clock, with the offset of [`OFFSET_VARIABLE`].
fn system_time() -> Timestamp {
    static OFFSET: OnceLock<TimeDelta> = OnceLock::new();
    let offset = *OFFSET.get_or_init(|| {
        let millis = std::env::var(OFFSET_VARIABLE).ok().and_then(|text| text.parse::<i32>().ok());
        TimeDelta::from_millis(i64::from(millis.unwrap_or(0)))
    });
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::ZERO + TimeDelta::from(since_epoch) + offset
}

fn read_or_empty(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

#[cfg(test)]
mod tests;
