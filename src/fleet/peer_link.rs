//! The outgoing connection to one peer: reopened with backoff whenever it breaks, fed from a bounded queue.
//!
//! A link only sends, but for the answer to its handshake; what a peer sends arrives on a connection that the peer
//! opened. A slow peer delays nobody else: a message that does not fit into the queue is dropped, and the one that
//! still needs it sent repeats it.

use super::bootstrap::{Handshake, HandshakeVerdict};
use super::message::{HandshakeReply, MessageError, PeerMessage};
use crate::config::Limits;
use crate::ids::NodeId;
use crate::net::buffer::Buffer;
use crate::net::http::client::ServerConnection;
use crate::net::until;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The protocol that an HTTP connection is upgraded to.
pub const PROTOCOL: &str = "brookpass-fleet/1";
/// The HTTP path at which a connection is upgraded.
pub const PATH: &str = "/fleet/link";

/// Queued messages are joined into one write of about this size: fewer system calls, and no write that takes long.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// What a link asks and tells its owner.
pub trait PeerLinkEvents {
    /// This node's handshake, as of now.
    fn handshake(&self) -> Handshake;
    /// The peer has answered the handshake. Says what becomes of the connection.
    fn on_handshake_reply(&self, link: &PeerLink, reply: HandshakeReply) -> LinkDecision;
    /// The connection is open for messages.
    fn on_connected(&self, link: &PeerLink);
    /// A connection that was open for messages has ended.
    fn on_disconnected(&self, link: &PeerLink);
}

/// What becomes of a connection after the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDecision {
    /// Messages are sent on it.
    Use,
    /// It is closed, and opened again later.
    Close,
}

/// Where the address of a peer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkOrigin {
    /// The operator's file names it.
    OperatorFile,
    /// The fleet names it: a member's address, or that of a fleet to join.
    Fleet,
}

/// Why a connection ended.
#[derive(Debug)]
enum DisconnectReason {
    LinkClosed,
    ReconnectRequested,
    ClosedByPeer,
    WriteTimedOut,
    WriteFailed(io::Error),
}

impl fmt::Display for DisconnectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DisconnectReason::LinkClosed => write!(f, "the link is closed"),
            DisconnectReason::ReconnectRequested => write!(f, "a reconnect was requested"),
            DisconnectReason::ClosedByPeer => write!(f, "the peer closed the connection"),
            DisconnectReason::WriteTimedOut => write!(f, "a write timed out"),
            DisconnectReason::WriteFailed(error) => write!(f, "{error}"),
        }
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the handshake's answer: {0}")]
    Message(#[from] MessageError),
    #[error("the handshake was answered by another kind of message")]
    UnexpectedMessage,
}

/// A connection whose handshake was answered.
struct Connected {
    client: ServerConnection,
    reply: HandshakeReply,
}

/// A channel that only signals: closed, or one message.
struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    fn new() -> Signal {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }
}

/// What a connection does next.
enum NextStep {
    Send(Vec<u8>),
    Disconnect(DisconnectReason),
}

/// The link to the peer at one address.
pub struct PeerLink {
    /// The peer's address.
    pub address: SocketAddr,
    /// Where the address comes from.
    pub origin: LinkOrigin,
    last_handshake: RefCell<Option<Handshake>>,
    is_up: Cell<bool>,
    dropped_messages: Cell<u64>,
    queued_bytes: Cell<usize>,
    max_queued_bytes: usize,
    queue_sender: Sender<Vec<u8>>,
    queue_receiver: Receiver<Vec<u8>>,
    /// Closed once the link is not wanted any more.
    closed: Signal,
    /// Holds a message while a reconnect is requested.
    reconnect_requested: Signal,
}

impl PeerLink {
    /// A link that is not connected yet.
    pub fn new(address: SocketAddr, origin: LinkOrigin, limits: &Limits) -> PeerLink {
        let (max_queued_messages, max_queued_bytes) = limits.peer_queue;
        let (queue_sender, queue_receiver) = async_channel::bounded(max_queued_messages);
        PeerLink {
            address,
            origin,
            last_handshake: RefCell::default(),
            is_up: Cell::new(false),
            dropped_messages: Cell::new(0),
            queued_bytes: Cell::new(0),
            max_queued_bytes,
            queue_sender,
            queue_receiver,
            closed: Signal::new(),
            reconnect_requested: Signal::new(),
        }
    }

    /// The id of the node that last answered here; [`NodeId::NOBODY`] before the first answer.
    pub fn peer_id(&self) -> NodeId {
        self.last_handshake.borrow().as_ref().map_or(NodeId::NOBODY, |peer| peer.id)
    }

    /// The name of the node that last answered here.
    pub fn peer_name(&self) -> Option<String> {
        self.last_handshake.borrow().as_ref().map(|peer| peer.name.clone())
    }

    /// Whether messages can be sent now.
    pub fn is_up(&self) -> bool {
        self.is_up.get()
    }

