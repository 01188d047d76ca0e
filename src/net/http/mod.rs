//! HTTP/1.1 (RFC 9112), limited to what discovery, the SPARQL protocol, the admin servers and the fleet need.
//!
//! - [`head`]: start line and headers; [`body`]: body framing; [`form`]: URL-encoded parameters. No I/O.
//! - [`server`]: reads requests and encodes responses; [`client`]: sends requests and reads responses.
//! - [`status`]: status codes; [`error`]: reasons for rejecting a message.

pub mod body;
pub mod client;
pub mod error;
pub mod form;
pub mod head;
pub mod server;
pub mod status;
