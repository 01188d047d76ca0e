//! Connections that others have opened.

use super::*;

impl Fleet {
    /// Whether a request asks for a connection between daemons.
    pub fn is_link(request: &Request) -> bool {
        request.target().0 == PATH && request.head.has("upgrade", PROTOCOL)
    }

    /// Hears another daemon on its connection until that ends.
    pub async fn serve_peer(&self, mut link: ClientConnection, mut buffer: Buffer) {
        let upgrade = server::answer_head(101, &[("Connection", "Upgrade"), ("Upgrade", PROTOCOL)]);
        if link.write(&upgrade).await.is_err() {
            return;
        }
        let first = until(
            Instant::now() + self.limits.first_request_timeout,
            self.read_message(&mut link, &mut buffer),
        )
        .await;
        let Some(Some(PeerMessage::Handshake(hello))) = first else { return };
        let verdict = {
            let mut table = self.change();
            let known = table.status.reported_progress.get(&hello.id).copied();
            let verdict = bootstrap::judge_handshake(&table.state, known.as_ref(), &hello);
            match &verdict {
                HandshakeVerdict::NotYetMember(_) if table.candidates.len() < self.limits.fleet_nodes => {
                    table.candidates.insert(hello.id, (hello.clone(), Instant::now()));
                }
                HandshakeVerdict::OtherFleet
                | HandshakeVerdict::OutdatedStorage
                | HandshakeVerdict::SupersededFleet => {
                    table.dropped += 1;
                    log::warn!("fleet: {} was turned away: {verdict:?}", hello.name);
                }
                _ => {}
            }
            verdict
        };
        let may = matches!(verdict, HandshakeVerdict::Accepted | HandshakeVerdict::NotYetMember(_));
        let candidate = matches!(verdict, HandshakeVerdict::NotYetMember(_));
        if link
            .write(
                &PeerMessage::HandshakeReply(HandshakeReply { verdict, handshake: self.own_handshake() })
                    .encode(),
            )
            .await
            .is_err()
            || !may
        {
            let _ = link.linger().await;
            return;
        }
        for met in self.change().met.values_mut().filter(|met| met.id == hello.id) {
            *met = hello.clone();
        }
        self.notify_watchers();
        let epoch = self.epoch.borrow().1.clone();
        let hear = async {
            while let Some(frame) = self.read_message(&mut link, &mut buffer).await {
                if !self.dispatch(&hello, candidate, frame) {
                    break;
                }
            }
        };
        let ends = async {
            let _ = epoch.recv().await;
        };
        use futures_lite::future::or;
        or(or(ends, self.wait_until_silent(hello.id)), hear).await;
    }

    pub(super) async fn read_message(
        &self,
        link: &mut ClientConnection,
        buffer: &mut Buffer,
    ) -> Option<PeerMessage> {
        loop {
            match PeerMessage::decode(buffer.unread(), self.limits.peer_message_bytes) {
                Ok(Some(DecodedMessage { message, encoded_bytes })) => {
                    buffer.consume(encoded_bytes);
                    return Some(message);
                }
                Ok(None) => {}
                Err(why) => {
                    self.count_dropped_message(&why.to_string());
                    return None;
                }
            }
            if !matches!(link.read(buffer).await, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    /// Comes back when a daemon has had no word for long: each has one now and then. One timer for many words.
    pub(super) async fn wait_until_silent(&self, id: NodeId) {
        let mut last = Instant::now();
        loop {
            Timer::at(last + self.limits.backend_stall_timeout).await;
            match self.table().heard.get(&id) {
                Some(heard) if heard.at > last => last = heard.at,
                _ => return,
            }
        }
    }

    pub(super) fn count_dropped_message(&self, why: &str) {
        let mut table = self.change();
        table.dropped += 1;
        if table.dropped.is_power_of_two() {
            log::warn!("fleet: {} frames dropped, the last one {why}", table.dropped);
        }
    }
}
