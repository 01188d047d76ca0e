//! One clock for the whole program: Unix time in microseconds that never goes back.
//!
//! Positions on the sockets are Unix times, so the driver's clock is one too and the settings' zero is 0.

use crate::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time as read once at the start, carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// Reads both clocks.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The present.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// The instant of a point in time; one that lies before the start is the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros((at - self.unix).max(0) as u64)
    }
}
