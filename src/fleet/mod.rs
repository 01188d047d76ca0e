//! The nodes of a fleet: what they agree on, what they tell one another, and what follows for the endpoint list.
//!
//! All decisions are made without I/O, in modules that can be tested alone:
//!
//! - [`bootstrap`]: which node founds a fleet, and how handshakes are judged.
//! - [`membership`]: the leader's next change of the members.
//! - [`pending_drains`]: drains that act before they are committed.
//! - [`gossip`]: what endpoints reported to which node.
//! - [`recovery`]: in which order service returns after a start.
//! - [`zones`]: when traffic leaves a zone, and how it returns.
//!
//! [`runtime`] carries them out: start at [`runtime::Fleet`]. It uses [`message`] for what nodes send one another,
//! [`peer_link`] for the connections, and the thread of [`crate::store`] for consensus and storage. [`admin_api`]
//! answers operators.

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
