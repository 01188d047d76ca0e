//! UDP socket for gossip between the poolers of a tier. Each datagram is one [`PrimaryHint`] of at most
//! `Limits::datagram_bytes` bytes, and may be delayed or lost.

use super::bind_retry::bind_with_retry;
use super::turn::Turn;
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
    /// Unset if no gossip address is configured, or while another process uses the address.
    socket: OnceCell<Async<UdpSocket>>,
    /// Addresses indexed by peer number.
    peers: Vec<SocketAddr>,
    /// Address that reaches all peers.
    broadcast: Option<SocketAddr>,
    max_datagram_bytes: usize,
    /// Number of received datagrams that were dropped.
    dropped: Cell<u64>,
}

/// Why a received datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    TooLong,
    UnknownSender,
    Malformed,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::TooLong => "too long",
            DropReason::UnknownSender => "from an unknown sender",
            DropReason::Malformed => "malformed",
        })
    }
}

impl GossipSocket {
    /// Creates an unbound socket. `peers` are indexed by peer number; `broadcast` is the address that reaches all
    /// peers.
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
    /// The I/O error of the bind, `AddrInUse` if another process uses the address.
    pub fn bind(&self, listen: SocketAddr) -> io::Result<()> {
        if self.socket.get().is_none() {
            let _ = self.socket.set(Async::<UdpSocket>::bind(listen)?);
        }
        Ok(())
    }

    /// Binds the socket, if it is not bound yet. Retries every `interval` until it succeeds.
    pub async fn bind_when_free(&self, listen: SocketAddr, interval: Duration) {
        // All errors are retried, so there is none to return.
        let _ = bind_with_retry(interval, || self.bind(listen), |_| true).await;
    }

    /// Sends a datagram to the peer with this number, or to all peers. Datagrams that are too long are not sent, since
    /// the platform forbids them and peers would drop them. Does nothing while the socket is unbound.
    pub async fn send(&self, to: Option<u16>, bytes: &[u8]) {
        let address = match to {
            Some(number) => self.peers.get(usize::from(number)).copied(),
            None => self.broadcast,
        };
        // Peers identify a pooler by its address, so that they would drop a datagram from any other socket.
        let Some(socket) = self.socket.get() else { return };
        match address {
            Some(address) if bytes.len() <= self.max_datagram_bytes => {
                let _ = socket.send_to(bytes, address).await;
            }
            _ => log::warn!(
                "gossip: datagram of {} bytes to peer {to:?} not sent: it is too long, or the peer has no address",
                bytes.len()
            ),
        }
    }

    /// Passes each received datagram to `deliver`, with the peer number of its sender. Datagrams that are too long,
    /// malformed or from unknown senders are dropped and counted. Returns at once if the socket is not bound, otherwise
    /// never.
    pub async fn receive<F: Future<Output = ()>>(&self, deliver: impl Fn(u16, Vec<u8>) -> F) {
        // One byte more than the maximum, to detect datagrams that are too long.
        let mut bytes = vec![0; self.max_datagram_bytes + 1];
        let Some(socket) = self.socket.get() else { return };
        let turn = Turn::default();
        loop {
            turn.step().await;
            match socket.recv_from(&mut bytes).await {
                Ok((length, sender)) => match self.validate(&bytes[..length], sender) {
                    Ok(number) => deliver(number, bytes[..length].to_vec()).await,
                    Err(reason) => self.count_dropped(reason),
                },
                // An earlier datagram was rejected by a peer that is down (ICMP port unreachable); the socket itself
                // still works.
                Err(error) => log::debug!("gossip: {error}"),
            }
        }
    }

    /// Returns the number of the peer that sent a datagram, or the reason to drop it.
    fn validate(&self, bytes: &[u8], sender: SocketAddr) -> Result<u16, DropReason> {
        if bytes.len() > self.max_datagram_bytes {
            return Err(DropReason::TooLong);
        }
        let position = self.peers.iter().position(|peer| *peer == sender);
        let number = position.ok_or(DropReason::UnknownSender)?;
        if PrimaryHint::decode(bytes).is_none() {
            return Err(DropReason::Malformed);
        }
        Ok(number as u16)
    }

    /// Counts a dropped datagram. Logs only when the count reaches a power of two, so that a flood of datagrams does
    /// not flood the log.
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
