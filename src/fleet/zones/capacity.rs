//! The load and the capacity of a zone.

use crate::store::zone_weights::FULL_WEIGHT_PERMILLE;

/// The fraction of a zone's capacity that traffic moved there may use: the rest is a margin for measurement error.
const USABLE_CAPACITY: f64 = 0.9;
/// A lower non-zero utilization may be a rounding error and counts as this.
const MIN_UTILIZATION: f64 = 0.05;
/// Assumed capacity of a zone whose endpoints report no utilization, as a multiple of what it served: it handled that
/// load, and its reserve beyond it is unknown.
const UNREPORTED_CAPACITY_FACTOR: f64 = 1.25;
/// Weight of each new measurement in the moving average of a zone's load.
const LOAD_SMOOTHING: f64 = 0.05;

/// The load and the capacity of a zone, in requests per second from all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Reads that the zone serves at its full weight.
    pub reads_rps: f64,
    /// What the zone's endpoints can serve now.
    pub capacity_rps: f64,
}

impl ZoneLoad {
    /// Reads per second that the zone serves at this weight.
    fn reads_rps_at(&self, permille: u16) -> f64 {
        self.reads_rps * f64::from(permille) / f64::from(FULL_WEIGHT_PERMILLE)
    }

    /// Whether the zone has the capacity for this weight.
    pub(super) fn has_capacity_for(&self, permille: u16) -> bool {
        self.capacity_rps * USABLE_CAPACITY >= self.reads_rps_at(permille)
    }

    /// Requests per second that the zone could serve in addition to its reads at this weight.
    pub(super) fn spare_rps(&self, permille: u16) -> f64 {
        (self.capacity_rps * USABLE_CAPACITY - self.reads_rps_at(permille)).max(0.0)
    }
}

/// The usual load of a zone, as moving averages.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualLoad {
    /// Reads per second at the zone's full weight.
    reads_rps: f64,
    /// The fraction of the zone's capacity that these reads take; 0 if not reported.
    utilization: f64,
}

impl UsualLoad {
    pub(super) fn new(reads_rps: f64, utilization: f64) -> UsualLoad {
        UsualLoad { reads_rps, utilization }
    }

    /// Adds a measurement to the averages.
    pub(super) fn update(&mut self, reads_rps: f64, utilization: f64) {
        self.reads_rps += (reads_rps - self.reads_rps) * LOAD_SMOOTHING;
        self.utilization += (utilization - self.utilization) * LOAD_SMOOTHING;
    }

    /// The load of a zone whose endpoints currently have this fraction of their capacity because they are warming up.
    pub(super) fn at_capacity_share(&self, capacity_share: f64) -> ZoneLoad {
        let capacity_rps = self.reads_rps * self.capacity_factor() * capacity_share;
        ZoneLoad { reads_rps: self.reads_rps, capacity_rps }
    }

    /// The zone's capacity when warm, as a multiple of its usual load.
    fn capacity_factor(&self) -> f64 {
        if self.utilization >= MIN_UTILIZATION {
            1.0 / self.utilization
        } else if self.utilization > 0.0 {
            UNREPORTED_CAPACITY_FACTOR.max(1.0 / MIN_UTILIZATION)
        } else {
            UNREPORTED_CAPACITY_FACTOR
        }
    }
}
