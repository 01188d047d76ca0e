//! The clients' listening socket where the platform holds it, so that one process can succeed another on it.

use rustix::io::Errno;
use rustix::net::SocketType;
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;
use std::os::fd::{OwnedFd, RawFd};
use thiserror::Error;

/// Why the clients' socket cannot be inherited. `value` is the value of the environment variable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InheritedSocketError {
    /// The value is no number of a descriptor.
    #[error("GW_PASSED_SOCKET={value}: not the number of a descriptor")]
    InvalidNumber {
        /// The value.
        value: String,
    },
    /// The process cannot copy a descriptor of this number.
    #[error("GW_PASSED_SOCKET={value}: {source}")]
    Unavailable {
        /// The value.
        value: String,
        /// The error of the system.
        source: Errno,
    },
    /// The descriptor is something else than a socket.
    #[error("GW_PASSED_SOCKET={value}: no socket")]
    NotASocket {
        /// The value.
        value: String,
    },
    /// The socket is connected, or carries datagrams.
    #[error("GW_PASSED_SOCKET={value}: a socket that does not listen")]
    NotListening {
        /// The value.
        value: String,
    },
}

/// The listening socket that the process inherited as the descriptor of this number.
///
/// A descriptor of which only the number is known has no owner in this process, and to take ownership of it would be
/// unsafe: the kernel is asked for a copy, which has one.
///
/// # Errors
/// [`InheritedSocketError`] where the number leads to no listening stream socket.
pub fn from_descriptor(number: &str) -> Result<TcpListener, InheritedSocketError> {
    let value = || number.to_string();
    let parsed = number.trim().parse().ok().filter(|descriptor: &RawFd| *descriptor >= 0);
    let descriptor = parsed.ok_or_else(|| InheritedSocketError::InvalidNumber { value: value() })?;
    let socket = copy_descriptor(descriptor)
        .map_err(|source| InheritedSocketError::Unavailable { value: value(), source })?;
    let listens =
        socket_acceptconn(&socket).map_err(|_| InheritedSocketError::NotASocket { value: value() })?;
    if !listens || socket_type(&socket) != Ok(SocketType::STREAM) {
        return Err(InheritedSocketError::NotListening { value: value() });
    }
    Ok(TcpListener::from(socket))
}

fn copy_descriptor(descriptor: RawFd) -> Result<OwnedFd, Errno> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    pidfd_getfd(this_process, descriptor, PidfdGetfdFlags::empty())
}

#[cfg(test)]
mod tests;
