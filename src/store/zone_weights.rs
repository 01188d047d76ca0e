//! The committed traffic weights of zones: the share of its usual reads that each zone receives, and the reason for
//! it.

use serde::{Deserialize, Serialize};

/// The weight, in thousandths, of a zone that receives all of its usual reads.
pub const FULL_WEIGHT_PERMILLE: u16 = 1000;

/// Why a zone has its weight. Operators see the variant names, as `Debug` prints them, in answers of the store's
/// server and in the log. The order of the variants is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightReason {
    /// The zone is in service, or its weight is being raised step by step.
    Returns,
    /// No endpoint of the zone could be reached.
    Lost,
    /// The endpoints of the zone answered late.
    Slow,
    /// An operator has set the weight. Only another command of an operator changes it.
    Operator,
}

/// The traffic weight of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWeight {
    /// The share of its usual reads that the zone receives, in thousandths; at most [`FULL_WEIGHT_PERMILLE`].
    pub permille: u16,
    /// Why the zone has this weight.
    pub reason: WeightReason,
    /// The number of changes of this zone's weight. A change takes effect only if its version is the next one, so that
    /// a decision based on an outdated weight cannot overwrite a newer weight.
    pub version: u64,
    /// How many times in a row the zone was evacuated again soon after its return. Each time lengthens the wait before
    /// the next return.
    pub failed_returns: u8,
}

impl Default for ZoneWeight {
    /// The weight of a zone whose weight was never changed.
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
    /// The next version of the weight, with a new share and reason. `permille` is capped at [`FULL_WEIGHT_PERMILLE`].
    pub fn next(&self, permille: u16, reason: WeightReason) -> ZoneWeight {
        ZoneWeight {
            permille: permille.min(FULL_WEIGHT_PERMILLE),
            reason,
            version: self.version + 1,
            failed_returns: self.failed_returns,
        }
    }
}