    /// Messages that were dropped since the start: the link was down or its queue full.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages.get()
    }

    /// Queues an encoded message; returns whether it was queued. Otherwise it was dropped.
    pub fn send(&self, message: &[u8]) -> bool {
        let fits = self.is_up.get() && self.queued_bytes.get() + message.len() <= self.max_queued_bytes;
        if fits && self.queue_sender.try_send(message.to_vec()).is_ok() {
            self.queued_bytes.set(self.queued_bytes.get() + message.len());
            return true;
        }
        self.dropped_messages.set(self.dropped_messages.get() + 1);
        false
    }

    /// Ends the link for good.
    pub fn close(&self) {
        self.closed.sender.close();
    }

    /// Has the connection opened again: this node's handshake has changed.
    pub fn reconnect(&self) {
        let _ = self.reconnect_requested.sender.try_send(());
    }

    /// Keeps the link connected until it is closed.
    pub async fn run(&self, limits: &Limits, events: &impl PeerLinkEvents) {
        let (shortest_backoff, longest_backoff) = limits.discovery_backoff;
        let mut backoff = shortest_backoff;
        while !self.closed.sender.is_closed() {
            let connecting = self.connect(limits, events);
            match until(Instant::now() + limits.discovery_timeout, connecting).await {
                Some(Ok(Connected { client, reply })) => {
                    let is_foreign = matches!(
                        reply.verdict,
                        HandshakeVerdict::OtherFleet | HandshakeVerdict::RemovedMember
                    );
                    *self.last_handshake.borrow_mut() = Some(reply.handshake.clone());
                    if events.on_handshake_reply(self, reply) == LinkDecision::Use {
                        backoff = shortest_backoff;
                        let reason = self.send_queued(client, limits, events).await;
                        log::debug!("fleet: connection to {} ended: {reason}", self.address);
                        events.on_disconnected(self);
                    } else if is_foreign {
                        backoff = longest_backoff;
                    }
                }
                Some(Err(error)) => log::debug!("fleet: connecting to {}: {error}", self.address),
                None => log::debug!("fleet: connecting to {}: timed out", self.address),
            }
            // Half of the backoff is random: peers that start together must not connect in step.
            let pause = backoff.mul_f64(0.5 + fastrand::f64() / 2.0);
            let _ = until(Instant::now() + pause, self.closed.receiver.recv()).await;
            backoff = (backoff * 2).min(longest_backoff / 2).max(shortest_backoff);
        }
    }

    /// Opens a connection and exchanges handshakes.
    async fn connect(
        &self,
        limits: &Limits,
        events: &impl PeerLinkEvents,
    ) -> Result<Connected, ConnectError> {
        let mut client = ServerConnection::connect(self.address).await?;
        let request = format!(
            "POST {PATH} HTTP/1.1\r\nHost: {}\r\nConnection: Upgrade\r\nUpgrade: {PROTOCOL}\r\nContent-Length: 0\r\n\r\n",
            self.address
        );
        client.send(request.as_bytes()).await?;
        client.read_upgrade_response(limits).await?;
        client.send(&PeerMessage::Handshake(events.handshake()).encode()).await?;
        loop {
            if let Some(decoded) = PeerMessage::decode(client.unread(), limits.peer_message_bytes)? {
                client.consume(decoded.encoded_bytes);
                let PeerMessage::HandshakeReply(reply) = decoded.message else {
                    return Err(ConnectError::UnexpectedMessage);
                };
                return Ok(Connected { client, reply });
            }
            if client.fill_buffer().await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// Sends queued messages until the connection ends. What was queued for the connection before is dropped: it
    /// may be outdated.
    async fn send_queued(
        &self,
        mut client: ServerConnection,
        limits: &Limits,
        events: &impl PeerLinkEvents,
    ) -> DisconnectReason {
        while self.queue_receiver.try_recv().is_ok() {}
        while self.reconnect_requested.receiver.try_recv().is_ok() {}
        self.queued_bytes.set(0);
        self.is_up.set(true);
        events.on_connected(self);
        let reason = loop {
            let first = match self.next_step(&mut client).await {
                NextStep::Send(message) => message,
                NextStep::Disconnect(reason) => break reason,
            };
            let batch = self.join_queued(first);
            self.queued_bytes.set(self.queued_bytes.get().saturating_sub(batch.len()));
            match until(Instant::now() + limits.client_write_timeout, client.send(&batch)).await {
                Some(Ok(())) => {}
                Some(Err(error)) => break DisconnectReason::WriteFailed(error),
                None => break DisconnectReason::WriteTimedOut,
            }
        };
        self.is_up.set(false);
        reason
    }

    /// Waits for a message to send or for a reason to disconnect.
    async fn next_step(&self, client: &mut ServerConnection) -> NextStep {
        let message = async {
            let next = self.queue_receiver.recv().await;
            next.map_or(NextStep::Disconnect(DisconnectReason::LinkClosed), NextStep::Send)
        };
        let closed = async {
            let _ = self.closed.receiver.recv().await;
            NextStep::Disconnect(DisconnectReason::LinkClosed)
        };
        let reconnect = async {
            let _ = self.reconnect_requested.receiver.recv().await;
            NextStep::Disconnect(DisconnectReason::ReconnectRequested)
        };
        // After its answer to the handshake a peer sends nothing here: whatever is read means the end.
        let closed_by_peer = async {
            let _ = client.read_into(&mut Buffer::default()).await;
            NextStep::Disconnect(DisconnectReason::ClosedByPeer)
        };
        use futures_lite::future::or;
        or(or(closed, reconnect), or(message, closed_by_peer)).await
    }

    /// Joins a message and those that wait behind it into one write.
    fn join_queued(&self, first: Vec<u8>) -> Vec<u8> {
        let mut batch = first;
        while batch.len() < WRITE_BATCH_BYTES
            && let Ok(message) = self.queue_receiver.try_recv()
        {
            batch.extend(message);
        }
        batch
    }
}

/// Sleeps, or returns early when a message arrives; returns whether one arrived.
pub async fn sleep_or_wake(duration: Duration, wake: &Receiver<()>) -> bool {
    until(Instant::now() + duration, wake.recv()).await.is_some()
}
