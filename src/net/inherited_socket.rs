//! Inherits a listening socket for clients from the platform, so that a new process can replace an old one without
//! closing the socket.

use rustix::io::Errno;
use rustix::net::SocketType;
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;
use std::os::fd::{OwnedFd, RawFd};
use thiserror::Error;

/// Why the socket cannot be inherited. `value` is the value of the environment variable `GW_PASSED_SOCKET`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InheritedSocketError {
    /// The value is not a non-negative descriptor number.
    #[error("GW_PASSED_SOCKET={value}: not the number of a descriptor")]
    InvalidNumber {
        /// The environment variable's value.
        value: String,
    },
    /// The descriptor cannot be duplicated, usually because it is not open.
    #[error("GW_PASSED_SOCKET={value}: {source}")]
    Unavailable {
        /// The environment variable's value.
        value: String,
        /// The error of the system call.
        source: Errno,
    },
    /// The descriptor does not refer to a socket.
    #[error("GW_PASSED_SOCKET={value}: no socket")]
    NotASocket {
        /// The environment variable's value.
        value: String,
    },
    /// The socket is not a listening stream socket: it is connected, or a datagram socket.
    #[error("GW_PASSED_SOCKET={value}: a socket that does not listen")]
    NotListening {
        /// The environment variable's value.
        value: String,
    },
}

/// Returns a duplicate of the listening socket that this process inherited under the given descriptor number.
///
/// Taking ownership of a raw descriptor number would require unsafe code, since nothing proves that it has no other
/// owner. Instead, the kernel duplicates the descriptor, and the duplicate is returned as an owned descriptor.
///
/// # Errors
/// [`InheritedSocketError`] if the descriptor is not a listening stream socket.
pub fn from_descriptor(number: &str) -> Result<TcpListener, InheritedSocketError> {
    let value = || number.to_string();
    let parsed = number.trim().parse().ok().filter(|descriptor: &RawFd| *descriptor >= 0);
    let descriptor = parsed.ok_or_else(|| InheritedSocketError::InvalidNumber { value: value() })?;
    let socket = duplicate_descriptor(descriptor)
        .map_err(|source| InheritedSocketError::Unavailable { value: value(), source })?;
    let is_listening =
        socket_acceptconn(&socket).map_err(|_| InheritedSocketError::NotASocket { value: value() })?;
    if !is_listening || socket_type(&socket) != Ok(SocketType::STREAM) {
        return Err(InheritedSocketError::NotListening { value: value() });
    }
    Ok(TcpListener::from(socket))
}

fn duplicate_descriptor(descriptor: RawFd) -> Result<OwnedFd, Errno> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    pidfd_getfd(this_process, descriptor, PidfdGetfdFlags::empty())
}

#[cfg(test)]
mod tests;
