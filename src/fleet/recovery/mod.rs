//! How service returns after a start. No I/O.
//!
//! - `persisted`: what of the gossip on disk can still be used, judged by the machine's clocks.
//! - `first_election`: which node starts the first election after a start.
//! - `phases`: in which order groups are admitted again, and at which rate while their endpoints are cold.
//! - `slow_start`: what a cold endpoint bears, and this process's share of it.
//! - `restart_detector`: which endpoints have restarted while this process was in service.

pub mod first_election;
pub mod persisted;
pub mod phases;
pub mod restart_detector;
pub mod slow_start;

pub use self::persisted::{ClockReading, PersistedGossip, RestoredAge, restored_age};
