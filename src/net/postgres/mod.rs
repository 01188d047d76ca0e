//! PostgreSQL's frontend/backend protocol, version 3, limited to the simple query protocol: the front that clients
//! connect to, and the connections to endpoints.
//!
//! - Both sides: [`codec`] (encoding and decoding of messages), [`sqlstate`] (error codes)
//! - Client side: [`front`] (connections and requests), [`session`] (protocol state machine without I/O), [`statement`]
//!   (routing comment of a statement), [`client_error`] (error responses to clients)
//! - Endpoint side: [`endpoint`] (connections and exchanges), [`response`] (incremental parser of an endpoint's answer)

pub mod client_error;
pub mod codec;
pub mod endpoint;
pub mod front;
pub mod response;
pub mod session;
pub mod sqlstate;
pub mod statement;
