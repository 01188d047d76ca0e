//! What of the gossip on disk a process can use after its start.
//!
//! Persisted gossip is a first guess and nothing more: it is sent to nobody, proves no log position, and gives way to
//! whatever is observed after the start.

use crate::engine::log_rollback::LogRollback;
use crate::fleet::gossip::GossipRecord;
use crate::time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Older gossip is not used: roles and capacities may have changed since.
const MAX_PERSISTED_AGE: TimeDelta = TimeDelta::from_secs(3_600);
/// Wall clock and uptime of the machine may drift apart by this; if they differ by more, the clock was set.
const CLOCK_DRIFT_TOLERANCE: TimeDelta = TimeDelta::from_secs(2);

/// The clocks of a machine at one moment. Field order is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Unix time.
    pub wall: Timestamp,
    /// Identifies the machine's start; empty: not known.
    pub boot_id: String,
    /// Time since the machine's start, suspended time included.
    pub uptime: TimeDelta,
}

/// Gossip as it is kept on disk. Field order is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedGossip {
    /// When it was written.
    pub written_at: ClockReading,
    /// All observations.
    pub records: Vec<GossipRecord>,
    /// The ranges that groups have lost from their logs. They count whatever the clock did: they are positions.
    pub rollbacks: Vec<LogRollback>,
}

/// Whether persisted gossip can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredAge {
    /// As a guess; it was written this long ago.
    Usable(TimeDelta),
    /// Not at all.
    Unusable(UnusableReason),
}

/// Why persisted gossip cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnusableReason {
    /// It was written in what is now the future.
    ClockWentBack,
    /// The wall clock was set since, so that its age is not known.
    ClockWasSet,
    /// It is older than anything that is still used.
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

/// The age at `now` of something written at `written_at`.
///
/// Time during which the machine was off counts. Where the clock was set, the age is not known, and what was written
/// must not pass for fresh.
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
