//! How a zone looks.

use crate::ids::NodeId;
use std::collections::BTreeSet;

/// From this part of late answers on a zone is slow.
const SLOW_PERCENT: u32 = 50;
/// Below this part of late and failed attempts together a zone is healthy. Between the two limits nothing moves, so that
/// a zone near one of them does not flap.
const HEALTHY_PERCENT: u32 = 10;

/// How a zone looks to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Too few attempts to tell.
    Unknown,
    /// It answers in time.
    Healthy,
    /// Some attempts fail or are late, too few to move its traffic.
    Degraded,
    /// It answers, but late.
    Slow,
    /// Most of the nodes that tried find no endpoint there.
    Lost,
    /// Only these nodes find no endpoint there: the fault lies between them and the zone.
    CutOff(BTreeSet<NodeId>),
}

impl ZoneHealth {
    /// The health as operators read it.
    pub fn label(&self) -> &'static str {
        match self {
            ZoneHealth::Unknown => "unknown",
            ZoneHealth::Healthy => "sound",
            ZoneHealth::Degraded => "doubtful",
            ZoneHealth::Slow => "slow",
            ZoneHealth::Lost => "lost",
            ZoneHealth::CutOff(_) => "cut off",
        }
    }

    /// The health of a zone that is not lost, by the percentage of its attempts that were late and that failed.
    pub(super) fn of_reachable_zone(late_percent: u32, failed_percent: u32) -> ZoneHealth {
        if late_percent >= SLOW_PERCENT {
            ZoneHealth::Slow
        } else if late_percent + failed_percent < HEALTHY_PERCENT {
            ZoneHealth::Healthy
        } else {
            ZoneHealth::Degraded
        }
    }
}
