//! What a zone carries, and what it could carry.

use crate::store::zone_weights::FULL_WEIGHT_PERMILLE;

/// The part of a zone's capacity that traffic moved there may fill: the rest is a margin for error.
const USABLE_CAPACITY: f64 = 0.9;
/// A lower utilization than this may be rounding: it counts as this.
const MIN_UTILIZATION: f64 = 0.05;
/// What a zone bears as a multiple of what it was seen to serve, where its endpoints report no utilization: it bore
/// that much, and nobody knows how much more.
const UNREPORTED_HEADROOM: f64 = 1.25;
/// The part of each new measurement in the moving average of a zone's load.
const LOAD_SMOOTHING: f64 = 0.05;

/// What a zone carries and could carry, in requests per second of all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Reads that it would serve at its full weight.
    pub reads_rps: f64,
    /// What its endpoints bear now.
    pub capacity_rps: f64,
}

impl ZoneLoad {
    /// Reads that the zone serves at this weight.
    fn reads_at(&self, permille: u16) -> f64 {
        self.reads_rps * f64::from(permille) / f64::from(FULL_WEIGHT_PERMILLE)
    }

    /// Whether the zone bears this weight.
    pub(super) fn bears(&self, permille: u16) -> bool {
        self.capacity_rps * USABLE_CAPACITY >= self.reads_at(permille)
    }

    /// What the zone could serve beyond what it serves at this weight, in requests per second.
    pub(super) fn spare_rps(&self, permille: u16) -> f64 {
        (self.capacity_rps * USABLE_CAPACITY - self.reads_at(permille)).max(0.0)
    }
}

/// What a zone usually serves, as moving averages.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualLoad {
    /// Reads per second at the zone's full weight.
    reads_rps: f64,
    /// The part of its capacity that these take; 0: not reported.
    utilization: f64,
}

impl UsualLoad {
    pub(super) fn new(reads_rps: f64, utilization: f64) -> UsualLoad {
        UsualLoad { reads_rps, utilization }
    }

    /// Takes in another measurement.
    pub(super) fn update(&mut self, reads_rps: f64, utilization: f64) {
        self.reads_rps += (reads_rps - self.reads_rps) * LOAD_SMOOTHING;
        self.utilization += (utilization - self.utilization) * LOAD_SMOOTHING;
    }

    /// The load of a zone whose endpoints have this part of their capacity, since they warm up.
    pub(super) fn at_capacity_share(&self, capacity_share: f64) -> ZoneLoad {
        let capacity_rps = self.reads_rps * self.headroom_factor() * capacity_share;
        ZoneLoad { reads_rps: self.reads_rps, capacity_rps }
    }

    /// What the zone bears when warm, as a multiple of what it serves.
    fn headroom_factor(&self) -> f64 {
        if self.utilization >= MIN_UTILIZATION {
            1.0 / self.utilization
        } else if self.utilization > 0.0 {
            UNREPORTED_HEADROOM.max(1.0 / MIN_UTILIZATION)
        } else {
            UNREPORTED_HEADROOM
        }
    }
}
