//! The way to one other daemon: a connection that is opened again whenever it breaks, and a bounded queue. A
//! slow daemon holds up nobody else: what does not fit is dropped, and said again by whoever still means it.

use super::bootstrap::{Handshake, HandshakeVerdict};
use super::message::PeerMessage;
use crate::config::Limits;
use crate::ids::NodeId;
use crate::net::buffer::Buffer;
use crate::net::http::client::Client;
use crate::net::until;
use crate::store::records::FleetId;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Word of the upgrade from HTTP.
pub const PROTOCOL: &str = "brookpass-fleet/1";
/// Path where daemons meet.
pub const PATH: &str = "/fleet/link";

/// The way to one address.
pub struct PeerLink {
    /// Where it leads.
    pub address: SocketAddr,
    /// Whether this daemon's own file names it.
    pub named: bool,
    /// Who was met there last.
    pub met: RefCell<Option<Handshake>>,
    /// Frames go through.
    pub up: Cell<bool>,
    /// Frames that did not fit.
    pub dropped: Cell<u64>,
    bytes: Cell<usize>,
    queue: (Sender<Vec<u8>>, Receiver<Vec<u8>>),
    /// Closed: the way is no longer wanted.
    ended: (Sender<()>, Receiver<()>),
    /// A message: the connection is to be opened anew.
    again: (Sender<()>, Receiver<()>),
    most: usize,
}

impl PeerLink {
    /// A way that is not open yet.
    pub fn new(address: SocketAddr, named: bool, limits: &Limits) -> PeerLink {
        PeerLink {
            address,
            named,
            met: RefCell::default(),
            up: Cell::new(false),
            dropped: Cell::new(0),
            bytes: Cell::new(0),
            queue: async_channel::bounded(limits.peer_queue.0),
            ended: async_channel::bounded(1),
            again: async_channel::bounded(1),
            most: limits.peer_queue.1,
        }
    }

    /// Who was met there last; nobody yet: [`NodeId::NOBODY`].
    pub fn id(&self) -> NodeId {
        self.met.borrow().as_ref().map_or(NodeId::NOBODY, |h| h.id)
    }

    /// Sends a frame, unless the way is broken or full; whether it did.
    pub fn send(&self, bytes: &[u8]) -> bool {
        let fits = self.up.get() && self.bytes.get() + bytes.len() <= self.most;
        if fits && self.queue.0.try_send(bytes.to_vec()).is_ok() {
            self.bytes.set(self.bytes.get() + bytes.len());
            return true;
        }
        self.dropped.set(self.dropped.get() + 1);
        false
    }

    /// It is no longer wanted.
    pub fn end(&self) {
        self.ended.0.close();
    }

    /// Opens the connection anew: what was said of this daemon at its beginning has changed.
    pub fn renew(&self) {
        let _ = self.again.0.try_send(());
    }

    /// Keeps the way open until it is no longer wanted. `hello` is what to say of this daemon; `judged` is told
    /// what the other one said, and whether frames may go.
    pub async fn keep(
        &self,
        limits: &Limits,
        hello: impl Fn() -> Handshake,
        judged: impl Fn(&PeerLink, HandshakeVerdict, Handshake) -> bool,
        opened: impl Fn(&PeerLink),
        broke: impl Fn(&PeerLink),
    ) {
        let mut pause = limits.discovery_backoff.0;
        while !self.ended.0.is_closed() {
            let met = until(Instant::now() + limits.discovery_timeout, self.open(limits, &hello)).await;
            match met {
                Some(Ok((client, verdict, other))) => {
                    let stranger =
                        matches!(verdict, HandshakeVerdict::OtherFleet | HandshakeVerdict::RemovedMember);
                    *self.met.borrow_mut() = Some(other.clone());
                    if judged(self, verdict, other) {
                        pause = limits.discovery_backoff.0;
                        let why = self.carry(client, limits, &opened).await;
                        log::debug!("fleet: the way to {} ended: {why}", self.address);
                        broke(self);
                    } else if stranger {
                        pause = limits.discovery_backoff.1;
                    }
                }
                Some(Err(e)) => log::debug!("fleet: {}: {e}", self.address),
                None => log::debug!("fleet: {}: no answer in time", self.address),
            }
            let jitter = pause.mul_f64(0.5 + fastrand::f64() / 2.0);
            let _ = until(Instant::now() + jitter, self.ended.1.recv()).await;
            pause = (pause * 2).min(limits.discovery_backoff.1 / 2).max(limits.discovery_backoff.0);
        }
    }

