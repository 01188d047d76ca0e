//! Connections opened by peers: the handshake, then messages until the connection ends.

use super::Fleet;
use super::message_dispatch::{MessageRejection, PeerRole};
use crate::fleet::bootstrap::{self, Handshake, HandshakeVerdict};
use crate::fleet::message::{DecodedMessage, HandshakeReply, PeerMessage};
use crate::fleet::peer_link::{UPGRADE_PATH, UPGRADE_PROTOCOL};
use crate::ids::NodeId;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, Request};
use crate::net::until;
use async_io::Timer;
use futures_lite::future::or;
use std::time::Instant;

impl Fleet {
    /// Whether an HTTP request is the upgrade request of a connection between peers.
    pub fn is_peer_connection(request: &Request) -> bool {
        request.path_and_query().0 == UPGRADE_PATH && request.head.list_contains("upgrade", UPGRADE_PROTOCOL)
    }

    /// Serves a connection opened by a peer until it ends. `buffer` has the bytes read after the upgrade request.
    pub async fn serve_peer(&self, mut connection: ClientConnection, mut buffer: Buffer) {
        let upgrade =
            server::encode_response_head(101, &[("Connection", "Upgrade"), ("Upgrade", UPGRADE_PROTOCOL)]);
        if connection.write(&upgrade).await.is_err() {
            return;
        }
        let Some(peer) = self.read_handshake(&mut connection, &mut buffer).await else { return };
        let verdict = self.check_handshake(&peer);
        let role = match &verdict {
            HandshakeVerdict::Accepted => Some(PeerRole::Member),
            HandshakeVerdict::NotYetMember(_) => Some(PeerRole::Candidate),
            _ => None,
        };
        let reply = HandshakeReply { verdict, handshake: self.own_handshake() };
        let is_sent = connection.write(&PeerMessage::HandshakeReply(reply).encode()).await.is_ok();
        let Some(role) = role.filter(|_| is_sent) else {
            let _ = connection.linger().await;
            return;
        };
        self.founding.borrow_mut().update_answers(&peer);
        if role == PeerRole::Member {
            self.peers().retry_link_to(peer.id);
        }
        self.changes.notify();
        let close_signal = self.peers().incoming_close_signal();
        let closed = async {
            let _ = close_signal.recv().await;
        };
        let messages = self.serve_messages(&mut connection, &mut buffer, &peer, role);
        or(or(closed, self.wait_until_silent(peer.id)), messages).await;
    }

    /// Reads a peer's handshake. Returns `None` if another message arrives first or the handshake does not arrive in
    /// time.
    async fn read_handshake(
        &self,
        connection: &mut ClientConnection,
        buffer: &mut Buffer,
    ) -> Option<Handshake> {
        let deadline = Instant::now() + self.limits.first_request_timeout;
        match until(deadline, self.read_message(connection, buffer)).await {
            Some(Some(PeerMessage::Handshake(handshake))) => Some(handshake),
            _ => None,
        }
    }

    /// Validates the handshake of a peer that has connected. Records a node that requests admission as a candidate, and
    /// counts and logs a rejection.
    fn check_handshake(&self, peer: &Handshake) -> HandshakeVerdict {
        let agreed = self.agreed();
        let known_progress = agreed.status().reported_progress.get(&peer.id);
        let verdict = bootstrap::check_handshake(agreed.state(), known_progress, peer);
        match &verdict {
            HandshakeVerdict::NotYetMember(_) => self.peers.borrow_mut().add_candidate(peer),
            HandshakeVerdict::OtherFleet
            | HandshakeVerdict::OutdatedStorage
            | HandshakeVerdict::SupersededFleet => {
                self.peers.borrow_mut().count_rejection();
                log::warn!("fleet: rejected the handshake of {}: {verdict:?}", peer.name);
            }
            HandshakeVerdict::Accepted | HandshakeVerdict::RemovedMember => {}
        }
        verdict
    }

    /// Dispatches messages until the connection ends or a message is rejected.
    async fn serve_messages(
        &self,
        connection: &mut ClientConnection,
        buffer: &mut Buffer,
        peer: &Handshake,
        role: PeerRole,
    ) {
        while let Some(message) = self.read_message(connection, buffer).await {
            if let Err(rejection) = self.dispatch(peer, role, message) {
                self.count_rejected_message(&rejection);
                return;
            }
        }
    }

    /// Reads the next message. Returns `None` if the connection has ended or the bytes are not a valid message.
    async fn read_message(
        &self,
        connection: &mut ClientConnection,
        buffer: &mut Buffer,
    ) -> Option<PeerMessage> {
        loop {
            match PeerMessage::decode(buffer.unread(), self.limits.peer_message_bytes) {
                Ok(Some(DecodedMessage { message, encoded_bytes })) => {
                    buffer.consume(encoded_bytes);
                    connection.step_over(encoded_bytes).await;
                    return Some(message);
                }
                Ok(None) => {}
                Err(error) => {
                    self.count_rejected_message(&MessageRejection::Undecodable(error));
                    return None;
                }
            }
            if !matches!(connection.read(buffer).await, Ok(count) if count > 0) {
                return None;
            }
        }
    }

    /// Returns once no message has arrived from a peer for the stall timeout; a working peer sends heartbeats more
    /// often. The timer is restarted after it expires and not with each message, which saves work.
    async fn wait_until_silent(&self, peer: NodeId) {
        let mut last_checked = Instant::now();
        loop {
            Timer::at(last_checked + self.limits.backend_stall_timeout).await;
            match self.peers().status(peer) {
                Some(status) if status.last_heard > last_checked => last_checked = status.last_heard,
                _ => return,
            }
        }
    }
}
