//! What a frame of another daemon leads to.

use super::*;

impl Fleet {
    /// Takes in a frame of another daemon; false: nothing more is heard of it.
    pub(super) fn take(&self, from: &Hello, candidate: bool, frame: Frame) -> bool {
        {
            let mut table = self.change();
            if !may_meet(table.state.fleet, from.fleet) || table.state.removed.contains_key(&from.id) {
                drop(table);
                self.pass_over("of another fleet");
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
            table.heard.entry(from.id).or_insert_with(|| Heard::met(from)).at = Instant::now();
            // One that was taken in answers before it knows that it is of the fleet.
            if candidate && !table.state.members.contains_key(&from.id) && !matches!(frame, Frame::Beat(_)) {
                return true;
            }
        }
        match frame {
            Frame::Letters(letters) => {
                let (own, strange): (Vec<Letter>, Vec<Letter>) =
                    letters.into_iter().partition(|l| l.from == from.id);
                if !strange.is_empty() {
                    self.pass_over("not of its sender");
                }
                if !own.is_empty() {
                    self.tell(Input::Letters(own));
                }
            }
            Frame::Forward(proposal) if proposal.from == from.id => {
                if self.table().state.is_complete() {
                    self.tell(Input::Propose(proposal));
                }
            }
            Frame::Wish(name, wish) => {
                self.wishes(name, wish);
                self.wake();
            }
            Frame::Marks(marks) => self.hear_marks(marks),
            Frame::Beat(beat) => {
                let differs = {
                    let mut table = self.change();
                    let marks = beat.marks;
                    if let Some(heard) = table.heard.get_mut(&from.id) {
                        heard.leaderless = (beat.leader == NodeId::NOBODY)
                            .then(|| heard.leaderless.unwrap_or_else(Instant::now));
                        heard.beat = beat;
                    }
                    !table.marks.is_empty() && marks != table.marks.digest()
                };
                if self.returns() {
                    self.wake();
                }
                if differs && let Some(way) = self.way_to(from.id) {
                    way.send(&Frame::Marks(self.table().marks.all()).bytes());
                }
            }
            Frame::Digest(digest) => {
                self.change().digests.insert(from.id, digest.clone());
                let words = {
                    let table = self.table();
                    let hears = table.heard.get(&from.id).map_or(&[][..], |h| &h.beat.hears[..]);
                    let hears = |id| hears.contains(&id);
                    table.learned.lacks(
                        self.clock.now(),
                        &digest,
                        hears,
                        self.limits.observations_per_message,
                    )
                };
                if !words.is_empty()
                    && let Some(way) = self.way_to(from.id)
                {
                    way.send(&Frame::Words(words).bytes());
                }
            }
            Frame::LogRollbacks(breaks) => self.broken_off(breaks, &from.name),
            Frame::Sights(sights) => self.hear_sights(from.id, sights),
            Frame::Words(words) => {
                let now = self.clock.now();
                if self.returns() {
                    Learned::told(now, &words).into_iter().for_each(|t| drop(self.told.0.try_send(t)));
                }
                let hosts: Vec<String> = words.iter().map(|w| w.host.clone()).collect();
                let new = {
                    let mut table = self.change();
                    let Table { learned, state, .. } = &mut *table;
                    learned.hear(now, words, state);
                    learned.believe(now, state)
                };
                self.restarted(now, hosts.iter());
                let me = self.table().identity.id;
                for (group, belief) in new.into_iter().filter(|(_, b)| b.by != me) {
                    log::info!(
                        "fleet: group {group}: another daemon has heard that {} is primary",
                        belief.host
                    );
                    let hint = PrimaryHint { endpoint: id_of(&belief.host), at: belief.at };
                    let _ = self.hints.0.try_send(hint.write());
                }
            }
            Frame::PrimaryHint([a, b, c, d, e, f], age) if age >= TimeDelta::ZERO => {
                let endpoint = EndpointId { ip: [a, b, c, d], port: u16::from_be_bytes([e, f]) };
                let hint = PrimaryHint { endpoint, at: self.clock.now() - age };
                let _ = self.hints.0.try_send(hint.write());
            }
            Frame::Hello(_) | Frame::Verdict(..) | Frame::Forward(_) | Frame::PrimaryHint(..) => {
                self.pass_over("out of place");
                return false;
            }
        }
        true
    }
}
