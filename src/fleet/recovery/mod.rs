//! How a process returns to service after a start. No I/O.
//!
//! - `persisted`: whether gossip read from disk is still usable, by the clocks of the machine.
//! - `first_election`: which node starts the first election after a start.
//! - `phases`: in which order groups are opened to requests, and at which rate while their endpoints are cold.
//! - `slow_start`: how much load a cold endpoint can take, and the share of it that this process may send.
//! - `restart_detector`: which endpoints have restarted while this process was in service.

pub mod first_election;
pub mod persisted;
pub mod phases;
pub mod restart_detector;
pub mod slow_start;

pub use self::persisted::{ClockReading, PersistedGossip, RestoredAge, restored_age};
