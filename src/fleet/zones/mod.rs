//! Which zones a fleet evacuates, to which weight, and how it returns to them. No I/O.
//!
//! A zone's weight is the part of its usual reads that it gets; writes follow each group's primary. Each peer reports
//! what became of its recent attempts in each zone ([`ZoneOutcomes`]). The leader judges the zones by all reports
//! ([`assess_zone`]) and proposes weights with a version ([`EvacuationController`]); every peer acts on the committed
//! ones. All lost zones are evacuated at once, any other move is one zone's.
//!
//! - `health`, `outcomes`, `detector`: what is wrong with a zone, by one report and by all of them.
//! - `evacuation`: the next weights that the leader proposes.
//! - `local_evacuation`: what one peer does for itself.
//! - `capacity`: what a zone carries, and what it could carry.
//! - `policy`: the operator's settings and commands.
//! - `state`: all that one peer knows, and how its endpoint list follows.

mod capacity;
mod detector;
mod evacuation;
mod health;
mod local_evacuation;
mod outcomes;
mod policy;
mod state;

pub use self::capacity::ZoneLoad;
pub use self::detector::{ZoneReport, ZoneReports, assess_zone};
pub use self::evacuation::{EvacuationController, FIRST_RETURN_PERMILLE, ZoneMove};
pub use self::health::ZoneHealth;
pub use self::local_evacuation::LocalEvacuation;
pub use self::outcomes::ZoneOutcomes;
pub use self::policy::{EvacuationBackoff, EvacuationPolicy, ZoneCommand, ZoneCommandError};
pub use self::state::{EndpointPlacement, ZoneState, assess_zones, groups_confined_to, populated_zones};

#[cfg(test)]
mod tests;
