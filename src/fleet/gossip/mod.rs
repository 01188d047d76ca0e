//! What the peers of a fleet know about endpoints, spread by gossip. No I/O.
//!
//! Each peer keeps what it observed itself and what others observed, with the age and the source of every
//! observation ([`GossipState`]). Peers exchange digests of versions and then send what the other one lacks. This
//! state is soft: it has no quorum and no log, and nothing in it proves a log position to anybody.
//!
//! Messages carry ages, never points in time: the clocks of peers may differ.
//!
//! - `record`: what is sent about one endpoint, and its version.
//! - `state`, `observation_table`: all observations, their merge and what is sent next.
//! - `primary_beliefs`: which endpoint of each group is believed to be the primary.
//! - `service_rate`: how much an endpoint serves for this process.
//! - `restored`: what the disk held from before this start, good for first guesses only.
//! - `endpoint_summary`: all of that about one endpoint, for the decisions on recovery.

mod endpoint_summary;
mod observation_table;
mod primary_beliefs;
mod record;
mod restored;
mod service_rate;
mod state;

pub use self::endpoint_summary::EndpointSummary;
pub use self::primary_beliefs::PrimaryBelief;
pub use self::record::{GossipDigest, GossipRecord, GossipVersion};
pub use self::restored::RestoredPrimary;
pub use self::state::{GossipState, GossipUrgency};

#[cfg(test)]
mod tests;
