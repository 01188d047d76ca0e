//! Datagrams between poolers: at most `Limits::datagram` bytes, late or not at all.

use crate::config::Limits;
use async_io::Async;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// The socket and the addresses of the tier.
pub struct Peers {
    socket: Async<UdpSocket>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    most: usize,
}

impl Peers {
    /// Listens for the tier's datagrams.
    pub fn open(
        listen: SocketAddr,
        each: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        limits: &Limits,
    ) -> io::Result<Peers> {
        Ok(Peers { socket: Async::<UdpSocket>::bind(listen)?, each, all, most: limits.datagram })
    }

    /// Sends to one peer, or to all. One that is too long is not sent: it would void the run.
    pub async fn tell(&self, to: Option<u16>, bytes: &[u8]) {
        let address = to.map_or(self.all, |n| self.each.get(usize::from(n)).copied());
        match address {
            Some(address) if bytes.len() <= self.most => {
                let _ = self.socket.send_to(bytes, address).await;
            }
            _ => log::warn!("peers: a message of {} bytes to {to:?} was not sent", bytes.len()),
        }
    }

    /// Hands on what arrives, with the sender's number; strangers are passed over.
    pub async fn listen<F: Future<Output = ()>>(&self, deliver: impl Fn(u16, Vec<u8>) -> F) {
        let mut bytes = vec![0; self.most + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((n, from)) if n <= self.most => {
                    if let Some(number) = self.each.iter().position(|a| *a == from) {
                        deliver(number as u16, bytes[..n].to_vec()).await;
                    }
                }
                Ok(_) => log::warn!("peers: a datagram over {} bytes was dropped", self.most),
                // A peer that is down shows as a refused datagram; the socket itself is sound.
                Err(e) => log::debug!("peers: {e}"),
            }
        }
    }
}
