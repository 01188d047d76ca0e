//! The health of a zone.

use crate::ids::NodeId;
use std::collections::BTreeSet;

/// A zone with at least this percentage of late responses is slow.
const SLOW_PERCENT: u32 = 50;
/// A zone with a lower percentage of late and failed attempts together is healthy. Between the two limits its weight
/// stays, so that a zone near one of them does not flap.
const HEALTHY_PERCENT: u32 = 10;

/// The health of a zone, assessed from the reports of all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// There are too few attempts to assess the zone.
    Unknown,
    /// The zone responds in time.
    Healthy,
    /// Some attempts fail or are late, but too few to move the zone's traffic.
    Degraded,
    /// The zone responds, but late.
    Slow,
    /// Most of the nodes that tried the zone get no response from its endpoints.
    Lost,
    /// Only these nodes get no response from the zone's endpoints: the fault lies between them and the zone.
    CutOff(BTreeSet<NodeId>),
}

impl ZoneHealth {
    /// The health as shown to operators.
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

    /// The health of a zone that is not lost, by the percentages of late and of failed attempts.
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
