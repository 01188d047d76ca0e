//! What a frame of another daemon leads to.

use super::*;

impl Fleet {
    /// Takes in a frame of another daemon; false: nothing more is heard of it.
    pub(super) fn dispatch(&self, from: &Handshake, candidate: bool, frame: PeerMessage) -> bool {
        {
            let mut table = self.change();
            if !bootstrap::fleets_are_compatible(table.state.fleet, from.fleet)
                || table.state.removed.contains_key(&from.id)
            {
                drop(table);
                self.count_dropped_message("of another fleet");
                return false;
            }
            if candidate {
                // It has no say yet, but it is there.
                if let Some((_, at)) = table.candidates.get_mut(&from.id) {
                    *at = Instant::now();
                } else if !table.state.members.contains_key(&from.id)
                    && table.candidates.len() < self.limits.fleet_nodes
                {
                    table.candidates.insert(from.id, (from.clone(), Instant::now()));
                }
            }
            table.heard.entry(from.id).or_insert_with(|| PeerStatus::met(from)).at = Instant::now();
            // One that was taken in answers before it knows that it is of the fleet.
            if candidate
                && !table.state.members.contains_key(&from.id)
                && !matches!(frame, PeerMessage::Heartbeat(_))
            {
                return true;
            }
        }
        match frame {
            PeerMessage::RaftMessages(letters) => {
                let (own, strange): (Vec<RaftMessage>, Vec<RaftMessage>) =
                    letters.into_iter().partition(|l| l.from == from.id);
                if !strange.is_empty() {
                    self.count_dropped_message("not of its sender");
                }
                if !own.is_empty() {
                    self.send_to_store(StoreCommand::RaftMessages(own));
                }
            }
            PeerMessage::ForwardedProposal(proposal) if proposal.from == from.id => {
                if self.table().state.is_complete() {
                    self.send_to_store(StoreCommand::Propose(proposal));
                }
            }
            PeerMessage::MembershipRequest(name, wish) => {
                self.record_membership_request(name, wish);
                self.notify_watchers();
            }
            PeerMessage::PendingDrains(marks) => self.receive_pending_drains(marks),
            PeerMessage::Heartbeat(beat) => {
                let differs = {
                    let mut table = self.change();
                    let marks = beat.pending_drains_digest;
                    if let Some(heard) = table.heard.get_mut(&from.id) {
                        heard.leaderless = (beat.leader == NodeId::NOBODY)
                            .then(|| heard.leaderless.unwrap_or_else(Instant::now));
                        heard.beat = beat;
                    }
                    !table.marks.is_empty() && marks != table.marks.digest()
                };
                if self.returns() {
                    self.notify_watchers();
                }
                if differs && let Some(way) = self.link_to(from.id) {
                    way.send(&PeerMessage::PendingDrains(self.table().marks.all()).encode());
                }
            }
            PeerMessage::GossipDigest(digest) => {
                self.change().digests.insert(from.id, digest.clone());
                let words = {
                    let table = self.table();
                    let hears = table.heard.get(&from.id).map_or(&[][..], |h| &h.beat.reachable_peers[..]);
                    let hears = |id| hears.contains(&id);
                    table.learned.records_missing_from(
                        self.clock.now(),
                        &digest,
                        hears,
                        self.limits.observations_per_message,
                    )
                };
                if !words.is_empty()
                    && let Some(way) = self.link_to(from.id)
                {
                    way.send(&PeerMessage::GossipRecords(words).encode());
                }
            }
            PeerMessage::LogRollbacks(breaks) => self.record_log_rollbacks(breaks, &from.name),
            PeerMessage::ZoneOutcomes(sights) => self.receive_zone_observations(from.id, sights),
            PeerMessage::GossipRecords(words) => {
                let now = self.clock.now();
                if self.returns() {
                    GossipState::peer_observations(now, &words)
                        .into_iter()
                        .for_each(|t| drop(self.told.0.try_send(t)));
                }
                let hosts: Vec<String> = words.iter().map(|w| w.endpoint.clone()).collect();
                let new = {
                    let mut table = self.change();
                    let Table { learned, state, .. } = &mut *table;
                    learned.merge(now, words, state);
                    learned.update_beliefs(now, state)
                };
                self.detect_restarts(now, hosts.iter());
                let me = self.table().identity.id;
                for (group, belief) in new.into_iter().filter(|(_, b)| b.observer != me) {
                    log::info!(
                        "fleet: group {group}: another daemon has heard that {} is primary",
                        belief.endpoint
                    );
                    let hint = PrimaryHint { endpoint: id_of(&belief.endpoint), at: belief.observed_at };
                    let _ = self.hints.0.try_send(hint.write());
                }
            }
            PeerMessage::PrimaryHint { endpoint, age } if age >= TimeDelta::ZERO => {
                let endpoint = EndpointId::from(endpoint);
                let hint = PrimaryHint { endpoint, at: self.clock.now() - age };
                let _ = self.hints.0.try_send(hint.write());
            }
            PeerMessage::Handshake(_)
            | PeerMessage::HandshakeReply(..)
            | PeerMessage::ForwardedProposal(_)
            | PeerMessage::PrimaryHint { .. } => {
                self.count_dropped_message("out of place");
                return false;
            }
        }
        true
    }
}
