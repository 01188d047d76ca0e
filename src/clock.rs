//! One clock for the whole program: Unix time in microseconds that never goes back.
//!
//! Positions on the sockets are Unix times, so the driver's clock is one too and the settings' zero is 0.

use crate::time::{TimeDelta, Timestamp};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that runs ahead of the monotonic clock by more than this has been set, or the machine slept.
const STEP: TimeDelta = TimeDelta::from_millis(50);

/// Unix time as read at the start, carried on by the monotonic clock. It follows the system's clock forward,
/// never back: with a clock that lags behind the hosts' a read would pass for fresher than it is.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    unix: Timestamp,
    /// Microseconds by which the system's clock ran ahead of `unix` so carried on.
    ahead: Arc<AtomicI64>,
}

/// Names how far the system's clock is taken to be off, in milliseconds: for tests of daemons whose clocks differ.
const OFFSET: &str = "BROOKPASS_CLOCK_OFFSET_MS";

fn wall() -> Timestamp {
    static OFF: OnceLock<TimeDelta> = OnceLock::new();
    let off = OFF.get_or_init(|| {
        let stated = std::env::var(OFFSET).ok().and_then(|ms| ms.parse::<i32>().ok());
        TimeDelta::from_millis(i64::from(stated.unwrap_or(0)))
    });
    let since_zero = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::ZERO + TimeDelta::from(since_zero) + *off
}

impl Clock {
    /// Reads both clocks.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), unix: wall(), ahead: Arc::default() }
    }

    /// The present.
    pub fn now(&self) -> Timestamp {
        self.follow(wall())
    }

    fn follow(&self, wall: Timestamp) -> Timestamp {
        let base = self.unix + TimeDelta::from(self.started.elapsed());
        let now = base + TimeDelta::from_micros(self.ahead.load(Ordering::Relaxed));
        if wall > now + STEP {
            let ahead = (wall - base).as_micros();
            return base + TimeDelta::from_micros(self.ahead.fetch_max(ahead, Ordering::Relaxed).max(ahead));
        }
        now
    }

    /// Which start of the machine this is, and how long ago it was, sleep included; empty and 0 where the system
    /// does not tell.
    pub fn machine() -> (String, TimeDelta) {
        let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
        let up = read("/proc/uptime").split(' ').next().and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.0);
        (read("/proc/sys/kernel/random/boot_id").trim().to_string(), TimeDelta::from_micros_f64(up * 1e6))
    }

    /// The instant of a point in time; one that lies before the start is the start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let since = at - self.unix - TimeDelta::from_micros(self.ahead.load(Ordering::Relaxed));
        self.started + since.to_duration()
    }
}

#[cfg(test)]
mod tests;
