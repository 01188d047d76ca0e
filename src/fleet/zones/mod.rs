//! Which zones a fleet evacuates, with which weights, and how traffic returns to them. No I/O.
//!
//! A zone's weight is the fraction of its usual reads that it gets; writes follow each group's primary. Each peer
//! reports the outcomes of its recent attempts in each zone ([`ZoneOutcomes`]). The leader assesses the zones by all
//! reports ([`assess_zone`]) and proposes versioned weights ([`EvacuationController`]); every peer applies the
//! committed ones. All lost zones are evacuated at once; any other move changes one zone at a time.
//!
//! - `health`, `outcomes`, `detector`: the health of a zone by one report and by all reports.
//! - `evacuation`: the next weights that the leader proposes.
//! - `local_evacuation`: zones that one peer evacuates for itself.
//! - `capacity`: the load and the capacity of a zone.
//! - `policy`: the operator's settings and commands.
//! - `state`: one peer's state of the zones, and the effect on its endpoint list.

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
