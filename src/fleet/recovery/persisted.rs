//! What a daemon that returns trusts of what it learned before. No I/O.
//!
//! What was learned from before is a first guess and nothing more: it is told to nobody, proves no position, and goes
//! as soon as anybody has heard something since.

use crate::engine::log_rollback::LogRollback;
use crate::fleet::gossip::GossipRecord;
use crate::time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

/// What has lain longer is worth nothing.
const KEPT: TimeDelta = TimeDelta::from_secs(3_600);
/// A clock that went differently from the machine by more than this was set.
const SET: TimeDelta = TimeDelta::from_secs(2);

/// The clocks of a machine at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Unix time.
    pub wall: Timestamp,
    /// Which start of the machine; empty: not known.
    pub boot: String,
    /// Since that start, sleep included.
    pub up: TimeDelta,
}

/// What was learned, as it lies on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedGossip {
    /// When it was written.
    pub at: ClockReading,
    /// What was known.
    pub words: Vec<GossipRecord>,
    /// What groups have lost. That counts whatever the clock did: it names positions, not times.
    pub breaks: Vec<LogRollback>,
}

/// What something from before is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredAge {
    /// A guess, older by so much than when it was written.
    Usable(TimeDelta),
    /// Nothing, and why.
    Unusable(&'static str),
}

/// What is to be made of something that was written at one moment and is read at another. The time when the machine
/// was off counts; a clock that was set makes it worthless rather than fresh.
pub fn restored_age(then: &ClockReading, now: &ClockReading) -> RestoredAge {
    let span = now.wall - then.wall;
    if span < TimeDelta::ZERO {
        return RestoredAge::Unusable("the clock went back");
    }
    if !now.boot.is_empty() && now.boot == then.boot {
        let truth = now.up - then.up;
        if truth < TimeDelta::ZERO || (truth - span).abs() > SET {
            return RestoredAge::Unusable("the clock was set");
        }
    }
    if span > KEPT { RestoredAge::Unusable("it has lain for too long") } else { RestoredAge::Usable(span) }
}

#[cfg(test)]
mod tests;
