//! How a zone looks.

use crate::ids::NodeId;
use std::collections::BTreeSet;

/// One in which so many came late against the usual of their class is slow.
const SLOW: u32 = 50;
/// One in which fewer failed or came late is sound; between the two thresholds nothing moves.
const SOUND: u32 = 10;

/// How a zone looks to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Nobody knows enough.
    Unknown,
    /// It answers in time.
    Sound,
    /// Neither well nor badly enough to move.
    Doubtful,
    /// It answers, but late.
    Slow,
    /// A majority of those who would know find nobody there.
    Lost,
    /// Only these find nobody there: the fault is between them and it.
    CutOff(BTreeSet<NodeId>),
}

/// How a zone looks that is not lost: of a hundred attempts so many came late, and so many failed.
pub(super) fn answers(late: u32, failed: u32) -> ZoneHealth {
    match () {
        _ if late >= SLOW => ZoneHealth::Slow,
        _ if late + failed < SOUND => ZoneHealth::Sound,
        _ => ZoneHealth::Doubtful,
    }
}
