//! Observations of endpoints that the peers of a fleet exchange by gossip. No I/O.
//!
//! Each peer keeps its own observations and those of others, with the age and the source of each one ([`GossipState`]).
//! Peers exchange digests of versions, then send what the other one lacks. This state is soft: it has no quorum and no
//! log, and does not prove a log position.
//!
//! Messages carry ages instead of times, since the clocks of peers may differ.
//!
//! - `record`: what is sent about one endpoint, and its version.
//! - `state`, `observation_table`: all observations, how they are merged and which are sent next.
//! - `primary_beliefs`: which endpoint of each group is believed to be the primary.
//! - `service_rate`: the rate at which an endpoint serves this process.
//! - `restored`: what was read from disk at the start, used for first guesses only.
//! - `endpoint_summary`: all of this about one endpoint, for recovery decisions.

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
