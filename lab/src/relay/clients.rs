//! The clients of the open connections of all relays in this process. A target finds the client behind a connection by
//! the address from which the relay has opened it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard};

static CLIENTS: Mutex<BTreeMap<SocketAddr, TcpStream>> = Mutex::new(BTreeMap::new());

fn clients() -> MutexGuard<'static, BTreeMap<SocketAddr, TcpStream>> {
    CLIENTS.lock().expect("lock of the relays' clients")
}

/// The connection of a client to a relay, by the address from which the relay forwards it. `None` if no relay of this
/// process forwards a connection from there.
pub(crate) fn client_behind(forwarded_from: SocketAddr) -> Option<TcpStream> {
    clients().get(&forwarded_from)?.try_clone().ok()
}

/// The entry of one connection, which is removed when this is dropped.
pub(super) struct ClientEntry(SocketAddr);

impl ClientEntry {
    /// Adds the connection of a client that the relay forwards on `server`; `None` if one of them has failed.
    pub(super) fn add(client: &TcpStream, server: &TcpStream) -> Option<ClientEntry> {
        let forwarded_from = server.local_addr().ok()?;
        clients().insert(forwarded_from, client.try_clone().ok()?);
        Some(ClientEntry(forwarded_from))
    }
}

impl Drop for ClientEntry {
    fn drop(&mut self) {
        clients().remove(&self.0);
    }
}
