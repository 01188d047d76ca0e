//! Exchanges primary hints with the other poolers of the tier.

use crate::config::Limits;
use crate::daemon::{DaemonError, Executor};
use crate::engine::{EngineHandle, Input};
use crate::net::gossip_socket::GossipSocket;
use crate::platform_config::PlatformConfig;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Binds the UDP socket, if the configuration specifies an address, and passes received messages to the engine. If the
/// address is still in use, typically by the process that this one replaces, the bind is retried until it is free.
///
/// # Errors
/// [`DaemonError::Listen`] if the address cannot be bound for any other reason.
pub fn start<W, A>(
    config: &PlatformConfig,
    engine: &EngineHandle<W, A>,
    limits: &Limits,
    executor: &Executor,
) -> Result<Rc<GossipSocket>, DaemonError>
where
    W: Send + 'static,
    A: Send + 'static,
{
    let socket = Rc::new(GossipSocket::new(config.peers.clone(), config.peers_all, limits));
    let Some(address) = config.peer_listen else { return Ok(socket) };
    match socket.bind(address) {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
            log::info!("{address}: {error}; binding it once it is free");
        }
        Err(source) => return Err(DaemonError::Listen { address, source }),
    }
    let receiver = socket.clone();
    let engine = engine.clone();
    let retry_interval = limits.file_check_interval;
    let task = async move { receive(&receiver, address, retry_interval, &engine).await };
    executor.spawn(task).detach();
    Ok(socket)
}

async fn receive<W, A>(
    socket: &GossipSocket,
    address: SocketAddr,
    retry_interval: Duration,
    engine: &EngineHandle<W, A>,
) {
    socket.bind_when_free(address, retry_interval).await;
    socket.receive(|from, bytes| engine.send_input(Input::PeerMessage { from, bytes })).await;
}
