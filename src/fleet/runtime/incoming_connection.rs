//! A connection that a peer has opened: its handshake, then its messages until the connection ends.

use super::Fleet;
use super::message_dispatch::{MessageRejection, PeerRole};
use crate::fleet::bootstrap::{self, Handshake, HandshakeVerdict};
use crate::fleet::message::{DecodedMessage, HandshakeReply, PeerMessage};
use crate::fleet::peer_link::{PATH, PROTOCOL};
use crate::ids::NodeId;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, Request};
use crate::net::until;
use async_io::Timer;
use futures_lite::future::or;
use std::time::Instant;

impl Fleet {
    /// Whether an HTTP request asks for a connection between nodes.
    pub fn is_peer_connection(request: &Request) -> bool {
        request.path_and_query().0 == PATH && request.head.list_contains("upgrade", PROTOCOL)
    }

    /// Serves a connection that a peer has opened, until it ends.
    pub async fn serve_peer(&self, mut connection: ClientConnection, mut buffer: Buffer) {
        let upgrade = server::encode_response_head(101, &[("Connection", "Upgrade"), ("Upgrade", PROTOCOL)]);
        if connection.write(&upgrade).await.is_err() {
            return;
        }
        let Some(peer) = self.read_handshake(&mut connection, &mut buffer).await else { return };
        let verdict = self.judge_handshake(&peer);
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
        self.changes.notify();
        let end_of_incoming = self.peers().end_of_incoming();
        let ended = async {
            let _ = end_of_incoming.recv().await;
        };
        let messages = self.serve_messages(&mut connection, &mut buffer, &peer, role);
        or(or(ended, self.wait_until_silent(peer.id)), messages).await;
    }

    /// Reads the handshake of a peer; `None` where something else came, or nothing in time.
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

    /// Judges the handshake of a peer that has connected, and notes a candidate.
    fn judge_handshake(&self, peer: &Handshake) -> HandshakeVerdict {
        let agreed = self.agreed();
        let known_progress = agreed.status().reported_progress.get(&peer.id);
        let verdict = bootstrap::judge_handshake(agreed.state(), known_progress, peer);
        match &verdict {
            HandshakeVerdict::NotYetMember(_) => self.peers.borrow_mut().add_candidate(peer),
            HandshakeVerdict::OtherFleet
            | HandshakeVerdict::OutdatedStorage
            | HandshakeVerdict::SupersededFleet => {
                self.peers.borrow_mut().count_rejection();
                log::warn!("fleet: the handshake of {} was rejected: {verdict:?}", peer.name);
            }
            HandshakeVerdict::Accepted | HandshakeVerdict::RemovedMember => {}
        }
        verdict
    }

    /// Dispatches messages until the connection ends or one is rejected.
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

    /// Reads the next message; `None` where the connection has ended, or what came is not a message.
    async fn read_message(
        &self,
        connection: &mut ClientConnection,
        buffer: &mut Buffer,
    ) -> Option<PeerMessage> {
        loop {
            match PeerMessage::decode(buffer.unread(), self.limits.peer_message_bytes) {
                Ok(Some(DecodedMessage { message, encoded_bytes })) => {
                    buffer.consume(encoded_bytes);
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

    /// Returns when a peer was silent for the stall timeout: each sends heartbeats. One timer serves many messages.
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
