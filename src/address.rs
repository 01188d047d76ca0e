//! Parsing of socket addresses from configuration files and from discovery.

use std::net::SocketAddr;
use thiserror::Error;

/// A text that does not parse as an IP address with a port.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{what}: {text:?} is not an address with a port")]
pub struct AddressError {
    /// Where the text comes from: a key, a variable or an endpoint.
    pub what: String,
    /// The text that does not parse.
    pub text: String,
}

/// Parses an address with a port; `what` names its origin in the error.
///
/// # Errors
/// [`AddressError`] if `text` is not an IP address with a port.
pub fn parse_address(text: &str, what: &str) -> Result<SocketAddr, AddressError> {
    text.parse().map_err(|_| AddressError { what: what.to_string(), text: text.to_string() })
}
