//! One clock for the whole program: Unix time in microseconds that never goes back.
//!
//! Log positions are Unix times in the wire protocols, so the daemon replaces the zero in the settings by
//! [`Timestamp::ZERO`], the Unix epoch.

use crate::time::{TimeDelta, Timestamp};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// If the system clock is ahead of the monotonic clock by more than this, it was stepped or the machine was suspended.
/// Smaller differences are drift between the two clocks and are ignored.
const STEP_THRESHOLD: TimeDelta = TimeDelta::from_millis(50);

/// Environment variable with an offset in milliseconds that is added to the system clock, for tests with daemons whose
/// clocks differ.
const OFFSET_VARIABLE: &str = "BROOKPASS_CLOCK_OFFSET_MS";

/// The Unix time at the start of the process, advanced by the monotonic clock. Clones share their state.
///
/// The clock follows forward steps of the system clock, but never goes back: if it were behind the clocks of the
/// backends, reads would look fresher than they are.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    unix_at_start: Timestamp,
    /// Microseconds by which the system clock was stepped forward since the start.
    stepped_micros: Arc<AtomicI64>,
}

/// The current boot of the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootInfo {
    /// The kernel's random id of the boot; empty on systems that do not provide it.
    pub boot_id: String,
    /// The time since boot, including suspend; zero on systems that do not provide it.
    pub uptime: TimeDelta,
}

impl Clock {
    /// Starts the clock from the current readings of the system clock and the monotonic clock.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), unix_at_start: system_time(), stepped_micros: Arc::default() }
    }

    /// The current Unix time of this clock, which never goes back.
    pub fn now(&self) -> Timestamp {
        self.now_at_system_time(system_time())
    }

    /// The current time, given that the system clock reads `system_now`.
    fn now_at_system_time(&self, system_now: Timestamp) -> Timestamp {
        let unstepped = self.unix_at_start + TimeDelta::from(self.started.elapsed());
        let now = unstepped + TimeDelta::from_micros(self.stepped_micros.load(Ordering::Relaxed));
        if system_now <= now + STEP_THRESHOLD {
            return now;
        }
        let step = (system_now - unstepped).as_micros();
        // Another thread may have recorded a larger step in the meantime.
        let largest_step = self.stepped_micros.fetch_max(step, Ordering::Relaxed).max(step);
        unstepped + TimeDelta::from_micros(largest_step)
    }

    /// Reads the kernel's boot id and the time since boot.
    pub fn boot_info() -> BootInfo {
        let boot_id = read_or_empty("/proc/sys/kernel/random/boot_id").trim().to_string();
        let uptime = read_or_empty("/proc/uptime");
        let uptime_secs = uptime.split(' ').next().and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        BootInfo { boot_id, uptime: TimeDelta::from_micros_f64(uptime_secs * 1e6) }
    }

    /// Converts a timestamp to an [`Instant`]. A timestamp before the clock was started maps to the start.
    pub fn instant_of(&self, time: Timestamp) -> Instant {
        let stepped = TimeDelta::from_micros(self.stepped_micros.load(Ordering::Relaxed));
        let since_start = time - self.unix_at_start - stepped;
        self.started + since_start.to_duration()
    }
}

/// The system clock plus the offset from [`OFFSET_VARIABLE`].
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
