//! The SPARQL 1.1 Protocol over HTTP: the front for clients, and the backend protocol for endpoints.
//!
//! Operations and content negotiation are forwarded without being interpreted. The pooler takes what it needs from
//! [`headers`] of its own, see `docs/sparql.md`.
//!
//! - clients: [`front`] (connections and requests), [`operation`] (a query or an update), [`error`] (reasons for
//!   rejecting an operation), [`client_error`] (error responses)
//! - endpoints: [`endpoint`] (exchanges with endpoints), [`response_head`] (interpretation of their responses)

pub mod client_error;
pub mod endpoint;
pub mod error;
pub mod front;
pub mod headers;
pub mod operation;
pub mod response_head;
