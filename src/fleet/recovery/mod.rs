//! How service returns after a start. No I/O.

pub mod first_election;
pub mod persisted;
pub mod phases;
pub mod restart_detector;

pub use self::persisted::{ClockReading, PersistedGossip, RestoredAge, restored_age};
