//! Datagrams between poolers: at most `Limits::datagram` bytes, late or not at all.

use crate::config::Limits;
use crate::primary_hint::PrimaryHint;
use async_io::Async;
use std::cell::{Cell, OnceCell};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// The socket and the addresses of the tier.
pub struct GossipSocket {
    /// None where nothing is listened to, or another process still has the address.
    socket: OnceCell<Async<UdpSocket>>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    most: usize,
    /// Datagrams that were passed over.
    dropped: Cell<u64>,
}

impl GossipSocket {
    /// The tier, not heard yet.
    pub fn new(each: Vec<SocketAddr>, all: Option<SocketAddr>, limits: &Limits) -> GossipSocket {
        GossipSocket {
            socket: OnceCell::new(),
            each,
            all,
            most: limits.datagram_bytes,
            dropped: Cell::default(),
        }
    }

    /// Listens for the tier's datagrams, if it does not yet.
    pub fn bind(&self, listen: SocketAddr) -> io::Result<()> {
        if self.socket.get().is_none() {
            let _ = self.socket.set(Async::<UdpSocket>::bind(listen)?);
        }
        Ok(())
    }

    /// Sends to one peer, or to all. One that is too long is not sent: it would void the run.
    pub async fn send(&self, to: Option<u16>, bytes: &[u8]) {
        let address = to.map_or(self.all, |n| self.each.get(usize::from(n)).copied());
        // Peers know a pooler by its address: from any other they would not hear it.
        let Some(socket) = self.socket.get() else { return };
        match address {
            Some(address) if bytes.len() <= self.most => {
                let _ = socket.send_to(bytes, address).await;
            }
            _ => log::warn!("peers: a message of {} bytes to {to:?} was not sent", bytes.len()),
        }
    }

    /// Hands on what arrives, with the sender's number. What is too long, unreadable or from a stranger is
    /// dropped and counted.
    pub async fn receive<F: Future<Output = ()>>(&self, deliver: impl Fn(u16, Vec<u8>) -> F) {
        let mut bytes = vec![0; self.most + 1];
        let Some(socket) = self.socket.get() else { return };
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((n, _)) if n > self.most => self.pass_over("too long"),
                Ok((n, from)) => match self.each.iter().position(|a| *a == from) {
                    None => self.pass_over("from a stranger"),
                    Some(_) if PrimaryHint::read(&bytes[..n]).is_none() => self.pass_over("unreadable"),
                    Some(number) => deliver(number as u16, bytes[..n].to_vec()).await,
                },
                // A peer that is down shows as a refused datagram; the socket itself is sound.
                Err(e) => log::debug!("peers: {e}"),
            }
        }
    }

    /// Counts a datagram that is dropped. A line at every doubling: whoever floods the socket must not flood
    /// the log.
    fn pass_over(&self, why: &str) {
        let dropped = self.dropped.get() + 1;
        self.dropped.set(dropped);
        if dropped.is_power_of_two() {
            log::warn!("peers: {dropped} datagrams dropped, the last one {why}");
        }
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::routing::{EndpointId, Timestamp};
    use async_channel::unbounded;
    use futures_lite::future;

    /// Guards against datagrams that void a run, strangers that pass for peers, and noise that is handed on.
    #[test]
    fn long_datagrams_are_not_sent_and_strangers_and_noise_are_dropped_and_counted() {
        let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
        let (peer, stranger) = (bind(), bind());
        let limits = Limits::for_sockets(64);
        let each = vec![peer.local_addr().unwrap()];
        let own = GossipSocket::new(each, None, &limits);
        async_io::block_on(own.send(Some(0), b"from nowhere"));
        own.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let at = own.socket.get().unwrap().get_ref().local_addr().unwrap();
        assert!(GossipSocket::new(Vec::new(), None, &limits).bind(at).is_err(), "it is taken");
        async_io::block_on(async {
            own.send(Some(0), &[7; 257]).await;
            own.send(None, b"nobody").await;
            own.send(Some(0), &[7; 256]).await;
        });
        let mut bytes = [0; 512];
        assert_eq!(peer.recv(&mut bytes).unwrap(), 256, "the longer one never left");
        let hint =
            PrimaryHint { endpoint: EndpointId { ip: [1, 2, 3, 4], port: 5 }, at: Timestamp::from_micros(6) }
                .write();
        stranger.send_to(&hint, at).unwrap();
        for bad in [&hint[..hint.len() - 1], b"", b"noise", &[1; 257], &[1; 2000]] {
            peer.send_to(bad, at).unwrap();
        }
        peer.send_to(&hint, at).unwrap();
        let (heard, messages) = unbounded();
        let listen = own.receive(|from, bytes| {
            let heard = heard.clone();
            async move { heard.send((from, bytes)).await.unwrap() }
        });
        let first = async_io::block_on(future::or(async { Some(messages.recv().await.unwrap()) }, async {
            listen.await;
            None
        }));
        assert_eq!((first, own.dropped.get()), (Some((0, hint)), 6));
    }
}
