//! The nodes of a fleet: the state on which they reach consensus, the messages that they exchange, and the endpoint
//! list that each node derives from both.
//!
//! All decisions are made in modules without I/O, which can be tested on their own:
//!
//! - [`bootstrap`]: which node founds a fleet, and which handshakes are accepted.
//! - [`membership`]: the next membership change that the leader proposes.
//! - [`pending_drains`]: drains that take effect before they are committed.
//! - [`gossip`]: observations of endpoints that the nodes exchange.
//! - [`log_loss`]: which commits of a group were lost.
//! - [`recovery`]: the order in which service is restored after a start.
//! - [`zones`]: when traffic is moved out of a zone, and how it returns.
//!
//! [`runtime`] executes the decisions; start reading at [`runtime::Fleet`]. It uses [`message`] for the messages
//! between nodes, [`peer_link`] for the connections, and the thread of [`crate::store`] for consensus and storage.
//! [`admin_api`] serves the requests of operators.

pub mod admin_api;
pub mod bootstrap;
pub mod gossip;
pub mod log_loss;
pub mod membership;
pub mod message;
pub mod peer_link;
pub mod pending_drains;
pub mod recovery;
pub mod runtime;
pub mod zones;
