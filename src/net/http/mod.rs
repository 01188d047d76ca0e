//! HTTP/1.1 (RFC 9112), as far as discovery, the SPARQL front, the admin server and the fleet need it.
//!
//! - [`head`]: start line and header section; [`body`]: body framing; [`form`]: URL-encoded parameters. No I/O.
//! - [`server`]: requests of clients; [`client`]: exchanges with servers
//! - [`status`]: status codes; [`error`]: why a message was rejected

pub mod body;
pub mod client;
pub mod error;
pub mod form;
pub mod head;
pub mod server;
pub mod status;
