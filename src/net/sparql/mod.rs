//! SPARQL 1.1 Protocol over HTTP: the front for clients, and the host side.
//!
//! Operations and content negotiation pass through unread. What the pooler itself needs is in [`headers`] of its own:
//! see `docs/sparql.md`.
//!
//! - clients: [`front`] (connections and requests), [`operation`] (a query or an update), [`error`] (why a request is
//!   no operation), [`client_error`] (what a client receives in place of an answer)
//! - endpoints: [`endpoint`] (exchanges), [`response_head`] (what a host's response means)

pub mod client_error;
pub mod endpoint;
pub mod error;
pub mod front;
pub mod headers;
pub mod operation;
pub mod response_head;
