//! The agreed shares of zones: which part of its usual reads each gets, and why. No I/O.

use serde::{Deserialize, Serialize};

/// The whole of a zone's share.
pub const FULL_WEIGHT_PERMILLE: u16 = 1000;

/// Why a zone's share is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightReason {
    /// It is in service, or on its way there.
    Returns,
    /// Nobody was found there.
    Lost,
    /// It answered late.
    Slow,
    /// An operator has said so: it returns on an operator's word only.
    Operator,
}

/// A zone's share, as it is agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWeight {
    /// Thousandths of its usual reads.
    pub permille: u16,
    /// Why.
    pub reason: WeightReason,
    /// Counts the moves of the zone: a later one is never undone by an earlier one.
    pub version: u64,
    /// Times that it was left and failed again soon after.
    pub failed_returns: u8,
}

impl Default for ZoneWeight {
    fn default() -> ZoneWeight {
        ZoneWeight {
            permille: FULL_WEIGHT_PERMILLE,
            reason: WeightReason::Returns,
            version: 0,
            failed_returns: 0,
        }
    }
}

impl ZoneWeight {
    /// The next move of the zone.
    pub fn next(&self, part: u16, why: WeightReason) -> ZoneWeight {
        ZoneWeight {
            permille: part.min(FULL_WEIGHT_PERMILLE),
            reason: why,
            version: self.version + 1,
            failed_returns: self.failed_returns,
        }
    }
}
