//! Addresses with a port, as configuration files and discovery state them.

use std::net::SocketAddr;
use thiserror::Error;

/// A text that should be an address with a port.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{what}: {text:?} is not an address with a port")]
pub struct AddressError {
    /// The key, the variable or the endpoint that states it.
    pub what: String,
    /// The text.
    pub text: String,
}

/// Reads an address with a port; `what` names its place in an error.
///
/// # Errors
/// [`AddressError`].
pub fn parse_address(text: &str, what: &str) -> Result<SocketAddr, AddressError> {
    text.parse().map_err(|_| AddressError { what: what.to_string(), text: text.to_string() })
}