    async fn open(
        &self,
        limits: &Limits,
        hello: &impl Fn() -> Handshake,
    ) -> io::Result<(Client, HandshakeVerdict, Handshake)> {
        let mut client = Client::connect(self.address).await?;
        let request = format!(
            "POST {PATH} HTTP/1.1\r\nHost: {}\r\nConnection: Upgrade\r\nUpgrade: {PROTOCOL}\r\nContent-Length: 0\r\n\r\n",
            self.address
        );
        client.send(request.as_bytes()).await?;
        client.upgraded(limits).await?;
        client.send(&PeerMessage::Handshake(hello()).bytes()).await?;
        loop {
            match PeerMessage::read(client.unread(), limits.peer_message_bytes) {
                Ok(Some((PeerMessage::HandshakeReply(verdict, other), used))) => {
                    client.consume(used);
                    return Ok((client, verdict, other));
                }
                Ok(None) => {}
                Ok(Some(_)) => return Err(io::Error::other("another frame was wanted")),
                Err(why) => return Err(io::Error::other(why)),
            }
            if client.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Sends what is queued until the connection breaks.
    async fn carry(&self, mut client: Client, limits: &Limits, opened: &impl Fn(&PeerLink)) -> String {
        while self.queue.1.try_recv().is_ok() {}
        while self.again.1.try_recv().is_ok() {}
        self.bytes.set(0);
        self.up.set(true);
        opened(self);
        let why = self.pump(&mut client, limits).await;
        self.up.set(false);
        why
    }

    async fn pump(&self, client: &mut Client, limits: &Limits) -> String {
        enum Turn {
            Message(Vec<u8>),
            Over(&'static str),
        }
        loop {
            let turn = {
                let frame = async { self.queue.1.recv().await.map_or(Turn::Over("ended"), Turn::Message) };
                let ended = async {
                    let _ = self.ended.1.recv().await;
                    Turn::Over("no longer wanted")
                };
                let again = async {
                    let _ = self.again.1.recv().await;
                    Turn::Over("opened anew")
                };
                // Nothing is to come: what does is the end.
                let gone = async {
                    let _ = client.more_of(&mut Buffer::default()).await;
                    Turn::Over("the other one has ended it")
                };
                use futures_lite::future::or;
                or(or(ended, again), or(frame, gone)).await
            };
            let mut bytes = match turn {
                Turn::Message(bytes) => bytes,
                Turn::Over(why) => return why.to_string(),
            };
            // What waits goes out together.
            while bytes.len() < 64 * 1024
                && let Ok(more) = self.queue.1.try_recv()
            {
                bytes.extend(more);
            }
            self.bytes.set(self.bytes.get().saturating_sub(bytes.len()));
            match until(Instant::now() + limits.client_write_timeout, client.send(&bytes)).await {
                Some(Ok(())) => {}
                Some(Err(e)) => return e.to_string(),
                None => return "it takes nothing".to_string(),
            }
        }
    }
}

/// Whether a fleet's id may go with another: one of them may have none yet.
pub fn may_meet(a: FleetId, b: FleetId) -> bool {
    a == b || a == 0 || b == 0
}

/// Comes back after a span, or sooner when a message comes; whether one came.
pub async fn rest(span: Duration, wake: &Receiver<()>) -> bool {
    until(Instant::now() + span, wake.recv()).await.is_some()
}
