//! The operator's settings and commands on zones.

use crate::time::TimeDelta;

/// How often a zone's time out of service is doubled at most: beyond that the maximum has long been reached.
const MAX_DOUBLINGS: u8 = 16;

/// How long a zone stays evacuated: exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationBackoff {
    /// The first time; twice as long each time the zone fails again soon after its return.
    pub initial: TimeDelta,
    /// The longest time.
    pub maximum: TimeDelta,
}

impl Default for EvacuationBackoff {
    fn default() -> EvacuationBackoff {
        EvacuationBackoff { initial: TimeDelta::from_secs(3), maximum: TimeDelta::from_secs(60) }
    }
}

impl EvacuationBackoff {
    /// The time out of service after this many failed returns.
    pub fn after(&self, failed_returns: u8) -> TimeDelta {
        let doublings = failed_returns.min(MAX_DOUBLINGS);
        self.initial.saturating_mul(1 << doublings).min(self.maximum)
    }
}

/// How this process evacuates zones, from its operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationPolicy {
    /// The names of the zones, in the order of their ids.
    pub zone_names: Vec<String>,
    /// Zones are evacuated and return without an operator's command.
    pub automatic: bool,
    /// How long they stay evacuated.
    pub backoff: EvacuationBackoff,
}

impl Default for EvacuationPolicy {
    fn default() -> EvacuationPolicy {
        EvacuationPolicy { zone_names: Vec::new(), automatic: true, backoff: EvacuationBackoff::default() }
    }
}

/// An operator's command on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCommand {
    /// It gets no reads, at once.
    Evacuate,
    /// It returns step by step.
    Return,
    /// It returns at once.
    ReturnNow,
    /// It keeps its weight until the next command.
    Hold,
}

/// Why a command on a zone cannot be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneCommandError {
    /// No other zone gets reads.
    #[error("it is the last zone in service")]
    LastZone,
}
