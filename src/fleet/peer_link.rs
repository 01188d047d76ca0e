//! The outgoing connection to one peer: reconnects with backoff, and sends messages from a bounded queue.
//!
//! Messages only travel from the node that opened the connection to its peer; the handshake reply is the one
//! exception. A peer's own messages arrive on the connection that it opened. A message that does not fit into the queue
//! is dropped, so that a slow peer delays no other; the sender repeats what is still needed.

use super::bootstrap::{Handshake, HandshakeVerdict};
use super::message::{HandshakeReply, MessageError, PeerMessage};
use crate::config::{BackoffLimits, Limits};
use crate::ids::NodeId;
use crate::net::buffer::Buffer;
use crate::net::http::client::ServerConnection;
use crate::net::until;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The value of the HTTP `Upgrade` header for connections between peers.
pub const UPGRADE_PROTOCOL: &str = "brookpass-fleet/1";
/// The HTTP path of the upgrade request.
pub const UPGRADE_PATH: &str = "/fleet/link";

/// No more queued messages are added to a write once it has this size. Batching saves system calls; the bound keeps a
/// single write short.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Callbacks from a link to its owner.
pub trait PeerLinkEvents {
    /// This node's current handshake. Called for each new connection.
    fn handshake(&self) -> Handshake;
    /// Called with the peer's reply to the handshake; decides whether the connection is used.
    fn on_handshake_reply(&self, link: &PeerLink, reply: HandshakeReply) -> LinkDecision;
    /// Called once messages can be sent on the connection.
    fn on_connected(&self, link: &PeerLink);
    /// Called when a connection has ended for which [`PeerLinkEvents::on_connected`] was called.
    fn on_disconnected(&self, link: &PeerLink);
}

/// What happens to a connection after the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDecision {
    /// The connection is kept and messages are sent on it.
    Use,
    /// The connection is closed; the link reconnects after its backoff.
    Close,
}

/// The source of a peer's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkOrigin {
    /// The operator's file lists the address.
    OperatorFile,
    /// The fleet reported the address: that of a member, or of a member of a fleet to join.
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
            DisconnectReason::LinkClosed => write!(f, "link closed"),
            DisconnectReason::ReconnectRequested => write!(f, "reconnect requested"),
            DisconnectReason::ClosedByPeer => write!(f, "closed by the peer"),
            DisconnectReason::WriteTimedOut => write!(f, "write timed out"),
            DisconnectReason::WriteFailed(error) => write!(f, "{error}"),
        }
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("invalid handshake reply: {0}")]
    Message(#[from] MessageError),
    #[error("the peer answered the handshake with another type of message")]
    UnexpectedMessage,
}

/// A connection with a completed handshake.
struct Connected {
    client: ServerConnection,
    reply: HandshakeReply,
}

/// A channel without payload. Depending on its use, the event is a queued message or the closing of the channel.
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

/// The next step of an open connection.
enum NextStep {
    Send(Vec<u8>),
    Disconnect(DisconnectReason),
}

/// The link to the peer at one address.
pub struct PeerLink {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The source of the address.
    pub origin: LinkOrigin,
    /// The peer's handshake from its last reply; `None` before the first one.
    last_handshake: RefCell<Option<Handshake>>,
    is_up: Cell<bool>,
    dropped_messages: Cell<u64>,
    /// Total size of the messages in the queue.
    queued_bytes: Cell<usize>,
    max_queued_bytes: usize,
    queue_sender: Sender<Vec<u8>>,
    queue_receiver: Receiver<Vec<u8>>,
    /// The channel is closed once the link is no longer wanted.
    closed: Signal,
    /// Holds a message while a requested reconnect is still to be done.
    reconnect_requested: Signal,
    /// Holds a message while the backoff is to be cut short.
    retry_requested: Signal,
}

impl PeerLink {
    /// Creates a link that is not connected. [`PeerLink::run`] connects it.
    pub fn new(address: SocketAddr, origin: LinkOrigin, limits: &Limits) -> PeerLink {
        let (queue_sender, queue_receiver) = async_channel::bounded(limits.peer_queue.messages);
        PeerLink {
            address,
            origin,
            last_handshake: RefCell::default(),
            is_up: Cell::new(false),
            dropped_messages: Cell::new(0),
            queued_bytes: Cell::new(0),
            max_queued_bytes: limits.peer_queue.bytes,
            queue_sender,
            queue_receiver,
            closed: Signal::new(),
            reconnect_requested: Signal::new(),
            retry_requested: Signal::new(),
        }
    }

    /// The id of the node that last replied at this address; [`NodeId::NONE`] before the first reply.
    pub fn peer_id(&self) -> NodeId {
        self.last_handshake.borrow().as_ref().map_or(NodeId::NONE, |peer| peer.id)
    }

    /// The name of the node that last replied at this address; `None` before the first reply.
    pub fn peer_name(&self) -> Option<String> {
        self.last_handshake.borrow().as_ref().map(|peer| peer.name.clone())
    }

    /// Whether messages can be sent now.
    pub fn is_up(&self) -> bool {
        self.is_up.get()
    }

