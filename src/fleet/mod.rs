//! How the daemons of a fleet act together: who they are, what they agree on, what they tell one another.
//!
//! `forming`, `members`, `marks`, `learned`, `recovery`, `zones` and `zoning` decide and do no I/O; `driver` carries out
//! what they say, over the ways to the others; `api` answers operators. docs/fleet.md is for those.

pub mod admin_api;
pub mod bootstrap;
pub mod gossip;
pub mod membership;
pub mod message;
pub mod peer_link;
pub mod pending_drains;
pub mod recovery;
pub mod runtime;
pub mod zones;
pub mod zoning;
