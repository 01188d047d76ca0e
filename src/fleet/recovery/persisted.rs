//! Which persisted gossip a process can use after its start.
//!
//! Persisted gossip only serves first guesses: it is not sent to peers, does not prove a log position, and is replaced
//! by whatever is observed after the start.

use crate::engine::log_rollback::LogRollback;
use crate::fleet::gossip::GossipRecord;
use crate::time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Older gossip is not used: roles and capacities may have changed since.
const MAX_PERSISTED_AGE: TimeDelta = TimeDelta::from_secs(3_600);
/// Largest drift between the machine's wall clock and its uptime; if they differ by more, the wall clock was set.
const CLOCK_DRIFT_TOLERANCE: TimeDelta = TimeDelta::from_secs(2);

/// Reading of a machine's clocks at one moment. Field order is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Wall clock, as Unix time.
    pub wall: Timestamp,
    /// Identifies the machine's boot; empty if not known.
    pub boot_id: String,
    /// Time since the machine's boot, including suspended time.
    pub uptime: TimeDelta,
}

/// Gossip as stored on disk. Field order is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedGossip {
    /// The machine's clocks when the gossip was written.
    pub written_at: ClockReading,
    /// The observations of all nodes.
    pub records: Vec<GossipRecord>,
    /// Log ranges that groups have lost. They are positions, so they stay valid whatever happened to the clock.
    pub rollbacks: Vec<LogRollback>,
}

/// The age of persisted gossip, if it can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredAge {
    /// The gossip can serve as a guess; it was written this long ago.
    Usable(TimeDelta),
    /// The gossip must be discarded.
    Unusable(UnusableReason),
}

/// Why persisted gossip cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnusableReason {
    /// The wall clock now shows an earlier time than when the gossip was written.
    ClockWentBack,
    /// The wall clock was set in between, so the age is not known.
    ClockWasSet,
    /// The gossip is older than the maximum age.
    TooOld,
}

impl fmt::Display for UnusableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnusableReason::ClockWentBack => "the clock went back",
            UnusableReason::ClockWasSet => "the clock was set",
            UnusableReason::TooOld => "it is too old",
        })
    }
}

/// The age at `now` of data that was written at `written_at`.
///
/// Time during which the machine was off is included. If the clock was set, the age is not known, and old data must not
/// count as fresh.
pub fn restored_age(written_at: &ClockReading, now: &ClockReading) -> RestoredAge {
    let age = now.wall - written_at.wall;
    if age < TimeDelta::ZERO {
        return RestoredAge::Unusable(UnusableReason::ClockWentBack);
    }
    let same_boot = !now.boot_id.is_empty() && now.boot_id == written_at.boot_id;
    if same_boot {
        let age_by_uptime = now.uptime - written_at.uptime;
        if age_by_uptime < TimeDelta::ZERO || (age_by_uptime - age).abs() > CLOCK_DRIFT_TOLERANCE {
            return RestoredAge::Unusable(UnusableReason::ClockWasSet);
        }
    }
    if age > MAX_PERSISTED_AGE {
        return RestoredAge::Unusable(UnusableReason::TooOld);
    }
    RestoredAge::Usable(age)
}

#[cfg(test)]
mod tests;
