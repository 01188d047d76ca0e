//! The operator's settings and commands for zones.

use crate::time::TimeDelta;

/// The evacuation time is doubled at most this often: by then the maximum has long been reached.
const MAX_DOUBLINGS: u8 = 16;

/// How long a zone stays evacuated: an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationBackoff {
    /// The time for the first evacuation; doubled each time the zone fails again soon after its return.
    pub initial: TimeDelta,
    /// The upper limit of the time.
    pub maximum: TimeDelta,
}

impl Default for EvacuationBackoff {
    fn default() -> EvacuationBackoff {
        EvacuationBackoff { initial: TimeDelta::from_secs(3), maximum: TimeDelta::from_secs(60) }
    }
}

impl EvacuationBackoff {
    /// The evacuation time after this many failed returns.
    pub fn after(&self, failed_returns: u8) -> TimeDelta {
        let doublings = failed_returns.min(MAX_DOUBLINGS);
        self.initial.saturating_mul(1 << doublings).min(self.maximum)
    }
}

/// How this process evacuates zones, as set in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationPolicy {
    /// The names of the zones, in the order of their ids.
    pub zone_names: Vec<String>,
    /// Whether zones are evacuated and return without an operator's command.
    pub automatic: bool,
    /// How long they stay evacuated.
    pub backoff: EvacuationBackoff,
}

impl Default for EvacuationPolicy {
    fn default() -> EvacuationPolicy {
        EvacuationPolicy { zone_names: Vec::new(), automatic: true, backoff: EvacuationBackoff::default() }
    }
}

/// An operator's command for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCommand {
    /// Stop the zone's reads at once.
    Evacuate,
    /// Return the zone to service step by step.
    Return,
    /// Return the zone to its full weight at once.
    ReturnNow,
    /// Keep the zone's current weight until the next command.
    Hold,
}

/// Why a command for a zone cannot be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneCommandError {
    /// No other zone gets reads.
    #[error("it is the last zone in service")]
    LastZone,
}
