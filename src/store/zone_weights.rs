//! The agreed shares of zones: which part of its usual reads each gets, and why. No I/O.

use serde::{Deserialize, Serialize};

/// The whole of a zone's share.
pub const WHOLE: u16 = 1000;

/// Why a zone's share is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
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
pub struct Share {
    /// Thousandths of its usual reads.
    pub part: u16,
    /// Why.
    pub why: Why,
    /// Counts the moves of the zone: a later one is never undone by an earlier one.
    pub number: u64,
    /// Times that it was left and failed again soon after.
    pub failed: u8,
}

impl Default for Share {
    fn default() -> Share {
        Share { part: WHOLE, why: Why::Returns, number: 0, failed: 0 }
    }
}

impl Share {
    /// The next move of the zone.
    pub fn then(&self, part: u16, why: Why) -> Share {
        Share { part: part.min(WHOLE), why, number: self.number + 1, failed: self.failed }
    }
}
