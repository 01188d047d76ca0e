//! The committed traffic weights of zones: which part of its usual reads each zone gets, and why. No I/O.

use serde::{Deserialize, Serialize};

/// The weight of a zone that gets all of its usual reads, in thousandths.
pub const FULL_WEIGHT_PERMILLE: u16 = 1000;

/// Why a zone has its weight. Operators read the names of the variants, as `Debug` prints them, in answers and in the
/// log; their order is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightReason {
    /// The zone is in service, or its weight is being raised step by step.
    Returns,
    /// No endpoint of the zone was reached.
    Lost,
    /// The zone's endpoints answered late.
    Slow,
    /// An operator has set the weight: only an operator's command changes it.
    Operator,
}

/// The weight of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWeight {
    /// The thousandths of its usual reads that the zone gets; at most [`FULL_WEIGHT_PERMILLE`].
    pub permille: u16,
    /// Why.
    pub reason: WeightReason,
    /// The number of changes of this zone's weight. A change is committed only if it follows the last one, so that a
    /// decision on an older weight cannot undo a newer one.
    pub version: u64,
    /// How often in a row the zone was evacuated again soon after its return. Grows the wait before the next return.
    pub failed_returns: u8,
}

impl Default for ZoneWeight {
    /// The weight of a zone that was never changed.
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
    /// The weight after the next change of the zone. More than [`FULL_WEIGHT_PERMILLE`] counts as that.
    pub fn next(&self, permille: u16, reason: WeightReason) -> ZoneWeight {
        ZoneWeight {
            permille: permille.min(FULL_WEIGHT_PERMILLE),
            reason,
            version: self.version + 1,
            failed_returns: self.failed_returns,
        }
    }
}
