//! The datagram socket for gossip between the poolers of a tier. A datagram has at most `Limits::datagram_bytes` bytes
//! and is one [`PrimaryHint`]; it may be late or lost.

use super::bind_retry::bind_with_retry;
use crate::config::Limits;
use crate::primary_hint::PrimaryHint;
use async_io::Async;
use std::cell::{Cell, OnceCell};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// The socket and the addresses of the tier.
pub struct GossipSocket {
    /// Not set where this process has no address for gossip, or another process still has it.
    socket: OnceCell<Async<UdpSocket>>,
    /// By the peer's number.
    peers: Vec<SocketAddr>,
    /// Reaches all peers.
    broadcast: Option<SocketAddr>,
    max_datagram_bytes: usize,
    /// Received datagrams that were dropped.
    dropped: Cell<u64>,
}

/// Why a received datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    TooLong,
    UnknownSender,
    Unreadable,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::TooLong => "too long",
            DropReason::UnknownSender => "from an unknown sender",
            DropReason::Unreadable => "unreadable",
        })
    }
}

impl GossipSocket {
    /// A tier of which nothing is received yet: `peers` by their numbers, and the address that reaches all of them.
    pub fn new(peers: Vec<SocketAddr>, broadcast: Option<SocketAddr>, limits: &Limits) -> GossipSocket {
        GossipSocket {
            socket: OnceCell::new(),
            peers,
            broadcast,
            max_datagram_bytes: limits.datagram_bytes,
            dropped: Cell::default(),
        }
    }

    /// Binds the socket, if it is not bound yet.
    ///
    /// # Errors
    /// The error of the system, `AddrInUse` where another process has the address.
    pub fn bind(&self, listen: SocketAddr) -> io::Result<()> {
        if self.socket.get().is_none() {
            let _ = self.socket.set(Async::<UdpSocket>::bind(listen)?);
        }
        Ok(())
    }

    /// Binds the socket, if it is not bound yet, and tries again every `interval` until the address is free.
    pub async fn bind_when_free(&self, listen: SocketAddr, interval: Duration) {
        // Every error is tried again: none is left to return.
        let _ = bind_with_retry(interval, || self.bind(listen), |_| true).await;
    }

    /// Sends to the peer of this number, or to all. A datagram that is too long is not sent: the platform allows none, and
    /// peers would drop it.
    pub async fn send(&self, to: Option<u16>, bytes: &[u8]) {
        let address = match to {
            Some(number) => self.peers.get(usize::from(number)).copied(),
            None => self.broadcast,
        };
        // Peers know a pooler by its address: they would drop a datagram from any other socket.
        let Some(socket) = self.socket.get() else { return };
        match address {
            Some(address) if bytes.len() <= self.max_datagram_bytes => {
                let _ = socket.send_to(bytes, address).await;
            }
            _ => log::warn!("gossip: a datagram of {} bytes to peer {to:?} was not sent", bytes.len()),
        }
    }

    /// Hands every datagram that arrives to `deliver`, with the sender's number. Datagrams that are too long, unreadable
    /// or from unknown senders are dropped and counted. Returns at once where the socket is not bound, else never.
    pub async fn receive<F: Future<Output = ()>>(&self, deliver: impl Fn(u16, Vec<u8>) -> F) {
        // One byte more than the longest datagram, so that a longer one can be told from it.
        let mut bytes = vec![0; self.max_datagram_bytes + 1];
        let Some(socket) = self.socket.get() else { return };
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((length, sender)) => match self.validate(&bytes[..length], sender) {
                    Ok(number) => deliver(number, bytes[..length].to_vec()).await,
                    Err(reason) => self.count_dropped(reason),
                },
                // The error of a datagram that a peer rejected, because it is down: the socket itself is sound.
                Err(error) => log::debug!("gossip: {error}"),
            }
        }
    }

    /// The number of the peer that sent a datagram.
    fn validate(&self, bytes: &[u8], sender: SocketAddr) -> Result<u16, DropReason> {
        if bytes.len() > self.max_datagram_bytes {
            return Err(DropReason::TooLong);
        }
        let position = self.peers.iter().position(|peer| *peer == sender);
        let number = position.ok_or(DropReason::UnknownSender)?;
        if PrimaryHint::decode(bytes).is_none() {
            return Err(DropReason::Unreadable);
        }
        Ok(number as u16)
    }

    /// Counts a dropped datagram. Logged at every power of two: a flood of datagrams must not flood the log.
    fn count_dropped(&self, reason: DropReason) {
        let dropped = self.dropped.get() + 1;
        self.dropped.set(dropped);
        if dropped.is_power_of_two() {
            log::warn!("gossip: {dropped} datagrams dropped, the last one {reason}");
        }
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
