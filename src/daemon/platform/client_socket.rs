//! The listening socket for clients: bound by this process, or inherited from the platform.

use crate::config::Limits;
use crate::daemon::DaemonError;
use crate::daemon::signals::SignalStream;
use crate::net::{inherited_socket, listener};
use crate::platform_config::PlatformConfig;
use async_io::Async;
use std::net::TcpListener;

/// Returns the inherited socket if there is one. Otherwise binds a new one, waiting for the address to become free;
/// `None` if SIGTERM is delivered first.
///
/// # Errors
/// [`DaemonError::InheritedSocket`] or [`DaemonError::InheritedSocketIo`] if the inherited socket cannot be used,
/// [`DaemonError::Listen`] if the address cannot be bound.
pub async fn open(
    config: &PlatformConfig,
    limits: &Limits,
    terminate: &mut SignalStream,
) -> Result<Option<Async<TcpListener>>, DaemonError> {
    if let Some(descriptor) = &config.inherited_socket {
        return inherit(descriptor).map(Some);
    }
    let address = config.listen;
    let opened = terminate.unless_received(listener::bind_when_free(address, limits)).await;
    opened.transpose().map_err(|source| DaemonError::Listen { address, source })
}

fn inherit(descriptor: &str) -> Result<Async<TcpListener>, DaemonError> {
    let socket = inherited_socket::from_descriptor(descriptor)?;
    Async::new(socket).map_err(DaemonError::InheritedSocketIo)
}
