//! PostgreSQL's frontend/backend protocol, version 3, with simple queries only: the front that the platform's clients
//! connect to, and the host side.
//!
//! - [`codec`]: messages from and to bytes; [`sqlstate`]: error codes
//! - clients: [`front`] (connections and requests), [`session`] (state machine without I/O), [`statement`] (a
//!   statement's comment), [`client_error`] (what a client receives in place of rows)
//! - hosts: [`host`] (connections and exchanges), [`response`] (parser of what a host answers)

pub mod client_error;
pub mod codec;
pub mod front;
pub mod host;
pub mod response;
pub mod session;
pub mod sqlstate;
pub mod statement;