    /// Number of messages dropped since the link was created because it was down or its queue was full.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages.get()
    }

    /// Queues an encoded message. Returns false if the message was dropped instead: the link is down, or the queue is
    /// full.
    pub fn send(&self, message: &[u8]) -> bool {
        let fits = self.is_up.get() && self.queued_bytes.get() + message.len() <= self.max_queued_bytes;
        if fits && self.queue_sender.try_send(message.to_vec()).is_ok() {
            self.queued_bytes.set(self.queued_bytes.get() + message.len());
            return true;
        }
        self.dropped_messages.set(self.dropped_messages.get() + 1);
        false
    }

    /// Closes the link permanently: [`PeerLink::run`] returns.
    pub fn close(&self) {
        self.closed.sender.close();
    }

    /// Requests that the connection be closed and reopened, because this node's handshake has changed.
    pub fn reconnect(&self) {
        let _ = self.reconnect_requested.sender.try_send(());
    }

    /// Requests that a link which is down connect without waiting for its backoff, because the peer has just connected to
    /// this node.
    pub fn retry(&self) {
        if !self.is_up() {
            let _ = self.retry_requested.sender.try_send(());
        }
    }

    /// Connects, sends queued messages and reconnects, until the link is closed.
    pub async fn run(&self, limits: &Limits, events: &impl PeerLinkEvents) {
        let BackoffLimits { min: shortest_backoff, max: longest_backoff } = limits.peer_backoff;
        let mut backoff = shortest_backoff;
        while !self.closed.sender.is_closed() {
            match self.connect_within_timeout(limits, events).await {
                Some(Ok(Connected { client, reply })) => {
                    let is_excluded = matches!(
                        reply.verdict,
                        HandshakeVerdict::OtherFleet | HandshakeVerdict::RemovedMember
                    );
                    *self.last_handshake.borrow_mut() = Some(reply.handshake.clone());
                    if events.on_handshake_reply(self, reply) == LinkDecision::Use {
                        backoff = shortest_backoff;
                        let reason = self.send_queued(client, limits, events).await;
                        log::debug!("fleet: connection to {} ended: {reason}", self.address);
                        events.on_disconnected(self);
                    } else if is_excluded {
                        backoff = longest_backoff;
                    }
                }
                Some(Err(error)) => log::debug!("fleet: connecting to {} failed: {error}", self.address),
                None => log::debug!("fleet: connecting to {} timed out", self.address),
            }
            let ended_early =
                futures_lite::future::or(self.closed.receiver.recv(), self.retry_requested.receiver.recv());
            let _ = until(Instant::now() + with_jitter(backoff), ended_early).await;
            backoff = (backoff * 2).min(limits.peer_connect_interval).max(shortest_backoff);
        }
    }

    /// Connects; `None` if that takes too long.
    ///
    /// A network that was cut loses the first attempt for good, so while it is unanswered others are made beside it, one
    /// at a time. It goes on, because a slow network may take longer than these others are given.
    async fn connect_within_timeout(
        &self,
        limits: &Limits,
        events: &impl PeerLinkEvents,
    ) -> Option<Result<Connected, ConnectError>> {
        let first_attempt = self.connect(limits, events);
        let further_attempts = async {
            let mut next_at = Instant::now() + limits.peer_connect_interval;
            loop {
                Timer::at(next_at).await;
                next_at = Instant::now() + with_jitter(limits.peer_connect_interval);
                if let Some(Ok(connected)) = until(next_at, self.connect(limits, events)).await {
                    return Ok(connected);
                }
            }
        };
        let connecting = futures_lite::future::or(first_attempt, further_attempts);
        until(Instant::now() + limits.peer_connect_timeout, connecting).await
    }

    /// Opens a connection, upgrades it and exchanges handshakes.
    async fn connect(
        &self,
        limits: &Limits,
        events: &impl PeerLinkEvents,
    ) -> Result<Connected, ConnectError> {
        let mut client = ServerConnection::connect(self.address).await?;
        let request = format!(
            "POST {UPGRADE_PATH} HTTP/1.1\r\nHost: {}\r\nConnection: Upgrade\r\nUpgrade: {UPGRADE_PROTOCOL}\r\nContent-Length: 0\r\n\r\n",
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

    /// Sends queued messages until the connection ends. Messages left over from an earlier connection are discarded
    /// first, since they may be outdated.
    async fn send_queued(
        &self,
        mut client: ServerConnection,
        limits: &Limits,
        events: &impl PeerLinkEvents,
    ) -> DisconnectReason {
        while self.queue_receiver.try_recv().is_ok() {}
        while self.reconnect_requested.receiver.try_recv().is_ok() {}
        // One that came while the connection was being established would cut the next backoff short.
        while self.retry_requested.receiver.try_recv().is_ok() {}
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

    /// Waits for the next message or a reason to disconnect. Closing and reconnecting take precedence over messages.
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
        // A peer sends nothing after its handshake reply, so any result of this read ends the connection.
        let closed_by_peer = async {
            let _ = client.read_into(&mut Buffer::default()).await;
            NextStep::Disconnect(DisconnectReason::ClosedByPeer)
        };
        use futures_lite::future::or;
        or(or(closed, reconnect), or(message, closed_by_peer)).await
    }

    /// Appends queued messages to `first`, up to about [`WRITE_BATCH_BYTES`].
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

/// Shortens an interval by up to half, so that nodes that start together do not connect in lockstep.
fn with_jitter(interval: Duration) -> Duration {
    interval.mul_f64(0.5 + fastrand::f64() / 2.0)
}

/// Sleeps for `duration`. Returns early, with true, if `wake` receives a message or its channel is closed.
pub async fn sleep_or_wake(duration: Duration, wake: &Receiver<()>) -> bool {
    until(Instant::now() + duration, wake.recv()).await.is_some()
}
