//! Which zones the fleet leaves, in which shares, and how it returns. No I/O.
//!
//! Each daemon says what it saw of each zone within the last moments ([`ZoneOutcomes`]). The leader weighs what all say
//! ([`judge`]) and moves zones by agreed changes with a number ([`EvacuationController::next`]): all that are lost at once, otherwise one
//! at a time. Every daemon acts on the same ones. A share is the part of its usual reads that a zone gets; writes follow each group's primary.

mod capacity;
mod detector;
mod evacuation;
mod health;
mod local_evacuation;
mod outcomes;
mod policy;
mod state;

pub use self::capacity::{ZoneLoad, headroom_factor};
pub use self::detector::{ZoneReports, assess_zone};
pub use self::evacuation::{Dwell, EvacuationBackoff, EvacuationController, FIRST_RETURN_PERMILLE};
pub use self::health::ZoneHealth;
pub use self::local_evacuation::LocalEvacuation;
pub use self::outcomes::ZoneOutcomes;
pub use self::policy::{EvacuationPolicy, Leaving, ZoneCommand};
pub use self::state::{ZoneState, assess_zones, groups_confined_to, populated_zones};

#[cfg(test)]
mod tests;
