//! What operators say of zones.

use super::evacuation::EvacuationBackoff;

/// How this daemon leaves zones, by its operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationPolicy {
    /// Names of the zones, by their numbers.
    pub names: Vec<String>,
    /// EvacuationController are left and return without an operator's word.
    pub automatic: bool,
    /// How long they stay left.
    pub dwell: EvacuationBackoff,
}

/// Former name of [`EvacuationPolicy`], for the parts that still use it.
pub type Leaving = EvacuationPolicy;

impl Default for EvacuationPolicy {
    fn default() -> EvacuationPolicy {
        EvacuationPolicy { names: Vec::new(), automatic: true, dwell: EvacuationBackoff::default() }
    }
}

/// An operator's word on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCommand {
    /// No reads go there, at once.
    Evacuate,
    /// It returns step by step.
    Return,
    /// It returns at once.
    ReturnNow,
    /// It stays as it is until an operator says otherwise.
    Hold,
}
